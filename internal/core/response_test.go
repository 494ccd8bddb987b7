package core

import (
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

func TestExactlyOneResponse(t *testing.T) {
	core := newTestCore(t)
	responses := make(chan Response, 1)
	request := &Request{ID: "x", Respond: func(r Response) { responses <- r }}
	core.requests.add(request)
	host := balancerHost{core}
	host.Fail(request.policyID)
	host.Fail(request.policyID)
	host.Reject(request.policyID, 0)
	clientDisconnected{request}.handle(core)
	response := peertest.Await(t, "the response", responses)
	if response.Result != Failed || len(responses) > 0 {
		t.Errorf("result %v, and %d more responses", response.Result, len(responses))
	}
	if len(core.requests.byID) > 0 || core.HasRequest(request.ID) {
		t.Errorf("%d requests remain, Request-Id in use: %v", len(core.requests.byID), core.HasRequest(request.ID))
	}
}

// A response that follows the disconnection of its client is dropped, and the request removed.
func TestRequestIsRemovedAfterLateResponse(t *testing.T) {
	core := newTestCore(t, upEndpoint("s-1", "127.0.0.1:7"))
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
		t.Errorf("%d requests remain, %d responses", len(core.requests.byID), len(responses))
	}
}

// At the deadline the Balancer may fail a request before its attempt has timed out: the result is a
// time-out in either case.
func TestTimeoutIsReportedWhileAttemptIsInFlight(t *testing.T) {
	core := newTestCore(t)
	for want, request := range map[Result]*Request{
		TimedOut: {ID: "in flight", inFlight: 1},
		Failed:   {ID: "failed"},
	} {
		responses := make(chan Response, 1)
		request.Respond = func(r Response) { responses <- r }
		core.requests.add(request)
		balancerHost{core}.Fail(request.policyID)
		if response := peertest.Await(t, "the response", responses); response.Result != want {
			t.Errorf("%s: result %v, want %v", request.ID, response.Result, want)
		}
	}
}
