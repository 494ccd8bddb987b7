package fleet

// The retry budget of RetryWithBudget is a token bucket like Finagle's, but without Finagle's minimum budget: first
// attempts add to the budget, further attempts are taken from it.
const (
	retryBudgetShare = 0.1  // further attempts that each first attempt adds to the budget
	maxRetryBudget   = 10.0 // largest budget, in further attempts
)

func (reference *reference) addRetryBudget() {
	reference.retryBudget = min(maxRetryBudget, reference.retryBudget+retryBudgetShare)
}

// mayRetry reports whether a further attempt may start, and takes that attempt from the retry budget.
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
