package httpnode

import "time"

// httpUpstream is an upstream process that uses HTTP/1.1. It represents the process, not the address:
// another process may later use the same address and then gets an httpUpstream with connections of
// its own.
type httpUpstream struct {
	transport *Transport
	address   string

	reportProcessEnd func() // see core.ProcessEndDetector; set once, before the first exchange

	// The lock of the pool guards the following fields.

	idle             []*connection // sorted by idleSince, earliest first
	meanExchangeTime time.Duration // moving average over recent exchanges; 0 if no exchange has ended yet
	retired          bool          // connections are closed after use
}

// exchangeTimeWeight is the inverse of the weight of one exchange in meanExchangeTime.
const exchangeTimeWeight = 8

// recordExchangeLocked updates meanExchangeTime. The caller holds the lock of the pool.
func (upstream *httpUpstream) recordExchangeLocked(duration time.Duration) {
	if upstream.meanExchangeTime == 0 {
		upstream.meanExchangeTime = duration
		return
	}
	upstream.meanExchangeTime += (duration - upstream.meanExchangeTime) / exchangeTimeWeight
}

// Retire implements core.Upstream. Idle connections are closed immediately, connections in use are
// closed when their exchange has ended.
func (upstream *httpUpstream) Retire() { upstream.transport.pool.retire(upstream) }

// OnProcessEnd implements core.ProcessEndDetector.
func (upstream *httpUpstream) OnProcessEnd(report func()) { upstream.reportProcessEnd = report }
