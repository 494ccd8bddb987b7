package policy_test

import (
	"fmt"
	"time"

	"mothridge/policy"
)

// sidecar is the program that embeds the module: it carries out its decisions.
type sidecar struct{}

func (sidecar) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
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
