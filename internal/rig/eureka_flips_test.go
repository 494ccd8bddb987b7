package rig

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

var interval = flag.Duration("interval", 50*time.Millisecond,
	"how often the sidecar polls its registry in the test of flips under load")

const (
	// minFlipInterval is between two drains of one node so long that its penalty stays
	// below what damping drains it for by itself: 1/(1-2^-(16/20)) is 2.3, of 3.
	minFlipInterval = 16 * time.Second
	// minDrain is how long a drain lasts at least, so that there is a time in which nothing may reach its node.
	minDrain = DrainWithin + 700*time.Millisecond
	// notificationSlack is for a good answer of the registry to be written and read.
	notificationSlack = 50 * time.Millisecond
	// recently before its drain a node that is in use has received something.
	recently = 200 * time.Millisecond
)

// Under load the registry flips states at random, falls silent, answers with
// nothing and loses half of its instances: no request reaches a drained node
// more than 2 s after the sidecar could know of it, the pool is never empty, no
// request is lost and no effect doubled.
func TestEurekaFlipsUnderLoad(t *testing.T) {
	for _, pair := range oneProtocol { // that both protocols are played is enough here
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testFlips(t, pair)
		})
	}
}

func testFlips(t *testing.T, pair pairing) {
	nodes, duration := 6, 5*time.Second
	if *long {
		nodes, duration = 18, time.Minute
	}
	registry := peertest.NewEureka(t)
	rig, _ := startWithEureka(t, registry, Options{
		Front: pair.front, Nodes: pair.nodes, Number: nodes, Slots: 120, Open: 200, Script: delayed(2 * time.Millisecond),
		Operators: func(file *operator.File) { file.Eureka[0].Interval = operator.Duration(interval.String()) },
	})
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	client := startClient(t, rig)
	verdicts := newVerdictCounts()
	stop := keepSending(8, func(worker, i int) { verdicts.add(doRequest(t, client, mixedRequest(worker, i))) })
	flips := newFlips(rig, rand.New(rand.NewPCG(seed, 4)))
	for until := time.Now().Add(duration); time.Now().Before(until); {
		flips.next()
		time.Sleep(20 * time.Millisecond)
	}
	flips.end()
	stop()
	late, lags := flips.measure()
	served, unserved := verdicts.counts[peers.Served], verdicts.counts[peers.Rejected]+verdicts.counts[peers.Failed]
	t.Logf("%v; %d drains, %d attempts too late; %d answers in a row at most were not served",
		verdicts, len(lags), late, verdicts.worstUnserved)
	if slices.Sort(lags); len(lags) > 0 {
		t.Logf("from the registry's change to the last attempt, polled every %v: median %v, worst %v",
			*interval, lags[len(lags)/2], lags[len(lags)-1])
	}
	if late > 0 || len(lags) == 0 {
		t.Errorf("%d attempts reached a drained node too late, of %d drains", late, len(lags))
	}
	if served < 1000 || unserved > served/50 || verdicts.worstUnserved > 30 {
		t.Errorf("verdicts %v, %d in a row not served: was the pool empty?", verdicts.counts, verdicts.worstUnserved)
	}
	expectNoneDoubled(t, rig, anyID)
}

// flips drains nodes and ends their drains at random, and makes the registry fail now and then.
type flips struct {
	rig     *Rig
	rng     *rand.Rand
	drained map[int]time.Time     // since when, by the node's number
	drains  map[int][]drainPeriod // by the node's number, in the order of their time
}

type drainPeriod struct{ from, to time.Time }

func newFlips(rig *Rig, rng *rand.Rand) *flips {
	return &flips{rig: rig, rng: rng, drained: make(map[int]time.Time), drains: make(map[int][]drainPeriod)}
}

// next makes one change, or none.
func (f *flips) next() {
	if f.rng.IntN(12) == 0 {
		f.failRegistry()
		return
	}
	node := f.rng.IntN(len(f.rig.Nodes) - 1) // one always stays in service
	from, isDrained := f.drained[node]
	switch {
	case isDrained && time.Since(from) >= minDrain:
		f.rig.Eureka.Override(f.rig.Nodes[node].Name, "")
		f.endDrain(node, from)
	case !isDrained && f.mayDrain(node):
		f.rig.Eureka.Override(f.rig.Nodes[node].Name, "OUT_OF_SERVICE")
		f.drained[node] = time.Now()
	}
}

func (f *flips) failRegistry() {
	faults := [...]peers.EurekaFault{peers.EmptyList, peers.ServerError, peers.TruncatedBody, peers.NotJSON, peers.NoResponse}
	f.rig.Eureka.SetFault(faults[f.rng.IntN(len(faults))])
	time.Sleep(150 * time.Millisecond)
	f.rig.Eureka.SetFault(peers.NoFault)
}

// mayDrain is whether a node may be drained without flapping, and without too many others.
func (f *flips) mayDrain(node int) bool {
	if len(f.drained) >= 3 {
		return false
	}
	earlier := f.drains[node]
	return len(earlier) == 0 || time.Since(earlier[len(earlier)-1].from) > minFlipInterval
}

func (f *flips) endDrain(node int, from time.Time) {
	f.drains[node] = append(f.drains[node], drainPeriod{from, time.Now()})
	delete(f.drained, node)
}

// end ends the drains that still last, as far as they are measured.
func (f *flips) end() {
	for node, from := range f.drained {
		f.endDrain(node, from)
	}
}

// measure counts the attempts that reached drained nodes too late. The lags are from
// the registry's change to the last attempt, a drain that shows one each.
func (f *flips) measure() (late int, lags []time.Duration) {
	for node, drains := range f.drains {
		attempts := f.rig.Ledger.AttemptTimes(f.rig.Nodes[node].Name)
		for _, drain := range drains {
			notified, ok := f.notification(drain)
			if !ok {
				continue
			}
			lag, used := time.Duration(0), false
			for _, at := range attempts {
				used = used || at.Before(drain.from) && drain.from.Sub(at) < recently
				if at.After(notified.Add(DrainWithin+notificationSlack)) && at.Before(drain.to) {
					late++
				}
				if at.After(drain.from) && at.Before(drain.to) {
					lag = at.Sub(drain.from)
				}
			}
			if used { // one that had nothing before shows nothing
				lags = append(lags, lag)
			}
		}
	}
	return late, lags
}

// notification is when the sidecar could know of a drain: by the first good answer of
// the registry. Without one in its time there is none.
func (f *flips) notification(drain drainPeriod) (at time.Time, ok bool) {
	for _, at := range f.rig.Eureka.FetchTimes() {
		if at.After(drain.from) {
			return at, at != drain.to
		}
	}
	return time.Time{}, false
}
