package fleet

import (
	"mothridge/policy"
)

// attempt is one transmission of a submission to a node.
type attempt struct {
	sidecar      *sidecar
	submission   *submission
	number       int
	node         *node
	incarnation  int // number of the node's process that the attempt is sent to
	job          job
	accepted     bool                 // the node has accepted the attempt
	pool         *connectionPool      // pool of its connection; nil: connections are not modelled
	result       policy.AttemptResult // result on its way back to the sidecar
	ended        bool
	timeoutTimer timer
}

// The events of an attempt.
const (
	attemptArrives   eventKind = iota // the attempt reaches its node
	attemptTimesOut                   // the timeout that the balancer set expires
	attemptCancelled                  // the balancer has cancelled the attempt
	attemptResponds                   // the result reaches the sidecar
	attemptAbandoned                  // the node is notified that the attempt was abandoned
	attemptReset                      // the sidecar detects the connection reset
)

func (attempt *attempt) handleEvent(kind eventKind) {
	sidecar := attempt.sidecar
	switch kind {
	case attemptArrives:
		sidecar.attemptArrived(attempt)
	case attemptTimesOut:
		sidecar.abandonAttempt(attempt, policy.TimedOut)
	case attemptCancelled:
		sidecar.abandonAttempt(attempt, policy.Cancelled)
	case attemptResponds:
		sidecar.endAttempt(attempt, attempt.result)
	case attemptReset:
		sidecar.endAttempt(attempt, policy.ConnectionReset)
	case attemptAbandoned:
		attempt.node.abandon(&attempt.job)
	default: // event kinds of other handlers
	}
}

// newAttempt creates an attempt and adds it to its submission.
func (submission *submission) newAttempt(node *node) *attempt {
	created := &submission.firstAttempt
	if len(submission.attempts) > 0 {
		created = new(attempt)
	}
	*created = attempt{
		sidecar:     submission.sidecar,
		submission:  submission,
		number:      len(submission.attempts),
		node:        node,
		incarnation: node.incarnation,
	}
	created.job.owner, created.job.index = created, -1
	submission.attempts = append(submission.attempts, created)
	return created
}

// attemptArrived offers the attempt to its node. If the node does not accept it, the reason is sent back as the
// attempt's result; a lost request gets no result.
func (sidecar *sidecar) attemptArrived(attempt *attempt) {
	node := attempt.node
	switch {
	case attempt.ended || node.dropsRequests:
		return
	case node.down:
		attempt.result = policy.ConnectionFailed
	case attempt.incarnation != node.incarnation && attempt.pool != nil: // connection of an earlier process
		attempt.result = policy.ConnectionReset
	default:
		if sidecar.offerToNode(attempt) {
			return
		}
		attempt.result = policy.Rejected
	}
	sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptResponds)
}

// offerToNode offers the attempt to its node and reports whether the node accepts it.
func (sidecar *sidecar) offerToNode(attempt *attempt) bool {
	node, submission := attempt.node, attempt.submission
	attempt.incarnation = node.incarnation
	sidecar.result.Attempts++
	sidecar.checkWarmUpOverload(node, submission.work)
	attempt.accepted = node.accept(&attempt.job, submission.work)
	if attempt.accepted {
		sidecar.recordEffect(submission, node)
	}
	return attempt.accepted
}

// jobEnded implements jobOwner: it sends back the response, or the reset of a lost connection.
func (attempt *attempt) jobEnded(ok bool) {
	sidecar, node := attempt.sidecar, attempt.node
	switch {
	case node.dropsResponses && ok:
	case !ok || node.resetShare > 0 && sidecar.networkRandom.Float64() < node.resetShare:
		sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptReset)
	default:
		attempt.result = policy.Served
		sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptResponds)
	}
}

// endAttempt ends an attempt that has not ended yet, and completes its submission if the attempt was served.
func (sidecar *sidecar) endAttempt(attempt *attempt, result policy.AttemptResult) {
	if attempt.ended {
		return
	}
	submission := attempt.submission
	if result == policy.Served && attempt.incarnation != attempt.node.incarnation {
		// The node's process ended before the response reached the sidecar.
		result = policy.ConnectionReset
	}
	sidecar.closeAttempt(attempt, result)
	if sidecar.isExplained(submission) {
		sidecar.explain(submission, "attempt %d %s", attempt.number, resultTexts[result])
	}
	wasCompleted := submission.completed
	if result == policy.Served && !wasCompleted {
		sidecar.serve(submission)
	}
	sidecar.removeIfDone(submission)
	sidecar.balancer.AttemptEnded(sidecar.clockTime(), policy.AttemptOutcome{
		ID:        submission.id,
		Attempt:   attempt.number,
		Result:    result,
		Completed: wasCompleted || result == policy.Served,
	})
}

// resultTexts describes the results of attempts in explanations. Recorded digests include these texts.
var resultTexts = map[policy.AttemptResult]string{
	policy.Served:           "is answered",
	policy.Rejected:         "is turned away",
	policy.TimedOut:         "runs out of time",
	policy.ConnectionFailed: "finds no connection",
	policy.ConnectionReset:  "ends with its connection",
	policy.Cancelled:        "is called off",
}

// serve passes the node's response on to the client.
func (sidecar *sidecar) serve(submission *submission) {
	if sidecar.isExplained(submission) {
		sidecar.explain(submission, "served, %v after the first try", sidecar.now-submission.arrivedAt)
	}
	sidecar.recorder.recordServed(submission)
	sidecar.complete(submission)
}

// abandonAttempt ends an attempt without a response. The node is notified after a network delay.
func (sidecar *sidecar) abandonAttempt(attempt *attempt, result policy.AttemptResult) {
	if attempt.ended {
		return
	}
	sidecar.notifyAbandoned(attempt)
	sidecar.endAttempt(attempt, result)
}

// discardAttempt ends an attempt together with its sidecar's process, without a call to a balancer.
func (sidecar *sidecar) discardAttempt(attempt *attempt) {
	if attempt.ended {
		return
	}
	sidecar.closeAttempt(attempt, policy.Cancelled)
	sidecar.notifyAbandoned(attempt)
}

// notifyAbandoned notifies the node, after a network delay, that the attempt was abandoned.
func (sidecar *sidecar) notifyAbandoned(attempt *attempt) {
	if attempt.accepted {
		sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptAbandoned)
	}
}

// closeAttempt marks an attempt as ended and releases its timer and connection.
func (sidecar *sidecar) closeAttempt(attempt *attempt, result policy.AttemptResult) {
	attempt.ended = true
	sidecar.cancel(attempt.timeoutTimer)
	attempt.releaseConnection(result)
}
