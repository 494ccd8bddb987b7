// Package plugin runs the operators' plug-ins: programs of the hook language
// that see each request before the decision module does, its outcome, and the
// instances of the list. What they ask for is checked against what their
// manifest allows and done whole or not at all. They never choose a server or a
// repeat, and no run is on the core's goroutine.
package plugin

import (
	"errors"
	"fmt"
	"log/slog"
	"net/textproto"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"

	"mothridge/internal/hook"
	"mothridge/internal/plugin/breaker"
)

// Spec is what the operators' file says of a plug-in.
type Spec struct {
	Name      string
	File      string
	Hooks     []string // that it is run for; none: all that it has
	Headers   []string // patterns of those it may set and remove
	Tenants   []string // whose compartments it may give requests to
	MayRefuse bool
	Limits    hook.Limits
	Refuse    bool     // when it fails the request is refused; else it goes on
	Refused   []string // classes that are refused then in any case
}

// Counts tell what became of a plug-in's runs.
type Counts struct {
	Runs      uint64
	Refused   uint64 // requests, by its word
	Failed    uint64 // runs
	Exhausted uint64 // of those, for want of fuel or memory
	Denied    uint64 // of those, for effects that its manifest or a bound does not allow
	Skipped   uint64 // while it was suspended
}

// Plugin is one that is loaded.
type Plugin struct {
	spec    Spec
	program *hook.Program
	kept    *kept

	mu      sync.Mutex
	breaker *breaker.Breaker
	begin   time.Time
	named   map[string]uint64 // its own counts
	tellAt  time.Duration     // what goes wrong is told again after this

	runs, refused, failed, exhausted, denied, skipped atomic.Uint64
}

// Bounds of what a plug-in may ask for.
const (
	mostNames  = 64       // of its own counts
	mostFields = 16 << 10 // bytes of a request's header with what was set
	mostReason = 200      // bytes
	mostPause  = time.Hour
	tellEvery  = time.Minute // at most, of a plug-in that fails
	// TagField holds the tags of a request; what a client sends of it is dropped.
	TagField = "Request-Tags"
)

// protected are the fields that say what a request is and how it goes on.
var protected = []string{
	"Host", "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "Te", "Trailer", "Upgrade", "Proxy-Connection", "Request-Id", "Request-Class",
	"Request-Timeout", "Tenant", "Idempotency-Key", "Client-Retry", "Work-Hint", TagField,
}

func load(s Spec, old *Plugin) (*Plugin, error) {
	program, err := hook.Load(s.File)
	if err != nil {
		return nil, fmt.Errorf("plug-in %q: %w", s.Name, err)
	}
	for _, h := range s.Hooks {
		if !program.HasHook(h) {
			return nil, fmt.Errorf("plug-in %q: %s has no \"on %s\"", s.Name, s.File, h)
		}
	}
	if s.Limits.Fuel <= 0 {
		s.Limits.Fuel = hook.DefaultFuel
	}
	if s.Limits.Memory <= 0 {
		s.Limits.Memory = hook.DefaultMemory
	}
	p := &Plugin{spec: s, program: program, breaker: breaker.New(breaker.Config{}), begin: time.Now(), named: make(map[string]uint64)}
	var was *kept
	if old != nil {
		was = old.kept
	}
	p.kept = keep(program.States, was)
	return p, nil
}

// runs says whether it is run for a kind of event.
func (p *Plugin) has(kind string) bool {
	return p.program.HasHook(kind) && (len(p.spec.Hooks) == 0 || slices.Contains(p.spec.Hooks, kind))
}

// Counts returns what was counted so far.
func (p *Plugin) Counts() Counts {
	return Counts{p.runs.Load(), p.refused.Load(), p.failed.Load(), p.exhausted.Load(), p.denied.Load(), p.skipped.Load()}
}

// workspace is what a run needs; it is used again.
type workspace struct {
	machine hook.Machine
	event   hook.Event
	view    view
	heads   heads
}

