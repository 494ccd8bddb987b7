package sidecar

import (
	"testing"

	"mothridge/internal/operator"
)

// How many nodes a source may list follows from the memory, unless it is said.
func TestMostNodes(t *testing.T) {
	for _, c := range []struct{ memoryMB, said, want int }{
		{0, 0, 20000}, {8, 0, 500}, {16, 0, 500}, {32, 0, 7626}, {48, 0, 15252}, {64, 0, 20000}, {1 << 20, 0, 20000}, {32, 70, 70}, {32, 30000, 30000},
	} {
		var s Config
		s.Limits.MemoryMB, s.Operator.Membership.MaxNodes = int64(c.memoryMB), operator.Count(c.said)
		if got := s.maxNodes(); got != c.want {
			t.Errorf("%+v: %d", c, got)
		}
	}
}
