package rpcfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// holding is a core that hands each request to the test.
type holding struct {
	taken chan *core.Request
	left  chan *core.Request
}

func newHolding() *holding {
	return &holding{taken: make(chan *core.Request, 10000), left: make(chan *core.Request, 10000)}
}

func (k *holding) Submit(r *core.Request) { k.taken <- r }

func (k *holding) Abandon(r *core.Request) { k.left <- r }

func (k *holding) Ready() bool { return true }

func startFront(t *testing.T, c Config, k Handler) *Front {
	t.Helper()
	c.Classes, c.Tenants = []string{"read", "keyed", "once"}, []string{"north"}
	c.Idempotency = []policy.Idempotency{policy.Idempotent, policy.IdempotentByKey, policy.NotIdempotent}
	if c.MaxConnections == 0 {
		c.MaxConnections = 10
	}
	f := New(c, k, peertest.Listen(t))
	done := make(chan error, 1)
	go func() { done <- f.Serve() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f.Shutdown(ctx)
		if err := peertest.Await(t, "the end of Serve", done); err != nil {
			t.Errorf("Serve ended with %v", err)
		}
		peertest.Until(t, "the connections' end", func() bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			return len(f.conns) == 0
		})
	})
	return f
}

// client speaks the protocol as the test wants.
type client struct {
	net.Conn
	in *msgrpc.Framer
}

