package stand

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Request is a request of an application.
type Request struct {
	ID, Class, Tenant, Key string
	Timeout                time.Duration
	Body                   string
}

// Answer is what a client saw.
type Answer struct {
	Status     int // 0: none
	Body       []byte
	RetryAfter time.Duration
	Took       time.Duration
	Err        error
}

// Client sends requests of one application over HTTP/1.1, one at a time on a connection, and keeps its
// connections.
type Client struct{ http http.Client }

// NewClient returns a client of a sidecar.
func NewClient() *Client {
	return &Client{http: http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Second, DisableCompression: true,
		DialContext: (&net.Dialer{KeepAlive: -1}).DialContext,
	}}}
}

// Do sends a request to a sidecar. It waits for 0.5 s longer than the request's time.
func (c *Client) Do(addr string, r Request) Answer {
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/api", strings.NewReader(r.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.GetBody = nil // the client itself sends nothing twice
	request.Header.Set("Request-Id", r.ID)
	request.Header.Set("Request-Class", r.Class)
	request.Header.Set("Tenant", r.Tenant)
	request.Header.Set("Request-Timeout", fmt.Sprintf("%.3f", r.Timeout.Seconds()))
	if r.Key != "" {
		request.Header.Set("Idempotency-Key", r.Key)
	}
	client := c.http
	client.Timeout = r.Timeout + 500*time.Millisecond
	response, err := client.Do(request)
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer := Answer{Status: response.StatusCode, Body: bytes.TrimSpace(body), Err: err, Took: time.Since(began)}
	var seconds float64
	if _, err := fmt.Sscanf(response.Header.Get("Retry-After"), "%g", &seconds); err == nil {
		answer.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return answer
}

var lastID atomic.Uint64

// NewID returns a new request id.
func NewID(prefix string) string { return fmt.Sprintf("%s-%06d", prefix, lastID.Add(1)) }
