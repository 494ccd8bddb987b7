package fleet

import "time"

const (
	// maxBackoffDoublings limits how often a backoff is doubled, so that it does not overflow.
	maxBackoffDoublings = 16
	// minBackoffFactor is the least random factor on a backoff. The factor is uniformly distributed up to 1 more.
	minBackoffFactor = 0.5
)

// clientTimeout draws how long a client waits for the response to one submission.
func (sidecar *sidecar) clientTimeout(submission *submission) time.Duration {
	remaining := submission.deadline - sidecar.now
	shares := sidecar.scenario.Clients.TimeoutShares
	if len(shares) != 2 {
		return remaining
	}
	deadline := float64(sidecar.scenario.Classes[submission.class].Deadline)
	share := shares[0] + (shares[1]-shares[0])*sidecar.clientRandom.Float64()
	return min(remaining, time.Duration(deadline*share))
}

// retryBackoff draws the client's own backoff before its next submission.
func (sidecar *sidecar) retryBackoff(submission *submission) time.Duration {
	backoff := sidecar.scenario.Clients.RetryBackoff << min(submission.number-1, maxBackoffDoublings)
	return time.Duration(float64(backoff) * (minBackoffFactor + sidecar.clientRandom.Float64()))
}

// scheduleRetry schedules the client's next submission after a pause. It reports false if the client gives up: it has
// no submission left, or its deadline would have passed.
func (sidecar *sidecar) scheduleRetry(submission *submission, pause time.Duration) bool {
	exhausted := submission.number >= sidecar.scenario.Clients.MaxSubmissions
	if exhausted || sidecar.now+pause >= submission.deadline {
		return false
	}
	sidecar.openRequests++
	sidecar.schedule(pause, func() {
		sidecar.submit(sidecar.newSubmission(submission.clientRequest, submission.number+1))
	})
	return true
}
