package try

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/rig"
)

// A run of the shortest duration ends without an error and keeps all four rules, with each protocol and
// with either source of the endpoint list. The test guards against load, faults or checks that fail in a short
// run.
func TestShortRunViolatesNoRule(t *testing.T) {
	for _, test := range []struct {
		protocol peers.Protocol
		eureka   bool
	}{
		{peers.HTTP, false},
		{peers.RPC, false},
		{peers.HTTP, true},
	} {
		t.Run(fmt.Sprint(test.protocol, " eureka=", test.eureka), func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			options := Options{
				Protocol: test.protocol,
				Eureka:   test.eureka,
				Duration: MinDuration,
				Rate:     60,
				Seed:     1,
				Out:      &out,
			}
			if err := Run(context.Background(), options); err != nil {
				t.Fatalf("got error %v, want none; output:\n%s", err, out.String())
			}
			text := out.String()
			kept := strings.Count(text, " kept\n")
			hasTable := strings.Contains(text, "records-08") && strings.Contains(text, "served")
			if kept != 4 || !hasTable {
				t.Errorf("got %d rules reported as kept, want 4 and a table with all upstreams:\n%s", kept, text)
			}
		})
	}
}

// The summary reports each violated rule, and checkRules returns errRuleViolated. The test violates all
// four rules: it sends requests to the upstreams without the sidecar, and one request through a client
// that loses it.
func TestCheckRulesReportsViolations(t *testing.T) {
	r, err := rig.Start(rig.Options{NodeCount: upstreamCount, KeepAttemptTimes: true})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	var out bytes.Buffer
	d := &demo{
		Options:    Options{Rate: 8, Out: &out},
		rig:        r,
		byUpstream: map[string]*tally{},
		drainedAt:  time.Now().Add(-time.Hour),
		restartAt:  time.Now().Add(-time.Second),
	}
	sendOnce(t, r, 0, "harvest-entry-1")
	sendOnce(t, r, 1, "harvest-entry-1")
	sendOnce(t, r, drainingUpstream, "harvest-entry-2")
	for i := range 30 {
		sendOnce(t, r, restartingUpstream, "harvest-entry-c"+strings.Repeat("x", i))
	}
	d.sendRequest(lossyClient{}, rig.Request(rig.Read, "read-1", "north"), time.Now())
	err = d.checkRules()
	if broken := strings.Count(out.String(), "BROKEN"); broken != 4 || !errors.Is(err, errRuleViolated) {
		t.Errorf("got %d rules reported as BROKEN and error %v, want 4 and errRuleViolated:\n%s",
			broken, err, out.String())
	}
}

// sendOnce sends a request that is not idempotent directly to an upstream, without the sidecar.
func sendOnce(t *testing.T, r *rig.Rig, upstream int, id string) {
	t.Helper()
	client := peers.NewClient(peers.HTTP, r.Nodes[upstream].Addr())
	defer client.Close()
	client.Do(t.Context(), rig.Request(rig.NonIdempotent, id, "north"))
}

// lossyClient is a client that loses each request.
type lossyClient struct{}

func (lossyClient) Do(context.Context, peers.Call) peers.Result {
	return peers.Result{Outcome: peers.Lost}
}

func (lossyClient) Close() {}
