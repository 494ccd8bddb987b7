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

// digestOfChanges returns the digest of all changes that follow random events from two sources.
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
	digest, ready := golden.NewDigest(), 0
	record := func(changes []membership.Change) {
		for _, c := range changes {
			digest.Text('c', strings.Join([]string{c.Key, c.Name, c.Addr, c.Zone, c.MachineType, c.Cell, c.Protocol}, "\t"))
			digest.Numbers('s', int64(c.State), int64(c.StartedAt))
			digest.Float('w', c.Weight)
		}
		digest.Numbers('r', int64(set.Ready()))
		ready += set.Ready()
	}
	dirty, flaps := int64(0), 0
	draw := func(id int) membership.Instance {
		if dirty++; rng.IntN(20) == 0 {
			dirty -= 3
		}
		i := membership.Instance{
			ID: fmt.Sprint("i", id), Name: fmt.Sprint("records-", id), Addr: fmt.Sprint("10.0.0.", id%23, ":80"),
			Zone: fmt.Sprint("z", id%3), Weight: float64(id % 4), Dirty: dirty, Updated: dirty + int64(rng.IntN(3)),
		}
		if rng.IntN(6) == 0 {
			i.Status = membership.Status(rng.IntN(5))
		}
		if rng.IntN(3) > 0 {
			i.StartedAt = time.Duration(1+rng.IntN(3)) * time.Minute
		}
		if rng.IntN(4) > 0 {
			i.Cell = fmt.Sprint("cell-", id%5)
		}
		return i
	}
	now := time.Hour
	for step := range goldenSteps {
		every := []int{0, 3, 0, 12}[step/400%4] // steps between two flaps of one instance; 0: none
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
		if flapping && every > 0 && rng.IntN(every) == 0 {
			flaps++
			i := membership.Instance{ID: "flapping", Name: "flapping", Addr: "10.0.1.1:80", StartedAt: time.Minute}
			i.Dirty = int64(flaps)
			i.Status = membership.Status(flaps % 2 * int(membership.Down))
			record(set.ApplyDelta(now, 1, replica, []membership.Delta{{Op: membership.Put, Instance: i}}))
		}
		switch rng.IntN(12) {
		case 0:
			var list []membership.Instance
			if flapping && source == 1 {
				continue // it would lose the instance that flaps
			}
			for id := range goldenInstances {
				if rng.IntN(10) > 0 {
					list = append(list, draw(id))
				}
			}
			if rng.IntN(8) == 0 {
				list = list[:rng.IntN(len(list))]
			}
			changes, err := set.ReplaceList(now, source, replica, list)
			if err != nil {
				t.Fatal(err)
			}
			record(changes)
		case 1:
			record(set.SourceResponded(now, source))
		case 2, 3, 4:
			record(set.Tick(now))
		default:
			d := membership.Delta{Op: membership.Put, Instance: draw(rng.IntN(goldenInstances))}
			if rng.IntN(4) == 0 {
				d.Op = membership.Delete
			}
			record(set.ApplyDelta(now, source, replica, []membership.Delta{d}))
		}
	}
	return fmt.Sprintf("%s %.2f", digest, float64(ready)/goldenSteps)
}

// The merged view stays as it was recorded. Record it anew with
//
//	go test ./membership -run Golden -update
func TestGoldenChanges(t *testing.T) {
	var got strings.Builder
	for seed := range uint64(10) {
		fmt.Fprintf(&got, "seed %d: %s\n", seed, digestOfChanges(t, seed))
	}
	golden.Check(t, "changes", got.String())
}
