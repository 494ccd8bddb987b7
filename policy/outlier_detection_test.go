package policy

import (
	"testing"
	"time"
)

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

// What this machine lacks is no word against a server, however often: probes and
// attempts that were not sent leave it its turn.
func TestNotSentIsNoStrike(t *testing.T) {
	b, h := start(t, thinConfig(), ready(1, 2, 3, 4))
	for id := range RequestID(100) {
		ask(b, 0, id, unsafeClass)
		for len(h.probes) > 0 {
			to := h.probes[0]
			h.probes = h.probes[1:]
			b.ProbeNotSent(0, to)
		}
		if h.refused[id] < 0 || len(h.sends) > 0 {
			t.Fatalf("request %d: sends %v", id, h.sends)
		}
	}
	b, h = start(t, testConfig(), ready(1, 2, 3, 4))
	for id := range RequestID(100) {
		ask(b, 0, id, unsafeClass)
		for n := 0; len(h.sends) > n; n++ {
			end(b, 0, id, n, NotSent)
		}
		h.sends = nil
		if _, refused := h.refused[id]; !refused {
			t.Fatalf("request %d, which never ran, was not refused", id)
		}
	}
	for _, s := range b.endpoints {
		if s.ejected || s.consecutiveFailures > 0 || s.inFlight > 0 {
			t.Errorf("server %d is held to be unwell: %d strikes, %d out", s.ID, s.consecutiveFailures, s.inFlight)
		}
	}
}
