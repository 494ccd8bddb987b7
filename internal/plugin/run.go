package plugin

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"mothridge/internal/hook"
)

// logInterval is the minimum time between two log lines about a failing plug-in.
const logInterval = time.Minute

// workspace holds the data of a run. It is reused by later runs.
type workspace struct {
	machine hook.Machine
	event   hook.Event
	view    stateView
	headers requestHeaders
}

// setEvent sets the fields that all kinds of events have. The caller sets the other fields, in particular
// the numbers in Int, which are not reset.
func (w *workspace) setEvent(kind string, now time.Time) {
	w.event.Kind = kind
	w.event.Now = now
	w.event.Headers = nil
}

// errPanic is the error of a run that panicked.
var errPanic = errors.New("the machine failed")

// run runs the program for the workspace's event and calls applyEffects with the effects. The run's changes
// of the state are committed only if both succeed. While the circuit breaker is open, the run is skipped.
// run counts an error before it returns it, and logs errors at most once in logInterval.
func (p *Plugin) run(w *workspace, applyEffects func([]hook.Effect) error) (skipped bool, err error) {
	now := time.Since(p.startedAt)
	if !p.allow(now) {
		p.skipped.Add(1)
		return true, nil
	}
	p.runs.Add(1)
	err = p.runRecovered(w, applyEffects)
	p.countFailure(err)
	p.recordResult(now, err)
	return false, err
}

// allow reports whether the circuit breaker allows a run.
func (p *Plugin) allow(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.breaker.Allow(now)
}

// recordResult reports the result of a run to the circuit breaker. It logs an error or a change of the
// breaker's state at most once in logInterval, so that the log does not grow with the number of failures;
// the counters include the failures that are not logged.
func (p *Plugin) recordResult(runStartedAt time.Duration, err error) {
	p.mu.Lock()
	changed := p.breaker.Done(time.Since(p.startedAt), isExhausted(err))
	state := p.breaker.State()
	shouldLog := (err != nil || changed) && runStartedAt >= p.nextLogAt
	if shouldLog {
		p.nextLogAt = runStartedAt + logInterval
	}
	p.mu.Unlock()
	if shouldLog {
		slog.Warn("plug-in run failed or its circuit breaker changed state", "plugin", p.spec.Name, "breaker", state.String(), "failed", p.failed.Load(), "err", err)
	}
}

// countFailure counts a failed run, by the kind of the failure.
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

// isExhausted reports whether a run used up its fuel, memory or depth, or panicked. The circuit breaker
// counts only these failures.
func isExhausted(err error) bool {
	for _, reason := range []error{hook.ErrFuel, hook.ErrMemory, hook.ErrDepth, errPanic} {
		if errors.Is(err, reason) {
			return true
		}
	}
	return false
}

// runRecovered runs the program and applyEffects, and commits the changes of the state. It recovers from a
// panic and returns it as an error, so that the panic affects only this plug-in.
func (p *Plugin) runRecovered(w *workspace, applyEffects func([]hook.Effect) error) (err error) {
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
	if err := applyEffects(result.Effects); err != nil {
		return err
	}
	if w.view.commit() > 0 {
		p.logEviction()
	}
	return nil
}

// logEviction reports at most once in logInterval that entries of the state do not fit into the memory limit.
func (p *Plugin) logEviction() {
	now := time.Since(p.startedAt)
	p.mu.Lock()
	shouldLog := now >= p.nextEvictionLogAt
	if shouldLog {
		p.nextEvictionLogAt = now + logInterval
	}
	p.mu.Unlock()
	if shouldLog {
		bytes, evicted := p.state.usage()
		slog.Warn("plug-in state is at its memory limit; removing the entries that were updated least recently",
			"plugin", p.spec.Name, "bytes", bytes, "evicted", evicted)
	}
}
