package fleet

import (
	"fmt"
	"time"

	"mothridge/policy"
)

// The methods of sidecar in this file implement policy.Host, the host of its balancer.

const (
	// probeTimeout is how long a probe waits for its response.
	probeTimeout = 300 * time.Millisecond
	// watchRequestWithin is the longest time that a sidecar may let pass without a watch request.
	watchRequestWithin = 10 * time.Second
	// watchTimeout is how long a watch request waits for its response during a list outage.
	watchTimeout = time.Second
)

// Send implements policy.Host: it starts an attempt.
func (sidecar *sidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	submission := sidecar.submissions[id]
	if submission == nil {
		sidecar.reportViolation("sidecar %d sends request %d, which has ended", sidecar.number, id)
		return
	}
	endpoint := &sidecar.endpoints[to-1]
	attempt := submission.newAttempt(endpoint.node)
	sidecar.checkDrained(id, endpoint)
	if sidecar.isExplained(submission) {
		sidecar.explain(submission, "attempt %d goes to node %d%s",
			attempt.number, endpoint.node.number, endpoint.node.stateText())
	}
	if timeout > 0 {
		attempt.timeoutTimer = sidecar.scheduleEvent(timeout, attempt, attemptTimesOut)
	}
	sidecar.connect(attempt)
}

// Reject implements policy.Host: the response to the submission says that a retry is safe, and the client may retry.
func (sidecar *sidecar) Reject(id policy.RequestID, retryAfter time.Duration) {
	submission := sidecar.submissions[id]
	if submission == nil || submission.completed {
		sidecar.reportViolation("rule 1: sidecar %d rejects request %d, which already has its response",
			sidecar.number, id)
		return
	}
	if sidecar.isExplained(submission) {
		sidecar.explain(submission, "refused, with a pause of %v", retryAfter)
	}
	sidecar.settleQuota(submission, policy.Rejected)
	sidecar.recorder.recordRejection()
	sidecar.complete(submission)
	pause := retryAfter
	if share := sidecar.scenario.Clients.RetryAfterShare; share < 1 && sidecar.clientRandom.Float64() >= share {
		pause = sidecar.retryBackoff(submission)
	}
	if !sidecar.scheduleRetry(submission, pause) {
		sidecar.recorder.recordSample(submission, "refused in the end", sidecar.now-submission.arrivedAt)
	}
}

// Fail implements policy.Host: the response to the submission does not say whether the request took effect.
func (sidecar *sidecar) Fail(id policy.RequestID) {
	submission := sidecar.submissions[id]
	if submission == nil || submission.completed {
		sidecar.reportViolation("rule 1: sidecar %d fails request %d, which already has its response",
			sidecar.number, id)
		return
	}
	if sidecar.isExplained(submission) {
		sidecar.explain(submission, "failed")
	}
	sidecar.settleQuota(submission, policy.ServerError)
	sidecar.recorder.recordFailure()
	sidecar.complete(submission)
	mayRetry := sidecar.scenario.Clients.RetryAfterFailure && sidecar.isIdempotent(submission)
	if !mayRetry || !sidecar.scheduleRetry(submission, sidecar.retryBackoff(submission)) {
		sidecar.recorder.recordSample(submission, "failed", sidecar.now-submission.arrivedAt)
	}
}

// Cancel implements policy.Host: it cancels an attempt after the balancer's current call has returned.
func (sidecar *sidecar) Cancel(id policy.RequestID, number int) {
	submission := sidecar.submissions[id]
	if submission != nil && number < len(submission.attempts) {
		sidecar.scheduleEvent(0, submission.attempts[number], attemptCancelled)
	}
}

// SetTimer implements policy.Host: it sets the balancer's only timer.
func (sidecar *sidecar) SetTimer(delay time.Duration) {
	if !sidecar.reschedule(sidecar.balancerTimer, delay) {
		sidecar.balancerTimer = sidecar.scheduleEvent(delay, sidecar, balancerTimerFires)
	}
}

// Probe implements policy.Host: it requests a load report from a node. A probe does not wait in the node's queue.
func (sidecar *sidecar) Probe(to policy.EndpointID) {
	node := sidecar.endpoints[to-1].node
	respond := func(delay time.Duration, ok bool, report policy.LoadReport) {
		sidecar.scheduleWhileRunning(delay, func() { sidecar.balancer.ProbeCompleted(sidecar.clockTime(), to, ok, report) })
	}
	sidecar.schedule(sidecar.networkDelay(), func() {
		if node.unresponsive() {
			respond(probeTimeout, false, policy.LoadReport{InFlight: -1})
			return
		}
		respond(sidecar.networkDelay(), true, policy.LoadReport{InFlight: float64(len(node.jobs))})
	})
}

// RequestWatch implements policy.Host: it sends a watch request, which fails during a list outage.
func (sidecar *sidecar) RequestWatch() {
	if sidecar.now < sidecar.listOutageUntil {
		sidecar.scheduleWhileRunning(watchTimeout, func() {
			sidecar.balancer.EndpointsUpdated(sidecar.clockTime(), policy.FailedUpdate, nil)
		})
		return
	}
	sidecar.scheduleWhileRunning(sidecar.listDelay(), func() {
		sidecar.subscribed = true
		sidecar.applyList(sidecar.publishedHealth())
	})
}

// unresponsive reports whether no response comes back from the node.
func (node *node) unresponsive() bool {
	unreachable := node.down || node.dropsRequests
	return unreachable || node.hanging || node.dropsResponses
}

// stateText describes a node's state for an explanation. Recorded digests include these texts.
func (node *node) stateText() string {
	switch {
	case node.down:
		return ", which is down"
	case node.hanging:
		return ", which hangs"
	case node.dropsResponses:
		return ", of which nothing comes back"
	case node.dropsRequests:
		return ", to which nothing comes"
	case node.collapsed:
		return fmt.Sprintf(", which is slow after overload and holds %d", len(node.jobs))
	case node.warmUpShare() < 1:
		return fmt.Sprintf(", which is cold, at %.2f", node.warmUpShare())
	}
	return fmt.Sprintf(", which holds %d", len(node.jobs))
}