func dial(t *testing.T, f *Front) *client {
	t.Helper()
	nc, err := net.Dial("tcp", f.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return &client{nc, msgrpc.NewFramer(nc, msgrpc.MaxAnswer, peertest.Patience)}
}

func (c *client) ask(id uint32, change func(*msgrpc.Call)) { c.Write(callText(id, change)) }

func callText(id uint32, change func(*msgrpc.Call)) []byte {
	call := msgrpc.Call{ID: fmt.Sprint("r", id), Class: "once", Tenant: "north", Left: 5 * time.Second, Body: []byte("{}")}
	if change != nil {
		change(&call)
	}
	return call.Append(nil, id)
}

func (c *client) next(t *testing.T) msgrpc.Message {
	t.Helper()
	m, err := c.read()
	if err != nil {
		t.Fatalf("no message: %v", err)
	}
	return m
}

func (c *client) read() (msgrpc.Message, error) {
	c.SetReadDeadline(time.Now().Add(peertest.Patience))
	frame, err := c.in.Next()
	if err != nil {
		return msgrpc.Message{}, err
	}
	return msgrpc.Parse(frame)
}

func (c *client) fault(t *testing.T, id uint32) *msgrpc.Fault {
	t.Helper()
	m := c.next(t)
	if m.Kind != msgrpc.Response || m.ID != id || m.Fault == nil {
		t.Fatalf("got %+v, want an error for %d", m, id)
	}
	f, err := msgrpc.ParseFault(m.Fault)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func (c *client) protocolError(t *testing.T) {
	t.Helper()
	if m := c.next(t); m.Kind != msgrpc.Notification || string(m.Method) != msgrpc.MethodProtocolError {
		t.Fatalf("got %+v, want word of a protocol error", m)
	}
}

func TestRequestReachesTheCore(t *testing.T) {
	k := newHolding()
	c := dial(t, startFront(t, Config{}, k))
	c.ask(9, func(m *msgrpc.Call) {
		m.Class, m.Key, m.Retry, m.Work, m.Affinity, m.Target = "keyed", "k1", true, 1500*time.Microsecond, "hive-7", "/a?b=c"
		m.Fields = map[string][]string{"x-apiary": {"1", "2"}, "Tenant": {"not this one"}}
	})
	r := peertest.Await(t, "the request", k.taken)
	if r.ID != "r9" || r.Class != 1 || r.Tenant != 0 || !r.ClientRetry || r.ExpectedWork != 1500*time.Microsecond || r.Method != "POST" || r.Target != "/a?b=c" ||
		string(r.Body) != "{}" || time.Until(r.Deadline) > 5*time.Second || time.Until(r.Deadline) < 3*time.Second {
		t.Errorf("request %+v", r)
	}
	want := map[string]string{"Request-Id": "r9", "Request-Class": "keyed", "Tenant": "north", "Idempotency-Key": "k1",
		"Affinity-Key": "hive-7", "Client-Retry": "1", "Work-Hint": "1500", "X-Apiary": "1,2"}
	for name, v := range r.Fields {
		if want[name] != strings.Join(v, ",") {
			t.Errorf("field %s is %q, want %q", name, v, want[name])
		}
	}
	if len(r.Fields) != len(want) {
		t.Errorf("fields %v", r.Fields)
	}
	r.Respond(core.Response{Result: core.Served, Body: []byte("honey"), Fields: map[string][]string{"X-Grade": {"1"}, "Connection": {"close"}, "X-Odd": {"a\x01b"}}})
	m := c.next(t)
	got, err := msgrpc.ParseResult(m.Result)
	if err != nil || m.ID != 9 || m.Fault != nil || string(got.Body) != "honey" || len(got.Fields) != 1 {
		t.Errorf("answer %+v %+v, error %v", m, got, err)
	}
}

func TestVerdictsBecomeFaults(t *testing.T) {
	k := newHolding()
	c := dial(t, startFront(t, Config{}, k))
	for want, a := range map[string]core.Response{
		msgrpc.KindRefused: {Result: core.Rejected, RetryAfter: 120 * time.Millisecond}, msgrpc.KindFailed: {Result: core.Failed},
		msgrpc.KindTimeout: {Result: core.TimedOut}, msgrpc.KindDuplicate: {Result: core.Duplicate},
	} {
		c.ask(1, nil)
		peertest.Await(t, "the request", k.taken).Respond(a)
		if f := c.fault(t, 1); f.Kind != want || f.Pause != a.RetryAfter {
			t.Errorf("%+v becomes %+v", a, f)
		}
	}
}

// What is wrong is answered by name, and the connection goes on.
func TestWrongRequests(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{}, k)
	c := dial(t, f)
	for word, change := range map[string]func(*msgrpc.Call){
		"class":   func(m *msgrpc.Call) { m.Class = "later" },
		"tenant":  func(m *msgrpc.Call) { m.Tenant = "" },
		"id":      func(m *msgrpc.Call) { m.ID = "" },
		"ASCII":   func(m *msgrpc.Call) { m.ID = "a b" },
		"target":  func(m *msgrpc.Call) { m.Target = "no-path" },
		"host":    func(m *msgrpc.Call) { m.Target, m.Host = "/a b", "x" },
		"left_ms": func(m *msgrpc.Call) { m.Left = 0 },
		"key":     func(m *msgrpc.Call) { m.Class = "keyed" },
		"have":    func(m *msgrpc.Call) { m.Key = "k" },
		"none":    func(m *msgrpc.Call) { m.Class = "read" },
		"field":   func(m *msgrpc.Call) { m.Fields = map[string][]string{"X:Y": {"1"}} },
		"control": func(m *msgrpc.Call) { m.Fields = map[string][]string{"X": {"1\r\nY: 2"}} },
		"bytes":   func(m *msgrpc.Call) { m.Body = make([]byte, msgrpc.MaxBody+1) },
	} {
		c.ask(5, change)
		if got := c.fault(t, 5); got.Kind != msgrpc.KindRejected || !strings.Contains(got.Text, word) {
			t.Errorf("%s: %+v", word, got)
		}
	}
	c.Write(msgrpc.AppendPlain(nil, 6, "no_such_method"))
	if got := c.fault(t, 6); got.Kind != msgrpc.KindRejected {
		t.Errorf("an unknown method: %+v", got)
	}
	c.Write(msgrpc.AppendPlain(nil, 7, msgrpc.MethodReady))
	if ready, err := msgrpc.ReadReady(c.next(t).Result); err != nil || !ready {
		t.Errorf("ready: %v, %v", ready, err)
	}
	if len(k.taken) > 0 {
		t.Error("a wrong request was taken")
	}
}

// A msgid that is open cannot be taken again: no answer could tell which of the
// two it is for. The first goes on.
func TestMsgIDTwice(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{}, k)
	c := dial(t, f)
	c.ask(3, nil)
	r := peertest.Await(t, "the request", k.taken)
	c.ask(3, func(m *msgrpc.Call) { m.ID = "another" })
	c.protocolError(t)
	r.Respond(core.Response{Result: core.Served, Body: []byte("first")})
	if m := c.next(t); m.ID != 3 || m.Fault != nil {
		t.Errorf("got %+v", m)
	}
	if len(k.taken) > 0 || f.Counters().Repeated != 1 {
		t.Errorf("%d more were taken, counters %+v", len(k.taken), f.Counters())
	}
	c.ask(3, nil) // it is free now
	peertest.Await(t, "the request", k.taken)
}

