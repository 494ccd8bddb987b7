package httpnode

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hopbyhop"
)

// writeRequest writes a request with a single write. It returns nil after the last byte was written.
// It writes nothing if ctx is done or if message.AllowSend forbids the write; in the latter case the
// error is core.ErrNotSent.
func (conn *connection) writeRequest(ctx context.Context, message *core.Message) error {
	conn.requestBuffer.Reset()
	timeout := remainingTime(ctx)
	appendRequest(&conn.requestBuffer, message, timeout)
	if err := ctx.Err(); err != nil {
		return err
	}
	if !message.AllowSend(time.Now()) {
		return core.ErrNotSent
	}
	if !message.WriteDeadline.IsZero() { // the upstream may read slowly
		conn.netConn.SetWriteDeadline(message.WriteDeadline)
		defer conn.netConn.SetWriteDeadline(time.Time{})
	}
	count, err := conn.netConn.Write(conn.requestBuffer.Bytes())
	if count < conn.requestBuffer.Len() {
		return fmt.Errorf("write request: %w", err)
	}
	message.SendCompleted(time.Now(), timeout)
	return nil
}

// appendRequest encodes the client's request unchanged, except for the Request-Timeout field. That
// field contains timeout, the time for which the sidecar waits for the response; if timeout is 0, the
// field is omitted. No header field contains a line break: the front ends reject such requests.
func appendRequest(buffer *bytes.Buffer, message *core.Message, timeout time.Duration) {
	buffer.WriteString(message.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(message.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(message.Host)
	if len(message.Body) > 0 || message.Method != http.MethodGet {
		buffer.WriteString("\r\nContent-Length: ")
		buffer.Write(strconv.AppendInt(buffer.AvailableBuffer(), int64(len(message.Body)), 10))
	}
	if timeout > 0 {
		buffer.WriteString("\r\nRequest-Timeout: ")
		buffer.Write(strconv.AppendFloat(buffer.AvailableBuffer(), timeout.Seconds(), 'f', 3, 64))
	}
	appendFields(buffer, message.Fields)
	buffer.WriteString("\r\n\r\n")
	buffer.Write(message.Body)
}

// appendFields encodes the client's header fields, except for those that belong to one hop. appendRequest sets
// those that this hop needs.
func appendFields(buffer *bytes.Buffer, fields map[string][]string) {
	for name, values := range fields {
		if hopbyhop.IsHopByHop(name) {
			continue
		}
		for _, value := range values {
			buffer.WriteString("\r\n")
			buffer.WriteString(name)
			buffer.WriteString(": ")
			buffer.WriteString(value)
		}
	}
}
