package msgrpc

import (
	"fmt"
	"math"
	"net/textproto"
	"time"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
	"golang.org/x/net/http/httpguts"
)

// unwrapParams returns the only element of params, which must be a map.
func unwrapParams(params []byte) ([]byte, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(params)
	if err != nil {
		return nil, fmt.Errorf("params: %w", err)
	}
	if count != 1 {
		return nil, fmt.Errorf("params must have one value, a map, got %d values", count)
	}
	return rest, nil
}

// parseMap parses a map with string keys. parseValue parses the value of a key and returns the bytes after
// the value. A duplicate key is an error, because two readers could use different values.
func parseMap(b []byte, parseValue func(key string, b []byte) (rest []byte, err error)) error {
	count, b, err := msgp.ReadMapHeaderBytes(b)
	if err != nil {
		return fmt.Errorf("value must be a map: %w", err)
	}
	if count > maxMapKeys {
		return fmt.Errorf("map must have at most %[2]d keys, got %[1]d", count, maxMapKeys)
	}
	var keys [maxMapKeys]string
	for i := range count {
		var raw []byte
		if raw, b, err = msgp.ReadStringZC(b); err != nil {
			return fmt.Errorf("key %d: %w", i+1, err)
		}
		key := internKey(raw)
		for _, earlier := range keys[:i] {
			if earlier == key {
				return fmt.Errorf("duplicate key %.40q", key)
			}
		}
		keys[i] = key
		if b, err = parseValue(key, b); err != nil {
			return fmt.Errorf("%.40s: %w", key, err)
		}
	}
	return nil
}

// parseText parses a string that is valid in a header field: at most maxBytes long and without control
// bytes.
func parseText(b []byte, maxBytes int) (string, []byte, error) {
	raw, rest, err := msgp.ReadStringZC(b)
	if err != nil {
		return "", rest, err
	}
	if len(raw) > maxBytes {
		return "", rest, fmt.Errorf("must have at most %[2]d bytes, got %[1]d", len(raw), maxBytes)
	}
	for _, char := range raw {
		if isControl(char) {
			return "", rest, fmt.Errorf("must not contain control bytes, got byte %#02x", char)
		}
	}
	return string(raw), rest, nil
}

// isControl reports whether a byte is a control byte. A tab is not.
func isControl(char byte) bool { return char < ' ' && char != '\t' || char == 0x7f }

// isPlainText reports whether a string is valid as a text of the mapping: it is UTF-8, has no control bytes and is
// not too long.
func isPlainText(text string) bool {
	for i := range len(text) {
		if isControl(text[i]) {
			return false
		}
	}
	return len(text) <= maxTextBytes && utf8.ValidString(text)
}

// parseBytes parses a bin value, or a str value from an encoder without a bin type.
func parseBytes(b []byte, maxBytes int) (data, rest []byte, err error) {
	var raw []byte
	if msgp.NextType(b) == msgp.StrType {
		raw, rest, err = msgp.ReadStringZC(b)
	} else {
		raw, rest, err = msgp.ReadBytesZC(b)
	}
	if err != nil {
		return nil, rest, err
	}
	if len(raw) > maxBytes {
		return nil, rest, fmt.Errorf("must have at most %[2]d bytes, got %[1]d", len(raw), maxBytes)
	}
	return append([]byte(nil), raw...), rest, nil
}

// parseNumber parses an integer or a finite floating-point number.
func parseNumber(b []byte) (float64, []byte, error) {
	switch msgp.NextType(b) {
	case msgp.IntType:
		value, rest, err := msgp.ReadInt64Bytes(b)
		return float64(value), rest, err
	case msgp.UintType:
		value, rest, err := msgp.ReadUint64Bytes(b)
		return float64(value), rest, err
	case msgp.Float32Type:
		value, rest, err := msgp.ReadFloat32Bytes(b)
		return checkFinite(float64(value), rest, err)
	default: // ReadFloat64Bytes returns an error if the value is not a float
		value, rest, err := msgp.ReadFloat64Bytes(b)
		return checkFinite(value, rest, err)
	}
}

// checkFinite returns its arguments, with an error if the value is NaN or infinite.
func checkFinite(value float64, rest []byte, err error) (float64, []byte, error) {
	if err == nil && (math.IsNaN(value) || math.IsInf(value, 0)) {
		err = fmt.Errorf("must be a finite number, got %v", value)
	}
	return value, rest, err
}

// parsePositiveMilliseconds parses a duration in milliseconds, which must be greater than 0.
func parsePositiveMilliseconds(b []byte) (time.Duration, []byte, error) {
	value, rest, err := parseNumber(b)
	if err != nil {
		return 0, rest, err
	}
	if value <= 0 {
		return 0, rest, fmt.Errorf("must be greater than 0, got %v", value)
	}
	return toDuration(value, time.Millisecond), rest, nil
}

// parseDuration parses a duration in a unit. The duration must be 0 or more.
func parseDuration(b []byte, unit time.Duration) (time.Duration, []byte, error) {
	value, rest, err := parseNumber(b)
	if err != nil {
		return 0, rest, err
	}
	if value < 0 {
		return 0, rest, fmt.Errorf("must be 0 or more, got %v", value)
	}
	return toDuration(value, unit), rest, nil
}

// toDuration converts a value in a unit to a duration of at most maxDuration.
func toDuration(value float64, unit time.Duration) time.Duration {
	return time.Duration(min(value, float64(maxDuration/unit)) * float64(unit))
}

// parseFields parses a map of fields that are valid in an HTTP header.
func parseFields(b []byte) (map[string][]string, []byte, error) {
	count, b, err := msgp.ReadMapHeaderBytes(b)
	if err != nil {
		return nil, b, err
	}
	if count > MaxFields {
		return nil, b, fmt.Errorf("must have at most %[2]d fields, got %[1]d", count, MaxFields)
	}
	fields := make(map[string][]string, min(count, 32))
	for range count {
		var name string
		if name, b, err = parseFieldName(b); err != nil {
			return nil, b, err
		}
		if fields[name] != nil {
			return nil, b, fmt.Errorf("duplicate field %s", name)
		}
		var values []string
		if values, b, err = parseFieldValues(b); err != nil {
			return nil, b, fmt.Errorf("field %s: %w", name, err)
		}
		fields[name] = values
	}
	return fields, b, nil
}

// parseFieldName parses the name of a header field and returns its canonical form.
func parseFieldName(b []byte) (string, []byte, error) {
	name, rest, err := parseText(b, maxTextBytes)
	if err != nil {
		return "", rest, err
	}
	if !httpguts.ValidHeaderFieldName(name) {
		return "", rest, fmt.Errorf(
			"field name %.40q must be a token of letters, digits, hyphens and others (RFC 9110, section 5.6.2)", name)
	}
	return textproto.CanonicalMIMEHeaderKey(name), rest, nil
}

// parseFieldValues parses the values of a header field: a string or an array of strings.
func parseFieldValues(b []byte) ([]string, []byte, error) {
	if msgp.NextType(b) != msgp.ArrayType {
		value, rest, err := parseText(b, maxTextBytes)
		return []string{value}, rest, err
	}
	count, b, err := msgp.ReadArrayHeaderBytes(b)
	if err != nil {
		return nil, b, err
	}
	values := make([]string, 0, min(count, 16))
	for range count {
		var value string
		if value, b, err = parseText(b, maxTextBytes); err != nil {
			return nil, b, err
		}
		values = append(values, value)
	}
	return values, b, nil
}
