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
	readBodyIn   = 5 * time.Second
	readHeaderIn = 10 * time.Second
	idleClient   = 2 * time.Minute
	maxHeader    = 16 << 10
	maxDiscard   = 1 << 20 // of a body that is not taken
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
	if hr.URL.Path == "/health/ready" {
		status := http.StatusOK
		if !s.loop.ready.Load() || s.draining() {
			status = http.StatusServiceUnavailable
		}
		w.WriteHeader(status)
		return
	}
	r, status := s.read(w, hr)
	if r == nil {
		reject(w, hr, status)
		return
	}
	if c, ok := hr.Context().Value(connKey{}).(*clientConn); !ok || !c.take() {
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
	s.write(w, a)
}

// reject answers a request that is not taken. A connection that is closed with
// bytes unread is reset, and the client may lose the answer; what has not been
// read of the body is read first, as long as it is not far too large.
func reject(w http.ResponseWriter, hr *http.Request, status int) {
	http.NewResponseController(w).SetReadDeadline(time.Now().Add(readBodyIn))
	io.CopyN(io.Discard, hr.Body, maxDiscard)
	http.Error(w, http.StatusText(status), status)
}

// read takes a request in, or names the 4xx status that it gets.
func (s *clients) read(w http.ResponseWriter, hr *http.Request) (*request, int) {
	const bad = http.StatusBadRequest
	arrival := time.Now()
	h := hr.Header
	hopByHop(h) // first of all: a field that is needed below may not go on if it is named as a hop's own
	name, ok1 := single(h, "Request-Id")
	className, ok2 := single(h, "Request-Class")
	timeoutText, ok3 := single(h, "Request-Timeout")
	class, ok4 := s.classes[className]
	// HTTP/1.0 may come without a host, and a target may be no path: neither can go on unchanged.
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
	body, status := readRequestBody(w, hr)
	if status != 0 {
		return nil, status
	}
	if effect == policy.Safe && len(body) > 0 {
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

// readRequestBody reads a body of up to 64 KiB, or names the status to answer.
// A client that stops in the middle of one does not hold its connection for ever.
func readRequestBody(w http.ResponseWriter, hr *http.Request) ([]byte, int) {
	if hr.ContentLength == 0 {
		return nil, 0
	}
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(readBodyIn))
	var body []byte
	var err error
	if n := hr.ContentLength; n >= 0 && n <= maxBody {
		body = make([]byte, n)
		_, err = io.ReadFull(hr.Body, body)
	} else if n < 0 {
		body, err = io.ReadAll(io.LimitReader(hr.Body, maxBody+1))
	}
	if err != nil {
		return nil, http.StatusBadRequest
	}
	if hr.ContentLength > maxBody || len(body) > maxBody {
		return nil, http.StatusRequestEntityTooLarge
	}
	rc.SetReadDeadline(time.Time{})
	return body, 0
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
