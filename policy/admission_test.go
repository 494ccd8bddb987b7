package policy

import (
	"testing"
	"time"
)

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
