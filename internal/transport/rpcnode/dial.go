package rpcnode

import (
	"fmt"
	"net"

	"mothridge/internal/sockets"
)

var errNoSlot = fmt.Errorf("%w: all slots are in use", sockets.ErrConnectionLimit)

// pendingDial is a connection that is being opened. All attempts that need a connection to the upstream
// wait for the same pendingDial.
type pendingDial struct {
	done chan struct{} // closed when the dial has succeeded or failed
	err  error         // why the dial failed; set before done is closed
}

// dial opens a connection and starts its reader and writer. It runs on its own goroutine. Its timeout
// is independent of the deadlines of attempts: an attempt with an earlier deadline stops waiting, and
// the other attempts need no second dial.
func (upstream *rpcUpstream) dial(pending *pendingDial) {
	conn, err := upstream.open()
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.dialing = nil
	defer close(pending.done)
	if err != nil {
		pending.err = err
		return
	}
	if upstream.retired {
		pending.err = errRetired
		conn.netConn.Close()
		<-upstream.transport.slots
		return
	}
	upstream.addLocked(conn)
	go conn.writeLoop()
	go conn.readLoop()
}

// open opens a connection. It blocks for at most Config.DialTimeout. If no slot is free, the error wraps
// sockets.ErrConnectionLimit.
func (upstream *rpcUpstream) open() (*connection, error) {
	transport := upstream.transport
	select {
	case transport.slots <- struct{}{}:
	default:
		return nil, errNoSlot
	}
	transport.dialAttempts.Add(1)
	dialer := net.Dialer{KeepAlive: -1, Timeout: transport.config.DialTimeout}
	netConn, err := dialer.Dial("tcp", upstream.address)
	if err != nil {
		<-transport.slots
		if sockets.IsRefused(err) {
			upstream.reportProcessEnd()
		}
		return nil, err
	}
	return newConnection(upstream, netConn), nil
}
