package quotas

import (
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// recordingHandler records the submitted requests. The test responds to them.
type recordingHandler struct{ requests []*core.Request }

func (h *recordingHandler) Submit(r *core.Request) { h.requests = append(h.requests, r) }
func (h *recordingHandler) Abandon(*core.Request)  {}
func (h *recordingHandler) HasRequest(string) bool { return false }
func (h *recordingHandler) Ready() bool            { return true }

// testLimits returns limits without loans: a rate of requests over 10 s, and 2 requests in
// flight.
func testLimits(rate float64) []quota.Limit {
	return []quota.Limit{
		{Dimension: quota.Requests, Rate: rate, Window: 10 * time.Second, Ceiling: rate},
		{Dimension: quota.Concurrent, Rate: 2, Ceiling: 2},
	}
}

// testConfig returns two tenants, each with a child node.
func testConfig() Config {
	return Config{
		Tree: quota.Config{Nodes: []quota.Node{
			{Name: "all"},
			{Name: "downs", Parent: "all", Limits: testLimits(1)},
			{Name: "ridge", Parent: "downs", Limits: testLimits(0.5)},
			{Name: "lockyer", Parent: "all", Limits: testLimits(1)},
			{Name: "loud", Parent: "lockyer", Limits: testLimits(0.2)},
		}},
		Matches: map[string]RequestMatch{
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

// newGate returns a Gate in front of a recordingHandler.
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

// submit submits a request of a tenant. It returns the request and a pointer to its
// responses, which may arrive later.
func submit(g *Gate, tenant int) (*core.Request, *[]core.Response) {
	responses := new([]core.Response)
	r := &core.Request{Tenant: tenant}
	r.Respond = func(response core.Response) { *responses = append(*responses, response) }
	g.Submit(r)
	return r, responses
}

// TestFindNode checks that a request is charged to the deepest node that matches it.
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
			t.Errorf("tenant %d, %s %q: got node %s, want %s", test.tenant, test.field, test.value, got, test.want)
		}
	}
}

// TestEndOfRequestReturnsItsCharge guards against slots that are never returned or are
// returned twice, for each way in which a request can end. A request that never ran gets
// its whole charge back.
func TestEndOfRequestReturnsItsCharge(t *testing.T) {
	respond := func(result core.Result) func(*Gate, *core.Request) {
		return func(_ *Gate, r *core.Request) { r.Respond(core.Response{Result: result}) }
	}
	for name, test := range map[string]struct {
		end  func(*Gate, *core.Request)
		left float64 // of the 10 requests in a full bucket
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
			t.Fatalf("%s: %d requests passed on, want 2; responses to the second: %+v, want none",
				name, len(next.requests), *second)
		}
		if len(*third) != 1 || (*third)[0].Result != core.Rejected || (*third)[0].Detail == "" {
			t.Fatalf("%s: got responses %+v to the third request, want one rejection with a detail", name, *third)
		}
		test.end(g, next.requests[0])
		checkLeft(t, g, name, test.left)
	}
}

// checkLeft checks the limits of downs after one of its two requests ended: a slot is free,
// and the bucket of requests holds want less the one in flight. The bucket may hold up to
// 0.5 more because it refills during the test.
func checkLeft(t *testing.T, g *Gate, name string, want float64) {
	t.Helper()
	for _, view := range g.View() {
		if view.Name != "downs" {
			continue
		}
		requests, slots := view.Limits[0].Left+1, view.Limits[1].Left
		if requests < want || requests > want+0.5 {
			t.Errorf("%s: got %.2f requests left, want %v to 0.5 more", name, requests, want)
		}
		if slots != 1 {
			t.Errorf("%s: got %v slots left, want 1", name, slots)
		}
	}
}

// TestRetryAfterAndShare checks that Retry-After stays within Config.MaxRetryAfter, and that
// a sidecar admits only its Share of the quotas.
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
			t.Errorf("got Retry-After %v, want above 0 and at most 1s", retryAfter)
		}
	}
	if served != 5 {
		t.Errorf("served %d requests, want 5: half a request a second over 10 s", served)
	}
}

// TestLoadRejectsInvalidConfigs checks that Load returns an error for an invalid Config.
func TestLoadRejectsInvalidConfigs(t *testing.T) {
	g, _ := newGate(t, testConfig())
	for name, change := range map[string]func(*Config){
		"no share":       func(c *Config) { c.Share = 0 },
		"unknown tenant": func(c *Config) { c.Matches["downs"] = RequestMatch{Tenant: "unknown"} },
		"duplicate node": func(c *Config) { c.Tree.Nodes[1].Name = "all" },
	} {
		config := testConfig()
		change(&config)
		if err := g.Load(config); err == nil {
			t.Errorf("%s: config %+v was loaded, want an error", name, config)
		}
	}
}
