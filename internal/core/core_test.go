package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// The module matches a server's probe results to its calls by their order.
func TestProbeResultsKeepTheirOrder(t *testing.T) {
	l := newTestLoop(t, up("s-1", "127.0.0.1:7"))
	h := l.hosts["s-1"]
	first, second := &probe{host: h}, &probe{host: h}
	h.probes = []*probe{first, second}
	l.handle(probed{second, policy.LoadReport{InFlight: 1}, nil})
	if len(h.probes) != 2 {
		t.Fatal("the second result went before the first")
	}
	l.handle(probed{first, policy.LoadReport{InFlight: -1}, ErrNotSent})
	if len(h.probes) != 0 {
		t.Errorf("%d results are held back", len(h.probes))
	}
}

// A timer that fires early must not be lost: the module would pass it over and
// never ask again.
func TestEarlyTimerIsArmedAgain(t *testing.T) {
	l := newTestLoop(t)
	due := l.dueAt // as the module asked at its start
	l.now = due - time.Millisecond
	l.wake()
	if due == 0 || l.dueAt != due {
		t.Fatal("an early timer disarmed the alarm")
	}
	for l.now < due { // it is armed for what was left at the made-up time, and so early again
		peertest.Await(t, "the timer", l.timer.C)
		l.now = l.clock()
		l.wake()
	}
	if l.dueAt <= due {
		t.Error("the module was not woken: it would have asked for a later time")
	}
}

func TestExactlyOneAnswer(t *testing.T) {
	l := newTestLoop(t)
	answers := make(chan Response, 1)
	r := &Request{ID: "x", id: 7, Respond: func(a Response) { answers <- a }}
	l.requests[r.id] = r
	l.names.claim(r.ID)
	l.Fail(r.id)
	l.Fail(r.id)
	l.Reject(r.id, 0)
	l.handle(left{r})
	if a := peertest.Await(t, "the answer", answers); a.Result != Failed || len(answers) > 0 {
		t.Errorf("answered %d, and %d times more", a.Result, len(answers))
	}
	if len(l.requests) > 0 || l.names.has(r.ID) {
		t.Errorf("%d requests are still held, name held: %v", len(l.requests), l.names.has(r.ID))
	}
}

// An answer that comes when its client has left finds nobody, but must not
// leave the request behind.
func TestLateAnswerLeavesNothingBehind(t *testing.T) {
	answers := make(chan Response, 1)
	l := newTestLoop(t, up("s-1", "127.0.0.1:7"))
	held := &Request{ID: "x", Class: 2, Deadline: time.Now().Add(peertest.Patience), Respond: func(a Response) { answers <- a }}
	l.now = l.clock()
	l.handle(arrived{held})
	l.handle(left{held})
	l.handle(ended{held.attempts[0], policy.Served, &Response{}})
	if len(l.requests) > 0 || len(answers) > 0 {
		t.Errorf("%d requests are still held, %d answers given", len(l.requests), len(answers))
	}
}

// At the deadline the module may give up before the attempt's own time-out
// comes in: the client is told of a time-out either way.
func TestTimeOutIsToldWhoeverNoticesFirst(t *testing.T) {
	l := newTestLoop(t)
	for want, r := range map[Result]*Request{TimedOut: {ID: "out", id: 7, out: 1}, Failed: {ID: "broken", id: 8}} {
		answers := make(chan Response, 1)
		r.Respond = func(a Response) { answers <- a }
		l.requests[r.id] = r
		l.Fail(r.id)
		if a := peertest.Await(t, "the answer", answers); a.Result != want {
			t.Errorf("%s: answered %d, want %d", r.ID, a.Result, want)
		}
	}
}

// silent is a node that never answers.
type silent struct{}

func (silent) RoundTrip(ctx context.Context, _ *Message) (policy.AttemptResult, *Response) {
	<-ctx.Done()
	return policy.TimedOut, nil
}

func (silent) Probe(context.Context) (policy.LoadReport, error) {
	return policy.LoadReport{InFlight: -1}, errors.New("silent")
}

func (silent) Retire() {}

func up(name, addr string) Endpoint {
	return Endpoint{Name: name, Addr: addr, Zone: "a", Health: Up, Weight: 1}
}

