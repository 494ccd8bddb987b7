package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestSlotsAndQueue(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5, 6, 7, 8)) // tenant 0: 6 slots and 1 place
	if b.SlotsFree(0) != 6 || b.SlotsFree(1) != 2 || b.QueueFree(0) != 1 || b.QueueFree(1) != 1 {
		t.Fatalf("walls: slots %d %d, places %d %d", b.SlotsFree(0), b.SlotsFree(1), b.QueueFree(0), b.QueueFree(1))
	}
	for id := range RequestID(10) {
		ask(b, 0, id, safeClass)
	}
	if len(h.sends) != 6 || b.QueueFree(0) != 0 {
		t.Fatalf("sent %d, queue places free %d; want 6 and 0", len(h.sends), b.QueueFree(0))
	}
	if pause, ok := h.refused[9]; !ok || pause <= 0 || pause > time.Second {
		t.Fatalf("tenth request: refused %v with pause %v; want a prompt refusal with advice", ok, pause)
	}
	if b.SlotsFree(1) != 2 {
		t.Fatalf("tenant 1 lost slots to tenant 0")
	}
	b.RequestReceived(0, Request{ID: 20, Class: safeClass, Tenant: 1, Timeout: 2 * time.Second})
	if len(h.sends) != 7 {
		t.Fatalf("the other compartment did not send past the full one")
	}
	end(b, 50*ms, 0, 0, Served)
	if len(h.sends) != 8 || h.sends[7].id != 6 {
		t.Fatalf("a freed slot did not go to the first in the queue: %v", h.sends)
	}
}

// Guards against this: a client's later tries are served when nothing can be earned by them any more.
func TestLateTriesGiveWay(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	left := func(id RequestID, d time.Duration) {
		b.RequestReceived(0, Request{ID: id, Class: safeClass, Timeout: d})
	}
	left(1, 2800*ms) // first tries come with this much of the class's 3 s
	left(2, 2500*ms) // begun half a second ago
	left(3, 1500*ms) // begun 1.5 s ago, late already, but answers are quick
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends %v: want the second cut to what is left of its aim, and the third served", h.sends)
	}
	ask(b, 0, 5, safeClass)
	ask(b, 0, 6, safeClass)
	ask(b, 0, 7, safeClass) // all slots of the tenant are used
	left(4, 1500*ms)
	if _, refused := h.refused[4]; !refused {
		t.Fatal("a late try took a queue place")
	}
}

// Guards against this: clients that wait less than others for good are taken for late.
func TestPatienceMayChange(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(400) {
		now := time.Duration(id) * 20 * ms
		left := 2800 * ms
		if id >= 20 {
			left = 2200 * ms
		}
		b.RequestReceived(now, Request{ID: id, Class: safeClass, Timeout: left})
		end(b, now+5*ms, id, 0, Served)
	}
	if last := h.sends[len(h.sends)-1]; last.timeout != time.Second {
		t.Fatalf("time-out %v: the aim of a first try is still cut", last.timeout)
	}
}

func TestUnmarkedTriesAreFirstTriesWhereClientsMark(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: safeClass, Timeout: 2800 * ms})
	b.RequestReceived(0, Request{ID: 2, Class: safeClass, Timeout: 2500 * ms})
	b.RequestReceived(0, Request{ID: 3, Class: safeClass, Timeout: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends %v: want only the marked one cut", h.sends)
	}
}

func TestQueuedRequestIsRefusedBeforeItsAimIsLost(t *testing.T) {
	b, h := start(t, testConfig(), nil) // no server at all: held, then refused in time
	ask(b, 0, 1, unsafeClass)
	if len(h.refused) != 0 {
		t.Fatal("refused at once, though the queue has room")
	}
	for now := time.Duration(0); now <= time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, ok := h.refused[1]; !ok {
		t.Fatal("still held when its aim had passed")
	}
}

// Guards against this: sent after its wait with about the usual time left,
// every other request times out at servers that have lost capacity.
func TestWaitEndsWhileAnAnswerCanStillCome(t *testing.T) {
	b, h := start(t, testConfig(), nil)
	ask(b, 0, 1, safeClass) // an aim of 1 s, answers usually take 125 ms
	b.TimerFired(740 * ms)
	if len(h.refused) != 0 {
		t.Fatal("refused with over twice the usual time left")
	}
	b.EndpointsUpdated(760*ms, FullUpdate, ready(1))
	if _, refused := h.refused[1]; !refused {
		t.Fatalf("sent %v with less than twice the usual time left after a wait", h.sends)
	}
}

