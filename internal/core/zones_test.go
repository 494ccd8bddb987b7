package core

import (
	"maps"
	"testing"
)

// Zones without endpoints are forgotten, those of the configuration excepted, and no number is given twice.
func TestUnusedZonesAreForgotten(t *testing.T) {
	zones := newZoneNumbers([]string{"a", "b"})
	for want, zone := range []string{"a", "b", "c", "d"} {
		if got := zones.number(zone); got != want {
			t.Errorf("zone %s has number %d, want %d", zone, got, want)
		}
	}
	zones.removeUnused(map[string]*endpointState{"s-1": {entry: Endpoint{Zone: "d"}}})
	if want := map[string]int{"a": 0, "b": 1, "d": 3}; !maps.Equal(zones.byName, want) {
		t.Errorf("zones %v, want %v", zones.byName, want)
	}
	if got := zones.number("c"); got != 4 {
		t.Errorf("zone c has number %d when it returns, want 4", got)
	}
}
