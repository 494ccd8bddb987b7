package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/http1"
	"mothridge/internal/peers/peertest"
	"mothridge/internal/sockets"
)

func TestServesTheWholeBodyUnchanged(t *testing.T) {
	body := strings.Repeat("\x00honey\r\n", 60000) // upstreams do send that much
	u := peertest.NewUpstream(t, peertest.Always(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nServer-Load: TEXT busy_reqs=1\r\nX-Ledger: 4\r\n\r\n%s", len(body), body)))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	got := peertest.Call{Class: "once", Body: "{}"}.Do(t, addr)
	if got.Status != 200 || got.Body != body || got.Header.Get("X-Ledger") != "4" || got.Header.Get("Server-Load") != "" {
		t.Errorf("status %d, %d bytes, header %v, error %v", got.Status, len(got.Body), got.Header, got.Err)
	}
}

// A failure is never worded 429 or 503: these promise that a retry is harmless.
func TestFailureIsNoRefusal(t *testing.T) {
	for _, status := range []int{500, 503, 504, 429, 400, 302} {
		u := peertest.NewUpstream(t, peertest.Always(fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: 4\r\n\r\nlate", status)))
		addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
		if got := (peertest.Call{Class: "once"}).Do(t, addr); got.Status != http.StatusBadGateway || got.Body != "" || got.Header.Get("Retry-After") != "" {
			t.Errorf("upstream's %d: got %+v, want a plain 502", status, got)
		}
		if len(u.Requests) != 1 {
			t.Errorf("upstream's %d: %d attempts of a request that may have run", status, len(u.Requests))
		}
	}
}

func TestRefusalSaysWhenToComeBack(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always("HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"))
	// The module refuses once an answer would be late for the aim of 0.2 s.
	c := testConfig(t, options{aim: 200 * time.Millisecond}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0))
	addr, _, _ := startSidecar(t, c)
	start := time.Now()
	got := peertest.Call{Class: "once"}.Do(t, addr)
	pause, ok := parseSeconds(got.Header.Get("Retry-After"))
	if got.Status != http.StatusServiceUnavailable || !ok || pause > 1200*time.Millisecond {
		t.Errorf("got %+v, want 503 with a pause in decimals", got)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("refused after %v of the 4.5 s that the client waits, not at once", took)
	}
}

func TestSilenceIsAnsweredBeforeTheDeadline(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(""))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	start := time.Now()
	got := peertest.Call{Class: "once", Timeout: "0.4"}.Do(t, addr)
	if took := time.Since(start); got.Status != http.StatusGatewayTimeout || took > 450*time.Millisecond {
		t.Errorf("got %+v after %v, want 504 within 0.45 s", got, took)
	}
	peertest.Await(t, "the end of the attempt's connection", u.Closed)
}

func TestClientThatLeavesEndsItsAttempt(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(""))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	peertest.Call{Class: "once", Body: "{}"}.Request(t, addr).Write(c)
	peertest.Await(t, "the attempt", u.Requests)
	c.Close()
	peertest.Await(t, "the end of the attempt's connection", u.Closed)
	// Its id is free again, and nothing more of it goes out.
	again := peertest.Call{Class: "once", Timeout: "0.6"}.Do(t, addr)
	if again.Status != http.StatusGatewayTimeout || len(u.Requests) != 1 {
		t.Errorf("got %+v and %d more attempts, want 504 and one", again, len(u.Requests))
	}
}

