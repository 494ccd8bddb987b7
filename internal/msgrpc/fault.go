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

// Fault is a response that does not serve a call: the error of MessagePack-RPC.
type Fault struct {
	Kind       string        // one of the kinds of the mapping, or of a later version
	RetryAfter time.Duration // of KindRefused: how long to wait before a retry; 0: not said
	Text       string        // for people; may be empty
}

const (
	// maxFaultTextBytes bounds Fault.Text where it is written.
	maxFaultTextBytes = 1 << 10
	// retryAfterPrefix starts RetryAfter in the text form.
	retryAfterPrefix = keyRetryAfter + "="
	ellipsis         = "..."
)

// faultKinds are those that the text form of a fault may start with.
var faultKinds = []string{
	KindRefused, KindFailed, KindTimeout, KindRejected, KindDuplicate, KindNotStarted, KindError, KindCancelled,
}

// Append appends the fault as a response of that msgid, as a map.
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

// AppendText appends the fault as a response whose error is a str, for codecs
// that can read no other: see String.
func (fault *Fault) AppendText(b []byte, id uint32) []byte {
	return msgp.AppendNil(msgp.AppendString(appendResponse(b, id), fault.String()))
}

// String returns the text form of a fault: its kind, then " pause_ms=" with a number where
// RetryAfter is set, then ": " and Text where there is one, such as
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

// sanitize cuts a text to what may stand in a fault: valid UTF-8 of bounded
// length without control bytes, as some readers lose their stream on others.
func sanitize(text string) string {
	if len(text) > maxFaultTextBytes {
		text = text[:maxFaultTextBytes-len(ellipsis)] + ellipsis
	}
	if !utf8.ValidString(text) {
		text = strings.ToValidUTF8(text, "?")
	}
	return strings.Map(replaceControl, text)
}

func replaceControl(r rune) rune {
	if r < ' ' || r == 0x7f {
		return ' '
	}
	return r
}

// ParseFault parses the error of a response: a map, or a text: see ParseFaultText.
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

// parseValue parses the value of a key and returns the bytes after it.
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

// ParseFaultText parses the text form of a fault, as String writes it. Any other text, as
// the codecs of other people send, becomes a KindError with that text.
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

// parseRetryAfter parses "pause_ms=" and a number of milliseconds, of 0 or more.
func parseRetryAfter(option string) (retryAfter time.Duration, ok bool) {
	digits, hasPrefix := strings.CutPrefix(option, retryAfterPrefix)
	value, err := strconv.ParseFloat(digits, 64)
	if !hasPrefix || err != nil || math.IsNaN(value) || value < 0 {
		return 0, false
	}
	return toDuration(value, time.Millisecond), true
}
