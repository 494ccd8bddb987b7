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

// play returns the digest of all steps of a Schedule whose calls take random times.
func play(c resolver.Config, seed uint64) string {
	rng := rand.New(rand.NewPCG(seed, 3))
	schedule, digest := resolver.New(c, seed), golden.NewDigest()
	now, slow := time.Duration(0), 1.0
	answered, failed, given := 0, 0, 0
	due := make(map[resolver.CallID]time.Duration)
	for i := range goldenSteps {
		if i%50 == 0 {
			slow = []float64{0.2, 1, 8, 60, 200}[rng.IntN(5)]
			schedule.SetHasList(rng.IntN(2) == 0)
		}
		step := schedule.Next(now)
		digest.Numbers('n', int64(step.Wait), int64(step.Call), int64(len(step.Cancel)))
		for _, id := range step.Cancel {
			digest.Numbers('g', int64(id))
			delete(due, id)
			given++
		}
		if step.Start {
			due[step.Call] = now + time.Duration(rng.ExpFloat64()*slow*float64(time.Second))
		}
		next, first := now+step.Wait, resolver.CallID(0)
		for id, at := range due {
			if at <= next && (first == 0 || at < due[first] || at == due[first] && id < first) {
				first = id
			}
		}
		if now = next; first == 0 {
			continue
		}
		now = due[first]
		switch rng.IntN(5) {
		case 0:
			digest.Numbers('f', int64(first))
			if !schedule.CallFailed(first) {
				now += time.Duration(rng.IntN(2000)) * time.Millisecond
			}
			delete(due, first)
			failed++
		case 1:
			schedule.CancelAll()
			clear(due)
		default:
			schedule.CallAnswered(now, first)
			clear(due)
			answered++
		}
	}
	return fmt.Sprintf("%s %d", digest, []int{answered, failed, given})
}

// The calls stay as they were recorded. Record them anew with
//
//	go test ./resolver -run Golden -update
func TestGoldenSteps(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(3) {
		fmt.Fprintf(&got, "pushed, seed %d: %s\n", seed, play(resolver.ForPushedLists(), seed))
		fmt.Fprintf(&got, "asked, seed %d: %s\n", seed, play(resolver.ForPolledLists(), seed))
	}
	golden.Check(t, "steps", got.String())
}
