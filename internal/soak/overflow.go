package soak

import (
	"sync"
	"time"

	"mothridge/internal/sockets"
)

// overflowMeter counts the listen overflows of the machine's network stack. When the accept queue of a node is full, the kernel
// drops the last packet of the handshake although the sidecar's connect has succeeded. What the sidecar then writes reaches the
// node only after retransmissions, so the node observes the request late.
type overflowMeter struct {
	mu    sync.Mutex
	count uint64      // value of the kernel's counter at the last sample
	times []time.Time // of the samples that found more overflows, in the last overflowSpan
}

const (
	overflowSampleInterval = 20 * time.Millisecond
	// overflowSpan covers the first retransmissions of the dropped bytes, after 0.2, 0.6, 1.4 and 3 s.
	overflowSpan = 3 * time.Second
)

// run samples the counter every overflowSampleInterval until stopped returns true.
func (meter *overflowMeter) run(stopped func() bool) {
	meter.count = sockets.ListenOverflows()
	for !stopped() {
		time.Sleep(overflowSampleInterval)
		meter.sample(time.Now(), sockets.ListenOverflows())
	}
}

func (meter *overflowMeter) sample(now time.Time, count uint64) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	for len(meter.times) > 0 && now.Sub(meter.times[0]) > overflowSpan {
		meter.times = meter.times[1:]
	}
	if count > meter.count {
		meter.times = append(meter.times, now)
	}
	meter.count = count
}

// recent returns the number of samples within overflowSpan that found overflows.
func (meter *overflowMeter) recent() int {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	return len(meter.times)
}