func newTestLoop(t *testing.T, known ...Endpoint) *Core {
	t.Helper()
	class := func(e policy.Idempotency) policy.Class {
		return policy.Class{Idempotency: e, LatencyObjective: 4 * time.Second, Deadline: 5 * time.Second, PriorityWeight: 1, DedupWindow: 5 * time.Second}
	}
	l, err := New(Config{
		Policy: policy.Config{
			FleetSize: 1, MaxAttempts: 3, CancelAllowed: true,
			Classes: []policy.Class{class(policy.Idempotent), class(policy.IdempotentByKey), class(policy.NotIdempotent)},
		},
		Zones: []string{"a"}, Cached: &EndpointUpdate{Complete: true, Endpoints: known},
		NewUpstream: func(Endpoint) Upstream { return silent{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestWrongEntriesArePassedOver(t *testing.T) {
	l := newTestLoop(t)
	l.list(policy.FullUpdate, EndpointUpdate{Complete: true, Endpoints: []Endpoint{
		{}, {Addr: "127.0.0.1:7", Health: Up}, up("s-2", "nowhere"), up("s-1", "127.0.0.1:7"), up("s-3", "127.0.0.1:8"),
	}})
	if len(l.hosts) != 2 || l.hosts["s-1"] == nil || l.hosts["s-3"] == nil {
		t.Errorf("hosts %v, want s-1 and s-3", l.hosts)
	}
}

func TestEntriesBecomeServers(t *testing.T) {
	l := newTestLoop(t)
	enter := func(e Endpoint) policy.Endpoint {
		s, ok := l.enter(e, 0)
		if !ok {
			t.Fatalf("%+v was passed over", e)
		}
		return s
	}
	cell := 3
	e := Endpoint{Name: "s-1", Addr: "127.0.0.1:7", Zone: "a", Cell: &cell, Health: Up, Weight: 1.5}
	s := enter(e)
	if s.Health != policy.Ready || s.Weight != 1.5 || s.Cell != 3 || s.Zone != 0 || s.StartedAt != 0 {
		t.Errorf("server %+v", s)
	}
	e.Addr, e.Health = "127.0.0.1:8", Draining
	if d := enter(e); d.ID != s.ID || d.Health != policy.Draining || l.hosts["s-1"].entry.Addr != e.Addr {
		t.Errorf("at another address it is %+v, was %+v", d, s)
	}
	e.Health = Health(99)
	if d := enter(e); d.Health != policy.Draining {
		t.Errorf("unknown health gives %v", d.Health)
	}
	e.Health, e.Addr = Removed, ""
	if d := enter(e); d.ID != s.ID || d.Health != policy.Removed {
		t.Errorf("removed without an address gives %+v", d)
	}
	other := enter(Endpoint{Name: "s-2", Addr: "127.0.0.1:9", Zone: "elsewhere", Health: Up})
	third := enter(Endpoint{Name: "s-3", Addr: "127.0.0.1:9", Zone: "elsewhere", Health: Up})
	if other.ID == s.ID || other.Zone == 0 || other.Zone != third.Zone || other.Cell == third.Cell {
		t.Errorf("servers %+v and %+v", other, third)
	}
}

// An upstream that started shortly before this process is cold: its start must
// be a positive time on the module's clock, whatever the module's clock is at.
func TestEarlierStartIsNotLongAgo(t *testing.T) {
	l := newTestLoop(t)
	born := time.Duration(time.Now().Add(-2 * time.Second).UnixNano())
	s, ok := l.enter(Endpoint{Name: "s-1", Addr: "127.0.0.1:7", Health: Up, StartedAt: born}, 0)
	if age := l.clock() - s.StartedAt; !ok || s.StartedAt <= 0 || age < time.Second || age > peertest.Patience {
		t.Errorf("started at %v, %v ago by the module's clock", s.StartedAt, age)
	}
	ahead := Endpoint{Name: "s-2", Addr: "127.0.0.1:7", Health: Up, StartedAt: time.Duration(time.Now().Add(time.Hour).UnixNano())}
	first, _ := l.enter(ahead, 0)
	l.now = l.clock() + time.Second
	if again, _ := l.enter(ahead, 0); first.StartedAt > l.now || again.StartedAt != first.StartedAt {
		t.Errorf("a start ahead of the clock is %v and then %v", first.StartedAt, again.StartedAt)
	}
}
