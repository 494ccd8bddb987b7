package rpcfront

import (
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

// A planned restart: clients are notified to send nothing new, what is in flight and
// what still comes is answered, then the connection is closed.
func TestPlannedRestart(t *testing.T) {
	handler := newHoldingHandler()
	front := startFront(t, Config{}, handler)
	client := dial(t, front)
	client.call(1, nil)
	held := peertest.Await(t, "the request", handler.submitted)
	front.Drain()
	message := client.readMessage(t)
	if message.Kind != msgrpc.Notification || string(message.Method) != msgrpc.MethodDrain {
		t.Fatalf("got %+v, want the drain notification", message)
	}
	client.call(2, nil) // it crossed the notification
	peertest.Await(t, "the one that crossed", handler.submitted).Respond(core.Response{Result: core.Served})
	if message := client.readMessage(t); message.ID != 2 || message.Fault != nil {
		t.Errorf("got %+v", message)
	}
	fresh := dial(t, front) // new connections come for a while
	if message := fresh.readMessage(t); string(message.Method) != msgrpc.MethodDrain {
		t.Errorf("a new connection is notified of %+v", message)
	}
	done := make(chan error, 1)
	go func() { done <- front.Shutdown(t.Context()) }()
	if _, err := fresh.read(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	select {
	case <-done:
		t.Fatal("ended with a request unanswered")
	default:
	}
	held.Respond(core.Response{Result: core.Served, Body: []byte("held")})
	if message := client.readMessage(t); message.ID != 1 || message.Fault != nil {
		t.Errorf("got %+v", message)
	}
	if _, err := client.read(); err != io.EOF {
		t.Errorf("then %v, want the end", err)
	}
	if err := peertest.Await(t, "the end", done); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A message that has started when the front end shuts down, or whose connection waits to
// be accepted, is handled and answered.
func TestShutdownAnswersAStartedMessage(t *testing.T) {
	for name, first := range map[string]int{"a byte of it": 1, "half of it": 30, "none, on a new connection": 0} {
		t.Run(name, func(t *testing.T) {
			handler := newHoldingHandler()
			front := startFront(t, Config{}, handler)
			client := dial(t, front)
			text := callBytes(7, nil)
			if first > 0 {
				client.Write(text[:first])
				peertest.Until(t, "its first bytes", front.hasStartedMessage)
			}
			front.Drain()
			done := make(chan error, 1)
			go func() { done <- front.Shutdown(t.Context()) }()
			time.Sleep(frontend.FirstByteGrace / 2) // a slow client
			client.Write(text[first:])
			peertest.Await(t, "the request", handler.submitted).Respond(core.Response{Result: core.Served})
			message := client.readMessage(t)
			for message.Kind != msgrpc.Response {
				message = client.readMessage(t)
			}
			if message.ID != 7 || message.Fault != nil {
				t.Errorf("got %+v", message)
			}
			if err := peertest.Await(t, "the end", done); err != nil {
				t.Error(err)
			}
		})
	}
}

// hasStartedMessage reports whether the one connection, if there is one, has part of a message.
func (front *Front) hasStartedMessage() bool {
	front.mu.Lock()
	defer front.mu.Unlock()
	for conn := range front.conns {
		conn.mu.Lock()
		defer conn.mu.Unlock()
		return conn.messageStarted
	}
	return false
}

// A request that comes as its connection is closed is not submitted, and resets nothing.
func TestRequestThatCrossesTheEnd(t *testing.T) {
	handler := newHoldingHandler()
	front := startFront(t, Config{}, handler)
	client := dial(t, front)
	client.call(1, nil)
	request := peertest.Await(t, "the request", handler.submitted)
	front.Drain()
	shutdown := make(chan error, 1)
	go func() { shutdown <- front.Shutdown(t.Context()) }()
	request.Respond(core.Response{Result: core.Served, Body: []byte("ok")})
	served := false
	for {
		message, err := client.read()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			t.Fatalf("the connection ended with %v", err)
		}
		served = served || message.Kind == msgrpc.Response && message.Fault == nil
	}
	for id := range uint32(3) {
		call := msgrpc.Call{ID: fmt.Sprint("late", id), Class: "once", Tenant: "north", Timeout: 5 * time.Second}
		if _, err := client.Write(call.Append(nil, 10+id)); err != nil {
			t.Errorf("the connection was reset: %v", err)
		}
		time.Sleep(5 * time.Millisecond) // a reset would be there by now
	}
	client.Close()
	if err := peertest.Await(t, "the end", shutdown); err != nil || !served || len(handler.submitted) > 0 {
		t.Errorf("error %v, served %v, %d submitted after the end", err, served, len(handler.submitted))
	}
}
