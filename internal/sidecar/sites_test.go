package sidecar

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"mothridge/policy"
)

// site is what a site file says that reaches a sidecar by its settings.
type site struct {
	Name  string
	Net   struct{ Zones []string }
	Allow struct {
		Probes, Cancel bool
		MaxAttempts    int `toml:"max_attempts"`
	}
	Clients struct {
		MarksRetry    bool    `toml:"marks_retry"`
		MaxRetryAfter float64 `toml:"max_retry_after_ms"`
	}
	Discovery struct{ Mode string }
	Rules     struct {
		FallMultiple float64 `toml:"fall_multiple"`
	}
	Prices struct {
		Probe     float64
		CrossZone float64 `toml:"cross_zone"`
	}
	Tier []struct {
		Report struct {
			How    string
			Fields []string
		}
		Conn struct {
			Idle    float64 `toml:"idle_s"`
			Connect float64 `toml:"connect_timeout_ms"`
		}
	}
	Class []struct {
		Name, Effect, Group string
		Aim                 float64 `toml:"aim_ms"`
		Deadline            float64 `toml:"deadline_ms"`
		Late                float64 `toml:"late_worth"`
		Window              float64 `toml:"window_ms"`
		Worth               float64
	}
	Tenant []struct {
		Name  string
		Share float64
	}
}

// words are those of the settings' dialect for a site file's.
var words = map[string]string{
	"safe": "free", "keyed": "guarded", "unsafe": "single_shot",
	"answers": "piggyback", "probe": "pull", "none": "silent", "inflight": "busy_reqs", "queue": "pending",
}

// settings are those of a sidecar of the site.
func (s *site) settings() map[string]any {
	var classes, tenants, columns []any
	for _, k := range s.Class {
		classes = append(classes, map[string]any{
			"name": k.Name, "semantics": words[k.Effect], "dedup_scope": k.Group, "aim_ms": k.Aim, "hard_limit_ms": k.Deadline,
			"late_share": k.Late, "window_ms": k.Window, "worth": k.Worth,
		})
	}
	for _, t := range s.Tenant {
		tenants = append(tenants, map[string]any{"name": t.Name, "share": t.Share, "quota_per_s": 100 * t.Share})
	}
	for _, f := range s.Tier[0].Report.Fields {
		columns = append(columns, words[f])
	}
	return map[string]any{
		"balancers": 30, "classes": classes, "orgs": tenants, "zones": s.Net.Zones, "discovery": s.Discovery.Mode,
		"caps": map[string]any{
			"may_cancel": s.Allow.Cancel, "probes": s.Allow.Probes, "most_tries": s.Allow.MaxAttempts,
			"dial_timeout_ms": s.Tier[0].Conn.Connect, "conn_idle_ms": 1000 * s.Tier[0].Conn.Idle, "max_retry_after_ms": s.Clients.MaxRetryAfter,
		},
		"charges":       map[string]any{"probe": s.Prices.Probe, "cross_zone": s.Prices.CrossZone},
		"client_habits": map[string]any{"marks_retry": s.Clients.MarksRetry},
		"rules":         map[string]any{"fall_multiple": s.Rules.FallMultiple},
		"telemetry":     map[string]any{"how": words[s.Tier[0].Report.How], "columns": columns},
	}
}

// The sites under deploy/sites are other customers': whatever differs there reaches
// the decision module and the program by the settings alone.
func TestSitesOfOtherCustomers(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("%d sites, error %v", len(files), err)
	}
	seen := make(map[string]string)
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var s site
		if err := toml.Unmarshal(text, &s); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		whole, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": s.settings()})
		if err != nil {
			t.Fatal(err)
		}
		c, err := ParseConfig(whole)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		ms := func(f float64) time.Duration { return time.Duration(f * float64(time.Millisecond)) }
		for i, k := range s.Class {
			got, effects := c.Policy.Classes[i], map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NotIdempotent}
			if c.Classes[i] != k.Name || got.Idempotency != effects[k.Effect] || got.LatencyObjective != ms(k.Aim) || got.Deadline != ms(k.Deadline) ||
				got.LateValueShare != k.Late || got.PriorityWeight != k.Worth || (k.Effect == "keyed" && got.DedupWindow != ms(k.Window)) {
				t.Errorf("%s: class %s is %+v", s.Name, k.Name, got)
			}
		}
		for i, tenant := range s.Tenant {
			if c.Tenants[i] != tenant.Name || c.Policy.Tenants[i].Share != tenant.Share {
				t.Errorf("%s: tenant %s is %+v", s.Name, tenant.Name, c.Policy.Tenants[i])
			}
		}
		p := c.Policy
		if !reflect.DeepEqual(c.Zones, s.Net.Zones) || p.MaxAttempts != s.Allow.MaxAttempts || p.ProbesAllowed != s.Allow.Probes ||
			p.WatchOnRequest != (s.Discovery.Mode == "ask") || p.ClientsMarkRetries != s.Clients.MarksRetry || p.SlowStartOverloadFactor != s.Rules.FallMultiple ||
			c.DialTimeout != ms(s.Tier[0].Conn.Connect) || c.ConnIdle != ms(1000*s.Tier[0].Conn.Idle) ||
			c.LoadField != map[bool]string{true: "busy_reqs"}[len(s.Tier[0].Report.Fields) > 0] ||
			c.killGrace() != min(longest(p.Classes), maxClientWait)+killMargin {
			t.Errorf("%s: %+v", s.Name, c)
		}
		for _, name := range append(c.Classes, c.Tenants...) {
			if in := seen[name]; in != "" {
				t.Errorf("%s stands in %s and in %s: each site has names of its own", name, in, s.Name)
			}
			seen[name] = s.Name
		}
	}
}

func longest(classes []policy.Class) (most time.Duration) {
	for _, k := range classes {
		most = max(most, k.Deadline)
	}
	return most
}
