package policy_test

import (
	"fmt"
	"testing"
	"time"

	"mothridge/policy"
)

// sidecar is a policy.Host that prints the decisions of a Balancer.
type sidecar struct{}

func (sidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	fmt.Printf("send request %d, for at most %v\n", id, timeout)
}
func (sidecar) Reject(id policy.RequestID, pause time.Duration) {
	fmt.Printf("reject request %d\n", id)
}
func (sidecar) Fail(id policy.RequestID)                { fmt.Printf("fail request %d\n", id) }
func (sidecar) Cancel(id policy.RequestID, attempt int) {}
func (sidecar) SetTimer(d time.Duration)                {} // a real program calls Balancer.TimerFired after d
func (sidecar) Probe(to policy.EndpointID)              {}
func (sidecar) RequestWatch()                           {}

// Example shows the events of three requests at a Balancer with one slot.
func Example() {
	balancer, err := policy.New(policy.Config{
		FleetSize:   1,
		MaxAttempts: 2,
		Slots:       1,
		Classes:     []policy.Class{{LatencyObjective: time.Second, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: policy.NotIdempotent}},
	}, 42, sidecar{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // time since a moment that the program chooses
	balancer.Start(now)
	balancer.EndpointsUpdated(now, policy.FullUpdate, []policy.Endpoint{{ID: 7, Health: policy.Ready, Weight: 1}})
	for id := range policy.RequestID(3) { // one slot and a queue of one: the third request is rejected
		balancer.RequestReceived(now, policy.Request{ID: id, Timeout: 2 * time.Second})
	}
	now += 80 * time.Millisecond
	balancer.AttemptEnded(now, policy.AttemptOutcome{ID: 0, Attempt: 0, Result: policy.Served, Completed: true})
	// Output:
	// send request 0, for at most 1s
	// reject request 2
	// send request 1, for at most 920ms
}

// BenchmarkList measures a first full update with n endpoints, and delta updates of one endpoint.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		list := make([]policy.Endpoint, n)
		for i := range list {
			list[i] = policy.Endpoint{ID: policy.EndpointID(i + 1), Weight: 1, Health: policy.Ready}
		}
		newWithList := func() *policy.Balancer {
			balancer, err := policy.New(policy.Config{FleetSize: 1, MaxAttempts: 3, Classes: []policy.Class{{LatencyObjective: time.Second, Deadline: time.Second, PriorityWeight: 1}}}, 1, sidecar{})
			if err != nil {
				b.Fatal(err)
			}
			balancer.Start(0)
			balancer.EndpointsUpdated(0, policy.FullUpdate, list)
			return balancer
		}
		b.Run(fmt.Sprint("first/endpoints=", n), func(b *testing.B) {
			for range b.N {
				newWithList()
			}
		})
		b.Run(fmt.Sprint("delta/endpoints=", n), func(b *testing.B) {
			balancer := newWithList()
			for i := range b.N {
				balancer.EndpointsUpdated(time.Duration(i), policy.DeltaUpdate, list[i%n:i%n+1])
			}
		})
	}
}
