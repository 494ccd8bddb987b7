package fleet

import (
	"fmt"
	"time"

	"mothridge/policy"
)

const (
	// drainGrace is for how long after an update a draining endpoint may still get attempts.
	drainGrace = 2 * time.Second
	// timeSlack is added to each time limit of a rule.
	timeSlack = 50 * time.Millisecond
	// workEstimateSpan is the time in which offered work fades to 0.
	workEstimateSpan = time.Second
	// warmUpGrace is the time after its start in which a node does not go down.
	warmUpGrace = time.Second
)

// reportViolation records that a rule does not hold.
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
		sim.reportViolation("%d asked, but %d served, %d refused, %d failed and %d lost",
			result.Submissions, result.Served, result.Rejected, result.Failed, result.Lost)
	}
}

// effect is where and when a request with an idempotency key ran: the nodes of the cell drop its repeats in the
// deduplication window.
type effect struct {
	cell int
	at   time.Duration
}

// recordEffect checks rule 2 when a node begins with a request: what is not idempotent takes effect only once.
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

// checkDrained checks rule 3 when an attempt starts: endpoints that drain or are removed get none.
func (sidecar *sidecar) checkDrained(id policy.RequestID, endpoint *sidecarEndpoint) {
	if since := endpoint.drainingSince; since > 0 && sidecar.now > since+drainGrace+timeSlack {
		sidecar.reportViolation("rule 3: sidecar %d sends request %d to node %d, %v after it heard that it drains",
			sidecar.number, id, endpoint.node.number, sidecar.now-since)
	}
}

// workEstimate is the work offered to a node in the last second, decayed linearly.
type workEstimate struct {
	work float64
	at   time.Duration
}

// add adds work and returns the estimate.
func (estimate *workEstimate) add(now time.Duration, work float64) float64 {
	passed := (now - estimate.at).Seconds() / workEstimateSpan.Seconds()
	estimate.work = estimate.work*max(0, 1-passed) + work
	estimate.at = now
	return estimate.work
}

// checkWarmUpOverload checks rule 4 when an attempt reaches a node: while it warms up, a node that is offered too much
// work goes down.
func (sim *simulation) checkWarmUpOverload(node *node, work float64) {
	offered := sim.offeredWork[node.number].add(sim.now, work)
	if !node.mayGoDown() {
		return
	}
	params, share := &node.params, node.warmUpShare()
	if offered <= params.WarmUpOverloadFactor*share*params.Speed*float64(params.Cores) {
		return
	}
	node.change(func() { node.down = true })
	sim.reportViolation("rule 4: node %d fell over, cold and offered %.2f of %.2f",
		node.number, offered, share*params.Speed*float64(params.Cores))
}

// mayGoDown reports whether overload would take the node down: it warms up, and began to do so a while ago.
func (node *node) mayGoDown() bool {
	if node.down || node.hanging || node.params.WarmUpOverloadFactor <= 0 {
		return false
	}
	return node.warmUpShare() < 1 && node.events.now-node.startedAt > warmUpGrace
}
