package membership

import (
	"fmt"
	"slices"
)

// Member is an endpoint as shown to operators.
type Member struct {
	Change
	Claims []string `json:"Claims"` // the source, instance ID and status of each record, sorted
}

// Members returns at most limit endpoints, sorted by address, whose addresses sort after the
// argument after. The result includes endpoints that have only tombstones left.
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

// member returns the endpoint as shown to operators.
func (ep *endpoint) member() Member {
	member := Member{Change: ep.published}
	member.Addr = ep.addr
	if !ep.isPublished {
		member.Reason = "no source lists this endpoint any longer"
	}
	for _, rec := range ep.records {
		member.Claims = append(member.Claims, rec.describe())
	}
	slices.Sort(member.Claims)
	return member
}

// describe returns the source, instance ID and status of the record as one text, for Member.Claims.
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
