// Package try is the demo behind 'sidecar try', in one process: the real sidecar, a stand-in
// discovery, eight stand-in upstreams and clients' load, on real loopback sockets. One upstream
// hangs for a while, one drains, one restarts and warms up. At the end four rules are checked
// against what clients and upstreams observed.
package try

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/rig"
)

// Options configure a run. None of them has a default, but for Duration's lower bound.
type Options struct {
	Protocol peers.Protocol // of clients and upstreams
	Duration time.Duration  // at least Shortest
	Eureka   bool           // a stand-in Eureka registry lists the upstreams
	Rate     int            // requests a second; at least 1
	Seed     uint64         // of the load and the service times
	Out      io.Writer      // gets the progress and the summary; its errors are ignored
	Live     bool           // redraw the table in place; else print a line a second
}

// Shortest is the shortest duration, in which each fault still has an effect.
const Shortest = 4 * time.Second

// upstreamCount is how many upstreams a run has.
const upstreamCount = 8

// demo is one run. Its goroutines are those that run starts and one for each request in flight; run
// waits for all of them.
type demo struct {
	Options
	rig       *rig.Rig
	startedAt time.Time

	mu         sync.Mutex
	total      tally
	byUpstream map[string]*tally
	states     [upstreamCount]string // as the progress shows them
	violations []violation
	drainedAt  time.Time
	restartAt  time.Time // zero: the upstream has not restarted
}

// Run runs the demo and writes the table and the summary. It returns an error where a rule is
// violated or the demo cannot start. It discards the process's log in the meantime, as log lines
// would disturb the table. The end of ctx ends it early.
func Run(ctx context.Context, options Options) error {
	options.Duration = max(options.Duration, Shortest)
	log := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer slog.SetDefault(log)

	d := &demo{Options: options, byUpstream: make(map[string]*tally)}
	rigOptions := rig.Options{
		Front:  options.Protocol,
		Nodes:  options.Protocol,
		Number: upstreamCount,
		Script: d.serveAfterDelay,
		Times:  true,
	}
	if options.Eureka {
		registry, err := peers.StartEureka("")
		if err != nil {
			return err
		}
		defer registry.Close()
		rigOptions.Eureka = registry
	}
	r, err := rig.Start(rigOptions)
	if err != nil {
		return err
	}
	defer func() { _ = r.Close() }() // the rules are checked by then
	d.rig = r
	return d.run(ctx)
}

// run plays the demo on a started rig and checks the rules.
func (d *demo) run(ctx context.Context) error {
	for i, upstream := range d.rig.Nodes {
		d.states[i] = "up"
		d.byUpstream[upstream.Name] = new(tally)
	}
	fmt.Fprintf(d.Out, "A sidecar at %s, %d nodes, %d requests a second for %v, all over %s on loopback.\n\n",
		d.rig.Addr, upstreamCount, d.Rate, d.Duration, d.Protocol)
	d.startedAt = time.Now()
	ctx, cancel := context.WithTimeout(ctx, d.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { d.injectFaults(ctx) })
	wg.Go(func() { d.showProgress(ctx) })
	d.sendLoad(ctx)
	wg.Wait()
	d.printTable()
	return d.checkRules()
}