func TestBadInput(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	bad := map[string]peertest.Call{
		"no id":           {Class: "once", Header: http.Header{"Request-Id": nil}},
		"two ids":         {Class: "once", Header: http.Header{"Request-Id": {"a", "b"}}},
		"empty id":        {Class: "once", Header: http.Header{"Request-Id": {""}}},
		"id for one hop":  {Class: "once", Header: http.Header{"Connection": {"Request-Id"}}},
		"key for one hop": {Class: "keyed", Header: http.Header{"Connection": {"idempotency-key"}}},
		"long id":         {Class: "once", ID: strings.Repeat("x", 257)},
		"id with a space": {Class: "once", ID: "a b"},
		"no class":        {Class: "once", Header: http.Header{"Request-Class": nil}},
		"unknown class":   {Class: "once", Header: http.Header{"Request-Class": {"checkout"}}},
		"two classes":     {Class: "once", Header: http.Header{"Request-Class": {"once", "keyed"}}},
		"no tenant":       {Class: "once", Header: http.Header{"Tenant": nil}},
		"unknown tenant":  {Class: "once", Header: http.Header{"Tenant": {"nobody"}}},
		"no timeout":      {Class: "once", Header: http.Header{"Request-Timeout": nil}},
		"timeout 0":       {Class: "once", Timeout: "0"},
		"negative":        {Class: "once", Timeout: "-1"},
		"no number":       {Class: "once", Timeout: "soon"},
		"infinite":        {Class: "once", Timeout: "Inf"},
		"hexadecimal":     {Class: "once", Timeout: "0x1p3"},
		"two timeouts":    {Class: "once", Header: http.Header{"Request-Timeout": {"1", "2"}}},
		"no key":          {Class: "keyed", Header: http.Header{"Idempotency-Key": nil}},
		"two keys":        {Class: "keyed", Header: http.Header{"Idempotency-Key": {"a", "b"}}},
		"key on unsafe":   {Class: "once", Header: http.Header{"Idempotency-Key": {"a"}}},
		"keys on unsafe":  {Class: "once", Header: http.Header{"Idempotency-Key": {"a", "b"}}},
		"get for unsafe":  {Class: "read", Header: http.Header{"Request-Class": {"once"}}},
		"get with a body": {Class: "read", Body: "x"},
		"body unread":     {Class: "once", Body: strings.Repeat("x", http1.MaxRequestBodyBytes), Header: http.Header{"Request-Class": nil}},
		"large body":      {Class: "once", Body: strings.Repeat("x", http1.MaxRequestBodyBytes+1)},
	}
	for name, c := range bad {
		got := c.Do(t, addr)
		if got.Err != nil || got.Status < 400 || got.Status > 499 || got.Status == http.StatusTooManyRequests {
			t.Errorf("%s: got %+v, want a plain 4xx", name, got)
		}
	}
	for name, text := range map[string]string{
		"no HTTP":            "hello\r\n\r\n",
		"no host":            "GET /api HTTP/1.0\r\nRequest-Id: q\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout: 1\r\n\r\n",
		"no path":            "GET x:y HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout: 1\r\n\r\n",
		"bad length":         "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
		"large chunked body": "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + strings.Repeat("x", 0x10001) + "\r\n0\r\n\r\n",
		"broken chunk":       "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(peertest.WaitTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode < 400 || resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: got %v, error %v, want a plain 4xx or 5xx, no refusal", name, resp, err)
		}
		c.Close()
	}
	if len(u.Requests) > 0 {
		t.Errorf("%d requests went upstream", len(u.Requests))
	}
	if got := (peertest.Call{Class: "once"}).Do(t, addr); got.Status != 200 {
		t.Errorf("a good request afterwards: %+v", got)
	}
}

// Two requests under one id might run one effect twice.
func TestIdThatIsHeldIsNotTakenAgain(t *testing.T) {
	go1 := make(chan struct{})
	u := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { <-go1; return peertest.Answer200("ok"), false })
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	first := peertest.Call{Class: "once"}.Start(t, addr)
	peertest.Await(t, "the first", u.Requests)
	if got := (peertest.Call{Class: "once"}).Do(t, addr); got.Status != http.StatusConflict {
		t.Errorf("the second: %+v, want 409", got)
	}
	close(go1)
	if got := peertest.Await(t, "the first's answer", first); got.Status != 200 || len(u.Requests) > 0 {
		t.Errorf("the first: %+v, %d more attempts", got, len(u.Requests))
	}
}

func TestReadyOnceAListIsHeld(t *testing.T) {
	g := peertest.NewDiscovery(t)
	addr, _, _ := startSidecar(t, testConfig(t, options{}, g.Addr))
	ready := func() int {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	peertest.Await(t, "the call for the list", g.ListRequests)
	if got := ready(); got != http.StatusServiceUnavailable {
		t.Errorf("ready is %d without a list", got)
	}
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	g.ListResponses <- peertest.ListText(5, true, peertest.HostText("s-1", u.Addr, "up", 0))
	if w := peertest.Await(t, "the watch", g.Watches); w.From != "5" {
		t.Errorf("the watch begins from %s, want 5", w.From)
	}
	for deadline := time.Now().Add(peertest.WaitTimeout); ready() != http.StatusOK; {
		if time.Now().After(deadline) {
			t.Fatal("never ready")
		}
	}
}

// The bound on client connections: idle ones make way, and a waiting one is served in the end.
func TestClientConnectionsAreBounded(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	c := testConfig(t, options{sockets: minSockets}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0))
	addr, _, _ := startSidecar(t, c)
	var closed int
	var conns []net.Conn
	for i := range 3 * minSockets / 2 {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(peertest.WaitTimeout))
		peertest.Call{Class: "once", ID: fmt.Sprint(i)}.Request(t, addr).Write(nc)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("connection %d: %v, error %v", i, resp, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "ok" {
			t.Fatalf("connection %d: body %q, error %v", i, body, err)
		}
		conns = append(conns, nc)
	}
	// The last ones were accepted only after as many older ones had been closed.
	for _, nc := range conns {
		if !sockets.IsIdle(nc) {
			closed++
		}
	}
	if most, _ := c.Limits.connections(); len(conns)-closed > most {
		t.Errorf("%d connections are open, at most %d may be", len(conns)-closed, most)
	}
}

