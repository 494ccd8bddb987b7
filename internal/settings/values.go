package settings

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// maxCount bounds a count and the length of a list, far above any real one: a wrong
// figure must not allocate much.
const maxCount = 1 << 16

// maxDuration is what Millis cuts longer durations to: half of what a time.Duration
// holds, so that adding a shorter one to it does not overflow.
const maxDuration = 1 << 62

// Millis converts milliseconds, as the wire and the settings have them, to a duration,
// rounded to the nanosecond. What is out of range is cut to the bounds; NaN is 0.
func Millis(ms float64) time.Duration {
	ns := math.Round(ms * 1e6)
	switch {
	case math.IsNaN(ns):
		return 0
	case ns > maxDuration:
		return maxDuration
	case ns < -maxDuration:
		return -maxDuration
	}
	return time.Duration(ns)
}

func (s *Settings) text(key string) string { return s.values[key] }

func (s *Settings) flag(key string) bool { return s.values[key] == flagSet }

// number reads a finite number; 0 where it is absent.
func (s *Settings) number(key string) float64 {
	text := s.values[key]
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		s.reject(key, "is %.40q: a plain number is needed, such as 3 or 0.25", text)
		return 0
	}
	return value
}

// duration reads a value in milliseconds; 0 where it is absent.
func (s *Settings) duration(key string) time.Duration { return Millis(s.number(key)) }

// requirePositive reads a number that must be there and above 0. The unit is for the
// error.
func (s *Settings) requirePositive(key, unit string) float64 {
	value := s.number(key)
	switch {
	case s.values[key] == "":
		s.reject(key, "is missing: %s are needed, a number above 0", unit)
	case value <= 0:
		s.reject(key, "is %s: %s are needed, a number above 0", s.values[key], unit)
	}
	return value
}

// requireDuration reads a duration that must be there and above 0.
func (s *Settings) requireDuration(key string) time.Duration {
	return Millis(s.requirePositive(key, "milliseconds"))
}

// count reads an integer from 0 to maxCount; 0 where it is absent.
func (s *Settings) count(key string) int {
	value := s.number(key)
	if value < 0 || value > maxCount || value != math.Trunc(value) {
		s.reject(key, "is %v: a whole number from 0 to %d is needed", value, maxCount)
		return 0
	}
	return int(value)
}

// reject records a value that cannot be used, unless there is one already.
func (s *Settings) reject(key, problem string, args ...any) {
	if s.err == nil {
		s.err = &ValueError{Key: key, Problem: fmt.Sprintf(problem, args...)}
	}
}
