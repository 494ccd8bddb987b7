package rpcnode

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// raw is a node whose every word the test writes.
type raw struct {
	ln    net.Listener
	conns chan *rawConn
}

type rawConn struct {
	net.Conn
	calls   chan sent
	cancels chan uint32
	ended   chan struct{}
}

// sent is a request as the node read it.
type sent struct {
	msgID uint32
	call  *msgrpc.Call // nil for a probe
}

func newRaw(t *testing.T) *raw {
	t.Helper()
	r := &raw{ln: peertest.Listen(t), conns: make(chan *rawConn, 100)}
	go func() {
		for {
			nc, err := r.ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { nc.Close() })
			c := &rawConn{Conn: nc, calls: make(chan sent, 5000), cancels: make(chan uint32, 5000), ended: make(chan struct{})}
			r.conns <- c
			go c.read()
		}
	}()
	return r
}

func (c *rawConn) read() {
	defer close(c.ended)
	f := msgrpc.NewFramer(c, msgrpc.MaxRequestBytes, time.Minute)
	for {
		frame, err := f.Next()
		if err != nil {
			return
		}
		m, err := msgrpc.Parse(frame)
		switch {
		case err != nil:
			return
		case m.Kind == msgrpc.Notification:
			id, _ := msgrpc.ParseCancel(m.Params)
			c.cancels <- id
		case string(m.Method) == msgrpc.MethodProbe:
			c.calls <- sent{msgID: m.ID}
		default:
			call, err := msgrpc.ParseCall(m.Params)
			if err != nil {
				return
			}
			c.calls <- sent{m.ID, call}
		}
	}
}

func (c *rawConn) serve(id uint32, body string) {
	c.Write((&msgrpc.Result{Body: []byte(body), InFlight: -1}).Append(nil, id))
}

func testTransport(c Config) *Transport {
	if c.DialTimeout == 0 {
		c.DialTimeout = time.Second
	}
	if c.Connections == 0 {
		c.Connections = 20
	}
	c.ConnIdle = 30 * time.Second
	return New(c)
}

func message(id string) *core.Message {
	return &core.Message{Method: "POST", Target: "/api?x=1", Host: "h", Body: []byte("{}"), Fields: map[string][]string{
		"Request-Id": {id}, "Request-Class": {"once"}, "Tenant": {"north"}, "Request-Timeout": {"9"}, "X-Apiary": {"a", "b"},
	}}
}

// ended is how an attempt ended.
type ended struct {
	ending policy.AttemptResult
	answer *core.Response
}

func try(ctx context.Context, n core.Upstream, id string) <-chan ended {
	out := make(chan ended, 1)
	go func() {
		e, a := n.RoundTrip(ctx, message(id))
		out <- ended{e, a}
	}()
	return out
}

func (r *raw) node(t *Transport) *node { return t.Upstream(r.ln.Addr().String()).(*node) }

func TestOutcomes(t *testing.T) {
	fault := func(kind string) func(uint32) []byte {
		return func(id uint32) []byte { return (&msgrpc.Fault{Kind: kind}).Append(nil, id) }
	}
	for name, c := range map[string]struct {
		answer func(id uint32) []byte
		want   policy.AttemptResult
	}{
		"served": {func(id uint32) []byte {
			return (&msgrpc.Result{Body: []byte("honey"), Fields: map[string][]string{"X-A": {"1"}}, InFlight: 3}).Append(nil, id)
		}, policy.Served},
		"not started":          {fault(msgrpc.KindNotStarted), policy.Rejected},
		"error":                {fault(msgrpc.KindError), policy.ServerError},
		"a kind not known":     {fault("later"), policy.ServerError},
		"refused may have run": {fault(msgrpc.KindRefused), policy.ServerError},
		"cancelled unasked":    {fault(msgrpc.KindCancelled), policy.ServerError},
		"result that is none":  {func(id uint32) []byte { return []byte{0x94, 1, byte(id), 0xc0, 7} }, policy.ConnectionReset},
		"error that is none":   {func(id uint32) []byte { return []byte{0x94, 1, byte(id), 7, 0xc0} }, policy.ConnectionReset},
		"no MessagePack":       {func(uint32) []byte { return []byte{0xc1} }, policy.ConnectionReset},
		"4 GB announced":       {func(uint32) []byte { return []byte{0x94, 1, 0, 0xc0, 0xc6, 0xff, 0xff, 0xff, 0xff} }, policy.ConnectionReset},
		"too deep":             {func(uint32) []byte { return []byte(strings.Repeat("\x91", 10000)) }, policy.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRaw(t)
			n := r.node(testTransport(Config{}))
			out := try(t.Context(), n, "x")
			conn := peertest.Await(t, "the connection", r.conns)
			got := peertest.Await(t, "the request", conn.calls)
			if c := got.call; c.ID != "x" || c.Class != "once" || c.Tenant != "north" || c.Target != "/api?x=1" || string(c.Body) != "{}" ||
				len(c.Fields) != 1 || len(c.Fields["X-Apiary"]) != 2 {
				t.Errorf("the node read %+v", c)
			}
			conn.Write(c.answer(got.msgID))
			end := peertest.Await(t, "the ending", out)
			if end.ending != c.want || (end.answer != nil) != (c.want == policy.Served) {
				t.Errorf("ending %v %+v, want %v", end.ending, end.answer, c.want)
			}
			if end.answer != nil && (string(end.answer.Body) != "honey" || end.answer.Fields["X-A"][0] != "1") {
				t.Errorf("answer %+v", end.answer)
			}
		})
	}
}

