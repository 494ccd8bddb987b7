package fleet

import "time"

// roundRobinSelector selects the ready endpoints one after the other (RoundRobin, Bulkhead).
type roundRobinSelector struct{ next int }

func (selector *roundRobinSelector) selectTarget(_ time.Duration, ready []*target) *target {
	selector.next++
	return ready[selector.next%len(ready)]
}
