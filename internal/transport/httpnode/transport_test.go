package httpnode

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

func testPool(most int) *pool { return newPool(time.Second, 30*time.Second, most) }

// The protocol's table: what comes back, and whether it may have run.
func TestOutcomes(t *testing.T) {
	const none = "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		end  bool
		want policy.AttemptResult
	}{
		"served":                  {text: peertest.Answer200("honey"), want: policy.Served},
		"twice the same length":   {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Served},
		"more than belongs to it": {text: peertest.Answer200("honey") + peertest.Answer200("again"), want: policy.Served},
		"two interim answers":     {text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + peertest.Answer200("honey"), want: policy.Served},
		"chunked":                 {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Served},
		"many chunks, a trailer":  {text: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nho\r\n3\r\nney\r\n0\r\nX-Sum: 1\r\n\r\n", want: policy.Served},
		"chunks and more":         {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n" + peertest.Answer200("again"), want: policy.Served},
		"chunks without the last": {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n", end: true, want: policy.ConnectionReset},
		"a last without its end":  {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n", end: true, want: policy.ConnectionReset},
		"too large in chunks":     {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 0x200000) + "\r\n0\r\n\r\n", want: policy.ConnectionReset},
		"a length beside chunks":  {text: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nCONTENT-LENGTH: 5\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.ConnectionReset},
		"chunks beside a length":  {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.ConnectionReset},
		"broken chunk":            {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\nzz\r\n", want: policy.ConnectionReset},
		"no length, and closed":   {text: "HTTP/1.1 200 OK\r\n\r\nhoney", end: true, want: policy.Served}, // more in unsized_test.go
		"two lengths":             {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhoney", want: policy.ConnectionReset},
		"negative length":         {text: "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhoney", want: policy.ConnectionReset},
		"status that is none":     {text: "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhoney", want: policy.ConnectionReset},
		"another protocol":        {text: "ICY 200 OK\r\nContent-Length: 5\r\n\r\nhoney", want: policy.ConnectionReset},
		"line without a colon":    {text: "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nhoney", want: policy.ConnectionReset},
		"said to have 3 GB":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhoney", want: policy.ConnectionReset},
		"after an interim answer": {text: "HTTP/1.1 100 Continue\r\n\r\n" + peertest.Answer200("honey"), want: policy.Served},
		"error":                   {text: "HTTP/1.1 500 x\r\n" + none, want: policy.ServerError},
		"turned away 503":         {text: "HTTP/1.1 503 x\r\nNot-Started: 1\r\n" + none, want: policy.Rejected},
		"turned away 504":         {text: "HTTP/1.1 504 x\r\nNot-Started: 1\r\n" + none, want: policy.Rejected},
		"503 may have run":        {text: "HTTP/1.1 503 x\r\n" + none, want: policy.ServerError},
		"504 not said":            {text: "HTTP/1.1 504 x\r\nNot-Started: 0\r\n" + none, want: policy.ServerError},
		"500 with the mark":       {text: "HTTP/1.1 500 x\r\nNot-Started: 1\r\n" + none, want: policy.ServerError},
		"429 may have run":        {text: "HTTP/1.1 429 x\r\n" + none, want: policy.ServerError},
		"no answer at all":        {end: true, want: policy.ConnectionReset},
		"cut body":                {text: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhoney", end: true, want: policy.ConnectionReset},
		"cut chunk":               {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n", end: true, want: policy.ConnectionReset},
		"no HTTP":                 {text: "hello\r\n\r\n", end: true, want: policy.ConnectionReset},
		"too large":               {text: peertest.Answer200(strings.Repeat("x", maxAnswerBody+1)), want: policy.ConnectionReset},
		"endless header":          {text: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxAnswerHead), want: policy.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			u := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { return c.text, c.end })
			got, a := tryOnce(context.Background(), testPool(2), &peer{addr: u.Addr})
			if got != c.want {
				t.Errorf("ending %v, want %v", got, c.want)
			}
			if (a != nil) != (c.want == policy.Served) || (a != nil && string(a.Body) != "honey") {
				t.Errorf("answer %+v", a)
			}
			if r := peertest.Await(t, "the request", u.Requests); r.Text != "{}" || r.Header.Get("Request-Id") != "x" {
				t.Errorf("the upstream read %v %q", r.Header, r.Text)
			}
		})
	}
}

func TestSilenceTimesOutAndClosesTheConnection(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(""))
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if got, _ := tryOnce(ctx, testPool(2), &peer{addr: u.Addr}); got != policy.TimedOut {
		t.Errorf("ending %v, want timed out", got)
	}
	peertest.Await(t, "the connection's end", u.Closed)
}

func TestCancelClosesTheConnection(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(""))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-u.Requests
		cancel()
	}()
	if got, _ := tryOnce(ctx, testPool(2), &peer{addr: u.Addr}); got != policy.Cancelled {
		t.Errorf("ending %v, want cancelled", got)
	}
	peertest.Await(t, "the connection's end", u.Closed)
}

