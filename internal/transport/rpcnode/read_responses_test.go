package rpcnode

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// Three kinds of unexpected responses are dropped and counted: a response to an abandoned id, to an id
// that was never in use, and a second response to the same id. None of them may complete another
// request.
func TestUnexpectedResponses(t *testing.T) {
	server := newTestServer(t)
	transport := newTestTransport(Config{})
	upstream := server.upstream(transport)
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := startAttempt(ctx, upstream, "abandoned")
	conn := server.accept(t)
	first := peertest.Await(t, "the request", conn.calls)
	cancel()
	awaitResult(t, abandoned, policy.Cancelled)
	if id := peertest.Await(t, "the cancel", conn.cancels); id != first.id {
		t.Errorf("got cancelled id %d, want %d", id, first.id)
	}
	waiting := startAttempt(t.Context(), upstream, "waiting")
	second := peertest.Await(t, "the second request", conn.calls)
	if second.id == first.id {
		t.Fatal("an abandoned id was reused before its response was received")
	}
	conn.respond(first.id, "late")
	conn.respond(77, "unknown")
	conn.respond(second.id, "good")
	conn.respond(second.id, "twice")
	awaitBody(t, waiting, "good")
	third := startAttempt(t.Context(), upstream, "third")
	conn.respond(peertest.Await(t, "the third request", conn.calls).id, "third")
	awaitBody(t, third, "third")
	if counts := transport.Counters(); counts.LateResponses != 1 || counts.UnknownResponses != 2 || counts.Dials != 1 {
		t.Errorf("got counters %+v, want 1 late, 2 unknown and 1 dial", counts)
	}
	client := awaitConnection(t, upstream)
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.abandoned) != 0 {
		t.Errorf("got %d ids reserved after their response, want 0", len(client.abandoned))
	}
}

// Ids wrap around after 2^32 and skip the ids of requests that are abandoned or wait for a response.
func TestIDsWrapAround(t *testing.T) {
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{}))
	ctx, cancel := context.WithCancel(t.Context())
	abandoned := startAttempt(ctx, upstream, "abandoned")
	conn := server.accept(t)
	abandonedID := peertest.Await(t, "the first request", conn.calls).id
	cancel()
	peertest.Await(t, "the attempt to end", abandoned)
	waiting := startAttempt(t.Context(), upstream, "waiting")
	waitingID := peertest.Await(t, "the second request", conn.calls).id
	client := awaitConnection(t, upstream)
	client.mu.Lock()
	client.nextID = math.MaxUint32 - 1
	client.mu.Unlock()
	var ids []uint32
	for i := range 4 {
		attempt := startAttempt(t.Context(), upstream, fmt.Sprint(i))
		ids = append(ids, conn.respondNext(t).id)
		awaitResult(t, attempt, policy.Served)
	}
	want := []uint32{math.MaxUint32 - 1, math.MaxUint32, 2, 3}
	if !slices.Equal(ids, want) || abandonedID != 0 || waitingID != 1 {
		t.Errorf("got ids %d after ids %d and %d, want %d after 0 and 1", ids, abandonedID, waitingID, want)
	}
	conn.respond(waitingID, "at last")
	awaitBody(t, waiting, "at last")
}

// After a drain notification, no more requests are sent on that connection. The requests in flight on it
// still get their responses, and then the connection is closed.
func TestDrainNotification(t *testing.T) {
	server := newTestServer(t)
	upstream := server.upstream(newTestTransport(Config{}))
	inFlight := startAttempt(t.Context(), upstream, "in flight")
	first := server.accept(t)
	request := peertest.Await(t, "the request", first.calls)
	first.Write(msgrpc.AppendDrain(nil))
	client := awaitConnection(t, upstream)
	peertest.WaitUntil(t, "the drain", func() bool { return !client.checkCapacity(time.Now()) })
	next := startAttempt(t.Context(), upstream, "next")
	second := server.accept(t)
	nextRequest := peertest.Await(t, "the next request", second.calls)
	first.respond(request.id, "ok")
	second.respond(nextRequest.id, "ok")
	awaitResult(t, inFlight, policy.Served)
	awaitResult(t, next, policy.Served)
	peertest.Await(t, "the drained connection to close", first.closed)
}
