// Package peertest has helpers for tests on real sockets: an upstream and a discovery whose
// responses the test writes byte by byte, a listener that accepts no connection, and a client's
// requests. Package peers has stand-ins that respond by themselves.
//
// The goroutines of its servers end with the test.
package peertest

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"
)

// WaitTimeout is how long a test waits for an event before it fails.
const WaitTimeout = 10 * time.Second

// pollInterval is how often Until checks its condition.
const pollInterval = time.Millisecond

// Await returns the next value of a channel. It fails the test after WaitTimeout; what names the
// event for the message.
func Await[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case value := <-c:
		return value
	case <-time.After(WaitTimeout):
		t.Fatalf("waited in vain for %s", what)
		panic("unreachable")
	}
}

// Until blocks until a condition holds. It fails the test after WaitTimeout; what names the
// condition for the message.
func Until(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// Listen opens a listener on a free loopback port. It is closed at the end of the test.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// ValidJSON returns a text that is JSON and fails the test for another one.
func ValidJSON(t testing.TB, text string) string {
	t.Helper()
	if !json.Valid([]byte(text)) {
		t.Fatalf("not JSON: %s", text)
	}
	return text
}
