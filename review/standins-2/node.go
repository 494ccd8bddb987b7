package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is a request that reached an upstream, at the time of its last byte.
type arrival struct {
	id, key string
	node    *node
	at      time.Time
	ran     bool // its effect was applied
	dropped bool // a repeat that the pod dropped
}

// pod is a group of upstreams, which share the keys that they have seen.
type pod struct {
	number int
	zone   string
	window time.Duration // for which a repeat of a key is dropped

	mu   sync.Mutex
	seen map[string]time.Time
}

func newPod(number int, zone string, window time.Duration) *pod {
	return &pod{number: number, zone: zone, window: window, seen: make(map[string]time.Time)}
}

// newHivesPod returns a pod of the site toowoomba-hives.
func newHivesPod(number int) *pod { return newPod(number, depot, 600*time.Millisecond) }

// isRepeat reports whether the pod has seen the key within the window, and remembers the key.
func (p *pod) isRepeat(key string) bool {
	if key == "" {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	first, seen := p.seen[key]
	if seen && time.Since(first) < p.window {
		return true
	}
	p.seen[key] = time.Now()
	return false
}

// treatment says how an upstream treats a request.
type treatment struct {
	work  time.Duration                    // before its effect
	reset bool                             // the connection is reset after the effect
	serve func(conn net.Conn, body []byte) // writes the answer in place of the upstream; nil: an ordinary answer
}

// node is a stand-in upstream over HTTP/1.1.
type node struct {
	name     string
	pod      *pod
	address  string
	play     *play
	treat    func(id string) treatment
	listener net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	arrivals []*arrival
	holds    int
}

func startNode(p *play, name, address string, pod *pod, treat func(id string) treatment) (*node, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &node{
		name: name, pod: pod, address: listener.Addr().String(), play: p, treat: treat, listener: listener,
		conns: make(map[net.Conn]bool),
	}
	go n.accept()
	return n, nil
}

func (n *node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		n.conns[conn] = true
		n.mu.Unlock()
		go n.serve(conn)
	}
}

// die ends the upstream as the death of its process would: its connections are reset, new ones are refused.
func (n *node) die() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		reset(conn)
	}
}

// reset ends a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (n *node) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !n.answer(conn, reader, request) {
			return
		}
	}
}

// answer treats one request. It returns false if the connection has ended.
func (n *node) answer(conn net.Conn, reader *bufio.Reader, request *http.Request) bool {
	switch {
	case request.URL.Path == "/stats" || request.URL.Path == "/health/live":
		return n.write(conn, http.StatusOK, []byte(fmt.Sprintf("TEXT failed_ps=0, svc_ms=55, served_ps=25, busy_reqs=%d", n.held())))
	case request.Header.Get("Request-Id") == "":
		return n.write(conn, http.StatusNotFound, nil)
	}
	id, key := request.Header.Get("Request-Id"), request.Header.Get("Idempotency-Key")
	a := &arrival{id: id, key: key, node: n, at: time.Now(), dropped: n.pod.isRepeat(key)}
	n.mu.Lock()
	n.arrivals = append(n.arrivals, a)
	n.holds++
	n.mu.Unlock()
	t := n.treat(id)
	gone := awaitClose(conn, reader, t.work) // work stops when its request is given up
	n.mu.Lock()
	n.holds--
	a.ran = !gone && !a.dropped
	n.mu.Unlock()
	n.play.record("ran: %s key %s at %s, block %d, ran %v, repeat dropped %v, reset %v", id, key, n.name, n.pod.number, a.ran, a.dropped, t.reset)
	switch {
	case gone:
		return false
	case t.reset:
		reset(conn)
		return false
	case t.serve != nil:
		t.serve(conn, []byte("served "+id))
		return false
	}
	return n.write(conn, http.StatusOK, []byte("served "+id))
}

func (n *node) held() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holds
}

// awaitClose waits for the time of the work, and returns true earlier if the other side ends the connection.
func awaitClose(conn net.Conn, reader *bufio.Reader, work time.Duration) (gone bool) {
	conn.SetReadDeadline(time.Now().Add(work))
	defer conn.SetReadDeadline(time.Time{})
	_, err := reader.Peek(1)
	timeout, isNet := err.(net.Error)
	return err != nil && !(isNet && timeout.Timeout())
}

func (n *node) write(conn net.Conn, status int, body []byte) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	_, err := conn.Write(append([]byte(head), body...))
	return err == nil
}

// all returns the arrivals at several upstreams.
func all(nodes []*node) []*arrival {
	var arrivals []*arrival
	for _, n := range nodes {
		n.mu.Lock()
		arrivals = append(arrivals, n.arrivals...)
		n.mu.Unlock()
	}
	return arrivals
}