// errDenied is an effect that a manifest or a bound does not allow.
var errDenied = errors.New("not allowed")

// run runs a hook and has its effects accepted; the state is kept only where
// both end well. An error has been counted and, the first of a row, told.
func (p *Plugin) run(w *workspace, accept func([]hook.Effect) error) (skipped bool, err error) {
	now := time.Since(p.begin)
	p.mu.Lock()
	allowed := p.breaker.Allow(now)
	p.mu.Unlock()
	if !allowed {
		p.skipped.Add(1)
		return true, nil
	}
	p.runs.Add(1)
	err = p.guarded(w, accept)
	bad := errors.Is(err, hook.ErrFuel) || errors.Is(err, hook.ErrMemory) || errors.Is(err, hook.ErrDepth) || errors.Is(err, errPanic)
	p.mu.Lock()
	changed := p.breaker.Done(time.Since(p.begin), bad)
	state, tell := p.breaker.State(), (err != nil || changed) && now >= p.tellAt
	if tell {
		p.tellAt = now + tellEvery
	}
	p.mu.Unlock()
	if err != nil {
		p.failed.Add(1)
		if bad {
			p.exhausted.Add(1)
		}
		if errors.Is(err, errDenied) {
			p.denied.Add(1)
		}
	}
	if tell { // the counts have the rest: a log that grows with what goes wrong is a fault of its own
		slog.Warn("plug-in", "plugin", p.spec.Name, "breaker", state.String(), "failed", p.failed.Load(), "err", err)
	}
	return false, err
}

// errPanic is a fault of the machine itself.
var errPanic = errors.New("the machine failed")

// guarded runs a hook; a panic in the machine is this plug-in's failure alone.
func (p *Plugin) guarded(w *workspace, accept func([]hook.Effect) error) (err error) {
	defer func() {
		if v := recover(); v != nil {
			w.machine = hook.Machine{}
			err = fmt.Errorf("%w: %v", errPanic, v)
		}
	}()
	w.view = view{kept: p.kept, decls: p.program.States, now: w.event.Now, changes: w.view.changes[:0]}
	r, err := w.machine.Run(p.program, &w.event, &w.view, p.spec.Limits)
	if err != nil {
		return err
	}
	if err := accept(r.Effects); err != nil {
		return err
	}
	w.view.commit()
	return nil
}

// mayTouch says whether it may set or remove a field, by its canonical name.
func (p *Plugin) mayTouch(name string) bool {
	if slices.Contains(protected, name) {
		return false
	}
	return slices.ContainsFunc(p.spec.Headers, func(pattern string) bool {
		ok, _ := path.Match(textproto.CanonicalMIMEHeaderKey(pattern), name)
		return ok
	})
}

// denied is an error that names the effect and the mend.
func denied(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errDenied, fmt.Sprintf(format, args...))
}

// field checks the name and value of a field that is to be set.
func (p *Plugin) field(e *hook.Effect) (string, error) {
	name := textproto.CanonicalMIMEHeaderKey(e.Name)
	switch {
	case !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(e.Text):
		return "", denied("%.40q: %.40q is no header field", e.Name, e.Text)
	case !p.mayTouch(name):
		return "", denied("the header %q: headers of the plug-in's manifest does not name it, or it says what the request is", name)
	}
	return name, nil
}

// count adds to one of its own counts.
func (p *Plugin) count(name string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.named[name]; !known && (len(p.named) >= mostNames || len(name) > 64) {
		return denied("the count %.40q: %d names of up to 64 bytes are kept", name, mostNames)
	}
	p.named[name]++
	return nil
}

// Named returns its own counts.
func (p *Plugin) Named() map[string]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string]uint64, len(p.named))
	for k, v := range p.named {
		out[k] = v
	}
	return out
}

// tagText says whether a tag can stand in a list of them.
func tagText(s string) bool {
	return s != "" && len(s) <= 64 && !strings.ContainsAny(s, ", ") && httpguts.ValidHeaderFieldValue(s)
}
