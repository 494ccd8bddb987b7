package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// A planned restart: what was taken is answered, connections that still come are
// served and told to close, and idle ones are closed before the listener goes.
func TestPlannedRestartLosesNothing(t *testing.T) {
	release := make(chan struct{})
	u := peertest.NewUpstream(t, func(r peertest.Received) (string, bool) {
		if r.Header.Get("Request-Id") == "held" {
			<-release
		}
		return peertest.Answer200("ok"), false
	})
	addr, stop, ended := startSidecar(t, testConfig(t, options{}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	idle.SetDeadline(time.Now().Add(peertest.WaitTimeout))
	peertest.Call{Class: "once", ID: "first"}.Request(t, addr).Write(idle)
	in := bufio.NewReader(idle)
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != 200 || resp.Close {
		t.Fatalf("before the restart: %+v, error %v", resp, err)
	} else {
		in.Discard(int(resp.ContentLength))
	}
	peertest.Await(t, "the first", u.Requests)
	held := peertest.Call{Class: "once", ID: "held"}.Start(t, addr)
	peertest.Await(t, "the held one", u.Requests)
	stop()
	if _, err := in.Peek(1); err == nil { // returns when the idle connection is closed
		t.Error("bytes nobody asked for")
	}
	// A kept connection would be closed under a later request: the answer must tell.
	fresh, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatalf("a new connection after the announcement: %v", err)
	}
	defer fresh.Close()
	fresh.SetDeadline(time.Now().Add(peertest.WaitTimeout))
	peertest.Call{Class: "once", ID: "fresh"}.Request(t, addr).Write(fresh)
	if resp, err := http.ReadResponse(bufio.NewReader(fresh), nil); err != nil || resp.StatusCode != 200 || !resp.Close {
		t.Errorf("on a new connection: %+v, error %v; want 200 and close", resp, err)
	}
	select {
	case err := <-ended:
		t.Fatalf("ended with a request unanswered: %v", err)
	case <-time.After(acceptGrace): // the listener has gone or is about to
	}
	close(release)
	if got := peertest.Await(t, "the held one's answer", held); got.Status != 200 || got.Body != "ok" {
		t.Errorf("the held one: %+v", got)
	}
	if err := peertest.Await(t, "the end", ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// An upstream that takes its time gets no further connection for the rest that
// each needs: see httpnode for those that are quick.
func TestConnectionsAreReused(t *testing.T) {
	u := peertest.NewUpstream(t, func(peertest.Received) (string, bool) {
		time.Sleep(5 * time.Millisecond)
		return peertest.Answer200("ok"), false
	})
	addr, _, _ := startSidecar(t, testConfig(t, options{probes: true}, "127.0.0.1:1", peertest.HostText("s-1", u.Addr, "up", 0)))
	for i := range 40 {
		if got := (peertest.Call{Class: "keyed", ID: fmt.Sprint(i)}).Do(t, addr); got.Status != 200 {
			t.Fatalf("got %+v", got)
		}
	}
	if n := len(u.Accepted); n > 4 { // one, and one more for each probe that may be out meanwhile
		t.Errorf("%d connections for 40 requests in turn", n)
	}
}

// A new configuration under way: requests that are held are answered, the held
// list stays in force until the new address has brought another, and a file
// that cannot be used changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	old, fresh := peertest.NewDiscovery(t), peertest.NewDiscovery(t)
	release := make(chan struct{})
	a := peertest.NewUpstream(t, func(r peertest.Received) (string, bool) {
		if r.Header.Get("Request-Id") == "held" {
			<-release
		}
		return peertest.Answer200("a"), false
	})
	b := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("b")))
	c := testConfig(t, options{}, old.Addr, peertest.HostText("s-1", a.Addr, "up", 0))
	c.path = filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(c.path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	good := func(discovery string) string {
		return peertest.ValidJSON(t, fmt.Sprintf(`{"discovery":%q,"seed":"1","settings":%s}`, discovery, fmt.Sprintf(testSettings, false, 500, "push")))
	}
	reload := make(chan os.Signal)
	addr, _, _ := startReloadable(t, c, reload)
	w := peertest.Await(t, "the watch", old.Watches)
	held := peertest.Call{Class: "once", ID: "held"}.Start(t, addr)
	peertest.Await(t, "the held one", a.Requests)
	for _, wrong := range []string{"", "{", good("discovery.internal"), `{"discovery":"127.0.0.1:1"}`} {
		write(wrong)
		reload <- syscall.SIGHUP
	}
	select {
	case w.Lines <- peertest.ListText(2, false): // the old watch is still read
	case <-w.Ended:
		t.Fatal("a wrong file ended the watch")
	}
	write(good(fresh.Addr))
	reload <- syscall.SIGHUP
	peertest.Await(t, "the call for the new list", fresh.ListRequests)
	if got := (peertest.Call{Class: "once", ID: "meanwhile"}).Do(t, addr); got.Body != "a" {
		t.Errorf("without a new list: %+v", got)
	}
	fresh.ListResponses <- peertest.ListText(1, true, peertest.HostText("s-2", b.Addr, "up", 0))
	peertest.Await(t, "the new watch", fresh.Watches)
	for i, deadline := 0, time.Now().Add(peertest.WaitTimeout); ; i++ {
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint(i)}).Do(t, addr); got.Body == "b" {
			break
		} else if time.Now().After(deadline) {
			t.Fatalf("the new list is not in force: %+v", got)
		}
	}
	close(release)
	if got := peertest.Await(t, "the held one's answer", held); got.Body != "a" {
		t.Errorf("the held one: %+v", got)
	}
}