// A response to an id that was given up, one to an id that never was and a
// second one to the same id are dropped and counted; none gets to another request.
func TestAnswersNobodyWaitsFor(t *testing.T) {
	r := newRaw(t)
	tr := testTransport(Config{})
	n := r.node(tr)
	ctx, cancel := context.WithCancel(t.Context())
	given := try(ctx, n, "given-up")
	conn := peertest.Await(t, "the connection", r.conns)
	first := peertest.Await(t, "the request", conn.calls)
	cancel()
	if e := peertest.Await(t, "the ending", given); e.ending != policy.Cancelled {
		t.Fatalf("given up: ending %v", e.ending)
	}
	if id := peertest.Await(t, "the cancel", conn.cancels); id != first.msgID {
		t.Errorf("cancelled %d, want %d", id, first.msgID)
	}
	waits := try(t.Context(), n, "waits")
	second := peertest.Await(t, "the second request", conn.calls)
	if second.msgID == first.msgID {
		t.Fatal("an id is used again while its answer may still come")
	}
	conn.serve(first.msgID, "late")
	conn.serve(77, "never was")
	conn.serve(second.msgID, "good")
	conn.serve(second.msgID, "twice")
	if e := peertest.Await(t, "the answer", waits); e.ending != policy.Served || string(e.answer.Body) != "good" {
		t.Errorf("ending %v, answer %+v", e.ending, e.answer)
	}
	third := try(t.Context(), n, "third")
	got := peertest.Await(t, "the third", conn.calls)
	conn.serve(got.msgID, "third")
	if e := peertest.Await(t, "its answer", third); string(e.answer.Body) != "third" {
		t.Errorf("answer %+v", e.answer)
	}
	if c := tr.Counters(); c.Late != 1 || c.Unknown != 2 || c.Dials != 1 {
		t.Errorf("counters %+v", c)
	}
}

// Ids run on past 2^32 and pass over those that are owed an answer or are out.
func TestIDsPastTheEnd(t *testing.T) {
	r := newRaw(t)
	n := r.node(testTransport(Config{}))
	ctx, cancel := context.WithCancel(t.Context())
	ghost, open := try(ctx, n, "ghost"), make(<-chan ended)
	conn := peertest.Await(t, "the connection", r.conns)
	owed := peertest.Await(t, "the first", conn.calls) // id 0
	cancel()
	peertest.Await(t, "its end", ghost)
	open = try(t.Context(), n, "open")
	out := peertest.Await(t, "the second", conn.calls) // id 1
	n.mu.Lock()
	c := n.conns[0]
	n.mu.Unlock()
	c.mu.Lock()
	c.next = math.MaxUint32 - 1
	c.mu.Unlock()
	var ids []uint32
	for i := range 4 {
		done := try(t.Context(), n, fmt.Sprint(i))
		got := peertest.Await(t, "a request", conn.calls)
		ids = append(ids, got.msgID)
		conn.serve(got.msgID, "ok")
		if e := peertest.Await(t, "its answer", done); e.ending != policy.Served {
			t.Errorf("%d: ending %v", got.msgID, e.ending)
		}
	}
	if want := []uint32{math.MaxUint32 - 1, math.MaxUint32, 2, 3}; fmt.Sprint(ids) != fmt.Sprint(want) || owed.msgID != 0 || out.msgID != 1 {
		t.Errorf("ids %d after %d and %d, want %d", ids, owed.msgID, out.msgID, want)
	}
	conn.serve(out.msgID, "at last")
	if e := peertest.Await(t, "the open one", open); string(e.answer.Body) != "at last" {
		t.Errorf("the open one got %+v", e.answer)
	}
}

