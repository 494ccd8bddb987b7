package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"mothridge/policy"
)

// epoch is the start of a run on the decision module's clock, on which 0 means long ago.
const epoch = time.Hour

// noEnd is the end time for processing events until no event is left.
const noEnd time.Duration = 1 << 62

// simulation is the state of a run.
type simulation struct {
	eventQueue
	scenario    *Scenario
	arrivalRate float64 // new requests per second, without daily variation and bursts
	nodes       []*node
	sidecars    []*sidecar

	requestRandom *rand.Rand // classes, tenants and work
	networkRandom *rand.Rand
	listRandom    *rand.Rand // delays of the endpoint list
	clientRandom  *rand.Rand

	offeredWork     []workEstimate // by node
	healthChanges   []healthChange // in order of time
	listOutageUntil time.Duration
	rateFactors     []float64 // current factor on each tenant's arrival rate

	lastID       policy.RequestID // ID of the latest submission
	explainedID  policy.RequestID // first submission of the request to explain; 0: none
	openRequests int              // submissions that are not complete, scheduled retries included
	result       Result
	violations   int
	recorder     *recorder
	plan         *[]PlannedArrival // if not nil, arrivals are recorded here and not simulated
}

// Run simulates a scenario. It returns an error if the scenario is invalid; violations of the rules are in the result.
func Run(scenario Scenario) (*Result, error) {
	sim, err := simulate(scenario)
	if err != nil || scenario.ExplainRequest == 0 || sim.explainedID == scenario.ExplainRequest {
		return &sim.result, err
	}
	scenario.ExplainRequest = sim.explainedID // it is a client retry: explain the request from its first submission on
	sim, err = simulate(scenario)
	return &sim.result, err
}

func simulate(scenario Scenario) (*simulation, error) {
	sim, err := newSimulation(&scenario)
	if err != nil {
		return new(simulation), err
	}
	for _, fault := range scenario.Faults {
		sim.schedule(fault.Start, func() { sim.injectFault(fault) })
	}
	sim.startArrivals()
	sim.processEvents()
	sim.finishResult()
	return sim, nil
}

// newSimulation checks a scenario and starts its nodes and sidecars.
func newSimulation(scenario *Scenario) (*simulation, error) {
	if err := scenario.Check(); err != nil {
		return nil, err
	}
	if scenario.MaxEvents == 0 {
		scenario.MaxEvents = defaultMaxEvents
	}
	sim := &simulation{
		scenario:      scenario,
		arrivalRate:   scenario.meanArrivalRate(),
		explainedID:   scenario.ExplainRequest,
		offeredWork:   make([]workEstimate, scenario.Nodes),
		requestRandom: randomStream(scenario.Seed, "requests", 0),
		networkRandom: randomStream(scenario.Seed, "network", 0),
		listRandom:    randomStream(scenario.Seed, "lists", 0),
		clientRandom:  randomStream(scenario.Seed, "clients", 0),
	}
	for range scenario.tenantCount() {
		sim.rateFactors = append(sim.rateFactors, 1)
	}
	sim.recorder = newRecorder(sim)
	for i := range scenario.Nodes {
		sim.nodes = append(sim.nodes, &node{events: &sim.eventQueue, params: scenario.NodeParamsAt(i), number: i})
	}
	return sim, sim.startSidecars()
}

func (sim *simulation) startSidecars() error {
	for i := range sim.scenario.Sidecars {
		started := &sidecar{simulation: sim, number: i, arrivalRandom: randomStream(sim.scenario.Seed, "arrivals", i)}
		sim.sidecars = append(sim.sidecars, started)
		if err := started.start(); err != nil {
			return err
		}
	}
	return nil
}

// processEvents runs the simulation until the last request is complete. It truncates the run after MaxEvents.
func (sim *simulation) processEvents() {
	for {
		switch {
		case sim.now > sim.scenario.Duration && sim.openRequests == 0:
			return
		case sim.processed >= sim.scenario.MaxEvents:
			sim.result.Truncated = fmt.Sprintf("after %d events, at %v of %v, with %d requests open",
				sim.processed, sim.now, sim.scenario.Duration, sim.openRequests)
			return
		case !sim.processNext(noEnd):
			return
		}
	}
}

// networkDelay draws a one-way delay.
func (sim *simulation) networkDelay() time.Duration {
	return time.Duration(sim.networkRandom.ExpFloat64() * float64(sim.scenario.Network.Delay))
}

// finishResult computes the totals of the result after the last event.
func (sim *simulation) finishResult() {
	result := &sim.result
	for _, node := range sim.nodes {
		node.advance()
		utilisation := node.busyCoreSeconds / max(sim.now.Seconds(), 1e-9) / float64(node.params.Cores)
		result.NodeServed = append(result.NodeServed, node.served)
		result.NodeUtilisation = append(result.NodeUtilisation, utilisation)
		result.OverloadCollapses += node.collapses
	}
	sim.checkConservation()
	result.Events = sim.processed
	sim.recorder.sortSamples()
}

// isExplained reports whether a submission's events are explained. Callers check it before they call explain, since
// formatting the arguments costs more than the event itself.
func (sim *simulation) isExplained(submission *submission) bool {
	if sim.explainedID == 0 || submission == nil {
		return false
	}
	return submission.firstID == sim.explainedID || submission.id == sim.explainedID
}

// explain adds a line to the explanation. Recorded digests include the texts of the lines.
func (sim *simulation) explain(submission *submission, format string, args ...any) {
	sim.explainedID = submission.firstID
	if len(sim.result.Explanation) >= maxExplanationLines {
		return
	}
	text := fmt.Sprintf("try %d (request %d): ", submission.number, submission.id) + fmt.Sprintf(format, args...)
	sim.result.Explanation = append(sim.result.Explanation, ExplanationLine{sim.now, text})
}
