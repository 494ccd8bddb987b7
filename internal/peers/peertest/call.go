package peertest

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Call is a client's request. Zero values of all fields except Class stand for defaults.
type Call struct {
	Class   string // read, keyed or once
	Timeout string // seconds; default 4.5
	ID      string // default: the test's name
	Body    string
	Header  http.Header // replaces the header fields set by the other fields; a nil value removes a header field
}

// methodOfClass contains the HTTP method for requests of each class.
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

// Request returns the call as an HTTP request to an address.
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

// header returns the header fields of the call.
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

// Result is what a client received for a request.
type Result struct {
	Status int
	Header http.Header
	Body   string // the part of the body that was received
	Err    error  // set if no complete response was received
}

// Do sends the call on a new connection and blocks until the response arrives.
func (c Call) Do(t testing.TB, addr string) Result {
	t.Helper()
	return RoundTrip(c.Request(t, addr))
}

// Start sends the call on a new connection, in a goroutine. The result is sent to the channel.
func (c Call) Start(t testing.TB, addr string) <-chan Result {
	t.Helper()
	request := c.Request(t, addr)
	done := make(chan Result, 1)
	go func() { done <- RoundTrip(request) }()
	return done
}

// RoundTrip sends a request on a new connection and blocks until the response arrives.
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
