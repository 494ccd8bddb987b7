// Events in: the Balancer, and the way of each event through the decisions.

package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	busyInterval = 10 * time.Millisecond  // between two checks of the open requests
	idleInterval = 100 * time.Millisecond // between two timers when none is open
)

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg          Config
	host         Host
	random       *rand.Rand
	counters     Counters
	reason       Reason        // of the rejection or failure under way
	timerAt      time.Duration // earliest timer that is set; 0: none
	shuttingDown bool

	classes         []classState
	smoothedLatency time.Duration // of all classes
	meanObjective   float64       // latency objective, in seconds, mean of the classes

	requests         map[RequestID]*requestState
	open             []*requestState // in order of arrival; TimerFired removes the completed ones
	load             recentLoad
	requestsReceived int // without those that are not acceptable

	bulkheads     []bulkhead // by tenant
	firstBulkhead int        // whose queue was dispatched first the last time
	totalSlots    int        // of all bulkheads
	totalShare    float64    // of all tenants
	totalQuota    float64    // of all tenants, in requests a second of the fleet
	fleetInFlight float64    // attempts of the fleet in flight while traffic is at the quotas

	endpoints     []*endpointState // in the order in which the list first named them
	endpointsByID map[EndpointID]*endpointState
	justStarted   []*endpointState // of the update under way
	weights       endpointWeights
	lowTraffic    bool          // too little own traffic to learn the state of endpoints from it
	nextWatchAt   time.Duration // next watch request; 0: none is due
	watchFailures int           // in a row
}

// New makes a Balancer, or an error that names the unusable field. Same seed and events give same actions.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	if len(cfg.Tenants) == 0 {
		cfg.Tenants = []Tenant{{Share: 1}}
	}
	b := &Balancer{cfg: cfg, host: host, random: rand.New(rand.NewPCG(seed, 0))}
	b.requests = make(map[RequestID]*requestState)
	b.endpointsByID = make(map[EndpointID]*endpointState)
	b.bulkheads = make([]bulkhead, len(cfg.Tenants))
	for _, class := range cfg.Classes {
		initialLatency := class.LatencyObjective / initialLatencyDivisor
		b.classes = append(b.classes, classState{Class: class, smoothedLatency: initialLatency})
		b.meanObjective += class.LatencyObjective.Seconds() / float64(len(cfg.Classes))
	}
	b.smoothedLatency = time.Duration(b.meanObjective / initialLatencyDivisor * float64(time.Second))
	for _, tenant := range cfg.Tenants {
		b.totalShare += tenant.Share
		b.totalQuota += tenant.Quota
	}
	b.sizeBulkheads()
	return b, nil
}

// Start must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.WatchOnRequest {
		b.requestWatch(now)
	}
	b.setTimer(now, idleInterval)
}

// RequestReceived takes a request. It is answered exactly once before its timeout is up: by the AttemptEnded
// that completes it, or by Host.Reject or Host.Fail, maybe from within this call. One whose ID is still held
// is ignored; one with an unknown class or tenant, or with no time left, is rejected at once.
func (b *Balancer) RequestReceived(now time.Duration, received Request) {
	if _, held := b.requests[received.ID]; held {
		return
	}
	if !b.acceptable(received) {
		b.rejectUnheld(received.ID)
		return
	}
	request := b.newRequest(now, received)
	b.requests[request.id] = request
	b.open = append(b.open, request)
	b.setTimer(now, busyInterval)
	b.requestsReceived++
	b.probeForLoadReport()
	b.admit(now, request)
}

// AttemptEnded takes the end of an attempt. An unknown attempt, or one that has ended before, is ignored.
func (b *Balancer) AttemptEnded(now time.Duration, outcome AttemptOutcome) {
	request := b.requests[outcome.ID]
	if request == nil || !request.isInFlight(outcome.Attempt) {
		return
	}
	ended := &request.attempts[outcome.Attempt]
	request.releaseAttempt(ended, outcome.Result)
	b.recordOutcome(now, request.class, ended, outcome.Result)
	if outcome.Result == Served && !request.completed && now <= request.objectiveAt {
		b.load.succeeded++
	}
	switch {
	case request.completed:
		b.forgetIfIdle(request)
	case outcome.Completed || outcome.Result == Served || request.streaming:
		b.complete(request)
	case request.inFlight == 0:
		b.retryOrFinish(now, request)
	}
	b.dispatchQueued(now)
}

