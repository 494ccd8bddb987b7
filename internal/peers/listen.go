package peers

import (
	"context"
	"net"
)

// loopbackAddr makes a listener use a free port of the loopback interface.
const loopbackAddr = "127.0.0.1:0"

// listen opens a TCP listener.
func listen(addr string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
}

// resetOnClose makes Close reset the connection (RST) instead of closing it gracefully.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has already ended
	}
}
