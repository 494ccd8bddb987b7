package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/operator"
	"mothridge/internal/peers/peertest"
)

// The crossings of docs/design/crossings.md: two things that happen in one
// moment, each forced here by a peer that waits for the other.

const turnedAway = "HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"

// client is a raw client's connection.
type client struct {
	*net.TCPConn
	t  *testing.T
	in *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(peertest.WaitTimeout))
	return &client{c.(*net.TCPConn), t, bufio.NewReader(c)}
}

func (c *client) ask(id string) {
	c.t.Helper()
	if err := (peertest.Call{Class: "once", ID: id}).Request(c.t, "x").Write(c); err != nil {
		c.t.Errorf("asking: %v", err) // after a reset
	}
}

// answer reads one answer.
func (c *client) answer() (status int, last bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close
}

// ended reads the end, which must be no reset: that could take an answer with it.
func (c *client) ended() {
	c.t.Helper()
	if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
		c.t.Errorf("the connection ended with %v after %q, want a plain end", err, rest)
	}
}

// gate is an upstream that answers each request once it is let go.
type gate struct {
	*peertest.Upstream
	pass chan string // what to answer; closed: 200
}

func newGate(t *testing.T) *gate {
	g := &gate{pass: make(chan string, 100)}
	g.Upstream = peertest.NewUpstream(t, func(peertest.Received) (string, bool) {
		if text, ok := <-g.pass; ok {
			return text, false
		}
		return peertest.Answer200("ok"), false
	})
	t.Cleanup(func() {
		defer func() { recover() }() // the test has closed it
		close(g.pass)
	})
	return g
}

// walled is a configuration in which one request of a tenant is out at a time.
func walled(t *testing.T, hosts ...string) *Config {
	c := testConfig(t, options{}, "127.0.0.1:1", hosts...)
	c.Operator = operator.File{Limits: operator.Limits{Slots: 1}}
	return c
}

// SIGTERM comes while requests are on their way through the sidecar: each is
// answered all the same, and no connection is reset.
func TestEndOfServiceCrossesRequests(t *testing.T) {
	t.Run("queued behind another", func(t *testing.T) {
		g := newGate(t)
		addr, stop, ended := startSidecar(t, walled(t, peertest.HostText("s-1", g.Addr, "up", 0)))
		first, second := dial(t, addr), dial(t, addr)
		first.ask("first")
		peertest.Await(t, "the first", g.Requests)
		second.ask("second")
		peertest.Await(t, "both taken", taken(t, addr, "second"))
		stop()
		draining(t, addr)
		close(g.pass)
		for _, c := range []*client{first, second} {
			if status, last := c.answer(); status != 200 || !last {
				t.Errorf("got %d, last %v; want 200 and word that it is the last", status, last)
			}
			c.ended()
		}
		if err := peertest.Await(t, "the end", ended); err != nil {
			t.Error(err)
		}
	})
	t.Run("between two attempts", func(t *testing.T) {
		g := newGate(t)
		addr, stop, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", g.Addr, "up", 0)))
		c := dial(t, addr)
		c.ask("x")
		peertest.Await(t, "the first attempt", g.Requests)
		stop()
		draining(t, addr)
		g.pass <- turnedAway // and there is no other server: refused, never lost
		if status, last := c.answer(); status != http.StatusServiceUnavailable || !last {
			t.Errorf("got %d, last %v; want 503", status, last)
		}
		c.ended()
	})
	t.Run("before its first attempt is connected", func(t *testing.T) {
		late := peertest.NewStalledListener(t)
		conf := testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", late.Addr, "up", 0))
		conf.DialTimeout = 2 * time.Second
		addr, stop, _ := startSidecar(t, conf)
		c := dial(t, addr)
		c.ask("x")
		peertest.Await(t, "it taken", taken(t, addr, "x"))
		stop()
		draining(t, addr)
		reached := late.Admit(t)
		peertest.Await(t, "the attempt", reached)
		if status, last := c.answer(); status != 200 || !last {
			t.Errorf("got %d, last %v; want 200", status, last)
		}
		c.ended()
	})
	t.Run("with a request on a connection as it is closed", func(t *testing.T) {
		u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
		addr, stop, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
		c := dial(t, addr)
		c.ask("first")
		c.answer()
		peertest.Await(t, "the first", u.Requests)
		stop()
		if _, err := c.in.Peek(1); err != io.EOF { // it is shut: what is sent now crosses that
			t.Fatalf("want the end, got %v", err)
		}
		c.ask("crossing")
		time.Sleep(endsIn)
		c.ask("and another")
		c.ended()
		if len(u.Requests) > 0 {
			t.Error("a request was sent on that came after the shutdown")
		}
	})
	t.Run("with more behind a request that is answered", func(t *testing.T) {
		g := newGate(t)
		addr, stop, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", g.Addr, "up", 0)))
		c := dial(t, addr)
		c.ask("first")
		peertest.Await(t, "the first", g.Requests)
		for i := range 64 {
			c.ask(fmt.Sprint(i))
		}
		stop()
		draining(t, addr)
		close(g.pass)
		if status, last := c.answer(); status != 200 || !last {
			t.Errorf("got %d, last %v; want 200 and word that it is the last", status, last)
		}
		c.ended()
		if len(g.Requests) > 0 {
			t.Error("a request behind the last one was sent on")
		}
	})
	t.Run("on a connection that says nothing", func(t *testing.T) {
		addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1"))
		c := dial(t, addr)
		begun := time.Now()
		stop()
		c.ended() // and is not left open up to the kill
		if took := time.Since(begun); took > acceptGrace+readsIn/2 {
			t.Errorf("a silent connection was ended after %v", took)
		}
		peertest.Await(t, "the end", ended)
	})
}

