package httpnode

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// An answer that names no length is whole where its connection is closed in order,
// and nowhere else: docs/incidents/03.
func TestAnswersWithoutALength(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		text  string
		reset bool // the connection is reset in place of closed
		want  policy.AttemptResult
	}{
		"plain close":          {text: head + "\r\nhoney", want: policy.Served},
		"close is told":        {text: head + "Connection: close\r\n\r\nhoney", want: policy.Served},
		"behind interim heads": {text: "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "\r\nhoney", want: policy.Served},
		"version 1.0":          {text: "HTTP/1.0 200 OK\r\n\r\nhoney", want: policy.Served},
		"reset":                {text: head + "\r\nhoney", reset: true, want: policy.ConnectionReset},
		"reset behind nothing": {text: head + "\r\n", reset: true, want: policy.ConnectionReset},
		"over the bound":       {text: head + "\r\n" + strings.Repeat("x", maxAnswerBody+1), want: policy.ConnectionReset},
		"chunks in version 1.0": {
			text: "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n0\r\n\r\n", want: policy.ConnectionReset,
		},
		"chunks that do not end":  {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhoney\r\n", want: policy.ConnectionReset},
		"an encoding not known":   {text: head + "Transfer-Encoding: gzip\r\n\r\nhoney", want: policy.ConnectionReset},
		"two lengths":             {text: head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nhoney", want: policy.ConnectionReset},
		"a length that is none":   {text: head + "Content-Length: five\r\n\r\nhoney", want: policy.ConnectionReset},
		"an error":                {text: "HTTP/1.1 500 x\r\n\r\nhoney", want: policy.ServerError},
		"an error that is reset":  {text: "HTTP/1.1 500 x\r\n\r\nho", reset: true, want: policy.ServerError},
		"turned away":             {text: "HTTP/1.1 503 x\r\nNot-Started: 1\r\n\r\nbusy", want: policy.Rejected},
		"turned away, then reset": {text: "HTTP/1.1 503 x\r\nNot-Started: 1\r\n\r\n", reset: true, want: policy.Rejected},
	} {
		t.Run(name, func(t *testing.T) {
			u := peertest.NewUpstream(t, func(r peertest.Received) (string, bool) {
				if !c.reset {
					return c.text, true
				}
				io.WriteString(r.Conn, c.text)
				time.Sleep(20 * time.Millisecond) // it has been read by then
				r.Conn.(*net.TCPConn).SetLinger(0)
				return "", true
			})
			m := &core.Message{Method: "POST", Target: "/api", Host: "service.internal", Fields: http.Header{"Request-Id": {"x"}}, Body: []byte("{}")}
			got, a := (&Transport{pool: testPool(2)}).try(context.Background(), &peer{addr: u.Addr}, m)
			if got != c.want {
				t.Errorf("ending %v, want %v", got, c.want)
			}
			if (a != nil) != (c.want == policy.Served) || a != nil && string(a.Body) != "honey" {
				t.Errorf("answer %+v", a)
			}
		})
	}
}

// One that is neither closed nor reset ends with its attempt's time.
func TestAnswerWithoutAnEnd(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always("HTTP/1.1 200 OK\r\n\r\nhoney"))
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	if got, _ := tryOnce(ctx, testPool(2), &peer{addr: u.Addr}); got != policy.TimedOut {
		t.Errorf("ending %v, want timed out", got)
	}
}

// A front that cannot show an answer's end as it was gets none: it may have run.
func TestFrontThatNeedsALength(t *testing.T) {
	u := peertest.NewUpstream(t, func(peertest.Received) (string, bool) { return "HTTP/1.1 200 OK\r\n\r\nhoney", true })
	m := &core.Message{Method: "POST", Target: "/api", Host: "service.internal", Body: []byte("{}"), RequiresLength: true}
	if got, a := (&Transport{pool: testPool(2)}).try(t.Context(), &peer{addr: u.Addr}, m); got != policy.ConnectionReset || a != nil {
		t.Errorf("ending %v, answer %+v; want broken", got, a)
	}
}
