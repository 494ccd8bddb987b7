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

// site contains the values of a site file that reach a sidecar through its settings.
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
	Tier   []siteTier
	Class  []siteClass
	Tenant []siteTenant
}

type siteTier struct {
	Report struct {
		How    string
		Fields []string
	}
	Conn struct {
		Idle    float64 `toml:"idle_s"`
		Connect float64 `toml:"connect_timeout_ms"`
	}
}

type siteClass struct {
	Name, Effect, Group string
	LatencyObjective    float64 `toml:"aim_ms"`
	Deadline            float64 `toml:"deadline_ms"`
	LateValueShare      float64 `toml:"late_worth"`
	DedupWindow         float64 `toml:"window_ms"`
	PriorityWeight      float64 `toml:"worth"`
}

type siteTenant struct {
	Name  string
	Share float64
}

// settingsTerms maps the terms of a site file to the terms of the settings.
var settingsTerms = map[string]string{
	"safe": "free", "keyed": "guarded", "unsafe": "single_shot",
	"answers": "piggyback", "probe": "pull", "none": "silent", "inflight": "busy_reqs", "queue": "pending",
}

// idempotencyTerms maps the effects of a site file to the idempotency of package policy.
var idempotencyTerms = map[string]policy.Idempotency{
	"safe": policy.Idempotent, "keyed": policy.IdempotentByKey, "unsafe": policy.NotIdempotent,
}

// settings returns the settings of a sidecar of the site.
func (s *site) settings() map[string]any {
	var classes, tenants, columns []any
	for _, class := range s.Class {
		classes = append(classes, map[string]any{
			"name": class.Name, "semantics": settingsTerms[class.Effect], "dedup_scope": class.Group,
			"aim_ms": class.LatencyObjective, "hard_limit_ms": class.Deadline,
			"late_share": class.LateValueShare, "window_ms": class.DedupWindow, "worth": class.PriorityWeight,
		})
	}
	for _, tenant := range s.Tenant {
		tenants = append(tenants, map[string]any{
			"name": tenant.Name, "share": tenant.Share, "quota_per_s": 100 * tenant.Share,
		})
	}
	tier := s.Tier[0]
	for _, field := range tier.Report.Fields {
		columns = append(columns, settingsTerms[field])
	}
	return map[string]any{
		"balancers": 30, "classes": classes, "orgs": tenants, "zones": s.Net.Zones, "discovery": s.Discovery.Mode,
		"caps": map[string]any{
			"may_cancel": s.Allow.Cancel, "probes": s.Allow.Probes, "most_tries": s.Allow.MaxAttempts,
			"dial_timeout_ms": tier.Conn.Connect, "conn_idle_ms": 1000 * tier.Conn.Idle,
			"max_retry_after_ms": s.Clients.MaxRetryAfter,
		},
		"charges":       map[string]any{"probe": s.Prices.Probe, "cross_zone": s.Prices.CrossZone},
		"client_habits": map[string]any{"marks_retry": s.Clients.MarksRetry},
		"rules":         map[string]any{"fall_multiple": s.Rules.FallMultiple},
		"telemetry":     map[string]any{"how": settingsTerms[tier.Report.How], "columns": columns},
	}
}

// The sites under deploy/sites belong to other customers. All their differences must reach package
// policy and the program through the settings alone; a constant in the code would break these sites.
func TestSitesOfOtherCustomers(t *testing.T) {
	files, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(files) < 2 {
		t.Fatalf("got %d sites, error %v, want at least 2", len(files), err)
	}
	siteByName := make(map[string]string)
	for _, path := range files {
		site, config := loadSite(t, path)
		checkSiteClasses(t, site, config)
		checkSiteTenants(t, site, config)
		checkSiteLimits(t, site, config)
		for _, name := range append(config.Classes, config.Tenants...) {
			if other := siteByName[name]; other != "" {
				t.Errorf("name %s is used in %s and in %s, want distinct names in each site", name, other, site.Name)
			}
			siteByName[name] = site.Name
		}
	}
}

// loadSite reads a site file and returns it with the configuration of one of its sidecars.
func loadSite(t *testing.T, path string) (*site, *Config) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var s site
	if err := toml.Unmarshal(text, &s); err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	document, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": noDiscovery, "seed": "1", "settings": s.settings(),
	})
	if err != nil {
		t.Fatal(err)
	}
	config, err := ParseConfig(document)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return &s, config
}

func checkSiteClasses(t *testing.T, s *site, config *Config) {
	t.Helper()
	for i, class := range s.Class {
		got := config.Policy.Classes[i]
		if config.Classes[i] != class.Name || got.Idempotency != idempotencyTerms[class.Effect] ||
			got.LatencyObjective != milliseconds(class.LatencyObjective) || got.Deadline != milliseconds(class.Deadline) ||
			got.LateValueShare != class.LateValueShare || got.PriorityWeight != class.PriorityWeight ||
			(class.Effect == "keyed" && got.DedupWindow != milliseconds(class.DedupWindow)) {
			t.Errorf("%s: class %s: got %+v", s.Name, class.Name, got)
		}
	}
}

func checkSiteTenants(t *testing.T, s *site, config *Config) {
	t.Helper()
	for i, tenant := range s.Tenant {
		if config.Tenants[i] != tenant.Name || config.Policy.Tenants[i].Share != tenant.Share {
			t.Errorf("%s: tenant %s: got %+v", s.Name, tenant.Name, config.Policy.Tenants[i])
		}
	}
}

func checkSiteLimits(t *testing.T, s *site, config *Config) {
	t.Helper()
	policyConfig, tier := config.Policy, s.Tier[0]
	loadField := ""
	if len(tier.Report.Fields) > 0 {
		loadField = "busy_reqs"
	}
	if !reflect.DeepEqual(config.Zones, s.Net.Zones) ||
		policyConfig.MaxAttempts != s.Allow.MaxAttempts ||
		policyConfig.ProbesAllowed != s.Allow.Probes ||
		policyConfig.WatchOnRequest != (s.Discovery.Mode == "ask") ||
		policyConfig.ClientsMarkRetries != s.Clients.MarksRetry ||
		policyConfig.SlowStartOverloadFactor != s.Rules.FallMultiple ||
		config.DialTimeout != milliseconds(tier.Conn.Connect) ||
		config.UpstreamIdleTimeout != milliseconds(1000*tier.Conn.Idle) ||
		config.InFlightFieldName != loadField ||
		config.killGrace() != min(longestDeadline(policyConfig.Classes), maxClientWait)+killMargin {
		t.Errorf("%s: got configuration %+v", s.Name, config)
	}
}

func milliseconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Millisecond))
}

func longestDeadline(classes []policy.Class) (longest time.Duration) {
	for _, class := range classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
