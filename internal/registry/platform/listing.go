package platform

import (
	"encoding/json"

	"mothridge/internal/core"
	"mothridge/internal/settings"
)

// Listing is a message of discovery: the complete list of endpoints or what changed in it. Its
// tags and those of listingEntry are the only place with the platform's names.
type Listing struct {
	Version   uint64         `json:"seq"`
	Complete  bool           `json:"whole"`
	Endpoints []listingEntry `json:"hosts"`
}

// listingEntry is one endpoint of a Listing.
type listingEntry struct {
	Name        string  `json:"host"`
	Addr        string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineType string  `json:"class"`
	Cell        *int    `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMs float64 `json:"born_ms"` // Unix time; 0: long ago
}

// UnmarshalJSON decodes an entry. One with a field of the wrong type becomes an entry without a
// name, which the core ignores, so that it makes no other entry unusable.
func (e *listingEntry) UnmarshalJSON(text []byte) error {
	type withoutMethods listingEntry
	var decoded withoutMethods
	if err := json.Unmarshal(text, &decoded); err != nil {
		*e = listingEntry{}
		return nil
	}
	*e = listingEntry(decoded)
	return nil
}

// EndpointUpdate returns the listing in the core's terms.
func (l Listing) EndpointUpdate() core.EndpointUpdate {
	update := core.EndpointUpdate{
		Version:   l.Version,
		Complete:  l.Complete,
		Endpoints: make([]core.Endpoint, 0, len(l.Endpoints)),
	}
	for i := range l.Endpoints {
		update.Endpoints = append(update.Endpoints, l.Endpoints[i].endpoint())
	}
	return update
}

func (e *listingEntry) endpoint() core.Endpoint {
	return core.Endpoint{
		Name:        e.Name,
		Addr:        e.Addr,
		Zone:        e.Zone,
		MachineType: e.MachineType,
		Cell:        e.Cell,
		Weight:      e.Weight,
		StartedAt:   settings.Millis(e.StartedAtMs),
		Health:      parseHealth(e.Health),
	}
}

// parseHealth returns the health for one of the platform's words. An unknown one is Draining.
func parseHealth(text string) core.Health {
	switch text {
	case "up":
		return core.Ready
	case "removed":
		return core.Removed
	}
	return core.Draining
}
