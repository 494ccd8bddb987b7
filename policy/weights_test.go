package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// After any changes of the list and of the health of its endpoints, the sums of weights must equal the
// sums over the current endpoints, and must be exactly 0 if there is no endpoint.
func TestWeightSumsMatchEndpoints(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	b, _ := newTestBalancer(t, testConfig(), nil)
	for step := range 20_000 {
		now := time.Duration(step) * ms
		randomEntry := func() Endpoint {
			return Endpoint{ID: EndpointID(1 + rng.IntN(8)), Weight: 0.1 * float64(1+rng.IntN(9)), Health: Health(rng.IntN(3)), StartedAt: time.Duration(rng.IntN(step + 1))}
		}
		switch choice := rng.IntN(20); {
		case choice == 0:
			b.EndpointsUpdated(now, FullUpdate, []Endpoint{randomEntry(), randomEntry(), randomEntry()})
		case choice < 10:
			b.EndpointsUpdated(now, DeltaUpdate, []Endpoint{randomEntry(), randomEntry()})
		case len(b.endpoints) == 0:
		case choice < 15:
			b.recordFailure(now, b.endpoints[rng.IntN(len(b.endpoints))])
		default:
			b.recordSuccess(now, b.endpoints[rng.IntN(len(b.endpoints))])
		}
		var want endpointWeights
		for _, endpoint := range b.endpoints {
			if b.endpointsByID[endpoint.ID] != endpoint {
				t.Fatalf("step %d: endpoint %d is missing in endpointsByID or differs there", step, endpoint.ID)
			}
			if endpoint.Health != Ready {
				continue
			}
			want.ready.weight += endpoint.Weight
			want.ready.count++
			if !endpoint.ejected {
				want.healthy.weight += endpoint.Weight
				want.healthy.count++
			}
		}
		got := b.weights
		if !sameSum(got.ready, want.ready) || !sameSum(got.healthy, want.healthy) || got.peak < want.ready.weight-1e-9 {
			t.Fatalf("step %d: got weights %+v, want %+v", step, got, want)
		}
		if len(b.endpointsByID) != len(b.endpoints) {
			t.Fatalf("step %d: got %d endpoints and %d entries in endpointsByID, want the same number",
				step, len(b.endpoints), len(b.endpointsByID))
		}
	}
}

// sameSum reports whether two sums are equal except for rounding errors, and whether the weight of an
// empty sum is exactly 0.
func sameSum(got, want weightSum) bool {
	if got.count != want.count || (got.count == 0) != (got.weight == 0) {
		return false
	}
	return math.Abs(got.weight-want.weight) <= 1e-9
}