func TestServersTakeTurnsByWeight(t *testing.T) {
	list := ready(1, 2, 3)
	list[2].Weight = 2
	b, h := start(t, testConfig(), list)
	for id := range RequestID(40) {
		now := time.Duration(id) * 20 * ms
		ask(b, now, id, safeClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if h.sentTo(1) != 10 || h.sentTo(2) != 10 || h.sentTo(3) != 20 {
		t.Fatalf("turns %d %d %d, want 10 10 20", h.sentTo(1), h.sentTo(2), h.sentTo(3))
	}
	if c := b.Counters(); c.RoundRobinPicks != 40 {
		t.Fatalf("ordinary sends %d of 40", c.RoundRobinPicks)
	}
}

func TestZeroWeightsMeanEvenTurns(t *testing.T) {
	list := []Endpoint{{ID: 1, Health: Ready}, {ID: 2, Health: Ready, Weight: math.NaN()}}
	b, h := start(t, testConfig(), list)
	for id := range RequestID(10) {
		now := time.Duration(id) * 20 * ms
		ask(b, now, id, safeClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if h.sentTo(1) != 5 || h.sentTo(2) != 5 {
		t.Fatalf("turns %d %d, want 5 5", h.sentTo(1), h.sentTo(2))
	}
}

func TestAttemptIsCutWhereItsAnswerIsWorthless(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[1].LateValueShare = 0.5
	b, h := start(t, cfg, ready(1, 2))
	ask(b, 0, 1, safeClass)
	ask(b, 0, 2, keyedAll)
	b.RequestReceived(0, Request{ID: 3, Class: keyedCell, Timeout: 300 * ms})
	if got := h.sends[0].timeout; got != time.Second {
		t.Errorf("time-out %v, want the aim", got)
	}
	if got := h.sends[1].timeout; got != 2*time.Second {
		t.Errorf("time-out %v where late answers are worth something, want all the time left", got)
	}
	if got := h.sends[2].timeout; got != 300*ms {
		t.Errorf("time-out %v, want the client's time left", got)
	}
}

func TestFurtherAttempts(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		ends  AttemptResult
		again bool
		fails bool // where it is not sent again
	}{
		{"safe after an error", safeClass, ServerError, true, false},
		{"keyed after a reset", keyedAll, ConnectionReset, true, false},
		{"unsafe turned away", unsafeClass, Rejected, true, false},
		{"unsafe without a connection", unsafeClass, ConnectionFailed, true, false},
		{"unsafe never sent", unsafeClass, NotSent, true, false},
		{"unsafe after an error", unsafeClass, ServerError, false, true},
		{"unsafe after a reset", unsafeClass, ConnectionReset, false, true},
		{"unsafe after a time-out", unsafeClass, TimedOut, false, true},
		{"unsafe after an unknown end", unsafeClass, AttemptResult(99), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3))
			ask(b, 0, 1, c.class)
			end(b, 30*ms, 1, 0, c.ends)
			if again := len(h.sends) == 2; again != c.again {
				t.Fatalf("sent again: %v, want %v", again, c.again)
			}
			if !c.again && h.failed[1] != c.fails {
				t.Fatalf("failed: %v, want %v (refused: %v)", h.failed[1], c.fails, h.refused)
			}
			if c.again && h.sends[1].to == h.sends[0].to {
				t.Fatal("sent again to the same server")
			}
		})
	}
}

func TestAttemptsLimitThenRefusal(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5))
	ask(b, 0, 1, unsafeClass)
	for i := range 3 {
		end(b, time.Duration(i+1)*ms, 1, i, ConnectionFailed)
	}
	if _, ok := h.refused[1]; len(h.sends) != 3 || !ok {
		t.Fatalf("sends %d, refused %v; want 3 and a refusal: it provably never ran", len(h.sends), ok)
	}
}

func TestKeyedStaysInItsGroup(t *testing.T) {
	list := []Endpoint{
		{ID: 1, Health: Ready, Weight: 1, Zone: 0, Cell: 10}, {ID: 2, Health: Ready, Weight: 1, Zone: 0, Cell: 11},
		{ID: 3, Health: Ready, Weight: 1, Zone: 1, Cell: 12}, {ID: 4, Health: Ready, Weight: 1, Zone: 1, Cell: 12},
	}
	byID := func(id EndpointID) Endpoint { return list[id-1] }
	for id := range RequestID(8) { // the turns make the first attempt meet every server
		for _, class := range []int{keyedZone, keyedCell} {
			b, h := start(t, testConfig(), list)
			for warm := range id {
				ask(b, 0, 100+warm, safeClass)
				end(b, ms, 100+warm, 0, Served)
			}
			h.sends = nil
			ask(b, 2*ms, 1, class)
			first := byID(h.sends[0].to)
			end(b, 30*ms, 1, 0, ConnectionReset)
			if len(h.sends) < 2 {
				if class == keyedZone || first.Zone == 1 {
					t.Fatalf("class %d from server %d was not sent again", class, first.ID)
				}
				continue // alone in its cell
			}
			second := byID(h.sends[1].to)
			if second.Zone != first.Zone || (class == keyedCell && second.Cell != first.Cell) {
				t.Fatalf("class %d went from server %d to %d, outside its group", class, first.ID, second.ID)
			}
		}
	}
}

func TestKeyedGroupCountsFromTheAttemptThatMayHaveRun(t *testing.T) {
	list := []Endpoint{{ID: 1, Health: Ready, Weight: 1, Zone: 0}, {ID: 2, Health: Ready, Weight: 1, Zone: 1},
		{ID: 3, Health: Ready, Weight: 1, Zone: 1}}
	b, h := start(t, testConfig(), list)
	for h.sentTo(1) == 0 || len(h.sends) == 0 || h.sends[len(h.sends)-1].to != 1 {
		id := RequestID(100 + len(h.sends))
		ask(b, 0, id, safeClass)
		end(b, ms, id, 0, Served)
	}
	b.EndpointsUpdated(ms, DeltaUpdate, []Endpoint{{ID: 3, Health: Removed}})
	h.sends = nil
	ask(b, 2*ms, 1, keyedZone) // it is the turn of server 2, in zone 1
	if h.sends[0].to != 2 {
		t.Fatalf("set-up: first attempt went to %d", h.sends[0].to)
	}
	end(b, 3*ms, 1, 0, Rejected) // it never ran there, so zone 1 does not bind
	if len(h.sends) != 2 || h.sends[1].to != 1 {
		t.Fatalf("sends %v, want a second attempt at server 1", h.sends)
	}
	end(b, 4*ms, 1, 1, ConnectionReset) // may have run in zone 0: server 2 is barred now
	if len(h.sends) != 2 {
		t.Fatalf("sent outside the group: %v", h.sends)
	}
}

