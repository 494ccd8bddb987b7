package httpnode

import (
	"errors"
	"syscall"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// A connection that fails because this machine lacks a resource must not count against the upstream.
// Errors that the network or the upstream reports must count.
func TestLocalErrorsDoNotCountAgainstAnUpstream(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("honey")))
	for errno, want := range map[syscall.Errno]policy.AttemptResult{
		syscall.EMFILE:        policy.NotSent,
		syscall.ENFILE:        policy.NotSent,
		syscall.ENOBUFS:       policy.NotSent,
		syscall.ENOMEM:        policy.NotSent,
		syscall.EADDRNOTAVAIL: policy.NotSent,
		syscall.ENETUNREACH:   policy.NotSent,
		syscall.ENETDOWN:      policy.NotSent,
		syscall.EAGAIN:        policy.NotSent,
		syscall.ECONNREFUSED:  policy.ConnectionFailed,
		syscall.EHOSTUNREACH:  policy.ConnectionFailed,
		syscall.ETIMEDOUT:     policy.ConnectionFailed,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			pool := newTestPool(2)
			pool.dialer.Control = func(string, string, syscall.RawConn) error { return errno }
			upstream := newTestUpstream(pool, server.Addr)
			if got, _ := roundTrip(t.Context(), upstream); got != want {
				t.Errorf("got result %v, want %v", got, want)
			}
			_, err := upstream.Probe(t.Context())
			if err == nil || errors.Is(err, core.ErrNotSent) != (want == policy.NotSent) {
				t.Errorf("probe: got error %v, want one that wraps core.ErrNotSent only for a local error", err)
			}
			if len(pool.slots) != 0 {
				t.Errorf("got %d slots in use, want 0", len(pool.slots))
			}
		})
	}
}