// A client that floods is refused beyond its bound, with a pause, and gets
// exactly one answer for each request.
func TestFlood(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{MaxRequestsInFlight: 8}, k)
	c := dial(t, f)
	const n = 30
	for i := range n {
		c.ask(uint32(i), nil)
	}
	answers := make(map[uint32]int)
	for range n - 8 {
		m := c.next(t)
		fault, err := msgrpc.ParseFault(m.Fault)
		if err != nil || fault.Kind != msgrpc.KindRefused || fault.Pause <= 0 {
			t.Errorf("got %+v, %v", fault, err)
		}
		answers[m.ID]++
	}
	for range 8 {
		peertest.Await(t, "a request", k.taken).Respond(core.Response{Result: core.Served})
		answers[c.next(t).ID]++
	}
	for id, times := range answers {
		if times != 1 {
			t.Errorf("%d was answered %d times", id, times)
		}
	}
	if len(answers) != n || len(k.taken) > 0 || f.Counters().Flooded != n-8 {
		t.Errorf("%d answered, %d more taken, counters %+v", len(answers), len(k.taken), f.Counters())
	}
}

// A client that never reads its answers loses its connection: they are not held
// for it, and another client's are not held up.
func TestClientThatNeverReads(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{MaxRequestsInFlight: 32}, k)
	deaf, other := dial(t, f), dial(t, f)
	deaf.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for i := uint32(0); ; i++ {
			call := msgrpc.Call{ID: fmt.Sprint("d", i), Class: "once", Tenant: "north", Left: 5 * time.Second}
			if _, err := deaf.Write(call.Append(nil, i)); err != nil {
				return
			}
		}
	}()
	over := make(chan struct{})
	defer close(over)
	go func() {
		for {
			select {
			case r := <-k.taken:
				r.Respond(core.Response{Result: core.Served, Body: make([]byte, 512<<10)})
			case <-over:
				return
			}
		}
	}()
	for f.Counters().Stalled == 0 { // meanwhile the other is served
		began := time.Now()
		other.ask(1, nil)
		if m := other.next(t); m.ID != 1 || m.Fault != nil {
			t.Fatalf("the other got %+v", m)
		}
		if took := time.Since(began); took > peertest.Patience/2 {
			t.Errorf("the other waited for %v", took)
		}
		f.mu.Lock()
		for c := range f.conns {
			c.mu.Lock()
			if most := f.config.MaxBufferedResponseBytes + (f.config.MaxRequestsInFlight+1)*(512<<10); c.bufferedBytes > most || len(c.responseQueue) > 4*f.config.MaxRequestsInFlight {
				t.Errorf("%d bytes and %d answers are held for one client", c.bufferedBytes, len(c.responseQueue))
			}
			c.mu.Unlock()
		}
		f.mu.Unlock()
	}
	peertest.Until(t, "the deaf one's end", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.conns) == 1
	})
}

// One that asks for little, but does not read what it gets, is not waited for either.
func TestUnreadAnswersAreNotHeld(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{MaxRequestsInFlight: 64, MaxBufferedResponseBytes: 64 << 20}, k)
	c := dial(t, f)
	c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	for i := range 32 { // more than the buffers of both sides hold
		c.ask(uint32(i), nil)
	}
	for range 32 {
		peertest.Await(t, "a request", k.taken).Respond(core.Response{Result: core.Served, Body: make([]byte, 1<<20)})
	}
	peertest.Until(t, "the connection's end", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.conns) == 0
	})
	if n := f.Counters().Stalled; n != 1 {
		t.Errorf("%d connections count as stalled, want 1", n)
	}
}

// A client that leaves with 100 open: the core hears of each.
func TestClientLeavesWithManyOpen(t *testing.T) {
	k := newHolding()
	c := dial(t, startFront(t, Config{MaxRequestsInFlight: 100}, k))
	open := make(map[*core.Request]bool)
	for i := range 100 {
		c.ask(uint32(i), nil)
		open[peertest.Await(t, "a request", k.taken)] = true
	}
	c.Close()
	for len(open) > 0 {
		r := peertest.Await(t, "word of one that was left", k.left)
		if !open[r] {
			t.Fatal("one was left twice, or never open")
		}
		delete(open, r)
		r.Respond(core.Response{Result: core.Served}) // too late: it must go nowhere
	}
}

func TestCancel(t *testing.T) {
	k := newHolding()
	c := dial(t, startFront(t, Config{}, k))
	c.ask(1, nil)
	r := peertest.Await(t, "the request", k.taken)
	c.Write(msgrpc.AppendCancel(nil, 1))
	if left := peertest.Await(t, "word of it", k.left); left != r {
		t.Error("another was left")
	}
	if f := c.fault(t, 1); f.Kind != msgrpc.KindCancelled {
		t.Errorf("got %+v", f)
	}
	r.Respond(core.Response{Result: core.Served}) // it came too late
	c.Write(msgrpc.AppendCancel(nil, 1))          // and is not open any more
	c.ask(2, nil)
	peertest.Await(t, "the next", k.taken).Respond(core.Response{Result: core.Served})
	if m := c.next(t); m.ID != 2 {
		t.Errorf("got an answer to %d, want one to 2 alone", m.ID)
	}
}

