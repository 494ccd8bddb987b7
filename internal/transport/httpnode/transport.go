// Package httpnode carries out attempts and probes at nodes that speak HTTP/1.1,
// over connections that are kept.
package httpnode

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/http1"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

// What is read for one answer is bounded. Upstreams send bodies of several times
// what the protocol names; 1 MiB of them can be held for as many as are out.
const (
	maxAnswerHead = 128 << 10 // interim answers included
	maxAnswerBody = 1 << 20
)

// maxReport bounds the body of a probe's answer that is looked at.
const maxReport = 4 << 10

// Transport makes the nodes that speak HTTP/1.1; they share its connections.
type Transport struct {
	pool      *pool
	loadField string
	statsPath string
	unsized   atomic.Uint64
}

// Config is what a Transport keeps to.
type Config struct {
	DialTimeout time.Duration // a connection not made by then never comes
	ConnIdle    time.Duration // nodes close a connection that was idle this long
	Connections int           // the most that are open at once
	LoadField   string        // a load report's name for the number of requests held
	Reports     bool          // probes bring load reports
}

// New makes a Transport. Sweep must be called now and then.
func New(c Config) *Transport {
	t := &Transport{pool: newPool(c.DialTimeout, c.ConnIdle, c.Connections), loadField: c.LoadField, statsPath: "/health/live"}
	if c.Reports {
		t.statsPath = "/stats"
	}
	return t
}

// Counters tell what became of connections.
type Counters struct {
	Dials  uint64 // that came up
	Failed uint64 // that did not
	// Unsized counts the answers that were served without a length.
	Unsized uint64
}

// Counters returns what was counted so far.
func (t *Transport) Counters() Counters {
	return Counters{t.pool.dials.Load(), t.pool.failed.Load(), t.unsized.Load()}
}

// Node makes the node at an address.
func (t *Transport) Node(addr string) core.Upstream { return &node{t, &peer{addr: addr}} }

// Sweep closes the idle connections that are of no use any more.
func (t *Transport) Sweep(now time.Time) { t.pool.sweep(now) }

type node struct {
	t  *Transport
	to *peer
}

func (n *node) RoundTrip(ctx context.Context, m *core.Message) (policy.AttemptResult, *core.Response) {
	return n.t.try(ctx, n.to, m)
}

func (n *node) Probe(ctx context.Context) (policy.LoadReport, error) { return n.t.probe(ctx, n.to) }

func (n *node) Retire() { n.t.pool.retire(n.to) }

// try carries an attempt out. What it returns follows the protocol's table: as
// long as the request's last byte has not been written, it never ran.
func (t *Transport) try(ctx context.Context, to *peer, m *core.Message) (policy.AttemptResult, *core.Response) {
	var a answer
	wrote := false
	reach, cancel := ctx, context.CancelFunc(func() {})
	if !m.WriteDeadline.IsZero() { // a connection that is up by then is of no use
		reach, cancel = context.WithDeadline(ctx, m.WriteDeadline)
	}
	c, err := t.pool.get(reach, to)
	cancel()
	if err == nil {
		a, wrote, err = t.exchange(ctx, c, m)
	}
	switch {
	case err != nil && !wrote && (errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, core.ErrNotSent) || !m.AllowSend(time.Now())):
		return policy.NotSent, nil // no word against the upstream: nobody waited for it any more
	case err != nil && !wrote && sockets.IsLocalError(err):
		return policy.NotSent, nil // nor is what this machine lacks
	case err != nil && !wrote:
		return policy.ConnectionFailed, nil
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		return policy.Cancelled, nil
	case err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded):
		return policy.TimedOut, nil
	case err != nil:
		return policy.ConnectionReset, nil
	case a.StatusCode == http.StatusOK && a.unsized && m.RequiresLength:
		return policy.ConnectionReset, nil
	case a.StatusCode == http.StatusOK:
		if a.unsized {
			t.unsized.Add(1)
		}
		return policy.Served, &core.Response{Result: core.Served, Fields: a.Header, Body: a.body, DelimitedByClose: a.unsized}
	case (a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusGatewayTimeout) &&
		a.Header.Get("Not-Started") == "1":
		return policy.Rejected, nil
	}
	return policy.ServerError, nil
}

// exchange writes one request and reads the whole answer. It takes the
// connection over: back to the pool where it can be used again, closed where
// not, and closed at once when ctx ends. wrote tells whether the request's last
// byte was written; only then can an upstream have begun it.
func (t *Transport) exchange(ctx context.Context, c *conn, m *core.Message) (a answer, wrote bool, err error) {
	c.limit.N = maxAnswerHead
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		// If stop comes too late the connection is closed, or about to be.
		if stop() && err == nil && !a.Close && c.r.Buffered() == 0 {
			t.pool.put(c)
		} else {
			t.pool.drop(c)
		}
	}()
	c.out.Reset()
	var left time.Duration
	if until, ok := ctx.Deadline(); ok {
		left = max(time.Until(until), time.Millisecond)
	}
	writeRequest(&c.out, m, left)
	// An attempt that was called off by now must write nothing.
	if err := ctx.Err(); err != nil {
		return a, false, err
	}
	if !m.AllowSend(time.Now()) {
		return a, false, core.ErrNotSent
	}
	if !m.WriteDeadline.IsZero() { // its last byte counts, and the upstream may be slow to read
		c.SetWriteDeadline(m.WriteDeadline)
		defer c.SetWriteDeadline(time.Time{})
	}
	if n, err := c.Write(c.out.Bytes()); n < c.out.Len() {
		return a, false, fmt.Errorf("write request: %w", err)
	}
	m.SendCompleted(time.Now(), left)
	if a.Response, a.head, err = c.readHead(); err == nil {
		c.limit.N = maxAnswerBody + 1
		err = a.readBody(c)
	}
	if err != nil {
		return a, true, fmt.Errorf("read answer: %w", err)
	}
	return a, true, nil
}

