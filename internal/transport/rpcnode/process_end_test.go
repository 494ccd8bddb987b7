package rpcnode

import (
	"net"
	"testing"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// An upstream that refuses a connection or resets one without requests has ended, before discovery says so. The
// next process at its address may be that of another endpoint.
func TestSignsThatTheProcessHasEnded(t *testing.T) {
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{}))
	reported := make(chan struct{}, 10)
	upstream.OnProcessEnd(func() { reported <- struct{}{} })

	attempt := startAttempt(t.Context(), upstream, "x")
	conn := server.accept(t)
	conn.respondNext(t)
	awaitResult(t, attempt, policy.Served)
	if len(reported) > 0 {
		t.Error("got a report while the upstream serves, want none")
	}
	_ = conn.Conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
	peertest.Await(t, "the report of the reset", reported)

	server.listener.Close()
	awaitResult(t, startAttempt(t.Context(), upstream, "y"), policy.ConnectionFailed)
	peertest.Await(t, "the report of the refused connection", reported)
}
