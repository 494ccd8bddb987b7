// Package frontend holds what the listener front ends of all protocols share: the time
// limits of client connections, and what a request may say of itself. It does no I/O.
package frontend

import (
	"net/http"
	"strings"
	"time"

	"mothridge/internal/core"
	"mothridge/policy"
)

const (
	// RequestReadTimeout bounds reading a request, from its first byte to its last. A client
	// that stops half way is to get an error or a close within 3 s of the first byte.
	RequestReadTimeout = 2500 * time.Millisecond
	// LingerTimeout bounds how long a connection that is closed is read on from, so that
	// the last response is not lost to a reset.
	LingerTimeout = 250 * time.Millisecond
	// FirstByteGrace is the age at which a connection on which nothing came counts as
	// silent: before that its first bytes may be on their way.
	FirstByteGrace = 50 * time.Millisecond
	// ShutdownPollInterval is how often a front end that shuts down looks for silent connections.
	ShutdownPollInterval = 10 * time.Millisecond
)

// RequestRules knows the classes and tenants of the configuration, and what the
// requests of each class may carry. It is immutable: its methods may be called
// concurrently.
type RequestRules struct {
	classes     map[string]int
	idempotency []policy.Idempotency // by class
	tenants     map[string]int
}

// NewRequestRules makes the rules from the names of classes and tenants and from the
// idempotency of each class. Without tenants there is one, which requests do not name.
func NewRequestRules(classes []string, idempotency []policy.Idempotency, tenants []string) RequestRules {
	return RequestRules{
		classes:     core.IndexByName(classes),
		idempotency: idempotency,
		tenants:     core.IndexByName(tenants),
	}
}

// Class returns the number of a class; false where there is none of that name.
func (rules *RequestRules) Class(name string) (class int, known bool) {
	class, known = rules.classes[name]
	return class, known
}

// Tenant returns the number of a tenant; false where there is none of that name. Where
// no tenants are configured the name does not matter.
func (rules *RequestRules) Tenant(name string) (tenant int, known bool) {
	if len(rules.tenants) == 0 {
		return 0, true
	}
	tenant, known = rules.tenants[name]
	return tenant, known
}

// Idempotency returns that of a class.
func (rules *RequestRules) Idempotency(class int) policy.Idempotency { return rules.idempotency[class] }

// Method returns the HTTP method of a class's requests.
func Method(idempotency policy.Idempotency) string {
	if idempotency == policy.Idempotent {
		return http.MethodGet
	}
	return http.MethodPost
}

// Deadline returns when the response to a request has to be ready: core.ResponseMargin before
// the client gives up, and not before the request's arrival.
func Deadline(arrival time.Time, timeout time.Duration) time.Time {
	return arrival.Add(max(0, timeout-core.ResponseMargin))
}

// HasUnprintable reports whether a text has anything but printable ASCII without blanks.
func HasUnprintable(text string) bool { return strings.ContainsFunc(text, isUnprintable) }

func isUnprintable(r rune) bool { return r <= ' ' || r > '~' }
