package resolver_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mothridge/internal/golden"
	"mothridge/resolver"
)

const goldenSteps = 30_000

// digestOfSteps returns the digest of all steps of a Schedule whose calls take random times, and the numbers
// of calls that were answered, failed and were cancelled.
func digestOfSteps(config resolver.Config, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	schedule, digest := resolver.New(config, seed), golden.NewDigest()
	now, meanSeconds := time.Duration(0), 1.0
	answered, failed, cancelled := 0, 0, 0
	endAt := make(map[resolver.CallID]time.Duration)
	for i := range goldenSteps {
		if i%50 == 0 {
			meanSeconds = []float64{0.2, 1, 8, 60, 200}[rng.IntN(5)]
			schedule.SetHasList(rng.IntN(2) == 0)
		}
		step := schedule.Next(now)
		digest.AddNumbers('n', int64(step.Wait), int64(step.Call), int64(len(step.Cancel)))
		for _, id := range step.Cancel {
			digest.AddNumbers('g', int64(id))
			delete(endAt, id)
			cancelled++
		}
		if step.Start {
			endAt[step.Call] = now + time.Duration(rng.ExpFloat64()*meanSeconds*float64(time.Second))
		}
		now += step.Wait
		first := firstToEnd(endAt, now)
		if first == 0 {
			continue
		}
		now = endAt[first]
		switch rng.IntN(5) {
		case 0:
			digest.AddNumbers('f', int64(first))
			if !schedule.CallFailed(first) {
				now += time.Duration(rng.IntN(2000)) * time.Millisecond
			}
			delete(endAt, first)
			failed++
		case 1:
			schedule.CancelAll()
			clear(endAt)
		default:
			schedule.CallResponded(now, first)
			clear(endAt)
			answered++
		}
	}
	return fmt.Sprintf("%s %d", digest, []int{answered, failed, cancelled})
}

// firstToEnd returns the call that ends first, if it ends no later than the time by; otherwise 0. Of two calls
// that end at the same time, firstToEnd returns the call with the lower ID.
func firstToEnd(endAt map[resolver.CallID]time.Duration, by time.Duration) resolver.CallID {
	first := resolver.CallID(0)
	for id, at := range endAt {
		isSooner := first == 0 || at < endAt[first] || at == endAt[first] && id < first
		if at <= by && isSooner {
			first = id
		}
	}
	return first
}

// The steps of a Schedule must equal the recorded steps. Record the steps again with
//
//	go test ./resolver -run Golden -update
func TestGoldenSteps(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(3) {
		fmt.Fprintf(&got, "pushed, seed %d: %s\n", seed, digestOfSteps(resolver.ForPushedLists(), seed))
		fmt.Fprintf(&got, "asked, seed %d: %s\n", seed, digestOfSteps(resolver.ForPolledLists(), seed))
	}
	golden.Check(t, "steps", got.String())
}
