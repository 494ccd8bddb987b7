package msgrpc

import (
	"strconv"
	"time"
)

// HasOwnKey reports whether a header field has a key of its own in the mapping.
func HasOwnKey(field string) bool { return new(Call).SetHTTPField(field, nil) }

// SetHTTPField sets the key that stands for a field of an HTTP request, and reports
// whether there is one. A field that each hop sets itself is dropped.
func (call *Call) SetHTTPField(field string, values []string) bool {
	value := ""
	if len(values) > 0 {
		value = values[0]
	}
	switch field {
	case "Request-Id":
		call.ID = value
	case "Request-Class":
		call.Class = value
	case "Tenant":
		call.Tenant = value
	case "Idempotency-Key":
		call.IdempotencyKey = value
	case "Affinity-Key":
		call.AffinityKey = value
	case "Client-Retry":
		call.ClientRetry = value == "1"
	case "Work-Hint":
		call.setWorkHint(value)
	case "Request-Timeout", "Content-Length": // set by each hop
	default:
		return false
	}
	return true
}

// setWorkHint sets the expected work, in microseconds, where the text is a number above 0.
func (call *Call) setWorkHint(text string) {
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && value > 0 {
		call.ExpectedWork = toDuration(value, time.Microsecond)
	}
}

// HTTPFields returns the fields that an HTTP request has for this call, but for its
// timeout, which the transport sets. It changes and returns call.Fields where that is set.
func (call *Call) HTTPFields() map[string][]string {
	fields := call.Fields
	if fields == nil {
		fields = make(map[string][]string, 4)
	}
	for name := range fields { // a field that has a key counts by the key alone
		if HasOwnKey(name) {
			delete(fields, name)
		}
	}
	for _, field := range [...]struct{ name, value string }{
		{"Request-Id", call.ID},
		{"Request-Class", call.Class},
		{"Tenant", call.Tenant},
		{"Idempotency-Key", call.IdempotencyKey},
		{"Affinity-Key", call.AffinityKey},
	} {
		if field.value != "" {
			fields[field.name] = []string{field.value}
		}
	}
	if call.ClientRetry {
		fields["Client-Retry"] = []string{"1"}
	}
	if call.ExpectedWork > 0 {
		fields["Work-Hint"] = []string{strconv.FormatFloat(microseconds(call.ExpectedWork), 'f', -1, 64)}
	}
	return fields
}

// IsHopByHopField reports whether a field of a response concerns one hop alone, or its
// framing, and is not forwarded.
func IsHopByHopField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Server-Load", "Date":
		return true
	}
	return false
}
