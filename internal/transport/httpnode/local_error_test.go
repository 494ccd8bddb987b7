package httpnode

import (
	"errors"
	"syscall"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// What this machine lacks does not count against an upstream; what the network or the other
// end reports does.
func TestLocalErrorsDoNotCountAgainstAnUpstream(t *testing.T) {
	server := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("honey")))
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
				t.Errorf("result %v, want %v", got, want)
			}
			_, err := upstream.Probe(t.Context())
			if err == nil || errors.Is(err, core.ErrNotSent) != (want == policy.NotSent) {
				t.Errorf("probe: %v", err)
			}
			if len(pool.slots) != 0 {
				t.Errorf("%d slots are taken", len(pool.slots))
			}
		})
	}
}
