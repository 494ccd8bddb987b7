package core

import "maps"

// zoneNumbers maps zones to the numbers that the Balancer uses for them. The number of a configured zone is
// its index in the configuration. Other zones are numbered in the order in which they appear, and no number
// is used twice. Only the event loop uses zoneNumbers.
type zoneNumbers struct {
	byName     map[string]int
	configured int // number of configured zones, which are never removed
	next       int
}

func newZoneNumbers(configured []string) zoneNumbers {
	return zoneNumbers{
		byName:     IndexByName(configured),
		configured: len(configured),
		next:       len(configured),
	}
}

// number returns the zone's number. A zone without a number gets the next number.
func (z *zoneNumbers) number(zone string) int {
	number, known := z.byName[zone]
	if !known {
		number = z.next
		z.next++
		z.byName[zone] = number
	}
	return number
}

// removeUnused removes the zones that are neither configured nor in use by an endpoint.
func (z *zoneNumbers) removeUnused(endpoints map[string]*endpointState) {
	if len(z.byName) <= z.configured+len(endpoints) {
		return
	}
	used := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		used[endpoint.entry.Zone] = true
	}
	maps.DeleteFunc(z.byName, func(zone string, number int) bool {
		return number >= z.configured && !used[zone]
	})
}
