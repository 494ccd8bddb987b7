package fleet

import (
	"testing"
	"time"
)

// Thirty sidecars and one cold node, of which each has a part of less than one
// request in the second that counts: told of its start with a change, or starting
// anew themselves with a list that names it first.
func TestColdNodeAmongThirtySidecars(t *testing.T) {
	for name, trouble := range map[string]Trouble{
		"it starts":         {Kind: Restart, At: 5 * time.Second, For: 500 * ms},
		"all start at once": {Kind: PowerCut, At: 5 * time.Second, For: 500 * ms},
	} {
		for seed := range uint64(6) {
			s := calm(10, 1.5) // far more than cold nodes could take
			s.Seed, s.Duration, s.Sidecars = seed, 20*time.Second, 30
			s.Node = NodeParams{Cores: 2, Speed: 1, ColdFrom: 0.3, ColdTime: 8 * time.Second, ColdMultiple: 2.5}
			s.Classes[0].Work, s.Classes[0].Deadline = 50*ms, 2*time.Second // 40 a second of each node
			s.Tenants = []Tenant{{Share: 1, Quota: 380}}
			s.List.Lag = 100 * ms
			s.Troubles = []Trouble{trouble}
			if r, err := Run(s); err != nil || len(r.Broken) > 0 {
				t.Errorf("%s, seed %d: %v %q", name, seed, err, r.Broken)
			} else if r.NodeServed[0] == 0 {
				t.Errorf("%s, seed %d: the cold node was never used", name, seed)
			}
		}
	}
}
