package msgrpc

import (
	"errors"
	"fmt"
	"time"

	"github.com/tinylib/msgp/msgp"
)

// Call is one request of the application. An empty string or a zero value means that the key is absent.
type Call struct {
	ID             string // printable ASCII of at most MaxNameBytes
	Class          string
	Tenant         string
	IdempotencyKey string
	Timeout        time.Duration // time for which the sender waits after it has written the call
	ClientRetry    bool          // the request is known to be a retry by the client
	ExpectedWork   time.Duration // an estimate; 0 if unknown
	AffinityKey    string
	Target         string              // path and query; "/" if absent
	Host           string              // host name of the request
	Fields         map[string][]string // further header fields, by canonical name
	Body           []byte
}

// Append appends the call as a request with the msgid id.
func (call *Call) Append(b []byte, id uint32) []byte {
	b = msgp.AppendArrayHeader(AppendRequest(b, id, MethodCall), 1)
	texts := call.optionalTexts()
	b = msgp.AppendMapHeader(b, call.keyCount(&texts))
	b = appendText(b, keyID, call.ID)
	b = appendMilliseconds(b, keyTimeout, call.Timeout)
	for _, text := range texts {
		if text.value != "" {
			b = appendText(b, text.key, text.value)
		}
	}
	if call.ClientRetry {
		b = msgp.AppendBool(msgp.AppendString(b, keyClientRetry), true)
	}
	if call.ExpectedWork > 0 {
		b = appendMicroseconds(b, keyExpectedWork, call.ExpectedWork)
	}
	b = appendFields(b, call.Fields)
	if len(call.Body) > 0 {
		b = msgp.AppendBytes(msgp.AppendString(b, keyBody), call.Body)
	}
	return b
}

// keyedText is a string value and its key.
type keyedText struct{ key, value string }

// optionalTexts returns the string values that Append omits if they are empty, in the order in which it
// writes them.
func (call *Call) optionalTexts() [6]keyedText {
	return [...]keyedText{
		{keyClass, call.Class},
		{keyTenant, call.Tenant},
		{keyIdempotencyKey, call.IdempotencyKey},
		{keyAffinityKey, call.AffinityKey},
		{keyTarget, call.Target},
		{keyHost, call.Host},
	}
}

// keyCount returns the number of keys that Append writes.
func (call *Call) keyCount(texts *[6]keyedText) uint32 {
	count := uint32(2) // id and timeout
	for i := range texts {
		if texts[i].value != "" {
			count++
		}
	}
	present := [...]bool{call.ClientRetry, call.ExpectedWork > 0, len(call.Fields) > 0, len(call.Body) > 0}
	for _, isPresent := range present {
		if isPresent {
			count++
		}
	}
	return count
}

// ParseCall parses the params of a call. The error contains the key and the rule that its value breaks.
// The call does not reference the memory of params.
func ParseCall(params []byte) (*Call, error) {
	entries, err := unwrapParams(params)
	if err != nil {
		return nil, err
	}
	call := new(Call)
	if err := parseMap(entries, call.parseValue); err != nil {
		return nil, err
	}
	if call.Target == "" {
		call.Target = "/"
	}
	if err := call.check(); err != nil {
		return nil, err
	}
	return call, nil
}

// parseValue parses the value of a key and returns the bytes after the value.
func (call *Call) parseValue(key string, b []byte) (rest []byte, err error) {
	switch key {
	case keyID:
		call.ID, rest, err = parseText(b, MaxNameBytes)
	case keyClass:
		call.Class, rest, err = parseText(b, MaxNameBytes)
	case keyTenant:
		call.Tenant, rest, err = parseText(b, MaxNameBytes)
	case keyIdempotencyKey:
		call.IdempotencyKey, rest, err = parseText(b, maxTextBytes)
	case keyAffinityKey:
		call.AffinityKey, rest, err = parseText(b, maxTextBytes)
	case keyTarget:
		call.Target, rest, err = parseText(b, maxTextBytes)
	case keyHost:
		call.Host, rest, err = parseText(b, maxTextBytes)
	case keyClientRetry:
		call.ClientRetry, rest, err = msgp.ReadBoolBytes(b)
	case keyTimeout:
		call.Timeout, rest, err = parsePositiveMilliseconds(b)
	case keyExpectedWork:
		call.ExpectedWork, rest, err = parseDuration(b, time.Microsecond)
	case keyFields:
		call.Fields, rest, err = parseFields(b)
	case keyBody:
		call.Body, rest, err = parseBytes(b, MaxRequestBodyBytes)
	default:
		rest, err = msgp.Skip(b)
	}
	return rest, err
}

// check checks that the mandatory keys are present and that the target is a path.
func (call *Call) check() error {
	switch {
	case call.ID == "":
		return errors.New("id is missing: must be a string that is unique among the client's requests")
	case call.Class == "":
		return errors.New("class is missing: must be the name of a request class in the settings")
	case call.Timeout == 0:
		return errors.New("left_ms is missing: must be the time in milliseconds for which the client waits")
	case call.Target[0] != '/':
		return fmt.Errorf("target must begin with '/', got %.40q", call.Target)
	}
	return nil
}
