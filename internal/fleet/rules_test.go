package fleet

import (
	"strings"
	"testing"
	"time"

	"mothridge/policy"
)

func TestRandomScenariosViolateNoRule(t *testing.T) {
	var submissions, lost, collapses, handshakes uint64
	for seed := range uint64(200) {
		result, err := Run(RandomScenario(seed))
		if err != nil {
			t.Fatalf("RandomScenario(%d): %v", seed, err)
		}
		if len(result.Violations) > 0 || result.Truncated != "" {
			t.Errorf("RandomScenario(%d): %s %s\nplay it with: go run ./cmd/fleetsim farm --first %d --seeds 1 --shrink",
				seed, result.Truncated, strings.Join(result.Violations, "; "), seed)
		}
		submissions += result.Submissions
		lost += result.Lost
		collapses += result.OverloadCollapses
		handshakes += result.Handshakes
	}
	if submissions < 100_000 || lost < 100 || collapses < 10 || handshakes < 1000 {
		t.Errorf("%d submissions, %d lost with their sidecar, %d overload collapses, %d handshakes in all: too few to show much",
			submissions, lost, collapses, handshakes)
	}
}

// violations are what a sidecar with one submission, of class 1, has to do for a violation to be reported.
var violations = map[string]func(*sidecar, *submission){
	"rule 1: request 1 of sidecar 0 has a second answer": func(sidecar *sidecar, submission *submission) {
		sidecar.complete(submission)
		sidecar.complete(submission)
	},
	"rule 1: sidecar 0 refuses request 1": func(sidecar *sidecar, submission *submission) {
		sidecar.Fail(submission.id)
		sidecar.Reject(submission.id, 0)
	},
	"rule 1: request 2 of sidecar 0 has no answer before its deadline": missDeadline,
	"rule 2: request 1": func(sidecar *sidecar, submission *submission) {
		sidecar.recordEffect(submission, sidecar.nodes[0])
		sidecar.recordEffect(submission, sidecar.nodes[0])
	},
	"rule 2: request 1 of sidecar 0 may run a second time": func(sidecar *sidecar, submission *submission) {
		submission.class = 0 // idempotent by key; each node is a cell of its own
		sidecar.recordEffect(submission, sidecar.nodes[0])
		sidecar.recordEffect(submission, sidecar.nodes[1])
	},
	"rule 3: sidecar 0 sends request 1 to node 0": func(sidecar *sidecar, submission *submission) {
		sidecar.endpoints[0].drainingSince, sidecar.now = time.Second, 4*time.Second
		sidecar.Send(submission.id, 1, 0, 0)
	},
	"rule 4: node 0 fell over": func(sidecar *sidecar, _ *submission) {
		sidecar.nodes[0].startedAt, sidecar.now = time.Second, 3*time.Second
		for range 1000 {
			sidecar.checkWarmUpOverload(sidecar.nodes[0], 0.02)
		}
	},
}

// missDeadline has a second submission wait without any timer that would end it.
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

func TestViolationsAreReported(t *testing.T) {
	for text, violate := range violations {
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
			t.Errorf("%q is not reported: %v", text, sidecar.result.Violations)
		}
	}
}

// unsafeRetrier takes a connection reset for proof that nothing ran.
type unsafeRetrier struct{ balancer }

func (retrier *unsafeRetrier) AttemptEnded(now time.Duration, outcome policy.AttemptOutcome) {
	if outcome.Result == policy.ConnectionReset {
		outcome.Result = policy.NotSent
	}
	retrier.balancer.AttemptEnded(now, outcome)
}

// A node that restarts between a request's last byte and its response may have run it: a policy that takes this for
// 'not started' is found out.
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
		t.Errorf("%d requests failed: the restarts hit too few", result.Failed)
	}
	sim := mustStart(t, scenario)
	sim.sidecars[0].balancer = &unsafeRetrier{balancer: sim.sidecars[0].balancer}
	for _, fault := range scenario.Faults {
		sim.schedule(fault.Start, func() { sim.injectFault(fault) })
	}
	sim.startArrivals()
	sim.processEvents()
	if !strings.Contains(strings.Join(sim.result.Violations, "\n"), "rule 2") {
		t.Errorf("a retry of what may have run is not reported: %v", sim.result.Violations)
	}
}

// A response that is on its way when its node restarts is lost: the request may have run, and fails.
func TestResponseIsLostWithItsNode(t *testing.T) {
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
		t.Errorf("%d served and %d failed of one whose node restarted", sim.result.Served, sim.result.Failed)
	}
}
