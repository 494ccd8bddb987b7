// Package httpfront takes the application's requests by HTTP/1.1.
package httpfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/http1"
	"mothridge/policy"
)

const (
	maxTimeout = time.Hour
	maxName    = 256 // bytes of a Request-Id
	maxHeader  = 16 << 10

	// Connections are few. A client that says nothing is sent away, and one that stops
	// in the middle of a request is owed a word within 3 s of its first byte.
	silentIn   = 2 * time.Second         // from connecting to the first byte
	requestIn  = 2500 * time.Millisecond // from a request's first byte to its last
	idleClient = 2 * time.Second         // between requests; clients need those back that they leave idle
	writeAfter = time.Second             // the time at which the client gives up
	lingerIn   = 250 * time.Millisecond  // for the rest of a body that is not taken
)

// Config is what a Front keeps to.
type Config struct {
	Classes        []string // names by number
	Idempotency    []policy.Idempotency
	Tenants        []string // empty: there is one, and requests need not name it
	MaxConnections int      // the most that are open at once
	// EarliestArrival returns when bytes that were read just now may have come at the earliest;
	// nil: now.
	EarliestArrival func(now time.Time) time.Time
}

// Front is the HTTP/1.1 side towards the application.
type Front struct {
	core     core.Handler
	effects  []policy.Idempotency
	classes  map[string]int
	tenants  map[string]int
	listener *limitedListener
	server   *http.Server

	taken, rejected, left, unanswered atomic.Uint64
}

// Counters tell what came.
type Counters struct {
	Connections uint64 // accepted
	Taken       uint64 // requests that were given to the core
	Rejected    uint64 // requests that were wrong
	Left        uint64 // clients that left before their answer
	Failed      uint64 // accepts that failed

	// Connections that were closed, by reason: see closeReason.
	ClosedByServer, ClosedIdle, ClosedDrain, ClosedSilent, ClosedUnfinished, ClosedCut uint64

	// ClosedUnanswered counts connections that were closed here under a request that was
	// taken. It stays 0.
	ClosedUnanswered uint64
}

// Counters returns what was counted so far.
func (s *Front) Counters() Counters {
	closes := &s.listener.closes
	return Counters{
		Connections: s.listener.accepted.Load(), Taken: s.taken.Load(), Rejected: s.rejected.Load(), Left: s.left.Load(),
		Failed:         s.listener.Failures(),
		ClosedByServer: closes[closedByServer].Load(), ClosedIdle: closes[closedIdle].Load(), ClosedDrain: closes[closedDrain].Load(),
		ClosedSilent: closes[closedSilent].Load(), ClosedUnfinished: closes[closedUnfinished].Load(), ClosedCut: closes[closedCut].Load(),
		ClosedUnanswered: s.unanswered.Load(),
	}
}

