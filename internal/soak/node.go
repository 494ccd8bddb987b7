package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// nodeBehaviour is how a node, or the network path to it, behaves.
type nodeBehaviour int

// The behaviours of nodes.
const (
	healthy            nodeBehaviour = iota
	hangs                            // accepts requests and sends no response
	resets                           // resets connections with open requests, before or in the middle of responses
	respondsSlowly                   // takes up to almost the whole deadline to respond
	variesResponses                  // sends valid and invalid responses in many forms
	acceptsLate                      // establishes connections late: the node accepts none for a while
	resetsLate                       // resets connections well after the request has arrived
	fails                            // responds with 500, or rejects the request with 503
	closesIdle                       // closes a connection as soon as it is idle
	nodeBehaviourCount               // number of behaviours
)

// node is a stand-in for an upstream and for the network path to it.
type node struct {
	env  *environment
	name string
	ln   net.Listener

	mu        sync.Mutex
	behaviour nodeBehaviour
	lateUntil time.Time // when the node last stopped accepting late; zero: never
	startedAt time.Time // last restart; zero: the node has not restarted and is warm
	health    string
	arrivals  []arrival // since startedAt, while the node is cold
	conns     map[net.Conn]struct{}
	rng       *rand.Rand
}

// newNode starts a healthy node on a free loopback port.
func (env *environment) newNode(name string, seed uint64) (*node, error) {
	ln, err := listenShortBacklog()
	if err != nil {
		return nil, err
	}
	n := &node{
		env: env, name: name, ln: ln, health: "up", conns: make(map[net.Conn]struct{}),
		rng: rand.New(rand.NewPCG(seed, 7)),
	}
	go n.acceptLoop()
	return n, nil
}

// maxAcceptDelay is how long a node that accepts late may wait before it accepts a connection.
const maxAcceptDelay = 1200 * time.Millisecond

// acceptBacklog is how many connections may wait to be accepted. The kernel drops the first packet of further
// connections, which are therefore established a second late.
const acceptBacklog = 2

// listenShortBacklog opens a loopback listener whose backlog is acceptBacklog.
func listenShortBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "node")
	defer f.Close()
	if err := errors.Join(
		syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, acceptBacklog),
	); err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

// acceptLoop accepts connections until the listener is closed, and serves each in its own goroutine.
func (n *node) acceptLoop() {
	for {
		n.mu.Lock()
		maxDelay := time.Duration(0)
		if n.behaviour == acceptsLate {
			maxDelay = maxAcceptDelay
		}
		pause := time.Duration(n.rng.Int64N(int64(max(maxDelay, 1)))) // drawn in any case, so that a seed stays what it is
		n.mu.Unlock()
		time.Sleep(pause)
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		queueTime := n.maxQueueTimeLocked(time.Now())
		n.mu.Unlock()
		go func() {
			n.serve(c, queueTime)
			c.Close()
			n.mu.Lock()
			delete(n.conns, c)
			n.mu.Unlock()
		}()
	}
}

// lateConnectionSpan is how long after a node has stopped accepting late a connection may still come up whose handshake began
// before: the kernel repeats the last packet but one after 1 s and 2 s.
const lateConnectionSpan = 3 * time.Second

// maxQueueTimeLocked returns how long a connection that is accepted at now, and the first request on it, may have waited to be
// accepted. The caller holds n.mu.
func (n *node) maxQueueTimeLocked(now time.Time) time.Duration {
	if n.behaviour == acceptsLate || now.Sub(n.lateUntil) < lateConnectionSpan {
		return (acceptBacklog + 1) * maxAcceptDelay
	}
	return 0
}

// setBehaviourLocked sets the behaviour. The caller holds n.mu.
func (n *node) setBehaviourLocked(b nodeBehaviour) {
	if n.behaviour == acceptsLate {
		n.lateUntil = time.Now()
	}
	n.behaviour = b
}

// restart resets all connections and makes the node cold and healthy.
func (n *node) restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startedAt, n.arrivals = time.Now(), nil
	n.setBehaviourLocked(healthy)
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (n *node) setBehaviour(b nodeBehaviour) {
	n.mu.Lock()
	n.setBehaviourLocked(b)
	n.mu.Unlock()
}

