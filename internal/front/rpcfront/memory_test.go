package rpcfront

import (
	"fmt"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

// Guards against calls that together hold more memory than there is: calls in flight, calls with many fields, and messages that
// are never complete. The memory is given back with the response, the cancel and the end of the connection.
func TestCallsWithoutMemoryAreRefused(t *testing.T) {
	handler := newChannelHandler()
	front := startFront(t, Config{Memory: frontend.NewRequestMemory(300 << 10)}, handler)
	large := func(call *msgrpc.Call) { call.Body = make([]byte, 60<<10) }
	client, holder := dial(t, front), dial(t, front)
	var requests []*core.Request
	for i, conn := range []*testClient{client, client, holder, holder} {
		conn.call(uint32(i), large)
		if i == 3 { // the buffer of the message that is being read counts too, so this one finds no memory
			if fault := holder.expectFault(t, 3); fault.Kind != msgrpc.KindRefused {
				t.Errorf("fourth large request: got error %+v, want refused", fault)
			}
			break
		}
		requests = append(requests, peertest.Await(t, "a large request", handler.submitted))
	}
	holder.call(4, func(call *msgrpc.Call) { call.Body = make([]byte, 30<<10) })
	requests = append(requests, peertest.Await(t, "another request", handler.submitted))
	manyFields := func(call *msgrpc.Call) {
		call.Fields = make(map[string][]string)
		for i := range 1000 {
			call.Fields[fmt.Sprint("X-", i)] = []string{"1"}
		}
	}
	client.call(8, manyFields)
	if fault := client.expectFault(t, 8); fault.Kind != msgrpc.KindRefused || fault.RetryAfter == 0 {
		t.Errorf("many fields: got error %+v, want refused with a pause", fault)
	}
	other := dial(t, front)
	other.call(1, large)
	if fault := other.expectFault(t, 1); fault.Kind != msgrpc.KindRefused {
		t.Errorf("large request of another client: got error %+v, want refused", fault)
	}
	half := dial(t, front)
	half.Write(callBytes(1, large)[:60<<10])
	half.expectProtocolError(t)
	if count := front.Counters().OutOfMemory; count != 3 {
		t.Errorf("got %d requests without memory, want 3", count)
	}
	small := dial(t, front)
	small.call(1, nil)
	peertest.Await(t, "a small request", handler.submitted).Respond(core.Response{})
	requests[0].Respond(core.Response{})
	requests[2].Respond(core.Response{})
	requests[3].Respond(core.Response{})
	client.Write(msgrpc.AppendCancel(nil, 1))
	peertest.Await(t, "the cancel", handler.abandoned)
	client.call(9, manyFields)
	peertest.Await(t, "the request with many fields, now that there is memory", handler.submitted)
}

// Guards against requests in flight that lose their responses because a later message on their connection finds no memory: that
// message alone is refused, and the connection goes on.
func TestMessageWithoutMemoryLeavesItsConnectionOpen(t *testing.T) {
	handler := newChannelHandler()
	front := startFront(t, Config{Memory: frontend.NewRequestMemory(16 << 10)}, handler)
	client := dial(t, front)
	client.call(1, nil)
	first := peertest.Await(t, "the first request", handler.submitted)
	for id := uint32(2); id < 5; id++ {
		client.call(id, func(call *msgrpc.Call) { call.Body = make([]byte, 60<<10) })
		if fault := client.expectFault(t, id); fault.Kind != msgrpc.KindRefused || fault.RetryAfter == 0 {
			t.Errorf("large request %d: got error %+v, want refused with a pause", id, fault)
		}
	}
	client.call(5, nil)
	second := peertest.Await(t, "a small request after the large ones", handler.submitted)
	for id, request := range map[uint32]*core.Request{1: first, 5: second} {
		request.Respond(core.Response{Result: core.Served, Body: []byte("honey")})
		if message := client.readMessage(t); message.ID != id || message.Fault != nil {
			t.Errorf("got %+v, want the response to request %d", message, id)
		}
	}
	if count := front.Counters().OutOfMemory; count != 3 {
		t.Errorf("got %d requests without memory, want 3", count)
	}
}