// New makes a Front on a listener; Serve starts it.
func New(c Config, k core.Handler, ln net.Listener) *Front {
	s := &Front{
		core: k, effects: c.Idempotency, classes: core.IndexByName(c.Classes), tenants: core.IndexByName(c.Tenants),
		listener: limitListener(ln, c.MaxConnections),
	}
	s.listener.arrived = c.EarliestArrival
	// There is no ReadTimeout: that would also end the watch for clients that
	// leave, as if they had left.
	s.server = &http.Server{
		Handler:           s,
		ConnState:         s.listener.track,
		ConnContext:       withConn,
		ReadHeaderTimeout: silentIn,
		IdleTimeout:       idleClient,
		MaxHeaderBytes:    maxHeader,
		// Every request comes to the handler, which asks Framing for each in turn.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return s
}

// Serve serves until Shutdown or an error.
func (s *Front) Serve() error { return s.server.Serve(s.listener) }

// Drain closes the idle connections, and from now on tells clients with each
// answer to close; new connections are still taken.
func (s *Front) Drain() { s.listener.drain() }

// Shutdown closes the listener and waits until all that was taken is answered,
// or ctx ends. It does not call the server's own Shutdown before all connections have
// ended: from then on net/http drops each request that it has read, without an answer.
func (s *Front) Shutdown(ctx context.Context) error {
	s.listener.DrainBacklog(ctx)
	err := s.listener.Close()
	s.listener.empty(ctx)
	if err := errors.Join(err, s.server.Close()); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

func (s *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if wrong := framing(hr, hr.Context().Value(connKey{}).(*clientConn).framing.NextHead().Unambiguous()); wrong != nil {
		s.rejected.Add(1)
		reject(w, hr, wrong)
		return
	}
	c := hr.Context().Value(connKey{}).(*clientConn)
	if hr.URL.Path == "/health/ready" {
		c.whole()
		status := http.StatusOK
		if !s.core.Ready() || s.listener.isDraining() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	answers := make(chan core.Response, 1) // never blocks the core
	r, wrong := s.read(hr, c)
	if wrong != nil {
		s.rejected.Add(1)
		reject(w, hr, wrong)
		return
	}
	if !c.take() {
		panic(http.ErrAbortHandler) // it was closed as idle: the client sends the request once more
	}
	r.Respond = func(a core.Response) { answers <- a }
	r.ClientGone = c.left
	s.taken.Add(1)
	s.core.Submit(r)
	var a core.Response
	select {
	case a = <-answers:
	case <-hr.Context().Done():
		s.left.Add(1)
		s.core.Abandon(r)
		panic(http.ErrAbortHandler) // nobody is there to answer: the connection ends
	}
	if c.isEnding() && !c.gone.Load() {
		s.unanswered.Add(1)
		slog.Error("a rule was broken", "rule", "closed_unanswered", "request", r.ID)
	}
	// A client that does not read by then has given up; its answer is not held for it.
	http.NewResponseController(w).SetWriteDeadline(r.Deadline.Add(writeAfter))
	s.write(w, a, c)
}

// rejection says why a request is not taken, and what would be right.
type rejection struct {
	status int
	text   string
}

// reject answers a request that is not taken and ends its connection: what else
// waits there may be its body. That is not read before the answer, as it may be
// of any size or never come. A connection that is closed with bytes unread is
// reset, and the client may lose the answer: some of the rest is read after it.
func reject(w http.ResponseWriter, hr *http.Request, why *rejection) {
	text := http.StatusText(why.status) + ": " + why.text + "\n"
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(why.status)
	io.WriteString(w, text)
	http.NewResponseController(w).Flush()
	c := hr.Context().Value(connKey{}).(*clientConn)
	c.CloseWrite()
	c.cutShort(lingerIn)
	io.CopyN(io.Discard, hr.Body, http1.MaxRequestBodyBytes)
}

// framing rejects a request whose length is not certain: see http1.Framing. None
// of it may go on.
func framing(hr *http.Request, certain bool) *rejection {
	switch {
	case !hr.ProtoAtLeast(1, 1): // there net/http drops a Transfer-Encoding in silence
		return &rejection{http.StatusHTTPVersionNotSupported, "version 1.1 is spoken here"}
	case len(hr.TransferEncoding) > 0 && !certain:
		return &rejection{http.StatusLengthRequired, "a Content-Length or a Transfer-Encoding is needed, and not both"}
	case hr.ContentLength > http1.MaxRequestBodyBytes:
		return &rejection{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of %d bytes, %d at most", hr.ContentLength, http1.MaxRequestBodyBytes)}
	}
	return nil
}

// read takes a request in, or says why it is rejected. It reads no body before
// all else is known to be right.
func (s *Front) read(hr *http.Request, c *clientConn) (*core.Request, *rejection) {
	now := time.Now()
	arrival := c.arrival(now)
	bad := func(text string) (*core.Request, *rejection) { return nil, &rejection{http.StatusBadRequest, text} }
	h := hr.Header
	http1.RemoveHopByHopFields(h) // first of all: a field that is needed below may not go on if it is named as a hop's own
	// A target may be no path, and so cannot go on unchanged.
	if hr.Host == "" || !strings.HasPrefix(hr.URL.Path, "/") {
		return bad("a Host and a target that is a path are needed")
	}
	name, ok := single(h, "Request-Id")
	if !ok || len(name) > maxName || strings.ContainsFunc(name, unprintable) {
		return bad(fmt.Sprintf("one Request-Id is needed: 1 to %d bytes of printable ASCII without blanks, new with every try", maxName))
	}
	className, _ := single(h, "Request-Class")
	class, ok := s.classes[className]
	if !ok {
		return bad("one Request-Class is needed, by a name that the configuration has")
	}
	tenant := 0
	if len(s.tenants) > 0 {
		tenantName, _ := single(h, "Tenant")
		if tenant, ok = s.tenants[tenantName]; !ok {
			return bad("one Tenant is needed, by a name that the configuration has")
		}
	}
	timeoutText, _ := single(h, "Request-Timeout")
	timeout, ok := parseTimeout(timeoutText)
	if !ok {
		return bad("one Request-Timeout is needed: how long the client will wait, in seconds, such as 0.480")
	}
	// The method and the key follow from the class. A keyed request without its
	// key could not be recognised as a repeat.
	method := http.MethodPost
	effect := s.effects[class]
	if effect == policy.Idempotent {
		method = http.MethodGet
	}
	if hr.Method != method {
		return nil, &rejection{http.StatusMethodNotAllowed, method + " is the method of this class"}
	}
	if _, keyed := single(h, "Idempotency-Key"); keyed != (effect == policy.IdempotentByKey) || len(h["Idempotency-Key"]) > 1 {
		if effect == policy.IdempotentByKey {
			return bad("one Idempotency-Key is needed: without it a repeat could not be told from a new request")
		}
		return bad("requests of this class have no Idempotency-Key")
	}
	if effect == policy.Idempotent && hr.ContentLength > 0 {
		return bad("requests of a class that is safe to repeat have no body")
	}
	if s.core.HasRequest(name) {
		return nil, &rejection{http.StatusConflict, "a request of this Request-Id is held"}
	}
	body, err := readRequestBody(hr)
	switch {
	case err != nil:
		return bad("the body was not whole in time")
	case len(body) > http1.MaxRequestBodyBytes:
		return nil, &rejection{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body of over %d bytes", http1.MaxRequestBodyBytes)}
	case effect == policy.Idempotent && len(body) > 0:
		return bad("requests of a class that is safe to repeat have no body")
	}
	return &core.Request{
		ID: name, Class: class, Tenant: tenant, ClientRetry: h.Get("Client-Retry") == "1", ExpectedWork: workHint(h),
		Deadline: arrival.Add(max(0, timeout-core.AnswerMargin)),
		Message:  core.Message{Method: method, Target: hr.URL.RequestURI(), Host: hr.Host, Fields: h, Body: body},
	}, nil
}

// single returns a header field that must be there exactly once.
func single(h http.Header, key string) (string, bool) {
	v := h[key]
	if len(v) != 1 || v[0] == "" {
		return "", false
	}
	return v[0], true
}

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

// parseTimeout reads seconds in plain decimals.
func parseTimeout(s string) (time.Duration, bool) {
	if strings.Trim(s, "0123456789.") != "" {
		return 0, false
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f > 0) || math.IsInf(f, 0) {
		return 0, false
	}
	return time.Duration(min(f, maxTimeout.Seconds()) * float64(time.Second)), true
}

// workHint reads a guess at the work, in microseconds; what is no such guess is none.
func workHint(h http.Header) time.Duration {
	us, err := strconv.ParseFloat(h.Get("Work-Hint"), 64)
	if err != nil || !(us > 0) {
		return 0
	}
	return time.Duration(min(us, float64(maxTimeout.Microseconds())) * float64(time.Microsecond))
}

// readRequestBody reads a body, or one byte more than it may have.
func readRequestBody(hr *http.Request) ([]byte, error) {
	switch {
	case hr.ContentLength == 0:
		return nil, nil
	case hr.ContentLength < 0: // in chunks
		return io.ReadAll(io.LimitReader(hr.Body, http1.MaxRequestBodyBytes+1))
	}
	return http1.ReadExactly(hr.Body, hr.ContentLength)
}

// statuses are those of the verdicts. 429 and 503 stand for a refusal alone.
var statuses = [...]int{
	core.Served:    http.StatusOK,
	core.Rejected:  http.StatusServiceUnavailable,
	core.Failed:    http.StatusBadGateway,
	core.TimedOut:  http.StatusGatewayTimeout,
	core.Duplicate: http.StatusConflict,
}

// write writes an answer.
func (s *Front) write(w http.ResponseWriter, a core.Response, c *clientConn) {
	h := w.Header()
	if a.Fields != nil {
		http1.RemoveHopByHopFields(a.Fields)
		delete(a.Fields, "Server-Load")
		for name, v := range a.Fields {
			h[name] = v
		}
		if _, ok := h["Content-Type"]; !ok {
			h["Content-Type"] = nil // not guessed from the body
		}
	}
	if a.RetryAfter > 0 {
		h.Set("Retry-After", http1.FormatSeconds(a.RetryAfter))
	}
	if c.flooded.Load() || s.listener.isDraining() {
		h.Set("Connection", "close")
	}
	if a.Detail != "" {
		h.Set("Content-Type", "text/plain; charset=utf-8")
		a.Body = []byte(a.Detail + "\n")
	}
	if a.DelimitedByClose {
		h.Set("Connection", "close")
		h.Set("Transfer-Encoding", "identity") // net/http names no length then, and sends no such field
	} else {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(statuses[a.Result])
	_, err := w.Write(a.Body)
	if a.DelimitedByClose && errors.Join(err, http.NewResponseController(w).Flush()) != nil {
		c.reset() // an orderly end would make a whole answer of a part
	}
}
