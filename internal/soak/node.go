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

// nodeBehaviour is how a node or the way to it behaves.
type nodeBehaviour int

// The nodeBehaviourCount.
const (
	healthy         nodeBehaviour = iota
	hangs                         // takes requests and answers none
	resets                        // resets connections under requests, before or in the middle of answers
	respondsSlowly                // takes up to most of a deadline
	variesResponses               // answers in all forms, good and bad
	acceptsLate                   // connections come up late: the node accepts none for a while
	resetsLate                    // resets connections well after the request has come
	fails                         // answers 500, or turns away
	closesIdle                    // closes idle connections at once
	nodeBehaviourCount
)

// arrival is a request that reached a cold node, and whether its sidecar had been told of
// the start.
type arrival struct {
	at         time.Time
	startKnown bool
}

// node is a stand-in for an upstream, and the way to it.
type node struct {
	env  *environment
	name string
	ln   net.Listener

	mu        sync.Mutex
	behaviour nodeBehaviour
	startedAt time.Time // of its last start; zero: long ago
	health    string
	arrivals  []arrival // since it was born, while it is cold
	conns     map[net.Conn]struct{}
	rng       *rand.Rand
}

func (w *environment) newNode(name string, seed uint64) (*node, error) {
	ln, err := listenShortBacklog()
	if err != nil {
		return nil, err
	}
	n := &node{env: w, name: name, ln: ln, health: "up", conns: make(map[net.Conn]struct{}), rng: rand.New(rand.NewPCG(seed, 7))}
	go n.acceptLoop()
	return n, nil
}

// maxAcceptDelay is how long a node may take to accept a connection that comes up late.
const maxAcceptDelay = 1200 * time.Millisecond

// acceptBacklog is how many connections wait to be accepted; the system passes over the
// first packet of those beyond, and they come up a second late.
const acceptBacklog = 2

// listenShortBacklog opens a listener with a short queue.
func listenShortBacklog() (net.Listener, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "node")
	defer f.Close()
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, acceptBacklog)); err != nil {
		return nil, err
	}
	return net.FileListener(f)
}

func (n *node) acceptLoop() {
	for {
		n.mu.Lock()
		delay := time.Duration(0)
		if n.behaviour == acceptsLate {
			delay = maxAcceptDelay
		}
		pause := time.Duration(n.rng.Int64N(int64(max(delay, 1))))
		n.mu.Unlock()
		time.Sleep(pause)
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		go func() {
			n.serve(c, (acceptBacklog+1)*delay)
			c.Close()
			n.mu.Lock()
			delete(n.conns, c)
			n.mu.Unlock()
		}()
	}
}

// restart ends all connections and makes the node cold.
func (n *node) restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startedAt, n.arrivals, n.behaviour = time.Now(), nil, healthy
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (n *node) setBehaviour(m nodeBehaviour) {
	n.mu.Lock()
	n.behaviour = m
	n.mu.Unlock()
}

func (n *node) serve(c net.Conn, delay time.Duration) {
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return
		}
		if id := req.Header.Get("Request-Id"); id == "" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		} else if !n.handle(c, id, req, delay) {
			return
		}
		delay = 0
	}
}

// handle carries a request out; false ends its connection. The request may have waited
// for as long as delay says before it was read.
func (n *node) handle(c net.Conn, id string, req *http.Request, delay time.Duration) bool {
	seconds, _ := strconv.ParseFloat(req.Header.Get("Request-Timeout"), 64)
	told := time.Duration(seconds * float64(time.Second))
	n.mu.Lock()
	m, draw, pause := n.behaviour, n.rng.IntN(100), time.Duration(2+n.rng.IntN(8))*time.Millisecond
	long := time.Duration(n.rng.Int64N(int64(max(told, 1))))
	n.mu.Unlock()
	n.env.checkArrival(n, id, delay)
	turned := m == fails && draw < 50
	n.env.checker.recordAttempt(n.name, id, told, !turned, delay)
	time.Sleep(pause)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	switch {
	case m == hangs:
		io.Copy(io.Discard, c) // until the other side closes
		return false
	case m == respondsSlowly:
		time.Sleep(long)
	case m == resetsLate && draw < 60:
		time.Sleep(long)
		c.(*net.TCPConn).SetLinger(0)
		return false
	case m == resets && draw < 40:
		c.(*net.TCPConn).SetLinger(0)
		if draw < 20 {
			io.WriteString(c, whole[:len(whole)/2])
		}
		return false
	case turned:
		io.WriteString(c, "HTTP/1.1 503 x\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case m == fails:
		io.WriteString(c, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n")
		return true
	case m == variesResponses:
		return n.varyResponse(c, draw, whole, id)
	case m == closesIdle:
		io.WriteString(c, whole)
		time.Sleep(pause)
		return false
	}
	_, err := io.WriteString(c, whole)
	return err == nil
}

// varyResponse answers in one of many forms.
func (n *node) varyResponse(c net.Conn, draw int, whole, id string) bool {
	unsized := "HTTP/1.1 200 OK\r\n\r\n" + id
	switch draw % 9 {
	case 0: // no length, closed in order
		io.WriteString(c, unsized)
		return false
	case 1: // no length, reset on the way
		io.WriteString(c, unsized[:len(unsized)-2])
		time.Sleep(5 * time.Millisecond)
		c.(*net.TCPConn).SetLinger(0)
		return false
	case 2:
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
		return true
	case 3: // cut in the middle of its chunks
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(id), id)
		return false
	case 4: // a second answer some milliseconds late
		io.WriteString(c, whole)
		time.Sleep(4 * time.Millisecond)
		io.WriteString(c, strings.Replace(whole, id, strings.Repeat("x", len(id)), 1))
		return true
	case 5:
		io.WriteString(c, "\x00\x01 no HTTP at all\r\n\r\n")
		return false
	case 6: // byte by byte
		for i := range len(whole) {
			if _, err := io.WriteString(c, whole[i:i+1]); err != nil {
				return false
			}
			time.Sleep(200 * time.Microsecond)
		}
		return true
	case 7: // two lengths
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(id), id)
		return true
	}
	io.WriteString(c, whole[:len(whole)-1]) // and the end, when its connection ends in order
	return false
}
