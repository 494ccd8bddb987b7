package core

import (
	"maps"
	"testing"
)

// Zones without endpoints must be removed, except for configured zones, so that the table does not grow
// without bound. A zone that returns must get a new number, as no number is used twice.
func TestUnusedZonesAreRemoved(t *testing.T) {
	zones := newZoneNumbers([]string{"a", "b"})
	for want, zone := range []string{"a", "b", "c", "d"} {
		if got := zones.number(zone); got != want {
			t.Errorf("number of zone %s: got %d, want %d", zone, got, want)
		}
	}
	zones.removeUnused(map[string]*endpointState{"s-1": {entry: Endpoint{Zone: "d"}}})
	if want := map[string]int{"a": 0, "b": 1, "d": 3}; !maps.Equal(zones.byName, want) {
		t.Errorf("zones: got %v, want %v", zones.byName, want)
	}
	if got := zones.number("c"); got != 4 {
		t.Errorf("number of zone c after its return: got %d, want 4", got)
	}
}
