package quotas

import (
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// recordingHandler keeps the requests that it gets until the test answers them.
type recordingHandler struct{ requests []*core.Request }

func (h *recordingHandler) Submit(r *core.Request) { h.requests = append(h.requests, r) }
func (h *recordingHandler) Abandon(*core.Request)  {}
func (h *recordingHandler) HasRequest(string) bool { return false }
func (h *recordingHandler) Ready() bool            { return true }

func testLimits(rate float64) []quota.Limit {
	return []quota.Limit{
		{Dimension: quota.Requests, Rate: rate, Window: 10 * time.Second, Ceiling: rate},
		{Dimension: quota.Concurrent, Rate: 2, Ceiling: 2},
	}
}

func testConfig() Config {
	return Config{
		Tree: quota.Config{Nodes: []quota.Node{
			{Name: "all"},
			{Name: "downs", Parent: "all", Limits: testLimits(1)},
			{Name: "ridge", Parent: "downs", Limits: testLimits(0.5)},
			{Name: "lockyer", Parent: "all", Limits: testLimits(1)},
			{Name: "loud", Parent: "lockyer", Limits: testLimits(0.2)},
		}},
		Matches: map[string]Match{
			"downs":   {Tenant: "downs"},
			"ridge":   {Header: "Site", Value: "ridge"},
			"lockyer": {Tenant: "lockyer"},
			"loud":    {Tag: "loud"},
		},
		Share:           1,
		Tenants:         []string{"downs", "lockyer"},
		PriorityWeights: []float64{1},
		MaxRetryAfter:   time.Second,
	}
}

func newGate(t *testing.T, config Config) (*Gate, *recordingHandler) {
	t.Helper()
	g, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	next := new(recordingHandler)
	g.SetNext(next)
	return g, next
}

// submit sends a request of a tenant and returns it with the responses that it gets.
func submit(g *Gate, tenant int) (*core.Request, *[]core.Response) {
	responses := new([]core.Response)
	r := &core.Request{Tenant: tenant}
	r.Respond = func(response core.Response) { *responses = append(*responses, response) }
	g.Submit(r)
	return r, responses
}

// A request is charged to the deepest node that matches it.
func TestFindNode(t *testing.T) {
	g, _ := newGate(t, testConfig())
	for _, test := range []struct {
		tenant       int
		field, value string
		want         string
	}{
		{tenant: 0, want: "downs"},
		{tenant: 0, field: "Site", value: "ridge", want: "ridge"},
		{tenant: 0, field: "Site", value: "flat", want: "downs"},
		{tenant: 1, field: "Site", value: "ridge", want: "lockyer"},
		{tenant: 1, field: "Request-Tags", value: "a,loud", want: "loud"},
		{tenant: 1, field: "Request-Tags", value: "aloud", want: "lockyer"},
		{tenant: 2, want: "all"},
	} {
		r := &core.Request{Tenant: test.tenant}
		if test.field != "" {
			r.Fields = map[string][]string{test.field: {test.value}}
		}
		if got := g.findNode(r); got != test.want {
			t.Errorf("tenant %d, %s %q: %s, want %s", test.tenant, test.field, test.value, got, test.want)
		}
	}
}

// Each way that a request can end returns its slot, once; one that never ran gets back
// all of its charge.
func TestEndOfRequestReturnsItsCharge(t *testing.T) {
	respond := func(result core.Result) func(*Gate, *core.Request) {
		return func(_ *Gate, r *core.Request) { r.Respond(core.Response{Result: result}) }
	}
	for name, test := range map[string]struct {
		end  func(*Gate, *core.Request)
		left float64 // of the 10 requests that the bucket holds
	}{
		"served":      {respond(core.Served), 9},
		"failed":      {respond(core.Failed), 9},
		"rejected":    {respond(core.Rejected), 10},
		"client gone": {(*Gate).Abandon, 9},
		"served and client gone": {func(g *Gate, r *core.Request) {
			respond(core.Served)(g, r)
			g.Abandon(r)
		}, 9},
	} {
		g, next := newGate(t, testConfig())
		submit(g, 0)
		_, second := submit(g, 0)
		_, third := submit(g, 0)
		if len(next.requests) != 2 || len(*second) != 0 {
			t.Fatalf("%s: %d of two in flight are passed on, the second is answered %+v", name, len(next.requests), *second)
		}
		if len(*third) != 1 || (*third)[0].Result != core.Rejected || (*third)[0].Detail == "" {
			t.Fatalf("%s: the third is answered %+v, want a rejection", name, *third)
		}
		test.end(g, next.requests[0])
		checkLeft(t, g, name, test.left)
	}
}

// checkLeft checks the limits of downs after one request ended; another is in flight,
// and the clock adds a little.
func checkLeft(t *testing.T, g *Gate, name string, want float64) {
	t.Helper()
	for _, view := range g.View() {
		if view.Name != "downs" {
			continue
		}
		requests, slots := view.Limits[0].Left+1, view.Limits[1].Left
		if requests < want || requests > want+0.5 {
			t.Errorf("%s: %.2f requests left, want %v", name, requests, want)
		}
		if slots != 1 {
			t.Errorf("%s: %v slots left, want 1", name, slots)
		}
	}
}

// Retry-After stays within its bound, and a share of the quotas is applied.
func TestRetryAfterAndShare(t *testing.T) {
	config := testConfig()
	config.Share = 0.5
	g, _ := newGate(t, config)
	served := 0
	for range 20 {
		r, responses := submit(g, 1)
		if len(*responses) == 0 {
			served++
			r.Respond(core.Response{Result: core.Served})
		} else if retryAfter := (*responses)[0].RetryAfter; retryAfter <= 0 || retryAfter > time.Second {
			t.Errorf("Retry-After of %v", retryAfter)
		}
	}
	if served != 5 {
		t.Errorf("%d served of half a request a second over 10 s", served)
	}
}

func TestLoadRejectsInvalidConfigs(t *testing.T) {
	g, _ := newGate(t, testConfig())
	for name, change := range map[string]func(*Config){
		"no share":       func(c *Config) { c.Share = 0 },
		"unknown tenant": func(c *Config) { c.Matches["downs"] = Match{Tenant: "unknown"} },
		"duplicate node": func(c *Config) { c.Tree.Nodes[1].Name = "all" },
	} {
		config := testConfig()
		change(&config)
		if err := g.Load(config); err == nil {
			t.Errorf("%s: %+v is loaded", name, config)
		}
	}
}
