package policy_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mothridge/internal/golden"
	"mothridge/policy"
)

const (
	goldenEvents    = 55_000 // events per scenario: more than a million in total
	goldenEndpoints = 12
	goldenRequestMS = 8.0 // mean time between two requests if goldenScenario.gapFactor is 1, in ms
)

// goldenScenario is a configuration together with the behaviour of clients, endpoints and discovery. The name
// of a scenario identifies its result in testdata/decisions.golden.
type goldenScenario struct {
	name   string
	adjust func(*policy.Config) // changes goldenConfig for this scenario; may be nil

	gapFactor      float64 // mean time between requests, as a multiple of goldenRequestMS
	serviceFactor  float64 // mean service time before the effect of load, as a fraction of 400 ms
	faultShare     float64 // share of attempts that fail without a timeout
	restartShare   float64 // share of list updates that restart an endpoint
	listIntervalMS float64 // mean time between list updates, in ms
}

var goldenScenarios = []goldenScenario{
	{name: "plain", gapFactor: 1, serviceFactor: 0.1, faultShare: 0.02, restartShare: 0.1, listIntervalMS: 700},
	{name: "busy", gapFactor: 0.15, serviceFactor: 0.3, faultShare: 0.05, restartShare: 0.1, listIntervalMS: 700},
	{name: "faulty", gapFactor: 0.6, serviceFactor: 0.15, faultShare: 0.4, restartShare: 0.1, listIntervalMS: 2000},
	{name: "slots set", gapFactor: 0.3, serviceFactor: 0.2, faultShare: 0.05, restartShare: 0.1, listIntervalMS: 700, adjust: func(c *policy.Config) {
		c.Slots, c.ClientsMarkRetries, c.CancelAllowed = 9, true, false
	}},
	{name: "no quotas", gapFactor: 0.3, serviceFactor: 0.2, faultShare: 0.05, restartShare: 0.5, listIntervalMS: 500, adjust: func(c *policy.Config) {
		c.Tenants = nil
	}},
	{name: "zones", gapFactor: 0.4, serviceFactor: 0.2, faultShare: 0.1, restartShare: 0.1, listIntervalMS: 700, adjust: func(c *policy.Config) {
		c.CrossZoneCost = 0.02
	}},
	{name: "asked list", gapFactor: 3, serviceFactor: 0.1, faultShare: 0.05, restartShare: 0.2, listIntervalMS: 4000, adjust: func(c *policy.Config) {
		c.WatchOnRequest = true
	}},
	{name: "asked list without a bound", gapFactor: 2, serviceFactor: 0.1, faultShare: 0.05, restartShare: 0.2, listIntervalMS: 6000, adjust: func(c *policy.Config) {
		c.WatchOnRequest, c.WatchRequestWithin = true, 0
	}},
	{name: "restarts", gapFactor: 0.2, serviceFactor: 0.1, faultShare: 0.02, restartShare: 0.9, listIntervalMS: 400, adjust: func(c *policy.Config) {
		c.SlowStartInitialShare = 0
	}},
	{name: "restarts, fleet", gapFactor: 0.5, serviceFactor: 0.1, faultShare: 0.02, restartShare: 0.9, listIntervalMS: 1500, adjust: func(c *policy.Config) {
		c.FleetSize, c.ProbesAllowed = 60, true
	}},
	{name: "reports", gapFactor: 0.3, serviceFactor: 0.2, faultShare: 0.05, restartShare: 0.1, listIntervalMS: 700, adjust: func(c *policy.Config) {
		c.ProbesAllowed, c.ProbeLoadReports = true, true
	}},
	{name: "low traffic", gapFactor: 4, serviceFactor: 0.2, faultShare: 0.15, restartShare: 0.1, listIntervalMS: 1500, adjust: func(c *policy.Config) {
		c.FleetSize, c.ProbesAllowed = 60, true
	}},
	{name: "low traffic, reports", gapFactor: 4, serviceFactor: 0.25, faultShare: 0.1, restartShare: 0.1, listIntervalMS: 1500, adjust: func(c *policy.Config) {
		c.FleetSize, c.ProbesAllowed, c.ProbeLoadReports, c.CrossZoneCost, c.EventResolution = 60, true, true, 0.02, 2*time.Millisecond
	}},
	{name: "low traffic, costly probes", gapFactor: 2, serviceFactor: 0.12, faultShare: 0.02, restartShare: 0.05, listIntervalMS: 3000, adjust: func(c *policy.Config) {
		c.FleetSize, c.ProbesAllowed, c.ProbeCost, c.Slots = 60, true, 0.06, 40
	}},
	{name: "hardly any traffic", gapFactor: 60, serviceFactor: 0.3, faultShare: 0.3, restartShare: 0.05, listIntervalMS: 3000, adjust: func(c *policy.Config) {
		c.FleetSize, c.ProbesAllowed, c.ProbeLoadReports = 60, true, true
		c.Classes[0].PriorityWeight = 0
	}},
	{name: "fast servers", gapFactor: 0.1, serviceFactor: 0.004, faultShare: 0.05, restartShare: 0.2, listIntervalMS: 400, adjust: func(c *policy.Config) {
		c.Slots, c.SlowStartInitialShare = 100, 0
	}},
	{name: "low traffic, overload", gapFactor: 1, serviceFactor: 0.7, faultShare: 0.15, restartShare: 0.05, listIntervalMS: 1500, adjust: func(c *policy.Config) {
		c.FleetSize, c.ProbesAllowed, c.ProbeLoadReports, c.Slots = 60, true, true, 24
	}},
	{name: "at the bound of low traffic", gapFactor: 1, serviceFactor: 0.2, faultShare: 0.1, restartShare: 0.1, listIntervalMS: 300, adjust: func(c *policy.Config) {
		c.FleetSize, c.ProbesAllowed, c.ProbeLoadReports = 10, true, true
	}},
	{name: "stretched objectives", gapFactor: 0.5, serviceFactor: 0.4, faultShare: 0.1, restartShare: 0.1, listIntervalMS: 700, adjust: func(c *policy.Config) {
		for i := range c.Classes {
			c.Classes[i].ObjectiveWorkFactor, c.Classes[i].LateValueShare = 1.5, 0.3*float64(i%2)
		}
	}},
}

