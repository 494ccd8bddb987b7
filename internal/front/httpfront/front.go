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
	"time"

	"mothridge/internal/core"
	"mothridge/internal/http1"
	"mothridge/policy"
)

const (
	maxTimeout = time.Hour
	maxName    = 256 // bytes of a Request-Id
	maxHeader  = 16 << 10

	// Connections are few, and a client is owed a word within 3 s of connecting.
	readHeaderIn = 2 * time.Second
	requestIn    = 2500 * time.Millisecond // header and body
	idleClient   = 2 * time.Second         // between requests; clients need those back that they leave idle
	writeAfter   = time.Second             // the time at which the client gives up
	lingerIn     = 250 * time.Millisecond  // for the rest of a body that is not taken
)

// Core takes the requests.
type Core interface {
	Submit(*core.Request)
	Abandon(*core.Request)
	Holds(id string) bool
	Ready() bool
}

// Config is what a Front keeps to.
type Config struct {
	Classes     []string // names by number
	Effects     []policy.Effect
	Tenants     []string // empty: there is one, and requests need not name it
	Connections int      // the most that are open at once
}

// Front is the HTTP/1.1 side towards the application.
type Front struct {
	core     Core
	effects  []policy.Effect
	classes  map[string]int
	tenants  map[string]int
	listener *limitedListener
	server   *http.Server
}