// draining waits until the sidecar says that its end was announced.
func draining(t *testing.T, addr string) {
	t.Helper()
	peertest.Until(t, "the announcement", func() bool {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
}

const (
	endsIn  = 50 * time.Millisecond  // well within the time for which an ended connection is read on from
	readsIn = 2 * time.Second        // after which net/http gives a silent one up
	margin  = 100 * time.Millisecond // of a busy machine
)

// taken closes its channel once the sidecar holds a request of that id: another one under it is turned away.
func taken(t *testing.T, addr, id string) <-chan struct{} {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := time.Now().Add(peertest.WaitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			c.SetDeadline(time.Now().Add(margin))
			// It is seen before its body, which never comes.
			fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: once\r\nTenant: acme\r\nRequest-Timeout: 1\r\nContent-Length: 1\r\n\r\n", id)
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if strings.Contains(line, " 409 ") {
				return
			}
		}
	}()
	return done
}

// The process is killed soon after the longest deadline, 3 s at most, and 0.7 s
// more: what is open then has been answered, however long its client would wait.
func TestAllIsAnsweredBeforeTheKill(t *testing.T) {
	g := newGate(t)
	c := walled(t, peertest.HostText("s-1", g.Addr, "up", 0))
	for i := range c.Policy.Classes {
		c.Policy.Classes[i].Deadline = 600 * time.Millisecond // and clients that wait for longer
	}
	addr, stop, ended := startSidecar(t, c)
	out, queued := dial(t, addr), dial(t, addr)
	out.ask("out")
	peertest.Await(t, "the first", g.Requests)
	queued.ask("queued")
	peertest.Await(t, "both taken", taken(t, addr, "queued"))
	begun := time.Now()
	stop()
	if status, _ := queued.answer(); status != http.StatusServiceUnavailable { // it never ran
		t.Errorf("the queued one: %d, want 503", status)
	}
	if status, _ := out.answer(); status == http.StatusServiceUnavailable || status < 500 { // it may have
		t.Errorf("the one that is out: %d, want a failure that is no refusal", status)
	}
	if took := time.Since(begun); took < 600*time.Millisecond || took > 600*time.Millisecond+killMargin {
		t.Errorf("answered %v after the announcement", took)
	}
	if err := peertest.Await(t, "the end", ended); err != nil || time.Since(begun) > c.killGrace()+margin {
		t.Errorf("ended with %v after %v", err, time.Since(begun))
	}
}

// A client that has left gets nothing sent on for it, whatever it left behind it
// on its connection.
func TestClientLeavesBeforeAnAttempt(t *testing.T) {
	for name, more := range map[string]string{
		"after its request": "", "after half of another": "POST /api HTTP/1.1\r\nHo",
		"after sixty others": strings.Repeat(rawHead("more")+"Content-Length: 0\r\n\r\n", 60),
	} {
		t.Run("queued, "+name, func(t *testing.T) {
			g := newGate(t)
			addr, _, _ := startSidecar(t, walled(t, peertest.HostText("s-1", g.Addr, "up", 0)))
			first, leaves := dial(t, addr), dial(t, addr)
			first.ask("first")
			peertest.Await(t, "the first", g.Requests)
			leaves.ask("leaves")
			io.WriteString(leaves, more)
			peertest.Await(t, "both taken", taken(t, addr, "leaves"))
			leaves.Close()
			time.Sleep(margin)
			close(g.pass)
			first.answer()
			first.ask("marker") // goes behind whatever the slot was given to
			for {
				r := peertest.Await(t, "the marker", g.Requests)
				if id := r.Header.Get("Request-Id"); id == "marker" {
					break
				} else {
					t.Errorf("%q was sent on, whose client has left", id)
				}
			}
		})
	}
	t.Run("between two attempts", func(t *testing.T) {
		gates := []*gate{newGate(t), newGate(t)}
		addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1",
			peertest.HostText("s-1", gates[0].Addr, "up", 0), peertest.HostText("s-2", gates[1].Addr, "up", 0)))
		leaves := dial(t, addr)
		leaves.ask("leaves")
		peertest.Until(t, "an attempt", func() bool { return len(gates[0].Requests)+len(gates[1].Requests) > 0 })
		io.WriteString(leaves, rawHead("more")+"Content-Length: 0\r\n\r\n")
		leaves.Close()
		time.Sleep(margin)
		for _, g := range gates {
			g.pass <- turnedAway
			close(g.pass)
		}
		for i := range 4 { // each server's turn comes, after whatever else there was to send
			dial(t, addr).ask(fmt.Sprint(i))
		}
		peertest.Until(t, "the others", func() bool { return len(gates[0].Requests)+len(gates[1].Requests) >= 5 })
		again := 0
		for _, g := range gates {
			for len(g.Requests) > 0 {
				if id := (<-g.Requests).Header.Get("Request-Id"); id == "leaves" || id == "more" {
					again++
				}
			}
		}
		if again != 1 {
			t.Errorf("%d attempts for a client that left during the first", again)
		}
	})
}

