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

// Address is an IP address and a port.
type Address string

func (Address) meant() string { return `an IP address with its port, such as "127.0.0.1:7071"` }

func (a Address) check() error {
	ap, err := netip.ParseAddrPort(string(a))
	if a != "" && (err != nil || ap.Port() == 0) {
		return fmt.Errorf("%s is meant, not %.60q", a.meant(), string(a))
	}
	return nil
}

// Pattern is a shell pattern for names: * stands for any text, ? for one character.
type Pattern string

func (Pattern) meant() string {
	return "a name in quotes, in which * stands for any text and [ab] for one of two signs"
}

func (p Pattern) check() error {
	if _, err := path.Match(string(p), ""); err != nil || p == "" {
		return fmt.Errorf("%s is meant, not %.60q", p.meant(), string(p))
	}
	return nil
}

// Count is a number of 0 or more; 0 stands for the default.
type Count int

func (Count) meant() string { return "a whole number, such as 64" }

func (c Count) check() error {
	if c < 0 || c > maxCount {
		return fmt.Errorf("%d is out of range: a whole number from 0 (the default) to %d is meant", c, maxCount)
	}
	return nil
}

// maxCount is above what could be meant.
const maxCount = 1 << 30

// Duration is a time with its unit, such as "5s" or "200ms", up to maxDuration; empty
// stands for the default.
type Duration string

// Value returns the time; 0 where there is none.
func (d Duration) Value() time.Duration {
	v, err := time.ParseDuration(string(d))
	if err != nil {
		return 0
	}
	return v
}

// Or returns the time, or the default of an empty one.
func (d Duration) Or(byDefault time.Duration) time.Duration {
	if d == "" {
		return byDefault
	}
	return d.Value()
}

// maxDuration is what messages give as 24h.
const maxDuration = 24 * time.Hour

func (Duration) meant() string { return `a time with its unit, such as "5s" or "200ms"` }

func (d Duration) check() error {
	if d == "" {
		return nil
	}
	if v, err := time.ParseDuration(string(d)); err != nil || v <= 0 || v > maxDuration {
		return fmt.Errorf("%s, up to 24h, is meant, not %.60q", d.meant(), string(d))
	}
	return nil
}

// URL is the base of a registry.
type URL string

func (URL) meant() string { return `a URL, such as "http://127.0.0.1:8761/eureka/v2"` }

func (u URL) check() error {
	parsed, err := url.Parse(string(u))
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
		return fmt.Errorf("%s is meant, not %.80q", u.meant(), string(u))
	}
	return nil
}

// Share is a proportion from 0 to under 1; 0 stands for the default.
type Share float64

func (Share) meant() string { return "a share from 0 (the default) to under 1, such as 0.3" }

func (s Share) check() error {
	if !(s >= 0 && s < 1) {
		return fmt.Errorf("%s is meant, not %v", s.meant(), float64(s))
	}
	return nil
}

// oneOf checks a word. An empty one is its table's to check.
func oneOf(word string, known ...string) error {
	if word == "" || slices.Contains(known, word) {
		return nil
	}
	quoted := make([]string, len(known))
	for i, k := range known {
		quoted[i] = strconv.Quote(k)
	}
	last := len(quoted) - 1
	return fmt.Errorf("%.60q is not known: %s or %s is meant", word, strings.Join(quoted[:last], ", "), quoted[last])
}
