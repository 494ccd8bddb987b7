package plugin

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"mothridge/internal/hook"
)

// logInterval is the least time between two log lines about a plug-in that fails.
const logInterval = time.Minute

// workspace is what a run needs; it is used again.
type workspace struct {
	machine hook.Machine
	event   hook.Event
	view    stateView
	headers requestHeaders
}

// setEvent sets what all kinds of events have. The caller sets the numbers in Int.
func (w *workspace) setEvent(kind string, now time.Time) {
	w.event.Kind = kind
	w.event.Now = now
	w.event.Headers = nil
}

// errPanic is a panic in the virtual machine.
var errPanic = errors.New("the machine failed")

// run runs a plug-in for the workspace's event, and accept with its effects. The changes of the
// state are kept only if both succeed. While the circuit breaker is open the run is skipped. An
// error has been counted and, at most once in logInterval, logged.
func (p *Plugin) run(w *workspace, accept func([]hook.Effect) error) (skipped bool, err error) {
	now := time.Since(p.started)
	if !p.allow(now) {
		p.skipped.Add(1)
		return true, nil
	}
	p.runs.Add(1)
	err = p.runGuarded(w, accept)
	p.countFailure(err)
	p.finish(now, err)
	return false, err
}

// allow reports whether the circuit breaker allows a run.
func (p *Plugin) allow(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.breaker.Allow(now)
}

// finish gives the result of a run to the circuit breaker and logs it if that is due. The counters
// hold the rest, so that the log does not grow with the failures.
func (p *Plugin) finish(startedAt time.Duration, err error) {
	p.mu.Lock()
	changed := p.breaker.Done(time.Since(p.started), isExhausted(err))
	state := p.breaker.State()
	logs := (err != nil || changed) && startedAt >= p.nextLogAt
	if logs {
		p.nextLogAt = startedAt + logInterval
	}
	p.mu.Unlock()
	if logs {
		slog.Warn("plug-in", "plugin", p.spec.Name, "breaker", state.String(), "failed", p.failed.Load(), "err", err)
	}
}

func (p *Plugin) countFailure(err error) {
	if err == nil {
		return
	}
	p.failed.Add(1)
	if isExhausted(err) {
		p.exhausted.Add(1)
	}
	if errors.Is(err, errDenied) {
		p.denied.Add(1)
	}
}

// isExhausted reports whether a run used up its budget or broke the machine: the failures that the
// circuit breaker counts.
func isExhausted(err error) bool {
	for _, reason := range []error{hook.ErrFuel, hook.ErrMemory, hook.ErrDepth, errPanic} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// runGuarded runs the program. A panic in the machine is an error of this plug-in alone.
func (p *Plugin) runGuarded(w *workspace, accept func([]hook.Effect) error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			w.machine = hook.Machine{}
			err = fmt.Errorf("%w: %v", errPanic, v)
		}
	}()
	w.view.reset(p.state, p.program.States, w.event.Now)
	result, err := w.machine.Run(p.program, &w.event, &w.view, p.spec.Limits)
	if err != nil {
		return err
	}
	if err := accept(result.Effects); err != nil {
		return err
	}
	w.view.commit()
	return nil
}
