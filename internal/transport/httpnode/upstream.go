package httpnode

import "time"

// httpUpstream is a process that speaks HTTP/1.1. It stands for the process and not for its
// address, which may become another process's: that one has connections of its own.
type httpUpstream struct {
	transport *Transport
	address   string

	// The lock of the pool guards the fields below.

	idle             []*connection // by idleSince, the earliest first
	meanExchangeTime time.Duration // moving average of recent exchanges; 0: none has ended
	retired          bool          // no connection is kept any more
}

// exchangeTimeWeight is the inverse weight of one exchange in the mean.
const exchangeTimeWeight = 8

// recordExchangeLocked updates the mean; the lock of the pool is held.
func (upstream *httpUpstream) recordExchangeLocked(duration time.Duration) {
	if upstream.meanExchangeTime == 0 {
		upstream.meanExchangeTime = duration
		return
	}
	upstream.meanExchangeTime += (duration - upstream.meanExchangeTime) / exchangeTimeWeight
}

// Retire implements core.Upstream. Idle connections are closed, and the others once their
// exchange has ended.
func (upstream *httpUpstream) Retire() { upstream.transport.pool.retire(upstream) }
