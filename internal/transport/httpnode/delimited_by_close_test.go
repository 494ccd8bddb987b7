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

// A response without a length is complete only if the upstream closes the connection in an orderly
// way. After a reset, the body may be truncated and must not be forwarded: docs/incidents/03.
func TestResponsesWithoutALength(t *testing.T) {
	const chunkedIn10 = "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const twoLengths = statusOK + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nhoney"
	const serverError = "HTTP/1.1 500 x\r\n\r\n"
	const rejected = "HTTP/1.1 503 x\r\n" + notStartedField + "\r\n"
	const unknownEncoding = statusOK + "Transfer-Encoding: gzip\r\n\r\nhoney"
	tooLarge := statusOK + "\r\n" + strings.Repeat("x", maxResponseBodyBytes+1)
	for name, test := range map[string]struct {
		text  string
		reset bool // the upstream resets the connection instead of closing it
		want  policy.AttemptResult
	}{
		"orderly close":                  {text: responseWithoutLength, want: policy.Served},
		"Connection: close":              {text: statusOK + "Connection: close\r\n\r\nhoney", want: policy.Served},
		"after an interim response":      {text: earlyHints + responseWithoutLength, want: policy.Served},
		"version 1.0":                    {text: "HTTP/1.0 200 OK\r\n\r\nhoney", want: policy.Served},
		"reset":                          {text: responseWithoutLength, reset: true, want: policy.ConnectionReset},
		"reset after an empty body":      {text: statusOK + "\r\n", reset: true, want: policy.ConnectionReset},
		"body above the limit":           {text: tooLarge, want: policy.ConnectionReset},
		"chunked in version 1.0":         {text: chunkedIn10 + firstChunk + lastChunk, want: policy.ConnectionReset},
		"chunked without the last chunk": {text: chunkedHead + firstChunk, want: policy.ConnectionReset},
		"unknown encoding":               {text: unknownEncoding, want: policy.ConnectionReset},
		"two lengths":                    {text: twoLengths, want: policy.ConnectionReset},
		"a blank before the colon":       {text: statusOK + "Content-Length : 3\r\n\r\nhoney", want: policy.ConnectionReset},
		"a long line":                    {text: statusOK + "X: " + strings.Repeat("x", 100<<10) + "\r\n\r\nhoney", want: policy.Served},
		"invalid length":                 {text: statusOK + "Content-Length: five\r\n\r\nhoney", want: policy.ConnectionReset},
		"server error":                   {text: serverError + "honey", want: policy.ServerError},
		"server error, then reset":       {text: serverError + "ho", reset: true, want: policy.ServerError},
		"rejection":                      {text: rejected + "busy", want: policy.Rejected},
		"rejection, then reset":          {text: rejected, reset: true, want: policy.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			server := peertest.NewUpstream(t, func(request peertest.ReceivedRequest) (string, bool) {
				if !test.reset {
					return test.text, true
				}
				io.WriteString(request.Conn, test.text)
				time.Sleep(20 * time.Millisecond) // the transport has read the text by then
				request.Conn.(*net.TCPConn).SetLinger(0)
				return "", true
			})
			got, response := roundTrip(t.Context(), newTestUpstream(newTestPool(2), server.Addr))
			if got != test.want {
				t.Errorf("got result %v, want %v", got, test.want)
			}
			if (response != nil) != (test.want == policy.Served) || response != nil && string(response.Body) != "honey" {
				t.Errorf("got response %+v, want the body honey if served, else none", response)
			}
		})
	}
}

// If the upstream neither closes nor resets the connection after a response without a length, the
// attempt ends at its deadline.
func TestResponseThatNeverEndsTimesOut(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(responseWithoutLength))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if got, _ := roundTrip(ctx, newTestUpstream(newTestPool(2), server.Addr)); got != policy.TimedOut {
		t.Errorf("got result %v, want timed out", got)
	}
}

// A front end that cannot forward a response without a length gets no response. The result says
// that the request may have run.
func TestRequiresLengthFailsResponsesWithoutALength(t *testing.T) {
	server := peertest.NewUpstream(t, func(peertest.ReceivedRequest) (string, bool) { return responseWithoutLength, true })
	message := newTestMessage()
	message.RequiresLength = true
	got, response := newTestUpstream(newTestPool(2), server.Addr).RoundTrip(t.Context(), message)
	if got != policy.ConnectionReset || response != nil {
		t.Errorf("got result %v, response %+v; want connection reset and no response", got, response)
	}
}