func TestKeyedWindowAndRefusal(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3))
	ask(b, 0, 1, keyedAll)
	end(b, 700*ms, 1, 0, ServerError) // the window of 700 ms since its send is over
	if _, refused := h.refused[1]; len(h.sends) != 1 || !refused {
		t.Fatalf("sends %d, refused %v; want 1 and a refusal, as all servers drop repeats", len(h.sends), refused)
	}
	ask(b, 800*ms, 2, keyedZone)
	end(b, 1500*ms, 2, 0, ServerError)
	if !h.failed[2] {
		t.Fatal("a keyed request that may have run, with a group of one zone, must be failed and not refused")
	}
}

func TestDrainingServerGetsNothingMore(t *testing.T) {
	for _, state := range []Health{Draining, Removed} {
		b, h := start(t, testConfig(), ready(1, 2))
		b.EndpointsUpdated(10*ms, DeltaUpdate, []Endpoint{{ID: 1, Health: state, Weight: 1}})
		for id := range RequestID(10) {
			ask(b, 10*ms, id, safeClass)
			end(b, 20*ms, id, 0, Served)
		}
		if h.sentTo(1) != 0 || h.sentTo(2) != 10 {
			t.Fatalf("state %v: sent %d to it", state, h.sentTo(1))
		}
	}
	b, h := start(t, testConfig(), ready(1, 2))
	b.EndpointsUpdated(10*ms, FullUpdate, ready(2)) // absent from a full list
	for id := range RequestID(4) {
		ask(b, 10*ms, id, safeClass)
	}
	if h.sentTo(1) != 0 {
		t.Fatal("sent to a server that left the full list")
	}
}

func TestColdServerIsSpared(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		cfg := testConfig()
		cfg.FleetSize = balancers
		list := ready(1, 2)
		b, h := start(t, cfg, list)
		list[0].StartedAt = 10 * time.Second // restarted under the same id
		b.EndpointsUpdated(10*time.Second, DeltaUpdate, list[:1])
		id := RequestID(0)
		sends := map[bool]int{} // by whether in the first window
		for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
			before := h.sentTo(1)
			ask(b, now, id, safeClass)
			end(b, now+ms, id, 0, Served)
			id++
			if h.sentTo(1) > before && now < 11*time.Second {
				sends[true]++
			}
		}
		// Capacity by the quotas: 100 a second over two servers; cold at 0.3, budget 3 times that.
		budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
		if n := float64(sends[true]); n == 0 || n > budget {
			t.Errorf("%d balancers: %v sends in the first second, budget of each %.1f", balancers, n, budget)
		}
		if h.sentTo(1) < 500 {
			t.Errorf("%d balancers: only %d sends once it had warmed up", balancers, h.sentTo(1))
		}
	}
}

// Guards against: a hung server keeps its turn and pins slots until time-out.
func TestSilentServerLosesItsTurn(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3))
	now := time.Duration(0)
	for id := range RequestID(300) {
		ask(b, now, id, safeClass)
		if last := h.sends[len(h.sends)-1]; last.id == id && last.to != 1 {
			end(b, now+5*ms, id, 0, Served)
		}
		now += 10 * ms
		b.TimerFired(now)
		for i := range h.sends { // server 1 answers nothing: time-outs after the aim
			if s := h.sends[i]; s.to == 1 && b.requests[s.id] != nil && b.requests[s.id].attempts[0].startedAt+s.timeout <= now {
				end(b, now, s.id, 0, TimedOut)
			}
		}
	}
	if n := h.sentTo(1); n > 60 {
		t.Fatalf("a server that never answered got %d of 300 first sends", n)
	}
	if b.Counters().TrialRequests == 0 {
		t.Fatalf("counters %+v: want trials", b.Counters())
	}
}

// Guards against: a server that fails all it gets keeps its turn.
func TestServerThatOnlyFailsLosesItsTurn(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(100) {
		now := time.Duration(id) * 20 * ms
		ask(b, now, id, unsafeClass) // never sent again after an error
		end(b, now+5*ms, id, 0, map[bool]AttemptResult{true: ServerError, false: Served}[h.sends[len(h.sends)-1].to == 1])
	}
	if n := h.sentTo(1); n < 3 || n > 5 {
		t.Fatalf("a server that only fails got %d of 100 sends", n)
	}
}

// Guards against: a server that came back stays out for good.
func TestServerJudgedUnwellComesBack(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	id, now := RequestID(0), time.Duration(0)
	for ; h.sentTo(1) == 0; id++ {
		ask(b, now, id, safeClass)
		end(b, now, id, 0, map[bool]AttemptResult{true: ConnectionFailed, false: Served}[h.sends[len(h.sends)-1].to == 1])
		end(b, now, id, 1, Served)
	}
	if !b.endpointsByID[1].ejected {
		t.Fatal("no connection, and still held to be well")
	}
	before := h.sentTo(1)
	for ; now < 3*time.Second; id++ {
		now += 20 * ms
		b.TimerFired(now)
		ask(b, now, id, safeClass)
		end(b, now+5*ms, id, 0, Served)
	}
	if b.endpointsByID[1].ejected || h.sentTo(1) < before+10 {
		t.Fatalf("unwell %v, sends since %d", b.endpointsByID[1].ejected, h.sentTo(1)-before)
	}
}

