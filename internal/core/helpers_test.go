package core

import (
	"context"
	"errors"
	"testing"
	"time"

	"mothridge/policy"
)

// newTestCore returns a Core that does not run, with the given endpoints as its cached list and one class
// for each kind of idempotency. Tests call the event handlers directly.
func newTestCore(t *testing.T, endpoints ...Endpoint) *Core {
	t.Helper()
	core, err := New(Config{
		Policy: policy.Config{
			FleetSize:     1,
			MaxAttempts:   3,
			CancelAllowed: true,
			Classes: []policy.Class{
				testClass(policy.Idempotent), testClass(policy.IdempotentByKey), testClass(policy.NotIdempotent),
			},
		},
		Zones:       []string{"a"},
		Cached:      &EndpointUpdate{Complete: true, Endpoints: endpoints},
		NewUpstream: func(Endpoint) Upstream { return unresponsiveUpstream{} },
	})
	if err != nil {
		t.Fatal(err)
	}
	return core
}

func testClass(idempotency policy.Idempotency) policy.Class {
	return policy.Class{
		Idempotency:      idempotency,
		LatencyObjective: 4 * time.Second,
		Deadline:         5 * time.Second,
		PriorityWeight:   1,
		DedupWindow:      5 * time.Second,
	}
}

func readyEndpoint(name, address string) Endpoint {
	return Endpoint{Name: name, Addr: address, Zone: "a", Health: Ready, Weight: 1}
}

// unresponsiveUpstream never responds.
type unresponsiveUpstream struct{}

func (unresponsiveUpstream) RoundTrip(ctx context.Context, _ *Message) (policy.AttemptResult, *Response) {
	<-ctx.Done()
	return policy.TimedOut, nil
}

func (unresponsiveUpstream) Probe(context.Context) (policy.LoadReport, error) {
	return policy.LoadReport{InFlight: -1}, errors.New("no response")
}

func (unresponsiveUpstream) Retire() {}
