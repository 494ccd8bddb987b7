package frontend

import (
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/logsink"
)

const (
	// overdueAfter is how long after a client's time a response may be written; a later one counts as lost.
	overdueAfter = 500 * time.Millisecond
	// overdueLogInterval is the least time between two log lines about such responses.
	overdueLogInterval = time.Second
)

// LateResponses counts the responses that were written after their client's time, and logs those that came so late that
// they count as lost. Its methods may be called concurrently.
type LateResponses struct {
	late, overdue atomic.Uint64
	log           logsink.Limiter
}

// NewLateResponses returns a LateResponses without responses.
func NewLateResponses() *LateResponses {
	return &LateResponses{log: logsink.Limiter{Interval: overdueLogInterval}}
}

// Late returns how many responses were written after their client's time.
func (responses *LateResponses) Late() uint64 { return responses.late.Load() }

// Overdue returns how many of them were written over overdueAfter after it.
func (responses *LateResponses) Overdue() uint64 { return responses.overdue.Load() }

// Written records that the response to a request with a deadline was written at now.
func (responses *LateResponses) Written(now, deadline time.Time, requestID string, result core.Result, listener net.Addr) {
	late := now.Sub(deadline.Add(core.ResponseMargin))
	if late <= 0 {
		return
	}
	responses.late.Add(1)
	if late < overdueAfter {
		return
	}
	overdue := responses.overdue.Add(1)
	if responses.log.Allow(now) {
		slog.Warn("response was written long after its client's time", "request", requestID, "late", late,
			"result", result.String(), "listener", listener.String(), "overdue", overdue)
	}
}
