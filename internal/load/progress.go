package load

import (
	"context"
	"sync"
	"time"
)

// reportProgress calls Options.Progress every second on its own goroutine. The returned stop function ends the reports
// and waits until the last call has returned.
func (g *generator) reportProgress(ctx context.Context) (stop func()) {
	if g.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() {
		for sleep(ctx, time.Second) {
			g.Progress(g.progress())
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// progress returns the current progress.
func (g *generator) progress() Progress {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	quantile := func(q float64) time.Duration {
		return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
	}
	return Progress{
		Elapsed:  time.Since(g.startAt),
		Duration: g.Scenario.Duration,
		Started:  g.started,
		Total:    g.total,
		InFlight: g.inFlight,
		Served:   r.Served,
		Rejected: r.Rejected,
		Failed:   r.Failed,
		Lost:     r.Lost,
		P50:      quantile(50),
		P99:      quantile(99),
	}
}
