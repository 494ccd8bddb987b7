package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"mothridge/policy"
)

func mustURL(s string) *url.URL {
	u, err := url.Parse(s)
	if err != nil {
		panic(err)
	}
	return u
}

func testPool(most int) *pool { return newPool(time.Second, 30*time.Second, most) }

// The protocol's table: what comes back, and whether it may have run.
func TestOutcomes(t *testing.T) {
	const none = "Content-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		text string
		end  bool
		want policy.Ending
	}{
		"served":                  {text: answer200("honey"), want: policy.Served},
		"twice the same length":   {text: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Served},
		"more than belongs to it": {text: answer200("honey") + answer200("again"), want: policy.Served},
		"two interim answers":     {text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + answer200("honey"), want: policy.Served},
		"chunked":                 {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Broken},
		"chunks beside a length":  {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.Broken},
		"broken chunk":            {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\nzz\r\n", want: policy.Broken},
		"no length":               {text: "HTTP/1.1 200 OK\r\n\r\nhoney", want: policy.Broken},
		"no length, and closed":   {text: "HTTP/1.1 200 OK\r\n\r\nhoney", end: true, want: policy.Broken},
		"two lengths":             {text: "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"negative length":         {text: "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nhoney", want: policy.Broken},
		"status that is none":     {text: "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"another protocol":        {text: "ICY 200 OK\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"line without a colon":    {text: "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 5\r\n\r\nhoney", want: policy.Broken},
		"said to have 3 GB":       {text: "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhoney", want: policy.Broken},
		"after an interim answer": {text: "HTTP/1.1 100 Continue\r\n\r\n" + answer200("honey"), want: policy.Served},
		"error":                   {text: "HTTP/1.1 500 x\r\n" + none, want: policy.Errored},
		"turned away 503":         {text: "HTTP/1.1 503 x\r\nNot-Started: 1\r\n" + none, want: policy.TurnedAway},
		"turned away 504":         {text: "HTTP/1.1 504 x\r\nNot-Started: 1\r\n" + none, want: policy.TurnedAway},
		"503 may have run":        {text: "HTTP/1.1 503 x\r\n" + none, want: policy.Errored},
		"504 not said":            {text: "HTTP/1.1 504 x\r\nNot-Started: 0\r\n" + none, want: policy.Errored},
		"500 with the mark":       {text: "HTTP/1.1 500 x\r\nNot-Started: 1\r\n" + none, want: policy.Errored},
		"429 may have run":        {text: "HTTP/1.1 429 x\r\n" + none, want: policy.Errored},
		"no answer at all":        {end: true, want: policy.Broken},
		"cut body":                {text: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhoney", end: true, want: policy.Broken},
		"cut chunk":               {text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n", end: true, want: policy.Broken},
		"no HTTP":                 {text: "hello\r\n\r\n", end: true, want: policy.Broken},
		"too large":               {text: answer200(strings.Repeat("x", maxAnswerBody+1)), want: policy.Broken},
		"endless header":          {text: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2*maxAnswerHead), want: policy.Broken},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(received) (string, bool) { return c.text, c.end })
			got, a := tryOnce(context.Background(), testPool(2), &peer{addr: u.addr})
			if got != c.want {
				t.Errorf("ending %v, want %v", got, c.want)
			}
			if (a != nil) != (c.want == policy.Served) || (a != nil && string(a.body) != "honey") {
				t.Errorf("answer %+v", a)
			}
			if r := await(t, "the request", u.requests); r.body != "{}" || r.Header.Get("Request-Id") != "x" {
				t.Errorf("the upstream read %v %q", r.Header, r.body)
			}
		})
	}
}

func TestSilenceTimesOutAndClosesTheConnection(t *testing.T) {
	u := newUpstream(t, always(""))
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if got, _ := tryOnce(ctx, testPool(2), &peer{addr: u.addr}); got != policy.TimedOut {
		t.Errorf("ending %v, want timed out", got)
	}
	await(t, "the connection's end", u.closed)
}

func TestCancelClosesTheConnection(t *testing.T) {
	u := newUpstream(t, always(""))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-u.requests
		cancel()
	}()
	if got, _ := tryOnce(ctx, testPool(2), &peer{addr: u.addr}); got != policy.Cancelled {
		t.Errorf("ending %v, want cancelled", got)
	}
	await(t, "the connection's end", u.closed)
}

