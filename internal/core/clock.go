package core

import "time"

// clock provides the time that the Core passes to the Balancer: the Unix time at which the Core was
// created plus the monotonic time since then. Any goroutine may read the clock.
//
// The clock does not start at 0 because an endpoint that started before this process must have a
// positive start time on this clock. The Balancer treats a start time of 0 or less as long ago and
// skips slow start for the endpoint.
type clock struct {
	startedAt time.Time // when the Core was created
}

// now returns the current time on the clock.
func (c clock) now() time.Duration {
	return c.at(time.Now())
}

// at converts t, which must have a monotonic reading, to a time on the clock.
func (c clock) at(t time.Time) time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + t.Sub(c.startedAt)
}

// unixNow returns the system's Unix time. Unlike clock.now, this time jumps when the system clock is adjusted.
func unixNow() time.Duration {
	return time.Duration(time.Now().UnixNano())
}
