package httpfront

import (
	"context"
	"net/http"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// endsAfter is well over the time for which a front that shuts down looks at what is left.
const endsAfter = 10 * lookEvery

// A request that is on its way when the front shuts down is answered, on a kept
// connection as on a new one, however much of it had come.
func TestShutdownAnswersARequestThatHasBegun(t *testing.T) {
	for name, first := range map[string]int{"a byte of it": 1, "half of its head": 40, "all but a byte": -1} {
		for kind, kept := range map[string]bool{"new": false, "kept": true} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				s := New(testConfig, &serving{}, peertest.Listen(t))
				go s.Serve()
				t.Cleanup(func() { s.server.Close() })
				addr := s.listener.Addr().String()
				c, in := openConn(t, addr)
				if kept {
					c, in = keptConn(t, addr)
				}
				text := requestText(t, "begun")
				sent := (first + len(text)) % len(text)
				c.Write(text[:sent])
				peertest.Until(t, "its first bytes", func() bool { return s.began() })
				s.Drain()
				ended := make(chan error, 1)
				go func() { ended <- s.Shutdown(context.Background()) }()
				time.Sleep(endsAfter) // the client's pace
				c.Write(text[sent:])
				if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK || !resp.Close {
					t.Errorf("got %v, error %v; want 200 and word that it is the last", resp, err)
				}
				if err := peertest.Await(t, "the end", ended); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// began says whether bytes have come of a request that is not whole.
func (s *Front) began() bool {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	for _, c := range append(s.listener.begun, s.listener.idle...) {
		if c.framing.Pending() {
			return true
		}
	}
	return false
}
