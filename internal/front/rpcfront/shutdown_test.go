package rpcfront

import (
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

// A message that has begun when the front shuts down, or whose connection waits to be
// accepted, is taken and answered.
func TestShutdownTakesAMessageThatHasBegun(t *testing.T) {
	for name, first := range map[string]int{"a byte of it": 1, "half of it": 30, "none, on a new connection": 0} {
		t.Run(name, func(t *testing.T) {
			k := newHolding()
			f := startFront(t, Config{}, k)
			c := dial(t, f)
			text := callText(7, nil)
			if first > 0 {
				c.Write(text[:first])
				peertest.Until(t, "its first bytes", func() bool {
					f.mu.Lock()
					defer f.mu.Unlock()
					for x := range f.conns {
						x.mu.Lock()
						begun := x.messageStarted
						x.mu.Unlock()
						return begun
					}
					return false
				})
			}
			f.Drain()
			done := make(chan error, 1)
			go func() { done <- f.Shutdown(t.Context()) }()
			time.Sleep(firstByteGrace / 2) // the client's pace
			c.Write(text[first:])
			peertest.Await(t, "the request", k.taken).Respond(core.Response{Result: core.Served})
			for {
				m := c.next(t)
				if m.Kind == msgrpc.Response {
					if m.ID != 7 || m.Fault != nil {
						t.Errorf("got %+v", m)
					}
					break
				}
			}
			if err := peertest.Await(t, "the end", done); err != nil {
				t.Error(err)
			}
		})
	}
}
