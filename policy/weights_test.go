package policy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// However the list and the health of its servers change, the sums of weights are
// those of the servers there are, and exactly 0 where there is none.
func TestWeightsAddUp(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 5))
	b, _ := start(t, testConfig(), nil)
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
		weight, well, ready, fit := 0.0, 0.0, 0, 0
		for _, s := range b.endpoints {
			if b.endpointsByID[s.ID] != s {
				t.Fatalf("step %d: server %d is not known by its name", step, s.ID)
			}
			if s.Health != Ready {
				continue
			}
			weight += s.Weight
			if ready++; !s.ejected {
				well += s.Weight
				fit++
			}
		}
		if math.Abs(b.weights.ready.weight-weight) > 1e-9 || math.Abs(b.weights.healthy.weight-well) > 1e-9 || b.weights.ready.count != ready || b.weights.healthy.count != fit ||
			(fit == 0) != (b.weights.healthy.weight == 0) || (ready == 0) != (b.weights.ready.weight == 0) || len(b.endpointsByID) != len(b.endpoints) || b.weights.peak < weight-1e-9 {
			t.Fatalf("step %d: %v %v %d %d of %d, most %v; want %v %v %d %d", step, b.weights.ready.weight, b.weights.healthy.weight, b.weights.ready.count, b.weights.healthy.count, len(b.endpointsByID), b.weights.peak, weight, well, ready, fit)
		}
	}
}
