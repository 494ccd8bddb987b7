package settings

import (
	"fmt"
	"math"
	"strconv"
	"time"
)

// maxCount is the maximum of a count and of the length of a list. It is far above any real
// value and limits the memory that a wrong value can allocate.
const maxCount = 1 << 16

// maxDuration is the largest duration, in nanoseconds, that Millis returns: half the range of
// time.Duration, so that adding a shorter duration does not overflow.
const maxDuration = 1 << 62

// Millis converts milliseconds, the unit of the wire and the settings, to a duration rounded to
// the nanosecond. Values out of range are clamped to -maxDuration and maxDuration; NaN becomes 0.
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

// number reads a finite number. An absent value is 0.
func (s *Settings) number(key string) float64 {
	text := s.values[key]
	if text == "" {
		return 0
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		s.reject(key, "must be a finite number, got %.40q", text)
		return 0
	}
	return value
}

// duration reads a value in milliseconds. An absent value is 0.
func (s *Settings) duration(key string) time.Duration { return Millis(s.number(key)) }

// requirePositive reads a number that must be present and above 0. The error contains the unit.
func (s *Settings) requirePositive(key, unit string) float64 {
	value := s.number(key)
	switch {
	case s.values[key] == "":
		s.reject(key, "is missing, must be above 0 (%s)", unit)
	case value <= 0:
		s.reject(key, "must be above 0, got %s (%s)", s.values[key], unit)
	}
	return value
}

// requireDuration reads a value in milliseconds that must be present and above 0.
func (s *Settings) requireDuration(key string) time.Duration {
	return Millis(s.requirePositive(key, "milliseconds"))
}

// count reads an integer from 0 to maxCount. An absent value is 0.
func (s *Settings) count(key string) int {
	value := s.number(key)
	if value < 0 || value > maxCount || value != math.Trunc(value) {
		s.reject(key, "must be a whole number from 0 to %[2]d, got %[1]v", value, maxCount)
		return 0
	}
	return int(value)
}

// reject records the error for an invalid value, unless an earlier error is recorded.
func (s *Settings) reject(key, problem string, args ...any) {
	if s.err == nil {
		s.err = &ValueError{Key: key, Problem: fmt.Sprintf(problem, args...)}
	}
}
