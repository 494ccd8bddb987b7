package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"mothridge/policy"
)

// epoch is when a run begins by the decision module's clock, on which 0 stands
// for long ago.
const epoch = time.Hour

// drainWithin is how long after the news of a drain a node may still be sent
// something, and slack what each time limit of a rule is longer.
const (
	drainGrace = 2 * time.Second
	timeSlack  = 50 * time.Millisecond
)

// run is a run under way.
type simulation struct {
	eventQueue
	scenario        *Scenario
	arrivalRate     float64 // first tries a second
	nodes           []*node
	sidecars        []*sidecar
	requestRandom   *rand.Rand // of classes, tenants and work
	networkRandom   *rand.Rand
	listRandom      *rand.Rand
	clientRandom    *rand.Rand // of clients
	offeredWork     []workEstimate
	healthChanges   []healthChange // of nodes, in order, where a list may be told late
	rateFactors     []float64      // what each tenant sends now, over its usual
	listOutageUntil time.Duration
	lastID          policy.RequestID
	explainedID     policy.RequestID // the first try of the client that is watched
	openRequests    int              // clients that wait
	result          Result
	violations      int
	recorder        *recorder
	plan            *[]PlannedArrival // not nil: what comes is only written down
}

// offer is the work offered to a node lately, fading within a second.
type workEstimate struct {
	work float64
	at   time.Duration
}

// news is what the list came to say of a node.
type healthChange struct {
	at     time.Duration
	node   *node
	health policy.Health
}

// Run plays a scenario. The error says what is wrong with it; broken rules are
// in the result.
func Run(s Scenario) (*Result, error) {
	r, err := simulate(s)
	if err != nil || s.ExplainRequest == 0 || r.explainedID == s.ExplainRequest {
		return &r.result, err
	}
	s.ExplainRequest = r.explainedID // of a later try: all of its client's are told
	r, err = simulate(s)
	return &r.result, err
}

func simulate(s Scenario) (*simulation, error) {
	r, err := newSimulation(&s)
	if err != nil {
		return new(simulation), err
	}
	for _, t := range s.Faults {
		r.schedule(t.Start, func() { r.injectFault(t) })
	}
	r.startArrivals()
	r.processEvents()
	r.finishResult()
	return r, nil
}

