package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// However the list and the health of its endpoints change, the sums of weights are
// those of the endpoints there are, and exactly 0 where there is none.
func TestSumsOfWeights(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	b, _ := newTestBalancer(t, testConfig(), nil)
	for step := range 20_000 {
		now := time.Duration(step) * ms
		entry := func() Endpoint {
			return Endpoint{ID: EndpointID(1 + rng.IntN(8)), Weight: 0.1 * float64(1+rng.IntN(9)), Health: Health(rng.IntN(3)), StartedAt: time.Duration(rng.IntN(step + 1))}
		}
		switch x := rng.IntN(20); {
		case x == 0:
			b.EndpointsUpdated(now, FullUpdate, []Endpoint{entry(), entry(), entry()})
		case x < 10:
			b.EndpointsUpdated(now, DeltaUpdate, []Endpoint{entry(), entry()})
		case len(b.endpoints) == 0:
		case x < 15:
			b.recordFailure(now, b.endpoints[rng.IntN(len(b.endpoints))])
		default:
			b.recordSuccess(now, b.endpoints[rng.IntN(len(b.endpoints))])
		}
		var want endpointWeights
		for _, endpoint := range b.endpoints {
			if b.endpointsByID[endpoint.ID] != endpoint {
				t.Fatalf("step %d: endpoint %d is not found by its ID", step, endpoint.ID)
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
			t.Fatalf("step %d: weights %+v, want %+v", step, got, want)
		}
		if len(b.endpointsByID) != len(b.endpoints) {
			t.Fatalf("step %d: %d endpoints, %d by ID", step, len(b.endpoints), len(b.endpointsByID))
		}
	}
}

// sameSum says that two sums are equal but for rounding, and that an empty one is exactly 0.
func sameSum(got, want weightSum) bool {
	if got.count != want.count || (got.count == 0) != (got.weight == 0) {
		return false
	}
	return math.Abs(got.weight-want.weight) <= 1e-9
}
