package httpnode

import (
	"errors"
	"syscall"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// What this machine lacks is held against no upstream; what the way there or the other
// end says is.
func TestWhatThisMachineLacksIsNoWordAgainstAnUpstream(t *testing.T) {
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("honey")))
	for errno, want := range map[syscall.Errno]policy.AttemptResult{
		syscall.EMFILE: policy.NotSent, syscall.ENFILE: policy.NotSent, syscall.ENOBUFS: policy.NotSent, syscall.ENOMEM: policy.NotSent,
		syscall.EADDRNOTAVAIL: policy.NotSent, syscall.ENETUNREACH: policy.NotSent, syscall.ENETDOWN: policy.NotSent, syscall.EAGAIN: policy.NotSent,
		syscall.ECONNREFUSED: policy.ConnectionFailed, syscall.EHOSTUNREACH: policy.ConnectionFailed, syscall.ETIMEDOUT: policy.ConnectionFailed,
	} {
		t.Run(errno.Error(), func(t *testing.T) {
			p := testPool(2)
			p.dialer.Control = func(string, string, syscall.RawConn) error { return errno }
			tr, to := &Transport{pool: p}, &peer{addr: u.Addr}
			if got, _ := tryOnce(t.Context(), p, to); got != want {
				t.Errorf("ending %v, want %v", got, want)
			}
			if _, err := tr.probe(t.Context(), to); err == nil || errors.Is(err, core.ErrNotSent) != (want == policy.NotSent) {
				t.Errorf("probe: %v", err)
			}
			if len(p.slots) != 0 {
				t.Errorf("%d places are taken", len(p.slots))
			}
		})
	}
}
