// Package sidecar assembles the parts of the program and stops them in order. It opens the
// listeners, builds the core with its handlers, transports and sources, serves requests, reloads the
// configuration on request and shuts down gracefully. It makes no decisions about requests itself.
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
	"mothridge/internal/front/frontend"
	"mothridge/internal/metrics"
	"mothridge/internal/plugin"
	"mothridge/internal/quotas"
	"mothridge/internal/registry/merge"
	"mothridge/internal/registry/platform"
)

// Run opens the listeners and serves requests on them until ctx ends, as Serve does.
func Run(ctx context.Context, reload <-chan os.Signal, c *Config) error {
	listeners, err := c.listen()
	if err != nil {
		return err
	}
	return Serve(ctx, reload, c, listeners)
}

// Serve serves requests until ctx ends, then shuts down gracefully. It blocks until then. For each
// value from reload it reloads the configuration. The listeners are the platform's, then those of the
// operators' file in file order; Serve closes them. The error contains the part that failed.
func Serve(ctx context.Context, reload <-chan os.Signal, c *Config, listeners []net.Listener) error {
	defer closeListeners(listeners)
	s := &service{config: c}
	if err := s.build(); err != nil {
		return err
	}
	defer s.stopBackground()
	if err := s.startBackground(ctx); err != nil {
		return err
	}
	s.startFrontEnds(listeners)
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "balancers", c.Policy.FleetSize)
	for {
		select {
		case err := <-s.frontEndResults:
			return fmt.Errorf("serve: %w", err)
		case <-ctx.Done():
			return s.shutDown()
		case <-reload:
			s.reload()
		}
	}
}

// service is a running sidecar. Only the goroutine of Serve changes its fields.
type service struct {
	config  *Config
	metrics *metrics.Metrics // nil unless the operators' file turns them on

	// The core, the transports, and the gates that requests pass before the core. Set by build and
	// startBackground.
	core       *core.Core
	transports []transport
	quotas     *quotas.Gate // nil: no quotas
	plugins    *plugin.Gate // nil: no plug-ins
	handler    core.Handler // the first handler of a request: plug-ins, else quotas, else the core

	// The background tasks, started by startBackground and stopped by stopBackground.
	background          sync.WaitGroup
	cancel              context.CancelFunc
	discovery           *platform.Discovery // nil: the platform's discovery is not a source
	merger              *merge.Merger       // nil: the platform's discovery is the only source
	closeAdmin          func()
	cancelRegistrations context.CancelFunc // ends the registrations with registries

	pacer           *frontend.Pacer
	frontEnds       []frontEnd
	frontEndResults chan error // gets the result of Serve of each front end
}

// build creates the metrics, the transports and the core. It starts nothing.
func (s *service) build() error {
	s.cancel, s.closeAdmin, s.cancelRegistrations = func() {}, func() {}, func() {}
	s.metrics = s.config.newMetrics()
	s.pacer = frontend.NewPacer(s.config.Limits.processorShare())
	newUpstream := s.newTransports()
	policyConfig := s.config.Policy
	if slots := int(s.config.Operator.Limits.Slots); slots > 0 {
		policyConfig.Slots = slots
	}
	var err error
	s.core, err = core.New(core.Config{
		Policy:      policyConfig,
		Seed:        s.config.Seed,
		Zones:       s.config.Zones,
		Cached:      s.config.cachedEndpoints(),
		NewUpstream: newUpstream,
		DrainGrace:  s.config.DrainGrace,
		OnResponse:  observeLatency(s.metrics),
		OnTimer:     s.pacer.TimerFired,
	})
	return err
}

// startBackground starts everything that runs concurrently with the front ends: plug-ins, discovery,
// the admin socket, registrations, the core's event loop and the sweep of idle connections. It also
// adds the quotas. Registrations end when stop ends, everything else with stopBackground.
func (s *service) startBackground(stop context.Context) error {
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	s.handler = s.core
	if err := s.addQuotas(); err != nil {
		return err
	}
	if err := s.addPlugins(ctx); err != nil {
		return err
	}
	if err := s.followSources(ctx); err != nil {
		return err
	}
	if s.metrics != nil {
		s.addStateMetrics()
	}
	if err := s.openAdmin(); err != nil {
		return err
	}
	var registerCtx context.Context
	registerCtx, s.cancelRegistrations = context.WithCancel(stop)
	if err := s.register(registerCtx); err != nil {
		return err
	}
	s.background.Go(func() { s.core.Run(ctx) })
	go sweepIdle(ctx, s.transports)
	return nil
}

// stopBackground stops the background tasks and waits for those that s.background tracks.
func (s *service) stopBackground() {
	s.cancelRegistrations()
	s.closeAdmin()
	s.cancel()
	s.background.Wait()
}

// startFrontEnds starts a goroutine for each listener. It serves the listener and ends with the front
// end's Shutdown or error.
func (s *service) startFrontEnds(listeners []net.Listener) {
	s.frontEnds = s.newFrontEnds(listeners)
	s.frontEndResults = make(chan error, len(s.frontEnds))
	for _, f := range s.frontEnds {
		go func() { s.frontEndResults <- f.Serve() }()
	}
}

// sweepInterval is the time between two sweeps of idle upstream connections.
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
