package platform

import (
	"encoding/json"

	"mothridge/internal/core"
	"mothridge/internal/settings"
)

// ListMessage is a message from discovery: the complete list of endpoints, or the endpoints that
// changed. The JSON tags of ListMessage and listEntry are the only place that uses the platform's
// names.
type ListMessage struct {
	Version   uint64      `json:"seq"`
	Complete  bool        `json:"whole"`
	Endpoints []listEntry `json:"hosts"`
}

// listEntry is the entry of one endpoint in a ListMessage.
type listEntry struct {
	Name        string  `json:"host"`
	Addr        string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineType string  `json:"class"`
	Cell        *int    `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMs float64 `json:"born_ms"` // Unix time in milliseconds; 0: long ago
}

// UnmarshalJSON decodes an entry. An entry with a field of the wrong type is decoded as an entry
// without a name, which the core ignores. An invalid entry therefore does not make the other
// entries of the list unusable.
func (e *listEntry) UnmarshalJSON(text []byte) error {
	type withoutMethods listEntry
	var decoded withoutMethods
	if err := json.Unmarshal(text, &decoded); err != nil {
		*e = listEntry{}
		return nil
	}
	*e = listEntry(decoded)
	return nil
}

// EndpointUpdate converts the message to an endpoint update of the core.
func (l ListMessage) EndpointUpdate() core.EndpointUpdate {
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

func (e *listEntry) endpoint() core.Endpoint {
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

// parseHealth converts a health value of the platform. An unknown value counts as Draining.
func parseHealth(text string) core.Health {
	switch text {
	case "up":
		return core.Ready
	case "removed":
		return core.Removed
	}
	return core.Draining
}
