package settings

import (
	"errors"
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

const sameSettingsAsJSON = `{"balancers":3,"caps":{"may_cancel":true,"most_tries":3,"probes":true,"retry_after":false},
	"charges":{"cross_zone":0.03},"classes":[{"name":"a b","aim_ms":500.0,"dedup_scope":"cell","hard_limit_ms":1000.0,
	"semantics":"guarded","window_ms":600.0,"worth":5.0},{"name":"c","aim_ms":600.0,"hard_limit_ms":2500.0,
	"semantics":"a_word_of_a_later_version"}],"discovery":"ask","orgs":[{"quota_per_s":342.0,"share":0.79}],
	"rules":{"cold_from":0.32},"some":{"key":[null,[1],{"x":null}]},
	"telemetry":{"columns":["failed_ps","svc_ms","served_ps","busy_reqs"],"how":"pull"},"zone":2}`

func parseLines(t *testing.T, lines string) *Settings {
	t.Helper()
	s, err := Parse([]byte(lines))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func configOf(t *testing.T, s *Settings) policy.Config {
	t.Helper()
	config, err := s.Config()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestConfig(t *testing.T) {
	s := parseLines(t, someSettings)
	config := configOf(t, s)
	if config.FleetSize != 3 || config.Zone != 2 || config.MaxAttempts != 3 ||
		!config.CancelAllowed || !config.ProbesAllowed || !config.WatchOnRequest ||
		config.SlowStartInitialShare != 0.32 || config.CrossZoneCost != 0.03 {
		t.Errorf("config %+v", config)
	}
	first := config.Classes[0]
	if first.Idempotency != policy.IdempotentByKey || first.DedupScope != policy.ScopeCell ||
		first.DedupWindow != 600*time.Millisecond {
		t.Errorf("class 0 %+v", first)
	}
	if config.Classes[1].Idempotency != policy.NotIdempotent {
		t.Error("an unknown word is not taken for the strictest")
	}
	if tenant := config.Tenants[0]; tenant.Quota != 342 || tenant.Share != 0.79 {
		t.Errorf("tenant %+v", tenant)
	}
	if got := s.InFlightColumn(); got != 3 {
		t.Errorf("column %d", got)
	}
}

func TestValuesThatCannotBeUsed(t *testing.T) {
	for line, want := range map[string]string{
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
		_, err := parseLines(t, someSettings+line).Config()
		var fault *ValueError
		if !errors.As(err, &fault) || err.Error() != want {
			t.Errorf("%s: error %v, want %s", line, err, want)
		}
	}
	if _, err := Parse([]byte("no equals sign")); err == nil {
		t.Error("a line without '=': no error")
	}
}

// Both forms of the same settings give the same configuration.
func TestJSONGivesTheSame(t *testing.T) {
	s, err := ParseJSON([]byte(sameSettingsAsJSON))
	if err != nil {
		t.Fatal(err)
	}
	got, want := configOf(t, s), configOf(t, parseLines(t, someSettings))
	if !reflect.DeepEqual(got, want) {
		t.Errorf("JSON gives %+v, lines give %+v", got, want)
	}
	if names := s.ClassNames(); !slices.Equal(names, []string{"a b", "c"}) {
		t.Errorf("classes %q", names)
	}
	columns := s.words("telemetry.columns")
	if i := s.InFlightColumn(); i != 3 || columns[i] != "busy_reqs" {
		t.Errorf("column %d of %q", i, columns)
	}
	if zones := s.ZoneNames(); zones != nil {
		t.Errorf("zones %q, want none", zones)
	}
}

func TestParseJSONRejectsWhatIsNoObject(t *testing.T) {
	for _, text := range []string{"", "[]", `{"balancers":`, "7"} {
		if _, err := ParseJSON([]byte(text)); err == nil {
			t.Errorf("%q: no error", text)
		}
	}
}
