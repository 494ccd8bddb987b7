// Package settings decodes the settings that an instance starts with, which the
// simulator gives as lines of path=value and the platform as JSON, into the
// configuration of package policy.
//
// The keys and words are theirs. keys.go lists those that are read, each beside the term
// that the rest of the program uses; all others are ignored.
package settings

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Settings are the start-up settings of an instance. Values are checked when they are
// read. It is not safe for concurrent use.
type Settings struct {
	values map[string]string // by path
	err    error             // the first value that cannot be used
}

// ValueError is a value that cannot be used.
type ValueError struct {
	Key     string // its path
	Problem string // what it is, and what would be right
}

// Error names the value before its problem.
func (e *ValueError) Error() string { return "settings: " + e.Key + " " + e.Problem }

// ClassNames returns the names of the request classes, by policy.Request.Class.
func (s *Settings) ClassNames() []string { return s.names(keyClasses) }

// TenantNames returns the names of the tenants, by policy.Request.Tenant.
func (s *Settings) TenantNames() []string { return s.names(keyTenants) }

// ZoneNames returns the names of the zones, by policy.Config.Zone.
func (s *Settings) ZoneNames() []string { return s.words(keyZones) }

// DialTimeout is how long a connection may take to open; fallback where it is not set.
func (s *Settings) DialTimeout(fallback time.Duration) time.Duration {
	return s.durationOr(keyDialTimeout, fallback)
}

// IdleConnTimeout is how long an idle connection is kept; fallback where it is not set.
func (s *Settings) IdleConnTimeout(fallback time.Duration) time.Duration {
	return s.durationOr(keyIdleConnTimeout, fallback)
}

// DrainGrace is how long attempts may still start at an endpoint that is draining or
// removed; fallback where it is not set.
func (s *Settings) DrainGrace(fallback time.Duration) time.Duration {
	return s.durationOr(keyDrainGrace, fallback)
}

// InFlightColumn is the index, in a load report, of the number of requests in flight; -1
// where reports do not have it.
func (s *Settings) InFlightColumn() int {
	return slices.Index(s.words(keyLoadReportColumns), columnInFlight)
}

// InFlightField is the name, in a load report, of the number of requests in flight; empty
// where reports do not have it.
func (s *Settings) InFlightField() string {
	if s.InFlightColumn() < 0 {
		return ""
	}
	return columnInFlight
}

// names returns the names of the objects in a list, in their order.
func (s *Settings) names(list string) []string {
	names := make([]string, s.count(list+suffixCount))
	for i := range names {
		names[i] = s.text(item(list, i) + keyName)
	}
	return names
}

// words returns the plain values of a list.
func (s *Settings) words(list string) []string {
	joined := s.text(list)
	if joined == "" {
		return nil
	}
	return strings.Split(joined, ",")
}

// durationOr reads a value in milliseconds; fallback stands for one that is not above 0.
func (s *Settings) durationOr(key string, fallback time.Duration) time.Duration {
	if d := s.duration(key); d > 0 {
		return d
	}
	return fallback
}

// item is the path of an object in a list, up to the name of one of its values.
func item(list string, index int) string { return fmt.Sprintf("%s.%d.", list, index) }