func TestAllUnwellStillServes(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	ask(b, 0, 1, safeClass)
	end(b, 0, 1, 0, ConnectionFailed)
	end(b, 0, 1, 1, ConnectionFailed)
	if b.weights.healthy.weight != 0 {
		t.Fatal("set-up: a server is still held to be well")
	}
	n := len(h.sends)
	ask(b, ms, 2, unsafeClass)
	if len(h.sends) != n+1 {
		t.Fatal("nothing is sent while all servers are judged unwell")
	}
}

// Guards against this: servers that answer late, slow themselves
// or crowded by others, keep an even part of the attempts.
func TestSlowServerHoldsLess(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for range 50 {
		b.endpointsByID[1].squaredLatencyRatio += (0.8*0.8 - b.endpointsByID[1].squaredLatencyRatio) / 8
	}
	if slow, well := b.concurrencyLimit(b.endpointsByID[1]), b.concurrencyLimit(b.endpointsByID[2]); slow != 1 || well != 4 {
		t.Fatalf("portions %v and %v, want 1 and 4", slow, well)
	}
}

// Guards against this: all walls together let servers pass into their slower state.
func TestReportedLoadWallsTheFleet(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true
	b, h := start(t, cfg, ready(1, 2))
	b.ProbeCompleted(ms, 1, true, LoadReport{InFlight: 50})
	for id := range RequestID(4) {
		ask(b, ms, id, safeClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 {
		t.Fatalf("sent %d to the full server", h.sentTo(1))
	}
	if len(h.probes) != 2 {
		t.Fatalf("%d probes for 4 requests, want 2", len(h.probes))
	}
	b.ProbeCompleted(2*ms, 9, true, LoadReport{InFlight: 1})   // a server not listed
	b.ProbeCompleted(2*ms, 1, false, LoadReport{InFlight: -1}) // a failed probe
	for id := RequestID(10); id < 12; id++ {
		ask(b, 2*time.Second, id, safeClass) // the report is old by now
	}
	if h.sentTo(1) == 0 {
		t.Fatal("an old report still bars the server")
	}
}

// Guards against this: a fleet shrinks, and what is left is handed the portions of what went.
func TestPortionsDoNotGrowWhenServersLeave(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed = true
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.EndpointsUpdated(ms, FullUpdate, ready(1))
	for id := range RequestID(6) {
		ask(b, ms, id, safeClass)
	}
	if h.sentTo(1) != 2 {
		t.Fatalf("%d of 8 slots at the last of four servers, want its portion of 2", h.sentTo(1))
	}
	b.ProbeCompleted(2*ms, 1, true, LoadReport{InFlight: 6}) // 12 at the quotas, a fourth of it at one server
	end(b, 3*ms, h.sends[0].id, 0, Served)
	ask(b, 3*ms, 10, safeClass)
	if h.sentTo(1) != 2 {
		t.Fatal("the last of four servers may hold more than a fourth and two of the whole fleet's attempts")
	}
}

// Guards against crossing zones on every request where it is priced.
func TestNearServersFirst(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.Zone = 0.02, 1
	list := ready(1, 2, 3)
	list[2].Zone = 1
	b, h := start(t, cfg, list)
	ask(b, 0, 1, safeClass)
	ask(b, 0, 2, safeClass)
	if h.sentTo(3) != 2 {
		t.Fatalf("sends %v, want both near", h.sends)
	}
	for id := RequestID(3); id < 8; id++ {
		ask(b, 0, id, safeClass)
	}
	if h.sentTo(1)+h.sentTo(2) == 0 {
		t.Fatal("nothing was sent to the other zone though the near server holds its portion")
	}
}

func TestAsksForTheListAndAgain(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	b, h := start(t, cfg, ready(1))
	if h.asks != 1 {
		t.Fatalf("asked %d times at the start", h.asks)
	}
	gaps, last, asked := []time.Duration{}, time.Duration(0), 1
	b.EndpointsUpdated(0, FailedUpdate, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.TimerFired(now)
		if h.asks > asked {
			asked = h.asks
			gaps = append(gaps, now-last)
			last = now
			b.EndpointsUpdated(now, FailedUpdate, nil)
		}
	}
	// With 3 s after which a call is given up and 2 s that the next may wait, what could
	// be had is known 8 s later: told after 6 s, a drain is kept after 2 s more.
	if len(gaps) < 4 || slices.Max(gaps) >= 3*time.Second || slices.Max(gaps) >= cfg.WatchRequestWithin || gaps[0] >= gaps[len(gaps)-1] {
		t.Fatalf("gaps between calls %v: want them to grow, and none to reach %v", gaps, cfg.WatchRequestWithin)
	}
	if b.endpointsByID[1] == nil {
		t.Fatal("a failed call dropped the old list")
	}
	b.EndpointsUpdated(40*time.Second, FullUpdate, ready(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if h.asks != asked {
		t.Fatal("asks again though it is subscribed")
	}
}

func TestUnansweredCallIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.WatchRequestWithin; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.asks < 2 {
		t.Fatal("silence of the list service would have counted as being told")
	}
}

// Guards against asking at every Wake, or never again, where it is not known how soon silence counts.
func TestUnansweredCallIsRepeatedNowAndThenWithoutALimit(t *testing.T) {
	cfg := testConfig()
	cfg.WatchOnRequest, cfg.WatchRequestWithin = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.asks != 3 {
		t.Fatalf("asked %d times in 10 s, want at the start and every 4 s", h.asks)
	}
}

func TestOddEventsArePassedOver(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: 99, Timeout: time.Second})
	b.RequestReceived(0, Request{ID: 2, Class: -1, Timeout: time.Second})
	b.RequestReceived(0, Request{ID: 3, Tenant: 7, Timeout: time.Second})
	b.RequestReceived(0, Request{ID: 4, Timeout: 0})
	b.RequestReceived(0, Request{ID: 5, Timeout: -time.Second})
	if len(h.refused) != 5 || len(h.sends) != 0 {
		t.Fatalf("refused %d, sent %d; want 5 and 0", len(h.refused), len(h.sends))
	}
	ask(b, 0, 6, safeClass)
	ask(b, 0, 6, safeClass) // held already
	end(b, 0, 6, 3, Served)
	end(b, 0, 6, -1, Served)
	end(b, 0, 77, 0, Served)
	b.ClientDisconnected(0, 77)
	b.ResponseStarted(77)
	if len(h.sends) != 1 || b.SlotsFree(0) != 5 {
		t.Fatalf("sends %d, slots free %d; want 1 and 5", len(h.sends), b.SlotsFree(0))
	}
	end(b, ms, 6, 0, Served)
	end(b, ms, 6, 0, Served) // twice
	if b.SlotsFree(0) != 6 {
		t.Fatalf("slots free %d after a repeated outcome, want 6", b.SlotsFree(0))
	}
}

func TestClientGoneFreesAndForgets(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	ask(b, 0, 1, safeClass)
	b.ClientDisconnected(ms, 1)
	if len(h.cancelled) != 1 || b.SlotsFree(0) != 5 {
		t.Fatal("the attempt was not called off, or its slot freed before it ended")
	}
	end(b, 2*ms, 1, 0, Cancelled)
	if len(h.refused)+len(h.failed) != 0 || len(b.requests) != 0 || b.SlotsFree(0) != 6 {
		t.Fatalf("answers %d, held %d", len(h.refused)+len(h.failed), len(b.requests))
	}
}

func TestStreamIsLeftAlone(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	ask(b, 0, 1, safeClass)
	b.ResponseStarted(1)
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if len(h.refused)+len(h.failed)+len(h.cancelled) != 0 || len(h.sends) != 1 {
		t.Fatal("a stream that had begun was answered, called off or sent again")
	}
	b.AttemptEnded(11*time.Second, AttemptOutcome{ID: 1, Result: ConnectionReset, Completed: true})
	if len(b.requests) != 0 {
		t.Fatal("the ended stream is still held")
	}
}

func TestMemoryStaysBounded(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(20000) {
		now := time.Duration(id) * 5 * ms
		ask(b, now, id, safeClass)
		switch id % 3 {
		case 0:
			end(b, now+ms, id, 0, Served)
		case 1:
			b.ClientDisconnected(now+ms, id)
			end(b, now+2*ms, id, 0, Cancelled)
		case 2:
			end(b, now+ms, id, 0, ConnectionReset)
			end(b, now+2*ms, id, 1, Served)
		}
		if id%100 == 0 {
			b.EndpointsUpdated(now, DeltaUpdate, []Endpoint{{ID: EndpointID(1000 + id), Health: Ready, Weight: 1}})
			b.EndpointsUpdated(now, DeltaUpdate, []Endpoint{{ID: EndpointID(1000 + id), Health: Removed}})
		}
		b.TimerFired(now + 3*ms)
	}
	b.TimerFired(time.Hour)
	if len(b.requests) > 3 || len(b.open) > 3 || len(b.endpoints) != 2 || cap(b.open) > 100 {
		t.Fatalf("held: %d requests, %d open (room for %d), %d servers",
			len(b.requests), len(b.open), cap(b.open), len(b.endpoints))
	}
}

func TestDerivedSlots(t *testing.T) {
	cfg := testConfig()
	cfg.Slots = 0
	for _, balancers := range []int{1, 4, 64} {
		cfg.FleetSize = balancers
		b, _ := start(t, cfg, ready(1))
		whole := 100*1*slotObjectiveShare + 2*burstDeviations*math.Sqrt(100*slotObjectiveShare) + 2
		if b.totalSlots < 2 || float64(b.totalSlots) > whole {
			t.Errorf("%d balancers: %d slots, want 2 to %.0f", balancers, b.totalSlots, whole)
		}
		if b.SlotsFree(0) < b.SlotsFree(1) || b.QueueFree(1) < 1 {
			t.Errorf("%d balancers: compartments %d and %d", balancers, b.SlotsFree(0), b.SlotsFree(1))
		}
	}
	cfg.Tenants, cfg.FleetSize = nil, 4 // no tenants and no quota: one compartment, sized by the first list
	b, h := start(t, cfg, ready(1, 2))
	b.RequestReceived(0, Request{ID: 1, Timeout: time.Second})
	if len(b.bulkheads) != 1 || b.totalSlots != 7 || len(h.sends) != 1 {
		t.Fatalf("without tenants: %d compartments, %d slots, %d sends", len(b.bulkheads), b.totalSlots, len(h.sends))
	}
}

func TestNewNamesTheUnusableField(t *testing.T) {
	for field, spoil := range map[string]func(*Config){
		"FleetSize":               func(c *Config) { c.FleetSize = 0 },
		"Classes":                 func(c *Config) { c.Classes = nil },
		"MaxAttempts":             func(c *Config) { c.MaxAttempts = 0 },
		"Slots":                   func(c *Config) { c.Slots = -1 },
		"SlowStartInitialShare":   func(c *Config) { c.SlowStartInitialShare = 1.5 },
		"SlowStartOverloadFactor": func(c *Config) { c.SlowStartOverloadFactor = math.Inf(1) },
		"SlowStartDuration":       func(c *Config) { c.SlowStartDuration = -1 },
		"ProbeCost":               func(c *Config) { c.ProbeCost = math.NaN() },
		"CrossZoneCost":           func(c *Config) { c.CrossZoneCost = -1 },
		"WatchRequestWithin":      func(c *Config) { c.WatchRequestWithin = -1 },
		"EventResolution":         func(c *Config) { c.EventResolution = -1 },
		"LatencyObjective":        func(c *Config) { c.Classes[2].LatencyObjective = 0 },
		"Deadline":                func(c *Config) { c.Classes[0].Deadline = -1 },
		"LateValueShare":          func(c *Config) { c.Classes[0].LateValueShare = math.NaN() },
		"Share":                   func(c *Config) { c.Tenants[1].Share = -0.1 },
		"Quota":                   func(c *Config) { c.Tenants[1].Quota = math.NaN() },
		"adds up to 0":            func(c *Config) { c.Tenants = []Tenant{{Quota: 5}} },
		"MaxRetryAfter":           func(c *Config) { c.MaxRetryAfter = -1 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		if _, err := New(cfg, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name it", field, err)
		}
	}
}

// Guards against this: all balancers are told of a fresh server in the same moment, each is allowed one
// send at once, and a few hundred first sends together push it over.
func TestFirstSendsToAFreshServerAreSpread(t *testing.T) {
	const balancers = 200
	cfg := testConfig()
	cfg.FleetSize = balancers
	sends := 0
	for seed := range uint64(balancers) {
		h := newFakeHost()
		b, err := New(cfg, seed, h)
		if err != nil {
			t.Fatal(err)
		}
		list := ready(1, 2)
		b.Start(0)
		b.EndpointsUpdated(0, FullUpdate, list)
		list[0].StartedAt = 10 * time.Second
		b.EndpointsUpdated(10*time.Second, DeltaUpdate, list[:1])
		for id := range RequestID(20) {
			now := 10*time.Second + time.Duration(id)*100*ms
			ask(b, now, id, safeClass)
			end(b, now+ms, id, 0, Served)
		}
		sends += h.sentTo(1)
	}
	// Two seconds of 50 requests a second, cold at 0.3 and on the way to 0.475, times 3.
	if budget := 2 * 50 * 0.35 * 3; float64(sends) > budget || sends == 0 {
		t.Errorf("%d sends to the fresh server in two seconds, the budget is %.0f", sends, budget)
	}
}

// thinConfig has so many balancers that each sees too little of a server.
func thinConfig() Config {
	cfg := testConfig()
	cfg.FleetSize, cfg.ProbesAllowed, cfg.Slots = 1000, true, 8
	return cfg
}

// Guards against this: a balancer with little traffic sends to a jammed or silent
// server, as nothing it has seen tells it from a good one.
func TestKnocksWhereTrafficIsThin(t *testing.T) {
	tests := []struct {
		name    string
		reports bool
		answers []LoadReport // by server 1 and 2, in that order; nil: neither answers
		to      EndpointID
	}{
		{"the first to answer", false, []LoadReport{{InFlight: -1}}, 1},
		{"the less loaded", true, []LoadReport{{InFlight: 9}, {InFlight: 2}}, 2},
		{"nobody", false, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := thinConfig()
			cfg.ProbeLoadReports = tt.reports
			b, h := start(t, cfg, ready(1, 2))
			free := b.SlotsFree(0)
			ask(b, 0, 1, unsafeClass)
			if len(h.probes) != 2 || len(h.sends) != 0 || b.SlotsFree(0) != free-1 {
				t.Fatalf("probes %v, sends %v, %d of %d slots free: want two knocks within one slot",
					h.probes, h.sends, b.SlotsFree(0), free)
			}
			for i, l := range tt.answers {
				b.ProbeCompleted(10*ms, EndpointID(i+1), true, l)
			}
			for now := 10 * ms; now <= 400*ms; now += 10 * ms {
				b.TimerFired(now)
			}
			_, refused := h.refused[1]
			switch {
			case tt.to == 0 && (!refused || len(h.sends) > 0 || b.SlotsFree(0) != free):
				t.Fatalf("sends %v, refused %v: want a prompt refusal and the slot free", h.sends, refused)
			case tt.to != 0 && (len(h.sends) != 1 || h.sends[0].to != tt.to):
				t.Fatalf("sends %v, want one to server %d", h.sends, tt.to)
			}
		})
	}
	b, h := start(t, testConfig(), ready(1, 2)) // traffic enough: the ordinary path
	ask(b, 0, 1, unsafeClass)
	if len(h.probes) != 0 || len(h.sends) != 1 {
		t.Fatalf("probes %v, sends %v where traffic is not thin", h.probes, h.sends)
	}
}

// Guards against this: a request with as good as no time left is lost while it waits for a knock's answer.
func TestNoKnockWithoutTime(t *testing.T) {
	b, h := start(t, thinConfig(), ready(1, 2))
	b.RequestReceived(0, Request{ID: 1, Class: safeClass, Timeout: ms})
	if _, refused := h.refused[1]; !refused {
		t.Fatal("a request without time to knock was not refused at once")
	}
}

// Guards against this: servers jammed by all balancers together stay jammed, as each
// goes on sending one request after the other.
func TestShedsWhatTheFleetCannotAnswer(t *testing.T) {
	b, h := start(t, thinConfig(), ready(1, 2))
	run := func(from time.Duration, first, n RequestID, took time.Duration) (sent int) {
		before := len(h.sends)
		for id := first; id < first+n; id++ {
			now := from + time.Duration(id-first)*100*ms
			ask(b, now, id, safeClass)
			for k := len(h.probes) - 2; k >= 0 && k < len(h.probes); k++ {
				b.ProbeCompleted(now, h.probes[k], true, LoadReport{InFlight: -1})
			}
			if len(h.sends) > before+sent {
				sent++
				end(b, now+took, id, 0, Served)
			}
		}
		return sent
	}
	if n := run(0, 0, 100, 50*ms); n != 100 {
		t.Fatalf("%d of 100 sent while all was answered in time", n)
	}
	if n := run(20*time.Second, 100, 200, 1500*ms); n > 100 {
		t.Fatalf("%d of 200 sent though nothing is answered within its aim", n)
	}
	run(60*time.Second, 300, 400, 50*ms) // it feels its way back
	if n := run(100*time.Second, 700, 100, 50*ms); n < 95 {
		t.Fatalf("%d of 100 sent though the servers recovered 40 s ago", n)
	}
}

// Guards against this: on a quiet day two probes for every request cost more than all that goes wrong.
func TestKnocksOnlyWhereTheyPay(t *testing.T) {
	cfg := thinConfig()
	cfg.ProbeCost = 0.05
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	for id := range RequestID(20) {
		now := time.Duration(id) * 200 * ms
		ask(b, now, id, safeClass)
		end(b, now+50*ms, id, 0, Served)
	}
	if len(h.probes) != 0 || len(h.sends) != 20 {
		t.Fatalf("%d probes, %d sends for 20 requests that all went well", len(h.probes), len(h.sends))
	}
	for id := RequestID(20); id < 25; id++ {
		ask(b, 4*time.Second, id, safeClass)
		end(b, 6*time.Second, id, 0, TimedOut)
	}
	ask(b, 6*time.Second, 30, safeClass)
	if len(h.probes) == 0 {
		t.Fatal("no knock though five of the last requests went wrong")
	}
}

// Guards against this: a thousand balancers keep a connection to every server each, which
// fills the servers' tables, and open most of them anew for each request.
func TestThinTrafficKeepsToHalfOfTheNearServers(t *testing.T) {
	reached := func(cfg Config) int {
		cfg.CrossZoneCost, cfg.ProbeCost = 0.02, 1 // and no knocks
		var list []Endpoint
		for id := range EndpointID(20) {
			list = append(list, Endpoint{ID: id, Health: Ready, Weight: 1})
		}
		b, h := start(t, cfg, list)
		to := map[EndpointID]bool{}
		for id := range RequestID(100) {
			now := time.Duration(id) * 100 * ms
			ask(b, now, id, safeClass)
			end(b, now+20*ms, id, 0, Served)
			to[h.sends[len(h.sends)-1].to] = true
		}
		return len(to)
	}
	if n := reached(thinConfig()); n < 5 || n > 15 {
		t.Errorf("%d of 20 servers used where traffic is thin, want about half", n)
	}
	full := testConfig()
	full.FleetSize = 1
	full.Tenants[0].Quota, full.Tenants[1].Quota = 750, 250
	if n := reached(full); n != 20 {
		t.Errorf("%d of 20 servers used where traffic is not thin", n)
	}
}

func TestFreePlacesOfNoTenant(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1))
	for _, tenant := range []int{-1, 2, 1 << 30} {
		if s, q := b.SlotsFree(tenant), b.QueueFree(tenant); s != 0 || q != 0 {
			t.Errorf("tenant %d: %d slots and %d places free", tenant, s, q)
		}
	}
	if b.SlotsFree(0) == 0 || b.QueueFree(0) == 0 {
		t.Error("nothing free in an idle compartment")
	}
}