// goldenConfig returns the configuration that the scenarios adjust.
func goldenConfig() policy.Config {
	class := func(
		idempotency policy.Idempotency, scope policy.DedupScope, objective time.Duration, priority float64,
	) policy.Class {
		return policy.Class{
			LatencyObjective: objective, Deadline: 3 * objective, PriorityWeight: priority,
			Idempotency: idempotency, DedupScope: scope, DedupWindow: objective * 7 / 10,
		}
	}
	return policy.Config{
		FleetSize: 3,
		Classes: []policy.Class{
			class(policy.Idempotent, policy.ScopeAll, 300*time.Millisecond, 1), class(policy.IdempotentByKey, policy.ScopeAll, 400*time.Millisecond, 2),
			class(policy.IdempotentByKey, policy.ScopeZone, 500*time.Millisecond, 0.5), class(policy.IdempotentByKey, policy.ScopeCell, 300*time.Millisecond, 3),
			class(policy.NotIdempotent, policy.ScopeAll, 600*time.Millisecond, 4),
		},
		Tenants:                 []policy.Tenant{{Share: 0.6, Quota: 60}, {Share: 0.25, Quota: 25}, {Share: 0.15, Quota: 15}},
		MaxAttempts:             3,
		CancelAllowed:           true,
		MaxRetryAfter:           time.Second,
		EventResolution:         5 * time.Millisecond,
		WatchRequestWithin:      4 * time.Second,
		SlowStartInitialShare:   0.2,
		SlowStartDuration:       4 * time.Second,
		SlowStartOverloadFactor: 2,
		ProbeCost:               0.004,
	}
}

