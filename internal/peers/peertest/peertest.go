// Package peertest provides helpers for tests on real sockets: an upstream and a discovery whose
// responses the test writes byte by byte, a listener that accepts no connection, and client
// requests. Package peers provides stand-ins that generate their responses.
//
// The goroutines of the servers end with the test.
package peertest

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"
)

// WaitTimeout is the time that a test waits for an event before it fails.
const WaitTimeout = 10 * time.Second

// pollInterval is the interval at which WaitUntil checks its condition.
const pollInterval = time.Millisecond

// Await returns the next value of a channel, and fails the test after WaitTimeout. what names the
// awaited event in the failure message.
func Await[T any](t testing.TB, what string, c <-chan T) T {
	t.Helper()
	select {
	case value := <-c:
		return value
	case <-time.After(WaitTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("unreachable")
	}
}

// WaitUntil blocks until a condition holds, and fails the test after WaitTimeout. what names the condition
// in the failure message.
func WaitUntil(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(WaitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
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

// RequireJSON returns text unchanged, and fails the test if text is not valid JSON.
func RequireJSON(t testing.TB, text string) string {
	t.Helper()
	if !json.Valid([]byte(text)) {
		t.Fatalf("invalid JSON: %s", text)
	}
	return text
}

// ConnectAndLeave opens a number of connections to an address, one after the other, and closes each after it has sent a text.
func ConnectAndLeave(t testing.TB, address string, connections int, text []byte) {
	t.Helper()
	for range connections {
		conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(text); err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
}

// ExpectNothing fails the test if a value arrives within a short time. what names the value.
func ExpectNothing[T any](t testing.TB, what string, c <-chan T) {
	t.Helper()
	select {
	case value := <-c:
		t.Errorf("got %s %v, want none yet", what, value)
	case <-time.After(absenceTimeout):
	}
}

// absenceTimeout is how long ExpectNothing waits.
const absenceTimeout = 300 * time.Millisecond
