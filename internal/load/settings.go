package load

import "mothridge/internal/rig"

// platformIdempotencyNames are the names in the platform's settings, indexed by fleet.Idempotency.
var platformIdempotencyNames = []string{"free", "guarded", "single_shot"}

// millisecondsPerSecond converts seconds to the ms of the platform's settings.
const millisecondsPerSecond = 1e3

// nodeIdleMilliseconds is how long, in ms, a stand-in keeps an idle connection open.
const nodeIdleMilliseconds = 30000

// settings returns the platform's settings, under the platform's keys, with the scenario's values.
func (e *environment) settings() map[string]any {
	return map[string]any{
		"balancers":     e.scenario.Sidecars,
		"classes":       e.classSettings(),
		"orgs":          e.tenantSettings(),
		"client_habits": map[string]any{"marks_retry": true},
		"caps": map[string]any{
			"may_cancel":         true,
			"probes":             e.scenario.LoadReports,
			"most_tries":         e.scenario.MaxAttempts,
			"dial_timeout_ms":    rig.DialTimeout.Milliseconds(),
			"conn_idle_ms":       nodeIdleMilliseconds,
			"max_retry_after_ms": e.scenario.Clients.MaxRetryAfter.Milliseconds(),
		},
		"rules": map[string]any{
			"cold_from":              e.scenario.Node.InitialSpeedShare,
			"cold_ms":                e.scenario.Node.WarmUpTime.Milliseconds(),
			"fall_multiple":          e.scenario.Node.WarmUpOverloadFactor,
			"stop_sending_within_ms": rig.DrainTimeLimit.Milliseconds(),
		},
	}
}

// classSettings returns the settings of the scenario's classes.
func (e *environment) classSettings() []any {
	var classes []any
	for i, class := range e.scenario.Classes {
		classes = append(classes, map[string]any{
			"name":          className(e.scenario, i),
			"semantics":     platformIdempotencyNames[class.Idempotency],
			"dedup_scope":   "all",
			"window_ms":     class.DedupWindow.Seconds() * millisecondsPerSecond,
			"aim_ms":        class.LatencyObjective.Seconds() * millisecondsPerSecond,
			"hard_limit_ms": class.Deadline.Seconds() * millisecondsPerSecond,
			"worth":         1,
		})
	}
	return classes
}

// tenantSettings returns the settings of the scenario's tenants, or of one tenant if the scenario has none.
func (e *environment) tenantSettings() []any {
	if len(e.scenario.Tenants) == 0 {
		return []any{map[string]any{"name": tenantName(e.scenario, 0), "share": 1}}
	}
	var tenants []any
	for i, tenant := range e.scenario.Tenants {
		tenants = append(tenants, map[string]any{
			"name": tenantName(e.scenario, i), "share": tenant.Share, "quota_per_s": tenant.Quota,
		})
	}
	return tenants
}
