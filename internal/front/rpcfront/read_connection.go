package rpcfront

import (
	"errors"
	"log/slog"
	"net"
	"os"
	"time"

	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
)

// protocolErrorTimeout is the maximum time for writing the reason for which a connection is closed.
const protocolErrorTimeout = 100 * time.Millisecond

// readLoop is the reader. It reads and handles messages until the connection ends.
func (conn *clientConn) readLoop() {
	defer close(conn.readerEnded)
	defer conn.abandonRequests()
	framer := msgrpc.NewFramer(recordedConn{conn.netConn, conn}, msgrpc.MaxRequestBytes, frontend.RequestReadTimeout)
	framer.Reserve = conn.chargeBuffer
	for {
		frame, err := framer.Next()
		if err == nil || errors.Is(err, msgrpc.ErrDiscarded) {
			conn.flow.AwaitMessage(framer.Buffered() / max(1, len(frame)))
		}
		var open bool
		switch {
		case errors.Is(err, msgrpc.ErrDiscarded):
			open = conn.handleDiscarded(frame)
		case err != nil:
			conn.onReadError(err)
			return
		default:
			open = conn.handleMessage(frame, conn.arrivedAt)
		}
		if !open {
			return
		}
		conn.onMessageHandled(framer.Buffered())
	}
}

// recordedConn is a connection that is read through clientConn.read.
type recordedConn struct {
	net.Conn
	client *clientConn
}

// Read implements net.Conn.
func (conn recordedConn) Read(buffer []byte) (int, error) { return conn.client.read(buffer) }

// read reads from the socket, and records when the bytes can have arrived.
func (conn *clientConn) read(buffer []byte) (int, error) {
	conn.flow.AwaitRead()
	count, err := conn.reader.Read(buffer)
	conn.arrivedAt = frontend.EarliestArrival(time.Now(), conn.reader, conn.front.config.EarliestArrival)
	return count, err
}

// onRead records that bytes were read. It returns false if the connection is closed, and the bytes
// are then dropped. The caller holds conn.mu.
func (conn *clientConn) onRead(count int) (accepted bool) {
	if conn.state == connClosed {
		return false
	}
	if count == 0 {
		return true
	}
	conn.lastReadAt = time.Now()
	if !conn.messageStarted {
		conn.messageStartedAt = conn.lastReadAt
	}
	conn.hasRead = true
	conn.messageStarted = true
	return true
}

// onMessageHandled records that a message was handled. remaining is the number of bytes of the
// following messages that were already read.
func (conn *clientConn) onMessageHandled(remaining int) {
	conn.mu.Lock()
	conn.messageStarted = remaining > 0
	conn.messageStartedAt = time.Now()
	finished := conn.state == connFinishing && conn.isIdleLocked()
	conn.mu.Unlock()
	if finished {
		conn.signalWriter()
	}
}

// onReadError handles a failed read. If the message cannot be framed or was not complete in time, it
// counts the message as malformed and writes the reason to the client, which blocks for at most
// protocolErrorTimeout. If the client closed the connection, it does nothing.
func (conn *clientConn) onReadError(err error) {
	if !isFramingError(err) && !errors.Is(err, os.ErrDeadlineExceeded) {
		return
	}
	conn.front.malformed.Add(1)
	conn.recordCloseReason(closedByViolation)
	slog.Debug("message violates the protocol", "client", conn.netConn.RemoteAddr(), "reason", err)
	conn.netConn.SetWriteDeadline(time.Now().Add(protocolErrorTimeout))
	// Write errors are ignored because the connection is closed in any case.
	_, _ = conn.netConn.Write(msgrpc.AppendProtocolError(nil, err.Error()))
}

// framingErrors are the errors after which the start of the next message cannot be found.
var framingErrors = [...]error{
	msgrpc.ErrTooLarge, msgrpc.ErrTooDeep, msgrpc.ErrExtension, msgrpc.ErrReserved, msgrpc.ErrNotArray,
}

func isFramingError(err error) bool {
	for _, framingError := range framingErrors {
		if errors.Is(err, framingError) {
			return true
		}
	}
	return false
}
