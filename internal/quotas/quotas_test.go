package quotas

import (
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// held is a core that keeps what it takes until the test answers it.
type held struct{ taken []*core.Request }

func (h *held) Submit(r *core.Request) { h.taken = append(h.taken, r) }
func (h *held) Abandon(*core.Request)  {}
func (h *held) HasRequest(string) bool { return false }
func (h *held) Ready() bool            { return true }

func limits(rate float64) []quota.Limit {
	return []quota.Limit{{Dimension: quota.Requests, Rate: rate, Window: 10 * time.Second, Ceiling: rate}, {Dimension: quota.Concurrent, Rate: 2, Ceiling: 2}}
}

func config() Config {
	return Config{
		Tree: quota.Config{Nodes: []quota.Node{{Name: "all"}, {Name: "downs", Parent: "all", Limits: limits(1)}, {Name: "ridge", Parent: "downs", Limits: limits(0.5)},
			{Name: "lockyer", Parent: "all", Limits: limits(1)}, {Name: "loud", Parent: "lockyer", Limits: limits(0.2)}}},
		Matches: map[string]Match{"downs": {Tenant: "downs"}, "ridge": {Header: "Site", Value: "ridge"}, "lockyer": {Tenant: "lockyer"}, "loud": {Tag: "loud"}},
		Share:   1, Tenants: []string{"downs", "lockyer"}, PriorityWeights: []float64{1}, MaxRetryAfter: time.Second,
	}
}

func ask(g *Gate, tenant int, fields map[string][]string) (*core.Request, *[]core.Response) {
	answers := new([]core.Response)
	r := &core.Request{Tenant: tenant, Message: core.Message{Fields: fields}}
	r.Respond = func(a core.Response) { *answers = append(*answers, a) }
	g.Submit(r)
	return r, answers
}

// A request counts in the node that it belongs to, as deep as there is one.
func TestLeaf(t *testing.T) {
	g, err := New(config())
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		tenant int
		fields map[string][]string
		want   string
	}{
		{0, nil, "downs"}, {0, map[string][]string{"Site": {"ridge"}}, "ridge"}, {0, map[string][]string{"Site": {"flat"}}, "downs"}, {1, map[string][]string{"Site": {"ridge"}}, "lockyer"},
		{1, map[string][]string{"Request-Tags": {"a,loud"}}, "loud"}, {1, map[string][]string{"Request-Tags": {"aloud"}}, "lockyer"}, {2, nil, "all"},
	} {
		if got := g.leaf(&core.Request{Tenant: x.tenant, Message: core.Message{Fields: x.fields}}); got != x.want {
			t.Errorf("tenant %d, %v: %s, want %s", x.tenant, x.fields, got, x.want)
		}
	}
}

// What is at once comes back with each way that a request can end, once; what
// never ran gives back its charge as well.
func TestEndings(t *testing.T) {
	for name, x := range map[string]struct {
		end  func(*Gate, *core.Request)
		left float64 // of the 10 requests that are saved up
	}{
		"served":  {func(_ *Gate, r *core.Request) { r.Respond(core.Response{Result: core.Served}) }, 9},
		"failed":  {func(_ *Gate, r *core.Request) { r.Respond(core.Response{Result: core.Failed}) }, 9},
		"refused": {func(_ *Gate, r *core.Request) { r.Respond(core.Response{Result: core.Rejected}) }, 10},
		"left":    {func(g *Gate, r *core.Request) { g.Abandon(r) }, 9},
		"served and left": {func(g *Gate, r *core.Request) {
			r.Respond(core.Response{Result: core.Served})
			g.Abandon(r)
		}, 9},
	} {
		g, err := New(config())
		if err != nil {
			t.Fatal(err)
		}
		k := new(held)
		g.SetNext(k)
		ask(g, 0, nil)
		_, second := ask(g, 0, nil)
		_, third := ask(g, 0, nil)
		if len(k.taken) != 2 || len(*second) != 0 || len(*third) != 1 || (*third)[0].Result != core.Rejected || (*third)[0].Detail == "" {
			t.Fatalf("%s: %d of two at once are taken; the third is answered %+v", name, len(k.taken), *third)
		}
		x.end(g, k.taken[0])
		for _, v := range g.View() {
			if v.Name != "downs" {
				continue
			}
			// One is open, and one ended; the clock gives back a little.
			if got := v.Limits[0].Left + 1; got < x.left || got > x.left+0.5 || v.Limits[1].Left != 1 {
				t.Errorf("%s: left are %.2f requests, want %v, and %v at once, want 1", name, got, x.left, v.Limits[1].Left)
			}
		}
	}
}

// Pauses stay within what clients heed, and a part of the quotas is a part.
func TestPauseAndPart(t *testing.T) {
	c := config()
	c.Share = 0.5
	g, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	g.SetNext(new(held))
	served := 0
	for range 20 {
		r, answers := ask(g, 1, nil)
		if len(*answers) == 0 {
			served++
			r.Respond(core.Response{Result: core.Served})
		} else if p := (*answers)[0].RetryAfter; p <= 0 || p > time.Second {
			t.Errorf("a pause of %v", p)
		}
	}
	if served != 5 {
		t.Errorf("%d of half a request a second over 10 s", served)
	}
	for _, bad := range []func(*Config){func(c *Config) { c.Share = 0 }, func(c *Config) { c.Matches["downs"] = Match{Tenant: "nobody"} }, func(c *Config) { c.Tree.Nodes[1].Name = "all" }} {
		c := config()
		bad(&c)
		if err := g.Load(c); err == nil {
			t.Errorf("%+v is loaded", c)
		}
	}
}
