package msgrpc

import (
	"slices"
	"strconv"
	"time"

	"mothridge/internal/hopbyhop"
)

// HasOwnKey reports whether a header field has its own key in the mapping.
func HasOwnKey(field string) bool { return new(Call).SetHTTPField(field, nil) }

// SetHTTPField stores a header field of an HTTP request under its own key, and reports whether the field
// has one.
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
	default:
		return false
	}
	return true
}

// setWorkHint sets ExpectedWork if text is a number greater than 0. The number is in microseconds.
func (call *Call) setWorkHint(text string) {
	value, err := strconv.ParseFloat(text, 64)
	if err == nil && value > 0 {
		call.ExpectedWork = toDuration(value, time.Microsecond)
	}
}

// HTTPFields returns the header fields of an HTTP request for this call, except those that belong to one hop. If
// call.Fields is not nil, HTTPFields modifies and returns that map.
func (call *Call) HTTPFields() map[string][]string {
	fields := call.Fields
	if fields == nil {
		fields = make(map[string][]string, 4)
	}
	hopbyhop.Remove(fields)
	for name := range fields { // for a field with its own key, only the value of that key is used
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

// CanEncodeField reports whether a message may contain a header field of an HTTP message. The bytes of an HTTP value
// need not be UTF-8; a reader that expects UTF-8 in a str could not continue to read its stream.
func CanEncodeField(name string, values []string) bool {
	isNotPlain := func(value string) bool { return !isPlainText(value) }
	return isPlainText(name) && !slices.ContainsFunc(values, isNotPlain)
}
