package rpcnode

import (
	"errors"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// encodeResponse returns an encoded response to the request with an id.
type encodeResponse func(id uint32) []byte

func encodeFault(kind string) encodeResponse {
	return func(id uint32) []byte { return (&msgrpc.Fault{Kind: kind}).Append(nil, id) }
}

func okResult(id uint32) []byte {
	result := &msgrpc.Result{Body: []byte("honey"), Fields: map[string][]string{"X-A": {"1"}}, InFlight: 3}
	return result.Append(nil, id)
}

// The result of an attempt for each kind of response, including invalid ones.
func TestAttemptResults(t *testing.T) {
	invalidResult := func(id uint32) []byte { return []byte{0x94, 1, byte(id), 0xc0, 7} }
	invalidFault := func(id uint32) []byte { return []byte{0x94, 1, byte(id), 7, 0xc0} }
	notMessagePack := func(uint32) []byte { return []byte{0xc1} }
	tooLarge := func(uint32) []byte { return []byte{0x94, 1, 0, 0xc0, 0xc6, 0xff, 0xff, 0xff, 0xff} }
	tooDeep := func(uint32) []byte { return []byte(strings.Repeat("\x91", 10000)) }
	for name, test := range map[string]struct {
		response encodeResponse
		want     policy.AttemptResult
	}{
		"served":                 {okResult, policy.Served},
		"not started":            {encodeFault(msgrpc.KindNotStarted), policy.Rejected},
		"error":                  {encodeFault(msgrpc.KindError), policy.ServerError},
		"unknown kind":           {encodeFault("later"), policy.ServerError},
		"refused, may have run":  {encodeFault(msgrpc.KindRefused), policy.ServerError},
		"cancelled unexpectedly": {encodeFault(msgrpc.KindCancelled), policy.ServerError},
		"invalid result":         {invalidResult, policy.ConnectionReset},
		"invalid fault":          {invalidFault, policy.ConnectionReset},
		"not MessagePack":        {notMessagePack, policy.ConnectionReset},
		"length of 4 GB":         {tooLarge, policy.ConnectionReset},
		"nested too deeply":      {tooDeep, policy.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) {
			server := newTestServer(t)
			attempt := startAttempt(t.Context(), server.upstream(newTestTransport(Config{})), "x")
			conn := server.accept(t)
			request := peertest.Await(t, "the request", conn.calls)
			checkCall(t, request.call)
			conn.Write(test.response(request.id))
			got := awaitResult(t, attempt, test.want)
			if (got.response != nil) != (test.want == policy.Served) {
				t.Errorf("got response %+v, want a response only if served", got.response)
			}
			if got.response != nil && (string(got.response.Body) != "honey" || got.response.Fields["X-A"][0] != "1") {
				t.Errorf("got response %+v, want the body honey and X-A 1", got.response)
			}
		})
	}
}

// checkCall checks that a call has the content of newTestMessage("x").
func checkCall(t *testing.T, call *msgrpc.Call) {
	t.Helper()
	if call.ID != "x" || call.Class != "once" || call.Tenant != "north" {
		t.Errorf("upstream: got call %+v, want id x, class once and tenant north", call)
	}
	if call.Target != "/api?x=1" || string(call.Body) != "{}" {
		t.Errorf("upstream: got call %+v, want target /api?x=1 and body {}", call)
	}
	if len(call.Fields) != 1 || len(call.Fields["X-Apiary"]) != 2 {
		t.Errorf("upstream: got fields %v, want X-Apiary with 2 values alone", call.Fields)
	}
}

// An attempt or a probe fails if no connection can be opened. A retired upstream opens no connection.
func TestNoConnection(t *testing.T) {
	listener := peertest.Listen(t)
	listener.Close()
	transport := newTestTransport(Config{})
	upstream := newTestUpstream(transport, listener.Addr().String())
	if got, _ := upstream.RoundTrip(t.Context(), newTestMessage("x")); got != policy.ConnectionFailed {
		t.Errorf("got result %v, want connection failed", got)
	}
	if load, err := upstream.Probe(t.Context()); err == nil || errors.Is(err, core.ErrNotSent) || load.InFlight >= 0 {
		t.Errorf("probe: got load %v, error %v; want unknown load and an error of the upstream", load, err)
	}
	upstream.Retire()
	got, _ := upstream.RoundTrip(t.Context(), newTestMessage("x"))
	if dials := transport.Counters().Dials; got != policy.ConnectionFailed || dials != 2 {
		t.Errorf("retired upstream: got result %v after %d dials, want connection failed after 2", got, dials)
	}
	if len(transport.slots) != 0 {
		t.Errorf("got %d slots in use, want 0", len(transport.slots))
	}
}

// A probe returns the number of requests in flight that the upstream reports.
func TestProbe(t *testing.T) {
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{}))
	type probeResult struct {
		load policy.LoadReport
		err  error
	}
	probed := make(chan probeResult, 1)
	go func() {
		load, err := upstream.Probe(t.Context())
		probed <- probeResult{load, err}
	}()
	conn := server.accept(t)
	request := peertest.Await(t, "the probe", conn.calls)
	conn.Write((&msgrpc.Result{InFlight: 7}).Append(nil, request.id))
	if got := peertest.Await(t, "the result", probed); got.err != nil || got.load.InFlight != 7 {
		t.Errorf("got probe result %+v, want 7 in flight and no error", got)
	}
}

// Sweep closes idle connections before the upstream closes them, and keeps connections with requests in
// flight.
func TestSweep(t *testing.T) {
	server := newTestServer(t)
	transport := newTestTransport(Config{})
	attempt := startAttempt(t.Context(), server.upstream(transport), "x")
	conn := server.accept(t)
	request := peertest.Await(t, "the request", conn.calls)
	transport.Sweep(time.Now().Add(time.Hour)) // the connection has a request in flight
	conn.respond(request.id, "ok")
	awaitResult(t, attempt, policy.Served)
	const idleTimeout = 28 * time.Second // 2 s before the upstream closes the connection
	transport.Sweep(time.Now().Add(idleTimeout - time.Second))
	select {
	case <-conn.closed:
		t.Error("idle connection was closed before the idle timeout")
	default:
	}
	transport.Sweep(time.Now().Add(idleTimeout + time.Second))
	peertest.Await(t, "its close", conn.closed)
	peertest.WaitUntil(t, "the free slot", func() bool { return len(transport.slots) == 0 })
}
