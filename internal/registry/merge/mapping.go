package merge

import (
	"net"
	"strconv"
	"time"

	"mothridge/internal/registry/eureka"
	"mothridge/membership"
)

// Mapping names the metadata of an instance that say what the registry's own
// fields do not. Empty names map nothing.
type Mapping struct {
	Zone          string
	MachineType   string
	Cell          string
	Weight        string // a number above 0
	Protocol      string
	StartedAt     string // Unix time in ms
	UseSecurePort bool   // nodes are reached at their secure port
}

// UsesKey says whether any field is told by that metadata's name.
func (m *Mapping) UsesKey(key string) bool {
	return key != "" && (key == m.Zone || key == m.MachineType || key == m.Cell || key == m.Weight || key == m.Protocol || key == m.StartedAt)
}

// instance makes a registry's instance one of the membership module's; false
// where it has no address.
func (m *Mapping) instance(i *eureka.Instance) (membership.Delta, bool) {
	port := i.Port
	if m.UseSecurePort {
		port = i.SecurePort
	}
	host := i.IP
	if net.ParseIP(host) == nil {
		host = i.Host // there is no name service here: it must be an address
	}
	if port == 0 || net.ParseIP(host) == nil {
		return membership.Delta{}, false
	}
	of := func(name string) string {
		if name == "" {
			return ""
		}
		return i.Metadata[name]
	}
	d := membership.Delta{Instance: membership.Instance{
		ID: i.ID, Name: i.ID, Addr: net.JoinHostPort(host, strconv.Itoa(port)), Status: status(i.Status),
		Zone: of(m.Zone), MachineType: of(m.MachineType), Cell: of(m.Cell), Protocol: of(m.Protocol), Weight: 1, Dirty: i.Dirty, Updated: i.Updated,
	}}
	if i.Override != "" && i.Override != "UNKNOWN" {
		// The registry shows the override as the status; where it does not, the stricter counts.
		d.Status = max(d.Status, status(i.Override))
	}
	if w, err := strconv.ParseFloat(of(m.Weight), 64); err == nil && w > 0 && w < 1e6 {
		d.Weight = w
	}
	if ms, err := strconv.ParseInt(of(m.StartedAt), 10, 64); err == nil && ms > 0 && ms < 1<<43 {
		d.StartedAt = time.Duration(ms) * time.Millisecond
	}
	if i.Action == "DELETED" {
		d.Op = membership.Delete
	}
	return d, true
}

func status(word string) membership.Status {
	switch word {
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
