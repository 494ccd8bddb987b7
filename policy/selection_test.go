package policy

import (
	"math"
	"testing"
	"time"
)

func TestServersTakeTurnsByWeight(t *testing.T) {
	list := ready(1, 2, 3)
	list[2].Weight = 2
	b, h := start(t, testConfig(), list)
	for id := range RequestID(40) {
		now := time.Duration(id) * 20 * ms
		ask(b, now, id, safeClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if h.sentTo(1) != 10 || h.sentTo(2) != 10 || h.sentTo(3) != 20 {
		t.Fatalf("turns %d %d %d, want 10 10 20", h.sentTo(1), h.sentTo(2), h.sentTo(3))
	}
	if c := b.Counters(); c.RoundRobinPicks != 40 {
		t.Fatalf("ordinary sends %d of 40", c.RoundRobinPicks)
	}
}

func TestZeroWeightsMeanEvenTurns(t *testing.T) {
	list := []Endpoint{{ID: 1, Health: Ready}, {ID: 2, Health: Ready, Weight: math.NaN()}}
	b, h := start(t, testConfig(), list)
	for id := range RequestID(10) {
		now := time.Duration(id) * 20 * ms
		ask(b, now, id, safeClass)
		end(b, now+10*ms, id, 0, Served)
	}
	if h.sentTo(1) != 5 || h.sentTo(2) != 5 {
		t.Fatalf("turns %d %d, want 5 5", h.sentTo(1), h.sentTo(2))
	}
}

// Guards against crossing zones on every request where it is priced.
func TestNearServersFirst(t *testing.T) {
	cfg := testConfig()
	cfg.CrossZoneCost, cfg.Zone = 0.02, 1
	list := ready(1, 2, 3)
	list[2].Zone = 1
	b, h := start(t, cfg, list)
	ask(b, 0, 1, safeClass)
	ask(b, 0, 2, safeClass)
	if h.sentTo(3) != 2 {
		t.Fatalf("sends %v, want both near", h.sends)
	}
	for id := RequestID(3); id < 8; id++ {
		ask(b, 0, id, safeClass)
	}
	if h.sentTo(1)+h.sentTo(2) == 0 {
		t.Fatal("nothing was sent to the other zone though the near server holds its portion")
	}
}

// Guards against this: a thousand balancers keep a connection to every server each, which
// fills the servers' tables, and open most of them anew for each request.
func TestThinTrafficKeepsToHalfOfTheNearServers(t *testing.T) {
	reached := func(cfg Config) int {
		cfg.CrossZoneCost, cfg.ProbeCost = 0.02, 1 // and no knocks
		var list []Endpoint
		for id := range EndpointID(20) {
			list = append(list, Endpoint{ID: id, Health: Ready, Weight: 1})
		}
		b, h := start(t, cfg, list)
		to := map[EndpointID]bool{}
		for id := range RequestID(100) {
			now := time.Duration(id) * 100 * ms
			ask(b, now, id, safeClass)
			end(b, now+20*ms, id, 0, Served)
			to[h.sends[len(h.sends)-1].to] = true
		}
		return len(to)
	}
	if n := reached(thinConfig()); n < 5 || n > 15 {
		t.Errorf("%d of 20 servers used where traffic is thin, want about half", n)
	}
	full := testConfig()
	full.FleetSize = 1
	full.Tenants[0].Quota, full.Tenants[1].Quota = 750, 250
	if n := reached(full); n != 20 {
		t.Errorf("%d of 20 servers used where traffic is not thin", n)
	}
}
