package merge

import (
	"net"
	"strconv"
	"time"

	"mothridge/internal/registry/eureka"
	"mothridge/membership"
)

// MetadataMapping contains the metadata keys of a registered instance from which the fields are read
// that the registry has no field of its own for. A field whose key is empty is not mapped.
type MetadataMapping struct {
	Zone          string
	MachineType   string
	Cell          string
	Weight        string // value: a number above 0 and below maxWeight; any other value means 1
	Protocol      string
	StartedAt     string // value: Unix time in milliseconds
	UseSecurePort bool   // endpoints are reached at the secure port of their instance
}

const (
	defaultWeight = 1
	maxWeight     = 1e6
	maxStartMs    = 1 << 43 // in the year 2248; a later time would overflow a time.Duration
)

// UsesKey reports whether any field is read from the metadata key.
func (m *MetadataMapping) UsesKey(key string) bool {
	switch key {
	case "":
		return false
	case m.Zone, m.MachineType, m.Cell, m.Weight, m.Protocol, m.StartedAt:
		return true
	}
	return false
}

// UpdateEureka queues an update from a Eureka registry as an update of the source with this
// index. It does not retain the update.
func (m *Merger) UpdateEureka(source int, mapping MetadataMapping, update eureka.Update) {
	if update.Complete {
		m.replaceList(source, update.Replica, mapping.instances(update.Instances))
		return
	}
	m.applyDelta(source, update.Replica, mapping.deltas(update.Instances))
}

func (m *MetadataMapping) instances(registered []eureka.Instance) []membership.Instance {
	list := make([]membership.Instance, 0, len(registered))
	for i := range registered {
		if instance, ok := m.instance(&registered[i]); ok {
			list = append(list, instance)
		}
	}
	return list
}

func (m *MetadataMapping) deltas(registered []eureka.Instance) []membership.Delta {
	deltas := make([]membership.Delta, 0, len(registered))
	for i := range registered {
		instance, ok := m.instance(&registered[i])
		if !ok {
			continue
		}
		delta := membership.Delta{Op: membership.Put, Instance: instance}
		if registered[i].Action == "DELETED" {
			delta.Op = membership.Delete
		}
		deltas = append(deltas, delta)
	}
	return deltas
}

// instance converts a registered instance. The result is false if the instance has no address.
func (m *MetadataMapping) instance(registered *eureka.Instance) (membership.Instance, bool) {
	addr, ok := m.address(registered)
	if !ok {
		return membership.Instance{}, false
	}
	metadataValue := func(key string) string {
		if key == "" {
			return ""
		}
		return registered.Metadata[key]
	}
	return membership.Instance{
		ID:          registered.ID,
		Name:        registered.ID,
		Addr:        addr,
		Status:      effectiveStatus(registered),
		Zone:        metadataValue(m.Zone),
		MachineType: metadataValue(m.MachineType),
		Cell:        metadataValue(m.Cell),
		Protocol:    metadataValue(m.Protocol),
		Weight:      parseWeight(metadataValue(m.Weight)),
		StartedAt:   parseStart(metadataValue(m.StartedAt)),
		LastDirty:   registered.LastDirty,
		LastUpdated: registered.LastUpdated,
	}, true
}

// address returns the IP address and port of a registered instance, and false if the instance
// has no port or no IP address. No DNS is available, so the host name is used only if it is an
// IP address.
func (m *MetadataMapping) address(registered *eureka.Instance) (string, bool) {
	host, port := registered.IP, registered.Port
	if m.UseSecurePort {
		port = registered.SecurePort
	}
	if net.ParseIP(host) == nil {
		host = registered.Host
	}
	if port == 0 || net.ParseIP(host) == nil {
		return "", false
	}
	return net.JoinHostPort(host, strconv.Itoa(port)), true
}

// effectiveStatus returns the status of an instance with its override applied. A registry
// normally reports the override as the status. If the two differ, the stricter one applies.
func effectiveStatus(registered *eureka.Instance) membership.Status {
	status := parseStatus(registered.Status)
	if registered.OverriddenStatus == "" || registered.OverriddenStatus == "UNKNOWN" {
		return status
	}
	return max(status, parseStatus(registered.OverriddenStatus))
}

func parseStatus(text string) membership.Status {
	switch text {
	case "UP":
		return membership.Up
	case "STARTING":
		return membership.Starting
	case "DOWN":
		return membership.Down
	case "OUT_OF_SERVICE":
		return membership.OutOfService
	}
	return membership.Unknown
}

func parseWeight(text string) float64 {
	weight, err := strconv.ParseFloat(text, 64)
	if err == nil && weight > 0 && weight < maxWeight {
		return weight
	}
	return defaultWeight
}

// parseStart returns the Unix time of a start. It returns 0 if the text is not a valid time in
// milliseconds.
func parseStart(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err == nil && ms > 0 && ms < maxStartMs {
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}