// An answer that is too large ends its attempt when that is seen, not when the rest has come.
func TestTooLargeAnswerIsNotWaitedFor(t *testing.T) {
	text := peertest.Answer200(strings.Repeat("x", maxAnswerBody+2))
	u := peertest.NewUpstream(t, peertest.Always(text[:len(text)-1])) // the last byte never comes
	if got, _ := tryOnce(t.Context(), testPool(2), &peer{addr: u.Addr}); got != policy.ConnectionReset {
		t.Errorf("ending %v, want broken", got)
	}
	peertest.Await(t, "the connection's end", u.Closed)
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln := peertest.Listen(t)
	ln.Close()
	if got, _ := tryOnce(context.Background(), testPool(2), &peer{addr: ln.Addr().String()}); got != policy.ConnectionFailed {
		t.Errorf("ending %v, want no connection", got)
	}
}

// An attempt that is given up while it waits for a connection writes nothing.
func TestEndedWhileQueuedWritesNothing(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	p, to := testPool(1), &peer{addr: u.Addr}
	held, err := p.get(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if got, _ := tryOnce(ctx, p, to); got != policy.NotSent {
		t.Errorf("cancelled: ending %v, want not sent", got)
	}
	late, done := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer done()
	if got, _ := tryOnce(late, p, to); got != policy.NotSent { // it is this process that has no room
		t.Errorf("timed out: ending %v, want not sent", got)
	}
	p.drop(held)
	if len(u.Requests) > 0 {
		t.Error("a request was written")
	}
}

// A request whose last byte could not be written never ran, however much of it went out.
func TestUnfinishedWriteNeverRan(t *testing.T) {
	ln := peertest.Listen(t)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetReadBuffer(4 << 10) // and nobody reads
			t.Cleanup(func() { c.Close() })
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	u := &Transport{pool: testPool(1)}
	c, err := u.pool.get(ctx, &peer{addr: ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	c.Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	req := &core.Message{Method: "GET", Target: "/", Host: "x", Fields: http.Header{"X": {strings.Repeat("x", 16<<20)}}}
	if _, wrote, err := u.exchange(ctx, c, req); err == nil || wrote {
		t.Errorf("wrote %v, error %v; want an unfinished write", wrote, err)
	}
}

func TestProbeReadsTheReport(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		ok   bool
		load float64
	}{
		"body":          {peertest.Answer200("TEXT failed_ps=0.5, busy_reqs=7"), true, 7},
		"header":        {"HTTP/1.1 200 OK\r\nServer-Load: TEXT busy_reqs=3\r\nContent-Length: 0\r\n\r\n", true, 3},
		"without field": {peertest.Answer200("TEXT failed_ps=0.5"), true, -1},
		"no number":     {peertest.Answer200("TEXT busy_reqs=many"), true, -1},
		"negative":      {peertest.Answer200("TEXT busy_reqs=-2"), true, -1},
		"infinite":      {peertest.Answer200("TEXT busy_reqs=+Inf"), true, -1},
		"garbage":       {peertest.Answer200("\x00=,,=busy_reqs"), true, -1},
		"unwell":        {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false, -1},
	} {
		t.Run(name, func(t *testing.T) {
			u := peertest.NewUpstream(t, peertest.Always(c.text))
			ups := &Transport{pool: testPool(1), loadField: "busy_reqs", statsPath: "/stats"}
			load, err := ups.probe(context.Background(), &peer{addr: u.Addr})
			if (err == nil) != c.ok || load.InFlight != c.load {
				t.Errorf("probe: %v, %v; want %v, %v", err, load.InFlight, c.ok, c.load)
			}
			if r := peertest.Await(t, "the probe", u.Requests); r.URL.Path != "/stats" || r.Header.Get("Request-Id") != "" {
				t.Errorf("asked for %s with %v", r.URL, r.Header)
			}
		})
	}
}

func TestSilentProbeEnds(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(""))
	ups := &Transport{pool: newPool(500*time.Millisecond, time.Second, 1)}
	if load, err := ups.probe(context.Background(), &peer{addr: u.Addr}); err == nil || load.InFlight >= 0 {
		t.Errorf("probe of a silent upstream: %v, %v", err, load)
	}
	peertest.Await(t, "the connection's end", u.Closed)
}

// Of those that have rested the most recently used goes first, and the others age.
func TestPoolReusesTheMostRecentRestedConnection(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	p, to := testPool(4), &peer{addr: u.Addr}
	var all []*conn
	for range 3 {
		c, err := p.get(context.Background(), to)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
	}
	now := time.Now()
	for i, rested := range []time.Duration{5 * restFor, 3 * restFor, restFor / 2} {
		p.put(all[i])
		all[i].idle = now.Add(-rested)
	}
	for _, want := range []*conn{all[1], all[0]} {
		if got := p.takeIdle(to, now); got != want {
			t.Errorf("got %p, want %p", got, want)
		}
	}
	// None has rested: a slow upstream's is waited for, a quick one gets another.
	to.pace = quick
	if got := p.takeIdle(to, now); got != all[2] {
		t.Errorf("of a slow upstream got %p, want the one that rests, %p", got, all[2])
	}
	p.put(all[2])
	to.pace = quick - 1
	if got := p.takeIdle(to, all[2].idle); got != nil {
		t.Errorf("of a quick upstream got %p, want another connection", got)
	}
	if n := len(p.slots); n != 3 {
		t.Errorf("%d connections, want 3", n)
	}
}

// What is opened because others rest is bounded, by upstream and by the sockets.
func TestPoolOpensFewForRest(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	for _, most := range []int{restMost + 10, 8} {
		p, to := testPool(most), &peer{addr: u.Addr}
		now := time.Now()
		for range restMost + 5 { // as if each were put back at once
			c := p.takeIdle(to, now)
			if c == nil {
				c = &conn{Conn: &net.TCPConn{}, peer: to, taken: now}
				p.slots <- struct{}{}
			}
			p.put(c)
			c.idle, to.pace = now, 1
		}
		if want := min(most, restMost); len(to.idle) != want {
			t.Errorf("%d connections rest at a bound of %d, want %d", len(to.idle), most, want)
		}
	}
}

func TestPoolDropsWhatThePeerClosed(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	p, to := testPool(4), &peer{addr: u.Addr}
	c, err := p.get(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	peer := peertest.Await(t, "the connection", u.Accepted)
	if !sockets.IsIdle(c.Conn) {
		t.Error("a live idle connection is taken for a closed one")
	}
	p.put(c)
	peer.Close()
	if _, err := c.r.Peek(1); err == nil { // returns once the close has arrived
		t.Fatal("the peer did not close")
	}
	c.idle = time.Now().Add(-restFor)
	if got, _ := p.get(context.Background(), to); got == c {
		t.Error("a closed connection was given out")
	}
	if n := len(p.slots); n != 1 {
		t.Errorf("%d slots taken, want 1", n)
	}
}

func TestPoolClosesBeforeTheUpstreamDoes(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	p, to := newPool(time.Second, 10*time.Second, 4), &peer{addr: u.Addr}
	c, err := p.get(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	p.put(c)
	p.sweep(c.idle.Add(p.idleFor - time.Millisecond))
	if len(p.slots) != 1 {
		t.Error("closed too early")
	}
	if p.idleFor >= 10*time.Second {
		t.Errorf("idle connections are kept for %v", p.idleFor)
	}
	p.sweep(c.idle.Add(p.idleFor))
	peertest.Await(t, "the connection's end", u.Closed)
	if len(p.slots) != 0 {
		t.Error("the slot was not given back")
	}
}

// At the bound an idle connection makes way, to whatever upstream it goes.
func TestPoolKeepsToItsBound(t *testing.T) {
	a, b := peertest.NewUpstream(t, peertest.Always(peertest.Answer200(""))), peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	p, toA, toB := testPool(2), &peer{addr: a.Addr}, &peer{addr: b.Addr}
	first, err := p.get(context.Background(), toA)
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.get(context.Background(), toA)
	if err != nil {
		t.Fatal(err)
	}
	p.put(first)
	if _, err := p.get(context.Background(), toB); err != nil {
		t.Fatalf("no room was made: %v", err)
	}
	peertest.Await(t, "the idle connection's end", a.Closed)
	waits := make(chan error, 1)
	go func() {
		_, err := p.get(context.Background(), toB)
		waits <- err
	}()
	peertest.Await(t, "the second connection", a.Accepted) // both were accepted by now
	p.put(second)                                          // or drop, if the other waits already: either way there is room
	if err := peertest.Await(t, "a connection", waits); err != nil {
		t.Errorf("a waiting caller got %v", err)
	}
	if n := len(p.slots); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Another host may come to the address of one that has gone, and an attempt at
// the old one may still be out by then: its connection is not the new one's.
func TestConnectionsBelongToTheirHost(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	p, old := testPool(4), &peer{addr: u.Addr}
	idle, err := p.get(t.Context(), old)
	if err != nil {
		t.Fatal(err)
	}
	out, err := p.get(t.Context(), old)
	if err != nil {
		t.Fatal(err)
	}
	p.put(idle)
	p.retire(old)
	peertest.Await(t, "the idle connection's end", u.Closed)
	fresh, err := p.get(t.Context(), &peer{addr: u.Addr})
	if err != nil {
		t.Fatal(err)
	}
	if fresh == idle || fresh == out {
		t.Error("the new host got the old one's connection")
	}
	p.put(out)
	peertest.Await(t, "the end of the one that was out", u.Closed)
	if len(p.slots) != 1 || len(p.kept) != 0 {
		t.Errorf("%d slots are taken and %d hosts kept, want 1 and none", len(p.slots), len(p.kept))
	}
}

// What comes behind a good answer and belongs to no request, even a little
// later, must not be taken for the next one's answer.
func TestExcessIsNoAnswer(t *testing.T) {
	for name, behind := range map[string]string{"in the same write": peertest.Answer200("stale"), "later": "", "half a line": "", "some milliseconds later": ""} {
		t.Run(name, func(t *testing.T) {
			u := peertest.NewUpstream(t, func(r peertest.Received) (string, bool) { return peertest.Answer200("good") + behind, false })
			p, to := testPool(4), &peer{addr: u.Addr}
			for i := range 20 {
				ending, a := tryOnce(t.Context(), p, to)
				if ending != policy.Served || string(a.Body) != "good" {
					t.Fatalf("attempt %d: ending %v, answer %+v", i, ending, a)
				}
				r := peertest.Await(t, "the request", u.Requests)
				switch name {
				case "later":
					io.WriteString(r.Conn, peertest.Answer200("stale"))
				case "half a line":
					io.WriteString(r.Conn, "HTTP/1.1 2")
				case "some milliseconds later":
					to.pace = quick // the next one waits until this connection has rested
					time.AfterFunc(5*time.Millisecond, func() { io.WriteString(r.Conn, peertest.Answer200("stale")) })
				}
			}
			if len(u.Accepted) != 20 {
				t.Errorf("%d connections for 20 answers with an excess, want one each", len(u.Accepted))
			}
		})
	}
}

// Nothing is sent again behind the module's back, not even a request that may be
// repeated, when a kept connection breaks under it.
func TestNoHiddenAttempts(t *testing.T) {
	u := peertest.NewUpstream(t, func(r peertest.Received) (string, bool) {
		if r.Header.Get("Request-Id") == "breaks" {
			return "", true
		}
		return peertest.Answer200("ok"), false
	})
	nodes, to := &Transport{pool: testPool(2)}, &peer{addr: u.Addr}
	try := func(id string) policy.AttemptResult {
		ending, _ := nodes.try(t.Context(), to, &core.Message{
			Method: "GET", Target: "/", Host: "x", Fields: http.Header{"Request-Id": {id}, "Idempotency-Key": {"k"}},
		})
		return ending
	}
	if got := try("first"); got != policy.Served {
		t.Fatalf("first: ending %v", got)
	}
	to.idle[0].idle = time.Now().Add(-restFor) // it has rested, and so is used again
	if got := try("breaks"); got != policy.ConnectionReset {
		t.Errorf("on a breaking connection: ending %v, want broken", got)
	}
	if len(u.Requests) != 2 || len(u.Accepted) != 1 {
		t.Errorf("%d requests on %d connections, want 2 on 1", len(u.Requests), len(u.Accepted))
	}
}

// tryOnce carries one attempt out over a pool of its own.
func tryOnce(ctx context.Context, p *pool, to *peer) (policy.AttemptResult, *core.Response) {
	m := &core.Message{Method: "POST", Target: "/api", Host: "service.internal", Fields: http.Header{"Request-Id": {"x"}}, Body: []byte("{}")}
	return (&Transport{pool: p}).try(ctx, to, m)
}

// What the module decided may be out of date once there is a connection: its client
// has left, or the time is over in which it may be written. Nothing is, and that is
// no word against the upstream.
func TestWhatMayNotBeginWritesNothing(t *testing.T) {
	gone := func() bool { return true }
	for name, c := range map[string]struct {
		m    core.Message
		wait time.Duration // for a place among the connections
	}{
		"the client has gone":         {m: core.Message{ClientGone: gone}},
		"gone while it waited":        {m: core.Message{ClientGone: gone}, wait: 20 * time.Millisecond},
		"its time is over":            {m: core.Message{WriteDeadline: time.Now().Add(-time.Millisecond)}},
		"its time ends as it waits":   {m: core.Message{WriteDeadline: time.Now().Add(10 * time.Millisecond)}, wait: 50 * time.Millisecond},
		"both, and the client waited": {m: core.Message{WriteDeadline: time.Now().Add(10 * time.Millisecond), ClientGone: gone}, wait: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
			p, to := testPool(1), &peer{addr: u.Addr}
			c.m.Method, c.m.Target, c.m.Host = "POST", "/", "x"
			if c.wait > 0 {
				held, err := p.get(t.Context(), &peer{addr: u.Addr})
				if err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(c.wait, func() { p.drop(held) })
			}
			if got, a := (&Transport{pool: p}).try(t.Context(), to, &c.m); got != policy.NotSent || a != nil {
				t.Errorf("ending %v, answer %+v; want not sent", got, a)
			}
			if ending, _ := tryOnce(t.Context(), p, &peer{addr: u.Addr}); ending != policy.Served { // the place is free again
				t.Errorf("another one: ending %v", ending)
			}
			if r := peertest.Await(t, "the other request", u.Requests); r.Header.Get("Request-Id") != "x" || len(u.Requests) > 0 {
				t.Errorf("the upstream read %v and %d more", r.Header, len(u.Requests))
			}
		})
	}
}

// Once a connection is up, an upstream that reads slowly gets the last byte in time or never.
func TestLastByteIsWrittenInTimeOrNever(t *testing.T) {
	ln := peertest.Listen(t)
	go func() {
		if c, err := ln.Accept(); err == nil {
			c.(*net.TCPConn).SetReadBuffer(4 << 10) // and nobody reads
			t.Cleanup(func() { c.Close() })
		}
	}()
	m := &core.Message{Method: "POST", Target: "/", Host: "x", Body: make([]byte, 16<<20), WriteDeadline: time.Now().Add(200 * time.Millisecond)}
	begun := time.Now()
	got, _ := (&Transport{pool: testPool(1)}).try(t.Context(), &peer{addr: ln.Addr().String()}, m)
	if took := time.Since(begun); got != policy.NotSent || took > time.Second {
		t.Errorf("ending %v after %v, want not sent after 0.2 s", got, took)
	}
}

// Answers in chunks leave their connection to the next request, and each head is
// judged by itself.
func TestChunksOnAKeptConnection(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nho\r\n3\r\nney\r\n0\r\n\r\n"
	answers := []string{chunked, peertest.Answer200("honey"), chunked, "HTTP/1.1 103 Early Hints\r\n\r\n" + chunked, strings.Replace(chunked, "Tra", "Content-Length: 5\r\nTra", 1)}
	sent := 0
	u := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { sent++; return answers[sent-1], false })
	p, to := testPool(2), &peer{addr: u.Addr}
	for i := range answers {
		to.pace = quick // the one connection is waited for
		want := policy.Served
		if i == len(answers)-1 {
			want = policy.ConnectionReset
		}
		if ending, a := tryOnce(t.Context(), p, to); ending != want || (a != nil && string(a.Body) != "honey") {
			t.Errorf("answer %d: ending %v, %+v", i, ending, a)
		}
	}
	if len(u.Accepted) != 1 {
		t.Errorf("%d connections, want 1", len(u.Accepted))
	}
}
