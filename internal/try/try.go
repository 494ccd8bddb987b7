// Package try implements the demo of the command 'sidecar try'. The demo runs in one process, on real
// loopback sockets: the real sidecar, a stand-in discovery, eight stand-in upstreams and clients that
// generate load. One upstream hangs for a while, one drains, and one restarts and warms up. At the end
// the demo checks four rules against the observations of the clients and the upstreams.
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

// Options configures a run. No option has a default; Duration has a lower bound.
type Options struct {
	Protocol peers.Protocol // protocol of the clients and the upstreams
	Duration time.Duration  // at least MinDuration
	Eureka   bool           // a stand-in Eureka registry lists the upstreams
	Rate     int            // requests per second; at least 1
	Seed     uint64         // seed of the load and the service times
	Out      io.Writer      // receives the progress and the summary; write errors are ignored
	Live     bool           // redraw the table in place; if false, print one line per second
}

// MinDuration is the shortest duration in which each fault still has an effect.
const MinDuration = 4 * time.Second

// upstreamCount is the number of upstreams of a run.
const upstreamCount = 8

// demo is one run. The method run starts a goroutine for the faults, one for the progress and one for
// each request in flight, and waits for all of them.
type demo struct {
	Options
	rig       *rig.Rig
	startedAt time.Time

	mu         sync.Mutex
	total      tally
	byUpstream map[string]*tally
	states     [upstreamCount]string // shown in the progress
	violations []violation
	drainedAt  time.Time
	restartAt  time.Time // zero: the upstream has not restarted
}

// Run runs the demo and writes the table and the summary. It returns an error if a rule is violated or
// the demo cannot start. While Run runs, it discards the process's log, because log lines would disturb
// the table. If ctx ends, the demo ends early.
func Run(ctx context.Context, options Options) error {
	options.Duration = max(options.Duration, MinDuration)
	log := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer slog.SetDefault(log)

	d := &demo{Options: options, byUpstream: make(map[string]*tally)}
	rigOptions := rig.Options{
		ClientProtocol:   options.Protocol,
		NodeProtocol:     options.Protocol,
		NodeCount:        upstreamCount,
		Script:           d.serveAfterDelay,
		KeepAttemptTimes: true,
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
	defer func() { _ = r.Close() }() // the rules have been checked, so the error no longer matters
	d.rig = r
	return d.run(ctx)
}

// run runs the demo on a started rig and checks the rules.
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