// answer is an upstream's answer, with the body if it is of use.
type answer struct {
	*http.Response
	head    http1.Head
	body    []byte
	unsized bool // the body ended with its connection
}

// mostInterim bounds the interim answers before the one that counts.
const mostInterim = 5

// readHead reads the head of an answer, and the interim answers before it.
func (c *conn) readHead() (*http.Response, http1.Head, error) {
	for interim := 0; ; interim++ {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return nil, http1.Head{}, err
		}
		head := c.heads.NextHead()
		if resp.StatusCode >= 200 {
			return resp, head, nil
		}
		if interim == mostInterim || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, http1.Head{}, fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
	}
}

var (
	errTooLarge   = errors.New("body too large")
	errTwoLengths = errors.New("two lengths, or chunks in a version without them")
)

// readBody reads an answer's body if the answer proves to be whole: by one valid
// length of its own, by chunks up to the last, or, where the head names neither, by the
// orderly close of its connection (RFC 9112, section 6.3). A reset is no end. A head
// with two lengths may name two ends (see http1.Framing). The body is not closed: that
// would read on in one that is too large, and what is not read to its end ends with its
// connection.
func (a *answer) readBody(c *conn) (err error) {
	coded := len(a.TransferEncoding) > 0
	switch {
	case a.head.HasTransferEncoding && !(coded && a.head.Unambiguous()):
		return errTwoLengths
	case a.ContentLength > maxAnswerBody:
		return errTooLarge
	case a.ContentLength >= 0:
		a.body, err = http1.ReadExactly(a.Body, a.ContentLength)
		return err
	case !coded && a.StatusCode != http.StatusOK:
		return nil // the head says it all, and the body's end may never come
	}
	a.unsized = !coded
	a.body, err = io.ReadAll(io.LimitReader(a.Body, maxAnswerBody+1))
	if err == nil && (len(a.body) > maxAnswerBody || a.unsized && c.limit.N <= 0) {
		err = errTooLarge
	}
	return err
}

// writeRequest gathers the client's request as it goes to an upstream:
// unchanged, but for how long the sidecar will wait. The fields were checked by
// the front that took them: none holds a line break.
func writeRequest(b *bytes.Buffer, m *core.Message, left time.Duration) {
	b.WriteString(m.Method)
	b.WriteByte(' ')
	b.WriteString(m.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.Host)
	if len(m.Body) > 0 || m.Method != http.MethodGet {
		b.WriteString("\r\nContent-Length: ")
		b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(len(m.Body)), 10))
	}
	if left > 0 {
		b.WriteString("\r\nRequest-Timeout: ")
		b.Write(strconv.AppendFloat(b.AvailableBuffer(), left.Seconds(), 'f', 3, 64))
	}
	for name, values := range m.Fields {
		switch name {
		case "Request-Timeout", "Content-Length", "Host":
			continue
		}
		for _, v := range values {
			b.WriteString("\r\n")
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
		}
	}
	b.WriteString("\r\n\r\n")
	b.Write(m.Body)
}

// probe asks an upstream for a sign of life and its load. Without any answer in
// the time that a connection may take to come up, it has failed.
func (t *Transport) probe(ctx context.Context, to *peer) (policy.LoadReport, error) {
	unknown := policy.LoadReport{InFlight: -1}
	ctx, cancel := context.WithTimeout(ctx, t.pool.dialTimeout)
	defer cancel()
	c, err := t.pool.get(ctx, to)
	if err != nil && sockets.IsLocalError(err) {
		return unknown, fmt.Errorf("%w: %w", core.ErrNotSent, err)
	}
	if err != nil {
		return unknown, err
	}
	a, _, err := t.exchange(ctx, c, &core.Message{Method: http.MethodGet, Target: t.statsPath, Host: to.addr})
	if err != nil {
		return unknown, err
	}
	if a.StatusCode != http.StatusOK {
		return unknown, fmt.Errorf("probe: status %d", a.StatusCode)
	}
	report := a.Header.Get("Server-Load")
	if report == "" {
		report = string(a.body[:min(len(a.body), maxReport)])
	}
	return policy.LoadReport{InFlight: t.inFlight(report)}, nil
}

// inFlight takes the number of requests held out of a report of the form
// 'TEXT name=value, name=value'; it is negative where the report lacks it.
func (t *Transport) inFlight(report string) float64 {
	report, _ = strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if name != t.loadField || name == "" {
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err == nil && n >= 0 && !math.IsInf(n, 0) {
			return n
		}
	}
	return -1
}
