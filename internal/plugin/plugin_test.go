package plugin

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
	"mothridge/internal/plugin/breaker"
)

// servingHandler is a core.Handler that responds to all requests as served.
type servingHandler struct {
	mu    sync.Mutex
	taken []*core.Request
}

func (l *servingHandler) Submit(r *core.Request) {
	l.mu.Lock()
	l.taken = append(l.taken, r)
	l.mu.Unlock()
	r.Respond(core.Response{Result: core.Served})
}
func (l *servingHandler) Abandon(*core.Request)  {}
func (l *servingHandler) HasRequest(string) bool { return false }
func (l *servingHandler) Ready() bool            { return true }

// writePrograms writes programs to files of the test.
func writePrograms(t testing.TB, programs ...string) []string {
	t.Helper()
	var paths []string
	for i, p := range programs {
		path := filepath.Join(t.TempDir(), fmt.Sprintf("p%d.hook", i))
		if err := os.WriteFile(path, []byte(p), 0o600); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	return paths
}

func newTestGate(t testing.TB, specs ...Spec) (*Gate, *servingHandler) {
	t.Helper()
	g, err := NewGate(Config{Classes: []string{"weight-reading", "harvest-entry"}, Tenants: []string{"downs", "lockyer"}, Specs: specs})
	if err != nil {
		t.Fatal(err)
	}
	l := new(servingHandler)
	g.SetNext(l)
	return g, l
}

// submit submits a request and returns all responses to it.
func submit(g *Gate, class int, fields map[string][]string) (*core.Request, []core.Response) {
	var responses []core.Response
	if fields == nil {
		fields = make(map[string][]string)
	}
	r := &core.Request{ID: "r1", Class: class, Deadline: time.Now().Add(time.Second), Message: core.Message{Fields: fields}}
	r.Respond = func(a core.Response) { responses = append(responses, a) }
	g.Submit(r)
	return r, responses
}

// What a request goes on with, or how it is refused, and that each has one answer.
func TestEffects(t *testing.T) {
	all := Spec{Name: "p", Headers: []string{"X-*", "Tenant"}, Tenants: []string{"lockyer"}, MayReject: true}
	for _, x := range []struct {
		name, program string
		change        func(*Spec)
		fields        map[string][]string // that come
		want          map[string][]string // that go on; nil: it is refused
		tenant        int
		failed        uint64
	}{
		{"set, remove and tag", `on request { set_header("x-a", "1")  remove_header("X-B")  tag("a")  tag("b") }`, nil, map[string][]string{"X-B": {"2"}}, map[string][]string{"X-A": {"1"}, TagField: {"a,b"}}, 0, 0},
		{"a tag of the client's own", `on request { }`, nil, map[string][]string{TagField: {"forged"}}, map[string][]string{}, 0, 0},
		{"another compartment", `on request { set_tenant("lockyer") }`, nil, nil, map[string][]string{}, 1, 0},
		{"a compartment that is not allowed", `on request { set_tenant("downs")  tag("x") }`, nil, nil, map[string][]string{}, 0, 1},
		{"a header that is not allowed", `on request { tag("x")  set_header("Y-A", "1") }`, nil, nil, map[string][]string{}, 0, 1},
		{"a header that says what the request is", `on request { set_header("tenant", "lockyer") }`, nil, nil, map[string][]string{}, 0, 1},
		{"a line break", `on request { set_header("X-A", "1\r\nX-Evil: 1") }`, nil, nil, map[string][]string{}, 0, 1},
		{"a line break in a name", `on request { set_header("X-A\r\nX-Evil", "1") }`, nil, nil, map[string][]string{}, 0, 1},
		{"a tag with a comma", `on request { tag("a,b") }`, nil, nil, map[string][]string{}, 0, 1},
		{"a header that grows over the bound", `on request { var s = "xxxxxxxx"  for i in 0..11 { s = s + s } set_header("X-A", s)  tag("x") }`, nil, nil, map[string][]string{}, 0, 1},
		{"half of the effects before a failure", `on request { set_header("X-A", "1")  set_tenant("lockyer")  let z = 0  tag(text(1 / z)) }`, nil, nil, map[string][]string{}, 0, 1},
		{"a refusal", `on request { set_header("X-A", "1")  refuse("out\nside", 2s) }`, nil, nil, nil, 0, 0},
		{"a refusal that is not allowed", `on request { refuse("no", 2s) }`, func(s *Spec) { s.MayReject = false }, nil, map[string][]string{}, 0, 1},
		{"a failure that refuses", `on request { let z = 0  tag(text(1 / z)) }`, func(s *Spec) { s.RejectOnFailure = true }, nil, nil, 0, 1},
		{"a failure that refuses this class", `on request { let z = 0  tag(text(1 / z)) }`, func(s *Spec) { s.RejectClasses = []string{"weight-reading"} }, nil, nil, 0, 1},
		{"a failure that refuses another class", `on request { let z = 0  tag(text(1 / z)) }`, func(s *Spec) { s.RejectClasses = []string{"harvest-entry"} }, nil, map[string][]string{}, 0, 1},
	} {
		s := all
		s.File = writePrograms(t, x.program)[0]
		s.Limits = hook.Limits{Memory: 1 << 20}
		if x.change != nil {
			x.change(&s)
		}
		g, l := newTestGate(t, s)
		r, responses := submit(g, 0, x.fields)
		if len(responses) != 1 || (responses[0].Result == core.Served) != (x.want != nil) || (len(l.taken) == 1) != (x.want != nil) {
			t.Errorf("%s: responses %+v, %d went on", x.name, responses, len(l.taken))
			continue
		}
		if x.want != nil && (!reflect.DeepEqual(r.Fields, x.want) || r.Tenant != x.tenant) {
			t.Errorf("%s: goes on with %q to tenant %d, want %q and %d", x.name, r.Fields, r.Tenant, x.want, x.tenant)
		}
		if x.want == nil && (responses[0].Result != core.Rejected || responses[0].RetryAfter < time.Second || strings.ContainsAny(responses[0].Detail, "\r\n")) {
			t.Errorf("%s: %+v", x.name, responses[0])
		}
		if c := g.plugins.Load().all[0].Counts(); c.Failed != x.failed || c.Runs != 1 {
			t.Errorf("%s: %+v", x.name, c)
		}
	}
}

// Two plug-ins: the second sees what the first did, or, where the first fails,
// the request as it came.
func TestOrder(t *testing.T) {
	second := `on request { if header("X-A") == "" { tag("bare") } else { tag("seen-" + header("X-A")) } }`
	for first, want := range map[string]string{
		`on request { set_header("X-A", "1") }`:                                          "seen-1",
		`on request { set_header("X-A", "1")  let z = 0  set_header("X-B", text(1/z)) }`: "bare",
		`on request { set_header("X-A", "1")  while true { } }`:                          "bare",
	} {
		files := writePrograms(t, first, second)
		g, _ := newTestGate(t, Spec{Name: "a", File: files[0], Headers: []string{"X-*"}}, Spec{Name: "b", File: files[1]})
		if r, responses := submit(g, 0, nil); len(responses) != 1 || r.Fields[TagField][0] != want {
			t.Errorf("%s: %q, %+v", first, r.Fields, responses)
		}
	}
}

// One that keeps using up its budget is left out and costs nothing more; the
// state of a failed run is not kept.
func TestSuspension(t *testing.T) {
	g, _ := newTestGate(t, Spec{Name: "p", File: writePrograms(t, `state n: counter on request { add(n, 1)  while true { } }`)[0]})
	for range 50 {
		if _, responses := submit(g, 0, nil); len(responses) != 1 || responses[0].Result != core.Served {
			t.Fatalf("%+v", responses)
		}
	}
	p := g.plugins.Load().all[0]
	if c := p.Counts(); c.Exhausted != breaker.DefaultMaxFailures || c.Skipped != 50-breaker.DefaultMaxFailures || p.breaker.State() != breaker.Open {
		t.Errorf("%+v, %v", c, p.breaker.State())
	}
	p.spec.RejectOnFailure = true
	if _, responses := submit(g, 0, nil); len(responses) != 1 || responses[0].Result != core.Rejected {
		t.Errorf("left out, with a rule that refuses: %+v", responses)
	}
	if n := (&stateView{shared: p.state, declarations: p.program.States}).Value(0, ""); n != 0 {
		t.Errorf("failed runs left a count of %d", n)
	}
}

// A panic inside of the machine is the plug-in's failure alone.
func TestPanic(t *testing.T) {
	g, _ := newTestGate(t, Spec{Name: "p", File: writePrograms(t, `on request { tag("x") }`)[0]})
	p := g.plugins.Load().all[0]
	var w workspace
	w.event.Kind = "request"
	if _, err := p.run(&w, func([]hook.Effect) error { panic("broken") }); err == nil || !strings.Contains(err.Error(), "the machine failed: broken") {
		t.Errorf("%v", err)
	}
	if _, responses := submit(g, 0, nil); len(responses) != 1 || responses[0].Result != core.Served {
		t.Errorf("after it: %+v", responses)
	}
}

// Other plug-ins at one instant, or none: state stays with the name, a broken
// program leaves all as it was, and calls under way are not disturbed.
func TestReload(t *testing.T) {
	files := writePrograms(t, `state n: map 10 1h on request { tag("one-" + text(add(n, "x", 1))) }`, `state n: map 10 1h on request { tag("two-" + text(add(n, "x", 1))) }`, `on request { tag(1) }`)
	g, _ := newTestGate(t, Spec{Name: "p", File: files[0]})
	tag := func() string {
		r, _ := submit(g, 0, nil)
		return r.Fields[TagField][0]
	}
	if got := tag() + " " + tag(); got != "one-1 one-2" {
		t.Error(got)
	}
	for _, bad := range [][]Spec{{{Name: "p", File: files[1]}, {Name: "q", File: files[2]}}, {{Name: "p", File: "none.hook"}}, {{Name: "p", File: files[1], Tenants: []string{"nobody"}}}, {{Name: "p", File: files[1], Hooks: []string{"outcome"}}}} {
		if err := g.Load(bad); err == nil || tag()[:4] != "one-" {
			t.Errorf("%+v is loaded: %v", bad, err)
		}
	}
	if err := g.Load([]Spec{{Name: "p", File: files[1]}}); err != nil || tag() != "two-7" {
		t.Errorf("%v, %s", err, tag())
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 200 {
				if got := tag()[:4]; got != "one-" && got != "two-" {
					t.Error(got)
				}
			}
		})
	}
	for i := range 50 {
		if err := g.Load([]Spec{{Name: "p", File: files[i%2]}}); err != nil {
			t.Error(err)
		}
	}
	wg.Wait()
}

