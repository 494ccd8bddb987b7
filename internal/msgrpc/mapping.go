package msgrpc

import (
	"errors"
	"fmt"
	"math"
	"net/textproto"
	"strings"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// The methods of the mapping.
const (
	MethodCall          = "call"           // request: one of the application's requests
	MethodProbe         = "probe"          // request, to a node: a sign of life and its load
	MethodReady         = "ready"          // request, to a sidecar: does it hold a list?
	MethodCancel        = "cancel"         // notification: nobody waits for that msgid any more
	MethodDrain         = "drain"          // notification: send nothing new on this connection
	MethodProtocolError = "protocol_error" // notification: a message was passed over, and why
)

// The kinds of a Fault.
const (
	KindRefused    = "refused"     // trying again is harmless; pause_ms says when
	KindFailed     = "failed"      // no promise about its effect
	KindTimeout    = "timeout"     // the same, as time ran out
	KindRejected   = "rejected"    // not taken: the request is wrong
	KindDuplicate  = "duplicate"   // not taken: one of this id is held
	KindNotStarted = "not_started" // of a node: it never ran
	KindError      = "error"       // of a node: it may have run
	KindCancelled  = "cancelled"   // of a node: given up as asked; it may have run
)

// Bounds of the mapping, in bytes.
const (
	MaxRequestBodyBytes = 64 << 10                     // of a request
	MaxRequestBytes     = MaxRequestBodyBytes + 24<<10 // a whole one
	MaxResponseBytes    = 1<<20 + 128<<10              // a whole answer of a node
	MaxNameBytes        = 256                          // of a request's id, class and tenant
	maxText             = 20 << 10                     // of any other text: as much as an HTTP header may hold
	maxLeft             = float64(3600 * 1e3)          // ms
)

// Call is one request of the application. Empty strings and zeros are absent.
type Call struct {
	ID             string // printable ASCII, at most MaxName bytes
	Class          string
	Tenant         string
	IdempotencyKey string        // idempotency key
	Timeout        time.Duration // how long the sender will wait, from when it sent this
	ClientRetry    bool          // a client's own further try, known as such
	ExpectedWork   time.Duration // a guess at the work
	AffinityKey    string
	Target         string              // path and query; "/" where absent
	Host           string              // the name asked
	Fields         map[string][]string // further fields, by canonical name
	Body           []byte
}

// Append appends the call as a request.
func (c *Call) Append(b []byte, id uint32) []byte {
	b = msgp.AppendArrayHeader(AppendRequest(b, id, MethodCall), 1)
	n := uint32(2)
	texts := [...]struct{ key, value string }{
		{"class", c.Class}, {"tenant", c.Tenant}, {"key", c.IdempotencyKey}, {"affinity", c.AffinityKey}, {"target", c.Target}, {"host", c.Host},
	}
	for _, t := range texts {
		if t.value != "" {
			n++
		}
	}
	for _, there := range [...]bool{c.ClientRetry, c.ExpectedWork > 0, len(c.Fields) > 0, len(c.Body) > 0} {
		if there {
			n++
		}
	}
	b = msgp.AppendMapHeader(b, n)
	b = msgp.AppendString(msgp.AppendString(b, "id"), c.ID)
	b = msgp.AppendFloat64(msgp.AppendString(b, "left_ms"), millis(c.Timeout))
	for _, t := range texts {
		if t.value != "" {
			b = msgp.AppendString(msgp.AppendString(b, t.key), t.value)
		}
	}
	if c.ClientRetry {
		b = msgp.AppendBool(msgp.AppendString(b, "retry"), true)
	}
	if c.ExpectedWork > 0 {
		b = msgp.AppendFloat64(msgp.AppendString(b, "work_us"), float64(c.ExpectedWork)/1e3)
	}
	b = appendFields(b, c.Fields)
	if len(c.Body) > 0 {
		b = msgp.AppendBytes(msgp.AppendString(b, "body"), c.Body)
	}
	return b
}

// ParseCall reads the params of a call. The error names the key and the mend.
// What it returns does not point into params.
func ParseCall(params []byte) (*Call, error) {
	c := new(Call)
	err := parseMap(params, true, func(key string, b []byte) (rest []byte, err error) {
		switch key {
		case "id":
			c.ID, b, err = text(b, MaxNameBytes)
		case "class":
			c.Class, b, err = text(b, MaxNameBytes)
		case "tenant":
			c.Tenant, b, err = text(b, MaxNameBytes)
		case "key":
			c.IdempotencyKey, b, err = text(b, maxText)
		case "affinity":
			c.AffinityKey, b, err = text(b, maxText)
		case "target":
			c.Target, b, err = text(b, maxText)
		case "host":
			c.Host, b, err = text(b, maxText)
		case "retry":
			c.ClientRetry, b, err = msgp.ReadBoolBytes(b)
		case "left_ms":
			var ms float64
			if ms, b, err = number(b); err == nil && !(ms > 0) {
				err = fmt.Errorf("%v: a time above 0 is meant", ms)
			}
			c.Timeout = time.Duration(min(ms, maxLeft) * 1e6)
		case "work_us":
			var us float64
			if us, b, err = number(b); err == nil && !(us >= 0) {
				err = fmt.Errorf("%v: a time of 0 or more is meant", us)
			}
			c.ExpectedWork = time.Duration(min(us, maxLeft*1e3) * 1e3)
		case "fields":
			c.Fields, b, err = parseFields(b)
		case "body":
			c.Body, b, err = body(b, MaxRequestBodyBytes)
		default:
			b, err = msgp.Skip(b)
		}
		return b, err
	})
	if err != nil {
		return nil, err
	}
	if c.Target == "" {
		c.Target = "/"
	}
	switch {
	case c.ID == "":
		err = errors.New("id is missing: a text that no other request of this client has")
	case c.Class == "":
		err = errors.New("class is missing: the request's class by its name in the settings")
	case c.Timeout == 0:
		err = errors.New("left_ms is missing: how long the client will wait, in milliseconds")
	case c.Target[0] != '/':
		err = fmt.Errorf("target %.40q: it begins with '/'", c.Target)
	}
	if err != nil {
		return nil, err
	}
	return c, nil
}

// Result is a good answer.
type Result struct {
	Fields   map[string][]string
	Body     []byte
	InFlight float64 // requests that the node holds, by its own word; negative: not told
}

// Append appends the result as a response.
func (r *Result) Append(b []byte, id uint32) []byte {
	b = msgp.AppendNil(appendResponse(b, id))
	n := uint32(1)
	if len(r.Fields) > 0 {
		n++
	}
	if r.InFlight >= 0 {
		n++
	}
	b = msgp.AppendMapHeader(b, n)
	b = appendFields(b, r.Fields)
	if r.InFlight >= 0 {
		b = msgp.AppendFloat64(msgp.AppendString(b, "in_flight"), r.InFlight)
	}
	return msgp.AppendBytes(msgp.AppendString(b, "body"), r.Body)
}

// ParseResult reads a result. It does not point into b.
func ParseResult(b []byte) (*Result, error) {
	r := &Result{InFlight: -1}
	seen := false
	err := parseMap(b, false, func(key string, b []byte) (rest []byte, err error) {
		switch key {
		case "body":
			seen = true
			r.Body, b, err = body(b, MaxResponseBytes)
		case "fields":
			r.Fields, b, err = parseFields(b)
		case "in_flight":
			if r.InFlight, b, err = number(b); err == nil && !(r.InFlight >= 0) {
				err = fmt.Errorf("%v: a count is meant", r.InFlight)
			}
		default:
			b, err = msgp.Skip(b)
		}
		return b, err
	})
	if err == nil && !seen {
		err = errors.New("body is missing")
	}
	if err != nil {
		return nil, err
	}
	return r, nil
}

// parseMap reads a map with names as keys, inside an array of one where
// wrapped. A key that comes twice is an error: two readers might take two of them.
func parseMap(b []byte, wrapped bool, value func(key string, b []byte) ([]byte, error)) error {
	if wrapped {
		n, rest, err := msgp.ReadArrayHeaderBytes(b)
		if err != nil {
			return fmt.Errorf("params: %w", err)
		}
		if n != 1 {
			return fmt.Errorf("params has %d values: one map is meant", n)
		}
		b = rest
	}
	n, b, err := msgp.ReadMapHeaderBytes(b)
	if err != nil {
		return fmt.Errorf("a map is meant: %w", err)
	}
	const most = 64
	if n > most {
		return fmt.Errorf("a map of %d keys: %d at most", n, most)
	}
	var seen [most]string
	for i := range n {
		var raw []byte
		if raw, b, err = msgp.ReadStringZC(b); err != nil {
			return fmt.Errorf("key %d: %w", i+1, err)
		}
		key := name(raw)
		for _, s := range seen[:i] {
			if s == key {
				return fmt.Errorf("%.40q stands twice", key)
			}
		}
		seen[i] = key
		if b, err = value(key, b); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	return nil
}

// name gives a key without allocating where it is one of the mapping's.
func name(raw []byte) string {
	switch string(raw) {
	case "id":
		return "id"
	case "class":
		return "class"
	case "tenant":
		return "tenant"
	case "key":
		return "key"
	case "left_ms":
		return "left_ms"
	case "retry":
		return "retry"
	case "work_us":
		return "work_us"
	case "affinity":
		return "affinity"
	case "target":
		return "target"
	case "host":
		return "host"
	case "fields":
		return "fields"
	case "body":
		return "body"
	case "in_flight":
		return "in_flight"
	case "kind":
		return "kind"
	case "pause_ms":
		return "pause_ms"
	case "text":
		return "text"
	}
	return string(raw)
}

// text reads a text that can stand in a field of a header: no control bytes.
func text(b []byte, most int) (string, []byte, error) {
	raw, b, err := msgp.ReadStringZC(b)
	if err != nil {
		return "", b, err
	}
	if len(raw) > most {
		return "", b, fmt.Errorf("%d bytes: %d at most", len(raw), most)
	}
	for _, c := range raw {
		if control(c) {
			return "", b, fmt.Errorf("byte %#02x: no control bytes are allowed", c)
		}
	}
	return string(raw), b, nil
}

func control(c byte) bool { return c < ' ' && c != '\t' || c == 0x7f }

// IsPlainText says whether a text may stand in the mapping: it has no control bytes.
func IsPlainText(s string) bool {
	for i := range len(s) {
		if control(s[i]) {
			return false
		}
	}
	return len(s) <= maxText
}

// body reads bytes, also where an encoder without a bin type wrote a string.
func body(b []byte, most int) ([]byte, []byte, error) {
	var raw []byte
	var err error
	if msgp.NextType(b) == msgp.StrType {
		raw, b, err = msgp.ReadStringZC(b)
	} else {
		raw, b, err = msgp.ReadBytesZC(b)
	}
	if err != nil {
		return nil, b, err
	}
	if len(raw) > most {
		return nil, b, fmt.Errorf("%d bytes: %d at most", len(raw), most)
	}
	return append([]byte(nil), raw...), b, nil
}

// number reads an integer or a float that is finite.
func number(b []byte) (float64, []byte, error) {
	switch msgp.NextType(b) {
	case msgp.IntType:
		n, b, err := msgp.ReadInt64Bytes(b)
		return float64(n), b, err
	case msgp.UintType:
		n, b, err := msgp.ReadUint64Bytes(b)
		return float64(n), b, err
	case msgp.Float32Type:
		f, b, err := msgp.ReadFloat32Bytes(b)
		return finite(float64(f), b, err)
	}
	f, b, err := msgp.ReadFloat64Bytes(b)
	return finite(f, b, err)
}

func finite(f float64, b []byte, err error) (float64, []byte, error) {
	if err == nil && (math.IsNaN(f) || math.IsInf(f, 0)) {
		err = fmt.Errorf("%v is no number", f)
	}
	return f, b, err
}

// appendFields appends the key and the map, or nothing where there is none.
func appendFields(b []byte, fields map[string][]string) []byte {
	if len(fields) == 0 {
		return b
	}
	b = msgp.AppendMapHeader(msgp.AppendString(b, "fields"), uint32(len(fields)))
	for name, values := range fields {
		b = msgp.AppendString(b, name)
		if len(values) == 1 {
			b = msgp.AppendString(b, values[0])
			continue
		}
		b = msgp.AppendArrayHeader(b, uint32(len(values)))
		for _, v := range values {
			b = msgp.AppendString(b, v)
		}
	}
	return b
}

// parseFields reads fields as they can stand in an HTTP header.
func parseFields(b []byte) (map[string][]string, []byte, error) {
	n, b, err := msgp.ReadMapHeaderBytes(b)
	if err != nil {
		return nil, b, err
	}
	const most = 4096
	if n > most {
		return nil, b, fmt.Errorf("%d fields: %d at most", n, most)
	}
	fields := make(map[string][]string, min(n, 32))
	for range n {
		var key string
		if key, b, err = text(b, maxText); err != nil {
			return nil, b, err
		}
		if key == "" || strings.ContainsFunc(key, notToken) {
			return nil, b, fmt.Errorf("field %.40q: a name has letters, digits, hyphens and what else RFC 9110 allows in a token", key)
		}
		key = textproto.CanonicalMIMEHeaderKey(key)
		if fields[key] != nil {
			return nil, b, fmt.Errorf("field %s stands twice", key)
		}
		var values []string
		if values, b, err = parseValues(b); err != nil {
			return nil, b, fmt.Errorf("field %s: %w", key, err)
		}
		fields[key] = values
	}
	return fields, b, nil
}

func parseValues(b []byte) ([]string, []byte, error) {
	if msgp.NextType(b) != msgp.ArrayType {
		v, b, err := text(b, maxText)
		return []string{v}, b, err
	}
	n, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return nil, b, err
	}
	values := make([]string, 0, min(n, 16))
	for range n {
		var v string
		if v, b, err = text(b, maxText); err != nil {
			return nil, b, err
		}
		values = append(values, v)
	}
	return values, b, nil
}

// notToken says what cannot stand in a field's name (RFC 9110, section 5.6.2).
func notToken(r rune) bool {
	return !(r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", r))
}

func millis(d time.Duration) float64 { return float64(d) / 1e6 }
