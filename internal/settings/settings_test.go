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
			t.Errorf("in milliseconds and back: want %v, got %v", d, got)
		}
	}
	if Millis(math.NaN()) != 0 || Millis(math.Inf(1)) <= 0 || Millis(math.Inf(-1)) >= 0 {
		t.Error("Millis(NaN) must be 0, Millis(+Inf) above 0 and Millis(-Inf) below 0")
	}
}

const settingsAsLines = `balancers=3
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

const settingsAsJSON = `{"balancers":3,"caps":{"may_cancel":true,"most_tries":3,"probes":true,"retry_after":false},
	"charges":{"cross_zone":0.03},"classes":[{"name":"a b","aim_ms":500.0,"dedup_scope":"cell","hard_limit_ms":1000.0,
	"semantics":"guarded","window_ms":600.0,"worth":5.0},{"name":"c","aim_ms":600.0,"hard_limit_ms":2500.0,
	"semantics":"a_word_of_a_later_version"}],"discovery":"ask","orgs":[{"quota_per_s":342.0,"share":0.79}],
	"rules":{"cold_from":0.32},"some":{"key":[null,[1],{"x":null}]},
	"telemetry":{"columns":["failed_ps","svc_ms","served_ps","busy_reqs"],"how":"pull"},"zone":2}`

func mustParse(t *testing.T, lines string) *Settings {
	t.Helper()
	s, err := Parse([]byte(lines))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func mustConfig(t *testing.T, s *Settings) policy.Config {
	t.Helper()
	config, err := s.Config()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestConfig(t *testing.T) {
	s := mustParse(t, settingsAsLines)
	config := mustConfig(t, s)
	if config.FleetSize != 3 || config.Zone != 2 || config.MaxAttempts != 3 ||
		!config.CancelAllowed || !config.ProbesAllowed || !config.WatchOnRequest ||
		config.SlowStartInitialShare != 0.32 || config.CrossZoneCost != 0.03 {
		t.Errorf("got config %+v, want FleetSize 3, Zone 2, MaxAttempts 3, CancelAllowed, ProbesAllowed, WatchOnRequest, SlowStartInitialShare 0.32, CrossZoneCost 0.03", config)
	}
	first := config.Classes[0]
	if first.Idempotency != policy.IdempotentByKey || first.DedupScope != policy.ScopeCell ||
		first.DedupWindow != 600*time.Millisecond {
		t.Errorf("class 0: got %+v, want IdempotentByKey, ScopeCell and a DedupWindow of 600ms", first)
	}
	if config.Classes[1].Idempotency != policy.NotIdempotent {
		t.Error("unknown semantics: got another value than policy.NotIdempotent")
	}
	if tenant := config.Tenants[0]; tenant.Quota != 342 || tenant.Share != 0.79 {
		t.Errorf("tenant 0: got %+v, want quota 342 and share 0.79", tenant)
	}
	if got := s.InFlightColumn(); got != 3 {
		t.Errorf("in-flight column: got %d, want 3", got)
	}
}

func TestConfig_InvalidValue(t *testing.T) {
	for line, want := range map[string]string{
		"balancers=three":            `settings: balancers must be a finite number, got "three"`,
		"balancers=0":                "settings: balancers must be above 0, got 0 (balancers in the fleet)",
		"caps.most_tries=":           "settings: caps.most_tries is missing, must be above 0 (attempts per request)",
		"classes.count=-1":           "settings: classes.count must be above 0, got -1 (request classes)",
		"classes.count=1e9":          "settings: classes.count must be a whole number from 0 to 65536, got 1e+09",
		"classes.count=3":            "settings: classes.2.aim_ms is missing, must be above 0 (milliseconds)",
		"classes.1.hard_limit_ms=-5": "settings: classes.1.hard_limit_ms must be above 0, got -5 (milliseconds)",
		"rules.cold_from=NaN":        `settings: rules.cold_from must be a finite number, got "NaN"`,
		"orgs.count=1.5":             "settings: orgs.count must be a whole number from 0 to 65536, got 1.5",
	} {
		_, err := mustParse(t, settingsAsLines+line).Config()
		var valueError *ValueError
		if !errors.As(err, &valueError) || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", line, err, want)
		}
	}
	if _, err := Parse([]byte("no equals sign")); err == nil {
		t.Error("line without '=': got no error, want one")
	}
}

// The same settings as lines and as JSON give the same configuration.
func TestParseJSON_SameAsParse(t *testing.T) {
	s, err := ParseJSON([]byte(settingsAsJSON))
	if err != nil {
		t.Fatal(err)
	}
	got, want := mustConfig(t, s), mustConfig(t, mustParse(t, settingsAsLines))
	if !reflect.DeepEqual(got, want) {
		t.Errorf("from JSON: got %+v, want %+v as from lines", got, want)
	}
	if names := s.ClassNames(); !slices.Equal(names, []string{"a b", "c"}) {
		t.Errorf("class names: got %q, want [\"a b\" \"c\"]", names)
	}
	columns := s.stringList("telemetry.columns")
	if i := s.InFlightColumn(); i != 3 || columns[i] != "busy_reqs" {
		t.Errorf("in-flight column: got %d of %q, want 3", i, columns)
	}
	if zones := s.ZoneNames(); zones != nil {
		t.Errorf("zones: got %q, want none", zones)
	}
}

func TestParseJSON_NotAnObject(t *testing.T) {
	for _, text := range []string{"", "[]", `{"balancers":`, "7"} {
		if _, err := ParseJSON([]byte(text)); err == nil {
			t.Errorf("%q: got no error, want one", text)
		}
	}
}
