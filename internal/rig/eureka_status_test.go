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

var pollInterval = flag.Duration("interval", 50*time.Millisecond,
	"interval at which the sidecar polls its registry in the test of status changes under load")

const (
	// minDrainInterval is the minimum time between the starts of two drains of the same node. With this
	// interval the node's flap penalty stays below the limit of 3 at which damping drains the node:
	// it reaches at most 1/(1-2^-(16/20)), which is 2.3.
	minDrainInterval = 16 * time.Second
	// minDrainDuration is the minimum duration of a drain. It exceeds DrainTimeLimit, so that each drain has a
	// period in which no request may reach its node.
	minDrainDuration = DrainTimeLimit + 700*time.Millisecond
	// notificationSlack is the time for a correct response of the registry to be written and read.
	notificationSlack = 50 * time.Millisecond
	// recentUseWindow is the time before a drain in which a node that is in use has received a request.
	recentUseWindow = 200 * time.Millisecond
)

// Under load the registry drains up to three nodes at a time at random, stops responding, and responds with
// an empty list, an error or an invalid body. No request reaches a drained node more than 2 s after the first
// response that lists the drain. The number of requests that are not served is at most 2% of the number served. At
// most 30 requests in succession are not served, because the endpoint list is never empty. Each request gets a
// response, and no effect is executed twice. The test guards against membership changes that lose endpoints or
// requests.
func TestEurekaStatusChangesUnderLoad(t *testing.T) {
	for _, pair := range sameProtocol { // one pairing with each protocol is sufficient here
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testStatusChanges(t, pair)
		})
	}
}

func testStatusChanges(t *testing.T, pair pairing) {
	nodes, duration := 6, 5*time.Second
	if *long {
		nodes, duration = 18, time.Minute
	}
	registry := peertest.NewEureka(t)
	rig, _ := startWithEureka(t, registry, Options{
		ClientProtocol: pair.front, NodeProtocol: pair.nodes, NodeCount: nodes, Slots: 120, MaxInFlightPerConn: 200,
		Script:            delayed(2 * time.Millisecond),
		ConfigureOperator: func(file *operator.File) { file.Eureka[0].Interval = operator.Duration(pollInterval.String()) },
	})
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	client := startClient(t, rig)
	outcomes := newOutcomeCounts()
	stop := sendContinuously(8, func(worker, i int) { outcomes.add(doRequest(t, client, mixedRequest(worker, i))) })
	changer := newStatusChanger(rig, rand.New(rand.NewPCG(seed, 4)))
	for until := time.Now().Add(duration); time.Now().Before(until); {
		changer.changeRandomStatus()
		time.Sleep(20 * time.Millisecond)
	}
	changer.endAllDrains()
	stop()
	late, lags := changer.measure()
	served, unserved := outcomes.counts[peers.Served], outcomes.counts[peers.Rejected]+outcomes.counts[peers.Failed]
	t.Logf("%v; %d drains, %d attempts too late; at most %d consecutive responses were not served",
		outcomes, len(lags), late, outcomes.longestUnservedRun)
	if slices.Sort(lags); len(lags) > 0 {
		t.Logf("time from the registry's change to the last attempt, polled every %v: median %v, maximum %v",
			*pollInterval, lags[len(lags)/2], lags[len(lags)-1])
	}
	if late > 0 || len(lags) == 0 {
		t.Errorf("got %d late attempts at drained nodes in %d drains, want 0 in at least 1", late, len(lags))
	}
	if served < 1000 || unserved > served/50 || outcomes.longestUnservedRun > 30 {
		t.Errorf("got outcomes %v, %d consecutive unserved; want at least 1000 served, at most 2%% unserved, 30 consecutive",
			outcomes.counts, outcomes.longestUnservedRun)
	}
	expectNoneExecutedTwice(t, rig, anyID)
}