// prepare puts the parts of a run together.
func newSimulation(s *Scenario) (*simulation, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.MaxEvents == 0 {
		s.MaxEvents = 100_000_000
	}
	r := &simulation{
		scenario: s, arrivalRate: s.ArrivalRate, explainedID: s.ExplainRequest, offeredWork: make([]workEstimate, s.Nodes),
		requestRandom: randomStream(s.Seed, "requests", 0), networkRandom: randomStream(s.Seed, "network", 0), listRandom: randomStream(s.Seed, "lists", 0), clientRandom: randomStream(s.Seed, "clients", 0),
	}
	if s.OfferedLoad > 0 {
		r.arrivalRate = s.OfferedLoad * s.Capacity() / s.meanWork()
	}
	for range max(1, len(s.Tenants)) {
		r.rateFactors = append(r.rateFactors, 1)
	}
	r.recorder = newRecorder(r)
	for i := range s.Nodes {
		r.nodes = append(r.nodes, &node{events: &r.eventQueue, params: s.NodeParamsAt(i), number: i})
	}
	for i := range s.Sidecars {
		c := &sidecar{simulation: r, number: i, arrivalRandom: randomStream(s.Seed, "arrivals", i)}
		r.sidecars = append(r.sidecars, c)
		if err := c.start(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// arrivals lets requests come to all sidecars.
func (sim *simulation) startArrivals() {
	if len(sim.scenario.RecordedArrivals) > 0 {
		sim.replayArrival(0)
		return
	}
	for i, c := range sim.sidecars {
		c.startArrivalProcess(i)
	}
}

// finish draws up the result.
func (sim *simulation) finishResult() {
	for _, n := range sim.nodes {
		n.advance()
		sim.result.NodeServed = append(sim.result.NodeServed, n.served)
		sim.result.NodeUtilisation = append(sim.result.NodeUtilisation, n.busyCoreSeconds/max(sim.now.Seconds(), 1e-9)/float64(n.params.Cores))
		sim.result.OverloadCollapses += n.collapses
	}
	if c := &sim.result; c.Truncated == "" && c.Submissions != c.Served+c.Rejected+c.Failed+c.Lost {
		sim.reportViolation("%d asked, but %d served, %d refused, %d failed and %d lost", c.Submissions, c.Served, c.Rejected, c.Failed, c.Lost)
	}
	sim.result.Events = sim.processed
	sim.recorder.sortSamples()
}

// play lets events come until the last request has its answer.
func (sim *simulation) processEvents() {
	for {
		switch {
		case sim.now > sim.scenario.Duration && sim.openRequests == 0:
			return
		case sim.processed >= sim.scenario.MaxEvents:
			sim.result.Truncated = fmt.Sprintf("after %d events, at %v of %v, with %d requests open", sim.processed, sim.now, sim.scenario.Duration, sim.openRequests)
			return
		case !sim.processNext(1 << 62):
			return
		}
	}
}

// breach notes a broken rule.
func (sim *simulation) reportViolation(format string, args ...any) {
	if sim.violations++; sim.violations <= maxViolations {
		sim.result.Violations = append(sim.result.Violations, fmt.Sprintf("%v: %s", sim.now, fmt.Sprintf(format, args...)))
	}
}

// watched says whether what happens to a request is told: asked first, as the
// words cost more than what they are about.
func (sim *simulation) isExplained(x *submission) bool {
	return sim.explainedID != 0 && x != nil && (x.firstID == sim.explainedID || x.id == sim.explainedID)
}

// note tells of the client that is watched.
func (sim *simulation) explain(x *submission, format string, args ...any) {
	sim.explainedID = x.firstID
	if len(sim.result.Explanation) < maxExplanationLines {
		sim.result.Explanation = append(sim.result.Explanation, ExplanationLine{sim.now, fmt.Sprintf("try %d (request %d): ", x.number, x.id) + fmt.Sprintf(format, args...)})
	}
}

// delay draws a one-way delay.
func (sim *simulation) networkDelay() time.Duration {
	return time.Duration(sim.networkRandom.ExpFloat64() * float64(sim.scenario.Network.Delay))
}

// trouble lets something happen, and end.
func (sim *simulation) injectFault(t Fault) {
	later := func(do func()) {
		if t.Duration > 0 {
			sim.schedule(t.Duration, do)
		}
	}
	switch t.Kind {
	case ListOutage:
		sim.listOutageUntil = sim.now + t.Duration
		for _, c := range sim.sidecars {
			if c.subscribed = !sim.scenario.List.WatchRequired; !c.stopped {
				c.balancer.EndpointsUpdated(c.clockTime(), policy.FailedUpdate, nil)
			}
		}
		return
	case StaleList:
		sim.publishList(func(n *node) policy.Health { return sim.healthAt(n, sim.now-t.Duration) })
		later(func() { sim.publishList(sim.currentHealth) })
		return
	case TrafficBurst:
		sim.rateFactors[t.Tenant] = t.RateFactor
		later(func() { sim.rateFactors[t.Tenant] = 1 })
		return
	case PowerLoss:
		for _, c := range sim.sidecars {
			if !c.stopped {
				c.stop()
			}
		}
		for _, n := range sim.nodes {
			n.restart(false)
		}
		sim.schedule(t.Duration, func() {
			for _, n := range sim.nodes {
				n.restart(true)
			}
			for _, c := range sim.sidecars {
				if c.stopped { // another cut may have ended before
					c.restart()
				}
			}
		})
		return
	case SidecarRestart:
		for _, c := range sim.sidecars {
			if !c.stopped { // in a power cut there is none
				c.stop()
				c.restart()
			}
		}
		return
	}
	hit := []*node{sim.nodes[t.Node]}
	if t.NodeShare > 0 {
		hit = nil
		for _, i := range randomStream(sim.scenario.Seed, "troubles "+string(t.Kind), int(t.Start)).Perm(len(sim.nodes))[:int(math.Round(t.NodeShare*float64(len(sim.nodes))))] {
			hit = append(hit, sim.nodes[i])
		}
	}
	if t.Kind == IncompleteList {
		out := make(map[*node]bool)
		for _, n := range hit {
			out[n] = true
		}
		sim.publishList(func(n *node) policy.Health {
			if out[n] {
				return policy.Removed
			}
			return sim.currentHealth(n)
		})
		later(func() { sim.publishList(sim.currentHealth) })
		return
	}
	for _, n := range hit {
		sim.injectNodeFault(n, t, later)
	}
}

// strike lets something happen to a node.
func (sim *simulation) injectNodeFault(n *node, t Fault, later func(func())) {
	set := func(change, back func()) {
		n.change(change)
		later(func() { n.change(back) })
	}
	switch t.Kind {
	case Hang:
		set(func() { n.hanging = true }, func() { n.hanging = false })
	case DropResponses:
		set(func() { n.dropsResponses = true }, func() { n.dropsResponses = false })
	case DropRequests:
		set(func() { n.dropsRequests = true }, func() { n.dropsRequests = false })
	case ResetConnections:
		set(func() { n.resetShare = t.Share }, func() { n.resetShare = 0 })
	case StealCPU:
		set(func() { n.stolenShare = t.Share }, func() { n.stolenShare = 0 })
		if t.Period > 0 {
			end := sim.now + t.Duration
			var turn func()
			turn = func() {
				switch {
				case t.Duration > 0 && sim.now >= end || sim.now > sim.scenario.Duration:
					return
				case n.stolenShare > 0:
					n.change(func() { n.stolenShare = 0 })
				default:
					n.change(func() { n.stolenShare = t.Share })
				}
				sim.schedule(t.Period/2, turn)
			}
			sim.schedule(t.Period/2, turn)
		}
	case Drain:
		sim.publishHealth(n, policy.Draining)
		later(func() { sim.publishHealth(n, policy.Ready) })
	case Restart:
		if t.Duration == 0 {
			n.restart(true)
			sim.publishHealth(n, policy.Ready)
			return
		}
		n.restart(false)
		sim.publishHealth(n, policy.Removed)
		later(func() {
			n.restart(true)
			sim.publishHealth(n, policy.Ready)
		})
	}
}

// stateNow is what a right list says of a node.
func (sim *simulation) currentHealth(n *node) policy.Health { return sim.healthAt(n, sim.now) }

// stateAt is what the list said at a time.
func (sim *simulation) healthAt(n *node, at time.Duration) policy.Health {
	state := policy.Ready
	for _, x := range sim.healthChanges {
		if x.node == n && x.at <= at {
			state = x.health
		}
	}
	return state
}

// tell brings news of a node to every sidecar, to each after a delay of its own.
func (sim *simulation) publishHealth(n *node, state policy.Health) {
	sim.healthChanges = append(sim.healthChanges, healthChange{sim.now, n, state})
	for _, c := range sim.sidecars {
		sim.schedule(sim.listDelay(), func() { c.applyHealth(n, state) })
	}
}

// lag draws how long news take, not before the list is heard again.
func (sim *simulation) listDelay() time.Duration {
	return max(0, sim.listOutageUntil-sim.now) + time.Duration(sim.listRandom.Float64()*float64(sim.scenario.List.MaxDelay))
}

// tellAll brings a whole list to every sidecar.
func (sim *simulation) publishList(state func(*node) policy.Health) {
	states := make([]policy.Health, len(sim.nodes))
	for i, n := range sim.nodes {
		states[i] = state(n)
	}
	for _, c := range sim.sidecars {
		sim.schedule(sim.listDelay(), func() { c.applyList(states) })
	}
}

// arrive notes that an attempt reached a node, and lets a cold one fall over
// that is offered too much.
func (sim *simulation) checkWarmUpOverload(n *node, work float64) {
	sim.result.Attempts++
	o := &sim.offeredWork[n.number]
	passed := (sim.now - o.at).Seconds()
	o.work, o.at = o.work*max(0, 1-passed)+work, sim.now
	if c := n.warmUpShare(); !n.down && !n.hanging && c < 1 && n.params.WarmUpOverloadFactor > 0 && sim.now-n.startedAt > time.Second &&
		o.work > n.params.WarmUpOverloadFactor*c*n.params.Speed*float64(n.params.Cores) {
		n.change(func() { n.down = true })
		sim.reportViolation("rule 4: node %d fell over, cold and offered %.2f of %.2f", n.number, o.work, c*n.params.Speed*float64(n.params.Cores))
	}
}
