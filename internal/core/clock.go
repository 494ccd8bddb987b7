package core

import "time"

// clock is the time that the Balancer is given: Unix time when the Core was made, monotonic from
// then on. Any goroutine may read it.
//
// It does not start at 0 because an endpoint that started before this process must have a positive
// start time on it: the Balancer takes a start at or before 0 for long ago and skips slow start.
type clock struct {
	startedAt time.Time // when the Core was made
}

// now returns the present time on the clock.
func (c clock) now() time.Duration {
	return c.at(time.Now())
}

// at converts a time with a monotonic reading.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + t.Sub(c.startedAt)
}

// unixNow returns the system's Unix time. Unlike clock.now it jumps when the system's clock is adjusted.
func unixNow() time.Duration {
	return time.Duration(time.Now().UnixNano())
}
