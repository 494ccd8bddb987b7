package operator

import (
	"fmt"
	"net/netip"
	"net/url"
	"path"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Address is an IP address with a port.
type Address string

func (Address) expected() string { return `an IP address with a port, such as "127.0.0.1:7071"` }

func (a Address) check() error {
	ap, err := netip.ParseAddrPort(string(a))
	if a != "" && (err != nil || ap.Port() == 0) {
		return fmt.Errorf("must be %s, got %.60q", a.expected(), string(a))
	}
	return nil
}

// Pattern is a shell pattern for names: * matches any text, ? matches one character.
type Pattern string

func (Pattern) expected() string {
	return "a name pattern in quotes (* matches any text, [ab] matches a or b)"
}

func (p Pattern) check() error {
	if _, err := path.Match(string(p), ""); err != nil || p == "" {
		return fmt.Errorf("must be %s, got %.60q", p.expected(), string(p))
	}
	return nil
}

// Count is a whole number from 0 to maxCount; 0 means the default.
type Count int

func (Count) expected() string { return "a whole number, such as 64" }

func (c Count) check() error {
	if c < 0 || c > maxCount {
		return fmt.Errorf("must be a whole number from 0 (the default) to %[2]d, got %[1]d", c, maxCount)
	}
	return nil
}

// maxCount is above any realistic setting.
const maxCount = 1 << 30

// Duration is a duration with its unit, such as "5s" or "200ms", above 0 and at most
// maxDuration. An empty value means the default.
type Duration string

// Value returns the duration, or 0 for an empty or invalid one.
func (d Duration) Value() time.Duration {
	v, err := time.ParseDuration(string(d))
	if err != nil {
		return 0
	}
	return v
}

// Or returns the duration, or the given default for an empty one.
func (d Duration) Or(defaultValue time.Duration) time.Duration {
	if d == "" {
		return defaultValue
	}
	return d.Value()
}

// maxDuration is the longest duration. Messages repeat it as 24h.
const maxDuration = 24 * time.Hour

func (Duration) expected() string { return `a duration with its unit, such as "5s" or "200ms"` }

func (d Duration) check() error {
	if d == "" {
		return nil
	}
	if v, err := time.ParseDuration(string(d)); err != nil || v <= 0 || v > maxDuration {
		return fmt.Errorf("must be %s, above 0 and at most 24h, got %.60q", d.expected(), string(d))
	}
	return nil
}

// URL is the base URL of a registry.
type URL string

func (URL) expected() string { return `a URL, such as "http://127.0.0.1:8761/eureka/v2"` }

func (u URL) check() error {
	parsed, err := url.Parse(string(u))
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return fmt.Errorf("must be %s, got %.80q", u.expected(), string(u))
	}
	return nil
}

// Share is a proportion of at least 0 and below 1; 0 means the default.
type Share float64

func (Share) expected() string { return "a share from 0 (the default) to below 1, such as 0.3" }

func (s Share) check() error {
	if !(s >= 0 && s < 1) {
		return fmt.Errorf("must be %s, got %v", s.expected(), float64(s))
	}
	return nil
}

// oneOf returns an error if the word is none of the known words. It accepts an empty word: the
// table checks whether the key is required.
func oneOf(word string, known ...string) error {
	if word == "" || slices.Contains(known, word) {
		return nil
	}
	quoted := make([]string, len(known))
	for i, k := range known {
		quoted[i] = strconv.Quote(k)
	}
	last := len(quoted) - 1
	return fmt.Errorf("must be %[2]s or %[3]s, got %.60[1]q", word, strings.Join(quoted[:last], ", "), quoted[last])
}