// A connection breaks with 50 outstanding: those written whole may have run,
// those that were not never ran.
func TestBreakWithFiftyOutstanding(t *testing.T) {
	ln := peertest.Listen(t)
	tr := testTransport(Config{DialTimeout: 10 * time.Second})
	n := tr.Upstream(ln.Addr().String()).(*node)
	big := message("x")
	big.Body = make([]byte, msgrpc.MaxRequestBodyBytes)
	var wg sync.WaitGroup
	var mu sync.Mutex
	endings := make(map[policy.AttemptResult]int)
	start := func() {
		wg.Go(func() {
			e, _ := n.RoundTrip(t.Context(), big)
			mu.Lock()
			endings[e]++
			mu.Unlock()
		})
	}
	start()
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	nc.(*net.TCPConn).SetReadBuffer(8 << 10)
	c := onlyConn(t, n)
	c.nc.(*net.TCPConn).SetWriteBuffer(8 << 10)
	f := msgrpc.NewFramer(nc, msgrpc.MaxRequestBytes, time.Minute)
	if _, err := f.Next(); err != nil {
		t.Fatal(err)
	}
	for range 49 {
		start()
	}
	// Nobody reads on: the writer stands still over a batch that holds what the
	// buffers do not, the rest is in line.
	peertest.Until(t, "all to be out", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.open) == 50
	})
	whole := 1
	for whole < 10 { // ten come to the node whole
		if _, err := f.Next(); err != nil {
			t.Fatal(err)
		}
		whole++
	}
	nc.(*net.TCPConn).SetLinger(0)
	nc.Close()
	wg.Wait()
	if len(endings) > 2 || endings[policy.ConnectionReset]+endings[policy.ConnectionFailed] != 50 {
		t.Fatalf("endings %v", endings)
	}
	// What the node had whole must count as maybe run; what is still in line
	// behind a megabyte of buffers certainly never ran.
	if endings[policy.ConnectionReset] < whole {
		t.Errorf("%d count as maybe run, though %d reached the node whole", endings[policy.ConnectionReset], whole)
	}
}

// One that was never handed to the socket is told apart from one that was.
func TestUnwrittenNeverRan(t *testing.T) {
	c := newConn(&node{t: testTransport(Config{})}, &net.TCPConn{})
	frame := func(b []byte, _ uint32, _ time.Duration) []byte { return append(b, make([]byte, 10)...) }
	var all []*exchange
	for range 4 {
		all = append(all, c.enqueue(nil, frame, time.Time{}))
	}
	for _, x := range all[:3] {
		x.append(nil, time.Now())
		x.stage = writing
	}
	c.queue = c.queue[3:]
	c.wrote(all[:3], 25, errors.New("cut")) // two whole, half of the third
	c.fail(errors.New("reset"))
	for i, want := range []bool{false, false, true, true} {
		if r := peertest.Await(t, "the end", all[i].done); errors.Is(r.err, errUnwritten) != want {
			t.Errorf("request %d: %v; never written: %v is wanted", i, r.err, want)
		}
	}
}

func onlyConn(t *testing.T, n *node) *conn {
	t.Helper()
	peertest.Until(t, "the connection", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.conns) == 1
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conns[0]
}

// A node that hangs and ignores what it is asked to cancel: what runs on there
// is bounded on a connection; one that owes too much is closed when nobody waits
// on it any more, so that a node which recovers is reached again at once.
func TestHangIsBounded(t *testing.T) {
	r := newRaw(t)
	tr := testTransport(Config{Outstanding: 8})
	n := r.node(tr)
	var last *rawConn
	for round := range 2 * perNode {
		for i := range 8 {
			ctx, cancel := context.WithCancel(t.Context())
			out := try(ctx, n, fmt.Sprint(i))
			if i == 0 {
				conn := peertest.Await(t, "a connection", r.conns)
				if last != nil {
					peertest.Await(t, fmt.Sprint("the end of connection ", round), last.ended)
				}
				last = conn
			}
			peertest.Await(t, "the request", last.calls)
			cancel()
			if e := peertest.Await(t, "the end", out); e.ending != policy.Cancelled {
				t.Fatalf("ending %v, want cancelled", e.ending)
			}
		}
	}
	if c := tr.Counters(); c.Condemned < perNode-1 {
		t.Errorf("%d connections were given up, want %d or more", c.Condemned, perNode-1)
	}
	recovered := try(t.Context(), n, "recovered")
	conn := peertest.Await(t, "a connection to the node that recovered", r.conns)
	got := peertest.Await(t, "the request", conn.calls)
	conn.serve(got.msgID, "ok")
	if e := peertest.Await(t, "its answer", recovered); e.ending != policy.Served {
		t.Errorf("ending %v, want served", e.ending)
	}
}

