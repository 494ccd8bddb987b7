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
	"time"
)

// class is a class of requests.
type class struct {
	name     string
	effect   string // in the settings' words
	deadline time.Duration
	window   time.Duration
}

const (
	safe   = "free"
	keyed  = "guarded"
	unsafe = "single_shot"
)

var classes = []class{
	{"read", safe, time.Second, 0},
	{"weight-reading", keyed, 2500 * time.Millisecond, 300 * time.Millisecond},
	{"harvest-entry", unsafe, 2 * time.Second, 0},
}

// manner is how a client behaves with one request.
type manner int

const (
	plain   manner = iota
	leaves         // closes its connection before the answer
	dribble        // writes in pieces, whole within the time that bad clients have
	stops          // stops in the middle and stays
)

// worker is one connection's worth of a client: one request at a time.
type worker struct {
	s    *sidecar
	rng  *rand.Rand
	conn net.Conn
	in   *bufio.Reader
	n    int
	name string
}

// run sends requests until the world ends.
func (k *worker) run(w *world) {
	defer k.drop()
	for !w.over() {
		w.sleep(time.Duration(k.rng.ExpFloat64() * float64(w.cfg.Pause)))
		if k.rng.IntN(20) == 0 { // rests until the sidecar ends the connection, or about so
			w.sleep(1800*time.Millisecond + time.Duration(k.rng.IntN(400))*time.Millisecond)
		}
		if w.over() {
			return
		}
		k.one(w)
	}
}

func (k *worker) drop() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// one sends one request and notes what becomes of it.
func (k *worker) one(w *world) {
	fresh, kept := k.s.takes()
	if k.conn == nil && !fresh || !kept {
		k.drop()
		w.sleep(20 * time.Millisecond)
		return
	}
	k.n++
	id, c := fmt.Sprintf("%s-%d", k.name, k.n), classes[k.rng.IntN(len(classes))]
	how := plain
	switch draw := k.rng.IntN(100); {
	case draw < 6:
		how = leaves
	case draw < 10:
		how = dribble
	case draw < 12:
		how = stops
	}
	wasKept := k.conn != nil
	if !wasKept && !k.dial() {
		return // refused or reset before anything was sent: nothing was taken
	}
	from := time.Now()
	until := from.Add(c.deadline)
	w.judge.begins(id, c, until)
	err := k.exchange(w, id, c, how, from, until)
	if errors.Is(err, errCrossed) && wasKept { // it was not read: once more, on a new connection
		if fresh, _ := k.s.takes(); !fresh || !k.dial() {
			return
		}
		err = k.exchange(w, id, c, plain, from, until)
	}
	if err != nil {
		w.judge.lost(id, err, k.s.excuses(from))
	}
}

func (k *worker) dial() bool {
	k.drop()
	conn, err := net.DialTimeout("tcp", k.s.addr, time.Second)
	if err != nil {
		return false
	}
	k.conn, k.in = conn, bufio.NewReader(conn)
	return true
}

// errCrossed says that a connection ended without a byte of an answer.
var errCrossed = errors.New("closed without an answer")

func (k *worker) exchange(w *world, id string, c class, how manner, from, until time.Time) error {
	text := requestText(id, c, time.Until(until))
	if how == stops {
		return k.stop(w, id, text)
	}
	err := k.write(text, how, func() {
		until = time.Now().Add(c.deadline)
		w.judge.sent(id, until)
	})
	if err != nil {
		k.drop()
		return errCrossed
	}
	if how == leaves {
		w.sleep(time.Duration(k.rng.Int64N(int64(200 * time.Millisecond))))
		w.judge.leaves(id)
		k.drop()
		return nil
	}
	k.conn.SetReadDeadline(until.Add(answerSlack + heldUp + 3*time.Second))
	if _, err := k.in.Peek(1); err != nil {
		k.drop()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("no answer %v after its time", time.Since(until))
		}
		return fmt.Errorf("%w: %w", errCrossed, err)
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		k.drop()
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		k.drop()
		return err
	}
	w.judge.answered(id, resp.StatusCode, string(body), time.Since(until), k.s.excuses(from))
	if resp.Close {
		k.drop()
	}
	return nil
}

// requestText is a whole request.
func requestText(id string, c class, left time.Duration) []byte {
	method, key, body := "POST", "", "{}"
	switch c.effect {
	case safe:
		method, body = "GET", ""
	case keyed:
		key = "Idempotency-Key: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "%s /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: north\r\nRequest-Timeout: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		method, id, c.name, left.Seconds(), key, len(body), body)
}

// write writes a request in one piece or in some. last is called before the last one,
// from which on the request's time counts.
func (k *worker) write(text []byte, how manner, last func()) error {
	if how != dribble {
		_, err := k.conn.Write(text)
		return err
	}
	for len(text) > 0 {
		n := min(1+k.rng.IntN(len(text)), len(text))
		if n == len(text) {
			last()
		}
		if _, err := k.conn.Write(text[:n]); err != nil {
			return err
		}
		if text = text[n:]; len(text) > 0 {
			time.Sleep(time.Duration(k.rng.Int64N(int64(150 * time.Millisecond))))
		}
	}
	return nil
}

// stop writes a part of a request and waits for the error or the close that is owed.
func (k *worker) stop(w *world, id string, text []byte) error {
	begun := time.Now()
	k.conn.Write(text[:1+k.rng.IntN(len(text)-1)])
	k.conn.SetReadDeadline(begun.Add(2 * owedIn))
	io.Copy(io.Discard, k.in)
	k.drop()
	if took := time.Since(begun); took > owedIn+w.judge.lag.slack() && !k.s.excuses(begun) {
		w.judge.breaks(Owed, "%s: its connection ended %v after its first byte", id, took)
	}
	return nil
}
