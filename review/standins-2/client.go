package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// ask is a client's request.
type ask struct {
	id, key string // key is empty for a request that must not run twice
	class   string
	tenant  string
	timeout time.Duration
	body    int // bytes
}

var lastID atomic.Uint64

// newID returns an id that no other request has.
func newID() string { return fmt.Sprintf("r%07d", lastID.Add(1)) }

// newReading returns a keyed request.
func newReading() ask {
	id := newID()
	return ask{id: id, key: "k-" + id, class: "weight-reading", tenant: "downs-apiarists", timeout: 800 * time.Millisecond, body: 40}
}

// newHarvest returns a request that must not run twice.
func newHarvest() ask {
	return ask{id: newID(), class: "harvest-entry", tenant: "downs-apiarists", timeout: 1800 * time.Millisecond, body: 40}
}

// bytes returns the request as it is written.
func (a *ask) bytes() []byte {
	text := "POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: " + a.id + "\r\nRequest-Class: " + a.class + "\r\nTenant: " + a.tenant +
		"\r\nRequest-Timeout: " + strconv.FormatFloat(a.timeout.Seconds(), 'f', 3, 64)
	if a.key != "" {
		text += "\r\nIdempotency-Key: " + a.key
	}
	text += "\r\nContent-Length: " + strconv.Itoa(a.body) + "\r\n\r\n"
	return append([]byte(text), make([]byte, a.body)...)
}

// answer is what a client got: a status and a body, or the error with which the connection ended.
type answer struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// pool is a client with kept connections, one request at a time on each.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// keepIdle is how long a client uses a connection that rests.
const keepIdle = time.Second

func (p *pool) take() (conn *clientConn, kept bool, err error) {
	p.mu.Lock()
	for len(p.idle) > 0 {
		conn := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if time.Since(conn.usedAt) < keepIdle {
			p.mu.Unlock()
			return conn, true, nil
		}
		conn.Close()
	}
	p.mu.Unlock()
	netConn, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: netConn, reader: bufio.NewReader(netConn)}, false, nil
}

// do sends a request and waits for its answer. If a kept connection ends without a byte of the answer, the
// request is sent once more on a new one.
func (p *pool) do(a ask) answer {
	started := time.Now()
	for {
		conn, kept, err := p.take()
		if err != nil {
			return answer{err: err, took: time.Since(started)}
		}
		got := p.doOn(conn, a, started)
		if got.err != nil && kept && !errors.Is(got.err, errTimeout) && time.Since(started) < 100*time.Millisecond {
			p.closeIdle()
			continue
		}
		return got
	}
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

var errTimeout = errors.New("no answer in time")

func (p *pool) doOn(conn *clientConn, a ask, started time.Time) answer {
	conn.SetDeadline(started.Add(a.timeout + 500*time.Millisecond)) // up to half a second late is not lost
	if _, err := conn.Write(a.bytes()); err != nil {
		conn.Close()
		return answer{err: err, took: time.Since(started)}
	}
	response, err := http.ReadResponse(conn.reader, nil)
	if err == nil {
		var body []byte
		if body, err = io.ReadAll(response.Body); err == nil {
			conn.usedAt = time.Now()
			if response.Close {
				conn.Close()
			} else {
				p.mu.Lock()
				p.idle = append(p.idle, conn)
				p.mu.Unlock()
			}
			return answer{status: response.StatusCode, body: string(body), took: time.Since(started)}
		}
	}
	conn.Close()
	if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
		err = errTimeout
	}
	return answer{err: err, took: time.Since(started)}
}

// load sends requests at a rate until stop is closed and waits for their answers.
func (p *play) load(clients *pool, rate float64, stop <-chan struct{}, next func() ask, check func(ask, answer)) {
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			running.Wait()
			return
		case <-ticker.C:
			running.Go(func() {
				a := next()
				p.record("sent: %s %s key %s", a.id, a.class, a.key)
				got := clients.do(a)
				if got.status == http.StatusOK {
					p.served.Add(1)
				}
				p.record("answered: %s %s: %d %v %.40q in %v", a.id, a.class, got.status, got.err, got.body, got.took.Round(time.Millisecond))
				if check != nil {
					check(a, got)
				}
			})
		}
	}
}