// An answer that is too large ends its attempt when that is seen, not when the rest has come.
func TestTooLargeAnswerIsNotWaitedFor(t *testing.T) {
	text := answer200(strings.Repeat("x", maxAnswerBody+2))
	u := newUpstream(t, always(text[:len(text)-1])) // the last byte never comes
	if got, _ := tryOnce(t.Context(), testPool(2), &peer{addr: u.addr}); got != policy.Broken {
		t.Errorf("ending %v, want broken", got)
	}
	await(t, "the connection's end", u.closed)
}

func TestRefusedConnectionNeverRan(t *testing.T) {
	ln := listenLoopback(t)
	ln.Close()
	if got, _ := tryOnce(context.Background(), testPool(2), &peer{addr: ln.Addr().String()}); got != policy.NoConnection {
		t.Errorf("ending %v, want no connection", got)
	}
}

// An attempt that is given up while it waits for a connection writes nothing.
func TestEndedWhileQueuedWritesNothing(t *testing.T) {
	u := newUpstream(t, always(answer200("")))
	p, to := testPool(1), &peer{addr: u.addr}
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
	if got, _ := tryOnce(late, p, to); got != policy.NoConnection {
		t.Errorf("timed out: ending %v, want no connection", got)
	}
	p.drop(held)
	if len(u.requests) > 0 {
		t.Error("a request was written")
	}
}

// A request whose last byte could not be written never ran, however much of it went out.
func TestUnfinishedWriteNeverRan(t *testing.T) {
	ln := listenLoopback(t)
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
	u := &upstreams{pool: testPool(1)}
	c, err := u.pool.get(ctx, &peer{addr: ln.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	c.Conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
	req := &http.Request{Method: "GET", URL: mustURL("/"), Host: "x", Header: http.Header{"X": {strings.Repeat("x", 16<<20)}}}
	if _, _, wrote, err := u.exchange(ctx, c, req); err == nil || wrote {
		t.Errorf("wrote %v, error %v; want an unfinished write", wrote, err)
	}
}

func TestRequestGoesOnUnchanged(t *testing.T) {
	u := newUpstream(t, always(answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", hostText("s-1", u.addr, "up", 0)))
	body := strings.Repeat("h", maxBody)
	got := call{class: "keyed", body: body, timeout: "3.25", header: http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "X-Trace": {"a", "b"},
	}}.do(t, addr)
	if got.status != 200 || got.body != "ok" {
		t.Fatalf("got %+v", got)
	}
	r := await(t, "the request", u.requests)
	if r.Method != "POST" || r.RequestURI != "/api/a%2Fb?q=1&r=%20" || r.body != body ||
		r.Header.Get("Request-Id") != t.Name() || r.Header.Get("Idempotency-Key") != "5c0f6e1a" {
		t.Errorf("the upstream read %s %s %v, %d bytes", r.Method, r.RequestURI, r.Header, len(r.body))
	}
	if r.Header.Get("X-Hop") != "" || len(r.Header["X-Trace"]) != 2 {
		t.Errorf("header %v: a hop's own field went on, or another did not", r.Header)
	}
	if wait, ok := parseTimeout(r.Header.Get("Request-Timeout")); !ok || wait > 3250*time.Millisecond || wait < 2*time.Second {
		t.Errorf("Request-Timeout %q, want what is left of 3.25", r.Header.Get("Request-Timeout"))
	}
}

func TestProbeReadsTheReport(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		ok   bool
		load float64
	}{
		"body":          {answer200("TEXT failed_ps=0.5, busy_reqs=7"), true, 7},
		"header":        {"HTTP/1.1 200 OK\r\nServer-Load: TEXT busy_reqs=3\r\nContent-Length: 0\r\n\r\n", true, 3},
		"without field": {answer200("TEXT failed_ps=0.5"), true, -1},
		"no number":     {answer200("TEXT busy_reqs=many"), true, -1},
		"negative":      {answer200("TEXT busy_reqs=-2"), true, -1},
		"infinite":      {answer200("TEXT busy_reqs=+Inf"), true, -1},
		"garbage":       {answer200("\x00=,,=busy_reqs"), true, -1},
		"unwell":        {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false, -1},
	} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, always(c.text))
			ups := &upstreams{pool: testPool(1), loadField: "busy_reqs", statsPath: "/stats"}
			ok, load := ups.probe(context.Background(), &peer{addr: u.addr})
			if ok != c.ok || load.InFlight != c.load {
				t.Errorf("probe: %v, %v; want %v, %v", ok, load.InFlight, c.ok, c.load)
			}
			if r := await(t, "the probe", u.requests); r.URL.Path != "/stats" || r.Header.Get("Request-Id") != "" {
				t.Errorf("asked for %s with %v", r.URL, r.Header)
			}
		})
	}
}

