package membership_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mothridge/internal/golden"
	"mothridge/membership"
)

const (
	goldenSteps     = 20_000
	goldenInstances = 25
)

// digestOfChanges applies random events from two sources and returns the digest of all resulting
// changes, and the average number of ready endpoints.
func digestOfChanges(t *testing.T, seed uint64) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 2))
	config := membership.Config{MaxLoss: 0.1 + rng.Float64()/2}
	if seed%2 == 0 {
		config = membership.Config{}
	}
	registry, platform := membership.Source{Name: "registry", Polled: true}, membership.Source{Name: "platform"}
	set, err := membership.New(config, registry, platform)
	if err != nil {
		t.Fatal(err)
	}
	digest, readySum := golden.NewDigest(), 0
	recordChanges := func(changes []membership.Change) {
		for _, c := range changes {
			digest.AddText('c', strings.Join([]string{c.Key, c.Name, c.Addr, c.Zone, c.MachineType, c.Cell, c.Protocol}, "\t"))
			digest.AddNumbers('s', int64(c.State), int64(c.StartedAt))
			digest.AddFloat('w', c.Weight)
		}
		digest.AddNumbers('r', int64(set.Ready()))
		readySum += set.Ready()
	}
	dirty, flaps := int64(0), 0
	randomInstance := func(id int) membership.Instance {
		if dirty++; rng.IntN(20) == 0 {
			dirty -= 3
		}
		instance := membership.Instance{
			ID: fmt.Sprint("i", id), Name: fmt.Sprint("records-", id), Addr: fmt.Sprint("10.0.0.", id%23, ":80"),
			Zone: fmt.Sprint("z", id%3), Weight: float64(id % 4), LastDirty: dirty, LastUpdated: dirty + int64(rng.IntN(3)),
		}
		if rng.IntN(6) == 0 {
			instance.Status = membership.Status(rng.IntN(5))
		}
		if rng.IntN(3) > 0 {
			instance.StartedAt = time.Duration(1+rng.IntN(3)) * time.Minute
		}
		if rng.IntN(4) > 0 {
			instance.Cell = fmt.Sprint("cell-", id%5)
		}
		return instance
	}
	now := time.Hour
	for step := range goldenSteps {
		// flapInterval is the average number of steps between two status changes of the flapping
		// instance; 0: no changes.
		flapInterval := []int{0, 3, 0, 12}[step/400%4]
		flapping := seed%3 == 0
		source, replica := rng.IntN(2), fmt.Sprint("replica-", rng.IntN(8)/7)
		switch pause := rng.IntN(300); {
		case flapping && pause < 299:
			now += time.Duration(rng.IntN(600)) * time.Millisecond
		case pause < 150:
			now += time.Duration(rng.IntN(1500)) * time.Millisecond
		case pause < 158:
			now += time.Duration(rng.IntN(110)) * time.Second
		case pause == 158:
			now += time.Duration(rng.IntN(15)) * time.Minute
		}
		if flapping && flapInterval > 0 && rng.IntN(flapInterval) == 0 {
			flaps++
			instance := membership.Instance{ID: "flapping", Name: "flapping", Addr: "10.0.1.1:80", StartedAt: time.Minute}
			instance.LastDirty = int64(flaps)
			instance.Status = membership.Status(flaps % 2 * int(membership.Down))
			recordChanges(set.ApplyDelta(now, 1, replica, []membership.Delta{{Op: membership.Put, Instance: instance}}))
		}
		switch rng.IntN(12) {
		case 0:
			var list []membership.Instance
			if flapping && source == 1 {
				continue // a list without the flapping instance would remove it
			}
			for id := range goldenInstances {
				if rng.IntN(10) > 0 {
					list = append(list, randomInstance(id))
				}
			}
			if rng.IntN(8) == 0 {
				list = list[:rng.IntN(len(list))]
			}
			changes, err := set.ReplaceList(now, source, replica, list)
			if err != nil {
				t.Fatal(err)
			}
			recordChanges(changes)
		case 1:
			recordChanges(set.SourceResponded(now, source))
		case 2, 3, 4:
			recordChanges(set.Tick(now))
		default:
			delta := membership.Delta{Op: membership.Put, Instance: randomInstance(rng.IntN(goldenInstances))}
			if rng.IntN(4) == 0 {
				delta.Op = membership.Delete
			}
			recordChanges(set.ApplyDelta(now, source, replica, []membership.Delta{delta}))
		}
	}
	return fmt.Sprintf("%s %.2f", digest, float64(readySum)/goldenSteps)
}

// The changes of the merged view must equal the recorded digests. To record them again, run
//
//	go test ./membership -run Golden -update
func TestGoldenChanges(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(10) {
		fmt.Fprintf(&got, "seed %d: %s\n", seed, digestOfChanges(t, seed))
	}
	golden.Check(t, "changes", got.String())
}