// Outcomes and instances have their hooks too, and what waits is bounded.
func TestOutcomesAndMembers(t *testing.T) {
	g, _ := newTestGate(t, Spec{Name: "p", File: writePrograms(t, `
on outcome { count(event.ending + "-" + event.class)  label("club", event.tenant) }
on member { if has_prefix(event.name, "old-") { label("kind", "slow")  count("old") } else if event.name == "bad" { label("colour", "red") } }`)[0]})
	done, ended := make(chan struct{}), make(chan struct{})
	for range outcomeQueueLength + 10 {
		submit(g, 1, nil)
	}
	if g.Dropped() != 10 {
		t.Errorf("%d outcomes dropped", g.Dropped())
	}
	go func() { g.Run(done); close(ended) }()
	p := g.plugins.Load().all[0]
	for end := time.Now().Add(10 * time.Second); p.Named()["served-harvest-entry"] < outcomeQueueLength && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	close(done)
	<-ended
	n := core.EndpointUpdate{Endpoints: []core.Endpoint{{Name: "old-1", MachineType: "m"}, {Name: "new-1", MachineType: "m"}, {Name: "bad", MachineType: "m"}}}
	got := g.Members(n)
	if named := p.Named(); named["served-harvest-entry"] != outcomeQueueLength || named["club=downs"] != outcomeQueueLength || named["old"] != 1 {
		t.Errorf("counted %v", named)
	}
	if got.Endpoints[0].MachineType != "slow" || got.Endpoints[1].MachineType != "m" || got.Endpoints[2].MachineType != "m" || n.Endpoints[0].MachineType != "m" {
		t.Errorf("%+v, of %+v", got, n)
	}
}

