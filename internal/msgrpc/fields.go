package msgrpc

import (
	"strconv"
	"time"
)

// Named says whether a field has a key of its own in the mapping.
func Named(field string) bool { return new(Call).SetField(field, nil) }

// SetField sets the key that stands for a field of an HTTP request, and says
// whether there is one. A field that a hop has of its own is dropped.
func (c *Call) SetField(field string, values []string) bool {
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
		c.Key = value
	case "Affinity-Key":
		c.Affinity = value
	case "Client-Retry":
		c.Retry = value == "1"
	case "Work-Hint":
		if us, err := strconv.ParseFloat(value, 64); err == nil && us > 0 {
			c.Work = time.Duration(min(us, maxLeft*1e3) * 1e3)
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
		if Named(name) {
			delete(h, name)
		}
	}
	for _, f := range [...]struct{ name, value string }{
		{"Request-Id", c.ID}, {"Request-Class", c.Class}, {"Tenant", c.Tenant}, {"Idempotency-Key", c.Key}, {"Affinity-Key", c.Affinity},
	} {
		if f.value != "" {
			h[f.name] = []string{f.value}
		}
	}
	if c.Retry {
		h["Client-Retry"] = []string{"1"}
	}
	if c.Work > 0 {
		h["Work-Hint"] = []string{strconv.FormatFloat(float64(c.Work)/1e3, 'f', -1, 64)}
	}
	return h
}

// HopField says whether an answer's field concerns its hop alone, or its
// framing, and does not go on.
func HopField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Server-Load", "Date":
		return true
	}
	return false
}
