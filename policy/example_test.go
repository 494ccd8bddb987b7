package policy_test

import (
	"fmt"
	"testing"
	"time"

	"mothridge/policy"
)

// sidecar is the program that embeds the module: it carries out its decisions.
type sidecar struct{}

func (sidecar) Send(id policy.RequestID, to policy.ServerID, timeout, _ time.Duration) {
	fmt.Printf("send request %d, for at most %v\n", id, timeout)
}
func (sidecar) Refuse(id policy.RequestID, pause time.Duration) {
	fmt.Printf("refuse request %d\n", id)
}
func (sidecar) Fail(id policy.RequestID)                { fmt.Printf("fail request %d\n", id) }
func (sidecar) Cancel(id policy.RequestID, attempt int) {}
func (sidecar) Wake(d time.Duration)                    {} // call b.Wake after d
func (sidecar) Probe(to policy.ServerID)                {}
func (sidecar) WatchList()                              {}

func Example() {
	b, err := policy.New(policy.Config{
		Balancers:   1,
		MaxAttempts: 2,
		Slots:       1,
		Classes:     []policy.Class{{Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, Effect: policy.Unsafe}},
	}, 42, sidecar{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Duration(0) // since any moment the program picks
	b.Start(now)
	b.List(now, policy.ListFull, []policy.Server{{ID: 7, State: policy.Ready, Weight: 1}})
	for id := range policy.RequestID(3) { // one slot, one queue place: the third is refused
		b.Request(now, policy.Request{ID: id, Left: 2 * time.Second})
	}
	now += 80 * time.Millisecond
	b.Outcome(now, policy.Outcome{ID: 0, Attempt: 0, Ending: policy.Served, Settled: true})
	// Output:
	// send request 0, for at most 1s
	// refuse request 2
	// send request 1, for at most 920ms
}

// BenchmarkList takes a first list of n servers, and then deltas of one.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		list := make([]policy.Server, n)
		for i := range list {
			list[i] = policy.Server{ID: policy.ServerID(i + 1), Weight: 1, State: policy.Ready}
		}
		first := func() *policy.Balancer {
			m, err := policy.New(policy.Config{Balancers: 1, MaxAttempts: 3, Classes: []policy.Class{{Aim: time.Second, Deadline: time.Second, Worth: 1}}}, 1, sidecar{})
			if err != nil {
				b.Fatal(err)
			}
			m.Start(0)
			m.List(0, policy.ListFull, list)
			return m
		}
		b.Run(fmt.Sprint("first/servers=", n), func(b *testing.B) {
			for range b.N {
				first()
			}
		})
		b.Run(fmt.Sprint("delta/servers=", n), func(b *testing.B) {
			m := first()
			for i := range b.N {
				m.List(time.Duration(i), policy.ListDelta, list[i%n:i%n+1])
			}
		})
	}
}
