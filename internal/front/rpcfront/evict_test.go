package rpcfront

import (
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// When the connection limit is reached, the connection that has been idle for the longest time must be
// evicted. A connection with a request in flight must never be evicted.
func TestConnectionsAreBounded(t *testing.T) {
	handler := newChannelHandler()
	front := startFront(t, Config{MaxConnections: 2}, handler)
	busy, idle := dial(t, front), dial(t, front)
	busy.call(1, nil)
	request := peertest.Await(t, "the request of the busy connection to be submitted", handler.submitted)
	idle.call(1, nil)
	peertest.Await(t, "the request of the idle connection to be submitted", handler.submitted).
		Respond(core.Response{Result: core.Served})
	idle.readMessage(t)
	third := dial(t, front)
	if _, err := idle.read(); err == nil {
		t.Error("the idle connection is still open, want it evicted")
	}
	third.call(1, nil)
	peertest.Await(t, "the request of the third connection to be submitted", handler.submitted)
	request.Respond(core.Response{Result: core.Served})
	if message := busy.readMessage(t); message.ID != 1 || message.Fault != nil {
		t.Errorf("the busy connection got %+v, want a response with msgid 1", message)
	}
}