// New makes a Front on a listener; Serve starts it.
func New(c Config, k Core, ln net.Listener) *Front {
	s := &Front{
		core: k, effects: c.Effects, classes: core.Numbers(c.Classes), tenants: core.Numbers(c.Tenants),
		listener: limitListener(ln, c.Connections),
	}
	// There is no ReadTimeout: that would also end the watch for clients that
	// leave, as if they had left.
	s.server = &http.Server{
		Handler:           s,
		ConnState:         s.listener.track,
		ConnContext:       withConn,
		ReadHeaderTimeout: readHeaderIn,
		IdleTimeout:       idleClient,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	return s
}

// Serve serves until Shutdown or an error.
func (s *Front) Serve() error { return s.server.Serve(s.listener) }

// Drain closes the idle connections, and from now on tells clients with each
// answer to close; new connections are still taken.
func (s *Front) Drain() { s.listener.drain() }

// Shutdown closes the listener and waits until all that was taken is answered,
// or ctx ends.
func (s *Front) Shutdown(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}

func (s *Front) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if status := framing(hr); status != 0 {
		reject(w, hr, status)
		return
	}
	if hr.URL.Path == "/health/ready" {
		status := http.StatusOK
		if !s.core.Ready() || s.listener.isDraining() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	c := hr.Context().Value(connKey{}).(*clientConn)
	c.requests++
	answers := make(chan core.Answer, 1) // never blocks the core
	r, status := s.read(w, hr, c)
	if r == nil {
		reject(w, hr, status)
		return
	}
	if !c.take() {
		panic(http.ErrAbortHandler) // it was closed as idle: the client sends the request once more
	}
	r.Reply = func(a core.Answer) { answers <- a }
	s.core.Submit(r)
	var a core.Answer
	select {
	case a = <-answers:
	case <-hr.Context().Done():
		s.core.Abandon(r)
		panic(http.ErrAbortHandler) // nobody is there to answer: the connection ends
	}
	// A client that does not read by then has given up; its answer is not held for it.
	http.NewResponseController(w).SetWriteDeadline(r.Until.Add(writeAfter))
	s.write(w, a)
}

// reject answers a request that is not taken and ends its connection: what else
// waits there may be its body. That is not read before the answer, as it may be
// of any size or never come. A connection that is closed with bytes unread is
// reset, and the client may lose the answer: some of the rest is read after it.
func reject(w http.ResponseWriter, hr *http.Request, status int) {
	text := http.StatusText(status)
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	io.WriteString(w, text)
	rc := http.NewResponseController(w)
	rc.Flush()
	rc.SetReadDeadline(time.Now().Add(lingerIn))
	io.CopyN(io.Discard, hr.Body, http1.MaxBody)
}

// framing names the status for a request whose length is not certain, or 0.
// net/http drops the Content-Length beside a Transfer-Encoding: two readers of
// such a request may see it end in two places, and what stands between them in
// one's body is the other's next request. None of it may go on.
func framing(hr *http.Request) int {
	switch {
	case !hr.ProtoAtLeast(1, 1): // there net/http drops a Transfer-Encoding in silence
		return http.StatusHTTPVersionNotSupported
	case len(hr.TransferEncoding) > 0:
		return http.StatusLengthRequired
	case hr.ContentLength > http1.MaxBody:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// read takes a request in, or names the status that it is rejected with. It
// reads no body before all else is known to be right.
func (s *Front) read(w http.ResponseWriter, hr *http.Request, c *clientConn) (*core.Request, int) {
	const bad = http.StatusBadRequest
	arrival := time.Now()
	h := hr.Header
	http1.DropHopByHop(h) // first of all: a field that is needed below may not go on if it is named as a hop's own
	name, ok1 := single(h, "Request-Id")
	className, ok2 := single(h, "Request-Class")
	timeoutText, ok3 := single(h, "Request-Timeout")
	class, ok4 := s.classes[className]
	// A target may be no path, and so cannot go on unchanged.
	if hr.Host == "" || !strings.HasPrefix(hr.URL.Path, "/") {
		return nil, bad
	}
	if !ok1 || !ok2 || !ok3 || !ok4 || len(name) > maxName || strings.ContainsFunc(name, unprintable) {
		return nil, bad
	}
	tenant := 0
	if len(s.tenants) > 0 {
		tenantName, ok := single(h, "Tenant")
		if tenant, ok = s.tenants[tenantName]; !ok {
			return nil, bad
		}
	}
	timeout, ok := parseTimeout(timeoutText)
	if !ok {
		return nil, bad
	}
	// The method and the key follow from the class. A keyed request without its
	// key could not be recognised as a repeat.
	method := http.MethodPost
	effect := s.effects[class]
	if effect == policy.Safe {
		method = http.MethodGet
	}
	if hr.Method != method {
		return nil, http.StatusMethodNotAllowed
	}
	if _, keyed := single(h, "Idempotency-Key"); keyed != (effect == policy.Keyed) || len(h["Idempotency-Key"]) > 1 {
		return nil, bad
	}
	if effect == policy.Safe && hr.ContentLength > 0 {
		return nil, bad
	}
	if s.core.Holds(name) {
		return nil, http.StatusConflict
	}
	body, err := readRequestBody(w, hr, c.bodyBy(arrival))
	if err != nil {
		return nil, bad
	}
	return &core.Request{
		ID: name, Class: class, Tenant: tenant, Repeat: h.Get("Client-Retry") == "1", Work: workHint(h),
		Until:   arrival.Add(max(0, timeout-core.AnswerMargin)),
		Message: core.Message{Method: method, Target: hr.URL.RequestURI(), Host: hr.Host, Fields: h, Body: body},
	}, 0
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

// readRequestBody reads a body of a known length.
func readRequestBody(w http.ResponseWriter, hr *http.Request, by time.Time) ([]byte, error) {
	if hr.ContentLength == 0 {
		return nil, nil
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(by)
	body, err := http1.ReadExactly(hr.Body, hr.ContentLength)
	if err != nil {
		return nil, err
	}
	rc.SetReadDeadline(time.Time{})
	return body, nil
}

// statuses are those of the verdicts. 429 and 503 stand for a refusal alone.
var statuses = [...]int{
	core.Served:    http.StatusOK,
	core.Refused:   http.StatusServiceUnavailable,
	core.Failed:    http.StatusBadGateway,
	core.TimedOut:  http.StatusGatewayTimeout,
	core.Duplicate: http.StatusConflict,
}

func (s *Front) write(w http.ResponseWriter, a core.Answer) {
	h := w.Header()
	if a.Fields != nil {
		http1.DropHopByHop(a.Fields)
		delete(a.Fields, "Server-Load")
		for name, v := range a.Fields {
			h[name] = v
		}
		if _, ok := h["Content-Type"]; !ok {
			h["Content-Type"] = nil // not guessed from the body
		}
	}
	if a.Pause > 0 {
		h.Set("Retry-After", http1.Seconds(a.Pause))
	}
	if s.listener.isDraining() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(statuses[a.Verdict])
	w.Write(a.Body)
}
