package plugin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"mothridge/internal/hook"
)

// EventJSON is an event as a file tells it, for trying a program by itself.
type EventJSON struct {
	Kind     string            `json:"kind"` // request, outcome or member
	Now      time.Time         `json:"now"`  // nothing: 2026-01-01 00:00 UTC, so that a case stays the same
	Class    string            `json:"class"`
	Tenant   string            `json:"tenant"`
	ID       string            `json:"id"`
	Key      string            `json:"key"`
	Target   string            `json:"target"`
	Size     int64             `json:"size"`
	LeftMS   float64           `json:"left_ms"`
	Retry    bool              `json:"retry"`
	Headers  map[string]string `json:"headers"`
	Ending   string            `json:"ending"`
	TookMS   float64           `json:"took_ms"`
	Name     string            `json:"name"`
	Address  string            `json:"address"`
	Site     string            `json:"site"`
	NodeKind string            `json:"node_kind"`
	State    string            `json:"state"`
}

// ReadEvent reads one from JSON, strictly.
func ReadEvent(b []byte) (*EventJSON, error) {
	var e EventJSON
	return &e, strict(b, &e)
}

func strict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		line := 1 + bytes.Count(b[:min(int(d.InputOffset()), len(b))], []byte("\n"))
		return fmt.Errorf("line %d: %w", line, err)
	}
	return nil
}

// event makes it what a program sees.
func (e *EventJSON) event() (*hook.Event, error) {
	x := &hook.Event{Kind: e.Kind, Now: e.Now}
	if e.Now.IsZero() {
		x.Now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	}
	ns := func(ms float64) int64 { return int64(ms * 1e6) }
	switch e.Kind {
	case "request":
		h := &heads{fields: make(map[string][]string)}
		for k, v := range e.Headers {
			h.fields[k] = []string{v}
		}
		x.Headers = h
		x.Text = [len(x.Text)]string{hook.RequestClass: e.Class, hook.RequestTenant: e.Tenant, hook.RequestID: e.ID, hook.RequestKey: e.Key, hook.RequestTarget: e.Target}
		x.Int[hook.RequestSize], x.Int[hook.RequestLeft] = e.Size, ns(e.LeftMS)
		if e.Retry {
			x.Int[hook.RequestRetry] = 1
		}
	case "outcome":
		x.Text = [len(x.Text)]string{hook.OutcomeClass: e.Class, hook.OutcomeTenant: e.Tenant, hook.OutcomeID: e.ID, hook.OutcomeEnding: e.Ending}
		x.Int[hook.OutcomeTook] = ns(e.TookMS)
	case "member":
		x.Text = [len(x.Text)]string{hook.MemberName: e.Name, hook.MemberAddress: e.Address, hook.MemberSite: e.Site, hook.MemberKind: e.NodeKind, hook.MemberState: e.State}
	default:
		return nil, fmt.Errorf("kind %q: request, outcome or member is meant", e.Kind)
	}
	return x, nil
}

// Trial runs a program by itself, with a state of its own that it keeps from one
// run to the next.
type Trial struct {
	program *hook.Program
	kept    *kept
	limits  hook.Limits
	space   workspace
}

// NewTrial makes one; limits of 0 are the defaults.
func NewTrial(p *hook.Program, l hook.Limits) *Trial {
	if l.Fuel <= 0 {
		l.Fuel = hook.DefaultFuel
	}
	if l.Memory <= 0 {
		l.Memory = hook.DefaultMemory
	}
	return &Trial{program: p, kept: keep(p.States, nil), limits: l}
}

// Run runs the program for an event and keeps what it adds to its state.
func (t *Trial) Run(e *EventJSON) (hook.Result, error) {
	x, err := e.event()
	if err != nil {
		return hook.Result{}, err
	}
	return t.run(x)
}

func (t *Trial) run(x *hook.Event) (hook.Result, error) {
	t.space.view = view{kept: t.kept, decls: t.program.States, now: x.Now, changes: t.space.view.changes[:0]}
	r, err := t.space.machine.Run(t.program, x, &t.space.view, t.limits)
	if err == nil {
		t.space.view.commit()
	}
	return r, err
}

// Bench runs the program n times for an event and gives the time of one run.
func (t *Trial) Bench(e *EventJSON, n int) (time.Duration, error) {
	x, err := e.event()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	for range n {
		if _, err := t.run(x); err != nil {
			return 0, err
		}
	}
	return time.Since(began) / time.Duration(n), nil
}

// Describe writes an effect as the program would.
func Describe(e hook.Effect) string {
	q := strconv.Quote
	switch e.Kind {
	case hook.SetHeader:
		return "set_header " + q(e.Name) + " " + q(e.Text)
	case hook.RemoveHeader:
		return "remove_header " + q(e.Name)
	case hook.Tag:
		return "tag " + q(e.Text)
	case hook.SetTenant:
		return "set_tenant " + q(e.Text)
	case hook.Refuse:
		return "refuse " + q(e.Text) + " " + e.Pause.String()
	case hook.Count:
		return "count " + q(e.Name)
	}
	return "label " + q(e.Name) + " " + q(e.Text)
}

// Case is an event and what a program is to ask for.
type Case struct {
	Name    string    `json:"name"`
	Event   EventJSON `json:"event"`
	Repeat  int       `json:"repeat"`  // runs before the effects are looked at; 0: one
	Effects []string  `json:"effects"` // as Describe writes them
	Error   string    `json:"error"`   // a part of it, where the run is to fail
}

// CasesFile is where the cases of a program stand: beside it.
func CasesFile(program string) string { return strings.TrimSuffix(program, ".hook") + ".cases.json" }

// Test runs the cases beside a program, each with a state of its own, and tells
// of each how it went; the error counts those that went otherwise.
func Test(path string, told func(name string, diff string)) error {
	p, err := hook.Load(path)
	if err != nil {
		return err
	}
	file := CasesFile(path)
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	var cases []Case
	if err := strict(b, &cases); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	wrong := 0
	for i := range cases {
		diff := cases[i].play(p)
		if diff != "" {
			wrong++
		}
		told(cases[i].Name, diff)
	}
	if wrong > 0 {
		return fmt.Errorf("%s: %d of %d cases went otherwise", file, wrong, len(cases))
	}
	if len(cases) == 0 {
		return fmt.Errorf("%s: there is no case", file)
	}
	return nil
}

// play gives the difference, line by line; "" where there is none.
func (c *Case) play(p *hook.Program) string {
	t := NewTrial(p, hook.Limits{})
	var got []string
	var err error
	for range max(1, c.Repeat) {
		var r hook.Result
		r, err = t.Run(&c.Event)
		got = got[:0]
		for _, e := range r.Effects {
			got = append(got, Describe(e))
		}
	}
	switch {
	case err != nil && c.Error == "":
		return "  failed: " + err.Error()
	case c.Error != "" && (err == nil || !strings.Contains(err.Error(), c.Error)):
		return fmt.Sprintf("- an error with %q\n+ %v", c.Error, err)
	}
	return difference(c.Effects, got)
}

func difference(want, got []string) string {
	var b strings.Builder
	same := true
	for i := range max(len(want), len(got)) {
		switch {
		case i < len(want) && i < len(got) && want[i] == got[i]:
			fmt.Fprintln(&b, "  "+want[i])
			continue
		case i < len(want):
			fmt.Fprintln(&b, "- "+want[i])
		}
		if i < len(got) {
			fmt.Fprintln(&b, "+ "+got[i])
		}
		same = false
	}
	if same {
		return ""
	}
	return strings.TrimSuffix(b.String(), "\n")
}
