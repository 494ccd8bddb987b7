package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// The durations of a planned restart, which begins with SIGTERM.
const (
	// acceptGrace is the time for which new connections still arrive after SIGTERM (0.4 s), plus a
	// margin to accept them from the accept queue.
	acceptGrace = 600 * time.Millisecond
	// The platform kills the process at the earliest killMargin after the longest deadline of a
	// class, counted from SIGTERM. Of that deadline at most maxClientWait counts. Requests in flight
	// at the kill are lost.
	maxClientWait = 3 * time.Second
	killMargin    = 700 * time.Millisecond
	// responseMargin is the time before the kill at which all remaining requests are completed. It
	// allows for writing their responses.
	responseMargin = 250 * time.Millisecond
	// exitMargin is the time before the kill by which the process must have exited.
	exitMargin = 50 * time.Millisecond
)

// shutDown ends the service for a planned restart, and blocks until the front ends have ended.
// Closing a listener resets the connections in its accept queue. The listeners therefore stay open
// for acceptGrace while clients are signalled to send no new requests.
func (s *service) shutDown() error {
	slog.Info("shutdown started; draining connections")
	killedAt := time.Now().Add(s.config.killGrace())
	for _, f := range s.frontEnds {
		f.Drain() // before the listener closes, because no request may arrive on an idle connection after that
	}
	defer time.AfterFunc(time.Until(killedAt.Add(-responseMargin)), s.core.Shutdown).Stop()
	time.Sleep(acceptGrace)
	ctx, cancel := context.WithDeadline(context.Background(), killedAt.Add(-exitMargin))
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

// killGrace returns the earliest time after SIGTERM at which the platform may kill the process. It
// is at least long enough for acceptGrace and for writing the last responses.
func (c *Config) killGrace() time.Duration {
	longestDeadline := time.Duration(0)
	for _, class := range c.Policy.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	return max(min(longestDeadline, maxClientWait)+killMargin, acceptGrace+2*responseMargin)
}
