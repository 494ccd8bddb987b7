package fleet

import (
	"mothridge/policy"
)

// attempt is one send of a submission to a node.
type attempt struct {
	sidecar      *sidecar
	submission   *submission
	number       int
	node         *node
	incarnation  int // of the node's process that it is for
	job          job
	accepted     bool                 // by its node
	pool         *connectionPool      // to which its connection belongs; nil: connections are not modelled
	result       policy.AttemptResult // that is on its way back
	ended        bool
	timeoutTimer timer
}

// The events of an attempt.
const (
	attemptArrives   eventKind = iota // at its node
	attemptTimesOut                   // for the balancer
	attemptCancelled                  // by the balancer
	attemptResponds                   // its result has come back
	attemptWithdrawn                  // its node learns that no one waits
	attemptReset                      // its connection is lost
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
	case attemptWithdrawn:
		attempt.node.withdraw(&attempt.job)
	default: // the kinds of other handlers
	}
}

// newAttempt adds an attempt to a submission.
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

// attemptArrived has the node take the attempt, or sends back why it does not.
func (sidecar *sidecar) attemptArrived(attempt *attempt) {
	node := attempt.node
	switch {
	case attempt.ended || node.dropsRequests:
		return
	case node.down:
		attempt.result = policy.ConnectionFailed
	case attempt.incarnation != node.incarnation && attempt.pool != nil: // its connection ended with the process
		attempt.result = policy.ConnectionReset
	default:
		if sidecar.offerToNode(attempt) {
			return
		}
		attempt.result = policy.Rejected
	}
	sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptResponds)
}

// offerToNode reports whether the node accepts the attempt.
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

// jobEnded implements jobOwner: the response, or the reset of a lost connection, is on its way back.
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

// endAttempt ends an attempt that has not ended yet, and completes its submission if it was served.
func (sidecar *sidecar) endAttempt(attempt *attempt, result policy.AttemptResult) {
	if attempt.ended {
		return
	}
	submission := attempt.submission
	if result == policy.Served && attempt.incarnation != attempt.node.incarnation {
		// The process ended before the response came.
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
	sidecar.forgetIfDone(submission)
	sidecar.balancer.AttemptEnded(sidecar.clockTime(), policy.AttemptOutcome{
		ID:        submission.id,
		Attempt:   attempt.number,
		Result:    result,
		Completed: wasCompleted || result == policy.Served,
	})
}

// resultTexts are for explanations.
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

// abandonAttempt ends an attempt without a response. Its node learns of it later.
func (sidecar *sidecar) abandonAttempt(attempt *attempt, result policy.AttemptResult) {
	if attempt.ended {
		return
	}
	sidecar.withdrawFromNode(attempt)
	sidecar.endAttempt(attempt, result)
}

// discardAttempt ends an attempt together with its sidecar's process: no balancer learns of it.
func (sidecar *sidecar) discardAttempt(attempt *attempt) {
	if attempt.ended {
		return
	}
	sidecar.closeAttempt(attempt, policy.Cancelled)
	sidecar.withdrawFromNode(attempt)
}

// withdrawFromNode lets the node learn after a network delay that no one waits for the attempt.
func (sidecar *sidecar) withdrawFromNode(attempt *attempt) {
	if attempt.accepted {
		sidecar.scheduleEvent(sidecar.networkDelay(), attempt, attemptWithdrawn)
	}
}

// closeAttempt marks an attempt as ended and releases its timer and connection.
func (sidecar *sidecar) closeAttempt(attempt *attempt, result policy.AttemptResult) {
	attempt.ended = true
	sidecar.cancel(attempt.timeoutTimer)
	attempt.releaseConnection(result)
}
