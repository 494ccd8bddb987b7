package rig

import (
	"encoding/json"
	"maps"
	"time"
)

// The classes of the settings, one for each idempotency.
const (
	Read  = "read"          // idempotent
	Entry = "keyed-entry"   // idempotent by key, remembered by all nodes
	Once  = "harvest-entry" // not idempotent
)

const (
	// Deadline is how long a request of any class waits at most.
	Deadline = 2 * time.Second
	// LatencyObjective is that of all classes.
	LatencyObjective = 500 * time.Millisecond
	// ConnectIn is how long a connection may take to come up.
	ConnectIn = 250 * time.Millisecond
	// DrainWithin is how long after the notification of a drain a request may still reach a node.
	DrainWithin = 2 * time.Second
)

// tenants are the tenants of the settings.
var tenants = [...]string{"north", "south"}

// Tenant gives the name of a tenant by its number, from 0.
func Tenant(n int) string { return tenants[n%len(tenants)] }

func settings() map[string]any {
	class := func(name, semantics string) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "dedup_scope": "all", "window_ms": 5000,
			"aim_ms": LatencyObjective.Milliseconds(), "hard_limit_ms": Deadline.Milliseconds(), "worth": 1,
		}
	}
	return map[string]any{
		"balancers": 1,
		"caps": map[string]any{
			"may_cancel": true, "probes": false, "most_tries": 3, "dial_timeout_ms": ConnectIn.Milliseconds(),
			"conn_idle_ms": 30000, "max_retry_after_ms": 1200,
		},
		"classes":   []any{class(Read, "free"), class(Entry, "guarded"), class(Once, "single_shot")},
		"discovery": "push",
		"orgs": []any{
			map[string]any{"name": tenants[0], "share": 0.79}, map[string]any{"name": tenants[1], "share": 0.21},
		},
		"zones": []any{"a"},
		"rules": map[string]any{
			"cold_from": 0.3, "cold_ms": 8000, "fall_multiple": 2.5, "stop_sending_within_ms": DrainWithin.Milliseconds(),
		},
	}
}

// platformConfig is the platform's configuration of a sidecar.
func (options Options) platformConfig(listen, discovery string) ([]byte, error) {
	merged := settings()
	maps.Copy(merged, options.Settings)
	return json.Marshal(map[string]any{
		"name": "rig", "listen": listen, "discovery": discovery, "seed": options.Seed,
		"limits": map[string]any{"sockets": options.Sockets}, "settings": merged,
	})
}
