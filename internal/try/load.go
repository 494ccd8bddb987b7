package try

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/rig"
)

// Mix of the load, as shares of all requests. The other requests are of class read and of tenant 0,
// respectively.
const (
	notIdempotentShare = 0.15
	keyedShare         = 0.25
	secondTenantShare  = 0.21
)

// loadStream separates the load's random numbers from other random numbers with the same seed.
const loadStream = 1

// tally counts requests by outcome and keeps the latency of each served request.
type tally struct {
	served, rejected, failed, lost int
	latencies                      []time.Duration
}

func (t *tally) add(outcome peers.Outcome, latency time.Duration) {
	switch outcome {
	case peers.Served:
		t.served++
		t.latencies = append(t.latencies, latency)
	case peers.Rejected:
		t.rejected++
	case peers.Failed:
		t.failed++
	default:
		t.lost++
	}
}

// quantile returns the latency that a share q of the served requests did not exceed, or 0 if no request
// was served. quantile sorts the latencies in place.
func (t *tally) quantile(q float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	index := int(q * float64(len(t.latencies)))
	return t.latencies[min(index, len(t.latencies)-1)]
}

// sendLoad sends requests at a constant rate until ctx ends, and waits for their outcomes.
func (d *demo) sendLoad(ctx context.Context) {
	client := d.rig.Client()
	defer client.Close()
	random := rand.New(rand.NewPCG(d.Seed, loadStream))
	interval := time.Second / time.Duration(max(1, d.Rate))
	next := func(i int) (time.Duration, bool) { return time.Duration(i) * interval, true }
	var wg sync.WaitGroup
	defer wg.Wait()
	peers.OpenLoop(ctx, time.Now(), next, func(i int, due time.Time) {
		call := randomCall(random, i)
		wg.Go(func() { d.sendRequest(client, call, due) })
	})
}

// randomCall returns request i with a random class and tenant.
func randomCall(random *rand.Rand, i int) peers.Call {
	class := rig.Read
	switch draw := random.Float64(); {
	case draw < notIdempotentShare:
		class = rig.NonIdempotent
	case draw < notIdempotentShare+keyedShare:
		class = rig.Keyed
	}
	tenant := rig.Tenant(0)
	if random.Float64() < secondTenantShare {
		tenant = rig.Tenant(1)
	}
	return rig.Request(class, fmt.Sprintf("%s-%06d", class, i), tenant)
}

// sendRequest sends a request and records its outcome. The latency is measured from due. sendRequest
// waits for one second after the deadline, so that a late response counts as late and not as lost.
func (d *demo) sendRequest(client peers.Client, call peers.Call, due time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Timeout+time.Second)
	defer cancel()
	result := client.Do(ctx, call)
	latency := time.Since(due)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.total.add(result.Outcome, latency)
	if result.Outcome == peers.Served {
		if upstream := d.byUpstream[string(result.Body)]; upstream != nil {
			upstream.add(result.Outcome, latency)
		}
	}
	d.checkFinalResponse(call, result, latency)
}