// serve handles the requests of one connection. The first request may have waited for up to delay before
// the node accepted the connection. A request without an id is not a client's: it gets status 200 and no body.
func (n *node) serve(c net.Conn, delay time.Duration) {
	reader := bufio.NewReader(c)
	for number := 1; ; number++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if id := req.Header.Get("Request-Id"); id == "" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		} else if !n.handle(c, id, req, delay, number) {
			return
		}
		delay = 0
	}
}

// handle records a request and responds as the node's behaviour says. It returns false if the connection
// must be closed. The request may have waited for up to delay before it was read; number is its number on the connection.
func (n *node) handle(c net.Conn, id string, req *http.Request, delay time.Duration, number int) bool {
	seconds, _ := strconv.ParseFloat(req.Header.Get("Request-Timeout"), 64)
	timeout := time.Duration(seconds * float64(time.Second))
	n.mu.Lock()
	behaviour, draw, pause := n.behaviour, n.rng.IntN(100), time.Duration(2+n.rng.IntN(8))*time.Millisecond
	longPause := time.Duration(n.rng.Int64N(int64(max(timeout, 1))))
	n.mu.Unlock()
	n.env.checkArrival(n, id, delay)
	rejected := behaviour == fails && draw < 50
	n.env.checker.recordAttempt(n.name, id, timeout, !rejected, delay, fmt.Sprintf(
		"request %d of its connection, node behaviour %d, %d samples with listen overflows", number, behaviour, n.env.checker.overflows.recent()))
	time.Sleep(pause)
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	switch {
	case behaviour == hangs:
		io.Copy(io.Discard, c) // until the sidecar closes the connection
		return false
	case behaviour == respondsSlowly:
		time.Sleep(longPause)
	case behaviour == resetsLate && draw < 60:
		time.Sleep(longPause)
		c.(*net.TCPConn).SetLinger(0)
		return false
	case behaviour == resets && draw < 40:
		c.(*net.TCPConn).SetLinger(0)
		if draw < 20 {
			io.WriteString(c, response[:len(response)/2])
		}
		return false
	case rejected:
		io.WriteString(c, "HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case behaviour == fails:
		io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		return true
	case behaviour == variesResponses:
		return n.varyResponse(c, draw, response, id)
	case behaviour == closesIdle:
		io.WriteString(c, response)
		time.Sleep(pause)
		return false
	}
	_, err := io.WriteString(c, response)
	return err == nil
}

// varyResponse responds in the form that draw selects. It returns false if the connection must be closed.
// response is the valid response, with id as its body.
func (n *node) varyResponse(c net.Conn, draw int, response, id string) bool {
	withoutLength := "HTTP/1.1 200 OK\r\n\r\n" + id
	switch draw % 9 {
	case 0: // no length; the connection closes without an error
		io.WriteString(c, withoutLength)
		return false
	case 1: // no length; the connection is reset before the end of the body
		io.WriteString(c, withoutLength[:len(withoutLength)-2])
		time.Sleep(5 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
		return false
	case 2: // valid, in chunks
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
		return true
	case 3: // in chunks, closed before the last chunk
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(id), id)
		return false
	case 4: // a second response some milliseconds after the first
		io.WriteString(c, response)
		time.Sleep(4 * time.Millisecond)
		io.WriteString(c, strings.Replace(response, id, strings.Repeat("x", len(id)), 1))
		return true
	case 5: // not HTTP
		io.WriteString(c, "\x00\x01 no HTTP at all\r\n\r\n")
		return false
	case 6: // valid, one byte at a time
		for i := range len(response) {
			if _, err := io.WriteString(c, response[i:i+1]); err != nil {
				return false
			}
			time.Sleep(200 * time.Microsecond)
		}
		return true
	case 7: // both a length and chunks, which contradict each other
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
		return true
	}
	io.WriteString(c, response[:len(response)-1]) // one byte short; the connection then closes without an error
	return false
}