func TestSilentProbeEnds(t *testing.T) {
	u := newUpstream(t, always(""))
	ups := &upstreams{pool: newPool(500*time.Millisecond, time.Second, 1)}
	if ok, load := ups.probe(context.Background(), &peer{addr: u.addr}); ok || load.InFlight >= 0 {
		t.Errorf("probe of a silent upstream: %v, %v", ok, load)
	}
	await(t, "the connection's end", u.closed)
}

func TestPoolReusesTheMostRecentConnection(t *testing.T) {
	u := newUpstream(t, always(answer200("")))
	p, to := testPool(4), &peer{addr: u.addr}
	a, err := p.get(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	b, err := p.get(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	p.put(a)
	p.put(b)
	for _, want := range []*conn{b, a} {
		if got, _ := p.get(context.Background(), to); got != want {
			t.Errorf("got %p, want %p", got, want)
		}
	}
	if n := len(p.slots); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestPoolDropsWhatThePeerClosed(t *testing.T) {
	u := newUpstream(t, always(answer200("")))
	p, to := testPool(4), &peer{addr: u.addr}
	c, err := p.get(context.Background(), to)
	if err != nil {
		t.Fatal(err)
	}
	peer := await(t, "the connection", u.accepted)
	if !quiet(c.Conn) {
		t.Error("a live idle connection is taken for a closed one")
	}
	p.put(c)
	peer.Close()
	if _, err := c.r.Peek(1); err == nil { // returns once the close has arrived
		t.Fatal("the peer did not close")
	}
	if got, _ := p.get(context.Background(), to); got == c {
		t.Error("a closed connection was given out")
	}
	if n := len(p.slots); n != 1 {
		t.Errorf("%d slots taken, want 1", n)
	}
}

func TestPoolClosesBeforeTheUpstreamDoes(t *testing.T) {
	u := newUpstream(t, always(answer200("")))
	p, to := newPool(time.Second, 10*time.Second, 4), &peer{addr: u.addr}
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
	await(t, "the connection's end", u.closed)
	if len(p.slots) != 0 {
		t.Error("the slot was not given back")
	}
}

// At the bound an idle connection makes way, to whatever upstream it goes.
func TestPoolKeepsToItsBound(t *testing.T) {
	a, b := newUpstream(t, always(answer200(""))), newUpstream(t, always(answer200("")))
	p, toA, toB := testPool(2), &peer{addr: a.addr}, &peer{addr: b.addr}
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
	await(t, "the idle connection's end", a.closed)
	waits := make(chan error, 1)
	go func() {
		_, err := p.get(context.Background(), toB)
		waits <- err
	}()
	await(t, "the second connection", a.accepted) // both were accepted by now
	p.put(second)                                 // or drop, if the other waits already: either way there is room
	if err := await(t, "a connection", waits); err != nil {
		t.Errorf("a waiting caller got %v", err)
	}
	if n := len(p.slots); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

// Another host may come to the address of one that has gone, and an attempt at
// the old one may still be out by then: its connection is not the new one's.
func TestConnectionsBelongToTheirHost(t *testing.T) {
	u := newUpstream(t, always(answer200("")))
	p, old := testPool(4), &peer{addr: u.addr}
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
	await(t, "the idle connection's end", u.closed)
	fresh, err := p.get(t.Context(), &peer{addr: u.addr})
	if err != nil {
		t.Fatal(err)
	}
	if fresh == idle || fresh == out {
		t.Error("the new host got the old one's connection")
	}
	p.put(out)
	await(t, "the end of the one that was out", u.closed)
	if len(p.slots) != 1 || len(p.kept) != 0 {
		t.Errorf("%d slots are taken and %d hosts kept, want 1 and none", len(p.slots), len(p.kept))
	}
}

// What comes behind a good answer and belongs to no request, even a little
// later, must not be taken for the next one's answer.
func TestExcessIsNoAnswer(t *testing.T) {
	for name, behind := range map[string]string{"in the same write": answer200("stale"), "later": ""} {
		t.Run(name, func(t *testing.T) {
			u := newUpstream(t, func(r received) (string, bool) { return answer200("good") + behind, false })
			p, to := testPool(4), &peer{addr: u.addr}
			for i := range 20 {
				ending, a := tryOnce(t.Context(), p, to)
				if ending != policy.Served || string(a.body) != "good" {
					t.Fatalf("attempt %d: ending %v, answer %+v", i, ending, a)
				}
				if r := await(t, "the request", u.requests); behind == "" {
					io.WriteString(r.conn, answer200("stale"))
				}
			}
			if len(u.accepted) != 20 {
				t.Errorf("%d connections for 20 answers with an excess, want one each", len(u.accepted))
			}
		})
	}
}
