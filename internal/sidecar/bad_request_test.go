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

// badCalls are requests in good HTTP whose header or body is wrong.
var badCalls = map[string]peertest.Call{
	"no id":           {Class: "once", Header: http.Header{"Request-Id": nil}},
	"two ids":         {Class: "once", Header: http.Header{"Request-Id": {"a", "b"}}},
	"empty id":        {Class: "once", Header: http.Header{"Request-Id": {""}}},
	"id for one hop":  {Class: "once", Header: http.Header{"Connection": {"Request-Id"}}},
	"key for one hop": {Class: "keyed", Header: http.Header{"Connection": {"idempotency-key"}}},
	"long id":         {Class: "once", ID: strings.Repeat("x", 257)},
	"id with a space": {Class: "once", ID: "a b"},
	"no class":        {Class: "once", Header: http.Header{"Request-Class": nil}},
	"unknown class":   {Class: "once", Header: http.Header{"Request-Class": {"checkout"}}},
	"two classes":     {Class: "once", Header: http.Header{"Request-Class": {"once", "keyed"}}},
	"no tenant":       {Class: "once", Header: http.Header{"Tenant": nil}},
	"unknown tenant":  {Class: "once", Header: http.Header{"Tenant": {"nobody"}}},
	"no timeout":      {Class: "once", Header: http.Header{"Request-Timeout": nil}},
	"timeout 0":       {Class: "once", Timeout: "0"},
	"negative":        {Class: "once", Timeout: "-1"},
	"no number":       {Class: "once", Timeout: "soon"},
	"infinite":        {Class: "once", Timeout: "Inf"},
	"hexadecimal":     {Class: "once", Timeout: "0x1p3"},
	"two timeouts":    {Class: "once", Header: http.Header{"Request-Timeout": {"1", "2"}}},
	"no key":          {Class: "keyed", Header: http.Header{"Idempotency-Key": nil}},
	"two keys":        {Class: "keyed", Header: http.Header{"Idempotency-Key": {"a", "b"}}},
	"key on unsafe":   {Class: "once", Header: http.Header{"Idempotency-Key": {"a"}}},
	"keys on unsafe":  {Class: "once", Header: http.Header{"Idempotency-Key": {"a", "b"}}},
	"get for unsafe":  {Class: "read", Header: http.Header{"Request-Class": {"once"}}},
	"get with a body": {Class: "read", Body: "x"},
	"body unread":     {Class: "once", Body: largestBody, Header: http.Header{"Request-Class": nil}},
	"large body":      {Class: "once", Body: largestBody + "x"},
}

const (
	readFields    = "Request-Id: q\r\nRequest-Class: read\r\nTenant: acme\r\nRequest-Timeout: 1\r\n"
	chunkedHeader = "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: q\r\nRequest-Class: once\r\nTenant: acme\r\n" +
		"Request-Timeout: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// badHTTP are texts that are no good HTTP.
var badHTTP = map[string]string{
	"no HTTP":            "hello\r\n\r\n",
	"no host":            "GET /api HTTP/1.0\r\n" + readFields + "\r\n",
	"no path":            "GET x:y HTTP/1.1\r\nHost: x\r\n" + readFields + "\r\n",
	"bad length":         "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
	"large chunked body": chunkedHeader + "10001\r\n" + strings.Repeat("x", 0x10001) + "\r\n0\r\n\r\n",
	"broken chunk":       chunkedHeader + "zz\r\n",
}

func TestBadRequestIsNotForwarded(t *testing.T) {
	upstream := newServingUpstream(t, "")
	address, _, _ := startWithUpstream(t, upstream)
	for name, call := range badCalls {
		got := call.Do(t, address)
		if got.Err != nil || got.Status < 400 || got.Status > 499 || got.Status == http.StatusTooManyRequests {
			t.Errorf("%s: got %+v, want a plain 4xx", name, got)
		}
	}
	for name, text := range badHTTP {
		client := dial(t, address)
		io.WriteString(client, text)
		response, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || response.StatusCode < 400 ||
			response.StatusCode == http.StatusServiceUnavailable || response.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: got %v, error %v, want a plain 4xx or 5xx, no rejection", name, response, err)
		}
		client.Close()
	}
	if len(upstream.Requests) > 0 {
		t.Errorf("%d requests were forwarded", len(upstream.Requests))
	}
	if got := (peertest.Call{Class: "once"}).Do(t, address); got.Status != http.StatusOK {
		t.Errorf("a good request afterwards: %+v", got)
	}
}

// Two requests under one id might run one effect twice.
func TestIDInUseIsRejected(t *testing.T) {
	upstream := newGatedUpstream(t)
	address, _, _ := startWithUpstream(t, upstream.Upstream)
	first := peertest.Call{Class: "once"}.Start(t, address)
	peertest.Await(t, "the first", upstream.Requests)
	if got := (peertest.Call{Class: "once"}).Do(t, address); got.Status != http.StatusConflict {
		t.Errorf("the second: %+v, want 409", got)
	}
	close(upstream.responses)
	if got := peertest.Await(t, "the first's answer", first); got.Status != http.StatusOK || len(upstream.Requests) > 0 {
		t.Errorf("the first: %+v, %d more attempts", got, len(upstream.Requests))
	}
}

// The body of a request that is rejected for its header is not waited for, and
// neither is one under an id that is in use.
func TestRejectedHeaderNeedsNoBody(t *testing.T) {
	upstream := newGatedUpstream(t)
	address, _, _ := startWithUpstream(t, upstream.Upstream)
	first := peertest.Call{Class: "once", ID: "held"}.Start(t, address)
	peertest.Await(t, "the first", upstream.Requests)
	for status, text := range map[int]string{
		http.StatusBadRequest:            unknownClassHeader("a") + "Content-Length: 10\r\n\r\n",
		http.StatusConflict:              postHeader("held") + "Content-Length: 10\r\n\r\n",
		http.StatusRequestEntityTooLarge: postHeader("a") + "Content-Length: 3000000000\r\n\r\n",
	} {
		if got := exchange(t, address, text); !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", status)) {
			t.Errorf("got %q, want %d", got, status)
		}
	}
	close(upstream.responses)
	if got := peertest.Await(t, "the first's answer", first); got.Status != http.StatusOK {
		t.Errorf("the first: %+v", got)
	}
}
