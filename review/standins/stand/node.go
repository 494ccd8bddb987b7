package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Call is a request that a node has received whole.
type Call struct {
	Node, ID, Class, Key string
	At                   time.Time
	Body                 []byte
}

// Node is a records node over HTTP/1.1. It begins a request when its last byte has come and answers
// with a body that names the request and the node.
type Node struct {
	Name, Addr string
	Work       time.Duration
	// Run, if set, is called for each request before its work.
	Run func(Call)
	// Answer, if set, writes the answer itself and reports whether the connection stays open.
	Answer func(conn net.Conn, call Call) (open bool)

	listener    net.Listener
	mu          sync.Mutex
	calls       []Call
	conns       map[net.Conn]bool
	vanished    bool
	bothLengths int        // requests with a Content-Length and a Transfer-Encoding
	fillers     []net.Conn // fill the backlog of a vanished node
}

// StartNode starts a node on a free port.
func StartNode(name string, work time.Duration) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Addr: listener.Addr().String(), Work: work, listener: listener, conns: make(map[net.Conn]bool)}
	return n, nil
}

// Serve accepts connections in the background.
func (n *Node) Serve() {
	go func() {
		for {
			conn, err := n.listener.Accept()
			if err != nil || n.Vanished() {
				return
			}
			n.mu.Lock()
			n.conns[conn] = true
			n.mu.Unlock()
			go n.serve(conn)
		}
	}()
}

// Close ends the node and its connections.
func (n *Node) Close() {
	n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.conns {
		conn.Close()
	}
	for _, conn := range n.fillers {
		conn.Close()
	}
}

// Vanished reports whether the node has vanished.
func (n *Node) Vanished() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.vanished
}

// Vanish makes the node say nothing more, like a machine that is switched off: open connections stay open and
// silent, and new ones never come up, because the backlog of the listener is full.
func (n *Node) Vanish() error {
	n.mu.Lock()
	n.vanished = true
	n.mu.Unlock()
	raw, err := n.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	if err := raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 1) }); err != nil {
		return err
	}
	for range 8 { // the first one ends Accept, the others stay in the backlog
		conn, err := net.DialTimeout("tcp", n.Addr, 50*time.Millisecond)
		if err != nil {
			return nil // the backlog is full
		}
		n.mu.Lock()
		n.fillers = append(n.fillers, conn)
		n.mu.Unlock()
	}
	return errors.New("the backlog does not fill")
}

// Calls returns the requests that have begun so far.
func (n *Node) Calls() []Call {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]Call(nil), n.calls...)
}

// ListEntry returns the node's entry in discovery's list.
func (n *Node) ListEntry(block int) Host {
	return Host{Host: n.Name, Dial: n.Addr, Site: "anzac-st-depot", Class: "std-2", Block: block, Health: "up", Share: 1}
}

func (n *Node) serve(conn net.Conn) {
	defer func() {
		n.mu.Lock()
		delete(n.conns, conn)
		n.mu.Unlock()
		conn.Close()
	}()
	tap := &headTap{Conn: conn}
	reader := bufio.NewReader(tap)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if tap.namesBothLengths() {
			n.mu.Lock()
			n.bothLengths++
			n.mu.Unlock()
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		tap.received = tap.received[:0]
		if request.URL.Path == "/stats" || request.URL.Path == "/health/live" {
			if !WriteAnswer(conn, []byte("TEXT failed_ps=0, svc_ms=50, served_ps=10, busy_reqs=1")) {
				return
			}
			continue
		}
		if n.Vanished() {
			continue
		}
		call := Call{Node: n.Name, ID: request.Header.Get("Request-Id"), Class: request.Header.Get("Request-Class"),
			Key: request.Header.Get("Idempotency-Key"), At: time.Now(), Body: body}
		n.mu.Lock()
		n.calls = append(n.calls, call)
		n.mu.Unlock()
		if n.Run != nil {
			n.Run(call)
		}
		if n.Answer != nil {
			if !n.Answer(conn, call) {
				return
			}
			continue
		}
		time.Sleep(n.Work)
		if n.Vanished() {
			continue
		}
		if !WriteAnswer(conn, AnswerTo(call.ID, n.Name)) {
			return
		}
	}
}

// BothLengths returns how many requests had a Content-Length and a Transfer-Encoding.
func (n *Node) BothLengths() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bothLengths
}

// headTap keeps what was received since the last request, because net/http drops the Content-Length of a head
// that names a Transfer-Encoding too.
type headTap struct {
	net.Conn
	received []byte
}

// Read implements io.Reader.
func (t *headTap) Read(buffer []byte) (int, error) {
	count, err := t.Conn.Read(buffer)
	t.received = append(t.received, buffer[:count]...)
	return count, err
}

func (t *headTap) namesBothLengths() bool {
	head, _, _ := strings.Cut(strings.ToLower(string(t.received)), "\r\n\r\n")
	return strings.Contains(head, "\r\ncontent-length:") && strings.Contains(head, "\r\ntransfer-encoding:")
}

// AnswerTo is the body of a node's answer to a request.
func AnswerTo(id, node string) []byte { return fmt.Appendf(nil, "answer to %s by %s", id, node) }

// IsAnswerTo reports whether a body is a node's answer to the request.
func IsAnswerTo(id string, body []byte) bool {
	return strings.HasPrefix(string(body), "answer to "+id+" by ")
}

// WriteAnswer writes an answer 200 with a body.
func WriteAnswer(conn net.Conn, body []byte) bool {
	_, err := conn.Write(append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)), body...))
	return err == nil
}
