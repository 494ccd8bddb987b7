package rpcnode

import (
	"fmt"
	"net"

	"mothridge/internal/sockets"
)

var errNoSlot = fmt.Errorf("%w: all slots are taken", sockets.ErrConnectionLimit)

// pendingDial is a connection that is being opened, for all attempts that wait for it.
type pendingDial struct {
	done chan struct{} // closed when the dial has ended
	err  error         // why it failed; set before done is closed
}

// dial opens a connection and starts its goroutines, on a goroutine of its own. It has a timeout
// of its own, and none of an attempt's: an attempt with less time stops waiting, and the others
// need no second dial.
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

// open opens a connection. It blocks for Config.DialTimeout at most. Its error is a
// sockets.ErrConnectionLimit where no slot is free.
func (upstream *rpcUpstream) open() (*connection, error) {
	transport := upstream.transport
	select {
	case transport.slots <- struct{}{}:
	default:
		return nil, errNoSlot
	}
	transport.dials.Add(1)
	dialer := net.Dialer{KeepAlive: -1, Timeout: transport.config.DialTimeout}
	netConn, err := dialer.Dial("tcp", upstream.address)
	if err != nil {
		<-transport.slots
		return nil, err
	}
	return newConnection(upstream, netConn), nil
}
