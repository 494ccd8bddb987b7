package sidecar

import "time"

// The times of a planned restart, which begins with SIGTERM.
const (
	// newConnectionsFor is the time for which new connections still arrive after SIGTERM.
	newConnectionsFor = 400 * time.Millisecond
	// maxAcceptGrace is the time for which they are accepted, and minAcceptGrace the least if the kill comes early.
	maxAcceptGrace = 600 * time.Millisecond
	minAcceptGrace = newConnectionsFor + 50*time.Millisecond
	// drainMargin is left to accept the connections that wait when the listeners are to close.
	drainMargin = 50 * time.Millisecond
	// After SIGTERM, the platform waits at least for the longest deadline of a class (at most
	// maxClientWait) plus killMargin, and then kills the process. Requests in flight at the kill are
	// lost.
	maxClientWait = 3 * time.Second
	killMargin    = 700 * time.Millisecond
	// responseMargin is the time before the kill at which all remaining requests are completed. It
	// allows for writing their responses.
	responseMargin = 250 * time.Millisecond
	// exitMargin is the time before the kill by which the process must have exited.
	exitMargin = 50 * time.Millisecond
)

// shutdownSchedule says when the steps of a shutdown happen, as times after SIGTERM.
type shutdownSchedule struct {
	closeListeners time.Duration // new connections are accepted until then
	completeAll    time.Duration // all requests that are left, and later ones, are answered at once from then on
	exit           time.Duration // all connections are closed then
}

// newShutdownSchedule returns the schedule of a process that is killed at a time after SIGTERM, at least killMargin.
func newShutdownSchedule(kill time.Duration) shutdownSchedule {
	completeAll := kill - responseMargin
	return shutdownSchedule{
		closeListeners: min(maxAcceptGrace, max(minAcceptGrace, completeAll-drainMargin)),
		completeAll:    completeAll,
		exit:           kill - exitMargin,
	}
}

// killGrace returns the earliest time after SIGTERM at which the platform may kill the process.
func (c *Config) killGrace() time.Duration {
	longestDeadline := time.Duration(0)
	for _, class := range c.Policy.Classes {
		longestDeadline = max(longestDeadline, class.Deadline)
	}
	return min(longestDeadline, maxClientWait) + killMargin
}
