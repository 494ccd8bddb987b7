package pacing

import (
	"math"
	"time"
)

const (
	// usageDecay is the time in which the usage of a flow fades to 1/e.
	usageDecay = 250 * time.Millisecond
	// guaranteedRate is how many messages a second a flow of weight 1 may send without waiting, whatever others do.
	guaranteedRate = 20
	// guaranteedUsage is the usage of a flow at the guaranteed rate.
	guaranteedUsage = guaranteedRate * float64(usageDecay) / float64(time.Second)
	// newFlowUsage is the usage of a new flow: it has one message less than the guaranteed usage, so that a client that
	// connects anew with every request gains nothing.
	newFlowUsage = guaranteedUsage - 1.5
)

// NewFlow returns the flow of a new connection.
func NewFlow(now time.Duration) Flow { return Flow{usage: newFlowUsage, usageAt: now} }

// Flow is what is paced as one: the messages of a connection, or the new connections of a listener. Its zero value has the
// weight 1. It must not be copied after its first use.
type Flow struct {
	// Weight is how many times the rate of other flows the flow may have; 0 means 1.
	Weight float64

	usage     float64 // messages lately, decayed
	credit    float64 // messages that were granted and not sent yet
	usageAt   time.Duration
	waitUntil time.Duration // when a flow that waits goes on at the latest
}

// decayed returns the flow's usage at now for each unit of its weight.
func (f *Flow) decayed(now time.Duration) float64 {
	weight := f.Weight
	if weight == 0 {
		weight = 1
	}
	return f.usage * math.Exp(-(now-f.usageAt).Seconds()/usageDecay.Seconds()) / weight
}

// charge adds to the flow's usage, in messages.
func (f *Flow) charge(now time.Duration, cost float64) {
	f.usage = f.usage*math.Exp(-(now-f.usageAt).Seconds()/usageDecay.Seconds()) + cost
	f.usageAt = now
}