// goldenHost simulates endpoints, clients and discovery in simulated time, and computes a digest of
// all actions of the Balancer.
type goldenHost struct {
	scenario        goldenScenario
	config          policy.Config
	b               *policy.Balancer
	rng             *rand.Rand
	digest          golden.Digest
	now             time.Duration
	events          goldenQueue
	scheduledEvents int
	handledEvents   int
	nextID          policy.RequestID
	requests        map[policy.RequestID]*goldenRequest
	endpoints       [goldenEndpoints]goldenEndpoint
}

// goldenRequest is the state of a request in the simulation.
type goldenRequest struct {
	attempts int
	inFlight map[int]bool
	deadline time.Duration
	ended    bool
}

// goldenEndpoint is the state of an endpoint in the simulation.
type goldenEndpoint struct {
	entry    policy.Endpoint
	inFlight int
	slowdown float64 // factor by which responses are slower
	hangs    bool    // attempts get no response
}

// goldenEvent is a function to call at a simulated time. Events at the same time run in the order in
// which they were scheduled.
type goldenEvent struct {
	at    time.Duration
	order int
	run   func()
}

// goldenQueue is a heap of events, ordered by time.
type goldenQueue []goldenEvent

func (q goldenQueue) Len() int { return len(q) }
func (q goldenQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q goldenQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *goldenQueue) Push(e any)   { *q = append(*q, e.(goldenEvent)) }
func (q *goldenQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// after schedules a function to be called after a simulated time.
func (h *goldenHost) after(delay time.Duration, run func()) {
	h.scheduledEvents++
	heap.Push(&h.events, goldenEvent{h.now + delay, h.scheduledEvents, run})
}

// exponential returns an exponentially distributed random time; its mean is in ms.
func (h *goldenHost) exponential(mean float64) time.Duration {
	return time.Duration(h.rng.ExpFloat64() * mean * float64(time.Millisecond))
}

func (h *goldenHost) Send(id policy.RequestID, to policy.EndpointID, timeout, writeWithin time.Duration) {
	h.digest.AddNumbers('s', int64(id), int64(to), int64(timeout), int64(writeWithin))
	request := h.requests[id]
	number := request.attempts
	request.attempts++
	request.inFlight[number] = true
	endpoint := &h.endpoints[to]
	endpoint.inFlight++
	latency := h.exponential(h.scenario.serviceFactor * 400 * endpoint.slowdown * (1 + float64(endpoint.inFlight)/4))
	result := policy.Served
	switch draw := h.rng.Float64(); {
	case endpoint.hangs || latency > timeout:
		latency, result = timeout, policy.TimedOut
	case draw < h.scenario.faultShare:
		result = []policy.AttemptResult{policy.ServerError, policy.Rejected, policy.ConnectionFailed, policy.ConnectionReset, policy.NotSent}[h.rng.IntN(5)]
		latency /= 4
	case draw > 0.995:
		h.after(latency/2, func() { h.b.ResponseStarted(id) })
	}
	h.after(latency, func() { h.endAttempt(id, number, to, result) })
}

// endAttempt reports the end of an attempt to the Balancer, unless the attempt has already ended.
func (h *goldenHost) endAttempt(id policy.RequestID, number int, endpoint policy.EndpointID, result policy.AttemptResult) {
	request := h.requests[id]
	if !request.inFlight[number] {
		return
	}
	delete(request.inFlight, number)
	h.endpoints[endpoint].inFlight--
	if result == policy.Served {
		request.ended = true
	}
	h.b.AttemptEnded(h.now, policy.AttemptOutcome{ID: id, Attempt: number, Result: result, Completed: request.ended})
	h.deleteIfEnded(id)
}

// deleteIfEnded removes a request that has ended and has no attempt in flight.
func (h *goldenHost) deleteIfEnded(id policy.RequestID) {
	if request := h.requests[id]; request != nil && request.ended && len(request.inFlight) == 0 {
		delete(h.requests, id)
	}
}

func (h *goldenHost) Reject(id policy.RequestID, pause time.Duration) {
	h.digest.AddNumbers('r', int64(id), int64(pause), int64(h.b.Reason()))
	h.requests[id].ended = true
	h.after(0, func() { h.deleteIfEnded(id) })
}

func (h *goldenHost) Fail(id policy.RequestID) {
	h.digest.AddNumbers('f', int64(id), int64(h.b.Reason()))
	h.requests[id].ended = true
	h.after(0, func() { h.deleteIfEnded(id) })
}

func (h *goldenHost) Cancel(id policy.RequestID, attempt int) {
	h.digest.AddNumbers('c', int64(id), int64(attempt))
}

func (h *goldenHost) SetTimer(delay time.Duration) {
	h.digest.AddNumbers('w', int64(delay))
	h.after(delay, func() { h.b.TimerFired(h.now) })
}

func (h *goldenHost) Probe(to policy.EndpointID) {
	h.digest.AddNumbers('p', int64(to))
	endpoint := &h.endpoints[to]
	latency := h.exponential(2 + 30*h.scenario.serviceFactor*endpoint.slowdown)
	load := policy.LoadReport{InFlight: -1}
	if h.config.ProbeLoadReports {
		load.InFlight = float64(endpoint.inFlight + h.rng.IntN(12))
	}
	ok := h.rng.Float64() > h.scenario.faultShare/2
	h.after(latency, func() {
		if h.rng.IntN(40) == 0 {
			h.b.ProbeNotSent(h.now, to)
			return
		}
		h.b.ProbeCompleted(h.now, to, ok, load)
	})
}

func (h *goldenHost) RequestWatch() {
	h.digest.AddNumbers('l')
	outcome := h.rng.IntN(8)
	h.after(h.exponential(20), func() {
		switch outcome {
		case 0, 1, 2: // no response
		case 3:
			h.updateEndpoints(policy.FullUpdate)
		default:
			h.updateEndpoints(policy.FailedUpdate)
		}
	})
}

// receiveRequest delivers a random request and schedules the next request.
func (h *goldenHost) receiveRequest() {
	h.nextID++
	id := h.nextID
	class := h.rng.IntN(len(h.config.Classes))
	timeout := time.Duration(float64(h.config.Classes[class].Deadline) * (0.3 + 0.7*h.rng.Float64()))
	if h.rng.IntN(50) == 0 {
		timeout /= 20
	}
	if h.rng.IntN(1000) == 0 {
		timeout = 2 * time.Hour
	}
	received := policy.Request{ID: id, Class: class, Timeout: timeout, ClientRetry: h.rng.IntN(10) == 0}
	if len(h.config.Tenants) > 0 {
		received.Tenant = h.rng.IntN(len(h.config.Tenants))
	}
	if h.rng.IntN(3) == 0 {
		received.ExpectedWork = h.exponential(50)
	}
	if h.rng.IntN(500) == 0 {
		received.Class = -1
	}
	h.requests[id] = &goldenRequest{inFlight: make(map[int]bool), deadline: h.now + timeout}
	h.b.RequestReceived(h.now, received)
	if h.rng.IntN(30) == 0 {
		h.after(h.exponential(100), func() { h.disconnectClient(id) })
	}
	h.after(h.exponential(h.scenario.gapFactor*goldenRequestMS), h.receiveRequest)
}

// disconnectClient reports the disconnect of a client whose request has not ended.
func (h *goldenHost) disconnectClient(id policy.RequestID) {
	if request := h.requests[id]; request != nil && !request.ended {
		request.ended = true
		h.b.ClientDisconnected(h.now, id)
		h.deleteIfEnded(id)
	}
}

// changeEndpoints changes one or two random endpoints, delivers an update, and schedules the next change.
func (h *goldenHost) changeEndpoints() {
	var changed []policy.Endpoint
	for range 1 + h.rng.IntN(2) {
		endpoint := &h.endpoints[h.rng.IntN(goldenEndpoints)]
		endpoint.slowdown = []float64{0.7, 1, 1, 1.3, 6}[h.rng.IntN(5)]
		endpoint.hangs = h.rng.IntN(12) == 0
		endpoint.entry.Health = []policy.Health{policy.Ready, policy.Ready, policy.Ready, policy.Ready, policy.Draining, policy.Removed}[h.rng.IntN(6)]
		if h.rng.Float64() < h.scenario.restartShare {
			endpoint.entry.StartedAt = policy.StartedAt(policy.StartEvidence{
				ReportedStart: h.now - h.exponential(2500), Now: h.now, WallClock: h.now + time.Duration(h.rng.IntN(3)-1)*h.exponential(2000),
				Changed: h.rng.IntN(2) == 0, ConfirmedAt: h.now - h.exponential(1500),
			})
		}
		changed = append(changed, endpoint.entry)
	}
	switch h.rng.IntN(6) {
	case 0:
		h.updateEndpoints(policy.FullUpdate)
	case 1:
		h.updateEndpoints(policy.FailedUpdate)
	default:
		h.b.EndpointsUpdated(h.now, policy.DeltaUpdate, changed)
	}
	h.after(h.exponential(h.scenario.listIntervalMS), h.changeEndpoints)
}

// updateEndpoints delivers an update with all endpoints that are not removed, or a failed update.
func (h *goldenHost) updateEndpoints(kind policy.UpdateKind) {
	var entries []policy.Endpoint
	for i := range h.endpoints {
		if h.endpoints[i].entry.Health != policy.Removed {
			entries = append(entries, h.endpoints[i].entry)
		}
	}
	if kind == policy.FailedUpdate {
		entries = nil
	}
	h.b.EndpointsUpdated(h.now, kind, entries)
}

// run simulates a scenario and returns the digest of all actions and the counters of the Balancer.
func (s goldenScenario) run(t *testing.T, seed uint64) string {
	t.Helper()
	h := &goldenHost{
		scenario: s, config: goldenConfig(), rng: rand.New(rand.NewPCG(seed, 1)), digest: golden.NewDigest(),
		now: time.Hour, requests: make(map[policy.RequestID]*goldenRequest),
	}
	if s.adjust != nil {
		s.adjust(&h.config)
	}
	for i := range h.endpoints {
		h.endpoints[i].slowdown = 1
		h.endpoints[i].entry = policy.Endpoint{
			ID: policy.EndpointID(i), Zone: i % 2, Cell: i % 4, Health: policy.Ready, Weight: float64(i % 4),
		}
	}
	b, err := policy.New(h.config, seed, h)
	if err != nil {
		t.Fatal(err)
	}
	h.b = b
	b.Start(h.now)
	h.updateEndpoints(policy.CachedUpdate)
	h.after(0, h.receiveRequest)
	h.after(0, h.changeEndpoints)
	for h.handledEvents = 0; h.handledEvents < goldenEvents; h.handledEvents++ {
		event := heap.Pop(&h.events).(goldenEvent)
		h.now = event.at
		event.run()
		if h.handledEvents%100 == 0 {
			h.digest.AddNumbers('n', int64(b.SlotsFree(0)), int64(b.QueueFree(0)))
		}
	}
	b.Shutdown()
	counters := b.Counters()
	return fmt.Sprintf("%s %d", h.digest, []uint64{
		counters.RoundRobinPicks, counters.ProbedSends, counters.SkippedPicks, counters.TrialRequests,
		counters.LoadShed, counters.Retries, counters.Rejected, counters.Failed,
	})
}

// The decisions must be identical to the recorded decisions, which guards against unintended changes.
// If a change of the decisions is intended, record them again with
//
//	go test ./policy -run Golden -update
func TestGoldenDecisions(t *testing.T) {
	var got strings.Builder
	for i, s := range goldenScenarios {
		fmt.Fprintf(&got, "%s: %s\n", s.name, s.run(t, uint64(i+1)))
	}
	golden.Check(t, "decisions", got.String())
}
