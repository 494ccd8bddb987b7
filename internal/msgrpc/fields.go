package msgrpc

import (
	"strconv"
	"time"
)

// HasOwnKey says whether a field has a key of its own in the mapping.
func HasOwnKey(field string) bool { return new(Call).SetHTTPField(field, nil) }

// SetHTTPField sets the key that stands for a field of an HTTP request, and says
// whether there is one. A field that a hop has of its own is dropped.
func (c *Call) SetHTTPField(field string, values []string) bool {
	value := ""
	if len(values) > 0 {
		value = values[0]
	}
	switch field {
	case "Request-Id":
		c.ID = value
	case "Request-Class":
		c.Class = value
	case "Tenant":
		c.Tenant = value
	case "Idempotency-Key":
		c.IdempotencyKey = value
	case "Affinity-Key":
		c.AffinityKey = value
	case "Client-Retry":
		c.ClientRetry = value == "1"
	case "Work-Hint":
		if us, err := strconv.ParseFloat(value, 64); err == nil && us > 0 {
			c.ExpectedWork = time.Duration(min(us, maxLeft*1e3) * 1e3)
		}
	case "Request-Timeout", "Content-Length":
	default:
		return false
	}
	return true
}

// HTTPFields are the fields that an HTTP request has for this call, but for its
// time left, which the transport sets. The map is the caller's.
func (c *Call) HTTPFields() map[string][]string {
	h := c.Fields
	if h == nil {
		h = make(map[string][]string, 4)
	}
	for name := range h { // a field that has a key counts by the key alone
		if HasOwnKey(name) {
			delete(h, name)
		}
	}
	for _, f := range [...]struct{ name, value string }{
		{"Request-Id", c.ID}, {"Request-Class", c.Class}, {"Tenant", c.Tenant}, {"Idempotency-Key", c.IdempotencyKey}, {"Affinity-Key", c.AffinityKey},
	} {
		if f.value != "" {
			h[f.name] = []string{f.value}
		}
	}
	if c.ClientRetry {
		h["Client-Retry"] = []string{"1"}
	}
	if c.ExpectedWork > 0 {
		h["Work-Hint"] = []string{strconv.FormatFloat(float64(c.ExpectedWork)/1e3, 'f', -1, 64)}
	}
	return h
}

// IsHopByHopField says whether an answer's field concerns its hop alone, or its
// framing, and does not go on.
func IsHopByHopField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Server-Load", "Date":
		return true
	}
	return false
}
