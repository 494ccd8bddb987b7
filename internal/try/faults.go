package try

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"mothridge/internal/peers"
)

// Indexes of the upstreams with a fault.
const (
	hangingUpstream    = 2
	drainingUpstream   = 5
	restartingUpstream = 7
)

// Bounds of the time that upstreams take to serve a request.
const (
	minServiceTime     = 3 * time.Millisecond
	serviceTimeChoices = 10 // number of possible service times, in steps of 1 ms from minServiceTime
)

// fault is a fault that the demo injects, or the end of a fault.
type fault struct {
	at     float64 // time as a share of the demo's duration
	inject func()
}

// injectFaults injects each fault at its time. It returns early if ctx ends.
func (d *demo) injectFaults(ctx context.Context) {
	for i := range d.rig.Nodes {
		d.serveNormally(i)
	}
	faults := []fault{
		{0.2, d.hang},
		{0.35, d.drain},
		{0.5, d.restart},
		{0.75, d.endHang},
	}
	for _, fault := range faults {
		if !d.waitUntil(ctx, fault.at) {
			return
		}
		fault.inject()
	}
}

// waitUntil blocks until a share of the duration has passed. It returns false if ctx ended first.
func (d *demo) waitUntil(ctx context.Context, share float64) bool {
	offset := time.Duration(share * float64(d.Duration))
	timer := time.NewTimer(time.Until(d.startedAt.Add(offset)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hang makes an upstream accept requests without responding.
func (d *demo) hang() {
	d.rig.Nodes[hangingUpstream].SetScript(func(peers.Call) peers.Response {
		return peers.Response{Action: peers.Hang}
	})
	d.setState(hangingUpstream, "hangs")
}

// endHang makes the hanging upstream respond to new requests again.
func (d *demo) endHang() {
	d.serveNormally(hangingUpstream)
	d.setState(hangingUpstream, "up again")
}

// drain lists an upstream as draining.
func (d *demo) drain() {
	d.mu.Lock()
	d.drainedAt = time.Now()
	d.mu.Unlock()
	d.rig.SetHealth(d.rig.Nodes[drainingUpstream], "draining", 0)
	d.setState(drainingUpstream, "drains")
}

// restart resets an upstream's connections and lists the upstream with a new start time, from which it
// warms up.
func (d *demo) restart() {
	upstream := d.rig.Nodes[restartingUpstream]
	upstream.ResetConnections()
	now := time.Now()
	d.mu.Lock()
	d.restartAt = now
	d.mu.Unlock()
	d.rig.SetHealth(upstream, "up", now.UnixMilli())
	d.setState(restartingUpstream, "cold")
}

// setState sets the state that the progress shows for an upstream.
func (d *demo) setState(upstream int, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.states[upstream] = state
}

// serveNormally makes an upstream serve each request with the upstream's name as the response body.
func (d *demo) serveNormally(upstream int) {
	name := []byte(d.rig.Nodes[upstream].Name)
	d.rig.Nodes[upstream].SetScript(func(call peers.Call) peers.Response {
		response := d.serveAfterDelay(call)
		response.Body = name
		return response
	})
}

// serveAfterDelay serves a request after a service time that is derived from the seed and the request's
// id.
func (d *demo) serveAfterDelay(call peers.Call) peers.Response {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(call.ID)) // never fails
	random := rand.New(rand.NewPCG(d.Seed, uint64(len(call.ID))+hash.Sum64()))
	choice := time.Duration(random.IntN(serviceTimeChoices))
	return peers.Response{Delay: minServiceTime + choice*time.Millisecond}
}
