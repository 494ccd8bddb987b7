package peertest

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Call is a client's request. Zero values but of Class stand for the defaults below.
type Call struct {
	Class   string // read, keyed or once
	Timeout string // seconds; default 4.5
	ID      string // default: the test's name
	Body    string
	Header  http.Header // replaces the other fields; a nil value removes a field
}

// methodOfClass is the HTTP method of a request by its class.
var methodOfClass = map[string]string{
	"read":  http.MethodGet,
	"keyed": http.MethodPost,
	"once":  http.MethodPost,
}

const (
	callPath       = "/api/a%2Fb?q=1&r=%20"
	defaultTimeout = "4.5" // seconds
	idempotencyKey = "5c0f6e1a"
)

// Request returns the call as a request to an address.
func (c Call) Request(t testing.TB, addr string) *http.Request {
	t.Helper()
	url := "http://" + addr + callPath
	body := strings.NewReader(c.Body)
	request, err := http.NewRequestWithContext(context.Background(), methodOfClass[c.Class], url, body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header = c.header(t)
	return request
}

func (c Call) header(t testing.TB) http.Header {
	if c.Timeout == "" {
		c.Timeout = defaultTimeout
	}
	if c.ID == "" {
		c.ID = t.Name()
	}
	header := http.Header{
		"Request-Id":      {c.ID},
		"Request-Class":   {c.Class},
		"Tenant":          {"acme"},
		"Request-Timeout": {c.Timeout},
	}
	if c.Class == "keyed" {
		header.Set("Idempotency-Key", idempotencyKey)
	}
	for name, values := range c.Header {
		if values == nil {
			delete(header, name)
			continue
		}
		header[name] = values
	}
	return header
}

// Result is what a client got for a request.
type Result struct {
	Status int
	Header http.Header
	Body   string // as far as it came
	Err    error  // no response, or not to its end
}

// Do sends the call on a connection of its own and blocks until its response.
func (c Call) Do(t testing.TB, addr string) Result {
	t.Helper()
	return RoundTrip(c.Request(t, addr))
}

// Start sends the call on a connection of its own; the channel gets its result.
func (c Call) Start(t testing.TB, addr string) <-chan Result {
	t.Helper()
	request := c.Request(t, addr)
	done := make(chan Result, 1)
	go func() { done <- RoundTrip(request) }()
	return done
}

// RoundTrip sends a request on a connection of its own and blocks until its response.
func RoundTrip(request *http.Request) Result {
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Result{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Result{response.StatusCode, response.Header, string(body), err}
}
