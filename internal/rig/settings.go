package rig

import (
	"encoding/json"
	"maps"
	"time"
)

// Classes of the settings, one for each kind of idempotency.
const (
	Read          = "read"          // idempotent
	Keyed         = "keyed-entry"   // idempotent by key; all nodes share the deduplication of keys
	NonIdempotent = "harvest-entry" // not idempotent
)

const (
	// RequestTimeout is the maximum time that a request of any class may wait.
	RequestTimeout = 2 * time.Second
	// LatencyObjective is the latency objective of all classes.
	LatencyObjective = 500 * time.Millisecond
	// DialTimeout is the timeout for establishing a connection to a node.
	DialTimeout = 250 * time.Millisecond
	// DrainTimeLimit is the time after the notification of a drain in which a request may still reach the node.
	DrainTimeLimit = 2 * time.Second
)

// tenants contains the names of the tenants of the settings.
var tenants = [...]string{"north", "south"}

// Tenant returns the name of tenant n, counted from 0. Higher numbers wrap around.
func Tenant(n int) string { return tenants[n%len(tenants)] }

// settings returns the default settings of a rig.
func settings() map[string]any {
	class := func(name, semantics string) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "dedup_scope": "all", "window_ms": 5000,
			"aim_ms": LatencyObjective.Milliseconds(), "hard_limit_ms": RequestTimeout.Milliseconds(), "worth": 1,
		}
	}
	return map[string]any{
		"balancers": 1,
		"caps": map[string]any{
			"may_cancel": true, "probes": false, "most_tries": 3, "dial_timeout_ms": DialTimeout.Milliseconds(),
			"conn_idle_ms": 30000, "max_retry_after_ms": 1200,
		},
		"classes":   []any{class(Read, "free"), class(Keyed, "guarded"), class(NonIdempotent, "single_shot")},
		"discovery": "push",
		"orgs": []any{
			map[string]any{"name": tenants[0], "share": 0.79}, map[string]any{"name": tenants[1], "share": 0.21},
		},
		"zones": []any{"a"},
		"rules": map[string]any{
			"cold_from": 0.3, "cold_ms": 8000, "fall_multiple": 2.5, "stop_sending_within_ms": DrainTimeLimit.Milliseconds(),
		},
	}
}

// platformConfig returns the platform's configuration of the sidecar as JSON.
func (o Options) platformConfig(listen, discovery string) ([]byte, error) {
	merged := settings()
	maps.Copy(merged, o.Settings)
	return json.Marshal(map[string]any{
		"name": "rig", "listen": listen, "discovery": discovery, "seed": o.Seed,
		"limits": map[string]any{"sockets": o.SocketLimit}, "settings": merged,
	})
}
