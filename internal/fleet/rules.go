package fleet

import (
	"fmt"
	"time"

	"mothridge/policy"
)

const (
	// drainGrace is how long after the update a draining endpoint may still get attempts.
	drainGrace = 2 * time.Second
	// timeSlack is the tolerance that is added to each time limit of a rule.
	timeSlack = 50 * time.Millisecond
	// workEstimateSpan is the time in which an estimate of offered work decays to 0.
	workEstimateSpan = time.Second
	// warmUpGrace is how long after its start a node does not go down under overload.
	warmUpGrace = time.Second
)

// reportViolation records a violation of a rule; only the first maxViolations are recorded with their texts.
func (sim *simulation) reportViolation(format string, args ...any) {
	sim.violations++
	if sim.violations <= maxViolations {
		text := fmt.Sprintf("%v: %s", sim.now, fmt.Sprintf(format, args...))
		sim.result.Violations = append(sim.result.Violations, text)
	}
}

// checkConservation checks that each submission ended in exactly one way.
func (sim *simulation) checkConservation() {
	result := &sim.result
	ended := result.Served + result.Rejected + result.Failed + result.Lost
	if result.Truncated == "" && result.Submissions != ended {
		sim.reportViolation("%d submissions, but %d served, %d rejected, %d failed and %d lost",
			result.Submissions, result.Served, result.Rejected, result.Failed, result.Lost)
	}
}

// effect records where and when a request with an idempotency key ran. The nodes of the cell drop repeats of the
// request in the deduplication window.
type effect struct {
	cell int
	at   time.Duration
}

// recordEffect checks rule 2 when a node starts a request: a request that is not idempotent takes effect only once.
func (sidecar *sidecar) recordEffect(submission *submission, node *node) {
	class := &sidecar.scenario.Classes[submission.class]
	times := 0
	switch policy.Idempotency(class.Idempotency) {
	case policy.Idempotent:
	case policy.NotIdempotent:
		submission.unsafeEffects++
		times = submission.unsafeEffects
	case policy.IdempotentByKey:
		times = sidecar.recordKeyedEffect(submission, class, node)
	}
	if times > 1 {
		sidecar.reportViolation("rule 2: request %d of sidecar %d may run a second time, at node %d",
			submission.id, sidecar.number, node.number)
	}
}

// recordKeyedEffect returns how often a request with a key has taken effect; 0 if the node drops this repeat.
func (sidecar *sidecar) recordKeyedEffect(submission *submission, class *Class, node *node) int {
	cell := 0
	if class.DedupScope == DedupScope(policy.ScopeCell) {
		cell = sidecar.cellOf(node)
	}
	for _, earlier := range submission.effects {
		if earlier.cell == cell && sidecar.now-earlier.at <= class.DedupWindow {
			return 0
		}
	}
	submission.effects = append(submission.effects, effect{cell, sidecar.now})
	return len(submission.effects)
}

// checkDrained checks rule 3 when an attempt starts: a draining or removed endpoint gets no attempts.
func (sidecar *sidecar) checkDrained(id policy.RequestID, endpoint *sidecarEndpoint) {
	if since := endpoint.drainingSince; since > 0 && sidecar.now > since+drainGrace+timeSlack {
		sidecar.reportViolation("rule 3: sidecar %d sends request %d to node %d, %v after it learned of the drain",
			sidecar.number, id, endpoint.node.number, sidecar.now-since)
	}
}

// workEstimate is the work offered to a node in the last second, with linear decay.
type workEstimate struct {
	work float64
	at   time.Duration
}

// add adds work at the given time and returns the new estimate.
func (estimate *workEstimate) add(now time.Duration, work float64) float64 {
	elapsed := (now - estimate.at).Seconds() / workEstimateSpan.Seconds()
	estimate.work = estimate.work*max(0, 1-elapsed) + work
	estimate.at = now
	return estimate.work
}

// checkWarmUpOverload checks rule 4 when an attempt reaches a node: a node that is offered too much work while it warms
// up goes down.
func (sim *simulation) checkWarmUpOverload(node *node, work float64) {
	offered := sim.offeredWork[node.number].add(sim.now, work)
	if !node.failsUnderOverload() {
		return
	}
	params, share := &node.params, node.warmUpShare()
	if offered <= params.WarmUpOverloadFactor*share*params.Speed*float64(params.Cores) {
		return
	}
	node.change(func() { node.down = true })
	sim.reportViolation("rule 4: node %d went down while warming up, at an offered load of %.2f and a capacity of %.2f",
		node.number, offered, share*params.Speed*float64(params.Cores))
}

// failsUnderOverload reports whether overload would take the node down: the node is warming up and
// started more than warmUpGrace ago.
func (node *node) failsUnderOverload() bool {
	if node.down || node.hanging || node.params.WarmUpOverloadFactor <= 0 {
		return false
	}
	return node.warmUpShare() < 1 && node.events.now-node.startedAt > warmUpGrace
}