// A keyed repeat is dropped by servers only as long as they remember the first: one
// whose connection comes up after that is not written.
func TestKeyedRepeatIsNotWrittenAfterItsWindow(t *testing.T) {
	late := peertest.NewStalledListener(t)
	breaks := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { return "", true })
	first := strings.Replace(peertest.HostText("s-1", breaks.Addr, "up", 0), `"share":1.0`, `"share":100`, 1)
	c := testConfig(t, options{}, "127.0.0.1:1", first, peertest.HostText("s-2", late.Addr, "up", 0))
	c.DialTimeout = 3 * time.Second
	for i := range c.Policy.Classes {
		c.Policy.Classes[i].DedupWindow = 400 * time.Millisecond
	}
	addr, _, _ := startSidecar(t, c)
	begun := time.Now()
	got := peertest.Call{Class: "keyed", ID: "x"}.Start(t, addr)
	peertest.Await(t, "the first attempt", breaks.Requests)
	time.Sleep(time.Until(begun.Add(500 * time.Millisecond)))
	reached := late.Admit(t) // the window is over, and the system tries again 1 s after the first time
	if res := peertest.Await(t, "the answer", got); res.Status == 200 {
		t.Errorf("served after %v by a repeat that no server would know", time.Since(begun))
	}
	// Had anybody waited for the connection, it would be up now, and used.
	time.Sleep(time.Until(begun.Add(1500 * time.Millisecond)))
	if n := len(reached); n != 0 {
		t.Errorf("%d requests were written after the window", n)
	}
}

