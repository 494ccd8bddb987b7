package httpnode

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// A response that names no length is complete where its connection is closed in order, and
// nowhere else: docs/incidents/03.
func TestResponsesWithoutALength(t *testing.T) {
	const chunkedIn10 = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const twoLengths = statusOK + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nhoney"
	const serverError = "HTTP/1.1 500 x\r\n\r\n"
	const rejected = "HTTP/1.1 503 x\r\n" + notStarted + "\r\n"
	const unknownEncoding = statusOK + "Transfer-Encoding: gzip\r\n\r\nhoney"
	tooLarge := statusOK + "\r\n" + strings.Repeat("x", maxResponseBodyBytes+1)
	for name, test := range map[string]struct {
		text  string
		reset bool // the connection is reset in place of closed
		want  policy.AttemptResult
	}{
		"plain close":                  {text: unsizedMessage, want: policy.Served},
		"close is named":               {text: statusOK + "Connection: close\r\n\r\nhoney", want: policy.Served},
		"after an interim response":    {text: earlyHints + unsizedMessage, want: policy.Served},
		"version 1.0":                  {text: "HTTP/1.0 200 OK\r\n\r\nhoney", want: policy.Served},
		"reset":                        {text: unsizedMessage, reset: true, want: policy.ConnectionReset},
		"reset after an empty body":    {text: statusOK + "\r\n", reset: true, want: policy.ConnectionReset},
		"above the limit":              {text: tooLarge, want: policy.ConnectionReset},
		"chunks in version 1.0":        {text: chunkedIn10 + firstChunk + lastChunk, want: policy.ConnectionReset},
		"chunks without an end":        {text: chunkedHead + firstChunk, want: policy.ConnectionReset},
		"unknown encoding":             {text: unknownEncoding, want: policy.ConnectionReset},
		"two lengths":                  {text: twoLengths, want: policy.ConnectionReset},
		"invalid length":               {text: statusOK + "Content-Length: five\r\n\r\nhoney", want: policy.ConnectionReset},
		"server error":                 {text: serverError + "honey", want: policy.ServerError},
		"server error that is reset":   {text: serverError + "ho", reset: true, want: policy.ServerError},
		"rejection":                    {text: rejected + "busy", want: policy.Rejected},
		"rejection that is then reset": {text: rejected, reset: true, want: policy.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			server := peertest.NewUpstream(t, func(request peertest.Received) (string, bool) {
				if !test.reset {
					return test.text, true
				}
				io.WriteString(request.Conn, test.text)
				time.Sleep(20 * time.Millisecond) // it has been read by then
				request.Conn.(*net.TCPConn).SetLinger(0)
				return "", true
			})
			got, response := roundTrip(t.Context(), newTestUpstream(newTestPool(2), server.Addr))
			if got != test.want {
				t.Errorf("result %v, want %v", got, test.want)
			}
			if (response != nil) != (test.want == policy.Served) || response != nil && string(response.Body) != "honey" {
				t.Errorf("response %+v", response)
			}
		})
	}
}

// A response that is neither closed nor reset ends with its attempt's time.
func TestResponseWithoutAnEnd(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(unsizedMessage))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if got, _ := roundTrip(ctx, newTestUpstream(newTestPool(2), server.Addr)); got != policy.TimedOut {
		t.Errorf("result %v, want timed out", got)
	}
}

// A front end that cannot forward such a response gets none; the request may have run.
func TestFrontThatRequiresALength(t *testing.T) {
	server := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { return unsizedMessage, true })
	message := newTestMessage()
	message.RequiresLength = true
	got, response := newTestUpstream(newTestPool(2), server.Addr).RoundTrip(t.Context(), message)
	if got != policy.ConnectionReset || response != nil {
		t.Errorf("result %v, response %+v; want connection reset", got, response)
	}
}
