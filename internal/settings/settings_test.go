package settings

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"

	"mothridge/policy"
)

func TestMillis(t *testing.T) {
	for _, d := range []time.Duration{0, time.Microsecond, 123456 * time.Microsecond, -time.Second, time.Hour} {
		if got := Millis(float64(d) / 1e6); got != d {
			t.Errorf("%v comes back as %v", d, got)
		}
	}
	if Millis(math.NaN()) != 0 || Millis(math.Inf(1)) <= 0 || Millis(math.Inf(-1)) >= 0 {
		t.Error("what is no number, or infinite, is not cut to a safe duration")
	}
}

const someSettings = `balancers=3
caps.may_cancel=true
caps.most_tries=3
caps.probes=true
caps.retry_after=false
charges.cross_zone=0.03
classes.count=2
classes.0.aim_ms=500.0
classes.0.dedup_scope=cell
classes.0.hard_limit_ms=1000.0
classes.0.semantics=guarded
classes.0.window_ms=600.0
classes.0.worth=5.0
classes.1.aim_ms=600.0
classes.1.hard_limit_ms=2500.0
classes.1.semantics=a_word_of_a_later_version
discovery=ask
orgs.count=1
orgs.0.quota_per_s=342.0
orgs.0.share=0.79
rules.cold_from=0.32
some.key.of.a.later.version=x=y
telemetry.columns=failed_ps,svc_ms,served_ps,busy_reqs
telemetry.how=pull
zone=2
`

func TestSettings(t *testing.T) {
	s, err := Parse([]byte(someSettings))
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Config()
	if err != nil {
		t.Fatal(err)
	}
	if c.FleetSize != 3 || c.Zone != 2 || c.MaxAttempts != 3 || !c.CancelAllowed || !c.ProbesAllowed ||
		!c.WatchOnRequest || c.SlowStartInitialShare != 0.32 || c.CrossZoneCost != 0.03 {
		t.Errorf("config %+v", c)
	}
	if k := c.Classes[0]; k.Idempotency != policy.IdempotentByKey || k.DedupScope != policy.ScopeCell || k.DedupWindow != 600*time.Millisecond {
		t.Errorf("class 0 %+v", k)
	}
	if c.Classes[1].Idempotency != policy.NotIdempotent {
		t.Error("an unknown effect is not taken for the strictest")
	}
	if c.Tenants[0].Quota != 342 || c.Tenants[0].Share != 0.79 {
		t.Errorf("tenant %+v", c.Tenants[0])
	}
	if got := s.InFlightColumn(); got != 3 {
		t.Errorf("columns %+v", got)
	}
	for bad, want := range map[string]string{
		"balancers=three":            `settings: balancers is "three": a plain number is needed, such as 3 or 0.25`,
		"balancers=0":                "settings: balancers is 0: balancers in all are needed, a number above 0",
		"caps.most_tries=":           "settings: caps.most_tries is missing: attempts for a request are needed, a number above 0",
		"classes.count=-1":           "settings: classes.count is -1: classes of requests are needed, a number above 0",
		"classes.count=1e9":          "settings: classes.count is 1e+09: a whole number from 0 to 65536 is needed",
		"classes.count=3":            "settings: classes.2.aim_ms is missing: milliseconds are needed, a number above 0",
		"classes.1.hard_limit_ms=-5": "settings: classes.1.hard_limit_ms is -5: milliseconds are needed, a number above 0",
		"rules.cold_from=NaN":        `settings: rules.cold_from is "NaN": a plain number is needed, such as 3 or 0.25`,
		"orgs.count=1.5":             "settings: orgs.count is 1.5: a whole number from 0 to 65536 is needed",
	} {
		s, err := Parse([]byte(someSettings + bad))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Config(); err == nil || err.Error() != want {
			t.Errorf("%s: error %v, want %s", bad, err, want)
		}
	}
	if _, err := Parse([]byte("no equals sign")); err == nil {
		t.Error("a line without '=': no error")
	}
}

// Both forms of the same settings give the same configuration.
func TestJSONGivesTheSame(t *testing.T) {
	s, err := ParseJSON([]byte(`{"balancers":3,"caps":{"may_cancel":true,"most_tries":3,"probes":true,"retry_after":false},
		"charges":{"cross_zone":0.03},"classes":[{"name":"a b","aim_ms":500.0,"dedup_scope":"cell","hard_limit_ms":1000.0,
		"semantics":"guarded","window_ms":600.0,"worth":5.0},{"name":"c","aim_ms":600.0,"hard_limit_ms":2500.0,
		"semantics":"a_word_of_a_later_version"}],"discovery":"ask","orgs":[{"quota_per_s":342.0,"share":0.79}],
		"rules":{"cold_from":0.32},"some":{"key":[null,[1],{"x":null}]},
		"telemetry":{"columns":["failed_ps","svc_ms","served_ps","busy_reqs"],"how":"pull"},"zone":2}`))
	if err != nil {
		t.Fatal(err)
	}
	got, err := s.Config()
	if err != nil {
		t.Fatal(err)
	}
	lines, err := Parse([]byte(someSettings))
	if err != nil {
		t.Fatal(err)
	}
	want, err := lines.Config()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("JSON gives %+v, lines give %+v", got, want)
	}
	if names := s.Names("classes"); !slices.Equal(names, []string{"a b", "c"}) {
		t.Errorf("classes %q", names)
	}
	if i := s.InFlightColumn(); i != 3 || s.Words("telemetry.columns")[i] != "busy_reqs" || s.Words("none") != nil {
		t.Errorf("column %d of %q", i, s.Words("telemetry.columns"))
	}
	for _, bad := range []string{"", "[]", `{"balancers":`, "7"} {
		if _, err := ParseJSON([]byte(bad)); err == nil {
			t.Errorf("%q: no error", bad)
		}
	}
}