// Idle clients fill their part of the descriptors while discovery is down: clients
// that ask, upstreams, probes and discovery have theirs.
func TestIdleClientsFillTheDescriptors(t *testing.T) {
	drained, stays := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok"))), peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	agent := peertest.Listen(t)
	silent, drain := make(chan net.Conn, 1000), make(chan struct{})
	go func() {
		for {
			c, err := agent.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			select {
			case <-drain:
				c.Read(make([]byte, 4<<10))
				text := peertest.ListText(2, true, peertest.HostText("s-2", stays.Addr, "up", 0))
				io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+text)
			default:
				silent <- c
			}
		}
	}()
	c := testConfig(t, options{sockets: minSockets, probes: true}, agent.Addr().String(),
		peertest.HostText("s-1", drained.Addr, "up", 0), peertest.HostText("s-2", stays.Addr, "up", 0))
	addr, _, _ := startSidecar(t, c)
	peertest.Await(t, "a call to the silent agent", silent)
	for i := range 4 * minSockets {
		idle := dial(t, addr)
		if i%4 == 0 {
			io.WriteString(idle, "POST /api HT") // and no more
		}
	}
	ask := func(id string) {
		t.Helper()
		begun := time.Now()
		if got := (peertest.Call{Class: "read", ID: id}).Do(t, addr); got.Status != 200 || time.Since(begun) > 2*time.Second {
			t.Errorf("%s: %+v after %v", id, got, time.Since(begun))
		}
	}
	for i := range 8 {
		ask(fmt.Sprint("down", i))
	}
	if resp, err := http.Get("http://" + addr + "/health/ready"); err != nil || resp.StatusCode != 200 {
		t.Errorf("ready: %v, error %v", resp, err)
	}
	close(drain)
	peertest.Until(t, "the drain to be heard", func() bool { // its idle connections are closed with it
		select {
		case <-drained.Closed:
			return true
		default:
			return false
		}
	})
	probes := 0
	for _, u := range []*peertest.Upstream{drained, stays} {
		for len(u.Requests) > 0 {
			if r := <-u.Requests; r.URL.Path == "/stats" {
				probes++
			}
		}
	}
	for i := range 8 {
		ask(fmt.Sprint("drained", i))
	}
	if len(drained.Requests) > 0 || probes == 0 {
		t.Errorf("%d sent to the drained one, %d probes", len(drained.Requests), probes)
	}
}

// Whatever becomes of the watch, a drain that follows is kept: 2 s after it counts
// as told nothing new goes to its server, and nothing that has begun is lost.
func TestDrainAfterWhatBecomesOfTheWatch(t *testing.T) {
	const grace = 2 * time.Second
	type scene struct {
		g, moved *peertest.Discovery
		w        *peertest.Watch
		drain    string // the change
		whole    string // the list without the one that drains
		reload   func(discovery string)
	}
	again := func(t *testing.T, g *peertest.Discovery) *peertest.Watch {
		return peertest.Await(t, "another watch", g.Watches)
	}
	for name, become := range map[string]struct {
		told time.Duration // after the moment of the fate, when the drain counts as told
		fate func(t *testing.T, s scene)
	}{
		"stays": {0, func(t *testing.T, s scene) { s.w.Lines <- s.drain }},
		"comes in bytes": {0, func(t *testing.T, s scene) {
			w := s.w
			for _, b := range s.drain {
				w.Bytes <- string(b)
			}
		}},
		"ends":             {0, func(t *testing.T, s scene) { close(s.w.Lines); again(t, s.g).Lines <- s.drain }},
		"ends, then whole": {0, func(t *testing.T, s scene) { close(s.w.Lines); again(t, s.g).Lines <- s.whole }},
		"is cut in a line": {0, func(t *testing.T, s scene) {
			s.w.Bytes <- s.drain[:20]
			close(s.w.Lines)
			again(t, s.g).Lines <- s.drain
		}},
		"falls silent": {6 * time.Second, func(t *testing.T, s scene) { again(t, s.g).Lines <- s.drain }},
		"moves": {0, func(t *testing.T, s scene) {
			s.reload(s.moved.Addr)
			<-s.moved.ListRequests
			s.moved.ListResponses <- s.whole
		}},
		"moves twice": {0, func(t *testing.T, s scene) {
			s.reload("127.0.0.1:1")
			s.reload(s.moved.Addr)
			<-s.moved.ListRequests
			s.moved.ListResponses <- s.whole
		}},
		"moves, then drain": {0, func(t *testing.T, s scene) {
			s.reload(s.moved.Addr)
			<-s.moved.ListRequests
			s.moved.ListResponses <- strings.Replace(s.whole, `"hosts":[`, `"hosts":[`+peertest.HostText("s-1", "127.0.0.1:1", "up", 0)+",", 1)
			again(t, s.moved).Lines <- strings.Replace(s.drain, `"seq":2`, `"seq":10`, 1)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var last time.Time // when something was sent to the one that drains
			a := peertest.NewUpstream(t, func(peertest.Received) (string, bool) {
				mu.Lock()
				last = time.Now()
				mu.Unlock()
				return peertest.Answer200("a"), false
			})
			b := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("b")))
			s := scene{g: peertest.NewDiscovery(t), moved: peertest.NewDiscovery(t)}
			s.drain = peertest.ListText(2, false, peertest.HostText("s-1", a.Addr, "draining", 0))
			s.whole = peertest.ListText(2, true, peertest.HostText("s-2", b.Addr, "up", 0))
			c := testConfig(t, options{}, s.g.Addr, peertest.HostText("s-1", a.Addr, "up", 0), peertest.HostText("s-2", b.Addr, "up", 0))
			c.path = filepath.Join(t.TempDir(), "config.json")
			reload := make(chan os.Signal)
			s.reload = func(discovery string) {
				text := fmt.Sprintf(`{"discovery":%q,"seed":"1","settings":%s}`, discovery, fmt.Sprintf(testSettings, false, 500, "push"))
				if err := os.WriteFile(c.path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
				reload <- syscall.SIGHUP
			}
			addr, _, _ := startReloadable(t, c, reload)
			s.w = peertest.Await(t, "the watch", s.g.Watches)
			over, done := make(chan struct{}), make(chan struct{})
			go func() { // a client that asks on and on
				defer close(done)
				for i := 0; ; i++ {
					select {
					case <-over:
						return
					case <-time.After(5 * time.Millisecond):
					}
					if got := (peertest.Call{Class: "once", ID: fmt.Sprint(i)}).Do(t, addr); got.Status != 200 {
						t.Errorf("request %d: %+v", i, got)
					}
					for _, u := range []*peertest.Upstream{a, b} {
						for len(u.Requests) > 0 {
							<-u.Requests
						}
					}
				}
			}()
			begun := time.Now()
			become.fate(t, s)
			told := time.Now()
			if become.told > 0 && begun.Add(become.told).Before(told) {
				t.Errorf("it was asked for only %v after it had fallen silent", told.Sub(begun))
			}
			time.Sleep(500 * time.Millisecond) // far within the grace
			mu.Lock()
			until := last
			mu.Unlock()
			if until.Sub(told) > grace/5 {
				t.Errorf("still sent to %v after it was told", until.Sub(told))
			}
			close(over)
			<-done
		})
	}
}

