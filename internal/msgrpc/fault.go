package msgrpc

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

// Fault is an answer that serves nothing.
type Fault struct {
	Kind       string
	RetryAfter time.Duration // refused: how long to stay away; 0: no advice
	Text       string        // for people
}

// maxFaultTextBytes bounds what a fault says to people, in bytes.
const maxFaultTextBytes = 1 << 10

// faultKinds are those that a fault's text may begin with.
var faultKinds = []string{KindRefused, KindFailed, KindTimeout, KindRejected, KindDuplicate, KindNotStarted, KindError, KindCancelled}

// Append appends the fault as a response, as a map.
func (f *Fault) Append(b []byte, id uint32) []byte {
	b = appendResponse(b, id)
	text := sanitize(f.Text)
	n := uint32(1)
	if f.RetryAfter > 0 {
		n++
	}
	if text != "" {
		n++
	}
	b = msgp.AppendMapHeader(b, n)
	b = msgp.AppendString(msgp.AppendString(b, "kind"), f.Kind)
	if f.RetryAfter > 0 {
		b = msgp.AppendFloat64(msgp.AppendString(b, "pause_ms"), millis(f.RetryAfter))
	}
	if text != "" {
		b = msgp.AppendString(msgp.AppendString(b, "text"), text)
	}
	return msgp.AppendNil(b)
}

// AppendText appends the fault as a response whose error is a str, for codecs
// that can read no other: see String.
func (f *Fault) AppendText(b []byte, id uint32) []byte {
	return msgp.AppendNil(msgp.AppendString(appendResponse(b, id), f.String()))
}

// String writes a fault as text: its kind, then " pause_ms=" with a number where
// there is one, then ": " and what it says to people, such as
//
//	refused pause_ms=120: too many at once on one connection
func (f *Fault) String() string {
	s := f.Kind
	if f.RetryAfter > 0 {
		s += " pause_ms=" + strconv.FormatFloat(millis(f.RetryAfter), 'f', -1, 64)
	}
	if text := sanitize(f.Text); text != "" {
		s += ": " + text
	}
	return s
}

// sanitize cuts a text to what may stand in a fault: valid UTF-8 of bounded
// length without control bytes, as some readers lose their stream on others.
func sanitize(s string) string {
	if len(s) > maxFaultTextBytes {
		s = s[:maxFaultTextBytes-3] + "..."
	}
	if !utf8.ValidString(s) {
		s = strings.ToValidUTF8(s, "?")
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, s)
}

// ParseFault reads the error of a response: a map, or a text as String writes
// it. Any other text, as the codecs of other people send, is an error by that text.
func ParseFault(b []byte) (*Fault, error) {
	if msgp.NextType(b) == msgp.StrType {
		raw, _, err := msgp.ReadStringZC(b)
		if err != nil {
			return nil, err
		}
		return ParseFaultText(string(raw[:min(len(raw), 2*maxFaultTextBytes)])), nil
	}
	f := new(Fault)
	err := parseMap(b, false, func(key string, b []byte) (rest []byte, err error) {
		switch key {
		case "kind":
			f.Kind, b, err = text(b, MaxNameBytes)
		case "text":
			f.Text, b, err = text(b, maxText)
		case "pause_ms":
			var ms float64
			if ms, b, err = number(b); err == nil && !(ms >= 0) {
				err = fmt.Errorf("%v: a time of 0 or more is meant", ms)
			}
			f.RetryAfter = time.Duration(min(ms, maxLeft) * 1e6)
		default:
			b, err = msgp.Skip(b)
		}
		return b, err
	})
	if err == nil && f.Kind == "" {
		err = errors.New("kind is missing")
	}
	if err != nil {
		return nil, err
	}
	return f, nil
}

// ParseFaultText reads a text as String writes it. What is none is a KindError that
// says it.
func ParseFaultText(s string) *Fault {
	head, said, _ := strings.Cut(s, ": ")
	kind, rest, more := strings.Cut(head, " ")
	f := &Fault{Kind: kind, Text: sanitize(said)}
	if more {
		digits, is := strings.CutPrefix(rest, "pause_ms=")
		ms, err := strconv.ParseFloat(digits, 64)
		if !is || err != nil || math.IsNaN(ms) || ms < 0 {
			return &Fault{Kind: KindError, Text: sanitize(s)}
		}
		f.RetryAfter = time.Duration(min(ms, maxLeft) * 1e6)
	}
	if !slices.Contains(faultKinds, kind) {
		return &Fault{Kind: KindError, Text: sanitize(s)}
	}
	return f
}
