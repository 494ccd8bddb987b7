package fleet

import (
	"testing"
	"time"
)

// A tenant that exceeds its quota is limited to the quota, or to a higher rate if the other tenant lends quota.
func TestQuotas(t *testing.T) {
	scenario := steadyScenario(10, 0.5) // 500 requests per second
	scenario.Sidecars, scenario.Classes[0].Deadline = 2, 2*time.Second
	scenario.Tenants = []Tenant{{Share: 0.5, Quota: 300}, {Share: 0.5, Quota: 300}}
	burst := Fault{Kind: TrafficBurst, Duration: time.Hour, Tenant: 1, RateFactor: 2} // 250 and 500 requests per second
	scenario.Faults = []Fault{burst}
	scenario.Quotas = Quotas{SidecarShare: 0.5, LenderReserve: time.Second}
	servedPerSecond := func() (first, second float64) {
		result := mustRun(t, scenario)
		return float64(result.Tenants[0].Served) / 60, float64(result.Tenants[1].Served) / 60
	}
	first, second := servedPerSecond()
	if first < 240 || second < 290 || second > 360 {
		t.Errorf("got %.0f and %.0f served per second of 250 and 500, want at least 240 and 290 to 360",
			first, second)
	}
	scenario.Quotas.LendingAllowed = true
	lender, borrower := servedPerSecond()
	if lender < 240 || borrower < second+30 || borrower > 400 {
		t.Errorf("with loans: got %.0f and %.0f served per second, want at least 240 and %.0f + 30 to 400",
			lender, borrower, second)
	}
}
