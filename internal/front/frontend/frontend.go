// Package frontend contains what the listener front ends of all protocols share: the time
// limits of client connections and the rules that requests must follow. It does no I/O.
package frontend

import (
	"net/http"
	"strings"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

const (
	// RequestReadTimeout is the maximum time from the first byte of a request to its last. If
	// a client stops sending in the middle of a request, the front end must return an error or
	// close the connection within 3 s of the first byte.
	RequestReadTimeout = 2500 * time.Millisecond
	// LingerTimeout is the maximum time for which a front end continues to read from a
	// connection that it closes. Closing a connection with unread bytes would reset it, and
	// the client could lose the last response.
	LingerTimeout = 250 * time.Millisecond
	// FirstByteGrace is the age from which a connection without received bytes counts as
	// silent. The first bytes of a younger connection may still be in transit.
	FirstByteGrace = 50 * time.Millisecond
	// UnfinishedGrace is the time for sending a request, after which the connection of a client that is
	// still sending may make way for a new connection.
	UnfinishedGrace = 200 * time.Millisecond
	// StalledGrace is the time without a byte after which the connection of a client that has sent nothing or a part
	// of a request may make way for a new connection.
	StalledGrace = 50 * time.Millisecond
	// EvictionRetryInterval is the interval at which a front end looks again for a connection that may make way,
	// while a new connection waits.
	EvictionRetryInterval = 10 * time.Millisecond
	// EvictionLingerTimeout replaces LingerTimeout for an idle connection that makes way.
	EvictionLingerTimeout = 20 * time.Millisecond
	// ShutdownPollInterval is the interval at which a front end looks for silent connections
	// during its shutdown.
	ShutdownPollInterval = 10 * time.Millisecond
)

// IsUnfinishedOverdue reports whether a client that has sent nothing or a part of a request has had its time.
// startedAt is when the client could begin to send, lastReadAt when bytes were last read, also of an earlier request.
func IsUnfinishedOverdue(now, startedAt, lastReadAt time.Time) bool {
	if lastReadAt.Before(startedAt) {
		lastReadAt = startedAt
	}
	return now.Sub(startedAt) >= UnfinishedGrace || now.Sub(lastReadAt) >= StalledGrace
}

// RequestRules contains the configured classes and tenants and the idempotency of each
// class. It is immutable, so its methods may be called concurrently.
type RequestRules struct {
	classes     map[string]int
	idempotency []policy.Idempotency // indexed by class
	tenants     map[string]int
}

// NewRequestRules returns rules for the named classes and tenants and for the idempotency of
// each class. If tenants is empty, all requests belong to tenant 0 and need not name it.
func NewRequestRules(classes []string, idempotency []policy.Idempotency, tenants []string) RequestRules {
	return RequestRules{
		classes:     core.IndexByName(classes),
		idempotency: idempotency,
		tenants:     core.IndexByName(tenants),
	}
}

// Class returns the index of the class with the given name; known is false if there is no
// such class.
func (rules *RequestRules) Class(name string) (class int, known bool) {
	class, known = rules.classes[name]
	return class, known
}

// Tenant returns the index of the tenant with the given name; known is false if there is no
// such tenant. If no tenants are configured, Tenant returns 0 and true for every name.
func (rules *RequestRules) Tenant(name string) (tenant int, known bool) {
	if len(rules.tenants) == 0 {
		return 0, true
	}
	tenant, known = rules.tenants[name]
	return tenant, known
}

// Idempotency returns the idempotency of a class.
func (rules *RequestRules) Idempotency(class int) policy.Idempotency { return rules.idempotency[class] }

// Method returns the HTTP method that requests of a class with this idempotency use.
func Method(idempotency policy.Idempotency) string {
	if idempotency == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// Deadline returns the time by which the response to a request must be ready:
// core.ResponseMargin before the client's timeout expires, but not before the request's arrival.
func Deadline(arrival time.Time, timeout time.Duration) time.Time {
	return arrival.Add(max(0, timeout-core.ResponseMargin))
}

// HasUnprintable reports whether text contains a character other than printable, non-blank ASCII.
func HasUnprintable(text string) bool { return strings.ContainsFunc(text, isUnprintable) }

func isUnprintable(r rune) bool { return r <= ' ' || r > '~' }

// EarliestArrival returns the earliest time at which the bytes that a reader read at now can have arrived, be it that they waited
// for the reader or for the whole process. ofProcess is the EarliestArrival of the front end's configuration; it may be nil.
func EarliestArrival(now time.Time, reader *sockets.LockedReader, ofProcess func(now time.Time) time.Time) time.Time {
	arrival := reader.EarliestArrival(now)
	if ofProcess == nil {
		return arrival
	}
	if processArrival := ofProcess(now); processArrival.Before(arrival) {
		return processArrival
	}
	return arrival
}
