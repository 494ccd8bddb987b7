package policy

import (
	"testing"
	"time"
)

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
