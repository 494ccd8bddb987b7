package fleet

import "time"

// roundRobinSelector selects the ready endpoints in turn (RoundRobin, Bulkhead).
type roundRobinSelector struct{ next int }

func (selector *roundRobinSelector) selectTarget(_ time.Duration, ready []*target) *target {
	selector.next++
	return ready[selector.next%len(ready)]
}
