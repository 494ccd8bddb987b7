package peers

import (
	"context"
	"time"
)

// OpenLoop lets requests go out at their times, whatever becomes of those before:
// a load that waited for answers would go easy on whoever is slow. next gives
// the time of request i, from began on; false: there is none. do must not block;
// due is when the request should have gone out, from which its time counts. It
// ends with the last request, or with ctx.
func OpenLoop(ctx context.Context, began time.Time, next func(i int) (time.Duration, bool), do func(i int, due time.Time)) {
	t := time.NewTimer(0)
	defer t.Stop()
	for i := 0; ; i++ {
		at, more := next(i)
		if !more || ctx.Err() != nil {
			return
		}
		due := began.Add(at)
		if wait := time.Until(due); wait > 0 {
			t.Reset(wait)
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
		do(i, due)
	}
}
