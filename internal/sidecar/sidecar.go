// Package sidecar runs the decision module on real sockets: it takes requests
// from the application beside it, carries them to upstreams as the module
// decides, and follows discovery. It decides nothing itself.
package sidecar

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/httpfront"
	"mothridge/internal/front/rpcfront"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/registry/platform"
	"mothridge/internal/transport/httpnode"
	"mothridge/internal/transport/rpcnode"
)

const (
	socketsSpare = 32 // standard streams, the listener, the poller and what the runtime opens
	sweepEvery   = time.Second
	// clientPart is how many tenths of the sockets are for clients: those that
	// say nothing take some, until they are closed.
	clientPart = 6
	// lastConnections is how long new connections come after a planned restart
	// was announced (0.4 s), and some time to take them out of the accept queue.
	lastConnections = 600 * time.Millisecond
	// After that announcement the process is killed no sooner than the longest
	// deadline, longestWait at most, and killedAfter more. What is open then is lost:
	// answerBefore that all that is held gets its answer, and there is time to write it.
	longestWait  = 3 * time.Second
	killedAfter  = 700 * time.Millisecond
	answerBefore = 250 * time.Millisecond
	leaveBefore  = 50 * time.Millisecond // the process has ended by then
)

// connections divides the sockets between the two sides.
func (l Limits) connections() (clients, upstreams int) {
	most := l.Sockets - socketsSpare - platform.MaxConnections
	clients = most * clientPart / 10
	return clients, most - clients
}

// Run listens and serves until stop is done, then finishes what was taken. At
// each value of reload it reads its configuration again.
func Run(stop context.Context, reload <-chan os.Signal, c *Config) error {
	var lns []net.Listener
	defer func() {
		for _, ln := range lns {
			ln.Close()
		}
	}()
	addresses := []string{c.Listen}
	for _, l := range c.Operator.Listeners {
		addresses = append(addresses, string(l.Address))
	}
	for _, addr := range addresses {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		lns = append(lns, ln)
	}
	return Serve(stop, reload, c, lns)
}

// front takes requests by one protocol and gives each its one answer.
type front interface {
	Serve() error
	Drain()                         // asks clients to send nothing new; what still comes is taken
	Shutdown(context.Context) error // answers what was taken, then ends
}

// transport carries out attempts by one protocol.
type transport interface {
	Upstream(address string) core.Upstream
	Sweep(now time.Time) // closes what has been idle for too long
}

// Serve does the same on listeners that are open: the platform's first, then
// those of the operators' file in its order. It closes them.
func Serve(stop context.Context, reload <-chan os.Signal, c *Config, lns []net.Listener) error {
	defer func() {
		for _, ln := range lns {
			ln.Close()
		}
	}()
	forClients, forUpstreams := c.Limits.connections()
	figures := c.measure()
	reach, transports := c.transports(forUpstreams, figures)
	p := c.Policy
	if n := int(c.Operator.Limits.Slots); n > 0 {
		p.Slots = n
	}
	k, err := core.New(core.Config{Policy: p, Seed: c.Seed, Zones: c.Zones, Cached: c.known(), NewUpstream: reach, DrainGrace: c.DrainGrace, OnResponse: answered(figures)})
	if err != nil {
		return err
	}
	run, end := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer func() {
		end()
		loops.Wait()
	}()
	var taker core.Handler = k // what fronts give requests to: plug-ins, quotas and the core, where there are those
	shares, err := c.quotas(k, figures)
	if err != nil {
		return err
	}
	if shares != nil {
		taker = shares
	}
	gate, err := c.plugins(run, taker, figures, &loops)
	if err != nil {
		return err
	}
	update := k.Update
	if gate != nil {
		taker, update = gate, func(n core.EndpointUpdate) { k.Update(gate.Members(n)) }
	}
	d, m, err := c.follow(run, k, update, &loops)
	if err != nil {
		return err
	}
	if figures != nil {
		c.showState(figures, k, m)
	}
	closeAdmin, err := c.administer(m, shares, figures, &loops)
	if err != nil {
		return err
	}
	defer closeAdmin()
	leave, left := context.WithCancel(stop) // whatever ends the service ends registrations
	defer left()
	if err := c.register(leave, k, &loops); err != nil {
		return err
	}
	loops.Go(func() { k.Run(run) })
	go sweep(run, transports)

	fronts := c.fronts(taker, k.EarliestArrival, lns, forClients, figures)
	served := make(chan error, len(fronts))
	for _, f := range fronts {
		go func() { served <- f.Serve() }()
	}
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "balancers", c.Policy.FleetSize)
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-stop.Done():
			return c.shutDown(fronts, k)
		case <-reload:
			c.reloadGates(gate, shares)
			if c.Operator.Sidecar != nil && (gate != nil || shares != nil) {
				continue // there is no platform's file, and what can be read again was
			}
			was := c.Discovery
			if err := c.reload(); err != nil {
				slog.Error("configuration: the old one stays in force", "err", err)
			} else if c.Discovery != was && d != nil {
				d.SetAddress(c.Discovery)
			}
		}
	}
}

