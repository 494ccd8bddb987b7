package main

// hives returns the platform's configuration of a sidecar of the site toowoomba-hives, with the figures of
// the site file and of the wire page's example.
func hives(discovery string, known map[string]any) map[string]any {
	return map[string]any{
		"discovery": discovery, "seed": "8c1f30d27a5be964", "known": known,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 1024},
		"settings": map[string]any{
			"balancers": 3, "me": 0, "zone": 0, "zones": []string{depot}, "tier": 0, "period_ms": 5.0, "discovery": "push",
			"kinds": []string{"fast-2", "std-2", "slow-2"}, "weights": "nominal", "worth_by": "request", "over_share_worth": 0.05,
			"caps": map[string]any{
				"most_tries": 3, "may_cancel": true, "probes": true, "peers": false, "second_copies": true, "retry_after": false,
				"max_retry_after_ms": 1200.0, "dial_timeout_ms": 250.0, "conn_idle_ms": 30000.0, "max_open": 27155,
				"streams_per_conn": 1, "cpu_us_per_s": 10862, "cpu_us_per_request": 0.0,
			},
			"charges":   map[string]any{"probe": 0.004, "handshake": 0.05, "waste": 0.02, "late_fail": 0.03, "cross_zone": 0.0},
			"telemetry": map[string]any{"how": "pull", "columns": []string{"failed_ps", "svc_ms", "served_ps", "busy_reqs"}},
			"rules": map[string]any{
				"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.32, "cold_ms": 8500.0, "fall_multiple": 2.5,
				"overload_for_ms": 1000.0, "stop_sending_within_ms": 2000.0,
			},
			"client_habits": map[string]any{"marks_retry": true},
			"classes": []any{
				map[string]any{
					"name": "weight-reading", "semantics": "guarded", "dedup_scope": "cell", "window_ms": 600.0,
					"aim_ms": 500.0, "hard_limit_ms": 1000.0, "late_share": 0.0, "stream": false, "worth": 5.0,
				},
				map[string]any{
					"name": "harvest-entry", "semantics": "single_shot", "dedup_scope": "all", "window_ms": 5000.0,
					"aim_ms": 600.0, "hard_limit_ms": 2500.0, "late_share": 0.0, "stream": false, "worth": 2.0,
				},
			},
			"orgs": []any{
				map[string]any{"name": "downs-apiarists", "share": 0.79, "quota_per_s": 342.0},
				map[string]any{"name": "lockyer-keepers", "share": 0.21, "quota_per_s": 91.0},
			},
		},
	}
}

// depot is the only zone of the site.
const depot = "anzac-st-depot"

// freight returns the platform's configuration of a sidecar of the site gympie-freight, with the figures of the
// site file.
func freight(discovery string, known map[string]any) map[string]any {
	return map[string]any{
		"discovery": discovery, "seed": "8c1f30d27a5be964", "known": known,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 1024},
		"settings": map[string]any{
			"balancers": 3, "me": 0, "zone": 0, "zones": freightZones, "tier": 0, "period_ms": 2.0, "discovery": "push",
			"kinds": []string{"desk-4", "desk-2"}, "weights": "rough", "worth_by": "request", "over_share_worth": 0.1,
			"caps": map[string]any{
				"most_tries": 2, "may_cancel": true, "probes": false, "peers": false, "second_copies": false, "retry_after": true,
				"max_retry_after_ms": 400.0, "dial_timeout_ms": 200.0, "conn_idle_ms": 8000.0, "max_open": 27155,
				"streams_per_conn": 1, "cpu_us_per_s": 15000, "cpu_us_per_request": 0.0,
			},
			"charges":   map[string]any{"probe": 0.0, "handshake": 0.01, "waste": 0.05, "late_fail": 0.02, "cross_zone": 0.0},
			"telemetry": map[string]any{"how": "silent", "columns": []string{}},
			"rules": map[string]any{
				"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.3, "cold_ms": 8000.0, "fall_multiple": 3.0,
				"overload_for_ms": 800.0, "stop_sending_within_ms": 3000.0,
			},
			"client_habits": map[string]any{"marks_retry": true},
			"classes": []any{
				map[string]any{
					"name": "quote", "semantics": "free", "dedup_scope": "all", "window_ms": 5000.0,
					"aim_ms": 200.0, "hard_limit_ms": 600.0, "late_share": 0.0, "stream": false, "worth": 1.0,
				},
				map[string]any{
					"name": "booking", "semantics": "guarded", "dedup_scope": "zone", "window_ms": 250.0,
					"aim_ms": 300.0, "hard_limit_ms": 900.0, "late_share": 0.1, "stream": false, "worth": 6.0,
				},
				map[string]any{
					"name": "dispatch", "semantics": "single_shot", "dedup_scope": "all", "window_ms": 5000.0,
					"aim_ms": 400.0, "hard_limit_ms": 1500.0, "late_share": 0.0, "stream": false, "worth": 3.0,
				},
			},
			"orgs": []any{
				map[string]any{"name": "hauliers", "share": 0.6, "quota_per_s": 260.0},
				map[string]any{"name": "rail", "share": 0.4, "quota_per_s": 170.0},
			},
		},
	}
}

// freightZones are the zones of the site gympie-freight.
var freightZones = []string{"mary", "cooloola", "noosa"}
