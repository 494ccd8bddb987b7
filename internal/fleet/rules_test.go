package fleet

import (
	"strings"
	"testing"
	"time"

	"mothridge/policy"
)

// Random scenarios with faults violate no rule. The scenarios are a meaningful test only with enough
// submissions, lost submissions, overload collapses and handshakes in total.
func TestRandomScenariosViolateNoRule(t *testing.T) {
	var submissions, lost, collapses, handshakes uint64
	for seed := range uint64(200) {
		result, err := Run(RandomScenario(seed))
		if err != nil {
			t.Fatalf("RandomScenario(%d): %v", seed, err)
		}
		if len(result.Violations) > 0 || result.Truncated != "" {
			t.Errorf("seed %d: truncated %s, violations %s\nrun: go run ./cmd/fleetsim farm --first %d --seeds 1 --shrink",
				seed, result.Truncated, strings.Join(result.Violations, "; "), seed)
		}
		submissions += result.Submissions
		lost += result.Lost
		collapses += result.OverloadCollapses
		handshakes += result.Handshakes
	}
	if submissions < 100_000 || lost < 100 || collapses < 10 || handshakes < 1000 {
		t.Errorf("got %d submissions, %d lost, %d collapses, %d handshakes; want at least 100000, 100, 10 and 1000",
			submissions, lost, collapses, handshakes)
	}
}

// violationTriggers maps the text of each violation to a function that causes the violation. The function gets a
// sidecar with one submission, of class 1.
var violationTriggers = map[string]func(*sidecar, *submission){
	"rule 1: request 1 of sidecar 0 has a second response": func(sidecar *sidecar, submission *submission) {
		sidecar.complete(submission)
		sidecar.complete(submission)
	},
	"rule 1: sidecar 0 rejects request 1": func(sidecar *sidecar, submission *submission) {
		sidecar.Fail(submission.id)
		sidecar.Reject(submission.id, 0)
	},
	"rule 1: request 2 of sidecar 0 has no response before its deadline": missDeadline,
	"rule 2: request 1": func(sidecar *sidecar, submission *submission) {
		sidecar.recordEffect(submission, sidecar.nodes[0])
		sidecar.recordEffect(submission, sidecar.nodes[0])
	},
	"rule 2: request 1 of sidecar 0 may run a second time": func(sidecar *sidecar, submission *submission) {
		submission.class = 0 // idempotent by key; each node is its own cell
		sidecar.recordEffect(submission, sidecar.nodes[0])
		sidecar.recordEffect(submission, sidecar.nodes[1])
	},
	"rule 3: sidecar 0 sends request 1 to node 0": func(sidecar *sidecar, submission *submission) {
		sidecar.endpoints[0].drainingSince, sidecar.now = time.Second, 4*time.Second
		sidecar.Send(submission.id, 1, 0, 0)
	},
	"rule 4: node 0 went down while warming up": func(sidecar *sidecar, _ *submission) {
		sidecar.nodes[0].startedAt, sidecar.now = time.Second, 3*time.Second
		for range 1000 {
			sidecar.checkWarmUpOverload(sidecar.nodes[0], 0.02)
		}
	},
}

// missDeadline starts a second submission and cancels every timer that would end the submission.
func missDeadline(sidecar *sidecar, _ *submission) {
	sidecar.nodes[0].hanging, sidecar.nodes[1].hanging = true, true
	waiting := sidecar.newSubmission(&clientRequest{class: 1, deadline: time.Second}, 1)
	sidecar.submit(waiting)
	sidecar.cancel(waiting.attempts[0].timeoutTimer)
	sidecar.cancel(sidecar.balancerTimer)
	for sidecar.processNext(2 * time.Second) {
		sidecar.cancel(sidecar.balancerTimer)
	}
}

// Each violation of a rule is reported when it is caused on purpose.
func TestViolationsAreReported(t *testing.T) {
	for text, violate := range violationTriggers {
		scenario := RandomScenario(1)
		scenario.Nodes, scenario.Sidecars = 2, 1
		scenario.Classes[0].DedupScope = DedupScope(policy.ScopeCell)
		scenario.List, scenario.Faults = EndpointList{}, nil
		sidecar := mustStart(t, scenario).sidecars[0]
		submission := sidecar.newSubmission(&clientRequest{class: 1, deadline: time.Second}, 1)
		sidecar.lastID++
		submission.id, sidecar.submissions[1] = sidecar.lastID, submission
		violate(sidecar, submission)
		if !strings.Contains(strings.Join(sidecar.result.Violations, "\n"), text) {
			t.Errorf("violation %q is not reported; got %v", text, sidecar.result.Violations)
		}
	}
}

// unsafeRetrier is a balancer that wrongly treats a connection reset as proof that the request did not run.
type unsafeRetrier struct{ balancer }

func (retrier *unsafeRetrier) AttemptEnded(now time.Duration, outcome policy.AttemptOutcome) {
	if outcome.Result == policy.ConnectionReset {
		outcome.Result = policy.NotSent
	}
	retrier.balancer.AttemptEnded(now, outcome)
}

// A node that restarts between a request's last byte and its response may have run the request. A policy that treats
// such a request as not started violates rule 2, and the violation is reported.
func TestRetryAfterResetOfStartedRequestIsReported(t *testing.T) {
	scenario := steadyScenario(4, 0.7)
	scenario.Classes[0].Idempotency, scenario.Classes[0].Work = Idempotency(policy.NotIdempotent), 200*ms
	scenario.Clients.MaxSubmissions = 3
	scenario.Network.Delay = 5 * ms
	for i := range 40 {
		restart := Fault{Kind: Restart, Start: time.Duration(i+1) * time.Second, Node: i % 4}
		scenario.Faults = append(scenario.Faults, restart)
	}
	if result := mustRun(t, scenario); result.Failed < 20 {
		t.Errorf("got %d failed requests, want at least 20: the restarts affect too few requests", result.Failed)
	}
	sim := mustStart(t, scenario)
	sim.sidecars[0].balancer = &unsafeRetrier{balancer: sim.sidecars[0].balancer}
	for _, fault := range scenario.Faults {
		sim.schedule(fault.Start, func() { sim.injectFault(fault) })
	}
	sim.startArrivals()
	sim.processEvents()
	if !strings.Contains(strings.Join(sim.result.Violations, "\n"), "rule 2") {
		t.Errorf("retry of a request that may have run is not reported; got violations %v, want rule 2",
			sim.result.Violations)
	}
}

// A response in transit is lost when its node restarts. The request may have run, so its submission fails.
func TestResponseIsLostWhenItsNodeRestarts(t *testing.T) {
	scenario := steadyScenario(1, 0.5)
	scenario.Classes[0].Idempotency, scenario.Network.Delay = Idempotency(policy.NotIdempotent), 50*ms
	sim := mustStart(t, scenario)
	sim.sidecars[0].beginRequest(new(clientRequest), 10*ms)
	for sim.nodes[0].served == 0 && sim.processNext(time.Minute) {
	}
	sim.nodes[0].restart(true)
	for sim.openRequests > 0 && sim.processNext(time.Minute) {
	}
	if sim.result.Served != 0 || sim.result.Failed != 1 {
		t.Errorf("after the restart of the node: got %d served and %d failed, want 0 and 1",
			sim.result.Served, sim.result.Failed)
	}
}
