// Package settings reads the settings that an instance starts with, in the
// simulator's form (path=value lines) and in a real sidecar's (JSON), and turns
// them into the decision module's own.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"mothridge/policy"
)

// Millis turns milliseconds on the wire into a duration. What no duration can
// hold is cut to the ends, and a NaN is 0.
func Millis(ms float64) time.Duration {
	const most = 1 << 62
	ns := math.Round(ms * 1e6)
	switch {
	case ns != ns:
		return 0
	case ns > most:
		return most
	case ns < -most:
		return -most
	}
	return time.Duration(ns)
}

// Settings are the start-up settings of an instance, by path.
type Settings struct {
	values map[string]string
	err    error // the first value that could not be read
}

// Parse reads path=value lines. Unknown keys are kept and passed over.
func Parse(info []byte) (*Settings, error) {
	s := &Settings{values: make(map[string]string, 128)}
	for n, line := range bytes.Split(info, []byte{'\n'}) {
		if line = bytes.TrimSpace(line); len(line) == 0 {
			continue
		}
		key, value, ok := strings.Cut(string(line), "=")
		if !ok {
			return nil, fmt.Errorf("settings line %d: no '=' in %.60q", n+1, line)
		}
		s.values[key] = value
	}
	return s, nil
}

// ParseJSON reads the same settings from a JSON object: the path of a value is
// the keys that lead to it, a list of plain values is joined by commas, and a
// list of objects gives its length under .count. Nulls are passed over.
func ParseJSON(text []byte) (*Settings, error) {
	var root map[string]any
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber() // a number stays as it was written
	if err := d.Decode(&root); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{values: make(map[string]string, 128)}
	for key, v := range root {
		s.flatten(key, v)
	}
	return s, nil
}

func (s *Settings) flatten(path string, v any) {
	switch v := v.(type) {
	case nil:
	case map[string]any:
		for key, inner := range v {
			s.flatten(path+"."+key, inner)
		}
	case []any:
		objects := false
		plain := make([]string, 0, len(v))
		for i, inner := range v {
			if _, ok := inner.(map[string]any); ok {
				objects = true
				s.flatten(path+"."+strconv.Itoa(i), inner)
				continue
			}
			plain = append(plain, fmt.Sprint(inner))
		}
		if objects || len(v) == 0 {
			s.values[path+".count"] = strconv.Itoa(len(v))
		}
		s.values[path] = strings.Join(plain, ",")
	default:
		s.values[path] = fmt.Sprint(v)
	}
}

// Names lists the names of the objects in a list, in their order.
func (s *Settings) Names(list string) []string {
	names := make([]string, s.count(list+".count"))
	for i := range names {
		names[i] = s.text(fmt.Sprintf("%s.%d.name", list, i))
	}
	return names
}

// Words lists the plain values of a list.
func (s *Settings) Words(list string) []string {
	if s.text(list) == "" {
		return nil
	}
	return strings.Split(s.text(list), ",")
}

// Duration reads a value in milliseconds; a missing one, and one that is not above 0, is absent.
func (s *Settings) Duration(key string, absent time.Duration) time.Duration {
	if d := Millis(s.number(key, 0)); d > 0 {
		return d
	}
	return absent
}

func (s *Settings) text(key string) string { return s.values[key] }

func (s *Settings) flag(key string) bool { return s.values[key] == "true" }

func (s *Settings) number(key string, absent float64) float64 {
	v, ok := s.values[key]
	if !ok || v == "" {
		return absent
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		s.wrong("%s is %.40q: a plain number is needed, such as 3 or 0.25", key, v)
		return absent
	}
	return f
}

// wrong notes the first value that cannot be used: its place, and what would be right.
func (s *Settings) wrong(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf("settings: "+format, args...)
	}
}

// above0 reads a value without which there is nothing to go by.
func (s *Settings) above0(key, unit string) float64 {
	f := s.number(key, 0)
	switch {
	case s.values[key] == "":
		s.wrong("%s is missing: %s are needed, a number above 0", key, unit)
	case f <= 0:
		s.wrong("%s is %s: %s are needed, a number above 0", key, s.values[key], unit)
	}
	return f
}

func (s *Settings) count(key string) int {
	const most = 1 << 16 // far above any real list; a guard against a broken figure
	n := s.number(key, 0)
	if n < 0 || n > most || n != float64(int(n)) {
		s.wrong("%s is %v: a whole number from 0 to %d is needed", key, n, most)
		return 0
	}
	return int(n)
}

// InFlightColumn tells where in a load report the number of requests held stands; -1 where absent.
func (s *Settings) InFlightColumn() int {
	for i, name := range s.Words("telemetry.columns") {
		if name == "busy_reqs" {
			return i
		}
	}
	return -1
}

// Config turns the settings into the module's own.
func (s *Settings) Config() (policy.Config, error) {
	c := policy.Config{
		FleetSize:               s.count("balancers"),
		Zone:                    s.count("zone"),
		MaxAttempts:             s.count("caps.most_tries"),
		CancelAllowed:           s.flag("caps.may_cancel"),
		ProbesAllowed:           s.flag("caps.probes"),
		ProbeLoadReports:        s.flag("caps.probes") && s.text("telemetry.how") != "silent",
		MaxRetryAfter:           Millis(s.number("caps.max_retry_after_ms", 0)),
		ClientsMarkRetries:      s.flag("client_habits.marks_retry"),
		EventResolution:         Millis(s.number("period_ms", 0)),
		WatchOnRequest:          s.text("discovery") == "ask",
		WatchRequestWithin:      Millis(s.number("rules.ask_within_ms", 0)),
		SlowStartInitialShare:   s.number("rules.cold_from", 0),
		SlowStartDuration:       Millis(s.number("rules.cold_ms", 0)),
		SlowStartOverloadFactor: s.number("rules.fall_multiple", 0),
		ProbeCost:               s.number("charges.probe", 0),
		CrossZoneCost:           s.number("charges.cross_zone", 0),
	}
	s.above0("balancers", "balancers in all")
	s.above0("caps.most_tries", "attempts for a request")
	if s.above0("classes.count", "classes of requests"); s.err != nil {
		return c, s.err
	}
	for i := range s.count("classes.count") {
		p := fmt.Sprintf("classes.%d.", i)
		k := policy.Class{
			LatencyObjective: Millis(s.above0(p+"aim_ms", "milliseconds")),
			ObjectiveStretch: s.number(p+"aim_stretch", 0),
			Deadline:         Millis(s.above0(p+"hard_limit_ms", "milliseconds")),
			LateValueShare:   s.number(p+"late_share", 0),
			PriorityWeight:   s.number(p+"worth", 0),
			DedupWindow:      Millis(s.number(p+"window_ms", 0)),
			Idempotency:      policy.NotIdempotent, // an unknown word is taken for the strictest
			DedupScope:       policy.ScopeCell,
		}
		switch s.text(p + "semantics") {
		case "free":
			k.Idempotency = policy.Idempotent
		case "guarded":
			k.Idempotency = policy.IdempotentByKey
		}
		switch s.text(p + "dedup_scope") {
		case "all":
			k.DedupScope = policy.ScopeAll
		case "zone":
			k.DedupScope = policy.ScopeZone
		}
		c.Classes = append(c.Classes, k)
	}
	for i := range s.count("orgs.count") {
		p := fmt.Sprintf("orgs.%d.", i)
		c.Tenants = append(c.Tenants, policy.Tenant{
			Share: s.number(p+"share", 0),
			Quota: s.number(p+"quota_per_s", 0),
		})
	}
	return c, s.err
}
