// The Balancer and its event methods. Each method updates the state and then calls the decisions
// that the event can change.

package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	busyInterval = 10 * time.Millisecond  // time between two checks of the open requests
	idleInterval = 100 * time.Millisecond // time between two timers while no request is open
)

// Balancer makes the decisions of one sidecar. Its methods must not be called concurrently.
type Balancer struct {
	cfg          Config
	host         Host
	random       *rand.Rand
	counters     Counters
	reason       Reason        // reason for the latest call of Host.Reject or Host.Fail
	timerAt      time.Duration // time of the earliest timer that is set; 0 if none is set
	shuttingDown bool

	classes         []classState
	smoothedLatency time.Duration // smoothed latency of served attempts of all classes
	meanObjective   float64       // mean latency objective of the classes, in seconds

	requests         map[RequestID]*requestState
	openRequests     []*requestState // in order of arrival; TimerFired removes completed requests
	load             recentLoad
	requestsReceived int // number of requests received, except invalid requests

	bulkheads     []bulkhead // indexed by tenant
	firstBulkhead int        // index of the bulkhead with which the last call of dispatchQueued started
	totalSlots    int        // slots of all bulkheads
	totalShare    float64    // sum of Tenant.Share of all tenants
	totalQuota    float64    // sum of Tenant.Quota of all tenants, in requests per second of the fleet
	fleetInFlight float64    // expected attempts in flight of the fleet while all tenants use their full quotas

	endpoints     []*endpointState // in the order in which they first appeared in the list
	endpointsByID map[EndpointID]*endpointState
	justAdded     []*endpointState // endpoints that the update in progress adds
	justStarted   []*endpointState // endpoints that the update in progress reports as just started
	weights       endpointWeights
	lowTraffic    bool          // the balancer's own traffic is too low to show the state of the endpoints
	nextWatchAt   time.Duration // time of the next watch request; 0 if none is scheduled
	watchFailures int           // consecutive failed watch requests
}

// New returns a Balancer, or an error that names the invalid field of the configuration. A Balancer with the
// same configuration and seed that receives the same events takes the same actions.
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

// Start begins the operation of the Balancer. The program must call it before any other event method.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.WatchOnRequest {
		b.requestWatch(now)
	}
	b.setTimer(now, idleInterval)
}

// RequestReceived handles a request from a client. The request gets exactly one response, before its timeout
// expires: by the AttemptEnded event that completes it, or by Host.Reject or Host.Fail, possibly from within
// this call. A request with the ID of another request that is not finished is ignored. A request with an
// unknown class or tenant, or without time left, is rejected at once, as is any request after Shutdown.
func (b *Balancer) RequestReceived(now time.Duration, received Request) {
	if _, exists := b.requests[received.ID]; exists {
		return
	}
	if !b.acceptable(received) {
		b.rejectUnacceptable(received.ID)
		return
	}
	request := b.newRequest(now, received)
	b.requests[request.id] = request
	b.openRequests = append(b.openRequests, request)
	b.setTimer(now, busyInterval)
	b.requestsReceived++
	b.probeForLoadReport()
	b.admit(now, request)
}

// AttemptEnded handles the end of an attempt. The outcome of an unknown attempt, or of an attempt that has
// already ended, is ignored.
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
		b.deleteIfIdle(request)
	case outcome.Completed || outcome.Result == Served || request.streaming:
		b.complete(request)
	case request.inFlight == 0:
		b.retryOrFinish(now, request)
	}
	b.dispatchQueued(now)
}

// ResponseStarted handles the start of the response to the client. From then on the request is neither
// retried nor rejected or failed.
func (b *Balancer) ResponseStarted(id RequestID) {
	if request := b.requests[id]; request != nil {
		request.streaming = true
	}
}

// ClientDisconnected handles a request whose client has disconnected or has cancelled the request. The
// Balancer then neither rejects nor fails the request.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if request := b.requests[id]; request != nil && !request.completed {
		b.complete(request)
		b.dispatchQueued(now)
	}
}

// EndpointsUpdated handles an update of the endpoint list, or a failed watch.
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

// ProbeCompleted handles the result of a probe: ok says whether the endpoint is healthy, and report is its
// load report, with a negative number if the probe returned no load report.
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
		b.recordFailure(now, endpoint) // a successful probe does not end an ejection; only a served attempt does
	}
	b.onProbeResult(now, endpoint, ok, report)
}

// ProbeNotSent handles a probe that failed for a reason on this machine, which says nothing about the
// endpoint.
func (b *Balancer) ProbeNotSent(now time.Duration, id EndpointID) {
	if endpoint := b.endpointsByID[id]; endpoint != nil && len(endpoint.probeWaiters) > 0 {
		b.onProbeResult(now, endpoint, false, unknownLoad)
	}
}

// TimerFired handles a timer set by Host.SetTimer that is due. A call before the earliest timer is due has
// no effect.
func (b *Balancer) TimerFired(now time.Duration) {
	if now < b.timerAt {
		return // a superseded timer: the timer that is set is due later
	}
	if b.watchDue(now) {
		b.requestWatch(now)
	}
	b.dispatchQueued(now)
	b.checkOpenRequests(now)
	b.timerAt = 0
	if len(b.openRequests) > 0 {
		b.setTimer(now, busyInterval)
	}
	b.setTimer(now, idleInterval)
}

// Shutdown rejects or fails all open requests whose responses have not started, and rejects all requests
// that arrive later.
func (b *Balancer) Shutdown() {
	b.shuttingDown = true
	for _, request := range b.openRequests {
		if !request.needsNoResponse() {
			b.rejectOrFail(request, ShuttingDown)
		}
	}
}

func (b *Balancer) setTimer(now, delay time.Duration) {
	if b.timerAt == 0 || now+delay < b.timerAt {
		b.timerAt = now + delay
		b.host.SetTimer(delay)
	}
}

func (b *Balancer) checkOpenRequests(now time.Duration) {
	for _, request := range b.openRequests {
		if request.awaitingProbes && now >= request.probeDeadline {
			b.dispatchToBest(now, request)
		}
		if !request.needsNoResponse() && b.shouldStopWaiting(now, request) {
			b.rejectOrFail(request, QueueTimeout)
		}
	}
	b.openRequests = slices.DeleteFunc(b.openRequests, func(request *requestState) bool {
		return request.completed
	})
}

// shouldStopWaiting reports whether a request must be rejected or failed now: its deadline has passed,
// or it waits without an attempt in flight and a further attempt could not start in time or is not
// allowed.
func (b *Balancer) shouldStopWaiting(now time.Duration, request *requestState) bool {
	if now >= request.deadline {
		return true
	}
	if request.inFlight > 0 {
		return false
	}
	nextCheck := now + 2*max(busyInterval, b.cfg.EventResolution) // latest time of the next check
	return nextCheck > request.deadline || now >= request.startDeadline() || !request.mayRunAgain(now)
}
