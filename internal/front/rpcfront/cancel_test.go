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
	handler := newChannelHandler()
	client := dial(t, startFront(t, Config{}, handler))
	client.call(1, nil)
	request := peertest.Await(t, "the request", handler.submitted)
	client.Write(msgrpc.AppendCancel(nil, 1))
	if abandoned := peertest.Await(t, "the request to be abandoned", handler.abandoned); abandoned != request {
		t.Error("got another request abandoned, want the cancelled one")
	}
	if fault := client.expectFault(t, 1); fault.Kind != msgrpc.KindCancelled {
		t.Errorf("got error %+v, want kind cancelled", fault)
	}
	request.Respond(core.Response{Result: core.Served}) // the response is too late
	client.Write(msgrpc.AppendCancel(nil, 1))           // the request is no longer in flight
	client.call(2, nil)
	peertest.Await(t, "the next request to be submitted", handler.submitted).Respond(core.Response{Result: core.Served})
	if message := client.readMessage(t); message.ID != 2 {
		t.Errorf("got a response with msgid %d, want 2", message.ID)
	}
}

// A client sends 64 requests and, after the 41st, a cancel of one of them, all in one write. Only the
// cancelled request must be abandoned. It must count as abandoned at once, so that an attempt that is
// about to be written is stopped too. When the client disconnects, all requests must be abandoned.
func TestCancelAmongRequestsInOneWrite(t *testing.T) {
	handler := newChannelHandler()
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
		request := peertest.Await(t, "a request to be submitted", handler.submitted)
		all[request.ID] = request
	}
	if request := peertest.Await(t, "the cancelled request to be abandoned", handler.abandoned); request.ID != "r32" {
		t.Errorf("got request %s abandoned, want r32", request.ID)
	}
	for id, request := range all {
		if request.ClientDisconnected() != (id == "r32") {
			t.Errorf("request %s: got ClientDisconnected() = %v", id, request.ClientDisconnected())
		}
	}
	client.expectFault(t, 32)
	client.Close()
	peertest.WaitUntil(t, "all requests to be abandoned", func() bool {
		for _, request := range all {
			if !request.ClientDisconnected() {
				return false
			}
		}
		return true
	})
}

// When a client disconnects with 100 requests in flight, each request must be abandoned exactly once.
func TestClientDisconnectsWithManyInFlight(t *testing.T) {
	handler := newChannelHandler()
	client := dial(t, startFront(t, Config{MaxRequestsInFlight: 100}, handler))
	inFlight := make(map[*core.Request]bool)
	for i := range 100 {
		client.call(uint32(i), nil)
		inFlight[peertest.Await(t, "a request to be submitted", handler.submitted)] = true
	}
	client.Close()
	for len(inFlight) > 0 {
		request := peertest.Await(t, "a request to be abandoned", handler.abandoned)
		if !inFlight[request] {
			t.Fatal("got a request abandoned that is not in flight or was abandoned before")
		}
		delete(inFlight, request)
		request.Respond(core.Response{Result: core.Served}) // too late: the response must be dropped
	}
}
