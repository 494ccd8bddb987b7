package sidecar

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"mothridge/internal/peers/peertest"
)

// ambiguousRequests returns requests with a hidden request inside or after them. Either the length of
// the outer request is ambiguous or invalid, or the outer request is rejected.
func ambiguousRequests(hidden string) map[string]string {
	const (
		twoFramings = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
		lastChunk   = "0\r\n\r\n"
		health      = "GET /health/ready HTTP/1.1\r\nHost: x\r\n"
	)
	good, rejected := postHeader("a"), unknownClassHeader("a")
	oldVersion := strings.Replace(good, "1.1", "1.0", 1)
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	return map[string]string{
		"after the chunks":                  good + twoFramings + lastChunk + hidden,
		"inside the chunks":                 good + twoFramings + chunk,
		"broken chunks":                     good + chunked + "zz\r\n" + hidden,
		"length after the encoding":         good + "Transfer-Encoding: chunked\r\ncontent-LENGTH: 5\r\n\r\n" + lastChunk + hidden,
		"a list of encodings":               good + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunk,
		"two encodings":                     good + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n" + chunk,
		"HTTP/1.0":                          oldVersion + "Transfer-Encoding: chunked\r\nConnection: keep-alive\r\n\r\n" + chunk,
		"a health check":                    health + twoFramings + lastChunk + hidden,
		"OPTIONS for all servers":           "OPTIONS * HTTP/1.1\r\nHost: x\r\n" + twoFramings + lastChunk + hidden,
		"two lengths":                       good + "Content-Length: 0\r\nContent-Length: 5\r\n\r\n" + hidden,
		"a list of lengths":                 good + "Content-Length: 0, 0\r\n\r\n" + hidden,
		"a signed length":                   good + "Content-Length: +0\r\n\r\n" + hidden,
		"a negative length":                 good + "Content-Length: -1\r\n\r\n" + hidden,
		"empty length":                      good + "Content-Length:\r\n\r\n" + hidden,
		"a huge length":                     good + "Content-Length: 99999999999999999999\r\n\r\n" + hidden,
		"after a rejected request":          rejected + noBody + hidden,
		"as the body of a rejected request": rejected + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden,
	}
}

// Request smuggling: if the length of a request is ambiguous, bytes inside or after it could be taken
// for another request. The sidecar must send one error, close the connection and forward nothing.
func TestHiddenRequestIsNotServed(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	for name, text := range ambiguousRequests(postHeader("hidden") + noBody) {
		got := exchange(t, address, text)
		if strings.Count(got, "HTTP/1.") != 1 || got[len("HTTP/1.1 ")] == '2' {
			t.Errorf("%s: got %q, want one error and the close of the connection", name, got)
		}
	}
	if len(upstream.Requests) > 0 {
		t.Errorf("got %d forwarded requests, want none", len(upstream.Requests))
	}
}

// Guards against a request with two lengths that passes because an earlier request on its connection misled the check: a
// folded line of a header field is a part of that field's value, whatever it looks like.
func TestFoldedLineDoesNotHideTwoLengths(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	twoLengths := postHeader("second") + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, folded := range map[string]string{
		"length":   fmt.Sprintf("X-Note: a\r\n Content-Length: %d\r\n", len(twoLengths)),
		"tab":      fmt.Sprintf("X-Note: a\r\n\tcontent-length:%d\r\n", len(twoLengths)),
		"encoding": "X-Note: a\r\n Transfer-Encoding: chunked\r\n",
	} {
		first := strings.Replace(postHeader("first"), "POST", "GET", 1)
		first = strings.Replace(first, "once", "read", 1) + folded + "\r\n"
		got := exchange(t, address, first+twoLengths+"0\r\n\r\n")
		if strings.Count(got, "HTTP/1.1 200 ") != 1 || !strings.Contains(got, "HTTP/1.1 411 ") {
			t.Errorf("%s: got %q, want 200 for the first request and 411 for the second", name, got)
		}
		if received := peertest.Await(t, "the first request", upstream.Requests); received.Header.Get("Request-Id") != "first" {
			t.Errorf("%s: upstream got header %v, want the first request", name, received.Header)
		}
		if len(upstream.Requests) > 0 {
			t.Fatalf("%s: the request with two lengths was forwarded", name)
		}
	}
}

// A body with chunked encoding as its only framing has an unambiguous length. Bytes in the body that
// look like a request are part of the body, and bytes after the body are the next request.
func TestChunkedBody(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	inner := postHeader("inner") + noBody
	client := dial(t, address)
	for i, c := range []struct{ chunks, body string }{
		{"0\r\n\r\n", ""},
		{"0\r\nX-Sum: 1\r\n\r\n", ""},
		{fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner), inner},
		{fmt.Sprintf("%X;a=b\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 7, inner[:7], len(inner)-7, inner[7:]), inner},
	} {
		text := postHeader(fmt.Sprint("chunks", i)) + chunked + c.chunks
		want := []string{c.body}
		if i%2 == 1 { // byte by byte, on the kept-alive connection
			writeByteByByte(client, text)
		} else {
			want = append(want, "hi")
			io.WriteString(client, text+postHeader(fmt.Sprint("next", i))+"Content-Length: 2\r\n\r\nhi")
		}
		for _, body := range want {
			if status, last := client.readResponse(); status != http.StatusOK || last {
				t.Fatalf("chunks %d: got status %d, last %v; want 200 and an open connection", i, status, last)
			}
			received := peertest.Await(t, "the request", upstream.Requests)
			if received.BodyText != body || len(received.TransferEncoding) > 0 || received.ContentLength != int64(len(body)) {
				t.Errorf("chunks %d: upstream got body %q, %d bytes, encodings %v",
					i, received.BodyText, received.ContentLength, received.TransferEncoding)
			}
		}
	}
	large := postHeader("large") + chunked + strings.Repeat("8000\r\n"+strings.Repeat("x", 0x8000)+"\r\n", 3) + "0\r\n\r\n"
	if got := exchange(t, address, large); !strings.HasPrefix(got, "HTTP/1.1 413 ") || len(upstream.Requests) > 0 {
		t.Errorf("body above the limit: got %q, want 413 and no forwarded request", got)
	}
}

// A request whose bytes arrive one at a time must be parsed like any other request.
func TestRequestByteByByte(t *testing.T) {
	upstream := newServingUpstream(t, "ok")
	address, _, _ := startWithUpstream(t, upstream)
	client := dial(t, address)
	for i := range 3 { // also on a kept-alive connection
		if err := writeByteByByte(client, postHeader(fmt.Sprint(i))+"Content-Length: 4\r\n\r\nabcd"); err != nil {
			t.Fatal(err)
		}
		if status, last := client.readResponse(); status != http.StatusOK || last {
			t.Fatalf("request %d: got status %d, last %v; want 200 and an open connection", i, status, last)
		}
		if received := peertest.Await(t, "the request", upstream.Requests); received.BodyText != "abcd" {
			t.Errorf("upstream: got body %q, want abcd", received.BodyText)
		}
	}
}

func writeByteByByte(writer io.Writer, text string) error {
	for _, b := range []byte(text) {
		if _, err := writer.Write([]byte{b}); err != nil {
			return err
		}
	}
	return nil
}
