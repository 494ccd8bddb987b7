package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"time"
)

// The times of a planned restart, which begins with SIGTERM.
const (
	// acceptGrace is how long new connections go on coming (0.4 s), and some time to take
	// them out of the accept queue.
	acceptGrace = 600 * time.Millisecond
	// The process is killed no sooner than the longest deadline, maxClientWait at most,
	// and killMargin after SIGTERM. What is in flight then is lost.
	maxClientWait = 3 * time.Second
	killMargin    = 700 * time.Millisecond
	// respondBefore is how long before the kill the rest gets its response: time to write it.
	respondBefore = 250 * time.Millisecond
	// exitBefore is how long before the kill the process has ended.
	exitBefore = 50 * time.Millisecond
)

// shutDown ends service for a planned restart. Closing a listener resets connections that
// wait to be accepted: it stays open for acceptGrace, while clients are
// signalled to send nothing new.
func (s *service) shutDown() error {
	slog.Info("draining")
	killedAt := time.Now().Add(s.config.killGrace())
	for _, f := range s.frontEnds {
		f.Drain() // before the listener closes, as an idle connection may not get a request after that
	}
	defer time.AfterFunc(time.Until(killedAt.Add(-respondBefore)), s.core.Shutdown).Stop()
	time.Sleep(acceptGrace)
	ctx, cancel := context.WithDeadline(context.Background(), killedAt.Add(-exitBefore))
	defer cancel()
	err := s.shutDownFrontEnds(ctx)
	if err == nil {
		slog.Info("ended")
	}
	return err
}

// shutDownFrontEnds ends them side by side and joins their errors.
func (s *service) shutDownFrontEnds(ctx context.Context) error {
	ended := make(chan error, len(s.frontEnds))
	for _, f := range s.frontEnds {
		go func() { ended <- f.Shutdown(ctx) }()
	}
	var errs error
	for range s.frontEnds {
		errs = errors.Join(errs, <-ended)
	}
	return errs
}

// killGrace is how soon after SIGTERM the process may be killed; at least long enough for
// acceptGrace and the last responses.
func (c *Config) killGrace() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	return max(min(longest, maxClientWait)+killMargin, acceptGrace+2*respondBefore)
}
