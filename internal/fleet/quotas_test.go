package fleet

import (
	"testing"
	"time"
)

// Quotas hold the tenant that sends too much to its share, and to more where the other one lends.
func TestQuotas(t *testing.T) {
	scenario := steadyScenario(10, 0.5) // 500 a second
	scenario.Sidecars, scenario.Classes[0].Deadline = 2, 2*time.Second
	scenario.Tenants = []Tenant{{Share: 0.5, Quota: 300}, {Share: 0.5, Quota: 300}}
	burst := Fault{Kind: TrafficBurst, Duration: time.Hour, Tenant: 1, RateFactor: 2} // 250 and 500 a second
	scenario.Faults = []Fault{burst}
	scenario.Quotas = Quotas{SidecarShare: 0.5, LenderReserve: time.Second}
	servedPerSecond := func() (first, second float64) {
		result := mustRun(t, scenario)
		return float64(result.Tenants[0].Served) / 60, float64(result.Tenants[1].Served) / 60
	}
	first, second := servedPerSecond()
	if first < 240 || second < 290 || second > 360 {
		t.Errorf("served a second: %.0f and %.0f of 250 and 500 that arrive, at quotas of 300", first, second)
	}
	scenario.Quotas.LendingAllowed = true
	lender, borrower := servedPerSecond()
	if lender < 240 || borrower < second+30 || borrower > 400 {
		t.Errorf("served a second with loans: %.0f and %.0f of 250 and 500 that arrive, at quotas of 300; %.0f without",
			lender, borrower, second)
	}
}
