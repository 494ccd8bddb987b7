package plugin

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/hook"
	"mothridge/internal/plugin/breaker"
)

// Bounds of a plug-in's own counters.
const (
	maxCounters         = 64
	maxCounterNameBytes = 64
)

// Counts are what became of a plug-in's runs.
type Counts struct {
	Runs      uint64
	Refused   uint64 // requests, by the plug-in or because it failed
	Failed    uint64 // runs
	Exhausted uint64 // of the failed: out of fuel, memory or depth, or a panic
	Denied    uint64 // of the failed: an effect that the manifest or a bound does not allow
	Skipped   uint64 // events while the circuit breaker was open
}

// Plugin is a loaded plug-in. Its methods may be called from any goroutine.
type Plugin struct {
	spec    Spec
	program *hook.Program
	state   *sharedState
	started time.Time // the breaker's times count from here

	mu        sync.Mutex // of what follows
	breaker   *breaker.Breaker
	counters  map[string]uint64 // its own
	nextLogAt time.Duration     // since started

	runs, refused, failed, exhausted, denied, skipped atomic.Uint64
}

// load reads and compiles a plug-in. It continues with the state of the plug-in that it replaces, if any.
func load(spec Spec, replaced *Plugin) (*Plugin, error) {
	program, err := hook.Load(spec.File)
	if err != nil {
		return nil, fmt.Errorf("plug-in %q: %w", spec.Name, err)
	}
	for _, kind := range spec.Hooks {
		if !program.HasHook(kind) {
			return nil, fmt.Errorf("plug-in %q: %s has no \"on %s\"", spec.Name, spec.File, kind)
		}
	}
	var oldState *sharedState
	if replaced != nil {
		oldState = replaced.state
	}
	return &Plugin{
		spec:     spec.withDefaults(),
		program:  program,
		state:    newSharedState(program.States, oldState),
		started:  time.Now(),
		breaker:  breaker.New(breaker.Config{}),
		counters: make(map[string]uint64),
	}, nil
}

// runsFor reports whether the plug-in runs for a kind of event.
func (p *Plugin) runsFor(kind string) bool {
	isEnabled := len(p.spec.Hooks) == 0 || slices.Contains(p.spec.Hooks, kind)
	return isEnabled && p.program.HasHook(kind)
}

// Counts returns what was counted so far.
func (p *Plugin) Counts() Counts {
	return Counts{
		Runs:      p.runs.Load(),
		Refused:   p.refused.Load(),
		Failed:    p.failed.Load(),
		Exhausted: p.exhausted.Load(),
		Denied:    p.denied.Load(),
		Skipped:   p.skipped.Load(),
	}
}

// breakerState returns the circuit breaker's state for logs and metrics.
func (p *Plugin) breakerState() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.breaker.State().String()
}

// count adds 1 to one of the plug-in's own counters.
func (p *Plugin) count(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.counters[name]
	fits := len(p.counters) < maxCounters && len(name) <= maxCounterNameBytes
	if !known && !fits {
		return denied("the count %.40q: %d names of up to 64 bytes are kept", name, maxCounters)
	}
	p.counters[name]++
	return nil
}

// countAll adds 1 to each of the counters, up to the first that is not allowed.
func (p *Plugin) countAll(names []string) error {
	for _, name := range names {
		if err := p.count(name); err != nil {
			return err
		}
	}
	return nil
}

// Named returns a copy of the plug-in's own counters.
func (p *Plugin) Named() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counters)
}
