package plugin

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/hook"
	"mothridge/internal/plugin/breaker"
)

// Bounds of the counters that a program increments.
const (
	maxCounters         = 64
	maxCounterNameBytes = 64
)

// Counts holds the numbers of a plug-in's runs by result.
type Counts struct {
	Runs      uint64 // runs of the program
	Rejected  uint64 `metric:"refused"` // requests rejected by the program or because the program failed
	Failed    uint64 // runs that ended with an error
	Exhausted uint64 // failed runs that ran out of fuel, memory or depth, or panicked
	Denied    uint64 // failed runs with an effect that the manifest or a bound does not allow
	Skipped   uint64 // events without a run because the circuit breaker was open
}

// Status describes a loaded plug-in.
type Status struct {
	Name            string
	Breaker         string // state of the circuit breaker
	Counts          Counts
	ProgramCounters map[string]uint64 // counters that the program increments, by name
	StateBytes      int64             // memory of the entries of its maps
	StateEvicted    uint64            // entries of its maps that were removed to keep within the memory limit
}

// Plugin is a loaded plug-in. Its methods may be called from any goroutine.
type Plugin struct {
	spec      Spec
	program   *hook.Program
	state     *sharedState
	startedAt time.Time // origin of the breaker's times and of the times of log lines

	mu                sync.Mutex // guards the following fields
	breaker           *breaker.Breaker
	counters          map[string]uint64 // counters that the program increments, by name
	nextLogAt         time.Duration     // earliest time of the next log line about a failure
	nextEvictionLogAt time.Duration     // earliest time of the next log line about evicted entries

	// The fields of Counts.
	runs, rejected, failed, exhausted, denied, skipped atomic.Uint64
}

// load reads and compiles a plug-in. It uses the state of the plug-in that it replaces, if replaced is not nil,
// but does not change that state: see declareState.
func load(spec Spec, replaced *Plugin) (*Plugin, error) {
	program, err := hook.Load(spec.File)
	if err != nil {
		return nil, fmt.Errorf("plug-in %q: %w", spec.Name, err)
	}
	for _, kind := range spec.Hooks {
		if !program.HasHook(kind) {
			return nil, fmt.Errorf("plug-in %q: %s has no hook \"on %s\"", spec.Name, spec.File, kind)
		}
	}
	state := newSharedState()
	if replaced != nil {
		state = replaced.state
	}
	return &Plugin{
		spec:      spec.withDefaults(),
		program:   program,
		state:     state,
		startedAt: time.Now(),
		breaker:   breaker.New(breaker.Config{}),
		counters:  make(map[string]uint64),
	}, nil
}

// hasMaps reports whether the program declares a map.
func (p *Plugin) hasMaps() bool {
	return slices.ContainsFunc(p.program.States, func(s hook.State) bool { return nameOf(s).isMap })
}

// declareState prepares the state for the program. The memory of its maps is bounded by maxBytes; 0 means no
// bound.
func (p *Plugin) declareState(maxBytes int64) { p.state.declare(p.program.States, maxBytes) }

// status returns the plug-in's status.
func (p *Plugin) status() Status {
	bytes, evicted := p.state.usage()
	return Status{
		Name:            p.spec.Name,
		Breaker:         p.breakerState(),
		Counts:          p.Counts(),
		ProgramCounters: p.ProgramCounters(),
		StateBytes:      bytes,
		StateEvicted:    evicted,
	}
}

// runsFor reports whether the plug-in runs for a kind of event.
func (p *Plugin) runsFor(kind string) bool {
	isEnabled := len(p.spec.Hooks) == 0 || slices.Contains(p.spec.Hooks, kind)
	return isEnabled && p.program.HasHook(kind)
}

// Counts returns the counts since the plug-in was loaded.
func (p *Plugin) Counts() Counts {
	return Counts{
		Runs:      p.runs.Load(),
		Rejected:  p.rejected.Load(),
		Failed:    p.failed.Load(),
		Exhausted: p.exhausted.Load(),
		Denied:    p.denied.Load(),
		Skipped:   p.skipped.Load(),
	}
}

// breakerState returns the name of the circuit breaker's state for metrics.
func (p *Plugin) breakerState() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.breaker.State().String()
}

// count adds 1 to a counter of the program. It returns an error if the counter is new and there are
// maxCounters already, or its name is too long.
func (p *Plugin) count(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, known := p.counters[name]
	fits := len(p.counters) < maxCounters && len(name) <= maxCounterNameBytes
	if !known && !fits {
		return denied("the count %.40q: %d names of up to 64 bytes are kept", name, maxCounters)
	}
	if !known {
		name = strings.Clone(name) // the name may be a part of a much longer text, which must not be kept
	}
	p.counters[name]++
	return nil
}

// countAll adds 1 to each of the counters. It stops at the first counter that is not allowed and returns
// its error; the counters before it stay incremented.
func (p *Plugin) countAll(names []string) error {
	for _, name := range names {
		if err := p.count(name); err != nil {
			return err
		}
	}
	return nil
}

// ProgramCounters returns a copy of the counters that the program increments, by name.
func (p *Plugin) ProgramCounters() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.counters)
}
