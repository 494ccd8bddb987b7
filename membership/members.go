package membership

import (
	"fmt"
	"slices"
)

// Member is an endpoint as operators see it.
type Member struct {
	Change
	Claims []string `json:"Claims"` // the source, instance ID and status of each record, sorted
}

// Members returns the endpoints whose address follows after, by address, at most limit of
// them. Those of which only tombstones are left are among them.
func (s *Set) Members(after string, limit int) []Member {
	var addrs []string
	for addr := range s.endpoints {
		if addr > after {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	var members []Member
	for _, addr := range addrs[:min(limit, len(addrs))] {
		members = append(members, s.endpoints[addr].member())
	}
	return members
}

func (ep *endpoint) member() Member {
	member := Member{Change: ep.published}
	member.Addr = ep.addr
	if !ep.isPublished {
		member.Reason = "no source lists it any more"
	}
	for _, rec := range ep.records {
		member.Claims = append(member.Claims, rec.describe())
	}
	slices.Sort(member.Claims)
	return member
}

func (rec *record) describe() string {
	status := rec.Status.String()
	switch rec.state {
	case recordDeleted:
		status = "deleted"
	case recordHeld:
		status += ", lost"
	default:
	}
	return fmt.Sprintf("%s %s: %s", rec.source.name, rec.ID, status)
}
