package fleet

import "time"

const (
	// maxBackoffDoublings keeps a client's backoff from overflowing.
	maxBackoffDoublings = 16
	// minBackoffFactor: a backoff is drawn from this multiple of its length on, to 1 more.
	minBackoffFactor = 0.5
)

// clientTimeout draws for how long a client waits for one submission.
func (sidecar *sidecar) clientTimeout(submission *submission) time.Duration {
	left := submission.deadline - sidecar.now
	shares := sidecar.scenario.Clients.TimeoutShares
	if len(shares) != 2 {
		return left
	}
	deadline := float64(sidecar.scenario.Classes[submission.class].Deadline)
	share := shares[0] + (shares[1]-shares[0])*sidecar.clientRandom.Float64()
	return min(left, time.Duration(deadline*share))
}

// retryBackoff draws a client's own pause before its next submission.
func (sidecar *sidecar) retryBackoff(submission *submission) time.Duration {
	backoff := sidecar.scenario.Clients.RetryBackoff << min(submission.number-1, maxBackoffDoublings)
	return time.Duration(float64(backoff) * (minBackoffFactor + sidecar.clientRandom.Float64()))
}

// scheduleRetry schedules the client's next submission after a pause. It reports false if the client gives up.
func (sidecar *sidecar) scheduleRetry(submission *submission, pause time.Duration) bool {
	noneLeft := submission.number >= sidecar.scenario.Clients.MaxSubmissions
	if noneLeft || sidecar.now+pause >= submission.deadline {
		return false
	}
	sidecar.openRequests++
	sidecar.schedule(pause, func() {
		sidecar.submit(sidecar.newSubmission(submission.clientRequest, submission.number+1))
	})
	return true
}