// While replacements overlap with what they replace there is more than there will
// be. Were that kept, each server's portion would be too small for good; were it
// forgotten at once, servers that are out for a moment would leave the others overrun.
func TestOverlapOfReplacementsIsForgotten(t *testing.T) {
	b, _ := start(t, testConfig(), ready(1, 2))
	portion := func() float64 { return b.concurrencyLimit(b.endpointsByID[1]) }
	alone := portion()
	b.EndpointsUpdated(time.Second, FullUpdate, ready(1, 2, 3, 4))
	overlap := portion()
	b.EndpointsUpdated(2*time.Second, FullUpdate, ready(1, 3))
	after := portion()
	b.EndpointsUpdated(10*time.Minute, DeltaUpdate, nil)
	if late := portion(); overlap > alone*0.6 || after > overlap*1.1 || late < alone*0.99 {
		t.Errorf("portions: %v, in the overlap %v, right after it %v, much later %v", alone, overlap, after, late)
	}
}

// A connection that breaks now and then says little of a server: were it to lose
// its turn each time, a few resets on each would leave too few servers for the
// rest. One that breaks all it gets must lose it all the same.
func TestOneBrokenConnectionIsChance(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	ask(b, 0, 1, unsafeClass)
	end(b, ms, 1, 0, ConnectionReset)
	if b.endpointsByID[1].ejected {
		t.Error("unwell by one broken connection")
	}
	ask(b, 2*ms, 2, safeClass)
	end(b, 3*ms, 2, 0, Served)
	ask(b, 4*ms, 3, unsafeClass)
	end(b, 5*ms, 3, 0, ConnectionReset)
	if b.endpointsByID[1].ejected {
		t.Error("unwell though it answered between two broken connections")
	}
	ask(b, 6*ms, 4, unsafeClass)
	end(b, 7*ms, 4, 0, ConnectionReset)
	if !b.endpointsByID[1].ejected || len(h.sends) != 4 {
		t.Errorf("after two in a row: unwell %v, %d sends", b.endpointsByID[1].ejected, len(h.sends))
	}
}

