package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// shutDown ends the service for a planned restart, and blocks until the front ends have ended.
// Closing a listener resets the connections in its accept queue. The listeners therefore stay open
// for some time while clients are signalled to send no new requests.
func (s *service) shutDown() error {
	schedule := newShutdownSchedule(s.config.killGrace())
	slog.Info("shutdown started; draining connections", "complete_all", schedule.completeAll, "exit", schedule.exit)
	exitAt := time.Now().Add(schedule.exit)
	s.pacer.Drain()
	for _, f := range s.frontEnds {
		f.Drain() // before the listener closes, because no request may arrive on an idle connection after that
	}
	defer time.AfterFunc(schedule.completeAll, s.core.Shutdown).Stop()
	time.Sleep(schedule.closeListeners)
	ctx, cancel := context.WithDeadline(context.Background(), exitAt)
	defer cancel()
	err := s.shutDownFrontEnds(ctx)
	if err == nil {
		slog.Info("connections drained; exiting")
	}
	return err
}

// shutDownFrontEnds shuts down all front ends concurrently and joins their errors.
func (s *service) shutDownFrontEnds(ctx context.Context) error {
	results := make(chan error, len(s.frontEnds))
	for _, f := range s.frontEnds {
		go func() { results <- f.Shutdown(ctx) }()
	}
	var errs error
	for range s.frontEnds {
		errs = errors.Join(errs, <-results)
	}
	return errs
}
