package fleet

// The retry budget of RetryWithBudget is a token bucket as Finagle's, without its floor: first attempts earn it,
// further ones spend it.
const (
	retryBudgetShare = 0.1  // further attempts that each first one earns
	maxRetryBudget   = 10.0 // further attempts that can be saved up
)

func (reference *reference) earnRetryBudget() {
	reference.retryBudget = min(maxRetryBudget, reference.retryBudget+retryBudgetShare)
}

// mayRetry reports whether a further attempt may start, and spends the retry budget for it.
func (reference *reference) mayRetry(request *referenceRequest) bool {
	if len(request.attempts) >= reference.config.MaxAttempts {
		return false
	}
	if request.mayHaveRun && !reference.isIdempotent(request) {
		return false
	}
	if reference.retries != RetryWithBudget {
		return true
	}
	if reference.retryBudget < 1 {
		return false
	}
	reference.retryBudget--
	return true
}
