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

// encodeResponse encodes a response to the request of an id.
type encodeResponse func(id uint32) []byte

func fault(kind string) encodeResponse {
	return func(id uint32) []byte { return (&msgrpc.Fault{Kind: kind}).Append(nil, id) }
}

func honey(id uint32) []byte {
	result := &msgrpc.Result{Body: []byte("honey"), Fields: map[string][]string{"X-A": {"1"}}, InFlight: 3}
	return result.Append(nil, id)
}

func TestOutcomes(t *testing.T) {
	invalidResult := func(id uint32) []byte { return []byte{0x94, 1, byte(id), 0xc0, 7} }
	invalidFault := func(id uint32) []byte { return []byte{0x94, 1, byte(id), 7, 0xc0} }
	notMessagePack := func(uint32) []byte { return []byte{0xc1} }
	tooLarge := func(uint32) []byte { return []byte{0x94, 1, 0, 0xc0, 0xc6, 0xff, 0xff, 0xff, 0xff} }
	tooDeep := func(uint32) []byte { return []byte(strings.Repeat("\x91", 10000)) }
	for name, test := range map[string]struct {
		response encodeResponse
		want     policy.AttemptResult
	}{
		"served":                {honey, policy.Served},
		"not started":           {fault(msgrpc.KindNotStarted), policy.Rejected},
		"error":                 {fault(msgrpc.KindError), policy.ServerError},
		"unknown kind":          {fault("later"), policy.ServerError},
		"refused, may have run": {fault(msgrpc.KindRefused), policy.ServerError},
		"cancelled unasked":     {fault(msgrpc.KindCancelled), policy.ServerError},
		"invalid result":        {invalidResult, policy.ConnectionReset},
		"invalid fault":         {invalidFault, policy.ConnectionReset},
		"not MessagePack":       {notMessagePack, policy.ConnectionReset},
		"4 GB announced":        {tooLarge, policy.ConnectionReset},
		"too deep":              {tooDeep, policy.ConnectionReset},
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
				t.Errorf("response %+v", got.response)
			}
			if got.response != nil && (string(got.response.Body) != "honey" || got.response.Fields["X-A"][0] != "1") {
				t.Errorf("response %+v", got.response)
			}
		})
	}
}

// checkCall checks that a call is newTestMessage("x").
func checkCall(t *testing.T, call *msgrpc.Call) {
	t.Helper()
	if call.ID != "x" || call.Class != "once" || call.Tenant != "north" {
		t.Errorf("the upstream read %+v", call)
	}
	if call.Target != "/api?x=1" || string(call.Body) != "{}" {
		t.Errorf("the upstream read %+v", call)
	}
	if len(call.Fields) != 1 || len(call.Fields["X-Apiary"]) != 2 {
		t.Errorf("the upstream read the fields %v", call.Fields)
	}
}

func TestNoConnection(t *testing.T) {
	listener := peertest.Listen(t)
	listener.Close()
	transport := newTestTransport(Config{})
	upstream := newTestUpstream(transport, listener.Addr().String())
	if got, _ := upstream.RoundTrip(t.Context(), newTestMessage("x")); got != policy.ConnectionFailed {
		t.Errorf("result %v, want connection failed", got)
	}
	if load, err := upstream.Probe(t.Context()); err == nil || errors.Is(err, core.ErrNotSent) || load.InFlight >= 0 {
		t.Errorf("probe: %v %v", load, err)
	}
	upstream.Retire()
	got, _ := upstream.RoundTrip(t.Context(), newTestMessage("x"))
	if dials := transport.Counters().Dials; got != policy.ConnectionFailed || dials != 2 {
		t.Errorf("of a retired upstream: result %v after %d dials", got, dials)
	}
	if len(transport.slots) != 0 {
		t.Errorf("%d slots are taken", len(transport.slots))
	}
}

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
		t.Errorf("probe %+v", got)
	}
}

// Idle connections are closed before the upstream closes them.
func TestSweep(t *testing.T) {
	server := newTestServer(t)
	transport := newTestTransport(Config{})
	attempt := startAttempt(t.Context(), server.upstream(transport), "x")
	conn := server.accept(t)
	request := peertest.Await(t, "the request", conn.calls)
	transport.Sweep(time.Now().Add(time.Hour)) // it has a request in flight
	conn.respond(request.id, "ok")
	awaitResult(t, attempt, policy.Served)
	const idleTimeout = 28 * time.Second // 2 s before the upstream
	transport.Sweep(time.Now().Add(idleTimeout - time.Second))
	select {
	case <-conn.closed:
		t.Error("closed too early")
	default:
	}
	transport.Sweep(time.Now().Add(idleTimeout + time.Second))
	peertest.Await(t, "its end", conn.closed)
	peertest.Until(t, "the slot", func() bool { return len(transport.slots) == 0 })
}
