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
	name        string
	idempotency string // in the settings' words
	deadline    time.Duration
	dedupWindow time.Duration
}

const (
	idempotent      = "free"
	idempotentByKey = "guarded"
	notIdempotent   = "single_shot"
)

var classes = []class{
	{"read", idempotent, time.Second, 0},
	{"weight-reading", idempotentByKey, 2500 * time.Millisecond, 300 * time.Millisecond},
	{"harvest-entry", notIdempotent, 2 * time.Second, 0},
}

// clientBehaviour is how a client behaves with one request.
type clientBehaviour int

const (
	sendsWhole      clientBehaviour = iota
	leavesEarly                     // closes its connection before the answer
	sendsInPieces                   // writes in pieces, whole within the time that bad clients have
	stopsMidRequest                 // stops in the middle and stays
)

// client is one connection's worth of a client: one request at a time.
type client struct {
	sidecar      *sidecar
	rng          *rand.Rand
	conn         net.Conn
	reader       *bufio.Reader
	requestCount int
	name         string
}

// run sends requests until the world ends.
func (k *client) run(w *environment) {
	defer k.closeConn()
	for !w.isOver() {
		w.sleep(time.Duration(k.rng.ExpFloat64() * float64(w.cfg.MeanPause)))
		if k.rng.IntN(20) == 0 { // rests until the sidecar ends the connection, or about so
			w.sleep(1800*time.Millisecond + time.Duration(k.rng.IntN(400))*time.Millisecond)
		}
		if w.isOver() {
			return
		}
		k.sendRequest(w)
	}
}

func (k *client) closeConn() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// sendRequest sends sendRequest request and notes what becomes of it.
func (k *client) sendRequest(w *environment) {
	fresh, kept := k.sidecar.acceptsRequests()
	if k.conn == nil && !fresh || !kept {
		k.closeConn()
		w.sleep(20 * time.Millisecond)
		return
	}
	k.requestCount++
	id, c := fmt.Sprintf("%s-%d", k.name, k.requestCount), classes[k.rng.IntN(len(classes))]
	how := sendsWhole
	switch draw := k.rng.IntN(100); {
	case draw < 6:
		how = leavesEarly
	case draw < 10:
		how = sendsInPieces
	case draw < 12:
		how = stopsMidRequest
	}
	wasKept := k.conn != nil
	if !wasKept && !k.dial() {
		return // refused or reset before anything was sent: nothing was taken
	}
	from := time.Now()
	until := from.Add(c.deadline)
	w.checker.recordRequest(id, c, until)
	err := k.exchange(w, id, c, how, from, until)
	if errors.Is(err, errNoResponse) && wasKept { // it was not read: once more, on a new connection
		if fresh, _ := k.sidecar.acceptsRequests(); !fresh || !k.dial() {
			return
		}
		err = k.exchange(w, id, c, sendsWhole, from, until)
	}
	if err != nil {
		w.checker.recordNoResponse(id, err, k.sidecar.excusedSince(from))
	}
}

func (k *client) dial() bool {
	k.closeConn()
	conn, err := net.DialTimeout("tcp", k.sidecar.addr, time.Second)
	if err != nil {
		return false
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return true
}

// errNoResponse says that a connection ended without a byte of an answer.
var errNoResponse = errors.New("closed without an answer")

func (k *client) exchange(w *environment, id string, c class, how clientBehaviour, from, until time.Time) error {
	text := requestText(id, c, time.Until(until))
	if how == stopsMidRequest {
		return k.sendPart(w, id, text)
	}
	err := k.write(text, how, func() {
		until = time.Now().Add(c.deadline)
		w.checker.recordLastByte(id, until)
	})
	if err != nil {
		k.closeConn()
		return errNoResponse
	}
	if how == leavesEarly {
		w.sleep(time.Duration(k.rng.Int64N(int64(200 * time.Millisecond))))
		w.checker.recordClientLeft(id)
		k.closeConn()
		return nil
	}
	k.conn.SetReadDeadline(until.Add(responseSlack + stallSlack + 3*time.Second))
	if _, err := k.reader.Peek(1); err != nil {
		k.closeConn()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return fmt.Errorf("no answer %v after its time", time.Since(until))
		}
		return fmt.Errorf("%w: %w", errNoResponse, err)
	}
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		k.closeConn()
		return err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		k.closeConn()
		return err
	}
	w.checker.recordResponse(id, resp.StatusCode, string(body), time.Since(until), k.sidecar.excusedSince(from))
	if resp.Close {
		k.closeConn()
	}
	return nil
}

// requestText is a whole request.
func requestText(id string, c class, left time.Duration) []byte {
	method, key, body := "POST", "", "{}"
	switch c.idempotency {
	case idempotent:
		method, body = "GET", ""
	case idempotentByKey:
		key = "Idempotency-Key: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "%s /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nTenant: north\r\nRequest-Timeout: %.3f\r\n%sContent-Length: %d\r\n\r\n%s",
		method, id, c.name, left.Seconds(), key, len(body), body)
}

// write writes a request in one piece or in some. last is called before the last one,
// from which on the request's time counts.
func (k *client) write(text []byte, how clientBehaviour, last func()) error {
	if how != sendsInPieces {
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

// sendPart writes a part of a request and waits for the error or the close that is owed.
func (k *client) sendPart(w *environment, id string, text []byte) error {
	begun := time.Now()
	k.conn.Write(text[:1+k.rng.IntN(len(text)-1)])
	k.conn.SetReadDeadline(begun.Add(2 * partialRequestTimeout))
	io.Copy(io.Discard, k.reader)
	k.closeConn()
	if took := time.Since(begun); took > partialRequestTimeout+w.checker.lag.slack() && !k.sidecar.excusedSince(begun) {
		w.checker.addViolation(Owed, "%s: its connection ended %v after its first byte", id, took)
	}
	return nil
}