// The state against a plain model, on random runs that succeed or fail.
func TestState(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 3))
		decl := hook.State{Name: "m", MaxEntries: 1 + rng.IntN(6), MaxAge: time.Minute}
		k := newSharedState([]hook.State{decl}, nil)
		type row struct {
			key string
			n   int64
			at  time.Time
		}
		var model []row // the least recently added to is first
		now := time.Unix(0, 0)
		find := func(key string) int {
			for i, r := range model {
				if r.key == key {
					return i
				}
			}
			return -1
		}
		for step := range 300 {
			now = now.Add(time.Duration(rng.IntN(20)) * time.Second)
			v := &stateView{shared: k, declarations: []hook.State{decl}, now: now}
			before := append([]row(nil), model...)
			for range 1 + rng.IntN(4) {
				key := string(rune('a' + rng.IntN(8)))
				if i := find(key); rng.IntN(4) == 0 {
					v.Forget(0, key)
					if i >= 0 {
						model = append(model[:i:i], model[i+1:]...)
					}
				} else {
					n := int64(rng.IntN(9) - 3)
					v.Add(0, key, n)
					r := row{key, n, now}
					if i >= 0 {
						if now.Sub(model[i].at) <= decl.MaxAge {
							r.n += model[i].n
						}
						model = append(model[:i:i], model[i+1:]...)
					}
					if model = append(model, r); len(model) > decl.MaxEntries {
						model = model[1:]
					}
				}
			}
			if rng.IntN(4) == 0 { // the run failed
				model = before
			} else {
				v.commit()
			}
			if rng.IntN(10) == 0 { // a reload
				k = newSharedState([]hook.State{decl}, k)
			}
			look := &stateView{shared: k, declarations: []hook.State{decl}, now: now}
			for c := 'a'; c < 'i'; c++ {
				want := int64(0)
				if i := find(string(c)); i >= 0 && now.Sub(model[i].at) <= decl.MaxAge {
					want = model[i].n
				}
				if got := look.Value(0, string(c)); got != want {
					t.Fatalf("seed %d, step %d: %c is %d, want %d; %+v", seed, step, c, got, want, model)
				}
			}
		}
	}
}

