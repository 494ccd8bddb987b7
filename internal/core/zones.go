package core

import "maps"

// zoneNumbers maps zones to the numbers that the Balancer knows them by. Configured zones have
// their index in the configuration; others are numbered as they appear, and no number is used twice.
// Event loop only.
type zoneNumbers struct {
	byName     map[string]int
	configured int // numbers below this are never forgotten
	next       int
}

func newZoneNumbers(configured []string) zoneNumbers {
	return zoneNumbers{
		byName:     IndexByName(configured),
		configured: len(configured),
		next:       len(configured),
	}
}

// number returns the zone's number; a zone that has none gets the next one.
func (z *zoneNumbers) number(zone string) int {
	number, known := z.byName[zone]
	if !known {
		number = z.next
		z.next++
		z.byName[zone] = number
	}
	return number
}

// removeUnused forgets the zones that are neither configured nor in use by an endpoint.
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
