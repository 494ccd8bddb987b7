// Package peertest has scripted peers for tests: an Upstream that speaks raw
// HTTP, the platform's discovery and the calls of a client.
package peertest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

const WaitTimeout = 10 * time.Second // how long a test waits for an event; it never has to in a good run

// Await takes the next value of a channel.
func Await[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(WaitTimeout):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Until waits until something holds.
func Until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Listen opens a listener that ends with the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// Received is one request that a fake Upstream read, with the connection it came on.
type Received struct {
	*http.Request
	Text string // its body
	Conn net.Conn
}

// upstream is a fake Upstream that speaks raw HTTP: it hands every request to
// the test and writes what Respond returns, or nothing.
type Upstream struct {
	Addr     string
	Requests chan Received
	Accepted chan net.Conn
	Closed   chan net.Conn // connections whose other end has closed
}

// Respond says what to write for a request and whether to close the connection after it.
type Respond func(r Received) (text string, end bool)

func Answer200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func Always(text string) Respond { return func(Received) (string, bool) { return text, false } }

func NewUpstream(t testing.TB, do Respond) *Upstream {
	t.Helper()
	ln := Listen(t)
	u := &Upstream{
		Addr: ln.Addr().String(), Requests: make(chan Received, 100),
		Accepted: make(chan net.Conn, 100), Closed: make(chan net.Conn, 100),
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			u.Accepted <- c
			go u.serve(c, do)
		}
	}()
	return u
}

func (u *Upstream) serve(c net.Conn, do Respond) {
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			u.Closed <- c
			return
		}
		body, _ := io.ReadAll(req.Body)
		r := Received{req, string(body), c}
		u.Requests <- r
		text, end := do(r)
		io.WriteString(c, text)
		if end {
			c.Close()
			return
		}
	}
}

// ListPath is where discovery has the list.
const ListPath = "/registry/instances"

// Discovery is a fake discovery: the test writes the lines of each watch.
type Discovery struct {
	Addr          string
	Watches       chan *Watch
	ListResponses chan string // what the next Call for the whole list gets
	ListRequests  chan string // the query of each Call for the whole list
}

type Watch struct {
	From  string
	Lines chan string
	Bytes chan string // the same without the line break
	Ended chan struct{}
}

func NewDiscovery(t testing.TB) *Discovery {
	t.Helper()
	g := &Discovery{Watches: make(chan *Watch, 10), ListResponses: make(chan string, 10), ListRequests: make(chan string, 10)}
	ln := Listen(t)
	g.Addr = ln.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != ListPath {
			http.NotFound(w, r)
			return
		}
		if r.URL.Query().Get("watch") == "" {
			g.ListRequests <- r.URL.RawQuery
			select {
			case text := <-g.ListResponses:
				io.WriteString(w, text)
			case <-r.Context().Done():
			}
			return
		}
		x := &Watch{From: r.URL.Query().Get("from"), Lines: make(chan string), Bytes: make(chan string), Ended: make(chan struct{})}
		defer close(x.Ended)
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		g.Watches <- x
		for {
			select {
			case line, ok := <-x.Lines:
				if !ok {
					return
				}
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case text := <-x.Bytes:
				io.WriteString(w, text)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return g
}

// HostText is an entry of a list.
func HostText(name, dial, health string, born int64) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","block":3,"health":%q,"share":1.0,"born_ms":%d}`, name, dial, health, born)
}

func ListText(seq int, whole bool, hosts ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, seq, whole, strings.Join(hosts, ","))
}

// call is a client's request in the making.
type Call struct {
	Class   string
	Timeout string
	ID      string
	Body    string
	Header  http.Header
}

var methods = map[string]string{"read": "GET", "keyed": "POST", "once": "POST"}

func (c Call) Request(t testing.TB, addr string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(methods[c.Class], "http://"+addr+"/api/a%2Fb?q=1&r=%20", strings.NewReader(c.Body))
	if err != nil {
		t.Fatal(err)
	}
	if c.Timeout == "" {
		c.Timeout = "4.5"
	}
	if c.ID == "" {
		c.ID = t.Name()
	}
	req.Header = http.Header{
		"Request-Id": {c.ID}, "Request-Class": {c.Class}, "Tenant": {"acme"}, "Request-Timeout": {c.Timeout},
	}
	if c.Class == "keyed" {
		req.Header.Set("Idempotency-Key", "5c0f6e1a")
	}
	for name, v := range c.Header {
		if req.Header[name] = v; v == nil {
			delete(req.Header, name)
		}
	}
	return req
}

// result is what a client got.
type Result struct {
	Status int
	Header http.Header
	Body   string
	Err    error
}

// do sends a request over a connection of its own.
func (c Call) Do(t testing.TB, addr string) Result {
	t.Helper()
	return RoundTrip(c.Request(t, addr))
}

func RoundTrip(req *http.Request) Result {
	tr := &http.Transport{DisableKeepAlives: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return Result{Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return Result{resp.StatusCode, resp.Header, string(body), err}
}

// start sends a request in the background.
func (c Call) Start(t testing.TB, addr string) <-chan Result {
	t.Helper()
	req, out := c.Request(t, addr), make(chan Result, 1)
	go func() { out <- RoundTrip(req) }()
	return out
}

// ValidJSON says whether a text is JSON, so that a test's own list cannot be wrong by a slip.
func ValidJSON(t testing.TB, text string) string {
	t.Helper()
	if !json.Valid([]byte(text)) {
		t.Fatalf("not JSON: %s", text)
	}
	return text
}

// StalledListener is an address at which connections do not come up before Admit: what
// waits there to be accepted fills its queue, so that the system passes over
// further ones, and their clients try again 1 s and 3 s after they began.
type StalledListener struct {
	Addr   string
	fd     int
	filler net.Conn
}

// NewStalledListener makes one.
func NewStalledListener(t testing.TB) *StalledListener {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	u := &StalledListener{fd: fd}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	u.Addr = fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	if u.filler, err = net.Dial("tcp", u.Addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { u.filler.Close() })
	return u
}

// Admit lets the next connection come up and returns the requests that are read
// on it; each is answered 200.
func (u *StalledListener) Admit(t testing.TB) <-chan Received {
	t.Helper()
	first, _, err := syscall.Accept(u.fd)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Close(first) // the filler's
	up := &Upstream{Requests: make(chan Received, 100), Closed: make(chan net.Conn, 100)}
	go func() {
		fd, _, err := syscall.Accept(u.fd)
		if err != nil {
			return
		}
		f := os.NewFile(uintptr(fd), "late")
		c, err := net.FileConn(f)
		f.Close()
		if err == nil {
			up.serve(c, Always(Answer200("late")))
			c.Close()
		}
	}()
	return up.Requests
}