// A planned restart: clients are asked to send nothing new, what was taken and
// what still comes is answered, then the connection ends.
func TestPlannedRestart(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{}, k)
	c := dial(t, f)
	c.ask(1, nil)
	held := peertest.Await(t, "the request", k.taken)
	f.Drain()
	if m := c.next(t); m.Kind != msgrpc.Notification || string(m.Method) != msgrpc.MethodDrain {
		t.Fatalf("got %+v, want word of the drain", m)
	}
	c.ask(2, nil) // it crossed the word
	peertest.Await(t, "the one that crossed", k.taken).Respond(core.Response{Result: core.Served})
	if m := c.next(t); m.ID != 2 || m.Fault != nil {
		t.Errorf("got %+v", m)
	}
	fresh := dial(t, f) // new connections come for a while
	if m := fresh.next(t); string(m.Method) != msgrpc.MethodDrain {
		t.Errorf("a new connection is told %+v", m)
	}
	done := make(chan error, 1)
	go func() { done <- f.Shutdown(t.Context()) }()
	if _, err := fresh.read(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	select {
	case <-done:
		t.Fatal("ended with a request unanswered")
	default:
	}
	held.Respond(core.Response{Result: core.Served, Body: []byte("held")})
	if m := c.next(t); m.ID != 1 || m.Fault != nil {
		t.Errorf("got %+v", m)
	}
	if _, err := c.read(); err != io.EOF {
		t.Errorf("then %v, want the end", err)
	}
	if err := peertest.Await(t, "the end", done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Bad input: a clear error or a close within 3 s, and nothing is taken.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		close bool // the connection ends, with a last word
	}{
		"4 GB of bytes":       {"\x94\x00\x01\xa4call\x91\x81\xa4body\xc6\xff\xff\xff\xff", true},
		"4 GB of map":         {"\x94\x00\x01\xa4call\x91\xdf\xff\xff\xff\xff", true},
		"10,000 deep":         {strings.Repeat("\x91", 10000), true},
		"extension":           {"\x94\x00\x01\xa4call\x91\xd4\x01\x00", true},
		"timestamp":           {"\x94\x00\x01\xa4call\x91\xd6\xff\x00\x00\x00\x00", true},
		"a byte that is none": {"\xc1", true},
		"no array":            {"\xa4call", true},
		"HTTP":                {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", true},
		"cut and silent":      {"\x94\x00\x01\xa4call", true},
		"three values":        {"\x93\x00\x01\xa4call", false},
		"five values":         {"\x95\x00\x01\xa4call\x90\x00", false},
		"kind 3":              {"\x94\x03\x01\xa4call\x90", false},
		"kind of text":        {"\x94\xa1x\x01\xa4call\x90", false},
		"msgid below 0":       {"\x94\x00\xff\xa4call\x90", false},
		"msgid over 2^32":     {"\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa4call\x90", false},
		"method a number":     {"\x94\x00\x01\x07\x90", false},
		"params a map":        {"\x94\x00\x01\xa4call\x80", false},
		"a response":          {"\x94\x01\x01\xc0\xc0", false},
		"cancel of text":      {"\x93\x02\xa6cancel\x91\xa1x", false},
		"cancel of nothing":   {"\x93\x02\xa6cancel\x90", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			k := newHolding()
			f := startFront(t, Config{}, k)
			cl := dial(t, f)
			began := time.Now()
			io.WriteString(cl, c.text)
			cl.protocolError(t)
			if took := time.Since(began); took > 3*time.Second {
				t.Errorf("told after %v", took)
			}
			if c.close {
				if m, err := cl.read(); err == nil {
					t.Errorf("then %+v, want the end", m)
				}
			} else {
				cl.ask(1, nil)
				peertest.Await(t, "a good one after it", k.taken)
			}
			if f.Counters().Malformed != 1 {
				t.Errorf("counters %+v", f.Counters())
			}
		})
	}
}

