package merge

import (
	"strconv"

	"mothridge/internal/core"
	"mothridge/membership"
)

// UpdatePlatform queues an update from the platform's discovery as an update of the source with
// this index.
func (m *Merger) UpdatePlatform(source int, update core.EndpointUpdate) {
	if update.Complete {
		m.replaceList(source, "", platformList(update.Endpoints))
		return
	}
	m.applyDelta(source, "", platformDeltas(update.Endpoints))
}

func platformList(endpoints []core.Endpoint) []membership.Instance {
	var list []membership.Instance
	for i := range endpoints {
		if endpoints[i].Health != core.Removed {
			list = append(list, platformInstance(&endpoints[i]))
		}
	}
	return list
}

func platformDeltas(endpoints []core.Endpoint) []membership.Delta {
	var deltas []membership.Delta
	for i := range endpoints {
		delta := membership.Delta{Op: membership.Put, Instance: platformInstance(&endpoints[i])}
		if endpoints[i].Health == core.Removed {
			delta.Op = membership.Delete
		}
		deltas = append(deltas, delta)
	}
	return deltas
}

func platformInstance(endpoint *core.Endpoint) membership.Instance {
	instance := membership.Instance{
		ID:          endpoint.Name,
		Name:        endpoint.Name,
		Addr:        endpoint.Addr,
		Zone:        endpoint.Zone,
		MachineType: endpoint.MachineType,
		Weight:      endpoint.Weight,
		StartedAt:   endpoint.StartedAt,
	}
	if endpoint.Cell != nil {
		instance.Cell = strconv.Itoa(*endpoint.Cell)
	}
	if endpoint.Health == core.Draining {
		instance.Status = membership.OutOfService
	}
	return instance
}
