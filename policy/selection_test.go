package policy

import (
	"math"
	"testing"
	"time"
)

// The attempts at the endpoints must be proportional to the weights.
func TestRoundRobinFollowsWeights(t *testing.T) {
	list := readyEndpoints(1, 2, 3)
	list[2].Weight = 2
	b, h := newTestBalancer(t, testConfig(), list)
	for id := range RequestID(40) {
		now := time.Duration(id) * 20 * ms
		receive(b, now, id, idempotentClass)
		endAttempt(b, now+10*ms, id, 0, Served)
	}
	if h.attemptsAt(1) != 10 || h.attemptsAt(2) != 10 || h.attemptsAt(3) != 20 {
		t.Fatalf("got attempts %d %d %d, want 10 10 20", h.attemptsAt(1), h.attemptsAt(2), h.attemptsAt(3))
	}
	if c := b.Counters(); c.RoundRobinPicks != 40 {
		t.Fatalf("got %d round-robin picks, want 40", c.RoundRobinPicks)
	}
}

// Guards against a fleet whose balancers all send their first requests to the endpoints with the highest weights, which overloads
// these while the others are idle: the attempts of a large fleet must be proportional to the weights from the first one on.
func TestFirstPicksFollowWeights(t *testing.T) {
	const balancers, requests = 300, 4
	var list []Endpoint
	totalWeight := 0.0
	for id := range EndpointID(180) {
		weight := []float64{1.5, 2, 3.5}[id%3]
		list = append(list, Endpoint{ID: id, Health: Ready, Weight: weight})
		totalWeight += weight
	}
	attempts := map[float64]float64{}
	for seed := range uint64(balancers) {
		b, h := newSeededBalancer(t, testConfig(), seed, list)
		for id := range RequestID(requests) {
			receive(b, time.Duration(id)*ms, id, idempotentClass)
		}
		for _, sent := range h.sends {
			attempts[list[sent.to].Weight] += 1.0 / (balancers * requests)
		}
	}
	for weight, share := range attempts {
		if want := 60 * weight / totalWeight; math.Abs(share-want) > 0.05 {
			t.Errorf("endpoints of weight %v: got a share of %.3f of the first attempts, want %.3f", weight, share, want)
		}
	}
	if len(attempts) != 3 {
		t.Errorf("got attempts at endpoints of %d weights, want 3", len(attempts))
	}
}

// An endpoint that joins must get its part of the attempts from then on, neither more nor less.
func TestPicksOfEndpointThatJoins(t *testing.T) {
	const balancers, requests = 1000, 4
	attempts := 0
	for seed := range uint64(balancers) {
		b, h := newSeededBalancer(t, testConfig(), seed, readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9))
		b.EndpointsUpdated(0, DeltaUpdate, readyEndpoints(10))
		for id := range RequestID(requests) {
			receive(b, time.Duration(id)*ms, id, idempotentClass)
		}
		attempts += h.attemptsAt(10)
	}
	if share := float64(attempts) / (balancers * requests); math.Abs(share-0.1) > 0.02 {
		t.Errorf("got a share of %.3f of the first attempts, want 0.1", share)
	}
}

// The first attempts of a balancer must reach each endpoint of its own zone once before any of them again, also if there are many
// endpoints in other zones.
func TestFirstPicksInTheOwnZoneAreEven(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.Zone = 0.02, 1
	list := readyEndpoints(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12)
	for i := range 3 {
		list[i].Zone = 1
	}
	for seed := range uint64(20) {
		b, h := newSeededBalancer(t, cfg, seed, list)
		for id := range RequestID(3) {
			now := time.Duration(id) * 20 * ms
			receive(b, now, id, idempotentClass)
			endAttempt(b, now+10*ms, id, 0, Served)
		}
		if h.attemptsAt(1) != 1 || h.attemptsAt(2) != 1 || h.attemptsAt(3) != 1 {
			t.Errorf("seed %d: got sends %v, want one at each of the endpoints 1, 2 and 3", seed, h.sends)
		}
	}
}

// An endpoint whose weight is missing or not a number must get attempts as with weight 1.
func TestInvalidWeightsCountAsOne(t *testing.T) {
	list := []Endpoint{{ID: 1, Health: Ready}, {ID: 2, Health: Ready, Weight: math.NaN()}}
	b, h := newTestBalancer(t, testConfig(), list)
	for id := range RequestID(10) {
		now := time.Duration(id) * 20 * ms
		receive(b, now, id, idempotentClass)
		endAttempt(b, now+10*ms, id, 0, Served)
	}
	if h.attemptsAt(1) != 5 || h.attemptsAt(2) != 5 {
		t.Fatalf("got attempts %d %d, want 5 5", h.attemptsAt(1), h.attemptsAt(2))
	}
}

// If attempts at other zones have a cost, endpoints of other zones may be used only when the endpoints of the
// balancer's own zone are at their limits.
func TestOwnZoneIsPreferred(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.Zone = 0.02, 1
	list := readyEndpoints(1, 2, 3)
	list[2].Zone = 1
	b, h := newTestBalancer(t, cfg, list)
	receive(b, 0, 1, idempotentClass)
	receive(b, 0, 2, idempotentClass)
	if h.attemptsAt(3) != 2 {
		t.Fatalf("got sends %v, want both at endpoint 3, in the own zone", h.sends)
	}
	for id := RequestID(3); id < 8; id++ {
		receive(b, 0, id, idempotentClass)
	}
	if h.attemptsAt(1)+h.attemptsAt(2) == 0 {
		t.Fatal("got no attempt in the other zone while the endpoint of the own zone is at its limit")
	}
}

// If each of a thousand balancers used every endpoint, each balancer would need a connection to each
// endpoint. These connections fill the connection tables of the endpoints, and with low traffic most
// of them would have to be opened again for each request.
func TestLowTrafficUsesSubsetOfOwnZone(t *testing.T) {
	endpointsUsed := func(cfg Config) int {
		cfg.CrossZoneCost, cfg.ProbeCost = 0.02, 1 // too costly for probes
		var list []Endpoint
		for id := range EndpointID(20) {
			list = append(list, Endpoint{ID: id, Health: Ready, Weight: 1})
		}
		b, h := newTestBalancer(t, cfg, list)
		to := map[EndpointID]bool{}
		for id := range RequestID(100) {
			now := time.Duration(id) * 100 * ms
			receive(b, now, id, idempotentClass)
			endAttempt(b, now+20*ms, id, 0, Served)
			to[h.sends[len(h.sends)-1].to] = true
		}
		return len(to)
	}
	if n := endpointsUsed(lowTrafficConfig()); n < 5 || n > 15 {
		t.Errorf("traffic is low: got %d of 20 endpoints in use, want 5 to 15", n)
	}
	full := testConfig()
	full.FleetSize = 1
	full.Tenants[0].Quota, full.Tenants[1].Quota = 750, 250
	if n := endpointsUsed(full); n != 20 {
		t.Errorf("traffic is not low: got %d of 20 endpoints in use, want all", n)
	}
}
