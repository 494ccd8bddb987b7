// Package hopbyhop separates the header fields that belong to one hop from those that a message carries
// end to end. The hops are client to sidecar and sidecar to upstream. Each hop has its own connection, protocol
// and framing, so a field that describes one of them must not reach the other (RFC 9110, section 7.6.1). An
// upstream that received a client's Transfer-Encoding, for example, would disagree with the sidecar about
// where the request ends, and would run the rest of the body as another request (RFC 9112, section 11.2).
//
// The rule is the same for all protocols. The front ends remove the fields from requests that they read and
// from responses that they write; the transports write no request field for which IsHopByHop is true.
package hopbyhop

import (
	"net/textproto"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// connectionFields are the fields that describe a connection and the messages on it (RFC 9110, sections 7.6.1,
// 10.1.1 and 11.7), by canonical name.
var connectionFields = [...]string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authentication-Info", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// fieldsSetByEachHop are the fields that the sender of each hop sets itself, or that inform the sidecar about
// an upstream, by canonical name.
var fieldsSetByEachHop = [...]string{"Content-Length", "Host", "Not-Started", "Request-Timeout", "Server-Load"}

// isHopByHop contains all names of connectionFields and fieldsSetByEachHop. It is immutable.
var isHopByHop = nameSet(connectionFields[:], fieldsSetByEachHop[:])

func nameSet(lists ...[]string) map[string]bool {
	set := make(map[string]bool)
	for _, name := range slices.Concat(lists...) {
		set[name] = true
	}
	return set
}

// IsHopByHop reports whether a field belongs to one hop whatever the message says. name is the field's canonical
// name. Fields that a Connection field lists are removed by RemoveConnectionFields alone.
func IsHopByHop(name string) bool { return isHopByHop[name] }

// Remove removes all fields that belong to one hop: those of RemoveConnectionFields, and those that each hop
// sets itself.
func Remove(fields map[string][]string) {
	RemoveConnectionFields(fields)
	for _, name := range fieldsSetByEachHop {
		delete(fields, name)
	}
}

// RemoveConnectionFields removes the fields that describe the connection on which the message was received, and
// the fields that its Connection field lists. Blanks between a name and its colon, which net/http keeps as a part of
// the name in responses, are removed from the names first. A field is also removed if its name is not valid.
func RemoveConnectionFields(fields map[string][]string) {
	repairNames(fields)
	for _, list := range fields["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(fields, textproto.CanonicalMIMEHeaderKey(strings.Trim(name, " \t")))
		}
	}
	for _, name := range connectionFields {
		delete(fields, name)
	}
}

// repairNames moves the values of each field whose name is not canonical to the canonical name without trailing
// blanks (RFC 9112, section 5.1), and removes the field if that is no valid name either.
func repairNames(fields map[string][]string) {
	var received []string
	for name := range fields {
		if textproto.CanonicalMIMEHeaderKey(name) != name || !httpguts.ValidHeaderFieldName(name) {
			received = append(received, name)
		}
	}
	slices.Sort(received) // so that the order of the values does not depend on the order of the map
	for _, name := range received {
		values := fields[name]
		delete(fields, name)
		canonical := textproto.CanonicalMIMEHeaderKey(strings.TrimRight(name, " \t"))
		if httpguts.ValidHeaderFieldName(canonical) {
			fields[canonical] = slices.Concat(fields[canonical], values)
		}
	}
}
