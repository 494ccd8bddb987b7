package roundtrip

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/policy"
)

func TestIdleTimeout(t *testing.T) {
	for upstreamTimeout, want := range map[time.Duration]time.Duration{
		30 * time.Second: 28 * time.Second,
		4 * time.Second:  2 * time.Second,
		time.Second:      500 * time.Millisecond,
	} {
		if got := IdleTimeout(upstreamTimeout); got != want {
			t.Errorf("IdleTimeout(%v): got %v, want %v", upstreamTimeout, got, want)
		}
	}
}

func TestConnectContext(t *testing.T) {
	writeDeadline := time.Now().Add(time.Minute)
	for name, test := range map[string]struct {
		message *core.Message
		want    time.Time
	}{
		"probe":                      {message: nil},
		"attempt":                    {message: &core.Message{}},
		"attempt with a deadline":    {message: &core.Message{WriteDeadline: writeDeadline}, want: writeDeadline},
		"attempt after its deadline": {message: &core.Message{WriteDeadline: time.Unix(1, 0)}, want: time.Unix(1, 0)},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := ConnectContext(t.Context(), test.message)
			defer cancel()
			if got, _ := ctx.Deadline(); !got.Equal(test.want) {
				t.Errorf("got deadline %v, want %v", got, test.want)
			}
		})
	}
}

func TestFailureResult(t *testing.T) {
	errReset := errors.New("reset")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	timedOut, stop := context.WithDeadline(t.Context(), time.Unix(1, 0))
	defer stop()
	disconnected := &core.Message{ClientDisconnected: func() bool { return true }}
	for name, test := range map[string]struct {
		ctx     context.Context
		message *core.Message
		written bool
		err     error
		want    policy.AttemptResult
	}{
		"no connection":               {err: errReset, want: policy.ConnectionFailed},
		"no connection in time":       {ctx: timedOut, err: errReset, want: policy.ConnectionFailed},
		"cancelled before the write":  {ctx: cancelled, err: errReset, want: policy.NotSent},
		"prevented by the guard":      {err: fmt.Errorf("write: %w", core.ErrNotSent), want: policy.NotSent},
		"sending no longer allowed":   {message: disconnected, err: errReset, want: policy.NotSent},
		"local error":                 {err: syscall.EMFILE, want: policy.NotSent},
		"reset":                       {written: true, err: errReset, want: policy.ConnectionReset},
		"reset after a disconnect":    {message: disconnected, written: true, err: errReset, want: policy.ConnectionReset},
		"local error after the write": {written: true, err: syscall.EMFILE, want: policy.ConnectionReset},
		"cancelled":                   {ctx: cancelled, written: true, err: errReset, want: policy.Cancelled},
		"timed out":                   {ctx: timedOut, written: true, err: errReset, want: policy.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			if test.ctx == nil {
				test.ctx = t.Context()
			}
			if test.message == nil {
				test.message = &core.Message{}
			}
			if got := FailureResult(test.ctx, test.message, test.written, test.err); got != test.want {
				t.Errorf("got result %v, want %v", got, test.want)
			}
		})
	}
}

func TestProbeError(t *testing.T) {
	if err := ProbeError(syscall.EMFILE); !errors.Is(err, core.ErrNotSent) || !errors.Is(err, syscall.EMFILE) {
		t.Errorf("local error: got %v, want one that wraps core.ErrNotSent and EMFILE", err)
	}
	if err := ProbeError(syscall.ECONNREFUSED); errors.Is(err, core.ErrNotSent) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("upstream error: got %v, want one that wraps ECONNREFUSED alone", err)
	}
}
