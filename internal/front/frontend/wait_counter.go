package frontend

import (
	"sync/atomic"
	"time"
)

// waitCounter counts waits. It may be used concurrently.
type waitCounter struct{ count, total, longest atomic.Int64 }

func (c *waitCounter) record(waited time.Duration) {
	c.count.Add(1)
	c.total.Add(int64(waited))
	storeMax(&c.longest, int64(waited))
}

// storeMax stores a value if it is larger than the stored one.
func storeMax(stored *atomic.Int64, value int64) {
	for last := stored.Load(); value > last && !stored.CompareAndSwap(last, value); last = stored.Load() {
	}
}
