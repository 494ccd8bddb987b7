package msgrpc

import (
	"time"

	"github.com/tinylib/msgp/msgp"
)

// appendText appends a key and a string value.
func appendText(b []byte, key, value string) []byte {
	return msgp.AppendString(msgp.AppendString(b, key), value)
}

// appendMilliseconds appends a key and a duration in milliseconds.
func appendMilliseconds(b []byte, key string, duration time.Duration) []byte {
	return msgp.AppendFloat64(msgp.AppendString(b, key), milliseconds(duration))
}

// appendMicroseconds appends a key and a duration in microseconds.
func appendMicroseconds(b []byte, key string, duration time.Duration) []byte {
	return msgp.AppendFloat64(msgp.AppendString(b, key), microseconds(duration))
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

func microseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Microsecond)
}

// appendFields appends the key and the map of header fields, or nothing if there are no fields. A field
// with one value is encoded as a string, any other field as an array of strings.
func appendFields(b []byte, fields map[string][]string) []byte {
	if len(fields) == 0 {
		return b
	}
	b = msgp.AppendMapHeader(msgp.AppendString(b, keyFields), uint32(len(fields)))
	for name, values := range fields {
		b = msgp.AppendString(b, name)
		if len(values) == 1 {
			b = msgp.AppendString(b, values[0])
			continue
		}
		b = msgp.AppendArrayHeader(b, uint32(len(values)))
		for _, value := range values {
			b = msgp.AppendString(b, value)
		}
	}
	return b
}
