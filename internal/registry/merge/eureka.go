package merge

import (
	"net"
	"strconv"
	"time"

	"mothridge/internal/registry/eureka"
	"mothridge/membership"
)

// Mapping names the metadata keys of an instance that hold what the registry's own fields do
// not. An empty key maps nothing.
type Mapping struct {
	Zone          string
	MachineType   string
	Cell          string
	Weight        string // value: a number above 0 and below maxWeight; any other counts as 1
	Protocol      string
	StartedAt     string // value: Unix time in milliseconds
	UseSecurePort bool   // endpoints are reached at their secure port
}

const (
	defaultWeight = 1
	maxWeight     = 1e6
	maxStartMs    = 1 << 43 // in the year 2248; keeps the time within a Duration
)

// UsesKey reports whether any field is mapped from the metadata of that key.
func (m *Mapping) UsesKey(key string) bool {
	switch key {
	case "":
		return false
	case m.Zone, m.MachineType, m.Cell, m.Weight, m.Protocol, m.StartedAt:
		return true
	}
	return false
}

// UpdateEureka applies an update of a Eureka registry as that of a source. It does not keep the
// update.
func (m *Merger) UpdateEureka(source int, mapping Mapping, update eureka.Update) {
	if update.Complete {
		m.replaceList(source, update.Replica, mapping.instances(update.Instances))
		return
	}
	m.applyDelta(source, update.Replica, mapping.deltas(update.Instances))
}

func (m *Mapping) instances(registered []eureka.Instance) []membership.Instance {
	list := make([]membership.Instance, 0, len(registered))
	for i := range registered {
		if instance, ok := m.instance(&registered[i]); ok {
			list = append(list, instance)
		}
	}
	return list
}

func (m *Mapping) deltas(registered []eureka.Instance) []membership.Delta {
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

// instance maps an instance; false where it has no address.
func (m *Mapping) instance(registered *eureka.Instance) (membership.Instance, bool) {
	addr, ok := m.address(registered)
	if !ok {
		return membership.Instance{}, false
	}
	value := func(key string) string {
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
		Zone:        value(m.Zone),
		MachineType: value(m.MachineType),
		Cell:        value(m.Cell),
		Protocol:    value(m.Protocol),
		Weight:      parseWeight(value(m.Weight)),
		StartedAt:   parseStart(value(m.StartedAt)),
		Dirty:       registered.Dirty,
		Updated:     registered.Updated,
	}, true
}

// address returns the IP address and port of an instance. There is no name service, so its
// host name counts only where it is an address.
func (m *Mapping) address(registered *eureka.Instance) (string, bool) {
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

// effectiveStatus returns an instance's status under its override. A registry reports the
// override as the status; where one does not, the stricter of the two applies.
func effectiveStatus(registered *eureka.Instance) membership.Status {
	status := parseStatus(registered.Status)
	if registered.Override == "" || registered.Override == "UNKNOWN" {
		return status
	}
	return max(status, parseStatus(registered.Override))
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

// parseStart returns the Unix time of a start; 0 where the text is not one.
func parseStart(text string) time.Duration {
	ms, err := strconv.ParseInt(text, 10, 64)
	if err == nil && ms > 0 && ms < maxStartMs {
		return time.Duration(ms) * time.Millisecond
	}
	return 0
}
