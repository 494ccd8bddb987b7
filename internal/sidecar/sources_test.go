package sidecar

import (
	"testing"

	"mothridge/internal/operator"
)

// A list that is too large would exceed the memory limit. The maximum number of endpoints follows
// from the memory limit, unless it is configured.
func TestMaxInstances(t *testing.T) {
	for name, c := range map[string]struct{ memoryMB, configured, want int }{
		"unknown memory":              {0, 0, 20000},
		"8 MB":                        {8, 0, 500},
		"16 MB":                       {16, 0, 500},
		"32 MB":                       {32, 0, 7626},
		"48 MB":                       {48, 0, 15252},
		"64 MB":                       {64, 0, 20000},
		"1 TB":                        {1 << 20, 0, 20000},
		"configured below the memory": {32, 70, 70},
		"configured above the memory": {32, 30000, 30000},
	} {
		var config Config
		config.Limits.MemoryMB = int64(c.memoryMB)
		config.Operator.Membership.MaxInstances = operator.Count(c.configured)
		if got := config.maxInstances(); got != c.want {
			t.Errorf("%s: %+v: got %d", name, c, got)
		}
	}
}
