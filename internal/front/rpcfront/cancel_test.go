package rpcfront

import (
	"fmt"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

func TestCancel(t *testing.T) {
	handler := newHoldingHandler()
	client := dial(t, startFront(t, Config{}, handler))
	client.call(1, nil)
	request := peertest.Await(t, "the request", handler.submitted)
	client.Write(msgrpc.AppendCancel(nil, 1))
	if abandoned := peertest.Await(t, "the abandoned request", handler.abandoned); abandoned != request {
		t.Error("another was abandoned")
	}
	if fault := client.expectFault(t, 1); fault.Kind != msgrpc.KindCancelled {
		t.Errorf("got %+v", fault)
	}
	request.Respond(core.Response{Result: core.Served}) // it came too late
	client.Write(msgrpc.AppendCancel(nil, 1))           // and is not open any more
	client.call(2, nil)
	peertest.Await(t, "the next", handler.submitted).Respond(core.Response{Result: core.Served})
	if message := client.readMessage(t); message.ID != 2 {
		t.Errorf("got an answer to %d, want one to 2 alone", message.ID)
	}
}

// Sixty-four requests come in one piece with a cancel in their middle: that one alone
// is abandoned, at once, also for an attempt that is about to be written. When the
// client disconnects, so are the others.
func TestCancelAmongManyInOnePiece(t *testing.T) {
	handler := newHoldingHandler()
	front := startFront(t, Config{MaxRequestsInFlight: 64}, handler)
	client := dial(t, front)
	var text []byte
	for id := range uint32(64) {
		call := msgrpc.Call{ID: fmt.Sprint("r", id), Class: "once", Tenant: "north", Timeout: 5 * time.Second}
		if text = call.Append(text, id); id == 40 {
			text = msgrpc.AppendCancel(text, 32)
		}
	}
	client.Write(text)
	all := make(map[string]*core.Request)
	for range 64 {
		request := peertest.Await(t, "a request", handler.submitted)
		all[request.ID] = request
	}
	if request := peertest.Await(t, "the cancelled one", handler.abandoned); request.ID != "r32" {
		t.Errorf("%s was abandoned", request.ID)
	}
	for id, request := range all {
		if request.ClientGone() != (id == "r32") {
			t.Errorf("%s: gone is %v", id, request.ClientGone())
		}
	}
	client.expectFault(t, 32)
	client.Close()
	peertest.Until(t, "all to be abandoned", func() bool {
		for _, request := range all {
			if !request.ClientGone() {
				return false
			}
		}
		return true
	})
}

// A client that disconnects with 100 requests in flight: each is abandoned.
func TestClientDisconnectsWithManyInFlight(t *testing.T) {
	handler := newHoldingHandler()
	client := dial(t, startFront(t, Config{MaxRequestsInFlight: 100}, handler))
	inFlight := make(map[*core.Request]bool)
	for i := range 100 {
		client.call(uint32(i), nil)
		inFlight[peertest.Await(t, "a request", handler.submitted)] = true
	}
	client.Close()
	for len(inFlight) > 0 {
		request := peertest.Await(t, "an abandoned request", handler.abandoned)
		if !inFlight[request] {
			t.Fatal("one was abandoned twice, or was never in flight")
		}
		delete(inFlight, request)
		request.Respond(core.Response{Result: core.Served}) // too late: it must go nowhere
	}
}
