package core

import (
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// The Balancer may report more than one outcome for a request, and the client may disconnect after its
// response. The client must still get only the first response, and the Request-Id must become free.
func TestExactlyOneResponse(t *testing.T) {
	core := newTestCore(t)
	responses := make(chan Response, 1)
	request := &Request{ID: "x", Respond: func(r Response) { responses <- r }}
	core.requests.add(request, time.Now())
	host := balancerHost{core}
	host.Fail(request.policyID)
	host.Fail(request.policyID)
	host.Reject(request.policyID, 0)
	clientDisconnected{request}.handle(core)
	response := peertest.Await(t, "the response", responses)
	if response.Result != Failed || len(responses) > 0 {
		t.Errorf("got result %v and %d more responses, want failed and 0", response.Result, len(responses))
	}
	if len(core.requests.byID) > 0 || core.HasRequest(request.ID) {
		t.Errorf("got %d registered requests, Request-Id in use: %v; want 0 and false",
			len(core.requests.byID), core.HasRequest(request.ID))
	}
}

// A response that arrives after its client has disconnected must be dropped, and the request must be removed
// from the registry.
func TestRequestIsRemovedAfterLateResponse(t *testing.T) {
	core := newTestCore(t, readyEndpoint("s-1", "127.0.0.1:7"))
	responses := make(chan Response, 1)
	request := &Request{
		ID:       "x",
		Class:    2,
		Deadline: time.Now().Add(peertest.WaitTimeout),
		Respond:  func(r Response) { responses <- r },
	}
	core.now = core.clock.now()
	requestReceived{request}.handle(core)
	clientDisconnected{request}.handle(core)
	attemptEnded{attempt: request.attempts[0], result: policy.Served, response: &Response{}}.handle(core)
	if len(core.requests.byID) > 0 || len(responses) > 0 {
		t.Errorf("got %d registered requests and %d responses, want 0 and 0", len(core.requests.byID), len(responses))
	}
}

// At the deadline the Balancer may fail a request while its attempt is still in flight. The result must be
// TimedOut, as if the attempt had timed out first.
func TestTimeoutIsReportedWhileAttemptIsInFlight(t *testing.T) {
	core := newTestCore(t)
	for want, request := range map[Result]*Request{
		TimedOut: {ID: "in flight", inFlight: 1},
		Failed:   {ID: "failed"},
	} {
		responses := make(chan Response, 1)
		request.Respond = func(r Response) { responses <- r }
		core.requests.add(request, time.Now())
		balancerHost{core}.Fail(request.policyID)
		if response := peertest.Await(t, "the response", responses); response.Result != want {
			t.Errorf("%s: got result %v, want %v", request.ID, response.Result, want)
		}
	}
}