// A request may come byte by byte.
func TestRequestByteByByte(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	c := dial(t, addr)
	for i := range 3 { // on a kept connection too
		for _, b := range []byte(rawHead(fmt.Sprint(i)) + "Content-Length: 4\r\n\r\nabcd") {
			if _, err := c.Write([]byte{b}); err != nil {
				t.Fatal(err)
			}
		}
		if status, last := c.answer(); status != 200 || last {
			t.Fatalf("request %d: %d, last %v", i, status, last)
		}
		if r := peertest.Await(t, "the request", u.Requests); r.Text != "abcd" {
			t.Errorf("the upstream read %q", r.Text)
		}
	}
}

// A request behind another on its connection has waited for that one's answer, and
// its client counts the time: it is answered by then, and told what is left.
func TestTimeOfARequestBehindAnother(t *testing.T) {
	g := newGate(t)
	addr, _, _ := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", g.Addr, "up", 0)))
	c := dial(t, addr)
	c.ask("first")
	begun := time.Now()
	if err := (peertest.Call{Class: "once", ID: "second", Timeout: "0.6"}).Request(t, "x").Write(c); err != nil {
		t.Fatal(err)
	}
	peertest.Await(t, "the first", g.Requests)
	time.Sleep(time.Until(begun.Add(300 * time.Millisecond)))
	g.pass <- peertest.Answer200("ok")
	c.answer()
	r := peertest.Await(t, "the second", g.Requests)
	if left, ok := parseSeconds(r.Header.Get("Request-Timeout")); !ok || left > 300*time.Millisecond {
		t.Errorf("the second is told %v, of 0.6 s that began 0.3 s ago", left)
	}
	if status, _ := c.answer(); status != http.StatusGatewayTimeout || time.Since(begun) > 600*time.Millisecond+margin/2 {
		t.Errorf("got %d after %v, want 504 within 0.6 s", status, time.Since(begun))
	}
}
