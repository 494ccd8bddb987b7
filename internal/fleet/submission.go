package fleet

import (
	"time"

	"mothridge/policy"
	"mothridge/quota"
)

// clientRequest is a client's request, which all its submissions share.
type clientRequest struct {
	firstID       policy.RequestID // ID of the first submission
	class         int              // index into Scenario.Classes
	tenant        int              // index into Scenario.Tenants
	work          float64          // seconds on a core of speed 1
	arrivedAt     time.Duration
	deadline      time.Duration // when the client gives up
	unsafeEffects int           // number of times that a request that is not idempotent may have run
}

// submission is one transmission of a request to its sidecar: the first one, or a client retry.
type submission struct {
	*clientRequest
	sidecar       *sidecar
	id            policy.RequestID
	number        int // counts from 1
	submittedAt   time.Duration
	completed     bool // the submission has its response, or is lost
	deadlineTimer timer
	receipt       *quota.Receipt // of the quota charge; nil: no charge
	effects       []effect       // effects of a request with an idempotency key, counted separately for each submission
	attempts      []*attempt

	// Nearly every submission has one attempt, which is allocated together with the submission.
	firstAttempt   attempt
	attemptStorage [1]*attempt
}

func (sidecar *sidecar) newSubmission(request *clientRequest, number int) *submission {
	created := &submission{sidecar: sidecar, clientRequest: request, number: number}
	created.attempts = created.attemptStorage[:0]
	return created
}

// beginRequest starts a request with its first submission. If work is 0, the work is drawn from the class.
func (sidecar *sidecar) beginRequest(request *clientRequest, work time.Duration) {
	class := &sidecar.scenario.Classes[request.class]
	request.arrivedAt, request.deadline = sidecar.now, sidecar.now+class.Deadline
	request.work = work.Seconds()
	if work == 0 {
		request.work = class.drawWork(sidecar.requestRandom)
	}
	if sidecar.plan != nil {
		*sidecar.plan = append(*sidecar.plan, sidecar.plannedArrival(request))
		return
	}
	sidecar.recorder.recordArrival(request)
	sidecar.openRequests++
	sidecar.submit(sidecar.newSubmission(request, 1))
}

// submit passes a submission to the quotas and, if they admit it, to the balancer.
func (sidecar *sidecar) submit(submission *submission) {
	sidecar.lastID++
	submission.id, submission.submittedAt = sidecar.lastID, sidecar.now
	if submission.firstID == 0 {
		submission.firstID = submission.id
	}
	sidecar.result.Submissions++
	timeout := sidecar.clientTimeout(submission)
	if sidecar.isExplained(submission) {
		sidecar.explain(submission, "asked of sidecar %d, class %d, tenant %d, work %.1f ms, waits %v",
			sidecar.number, submission.class, submission.tenant, submission.work*1e3, timeout)
	}
	if sidecar.stopped { // the connection is refused
		sidecar.loseSubmission(submission)
		return
	}
	sidecar.submissions[submission.id] = submission
	submission.deadlineTimer = sidecar.scheduleEvent(timeout+timeSlack, submission, onlyEvent)
	if !sidecar.admitByQuota(submission) {
		return
	}
	sidecar.balancer.RequestReceived(sidecar.clockTime(), policy.Request{
		ID:          submission.id,
		Class:       submission.class,
		Tenant:      submission.tenant,
		Timeout:     timeout,
		ClientRetry: submission.number > 1,
	})
}

// handleEvent reports a violation of rule 1: the submission has no response when its timeout expires.
func (submission *submission) handleEvent(eventKind) {
	sidecar := submission.sidecar
	sidecar.reportViolation("rule 1: request %d of sidecar %d has no response before its deadline",
		submission.id, sidecar.number)
	sidecar.result.Failed++
	sidecar.complete(submission)
	sidecar.balancer.ClientDisconnected(sidecar.clockTime(), submission.id)
}

// complete marks a submission as completed. A second call for it is a violation of rule 1.
func (sidecar *sidecar) complete(submission *submission) {
	if submission.completed {
		sidecar.reportViolation("rule 1: request %d of sidecar %d has a second response",
			submission.id, sidecar.number)
		return
	}
	submission.completed = true
	sidecar.openRequests--
	sidecar.cancel(submission.deadlineTimer)
	sidecar.removeIfDone(submission)
}

// removeIfDone removes a submission that is complete and has no attempt in flight.
func (sidecar *sidecar) removeIfDone(submission *submission) {
	if !submission.completed {
		return
	}
	for _, attempt := range submission.attempts {
		if !attempt.ended {
			return
		}
	}
	delete(sidecar.submissions, submission.id)
}

// loseSubmission ends a submission whose sidecar's process has ended. The client retries an idempotent request.
func (sidecar *sidecar) loseSubmission(submission *submission) {
	sidecar.result.Lost++
	sidecar.complete(submission)
	if sidecar.isIdempotent(submission) {
		sidecar.scheduleRetry(submission, sidecar.retryBackoff(submission))
	}
}

func (sidecar *sidecar) isIdempotent(submission *submission) bool {
	return sidecar.scenario.Classes[submission.class].Idempotency == Idempotency(policy.Idempotent)
}
