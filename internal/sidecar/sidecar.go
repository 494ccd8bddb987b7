// Package sidecar puts the parts of the program together and ends them in order: it
// listens, builds the core with its handlers, transports and sources, serves, reloads on
// request and shuts down gracefully. It decides nothing itself.
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
	"mothridge/internal/metrics"
	"mothridge/internal/plugin"
	"mothridge/internal/quotas"
	"mothridge/internal/registry/merge"
	"mothridge/internal/registry/platform"
)

// Run listens and serves until stop is done, then shuts down gracefully. At each value
// of reload it reads its configuration again. The error names the part that failed.
func Run(stop context.Context, reload <-chan os.Signal, c *Config) error {
	listeners, err := c.listen()
	if err != nil {
		return err
	}
	return Serve(stop, reload, c, listeners)
}

// Serve does the same on listeners that are open: the platform's first, then those of
// the operators' file in its order. It closes them.
func Serve(stop context.Context, reload <-chan os.Signal, c *Config, listeners []net.Listener) error {
	defer closeAll(listeners)
	s := &service{config: c}
	if err := s.build(); err != nil {
		return err
	}
	defer s.stopBackground()
	if err := s.startBackground(stop); err != nil {
		return err
	}
	s.startFrontEnds(listeners)
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "balancers", c.Policy.FleetSize)
	for {
		select {
		case err := <-s.frontEndEnded:
			return fmt.Errorf("serve: %w", err)
		case <-stop.Done():
			return s.shutDown()
		case <-reload:
			s.reload()
		}
	}
}

// service is a running sidecar. The goroutine of Serve owns it.
type service struct {
	config  *Config
	metrics *metrics.Metrics // nil where the operators' file has them off

	// The core and what requests pass on their way to it, made by build.
	core       *core.Core
	transports []transport
	quotas     *quotas.Gate // nil where there is none
	plugins    *plugin.Gate // nil where there is none
	handler    core.Handler // the first of plug-ins, quotas and core

	// What runs beside them, made by startBackground. It ends with stopBackground.
	background    sync.WaitGroup
	cancel        context.CancelFunc
	discovery     *platform.Discovery // nil where the platform's is no source
	merger        *merge.Merger       // nil where the platform's discovery is the only source
	closeAdmin    func()
	endRegistered context.CancelFunc

	frontEnds     []frontEnd
	frontEndEnded chan error // how a front end has ended, one value each
}

// build makes the core and the transports. Nothing runs yet.
func (s *service) build() error {
	s.cancel, s.closeAdmin, s.endRegistered = func() {}, func() {}, func() {}
	s.metrics = s.config.newMetrics()
	newUpstream := s.newTransports()
	settings := s.config.Policy
	if slots := int(s.config.Operator.Limits.Slots); slots > 0 {
		settings.Slots = slots
	}
	var err error
	s.core, err = core.New(core.Config{
		Policy:      settings,
		Seed:        s.config.Seed,
		Zones:       s.config.Zones,
		Cached:      s.config.cachedEndpoints(),
		NewUpstream: newUpstream,
		DrainGrace:  s.config.DrainGrace,
		OnResponse:  observeLatency(s.metrics),
	})
	return err
}

// startBackground starts all that runs beside the front ends: plug-ins, discovery, the
// admin socket, registrations, the core's event loop and the sweep of idle connections.
// Registrations end as soon as stop is done, the rest with stopBackground.
func (s *service) startBackground(stop context.Context) error {
	var running context.Context
	running, s.cancel = context.WithCancel(context.Background())
	s.handler = s.core
	if err := s.addQuotas(); err != nil {
		return err
	}
	if err := s.addPlugins(running); err != nil {
		return err
	}
	if err := s.followSources(running); err != nil {
		return err
	}
	if s.metrics != nil {
		s.showState()
	}
	if err := s.openAdmin(); err != nil {
		return err
	}
	var registered context.Context
	registered, s.endRegistered = context.WithCancel(stop)
	if err := s.register(registered); err != nil {
		return err
	}
	s.background.Go(func() { s.core.Run(running) })
	go sweepIdle(running, s.transports)
	return nil
}

// stopBackground ends what startBackground has started, and waits for it.
func (s *service) stopBackground() {
	s.endRegistered()
	s.closeAdmin()
	s.cancel()
	s.background.Wait()
}

// startFrontEnds serves each listener in a goroutine of its own, which ends with the
// front end's Shutdown or its failure.
func (s *service) startFrontEnds(listeners []net.Listener) {
	s.frontEnds = s.newFrontEnds(listeners)
	s.frontEndEnded = make(chan error, len(s.frontEnds))
	for _, f := range s.frontEnds {
		go func() { s.frontEndEnded <- f.Serve() }()
	}
}

const sweepInterval = time.Second

// sweepIdle closes upstream connections that have been idle for too long, until ctx ends.
func sweepIdle(ctx context.Context, transports []transport) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			for _, t := range transports {
				t.Sweep(now)
			}
		case <-ctx.Done():
			return
		}
	}
}
