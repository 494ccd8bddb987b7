package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
)

const (
	// startDelay is the time between the creation of a generator and the start of its scenario.
	startDelay = 10 * time.Millisecond
	// maxLatency is the longest latency that the histograms record.
	maxLatency = time.Hour
)

// Run sends a scenario's requests at their planned times, whether or not earlier requests have completed (an open
// loop). It measures each latency from the planned time, so that the latency includes the whole delay that a stalled
// sidecar causes. Run blocks until the last request has completed, or ctx ends.
func Run(ctx context.Context, o Options) (*Result, error) {
	plan, err := o.plan()
	if err != nil {
		return nil, err
	}
	g := newGenerator(o, len(plan))
	for _, target := range o.Targets {
		client := peers.NewClient(o.Protocol, target)
		defer client.Close()
		g.clients = append(g.clients, client)
	}
	stop := g.reportProgress(ctx)
	defer stop()
	var clients sync.WaitGroup
	defer clients.Wait()
	next := func(i int) (time.Duration, bool) {
		if i == len(plan) {
			return 0, false
		}
		return plan[i].At, true
	}
	peers.OpenLoop(ctx, g.startAt, next, func(i int, due time.Time) {
		clients.Go(func() { g.runClient(ctx, i, plan[i], due) })
	})
	clients.Wait()
	return g.result, ctx.Err()
}

// plan checks the options and returns the scenario's planned requests.
func (o *Options) plan() ([]fleet.PlannedArrival, error) {
	for _, target := range o.Targets {
		if err := CheckLoopback(target); err != nil {
			return nil, err
		}
	}
	plan, err := fleet.PlanArrivals(o.Scenario)
	switch {
	case err != nil:
		return nil, err
	case len(o.Targets) == 0:
		return nil, fmt.Errorf("targets: at least one sidecar address is required")
	case len(plan) > o.MaxRequests:
		return nil, fmt.Errorf("the scenario has %d requests, but at most %d are allowed: shorten the scenario or raise the limit",
			len(plan), o.MaxRequests)
	}
	return plan, nil
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// generator sends the requests of one scenario. Each client runs on its own goroutine.
type generator struct {
	Options
	startAt time.Time
	clients []peers.Client // one for each target
	total   int            // planned requests

	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	result   *Result
	started  int // requests
	inFlight int // requests
}

func newGenerator(o Options, total int) *generator {
	const significantFigures = 3
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
	}
	r := &Result{StartDelay: newHistogram()}
	r.Latency = newHistogram()
	r.Classes = make([]fleet.Tally, len(o.Scenario.Classes))
	r.Tenants = make([]fleet.Tally, max(1, len(o.Scenario.Tenants)))
	r.WindowLength = time.Second
	r.Windows = make([]fleet.Window, int((o.Scenario.Duration+time.Second-1)/time.Second))
	return &generator{
		Options: o,
		startAt: time.Now().Add(startDelay),
		total:   total,
		random:  rand.New(rand.NewPCG(o.Scenario.Seed, 1)),
		result:  r,
	}
}

// draw returns a random number in [0, 1), from a generator seeded with the scenario's seed.
func (g *generator) draw() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}