func TestConfiguration(t *testing.T) {
	dir := t.TempDir()
	load := func(text string, env map[string]string) (*Config, error) {
		path := filepath.Join(dir, "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadConfig(func(name string) string {
			if name == "ROUTER_CONFIG" {
				return path
			}
			return env[name]
		})
	}
	const good = `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"ff","later":1,"known":7,
		"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"settings":{"balancers":1,"caps":{"most_tries":3},"later":null,
		"classes":[{"name":"a","aim_ms":1,"hard_limit_ms":2}]}}`
	c, err := load(good, map[string]string{"ROUTER_LISTEN": "127.0.0.1:9"})
	if err != nil || c.Name != "n3" || c.Listen != "127.0.0.1:9" || c.Seed != 255 || c.Known != nil || c.Limits.Sockets != 1024 ||
		c.DialTimeout != defaultDialTimeout || c.ConnIdle != defaultConnIdle {
		t.Errorf("configuration %+v, error %v", c, err)
	}
	for name, change := range map[string][3]string{ // what is wrong, and a part of what is said of it
		"no JSON":      {"{", "(", "line 1, column 1: "},
		"cut short":    {`"settings":{`, `"settings":`, "line 2, column 79"},
		"wrong kind":   {`"sockets":1024`, `"sockets":"many"`, "line 2, column "},
		"no settings":  {`"settings"`, `"others"`, "settings are missing"},
		"no seed":      {`"ff"`, `"seed"`, "16 hexadecimal digits are needed"},
		"no address":   {"127.0.0.1:2", "discovery.internal", "discovery address"},
		"few sockets":  {"1024", "3", "at least 64 are needed"},
		"wrong figure": {`"most_tries":3`, `"most_tries":"x"`, "settings: caps.most_tries is"},
		"no deadline":  {`,"hard_limit_ms":2`, ``, "settings: classes.0.hard_limit_ms is missing"},
		"no name":      {`"name":"a"`, `"name":""`, "a class or tenant has no name"},
	} {
		_, err := load(strings.Replace(good, change[0], change[1], 1), nil)
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.Contains(err.Error(), change[2]) {
			t.Errorf("%s: error %v, want one plain line with %q", name, err, change[2])
		}
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("without ROUTER_CONFIG: no error")
	}
}