// Where every connection that a node may have is full of requests that are waited
// for, one more ends at once as never run: it does not pile up behind them.
func TestBeyondEveryBoundNeverRan(t *testing.T) {
	r := newRaw(t)
	n := r.node(testTransport(Config{Outstanding: 8}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var all []<-chan ended
	for i := range 8 * perNode {
		all = append(all, try(ctx, n, fmt.Sprint(i)))
		peertest.Until(t, "it to be out", func() bool {
			n.mu.Lock()
			conns := append([]*conn(nil), n.conns...)
			n.mu.Unlock()
			out := 0
			for _, c := range conns {
				c.mu.Lock()
				out += len(c.open)
				c.mu.Unlock()
			}
			return out == i+1
		})
	}
	if e := peertest.Await(t, "the end of one more", try(t.Context(), n, "more")); e.ending != policy.ConnectionFailed {
		t.Errorf("one more: ending %v, want no connection", e.ending)
	}
	if len(r.conns) != perNode {
		t.Errorf("%d connections, want %d", len(r.conns), perNode)
	}
	cancel()
	for _, out := range all {
		if e := peertest.Await(t, "an end", out); e.ending != policy.Cancelled && e.ending != policy.NotSent {
			t.Errorf("ending %v", e.ending)
		}
	}
}

// Where nothing at all comes from a node its next request goes out on a new
// connection: an old one would never show that the machine has vanished.
func TestSilentConnectionIsLeft(t *testing.T) {
	r := newRaw(t)
	n := r.node(testTransport(Config{}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if e := peertest.Await(t, "the end", try(ctx, n, "silent")); e.ending != policy.TimedOut {
		t.Fatalf("ending %v, want timed out", e.ending)
	}
	first := peertest.Await(t, "the connection", r.conns)
	peertest.Await(t, "its end", first.ended)
	out := try(t.Context(), n, "next")
	second := peertest.Await(t, "another connection", r.conns)
	got := peertest.Await(t, "the request", second.calls)
	second.serve(got.msgID, "ok")
	if e := peertest.Await(t, "the answer", out); e.ending != policy.Served {
		t.Errorf("ending %v", e.ending)
	}
}

// One attempt times out while others are answered: the connection stays.
func TestOneHangLeavesTheOthers(t *testing.T) {
	r := newRaw(t)
	tr := testTransport(Config{})
	n := r.node(tr)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	hung := try(ctx, n, "hung")
	conn := peertest.Await(t, "the connection", r.conns)
	peertest.Await(t, "the hung one", conn.calls)
	other := try(t.Context(), n, "other")
	got := peertest.Await(t, "the other", conn.calls)
	conn.serve(got.msgID, "ok")
	if e := peertest.Await(t, "the other's answer", other); e.ending != policy.Served {
		t.Fatalf("ending %v", e.ending)
	}
	if e := peertest.Await(t, "the hung one's end", hung); e.ending != policy.TimedOut {
		t.Fatalf("ending %v", e.ending)
	}
	after := try(t.Context(), n, "after")
	got = peertest.Await(t, "one more", conn.calls)
	conn.serve(got.msgID, "ok")
	peertest.Await(t, "its answer", after)
	if c := tr.Counters(); c.Dials != 1 {
		t.Errorf("%d connections, want 1", c.Dials)
	}
}

// Giving up while nothing was written is no word against the node, and nothing is written later.
func TestGivenUpInLineIsNotSent(t *testing.T) {
	c := newConn(&node{t: testTransport(Config{})}, &net.TCPConn{})
	x := c.enqueue(nil, func(b []byte, _ uint32, _ time.Duration) []byte { return append(b, 1) }, time.Time{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if r, wrote := c.wait(ctx, x); wrote || r.err == nil {
		t.Errorf("wrote %v, error %v", wrote, r.err)
	}
	if len(c.queue)+len(c.open)+len(c.ghosts) != 0 {
		t.Errorf("%d in line, %d open, %d owed", len(c.queue), len(c.open), len(c.ghosts))
	}
}

// A node that asks for nothing new gets nothing new on that connection, and
// what is out on it is still answered.
func TestDrainNotification(t *testing.T) {
	r := newRaw(t)
	n := r.node(testTransport(Config{}))
	out := try(t.Context(), n, "out")
	conn := peertest.Await(t, "the connection", r.conns)
	got := peertest.Await(t, "the request", conn.calls)
	conn.Write(msgrpc.AppendDrain(nil))
	c := onlyConn(t, n)
	peertest.Until(t, "the drain", func() bool { return !c.takes(time.Now()) })
	next := try(t.Context(), n, "next")
	second := peertest.Await(t, "another connection", r.conns)
	moved := peertest.Await(t, "the next request", second.calls)
	conn.serve(got.msgID, "ok")
	second.serve(moved.msgID, "ok")
	for _, o := range []<-chan ended{out, next} {
		if e := peertest.Await(t, "an answer", o); e.ending != policy.Served {
			t.Errorf("ending %v", e.ending)
		}
	}
	peertest.Await(t, "the drained connection's end", conn.ended)
}

func TestNoConnection(t *testing.T) {
	ln := peertest.Listen(t)
	ln.Close()
	tr := testTransport(Config{})
	n := tr.Upstream(ln.Addr().String())
	if e, _ := n.RoundTrip(t.Context(), message("x")); e != policy.ConnectionFailed {
		t.Errorf("ending %v, want no connection", e)
	}
	if load, err := n.Probe(t.Context()); err == nil || errors.Is(err, core.ErrNotSent) || load.InFlight >= 0 {
		t.Errorf("probe: %v %v", load, err)
	}
	n.Retire()
	if e, _ := n.RoundTrip(t.Context(), message("x")); e != policy.ConnectionFailed || tr.Counters().Dials != 2 {
		t.Errorf("of a node that left: ending %v after %d dials", e, tr.Counters().Dials)
	}
	if len(tr.slots) != 0 {
		t.Errorf("%d slots are taken", len(tr.slots))
	}
}

func TestProbe(t *testing.T) {
	r := newRaw(t)
	n := r.node(testTransport(Config{}))
	type result struct {
		ok   bool
		load policy.LoadReport
	}
	out := make(chan result, 1)
	go func() {
		load, err := n.Probe(t.Context())
		out <- result{err == nil, load}
	}()
	conn := peertest.Await(t, "the connection", r.conns)
	got := peertest.Await(t, "the probe", conn.calls)
	conn.Write((&msgrpc.Result{InFlight: 7}).Append(nil, got.msgID))
	if p := peertest.Await(t, "the result", out); !p.ok || p.load.InFlight != 7 {
		t.Errorf("probe %+v", p)
	}
}

// Idle connections are closed before the node closes them.
func TestSweep(t *testing.T) {
	r := newRaw(t)
	tr := testTransport(Config{})
	n := r.node(tr)
	out := try(t.Context(), n, "x")
	conn := peertest.Await(t, "the connection", r.conns)
	got := peertest.Await(t, "the request", conn.calls)
	tr.Sweep(time.Now().Add(time.Hour)) // it has a request out
	conn.serve(got.msgID, "ok")
	peertest.Await(t, "the answer", out)
	tr.Sweep(time.Now().Add(tr.cfg.ConnIdle - idleMargin - time.Second))
	select {
	case <-conn.ended:
		t.Error("closed too early")
	default:
	}
	tr.Sweep(time.Now().Add(tr.cfg.ConnIdle - idleMargin + time.Second))
	peertest.Await(t, "its end", conn.ended)
	peertest.Until(t, "the slot", func() bool { return len(tr.slots) == 0 })
}

// What the module decided may be out of date once it is to be written: see
// core.Message.MayBegin. Nothing is written, and others on the connection go on.
func TestPreventedSendWritesNothing(t *testing.T) {
	for name, m := range map[string]core.Message{
		"the client has gone": {ClientGone: func() bool { return true }},
		"its time is over":    {WriteDeadline: time.Now().Add(-time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRaw(t)
			n := testTransport(Config{}).Upstream(r.ln.Addr().String())
			first := try(t.Context(), n, "first")
			conn := peertest.Await(t, "the connection", r.conns)
			conn.serve(peertest.Await(t, "the first", conn.calls).msgID, "ok")
			peertest.Await(t, "its answer", first)
			if e, a := n.RoundTrip(t.Context(), &m); e != policy.NotSent || a != nil {
				t.Errorf("ending %v, answer %+v; want not sent", e, a)
			}
			other := try(t.Context(), n, "other")
			call := peertest.Await(t, "the other", conn.calls)
			conn.serve(call.msgID, "ok")
			if e := peertest.Await(t, "its answer", other); e.ending != policy.Served || call.call.ID != "other" || len(conn.calls) > 0 {
				t.Errorf("the node read %+v, ending %v", call.call, e.ending)
			}
		})
	}
}
