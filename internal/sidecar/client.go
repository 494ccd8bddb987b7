package sidecar

import (
	"io"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mothridge/policy"
)

const (
	// answerMargin is kept to the moment a client gives up, which counts from
	// when it sent the request and not from when this process came to read it.
	answerMargin = 5 * time.Millisecond
	maxTimeout   = time.Hour
	maxName      = 256 // bytes of a Request-Id
	maxHeader    = 16 << 10

	// Connections are few, and a client is owed a word within 3 s of connecting.
	readHeaderIn = 2 * time.Second
	requestIn    = 2500 * time.Millisecond // header and body
	idleClient   = 2 * time.Second         // between requests; clients need those back that they leave idle
	writeAfter   = time.Second             // the time at which the client gives up
	lingerIn     = 250 * time.Millisecond  // for the rest of a body that is not taken
)

// clients is the side towards the application.
type clients struct {
	loop     *loop
	classes  map[string]int
	tenants  map[string]int
	draining func() bool
}

func newClients(c *Config, l *loop, draining func() bool) *clients {
	s := &clients{loop: l, classes: make(map[string]int), tenants: make(map[string]int), draining: draining}
	for i, name := range c.Classes {
		s.classes[name] = i
	}
	for i, name := range c.Tenants {
		s.tenants[name] = i
	}
	return s
}

func (s *clients) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if status := framing(hr); status != 0 {
		reject(w, hr, status)
		return
	}
	if hr.URL.Path == "/health/ready" {
		status := http.StatusOK
		if !s.loop.ready.Load() || s.draining() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	c := hr.Context().Value(connKey{}).(*clientConn)
	c.requests++
	r, status := s.read(w, hr, c)
	if r == nil {
		reject(w, hr, status)
		return
	}
	if !c.take() {
		panic(http.ErrAbortHandler) // it was closed as idle: the client sends the request once more
	}
	s.loop.events <- arrived{r}
	var a answer
	select {
	case a = <-r.answer:
	case <-hr.Context().Done():
		s.loop.events <- left{r}
		panic(http.ErrAbortHandler) // nobody is there to answer: the connection ends
	}
	// A client that does not read by then has given up; its answer is not held for it.
	http.NewResponseController(w).SetWriteDeadline(r.until.Add(writeAfter))
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
	io.CopyN(io.Discard, hr.Body, maxBody)
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
	case hr.ContentLength > maxBody:
		return http.StatusRequestEntityTooLarge
	}
	return 0
}

// read takes a request in, or names the status that it is rejected with. It
// reads no body before all else is known to be right.
func (s *clients) read(w http.ResponseWriter, hr *http.Request, c *clientConn) (*request, int) {
	const bad = http.StatusBadRequest
	arrival := time.Now()
	h := hr.Header
	hopByHop(h) // first of all: a field that is needed below may not go on if it is named as a hop's own
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
	effect := s.loop.config.Policy.Classes[class].Effect
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
	if s.loop.names.has(name) {
		return nil, http.StatusConflict
	}
	body, err := readRequestBody(w, hr, c.bodyBy(arrival))
	if err != nil {
		return nil, bad
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = []string{""} // none of our own either
	}
	return &request{
		name: name, class: class, tenant: tenant, repeat: h.Get("Client-Retry") == "1", work: workHint(h),
		until:  arrival.Add(max(0, timeout-answerMargin)),
		method: method, url: hr.URL, host: hr.Host, header: h, body: body,
		answer: make(chan answer, 1),
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
	body, err := readExactly(hr.Body, hr.ContentLength)
	if err != nil {
		return nil, err
	}
	rc.SetReadDeadline(time.Time{})
	return body, nil
}

// hopByHop takes the fields out of a header that concern one connection only.
func hopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Expect",
	} {
		delete(h, name)
	}
}

func (s *clients) write(w http.ResponseWriter, a answer) {
	h := w.Header()
	if a.header != nil {
		hopByHop(a.header)
		delete(a.header, "Server-Load")
		for name, v := range a.header {
			h[name] = v
		}
		if _, ok := h["Content-Type"]; !ok {
			h["Content-Type"] = nil // not guessed from the body
		}
	}
	if a.pause > 0 {
		h.Set("Retry-After", seconds(a.pause))
	}
	if s.draining() {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	w.Write(a.body)
}

// server makes the HTTP server of the client side. It has no ReadTimeout: that
// would also end the watch for clients that leave, as if they had left.
func (s *clients) server(l *limitedListener) *http.Server {
	return &http.Server{
		Handler:           s,
		ConnState:         l.track,
		ConnContext:       withConn,
		ReadHeaderTimeout: readHeaderIn,
		IdleTimeout:       idleClient,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
}