// raw sends text over a connection of its own and reads until it is closed.
func raw(t *testing.T, addr, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(peertest.WaitTimeout))
	go io.WriteString(c, text)
	got, err := io.ReadAll(c)
	if err != nil && len(got) == 0 {
		t.Errorf("no answer before the close: %v", err)
	}
	return string(got)
}

// rawHead is the header of a good request up to its framing.
func rawHead(id string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 4\r\n"
}

// What stands inside or behind a request whose length is not certain is nobody's
// request, wherever its connection leads.
func TestHiddenRequestIsNotServed(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	hidden := rawHead("hidden") + "Content-Length: 0\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	health := "GET /health/ready HTTP/1.1\r\nHost: x\r\n"
	for name, text := range map[string]string{
		"behind the chunks":    rawHead("a") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"inside the chunks":    rawHead("a") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk,
		"broken chunks":        rawHead("a") + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden,
		"a length behind":      rawHead("a") + "Transfer-Encoding: chunked\r\ncontent-LENGTH: 5\r\n\r\n0\r\n\r\n" + hidden,
		"a list of encodings":  rawHead("a") + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunk,
		"two encodings":        rawHead("a") + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + chunk,
		"HTTP/1.0":             strings.Replace(rawHead("a"), "1.1", "1.0", 1) + "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n" + chunk,
		"a health check":       health + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"all servers":          "OPTIONS * HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":          rawHead("a") + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"a list of lengths":    rawHead("a") + "Content-Length: 0, 0\r\n\r\n" + hidden,
		"a signed length":      rawHead("a") + "Content-Length: +0\r\n\r\n" + hidden,
		"a negative length":    rawHead("a") + "Content-Length: -1\r\n\r\n" + hidden,
		"no length":            rawHead("a") + "Content-Length:\r\n\r\n" + hidden,
		"a huge length":        rawHead("a") + "Content-Length: 99999999999999999999\r\n\r\n" + hidden,
		"behind a refused one": strings.Replace(rawHead("a"), "once", "many", 1) + "Content-Length: 0\r\n\r\n" + hidden,
		"as a refused body":    strings.Replace(rawHead("a"), "once", "many", 1) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden,
	} {
		got := raw(t, addr, text)
		if strings.Count(got, "HTTP/1.") != 1 || got[len("HTTP/1.1 ")] == '2' {
			t.Errorf("%s: got %q, want one error and a close", name, got)
		}
	}
	if len(u.Requests) > 0 {
		t.Errorf("%d requests went upstream", len(u.Requests))
	}
}

// A body in chunks, and that alone, has a certain length: what looks like a request
// in it is its body, and what stands behind it is the next request.
func TestBodyInChunks(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	inner := rawHead("inner") + "Content-Length: 0\r\n\r\n"
	c := dial(t, addr)
	for i, chunks := range []string{
		"0\r\n\r\n", "0\r\nX-Sum: 1\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner),
		fmt.Sprintf("%X;a=b\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 7, inner[:7], len(inner)-7, inner[7:]),
	} {
		text := rawHead(fmt.Sprint("chunks", i)) + "Transfer-Encoding: chunked\r\n\r\n" + chunks
		if i%2 == 1 { // byte by byte, on a kept connection
			for _, b := range []byte(text) {
				c.Write([]byte{b})
			}
		} else {
			io.WriteString(c, text+rawHead(fmt.Sprint("behind", i))+"Content-Length: 2\r\n\r\nhi")
		}
		want := []string{"", "hi"}
		if i > 1 {
			want[0] = inner
		}
		for n := range 2 - i%2 {
			if status, last := c.answer(); status != 200 || last {
				t.Fatalf("chunks %d: %d, last %v", i, status, last)
			}
			r := peertest.Await(t, "the request", u.Requests)
			if r.Text != want[n] || len(r.TransferEncoding) > 0 || r.ContentLength != int64(len(want[n])) {
				t.Errorf("chunks %d: the upstream read %q, %d bytes, %v", i, r.Text, r.ContentLength, r.TransferEncoding)
			}
		}
	}
	large := rawHead("large") + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3) + "0\r\n\r\n"
	if got := raw(t, addr, large); !strings.HasPrefix(got, "HTTP/1.1 413 ") || len(u.Requests) > 0 {
		t.Errorf("too large a body: %q", got)
	}
}

