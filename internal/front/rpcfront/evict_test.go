package rpcfront

import (
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// At the bound the longest idle connection is evicted; one with a request in flight never is.
func TestConnectionsAreBounded(t *testing.T) {
	handler := newHoldingHandler()
	front := startFront(t, Config{MaxConnections: 2}, handler)
	busy, idle := dial(t, front), dial(t, front)
	busy.call(1, nil)
	request := peertest.Await(t, "the request", handler.submitted)
	idle.call(1, nil)
	peertest.Await(t, "the other's", handler.submitted).Respond(core.Response{Result: core.Served})
	idle.readMessage(t)
	third := dial(t, front)
	if _, err := idle.read(); err == nil {
		t.Error("the idle one goes on")
	}
	third.call(1, nil)
	peertest.Await(t, "the third's", handler.submitted)
	request.Respond(core.Response{Result: core.Served})
	if message := busy.readMessage(t); message.ID != 1 || message.Fault != nil {
		t.Errorf("the busy one got %+v", message)
	}
}
