package msgrpc

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/tinylib/msgp/msgp"
)

// A fault with a random kind, RetryAfter and Text is parsed back unchanged from both encodings, map and
// text, apart from the sanitized Text.
func TestFaultRoundTrip(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 1))
	alphabet := []rune("abc :=äß☃\x00\n\t\x7f\"{}[],.0123456789")
	for range 2000 {
		fault := &Fault{
			Kind:       faultKinds[rng.IntN(len(faultKinds))],
			RetryAfter: time.Duration(rng.IntN(5000)) * time.Millisecond / 4,
		}
		for n := rng.IntN(40) * rng.IntN(40); n > 0; n-- {
			fault.Text += string(alphabet[rng.IntN(len(alphabet))])
		}
		for form, b := range map[string][]byte{"map": fault.Append(nil, 7), "text": fault.AppendText(nil, 7)} {
			message, err := Parse(b)
			if err != nil {
				t.Fatal(err)
			}
			got, err := ParseFault(message.Fault)
			if err != nil || got.Kind != fault.Kind || got.RetryAfter != fault.RetryAfter || got.Text != sanitize(fault.Text) {
				t.Fatalf("%s: encoded %q, got %+v, error %v", form, fault, got, err)
			}
			if !utf8.ValidString(got.Text) || strings.ContainsFunc(got.Text, func(r rune) bool { return r < ' ' || r == 0x7f }) {
				t.Fatalf("%s: got text %q, want valid UTF-8 without control characters", form, got.Text)
			}
		}
	}
}

// Other codecs may send any string as the error. A string that is not the text form of a fault becomes
// the text of a KindError. A long text is truncated.
func TestParseFaultText(t *testing.T) {
	long := strings.Repeat("x\x01", 50_000)
	for text, want := range map[string]Fault{
		"refused": {Kind: KindRefused},
		"refused pause_ms=120: compartment full": {
			Kind: KindRefused, RetryAfter: 120 * time.Millisecond, Text: "compartment full",
		},
		"not_started: draining": {Kind: KindNotStarted, Text: "draining"},
		"failed: a: b":          {Kind: KindFailed, Text: "a: b"},
		"":                      {Kind: KindError},
		"boom":                  {Kind: KindError, Text: "boom"},
		"refused by the gods":   {Kind: KindError, Text: "refused by the gods"},
		"refused pause_ms=NaN":  {Kind: KindError, Text: "refused pause_ms=NaN"},
		"refused pause_ms=-1":   {Kind: KindError, Text: "refused pause_ms=-1"},
		"refused pause_ms=1e99": {Kind: KindRefused, RetryAfter: time.Hour},
		"a\nb":                  {Kind: KindError, Text: "a b"},
		long:                    {Kind: KindError, Text: strings.Repeat("x ", 511)[:1021] + "..."},
	} {
		fault, err := ParseFault(msgp.AppendString(nil, text))
		if err != nil || *fault != want {
			t.Errorf("%.60q: got %.200v, error %v; want %.200v", text, fault, err, want)
		}
	}
	if b := (&Fault{Kind: KindRejected, Text: long}).AppendText(nil, 1); len(b) > maxFaultTextBytes+100 {
		t.Errorf("text of 100 kB: got %d encoded bytes, want at most maxFaultTextBytes+100", len(b))
	}
}
