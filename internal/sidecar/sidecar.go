// Package sidecar runs the decision module on real sockets: it takes requests
// from the application beside it, carries them to upstreams as the module
// decides, and follows discovery. It decides nothing itself.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/httpfront"
	"mothridge/internal/registry/platform"
	"mothridge/internal/transport/httpnode"
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
	// lastAnswers is more than the longest that a request may take.
	lastAnswers = 3 * time.Second
)

// connections divides the sockets between the two sides.
func (l Limits) connections() (clients, upstreams int) {
	most := l.Sockets - socketsSpare - platform.Sockets
	clients = most * clientPart / 10
	return clients, most - clients
}

// Run listens and serves until stop is done, then finishes what was taken. At
// each value of reload it reads its configuration again.
func Run(stop context.Context, reload <-chan os.Signal, c *Config) error {
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	return serve(stop, reload, c, ln)
}

func serve(stop context.Context, reload <-chan os.Signal, c *Config, ln net.Listener) error {
	defer ln.Close()
	forClients, forUpstreams := c.Limits.connections()
	nodes := httpnode.New(httpnode.Config{
		DialTimeout: c.DialTimeout, ConnIdle: c.ConnIdle, Connections: forUpstreams,
		LoadField: c.LoadField, Reports: c.Policy.Reports,
	})
	k, err := core.New(core.Config{
		Policy: c.Policy, Seed: c.Seed, Zones: c.Zones, Known: c.known(),
		Reach: func(i core.Instance) core.Node { return nodes.Node(i.Addr) },
	})
	if err != nil {
		return err
	}
	run, end := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer func() {
		end()
		loops.Wait()
	}()
	d := platform.New(c.Discovery, c.Known, k.Update)
	if c.Policy.AskList {
		d.Ask(k.Asks(), k.UpdateFailed)
	}
	go d.Follow(run)
	loops.Go(func() { k.Run(run) })
	go sweep(run, nodes)

	front := httpfront.New(httpfront.Config{
		Classes: c.Classes, Effects: c.effects(), Tenants: c.Tenants, Connections: forClients,
	}, k, ln)
	served := make(chan error, 1)
	go func() { served <- front.Serve() }()
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "balancers", c.Policy.Balancers)
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-stop.Done():
			return shutDown(front)
		case <-reload:
			was := c.Discovery
			if err := c.reload(); err != nil {
				slog.Error("configuration: the old one stays in force", "err", err)
			} else if c.Discovery != was {
				d.Move(c.Discovery)
			}
		}
	}
}

// shutDown ends service for a planned restart. New connections go on coming for
// a while, and closing the listener resets those that wait to be accepted: it
// stays open until then, while every answer tells its client to close.
func shutDown(f *httpfront.Front) error {
	slog.Info("draining")
	f.Drain() // none that is idle may get a request after the listener has gone
	time.Sleep(lastConnections)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if err := f.Shutdown(ctx); err != nil {
		return err
	}
	slog.Info("ended")
	return nil
}

// sweep closes idle upstream connections in time.
func sweep(ctx context.Context, t *httpnode.Transport) {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case now := <-tick.C:
			t.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}
