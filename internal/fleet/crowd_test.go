package fleet

import (
	"fmt"
	"testing"
	"time"
)

// All sidecars of a fleet wait for one discovery: they hear it within little more than
// the time that it takes for all of them, and the calls in sum stay few.
func TestCrowdIsHeard(t *testing.T) {
	for _, sidecars := range []int{30, 300, 900} {
		for _, all := range []time.Duration{2 * time.Second, 8 * time.Second, 20 * time.Second} {
			for _, away := range []time.Duration{0, 2 * time.Second} {
				for _, held := range []bool{false, true} {
					c := DiscoveryTrial{Sidecars: sidecars, ServiceTime: all / time.Duration(sidecars), MaxWait: away, HasList: held, Rule: HedgedCalls, StartSpread: 200 * time.Millisecond, Seed: 1, MaxCalls: 100 * sidecars}
					now := c.Run()
					c.Rule = FixedTimeout
					before := c.Run()
					t.Logf("%d sidecars, all in %v, away %v, held %v: %+v; before %+v", sidecars, all, away, held, now, before)
					if name := fmt.Sprint(sidecars, all, away, held); now.Answered != sidecars || now.Last > 2*all+5*time.Second || now.Calls > 12*sidecars {
						t.Errorf("%s: %+v", name, now)
					}
				}
			}
		}
	}
}
