// Package eureka follows a Eureka registry by its REST API (github.com/Netflix/eureka, wiki page
// "Eureka REST operations"), as JSON or XML, and registers the sidecar with it. What the updates
// mean is decided in package membership.
package eureka

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Instance is an instance as the registry has it.
type Instance struct {
	ID            string
	App           string
	Host          string
	IP            string
	VIP           string
	Port          int // 0: the plain port is off
	SecurePort    int // 0: the secure port is off
	Status        string
	Override      string            // empty or UNKNOWN: there is none
	Action        string            // of a delta: ADDED, MODIFIED or DELETED
	Updated       int64             // Unix ms by the registry's clock
	Dirty         int64             // Unix ms by the instance's clock
	ServiceUpTime int64             // Unix ms of its first status UP
	Metadata      map[string]string // the entries that Parse was to keep
}

// Applications is a response of the registry: a list or a delta.
type Applications struct {
	Version   string // versions__delta
	Hash      string // apps__hashcode
	Instances []Instance
}

// HashCode returns what apps__hashcode should be for a number of instances by status: each
// status with its number, in alphabetical order ("DOWN_1_UP_3_").
func HashCode(countByStatus map[string]int) string {
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(countByStatus)) {
		if n := countByStatus[status]; n > 0 {
			fmt.Fprintf(&b, "%s_%d_", status, n)
		}
	}
	return b.String()
}
