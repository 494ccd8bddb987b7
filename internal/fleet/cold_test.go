package fleet

import (
	"testing"
	"time"
)

// Thirty sidecars and one cold node, of which each has a part of less than one
// request in the second that counts: told of its start with a change, or starting
// anew themselves with a list that names it first.
func TestColdNodeAmongThirtySidecars(t *testing.T) {
	for name, trouble := range map[string]Fault{
		"it starts":         {Kind: Restart, Start: 5 * time.Second, Duration: 500 * ms},
		"all start at once": {Kind: PowerLoss, Start: 5 * time.Second, Duration: 500 * ms},
	} {
		for seed := range uint64(6) {
			s := steadyScenario(10, 1.5) // far more than cold nodes could take
			s.Seed, s.Duration, s.Sidecars = seed, 20*time.Second, 30
			s.Node = NodeParams{Cores: 2, Speed: 1, InitialSpeedShare: 0.3, WarmUpTime: 8 * time.Second, WarmUpOverloadFactor: 2.5}
			s.Classes[0].Work, s.Classes[0].Deadline = 50*ms, 2*time.Second // 40 a second of each node
			s.Tenants = []Tenant{{Share: 1, Quota: 380}}
			s.List.MaxDelay = 100 * ms
			s.Faults = []Fault{trouble}
			if r, err := Run(s); err != nil || len(r.Violations) > 0 {
				t.Errorf("%s, seed %d: %v %q", name, seed, err, r.Violations)
			} else if r.NodeServed[0] == 0 {
				t.Errorf("%s, seed %d: the cold node was never used", name, seed)
			}
		}
	}
}