// A word is owed soon to whoever connects, and whoever sends nothing more must
// not hold a connection for longer.
func TestUnfinishedRequestsEndSoon(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	texts := map[string]string{
		"nothing":           "",
		"half a header":     rawHead("a"),
		"half a body":       rawHead("b") + "Content-Length: 10\r\n\r\nhalf",
		"a body to come":    rawHead("c") + "Content-Length: 100000\r\n\r\n",
		"a body refused":    strings.Replace(rawHead("d"), "once", "many", 1) + "Content-Length: 10\r\n\r\nhalf",
		"a chunk to come":   rawHead("e") + "Transfer-Encoding: chunked\r\n\r\n5\r\n",
		"an endless header": "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 32<<10),
	}
	type end struct {
		name string
		took time.Duration
	}
	ends := make(chan end, len(texts))
	for name, text := range texts {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		start := time.Now()
		c.SetDeadline(start.Add(peertest.WaitTimeout))
		go func() {
			io.WriteString(c, text)
			io.Copy(io.Discard, c)
			ends <- end{name, time.Since(start)}
		}()
	}
	for range texts {
		if e := peertest.Await(t, "an end", ends); e.took > 3*time.Second {
			t.Errorf("%s: ended after %v, want 3 s at the most", e.name, e.took)
		}
	}
	if len(u.Requests) > 0 {
		t.Errorf("%d requests went upstream", len(u.Requests))
	}
}

// The body of a request that is refused for its header is not waited for, and
// neither is one under an id that is held.
func TestRefusedHeaderNeedsNoBody(t *testing.T) {
	release := make(chan struct{})
	u := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { <-release; return peertest.Answer200("ok"), false })
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	first := peertest.Call{Class: "once", ID: "held"}.Start(t, addr)
	peertest.Await(t, "the first", u.Requests)
	for status, text := range map[int]string{
		http.StatusBadRequest:            strings.Replace(rawHead("a"), "once", "many", 1) + "Content-Length: 10\r\n\r\n",
		http.StatusConflict:              rawHead("held") + "Content-Length: 10\r\n\r\n",
		http.StatusRequestEntityTooLarge: rawHead("a") + "Content-Length: 3000000000\r\n\r\n",
	} {
		if got := raw(t, addr, text); !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", status)) {
			t.Errorf("got %q, want %d", got, status)
		}
	}
	close(release)
	if got := peertest.Await(t, "the first's answer", first); got.Status != 200 {
		t.Errorf("the first: %+v", got)
	}
}

// Connections that say nothing, or half a request, give way to clients that ask,
// before those that are kept.
func TestUselessConnectionsGiveWay(t *testing.T) {
	for name, text := range map[string]string{
		"silent": "", "half a header": rawHead("half"), "half a body": rawHead("half") + "Content-Length: 10\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) { testGivesWay(t, text) })
	}
}

func testGivesWay(t *testing.T, useless string) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	c := testConfig(t, options{sockets: minSockets}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0))
	addr, _, _ := startSidecar(t, c)
	kept, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	kept.SetDeadline(time.Now().Add(peertest.WaitTimeout))
	in := bufio.NewReader(kept)
	ask := func(id string) {
		t.Helper()
		io.WriteString(kept, rawHead(id)+"Content-Length: 0\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("on the kept connection: %v, error %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	ask("first")
	for range 2 * minSockets { // far over the bound
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, useless)
	}
	start := time.Now()
	if got := (peertest.Call{Class: "once", ID: "fresh"}).Do(t, addr); got.Status != 200 {
		t.Errorf("on a new connection: %+v", got)
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("a new connection was served after %v: it waited for useless ones to time out", took)
	}
	ask("again")
}

// Clients that ask once and stay hold connections that count as theirs: unless
// some are closed, long before the sidecar's own bound, they can open no more.
func TestIdleConnectionsAreFew(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	c := testConfig(t, options{sockets: minSockets}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0))
	addr, _, _ := startSidecar(t, c)
	most, _ := c.Limits.connections()
	start := time.Now()
	var first *bufio.Reader
	for i := range most*3/10 + 1 {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		nc.SetDeadline(time.Now().Add(peertest.WaitTimeout))
		io.WriteString(nc, rawHead(fmt.Sprint(i))+"Content-Length: 0\r\n\r\n")
		in := bufio.NewReader(nc)
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("connection %d: %v, error %v", i, resp, err)
		}
		io.Copy(io.Discard, resp.Body)
		if first == nil {
			first = in
		}
	}
	if _, err := first.Peek(1); err != io.EOF || time.Since(start) > 3*time.Second/2 {
		t.Errorf("the longest idle one: %v after %v, want it closed well before it was idle too long", err, time.Since(start))
	}
}
