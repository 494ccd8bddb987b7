package load

import "mothridge/internal/rig"

// idempotencyWords are the platform's words, by fleet.Idempotency.
var idempotencyWords = []string{"free", "guarded", "single_shot"}

// millisecondsPerSecond converts what the platform's settings give in ms.
const millisecondsPerSecond = 1e3

// nodeIdleMilliseconds is how long a stand-in keeps an idle connection.
const nodeIdleMilliseconds = 30000

// settings are the platform's, by its keys, as the scenario has them.
func (w *world) settings() map[string]any {
	return map[string]any{
		"balancers":     w.scenario.Sidecars,
		"classes":       w.classSettings(),
		"orgs":          w.tenantSettings(),
		"client_habits": map[string]any{"marks_retry": true},
		"caps": map[string]any{
			"may_cancel":         true,
			"probes":             w.scenario.LoadReports,
			"most_tries":         w.scenario.MaxAttempts,
			"dial_timeout_ms":    rig.ConnectIn.Milliseconds(),
			"conn_idle_ms":       nodeIdleMilliseconds,
			"max_retry_after_ms": w.scenario.Clients.MaxRetryAfter.Milliseconds(),
		},
		"rules": map[string]any{
			"cold_from":              w.scenario.Node.InitialSpeedShare,
			"cold_ms":                w.scenario.Node.WarmUpTime.Milliseconds(),
			"fall_multiple":          w.scenario.Node.WarmUpOverloadFactor,
			"stop_sending_within_ms": rig.DrainWithin.Milliseconds(),
		},
	}
}

func (w *world) classSettings() []any {
	var classes []any
	for i, class := range w.scenario.Classes {
		classes = append(classes, map[string]any{
			"name":          className(w.scenario, i),
			"semantics":     idempotencyWords[class.Idempotency],
			"dedup_scope":   "all",
			"window_ms":     class.DedupWindow.Seconds() * millisecondsPerSecond,
			"aim_ms":        class.LatencyObjective.Seconds() * millisecondsPerSecond,
			"hard_limit_ms": class.Deadline.Seconds() * millisecondsPerSecond,
			"worth":         1,
		})
	}
	return classes
}

func (w *world) tenantSettings() []any {
	if len(w.scenario.Tenants) == 0 {
		return []any{map[string]any{"name": tenantName(w.scenario, 0), "share": 1}}
	}
	var tenants []any
	for i, tenant := range w.scenario.Tenants {
		tenants = append(tenants, map[string]any{
			"name": tenantName(w.scenario, i), "share": tenant.Share, "quota_per_s": tenant.Quota,
		})
	}
	return tenants
}
