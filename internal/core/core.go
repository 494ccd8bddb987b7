// Package core runs the event loop that owns the decision module, policy.Balancer.
//
// Listeners convert the data that they read to a Request and submit it. An Upstream performs the attempts
// at an endpoint with its transport's protocol. Discovery sources pass an EndpointUpdate. The package
// itself does not depend on any protocol.
//
// # Event loop
//
// The loop processes events (events.go): a request was received, a client disconnected, an attempt ended,
// a probe was completed, the endpoint list changed, the timer fired. Any goroutine may post events.
// Core.Run handles the events one by one, passes them to the Balancer and performs the actions that the
// Balancer decides on (host.go). The loop never waits for I/O: each attempt and each probe runs in its
// own goroutine, which posts an event when the attempt or probe has ended.
//
// # State
//
// The event loop owns the Balancer, its timer (event_loop.go), the requests (request_registry.go) and
// the endpoint list (endpoint_table.go); no lock guards them. State that other goroutines read is atomic
// or has its own lock: the Request-Ids in use, the counts (state.go, invariants.go), the history of a
// request (request_history.go) and the pauses of the process (pause_detection.go).
//
// # Request lifecycle
//
// Core.Submit posts requestReceived. Its handler registers the request and passes it to the Balancer. The
// Balancer queues the request or starts an attempt (attempts.go). The attempt's transport calls the guard
// right before it writes (guard.go), and the attempt ends with the event attemptEnded. If the attempt
// did not serve the request, the Balancer retries, rejects or fails the request. The Core calls
// Request.Respond once, unless the client disconnected first.
package core

import (
	"cmp"
	"sync/atomic"
	"time"

	"mothridge/policy"
)

// eventBacklog is how many events may wait for the event loop before Core.Submit and the other methods
// that post events block.
const eventBacklog = 1024

// Config configures a Core.
type Config struct {
	Policy      policy.Config
	Seed        uint64                  // seed of the Balancer's random decisions
	Zones       []string                // zones that Policy refers to by their index in this list
	Cached      *EndpointUpdate         // the last known endpoint list; nil if there is none
	NewUpstream func(Endpoint) Upstream // called on the event loop, so it must not do I/O

	// DrainGrace is how long an attempt may still be written after an update has marked its endpoint
	// as draining. The invariant checks report an attempt whose last byte is written later. The guard
	// allows no grace: it prevents each attempt whose first byte is not written yet. 0 means DefaultDrainGrace.
	DrainGrace time.Duration

	// OnResponse, if set, is called with each response on the event loop, so it must not block.
	// latency is the time since the Core received the request.
	OnResponse func(class int, result Result, latency time.Duration)

	// OnTimer, if set, is called on the event loop each time the Balancer's timer fires, which is every 100 ms at least. late is
	// how late it was. It must not block.
	OnTimer func(late time.Duration)
}

// Core is the event loop and the state that the loop owns. Its methods may be called from any goroutine;
// Run must be called once.
type Core struct {
	// Fields that do not change after New.
	config        Config
	clock         clock
	events        chan event    // events posted to the event loop
	done          chan struct{} // closed once Run has returned, so that no goroutine waits for the event loop
	watchRequests chan struct{} // see WatchRequests

	// Fields used only by the event loop, and by New before Run.
	balancer    *policy.Balancer
	now         time.Duration // when the current event began, on the Balancer's clock
	timer       balancerTimer
	localEvents []event         // posted by the event loop itself, which must not block on its own channel
	requests    requestRegistry // any goroutine may use requests.ids
	endpoints   endpointTable
	usage       usageHistory

	// Fields that any goroutine may use.
	ready      atomic.Bool
	pauses     pauseDetector
	activity   loopActivity
	outcomes   outcomeCounters
	invariants invariantCounters
	prevented  preventedCounters
}

var _ Handler = (*Core)(nil)

// New returns a Core, which handles no event before Run is called. An error names the invalid field of
// Config.Policy.
func New(config Config) (*Core, error) {
	config.DrainGrace = cmp.Or(config.DrainGrace, DefaultDrainGrace)
	startedAt := time.Now()
	c := &Core{
		config:        config,
		clock:         clock{startedAt: startedAt},
		events:        make(chan event, eventBacklog),
		done:          make(chan struct{}),
		watchRequests: make(chan struct{}, 1),
		requests:      newRequestRegistry(),
		timer:         newBalancerTimer(),
		pauses:        pauseDetector{startedAt: startedAt},
	}
	c.endpoints = newEndpointTable(config.Zones, config.NewUpstream, c.processEnded)
	balancer, err := policy.New(config.Policy, config.Seed, balancerHost{core: c})
	if err != nil {
		return nil, err
	}
	c.balancer = balancer
	c.now = c.clock.now()
	balancer.Start(c.now)
	if config.Cached != nil {
		c.updateEndpoints(policy.CachedUpdate, *config.Cached)
	}
	return c, nil
}

// Submit starts the handling of a request: see Handler.
func (c *Core) Submit(request *Request) { c.post(requestReceived{request}) }

// Abandon reports that the client of a request has disconnected or has cancelled the request: see Handler.
func (c *Core) Abandon(request *Request) { c.post(clientDisconnected{request}) }

// HasRequest reports whether a request with the given Request-Id is being handled, or was abandoned by its client
// and may have run.
func (c *Core) HasRequest(id string) bool { return c.requests.ids.contains(id, time.Now()) }

// Ready reports whether an endpoint list is known.
func (c *Core) Ready() bool { return c.ready.Load() }

// Update passes a change of the endpoint list to the event loop. Update may block while the loop is busy.
func (c *Core) Update(update EndpointUpdate) { c.post(endpointsUpdated{update}) }

// UpdateFailed reports that a call for the endpoint list failed or that its watch ended. UpdateFailed
// may block while the event loop is busy.
func (c *Core) UpdateFailed() { c.post(endpointUpdateFailed{}) }

// WatchRequests returns the channel on which the Core forwards the Balancer's requests to watch the
// endpoint list. The Balancer sends them only if policy.Config.WatchOnRequest is set. At most one request
// is pending.
func (c *Core) WatchRequests() <-chan struct{} { return c.watchRequests }

// processEnded records a sign that the process of an endpoint's upstream has ended. It is called from the
// goroutines of transports.
func (c *Core) processEnded(endpoint *endpointState, upstream Upstream) {
	endpoint.processEndedAt.Store(int64(c.clock.now()))
	c.post(upstreamProcessEnded{endpoint: endpoint, upstream: upstream})
}

// Shutdown completes all requests immediately and rejects later ones. Shutdown may block while the event
// loop is busy, and does not wait for the responses.
func (c *Core) Shutdown() { c.post(shutdownRequested{}) }
