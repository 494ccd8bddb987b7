package msgrpc

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Result is the result of a response, which is set if the call was served.
type Result struct {
	Fields   map[string][]string // header fields, by canonical name
	Body     []byte
	InFlight float64 // number of requests in flight reported by the node; negative if not reported
}

// Append appends the result as a response with the msgid id.
func (result *Result) Append(b []byte, id uint32) []byte {
	b = msgp.AppendNil(appendResponse(b, id))
	keyCount := uint32(1)
	if len(result.Fields) > 0 {
		keyCount++
	}
	if result.InFlight >= 0 {
		keyCount++
	}
	b = msgp.AppendMapHeader(b, keyCount)
	b = appendFields(b, result.Fields)
	if result.InFlight >= 0 {
		b = msgp.AppendFloat64(msgp.AppendString(b, keyInFlight), result.InFlight)
	}
	return msgp.AppendBytes(msgp.AppendString(b, keyBody), result.Body)
}

// ParseResult parses a result. The result does not reference the memory of b.
func ParseResult(b []byte) (*Result, error) {
	result := &Result{InFlight: -1}
	hasBody := false
	err := parseMap(b, func(key string, b []byte) (rest []byte, err error) {
		switch key {
		case keyBody:
			hasBody = true
			result.Body, rest, err = parseBytes(b, MaxResponseBytes)
		case keyFields:
			result.Fields, rest, err = parseFields(b)
		case keyInFlight:
			result.InFlight, rest, err = parseCount(b)
		default:
			rest, err = msgp.Skip(b)
		}
		return rest, err
	})
	if err != nil {
		return nil, err
	}
	if !hasBody {
		return nil, errors.New("body is missing")
	}
	return result, nil
}

// parseCount parses a number, which must be 0 or more.
func parseCount(b []byte) (float64, []byte, error) {
	count, rest, err := parseNumber(b)
	if err == nil && count < 0 {
		err = fmt.Errorf("must be 0 or more, got %v", count)
	}
	return count, rest, err
}
