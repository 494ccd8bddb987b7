package settings

import (
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"mothridge/policy"
)

// everyKey contains every key that is read, with a value that differs from its default.
const everyKey = `balancers=4
caps.conn_idle_ms=30000.0
caps.dial_timeout_ms=250.0
caps.max_retry_after_ms=1200.0
caps.may_cancel=true
caps.most_tries=5
caps.probes=true
charges.cross_zone=0.03
charges.probe=0.004
classes.count=3
classes.0.aim_ms=500.0
classes.0.aim_stretch=1.5
classes.0.dedup_scope=zone
classes.0.hard_limit_ms=1000.0
classes.0.late_share=0.25
classes.0.name=weight-reading
classes.0.semantics=guarded
classes.0.window_ms=600.0
classes.0.worth=5.0
classes.1.aim_ms=600.5
classes.1.dedup_scope=all
classes.1.hard_limit_ms=2500.0
classes.1.name=harvest-entry
classes.1.semantics=free
classes.1.worth=2.0
classes.2.aim_ms=1
classes.2.dedup_scope=cell
classes.2.hard_limit_ms=2
classes.2.name=swarm-alert
classes.2.semantics=single_shot
client_habits.marks_retry=true
discovery=ask
orgs.count=2
orgs.0.name=downs-apiarists
orgs.0.quota_per_s=342.0
orgs.0.share=0.79
orgs.1.name=lockyer-keepers
orgs.1.quota_per_s=91.0
orgs.1.share=0.21
period_ms=5.0
rules.ask_within_ms=10000.0
rules.cold_from=0.32
rules.cold_ms=8500.0
rules.fall_multiple=2.5
rules.stop_sending_within_ms=2000.0
telemetry.columns=failed_ps,busy_reqs
telemetry.how=pull
zone=1
zones=anzac-st-depot,range
`

// TestEveryKey guards the simulator's and the platform's keys and values against renaming: each
// of them must set its field of the configuration.
func TestEveryKey(t *testing.T) {
	want := policy.Config{
		FleetSize: 4, Zone: 1, MaxAttempts: 5, CancelAllowed: true, ProbesAllowed: true, ProbeLoadReports: true,
		MaxRetryAfter: 1200 * time.Millisecond, ClientsMarkRetries: true, EventResolution: 5 * time.Millisecond,
		WatchOnRequest: true, WatchRequestWithin: 10 * time.Second,
		SlowStartInitialShare: 0.32, SlowStartDuration: 8500 * time.Millisecond, SlowStartOverloadFactor: 2.5,
		ProbeCost: 0.004, CrossZoneCost: 0.03,
		Classes: []policy.Class{
			{
				LatencyObjective: 500 * time.Millisecond, ObjectiveWorkFactor: 1.5,
				Deadline: time.Second, LateValueShare: 0.25, PriorityWeight: 5,
				DedupWindow: 600 * time.Millisecond, Idempotency: policy.IdempotentByKey, DedupScope: policy.ScopeZone,
			},
			{
				LatencyObjective: 600500 * time.Microsecond, Deadline: 2500 * time.Millisecond,
				PriorityWeight: 2, Idempotency: policy.Idempotent, DedupScope: policy.ScopeAll,
			},
			{
				LatencyObjective: time.Millisecond, Deadline: 2 * time.Millisecond,
				Idempotency: policy.NotIdempotent, DedupScope: policy.ScopeCell,
			},
		},
		Tenants: []policy.Tenant{{Share: 0.79, Quota: 342}, {Share: 0.21, Quota: 91}},
	}
	s, err := Parse([]byte(everyKey))
	if err != nil {
		t.Fatal(err)
	}
	got, err := s.Config()
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got config %+v, error %v, want %+v", got, err, want)
	}
	checkOtherSettings(t, s)
	silent, err := Parse([]byte(strings.ReplaceAll(everyKey, "how=pull", "how=silent")))
	if err != nil {
		t.Fatal(err)
	}
	if got, err := silent.Config(); err != nil || !got.ProbesAllowed || got.ProbeLoadReports {
		t.Errorf("silent telemetry: got %+v, error %v, want probes without load reports", got, err)
	}
}

// checkOtherSettings checks the settings that are not part of policy.Config.
func checkOtherSettings(t *testing.T, s *Settings) {
	t.Helper()
	if names := s.ClassNames(); !slices.Equal(names, []string{"weight-reading", "harvest-entry", "swarm-alert"}) {
		t.Errorf("class names: got %q, want weight-reading, harvest-entry, swarm-alert", names)
	}
	if names := s.TenantNames(); !slices.Equal(names, []string{"downs-apiarists", "lockyer-keepers"}) {
		t.Errorf("tenant names: got %q, want downs-apiarists, lockyer-keepers", names)
	}
	if zones := s.ZoneNames(); !slices.Equal(zones, []string{"anzac-st-depot", "range"}) {
		t.Errorf("zone names: got %q, want anzac-st-depot, range", zones)
	}
	if column, field := s.InFlightColumn(), s.InFlightField(); column != 1 || field != "busy_reqs" {
		t.Errorf("requests in flight: got column %d, field %q; want 1, busy_reqs", column, field)
	}
	checkTimeouts(t, s, 250*time.Millisecond, 30*time.Second, 2*time.Second)
	checkTimeouts(t, new(Settings), time.Hour, time.Hour, time.Hour)
}

// checkTimeouts checks the durations that have a fallback. The fallback is an hour here.
func checkTimeouts(t *testing.T, s *Settings, dial, idle, drain time.Duration) {
	t.Helper()
	if got := s.DialTimeout(time.Hour); got != dial {
		t.Errorf("dial timeout: got %v, want %v", got, dial)
	}
	if got := s.IdleConnTimeout(time.Hour); got != idle {
		t.Errorf("idle connection timeout: got %v, want %v", got, idle)
	}
	if got := s.DrainGrace(time.Hour); got != drain {
		t.Errorf("drain grace: got %v, want %v", got, drain)
	}
}