// Connections that break all at once are one event, however many attempts were out.
func TestConnectionsBrokenAtOnceAreOneEvent(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	for id := range RequestID(3) {
		ask(b, 0, id, unsafeClass)
	}
	for id := range RequestID(3) {
		end(b, ms+time.Duration(id)*100*time.Microsecond, id, 0, ConnectionReset)
	}
	if len(h.sends) != 3 || b.endpointsByID[1].ejected {
		t.Errorf("%d were out as the connections broke, unwell %v", len(h.sends), b.endpointsByID[1].ejected)
	}
	ask(b, 2*ms, 9, unsafeClass)
	end(b, 3*ms, 9, 0, ConnectionReset)
	if !b.endpointsByID[1].ejected {
		t.Error("well, though the next one broke too")
	}
}

// A report of a server's load is older than most requests take: at one request
// more than the rest of the balancers usually hold there, it is not full.
func TestReportedLoadLeavesRoom(t *testing.T) {
	cfg := testConfig()
	cfg.ProbesAllowed, cfg.ProbeLoadReports = true, true
	b, h := start(t, cfg, ready(1, 2))
	room := b.weights.proportionalShare(b.fleetInFlight, b.endpointsByID[1])
	for _, id := range []EndpointID{1, 2} {
		b.ProbeCompleted(0, id, true, LoadReport{InFlight: room + 1})
	}
	ask(b, ms, 1, safeClass)
	if len(h.sends) != 1 {
		t.Error("nothing is sent with a place free at each server")
	}
	for _, id := range []EndpointID{1, 2} {
		b.ProbeCompleted(2*ms, id, true, LoadReport{InFlight: room + 4})
	}
	ask(b, 3*ms, 2, safeClass)
	if len(h.sends) != 1 {
		t.Error("sent to servers that report to be full")
	}
}