// Params that are wrong in themselves are answered under their msgid.
func TestWrongParams(t *testing.T) {
	k := newHolding()
	c := dial(t, startFront(t, Config{}, k))
	for name, params := range map[string]string{
		"none": "\x90", "two": "\x92\x80\x80", "a text": "\x91\xa1x", "key a number": "\x91\x81\x07\x07",
		"key twice": "\x91\x82\xa2id\xa1x\xa2id\xa1y", "id a number": "\x91\x81\xa2id\x07", "left NaN": "\x91\x81\xa7left_ms\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00",
		"left below 0": "\x91\x81\xa7left_ms\xff", "fields a list": "\x91\x81\xa6fields\x90",
	} {
		io.WriteString(c, "\x94\x00\x05\xa4call"+params)
		if f := c.fault(t, 5); f.Kind != msgrpc.KindRejected || f.Text == "" {
			t.Errorf("%s: %+v", name, f)
		}
	}
	if len(k.taken) > 0 {
		t.Error("a wrong request was taken")
	}
}

// A connection that brings nothing but nonsense ends.
func TestManyBadMessagesEndTheConnection(t *testing.T) {
	c := dial(t, startFront(t, Config{}, newHolding()))
	io.WriteString(c, strings.Repeat("\x94\x01\x01\xc0\xc0", maxMalformedMessages))
	told := 0
	for {
		_, err := c.read()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("after %d bad messages it goes on", maxMalformedMessages)
		}
		if err != nil {
			break
		}
		told++
	}
	if told > maxMalformedMessages {
		t.Errorf("told of %d, %d were sent", told, maxMalformedMessages)
	}
}

// At the bound the connection that has been idle longest makes way; one with a
// request open never does.
func TestConnectionsAreBounded(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{MaxConnections: 2}, k)
	busy, idle := dial(t, f), dial(t, f)
	busy.ask(1, nil)
	r := peertest.Await(t, "the request", k.taken)
	idle.ask(1, nil)
	peertest.Await(t, "the other's", k.taken).Respond(core.Response{Result: core.Served})
	idle.next(t)
	third := dial(t, f)
	if _, err := idle.read(); err == nil {
		t.Error("the idle one goes on")
	}
	third.ask(1, nil)
	peertest.Await(t, "the third's", k.taken)
	r.Respond(core.Response{Result: core.Served})
	if m := busy.next(t); m.ID != 1 || m.Fault != nil {
		t.Errorf("the busy one got %+v", m)
	}
}

// Sixty-four requests come in one piece with a cancel in their middle: that one
// alone has gone, at once, also for whoever is about to write an attempt of it.
// When the client leaves, so have the others.
func TestCancelAmongManyInOnePiece(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{MaxRequestsInFlight: 64}, k)
	c := dial(t, f)
	var text []byte
	for id := range uint32(64) {
		call := msgrpc.Call{ID: fmt.Sprint("r", id), Class: "once", Tenant: "north", Left: 5 * time.Second}
		if text = call.Append(text, id); id == 40 {
			text = msgrpc.AppendCancel(text, 32)
		}
	}
	c.Write(text)
	all := make(map[string]*core.Request)
	for range 64 {
		r := peertest.Await(t, "a request", k.taken)
		all[r.ID] = r
	}
	if r := peertest.Await(t, "the cancelled one", k.left); r.ID != "r32" {
		t.Errorf("%s was given up", r.ID)
	}
	for id, r := range all {
		if r.ClientGone() != (id == "r32") {
			t.Errorf("%s: gone is %v", id, r.ClientGone())
		}
	}
	c.fault(t, 32)
	c.Close()
	peertest.Until(t, "all to be gone", func() bool {
		for _, r := range all {
			if !r.ClientGone() {
				return false
			}
		}
		return true
	})
}

// A request that comes as its connection is ended is not taken, and resets nothing.
func TestRequestThatCrossesTheEnd(t *testing.T) {
	k := newHolding()
	f := startFront(t, Config{}, k)
	c := dial(t, f)
	c.ask(1, nil)
	r := peertest.Await(t, "the request", k.taken)
	f.Drain()
	ended := make(chan error, 1)
	go func() { ended <- f.Shutdown(t.Context()) }()
	r.Respond(core.Response{Result: core.Served, Body: []byte("ok")})
	served := false
	for {
		m, err := c.read()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("the connection ended with %v", err)
		}
		served = served || m.Kind == msgrpc.Response && m.Fault == nil
	}
	for id := range uint32(3) {
		call := msgrpc.Call{ID: fmt.Sprint("late", id), Class: "once", Tenant: "north", Left: 5 * time.Second}
		if _, err := c.Write(call.Append(nil, 10+id)); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
		time.Sleep(5 * time.Millisecond) // a reset would be there by now
	}
	c.Close()
	if err := peertest.Await(t, "the end", ended); err != nil || !served || len(k.taken) > 0 {
		t.Errorf("error %v, served %v, %d taken after the end", err, served, len(k.taken))
	}
}