// statusChanger starts and ends drains of random nodes, and occasionally makes the registry fail.
type statusChanger struct {
	rig     *Rig
	random  *rand.Rand
	drained map[int]time.Time     // start of the current drain, by the node's index
	drains  map[int][]drainPeriod // ended drains in order of time, by the node's index
}

// drainPeriod is the time of a drain in the registry.
type drainPeriod struct{ from, to time.Time }

func newStatusChanger(rig *Rig, random *rand.Rand) *statusChanger {
	return &statusChanger{
		rig: rig, random: random, drained: make(map[int]time.Time), drains: make(map[int][]drainPeriod),
	}
}

// changeRandomStatus makes the registry fail, or starts or ends the drain of a random node. It does nothing
// if the node may not change yet.
func (s *statusChanger) changeRandomStatus() {
	if s.random.IntN(12) == 0 {
		s.failRegistry()
		return
	}
	node := s.random.IntN(len(s.rig.Nodes) - 1) // the last node always stays in service
	from, isDrained := s.drained[node]
	switch {
	case isDrained && time.Since(from) >= minDrainDuration:
		s.rig.Eureka.Override(s.rig.Nodes[node].Name, "")
		s.endDrain(node, from)
	case !isDrained && s.mayDrain(node):
		s.rig.Eureka.Override(s.rig.Nodes[node].Name, "OUT_OF_SERVICE")
		s.drained[node] = time.Now()
	}
}

// failRegistry injects a random fault for 150 ms.
func (s *statusChanger) failRegistry() {
	faults := [...]peers.EurekaFault{peers.EmptyList, peers.ServerError, peers.TruncatedBody, peers.NotJSON, peers.NoResponse}
	s.rig.Eureka.SetFault(faults[s.random.IntN(len(faults))])
	time.Sleep(150 * time.Millisecond)
	s.rig.Eureka.SetFault(peers.NoFault)
}

// mayDrain reports whether a node may be drained: at most three nodes are drained at a time, and a node is
// not drained so often that flap damping drains it.
func (s *statusChanger) mayDrain(node int) bool {
	if len(s.drained) >= 3 {
		return false
	}
	earlier := s.drains[node]
	return len(earlier) == 0 || time.Since(earlier[len(earlier)-1].from) > minDrainInterval
}

// endDrain records the end of a drain.
func (s *statusChanger) endDrain(node int, from time.Time) {
	s.drains[node] = append(s.drains[node], drainPeriod{from, time.Now()})
	delete(s.drained, node)
}

// endAllDrains records the current time as the end of the drains that have not ended.
func (s *statusChanger) endAllDrains() {
	for node, from := range s.drained {
		s.endDrain(node, from)
	}
}

// measure returns how many attempts reached drained nodes too late. lags contains, for each drain of a node
// that was in use, the time from the registry's change to the last attempt.
func (s *statusChanger) measure() (late int, lags []time.Duration) {
	for node, drains := range s.drains {
		attempts := s.rig.Ledger.AttemptTimes(s.rig.Nodes[node].Name)
		for _, drain := range drains {
			notified, ok := s.notificationTime(drain)
			if !ok {
				continue
			}
			lag, used := time.Duration(0), false
			for _, at := range attempts {
				used = used || at.Before(drain.from) && drain.from.Sub(at) < recentUseWindow
				if at.After(notified.Add(DrainTimeLimit+notificationSlack)) && at.Before(drain.to) {
					late++
				}
				if at.After(drain.from) && at.Before(drain.to) {
					lag = at.Sub(drain.from)
				}
			}
			if used { // a node that was not in use before the drain gives no information
				lags = append(lags, lag)
			}
		}
	}
	return late, lags
}

// notificationTime returns when the sidecar could detect a drain: the time of the registry's first correct
// response after the start of the drain. It returns false if there is no such response.
func (s *statusChanger) notificationTime(drain drainPeriod) (at time.Time, ok bool) {
	for _, at := range s.rig.Eureka.FetchTimes() {
		if at.After(drain.from) {
			return at, at != drain.to
		}
	}
	return time.Time{}, false
}
