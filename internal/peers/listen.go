package peers

import (
	"context"
	"net"
)

// loopbackAddr is a free port of the loopback interface.
const loopbackAddr = "127.0.0.1:0"

// listen opens a TCP listener, which lasts until it is closed.
func listen(addr string) (net.Listener, error) {
	return new(net.ListenConfig).Listen(context.Background(), "tcp", addr)
}

// resetOnClose makes a connection's Close reset it instead of ending it in order.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only where the connection has ended already
	}
}
