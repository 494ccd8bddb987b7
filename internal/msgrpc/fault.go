package msgrpc

import (
	"errors"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

// Fault is the error of a MessagePack-RPC response, which is set if the request was not served.
type Fault struct {
	Kind       string        // one of the kinds of the mapping, or a kind of a later version
	RetryAfter time.Duration // for KindRefused: time to wait before a retry; 0 if not specified
	Text       string        // message for people; may be empty
}

const (
	// maxFaultTextBytes is the maximum length of an encoded Fault.Text.
	maxFaultTextBytes = 1 << 10
	// retryAfterPrefix precedes the value of RetryAfter in the text form.
	retryAfterPrefix = keyRetryAfter + "="
	ellipsis         = "..."
)

// faultKinds are the kinds that the text form of a fault may start with.
var faultKinds = []string{
	KindRefused, KindFailed, KindTimeout, KindRejected, KindDuplicate, KindNotStarted, KindError, KindCancelled,
}

// Append appends a response with the msgid id whose error is the fault, encoded as a map.
func (fault *Fault) Append(b []byte, id uint32) []byte {
	text := sanitize(fault.Text)
	keyCount := uint32(1)
	if fault.RetryAfter > 0 {
		keyCount++
	}
	if text != "" {
		keyCount++
	}
	b = msgp.AppendMapHeader(appendResponse(b, id), keyCount)
	b = appendText(b, keyKind, fault.Kind)
	if fault.RetryAfter > 0 {
		b = appendMilliseconds(b, keyRetryAfter, fault.RetryAfter)
	}
	if text != "" {
		b = appendText(b, keyText, text)
	}
	return msgp.AppendNil(b)
}

// AppendText appends a response with the msgid id whose error is the fault, encoded as a string: see
// String. It is for codecs that can read an error only if it is a string.
func (fault *Fault) AppendText(b []byte, id uint32) []byte {
	return msgp.AppendNil(msgp.AppendString(appendResponse(b, id), fault.String()))
}

// String returns the text form of a fault: its kind, then " pause_ms=" and a number if RetryAfter is
// set, then ": " and Text if Text is not empty. For example:
//
//	refused pause_ms=120: too many at once on one connection
func (fault *Fault) String() string {
	form := fault.Kind
	if fault.RetryAfter > 0 {
		form += " " + retryAfterPrefix + strconv.FormatFloat(milliseconds(fault.RetryAfter), 'f', -1, 64)
	}
	if text := sanitize(fault.Text); text != "" {
		form += ": " + text
	}
	return form
}

// sanitize makes a text valid for a fault: UTF-8 of at most maxFaultTextBytes bytes without control
// characters. Some readers cannot continue to read their stream after any other text.
func sanitize(text string) string {
	if len(text) > maxFaultTextBytes {
		text = text[:maxFaultTextBytes-len(ellipsis)] + ellipsis
	}
	if !utf8.ValidString(text) {
		text = strings.ToValidUTF8(text, "?")
	}
	return strings.Map(replaceControl, text)
}

// replaceControl returns a space for a control character, and any other character unchanged.
func replaceControl(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}

// ParseFault parses the error of a response. The error is a map or a string; ParseFaultText describes the
// string.
func ParseFault(b []byte) (*Fault, error) {
	if msgp.NextType(b) == msgp.StrType {
		raw, _, err := msgp.ReadStringZC(b)
		if err != nil {
			return nil, err
		}
		return ParseFaultText(string(raw[:min(len(raw), 2*maxFaultTextBytes)])), nil
	}
	fault := new(Fault)
	if err := parseMap(b, fault.parseValue); err != nil {
		return nil, err
	}
	if fault.Kind == "" {
		return nil, errors.New("kind is missing")
	}
	return fault, nil
}

// parseValue parses the value of a key and returns the bytes after the value.
func (fault *Fault) parseValue(key string, b []byte) (rest []byte, err error) {
	switch key {
	case keyKind:
		fault.Kind, rest, err = parseText(b, MaxNameBytes)
	case keyText:
		fault.Text, rest, err = parseText(b, maxTextBytes)
	case keyRetryAfter:
		fault.RetryAfter, rest, err = parseDuration(b, time.Millisecond)
	default:
		rest, err = msgp.Skip(b)
	}
	return rest, err
}

// ParseFaultText parses the text form of a fault, in the format that String returns. Other codecs may
// send any other text, which becomes a fault of KindError with that text.
func ParseFaultText(form string) *Fault {
	head, text, _ := strings.Cut(form, ": ")
	kind, option, hasOption := strings.Cut(head, " ")
	if !slices.Contains(faultKinds, kind) {
		return &Fault{Kind: KindError, Text: sanitize(form)}
	}
	fault := &Fault{Kind: kind, Text: sanitize(text)}
	if hasOption {
		retryAfter, ok := parseRetryAfter(option)
		if !ok {
			return &Fault{Kind: KindError, Text: sanitize(form)}
		}
		fault.RetryAfter = retryAfter
	}
	return fault
}

// parseRetryAfter parses "pause_ms=" followed by a number of milliseconds, which must be 0 or more.
func parseRetryAfter(option string) (retryAfter time.Duration, ok bool) {
	digits, hasPrefix := strings.CutPrefix(option, retryAfterPrefix)
	value, err := strconv.ParseFloat(digits, 64)
	if !hasPrefix || err != nil || math.IsNaN(value) || value < 0 {
		return 0, false
	}
	return toDuration(value, time.Millisecond), true
}
