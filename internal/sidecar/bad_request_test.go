package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"mothridge/internal/http1"
	"mothridge/internal/peers/peertest"
)

var largestBody = strings.Repeat("x", http1.MaxRequestBodyBytes)

// badCalls are requests in valid HTTP with an invalid header or body.
var badCalls = map[string]peertest.Call{
	"no id":                            {Class: "once", Header: http.Header{"Request-Id": nil}},
	"two ids":                          {Class: "once", Header: http.Header{"Request-Id": {"a", "b"}}},
	"empty id":                         {Class: "once", Header: http.Header{"Request-Id": {""}}},
	"hop-by-hop id":                    {Class: "once", Header: http.Header{"Connection": {"Request-Id"}}},
	"hop-by-hop key":                   {Class: "keyed", Header: http.Header{"Connection": {"idempotency-key"}}},
	"long id":                          {Class: "once", ID: strings.Repeat("x", 257)},
	"id with a space":                  {Class: "once", ID: "a b"},
	"no class":                         {Class: "once", Header: http.Header{"Request-Class": nil}},
	"unknown class":                    {Class: "once", Header: http.Header{"Request-Class": {"checkout"}}},
	"two classes":                      {Class: "once", Header: http.Header{"Request-Class": {"once", "keyed"}}},
	"no tenant":                        {Class: "once", Header: http.Header{"Tenant": nil}},
	"unknown tenant":                   {Class: "once", Header: http.Header{"Tenant": {"nobody"}}},
	"no timeout":                       {Class: "once", Header: http.Header{"Request-Timeout": nil}},
	"timeout 0":                        {Class: "once", Timeout: "0"},
	"negative":                         {Class: "once", Timeout: "-1"},
	"not a number":                     {Class: "once", Timeout: "soon"},
	"infinite":                         {Class: "once", Timeout: "Inf"},
	"hexadecimal":                      {Class: "once", Timeout: "0x1p3"},
	"two timeouts":                     {Class: "once", Header: http.Header{"Request-Timeout": {"1", "2"}}},
	"no key":                           {Class: "keyed", Header: http.Header{"Idempotency-Key": nil}},
	"two keys":                         {Class: "keyed", Header: http.Header{"Idempotency-Key": {"a", "b"}}},
	"key for an unsafe class":          {Class: "once", Header: http.Header{"Idempotency-Key": {"a"}}},
	"two keys for an unsafe class":     {Class: "once", Header: http.Header{"Idempotency-Key": {"a", "b"}}},
	"empty key for an unsafe class":    {Class: "once", Header: http.Header{"Idempotency-Key": {""}}},
	"empty key for a keyed class":      {Class: "keyed", Header: http.Header{"Idempotency-Key": {""}}},
	"GET for an unsafe class":          {Class: "read", Header: http.Header{"Request-Class": {"once"}}},
	"GET with a body":                  {Class: "read", Body: "x"},
	"rejected before the body is read": {Class: "once", Body: largestBody, Header: http.Header{"Request-Class": nil}},
	"body above the limit":             {Class: "once", Body: largestBody + "x"},
}

const (
	readFields    = "Request-Id: q\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout: 1\r\n"
	chunkedHeader = "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\nRequest-Class: once\r\nTenant: acme\r\n" +
		"Request-Timeout: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// badHTTP are texts that are not valid HTTP.
var badHTTP = map[string]string{
	"no HTTP":                      "hello\r\n\r\n",
	"no host":                      "GET /api HTTP/1.0\r\n" + readFields + "\r\n",
	"no path":                      "GET x:y HTTP/1.1\r\nHost: x\r\n" + readFields + "\r\n",
	"bad length":                   "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
	"chunked body above the limit": chunkedHeader + "10001\r\n" + strings.Repeat("x", 0x10001) + "\r\n0\r\n\r\n",
	"broken chunk":                 chunkedHeader + "zz\r\n",
}

// An invalid request must get an error response and must not reach an upstream. The error must not
// be 429 or 503, which promise that a retry is harmless.
func TestBadRequestIsNotForwarded(t *testing.T) {
	upstream := newServingUpstream(t, "")
	address, _, _ := startWithUpstream(t, upstream)
	for name, call := range badCalls {
		got := call.Do(t, address)
		if got.Err != nil || got.Status < 400 || got.Status > 499 || got.Status == http.StatusTooManyRequests {
			t.Errorf("%s: got %+v, want 4xx other than 429", name, got)
		}
	}
	for name, text := range badHTTP {
		client := dial(t, address)
		io.WriteString(client, text)
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || response.StatusCode < 400 ||
			response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: got %v, error %v, want 4xx or 5xx other than 429 and 503", name, response, err)
		}
		client.Close()
	}
	if len(upstream.Requests) > 0 {
		t.Errorf("got %d forwarded requests, want none", len(upstream.Requests))
	}
	if got := (peertest.Call{Class: "once"}).Do(t, address); got.Status != http.StatusOK {
		t.Errorf("valid request afterwards: got %+v, want 200", got)
	}
}

// Two concurrent requests with the same id might run the same effect twice. The second must be
// rejected with 409.
func TestIDInUseIsRejected(t *testing.T) {
	upstream := newGatedUpstream(t)
	address, _, _ := startWithUpstream(t, upstream.RawUpstream)
	first := peertest.Call{Class: "once"}.Start(t, address)
	peertest.Await(t, "the first request", upstream.Requests)
	if got := (peertest.Call{Class: "once"}).Do(t, address); got.Status != http.StatusConflict {
		t.Errorf("second request: got %+v, want 409", got)
	}
	close(upstream.responses)
	if got := peertest.Await(t, "the response to the first request", first); got.Status != http.StatusOK || len(upstream.Requests) > 0 {
		t.Errorf("first request: got %+v and %d more attempts, want 200 and none", got, len(upstream.Requests))
	}
}

// A request that is rejected for its header, or because its id is in use, must get its response
// before its body arrives: the client may wait for the response before it sends the body.
func TestRejectedHeaderNeedsNoBody(t *testing.T) {
	upstream := newGatedUpstream(t)
	address, _, _ := startWithUpstream(t, upstream.RawUpstream)
	first := peertest.Call{Class: "once", ID: "held"}.Start(t, address)
	peertest.Await(t, "the first request", upstream.Requests)
	for status, text := range map[int]string{
		http.StatusBadRequest:            unknownClassHeader("a") + "Content-Length: 10\r\n\r\n",
		http.StatusConflict:              postHeader("held") + "Content-Length: 10\r\n\r\n",
		http.StatusRequestEntityTooLarge: postHeader("a") + "Content-Length: 3000000000\r\n\r\n",
	} {
		if got := exchange(t, address, text); !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", status)) {
			t.Errorf("got response %q, want status %d", got, status)
		}
	}
	close(upstream.responses)
	if got := peertest.Await(t, "the response to the first request", first); got.Status != http.StatusOK {
		t.Errorf("first request: got %+v, want 200", got)
	}
}
