// Package eureka follows a Eureka registry by its REST API (github.com/Netflix/eureka, wiki page
// "Eureka REST operations"), in JSON or XML, and registers the sidecar with the registry. Package
// membership decides how the updates change the endpoints.
package eureka

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Instance is an instance as the registry's responses describe it.
type Instance struct {
	ID               string
	App              string
	Host             string
	IP               string
	VIP              string
	Port             int // 0: the non-TLS port is disabled
	SecurePort       int // 0: the secure port is disabled
	Status           string
	OverriddenStatus string            // overridden status; empty or UNKNOWN: no override
	Action           string            // in a delta: ADDED, MODIFIED or DELETED
	LastUpdated      int64             // time of the last update, in Unix ms by the registry's clock
	LastDirty        int64             // time of the instance's last own change, in Unix ms by the instance's clock
	ServiceUpTime    int64             // time of the first status UP, in Unix ms
	Metadata         map[string]string // the entries accepted by Parse's filter
}

// Applications is the content of a registry's response: a list of instances or a delta.
type Applications struct {
	Version   string // versions__delta
	Hash      string // apps__hashcode
	Instances []Instance
}

// HashCode returns the expected apps__hashcode of a list, given its number of instances by status. The
// hash contains each status with its count, in alphabetical order, such as "DOWN_1_UP_3_". Statuses
// without instances are left out.
func HashCode(countByStatus map[string]int) string {
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(countByStatus)) {
		if n := countByStatus[status]; n > 0 {
			fmt.Fprintf(&b, "%s_%d_", status, n)
		}
	}
	return b.String()
}