// fronts makes the front of each listener; they share the clients' connections evenly.
func (c *Config) fronts(k core.Handler, arrived func(time.Time) time.Time, lns []net.Listener, connections int, figures *metrics.Metrics) []front {
	each, effects := connections/len(lns), c.effects()
	overHTTP := httpfront.Config{Classes: c.Classes, Idempotency: effects, Tenants: c.Tenants, MaxConnections: each, EarliestArrival: arrived}
	fronts := make([]front, len(lns))
	for i, ln := range lns {
		l := operator.Listener{Protocol: operator.HTTP} // the platform's
		if i > 0 {
			l = c.Operator.Listeners[i-1]
		}
		var counts func() any
		if l.Protocol == operator.HTTP {
			f := httpfront.New(overHTTP, k, ln)
			fronts[i], counts = f, func() any { return f.Counters() }
		} else {
			f := rpcfront.New(rpcfront.Config{
				Classes: c.Classes, Idempotency: effects, Tenants: c.Tenants, MaxConnections: each, EarliestArrival: arrived,
				MaxRequestsInFlight: int(l.Open), MaxBufferedResponseBytes: int(l.Held), ErrorsAsText: l.Errors == operator.ErrorTexts,
			}, k, ln)
			fronts[i], counts = f, func() any { return f.Counters() }
		}
		if figures != nil {
			figures.Add(func(s *metrics.Show) {
				s.Counters("front_total", "What came on a listener, by event.", "event", counts(), "listener", ln.Addr().String(), "protocol", string(l.Protocol))
			})
		}
	}
	return fronts
}

// transports makes those that the pools need, and finds the one of an instance.
func (c *Config) transports(connections int, figures *metrics.Metrics) (func(core.Endpoint) core.Upstream, []transport) {
	show := func(pool string, p operator.Protocol, counts func() any) {
		if figures != nil {
			figures.Add(func(s *metrics.Show) {
				s.Counters("transport_total", "What became of connections to nodes, by event.", "event", counts(), "pool", pool, "protocol", string(p))
			})
		}
	}

	forRPC := 0
	if c.Operator.Uses(operator.RPC) {
		forRPC = connections / 2
	}
	overHTTP := httpnode.New(httpnode.Config{
		DialTimeout:      c.DialTimeout,
		IdleTimeout:      c.ConnIdle,
		MaxConnections:   connections - forRPC,
		LoadReportField:  c.LoadField,
		ProbeLoadReports: c.Policy.ProbeLoadReports,
	})
	show("", operator.HTTP, func() any { return overHTTP.Counters() })
	all := []transport{overHTTP}
	var ofPool []transport
	rpcPools := 0
	for _, p := range c.Operator.Pools {
		if p.Protocol == operator.RPC {
			rpcPools++
		}
	}
	for _, p := range c.Operator.Pools {
		if p.Protocol == operator.HTTP {
			ofPool = append(ofPool, overHTTP)
			continue
		}
		t := rpcnode.New(rpcnode.Config{
			DialTimeout:    c.DialTimeout,
			IdleTimeout:    c.ConnIdle,
			MaxConnections: max(1, forRPC/rpcPools),
			MaxInFlight:    int(p.Outstanding),
		})
		ofPool, all = append(ofPool, t), append(all, t)
		show(p.Name, operator.RPC, func() any { return t.Counters() })
	}
	return func(i core.Endpoint) core.Upstream {
		for n := range c.Operator.Pools {
			p := &c.Operator.Pools[n]
			if i.Protocol != "" && i.Protocol != string(p.Protocol) {
				continue // its source says otherwise
			}
			if p.Matches(cmp.Or(i.Host, i.Name), i.Zone, i.MachineType) {
				return ofPool[n].Upstream(i.Addr)
			}
		}
		return overHTTP.Upstream(i.Addr)
	}, all
}

// shutDown ends service for a planned restart. New connections go on coming for
// a while, and closing a listener resets those that wait to be accepted: it
// stays open until then, while clients are told to send nothing new.
func (c *Config) shutDown(fronts []front, k *core.Core) error {
	slog.Info("draining")
	killed := time.Now().Add(c.killedIn())
	for _, f := range fronts {
		f.Drain() // none that is idle may get a request after the listener has gone
	}
	defer time.AfterFunc(time.Until(killed.Add(-answerBefore)), k.Shutdown).Stop()
	time.Sleep(lastConnections)
	ctx, cancel := context.WithDeadline(context.Background(), killed.Add(-leaveBefore))
	defer cancel()
	ended := make(chan error, len(fronts))
	for _, f := range fronts {
		go func() { ended <- f.Shutdown(ctx) }()
	}
	var errs error
	for range fronts {
		errs = errors.Join(errs, <-ended)
	}
	if errs == nil {
		slog.Info("ended")
	}
	return errs
}

// killedIn is how soon after the announcement of a planned restart the process
// may be killed.
func (c *Config) killedIn() time.Duration {
	longest := time.Duration(0)
	for _, k := range c.Policy.Classes {
		longest = max(longest, k.Deadline)
	}
	return max(min(longest, longestWait)+killedAfter, lastConnections+2*answerBefore)
}

// sweep closes idle upstream connections in time.
func sweep(ctx context.Context, all []transport) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			for _, t := range all {
				t.Sweep(now)
			}
		case <-ctx.Done():
			return
		}
	}
}