// ResponseStarted says that the client is getting the response: no retry and no other answer from then on.
func (b *Balancer) ResponseStarted(id RequestID) {
	if request := b.requests[id]; request != nil {
		request.streaming = true
	}
}

// ClientDisconnected says that the client no longer waits: the request gets no answer.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if request := b.requests[id]; request != nil && !request.completed {
		b.complete(request)
		b.dispatchQueued(now)
	}
}

// EndpointsUpdated takes an update of the endpoint list.
func (b *Balancer) EndpointsUpdated(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind == FailedUpdate {
		b.watchFailed(now)
		return
	}
	if kind != CachedUpdate && b.cfg.WatchOnRequest {
		b.watchSucceeded()
	}
	b.applyUpdate(now, kind, entries)
	b.dispatchQueued(now)
}

// ProbeCompleted takes the result of a probe: whether the endpoint is fine, and its load report, if any.
func (b *Balancer) ProbeCompleted(now time.Duration, id EndpointID, ok bool, report LoadReport) {
	endpoint := b.endpointsByID[id]
	if endpoint == nil {
		return
	}
	if ok && report.known() {
		endpoint.recordLoadReport(now, report)
	}
	if len(endpoint.probeWaiters) == 0 {
		return
	}
	if !ok {
		b.recordFailure(now, endpoint) // only a served attempt ends the ejection
	}
	b.onProbeResult(now, endpoint, ok, report)
}

// ProbeNotSent says that a probe failed for a reason of this machine, not of the endpoint.
func (b *Balancer) ProbeNotSent(now time.Duration, id EndpointID) {
	if endpoint := b.endpointsByID[id]; endpoint != nil && len(endpoint.probeWaiters) > 0 {
		b.onProbeResult(now, endpoint, false, unknownLoad)
	}
}

// TimerFired says that a timer of Host.SetTimer is due. A call without a timer is harmless.
func (b *Balancer) TimerFired(now time.Duration) {
	if now < b.timerAt {
		return // superseded: the next timer is still to come
	}
	if b.watchDue(now) {
		b.requestWatch(now)
	}
	b.dispatchQueued(now)
	b.checkOpenRequests(now)
	b.timerAt = 0
	if len(b.open) > 0 {
		b.setTimer(now, busyInterval)
	}
	b.setTimer(now, idleInterval)
}

// Shutdown answers all requests that are held and not streaming, and rejects all later ones.
func (b *Balancer) Shutdown() {
	b.shuttingDown = true
	for _, request := range b.open {
		if !request.answered() {
			b.rejectOrFail(request, ShuttingDown)
		}
	}
}

func (b *Balancer) setTimer(now, d time.Duration) {
	if b.timerAt == 0 || now+d < b.timerAt {
		b.timerAt = now + d
		b.host.SetTimer(d)
	}
}

func (b *Balancer) checkOpenRequests(now time.Duration) {
	for _, request := range b.open {
		if request.awaitingProbes && now >= request.probeDeadline {
			b.dispatchToBest(now, request)
		}
		if !request.answered() && b.waitMustEnd(now, request) {
			b.rejectOrFail(request, QueueTimeout)
		}
	}
	b.open = slices.DeleteFunc(b.open, func(request *requestState) bool { return request.completed })
}

// waitMustEnd says that the deadline has come, or that the request waits and no attempt is of use any more.
func (b *Balancer) waitMustEnd(now time.Duration, request *requestState) bool {
	if now >= request.deadline {
		return true
	}
	if request.inFlight > 0 {
		return false
	}
	nextCheck := now + 2*max(busyInterval, b.cfg.EventResolution) // at the latest
	return nextCheck > request.deadline || now >= request.startDeadline() || !request.mayRunAgain(now)
}