// A cold server bears so much from all balancers together: its budget of N
// requests, and for chance twice its root and two more. Thirty balancers, each with
// more traffic than it could ever place, keep to that also where the part of each
// is far below one request, and where nobody told what the servers can do.
func TestColdServerIsSparedByTheFleet(t *testing.T) {
	const balancers, servers, takes = 30, 6, 50 * ms
	warm := ready(2, 3, 4, 5, 6)
	for name, quota := range map[string]float64{"a part of 0.03 a second": 12, "a part of 0.9 a second": 360, "no quotas": 0} {
		for seed := range uint64(8) {
			restarted := seed%2 == 1
			cfg := testConfig()
			cfg.FleetSize, cfg.Slots = balancers, 40
			cfg.Tenants = []Tenant{{Share: 1, Quota: quota}}
			capacity := quota / servers // requests a second of one server, warm
			if quota == 0 {
				capacity = float64(time.Second) / float64(takes) // what answers tell: it does one at a time
			}
			seeds := rand.New(rand.NewPCG(seed, 1)) // near ones would make their first choices alike
			now := time.Hour
			fleet, hosts := make([]*Balancer, balancers), make([]*fakeHost, balancers)
			begin := func(i int, list []Endpoint) {
				h := newFakeHost()
				b, err := New(cfg, seeds.Uint64(), h)
				if err != nil {
					t.Fatal(err)
				}
				b.Start(now)
				b.EndpointsUpdated(now, FullUpdate, list)
				fleet[i], hosts[i] = b, h
			}
			for i := range fleet {
				begin(i, warm)
			}
			var sends []time.Duration
			serve := func(count bool) {
				for i, b := range fleet {
					h := hosts[i]
					for n := range 6 {
						ask(b, now, RequestID(now/ms)*10+RequestID(n)+1, safeClass)
					}
					for len(h.at) > 0 && h.at[0] <= now-takes {
						end(b, now, h.sends[0].id, 0, Served)
						h.sends, h.at = h.sends[1:], h.at[1:]
					}
					for _, s := range h.sends[len(h.at):] {
						h.at = append(h.at, now)
						if count && s.to == 1 {
							sends = append(sends, now)
						}
					}
				}
			}
			for ; now < time.Hour+2*time.Second; now += 20 * ms { // what answers take is known by then
				serve(false)
			}
			began := now
			cold := Endpoint{ID: 1, Health: Ready, Weight: 1, StartedAt: began}
			for i := range fleet { // told at once, all of them, and with the whole list where they start anew themselves
				if !restarted {
					fleet[i].EndpointsUpdated(now, DeltaUpdate, []Endpoint{cold})
					continue
				}
				begin(i, append([]Endpoint{cold}, warm...))
			}
			for ; now < began+cfg.SlowStartDuration; now += 20 * ms {
				serve(true)
				for len(sends) > 0 && sends[0] <= now-time.Second {
					sends = sends[1:]
				}
				warmth := cfg.SlowStartInitialShare + (1-cfg.SlowStartInitialShare)*float64(now-began)/float64(cfg.SlowStartDuration)
				budget := cfg.SlowStartOverloadFactor * warmth * capacity
				if most := budget + 2*math.Sqrt(budget) + 2; float64(len(sends)) > most {
					t.Errorf("%s, seed %d: %d requests within a second, %v after its start; it bears %.1f", name, seed, len(sends), now-began, most)
				}
			}
		}
	}
}
