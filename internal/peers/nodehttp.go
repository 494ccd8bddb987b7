package peers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// serveHTTP serves one connection of HTTP/1.1.
func (n *Upstream) serveHTTP(c net.Conn) {
	in := bufio.NewReader(c)
	var out bytes.Buffer
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		out.Reset()
		if r.URL.Path == "/health/live" || r.URL.Path == "/stats" {
			text := fmt.Sprintf("TEXT busy_reqs=%d", n.inFlight.Load())
			answerHTTP(&out, "200 OK", "", []byte(text))
			if _, err := c.Write(out.Bytes()); err != nil {
				return
			}
			continue
		}
		seconds, _ := strconv.ParseFloat(r.Header.Get("Request-Timeout"), 64)
		call := Call{
			ID: r.Header.Get("Request-Id"), Class: r.Header.Get("Request-Class"), Tenant: r.Header.Get("Tenant"),
			IdempotencyKey: r.Header.Get("Idempotency-Key"), Timeout: time.Duration(seconds * 1e9), Body: body,
			Field: r.Header.Get,
		}
		call.NotIdempotent = r.Method == http.MethodPost && call.IdempotencyKey == ""
		n.inFlight.Add(1)
		a := n.decide(call)
		n.sleep(a.Delay, nil)
		if a.Wait != nil {
			a.Action = a.Wait(n.over)
		}
		if a.Action == Hang {
			io.Copy(io.Discard, c) // until the other side closes
		}
		more := n.actHTTP(c, &out, a)
		n.inFlight.Add(-1)
		if !more {
			return
		}
	}
}

// actHTTP carries an action out; false ends the connection.
func (n *Upstream) actHTTP(c net.Conn, out *bytes.Buffer, a Response) bool {
	switch a.Action {
	case Hang:
		return false
	case Error:
		answerHTTP(out, "500 Internal Server Error", "", nil)
	case Reject:
		answerHTTP(out, "503 Service Unavailable", "Not-Started: 1\r\n", nil)
	case Reset:
		c.(*net.TCPConn).SetLinger(0)
		return false
	case Malformed:
		out.WriteString("\x00\x01 no HTTP at all\r\n\r\n")
	case Duplicate:
		answerHTTP(out, "200 OK", "", a.Body)
		answerHTTP(out, "200 OK", "", []byte("the second answer"))
	case Unsolicited: // on HTTP/1.1 whatever comes first is the answer: only behind it can it be told
		answerHTTP(out, "200 OK", "", a.Body)
		answerHTTP(out, "200 OK", "", []byte("to nobody"))
	default:
		answerHTTP(out, "200 OK", "", a.Body)
	}
	if a.Action == Truncate {
		c.Write(out.Bytes()[:min(a.TruncateAt, out.Len()-1)])
		return false
	}
	if a.Action == Serve {
		n.served.Add(1)
	}
	_, err := c.Write(out.Bytes())
	return err == nil && a.Action != Malformed
}

func answerHTTP(b *bytes.Buffer, status, fields string, body []byte) {
	b.WriteString("HTTP/1.1 ")
	b.WriteString(status)
	b.WriteString("\r\n")
	b.WriteString(fields)
	b.WriteString("Content-Length: ")
	b.Write(strconv.AppendInt(b.AvailableBuffer(), int64(len(body)), 10))
	b.WriteString("\r\n\r\n")
	b.Write(body)
}
