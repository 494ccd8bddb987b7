// Package settings decodes the start-up settings of an instance into the configuration of
// package policy. The simulator sends them as lines of path=value, the platform as JSON.
//
// The simulator and the platform define the keys and values. keys.go lists the keys that are
// read, with the term that the rest of the program uses for each; other keys are ignored.
package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Settings are the start-up settings of an instance. Each value is validated when it is read,
// not when it is parsed. A Settings is not safe for concurrent use.
type Settings struct {
	values map[string]string // by path
	err    error             // a *ValueError for the first invalid value; nil: none so far
}

// ValueError reports an invalid or missing value.
type ValueError struct {
	Key     string // path of the value
	Problem string // the rule and the value, such as "must be above 0, got -1"
}

// Error returns the key followed by the problem.
func (e *ValueError) Error() string { return "settings: " + e.Key + " " + e.Problem }

// ClassNames returns the names of the request classes, indexed by policy.Request.Class.
func (s *Settings) ClassNames() []string { return s.names(keyClasses) }

// TenantNames returns the names of the tenants, indexed by policy.Request.Tenant.
func (s *Settings) TenantNames() []string { return s.names(keyTenants) }

// ZoneNames returns the names of the zones, indexed by policy.Config.Zone.
func (s *Settings) ZoneNames() []string { return s.stringList(keyZones) }

// DialTimeout returns how long opening a connection may take, or fallback if that is not set.
func (s *Settings) DialTimeout(fallback time.Duration) time.Duration {
	return s.durationOr(keyDialTimeout, fallback)
}

// IdleConnTimeout returns how long an idle connection is kept, or fallback if that is not set.
func (s *Settings) IdleConnTimeout(fallback time.Duration) time.Duration {
	return s.durationOr(keyIdleConnTimeout, fallback)
}

// DrainGrace returns how long after an endpoint began to drain or was removed the invariant checks
// still accept an attempt that starts at the endpoint, or fallback if that is not set.
func (s *Settings) DrainGrace(fallback time.Duration) time.Duration {
	return s.durationOr(keyDrainGrace, fallback)
}

// InFlightColumn returns the index of the number of requests in flight in a load report, or -1
// if load reports do not contain that number.
func (s *Settings) InFlightColumn() int {
	return slices.Index(s.stringList(keyLoadReportColumns), columnInFlight)
}

// InFlightField returns the name of the number of requests in flight in a load report, or ""
// if load reports do not contain that number.
func (s *Settings) InFlightField() string {
	if s.InFlightColumn() < 0 {
		return ""
	}
	return columnInFlight
}

// names returns the names of the objects in a list, in list order.
func (s *Settings) names(list string) []string {
	names := make([]string, s.count(list+suffixCount))
	for i := range names {
		names[i] = s.text(item(list, i) + keyName)
	}
	return names
}

// stringList returns the elements of a list of plain values; nil if the list is absent or empty.
func (s *Settings) stringList(key string) []string {
	joined := s.text(key)
	if joined == "" {
		return nil
	}
	return strings.Split(joined, ",")
}

// durationOr reads a value in milliseconds. It returns fallback if the value is not above 0.
func (s *Settings) durationOr(key string, fallback time.Duration) time.Duration {
	if d := s.duration(key); d > 0 {
		return d
	}
	return fallback
}

// item returns the prefix of the paths of an object's values, such as "classes.0.".
func item(list string, index int) string { return fmt.Sprintf("%s.%d.", list, index) }
