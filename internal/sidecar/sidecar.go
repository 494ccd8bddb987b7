// Package sidecar runs the decision module on real sockets: it takes requests
// from the application beside it, carries them to upstreams as the module
// decides, and follows discovery. It decides nothing itself.
package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	socketsSpare     = 32 // standard streams, the listener, the poller and what the runtime opens
	socketsDiscovery = 2
	sweepEvery       = time.Second
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
	most := l.Sockets - socketsSpare - socketsDiscovery
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
	up := &upstreams{pool: newPool(c.DialTimeout, c.ConnIdle, forUpstreams), loadField: c.LoadField, statsPath: "/health/live"}
	if c.Policy.Reports {
		up.statsPath = "/stats"
	}
	l, err := newLoop(c, up)
	if err != nil {
		return err
	}
	run, end := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer func() {
		end()
		loops.Wait()
	}()
	d := newDiscovery(c.Discovery, c.Known, func(news listing) { l.events <- listed{news} })
	if c.Policy.AskList {
		d.asks, d.failed = l.asks, func() { l.events <- listFailed{} }
	}
	go d.follow(run)
	loops.Go(func() { l.run(run) })
	go sweep(run, up.pool)

	limited := limitListener(ln, forClients)
	server := newClients(c, l, limited.isDraining).server(limited)
	served := make(chan error, 1)
	go func() { served <- server.Serve(limited) }()
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "balancers", c.Policy.Balancers)
	for {
		select {
		case err := <-served:
			return fmt.Errorf("serve: %w", err)
		case <-stop.Done():
			return shutDown(server, limited)
		case <-reload:
			was := c.Discovery
			if err := c.reload(); err != nil {
				slog.Error("configuration: the old one stays in force", "err", err)
			} else if c.Discovery != was {
				d.move(c.Discovery)
			}
		}
	}
}

// shutDown ends service for a planned restart. New connections go on coming for
// a while, and closing the listener resets those that wait to be accepted: it
// stays open until then, while every answer tells its client to close.
func shutDown(server *http.Server, l *limitedListener) error {
	slog.Info("draining")
	l.drain() // none that is idle may get a request after the listener has gone
	time.Sleep(lastConnections)
	ctx, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	slog.Info("ended")
	return nil
}

// sweep closes idle upstream connections in time.
func sweep(ctx context.Context, p *pool) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			p.sweep(now)
		case <-ctx.Done():
			return
		}
	}
}