// The plug-ins that come with the project do what their cases say, and a case
// that says otherwise is seen.
func TestCases(t *testing.T) {
	files, _ := filepath.Glob("../../deploy/plugins/*.hook")
	if len(files) < 3 {
		t.Fatalf("%q", files)
	}
	for _, f := range files {
		if err := Test(f, func(name, diff string) {
			if diff != "" {
				t.Errorf("%s: %s\n%s", f, name, diff)
			}
		}); err != nil {
			t.Error(err)
		}
	}
	path := writePrograms(t, `on request { tag("a")  tag("b") }`)[0]
	if err := os.WriteFile(CasesFile(path), []byte(`[{"name": "x", "event": {"kind": "request"}, "effects": ["tag \"a\"", "tag \"c\""]}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	got := ""
	if err := Test(path, func(_, diff string) { got = diff }); err == nil || got != "  tag \"a\"\n- tag \"c\"\n+ tag \"b\"" {
		t.Errorf("%v\n%s", err, got)
	}
	if _, err := ReadEvent([]byte("{\n\"kind\": \"request\",\n\"clas\": \"x\"}")); err == nil || !strings.Contains(err.Error(), "clas") {
		t.Error(err)
	}
}

// BenchmarkGate is what a request costs that goes through so many plug-ins.
func BenchmarkGate(b *testing.B) {
	for _, n := range []int{0, 1, 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var specs []Spec
			for i := range n {
				specs = append(specs, Spec{Name: fmt.Sprint(i), File: "../../deploy/plugins/apiary-tags.hook", Headers: []string{"X-Apiary-*"}})
			}
			g, _ := newTestGate(b, specs...)
			r := &core.Request{Deadline: time.Now().Add(time.Hour), Respond: func(core.Response) {}}
			g.SetNext(nothing{})
			b.ReportAllocs()
			for b.Loop() {
				r.Fields = map[string][]string{"Apiary": {"flat-1"}}
				g.Submit(r)
			}
		})
	}
}

type nothing struct{ *servingHandler }

func (nothing) Submit(*core.Request) {}
