// Package core runs the event loop that owns the decision module, policy.Balancer.
//
// Listeners convert what they read to a Request and submit it; an Upstream performs the attempts at an
// endpoint by its transport's protocol; discovery sources pass an EndpointUpdate. The package itself
// knows no protocol.
//
// # Event loop
//
// Everything that happens is an event (events.go): a request was received, a client disconnected, an
// attempt ended, a probe was completed, the endpoint list changed, the timer fired. Any goroutine posts
// events; Core.Run handles them one by one, passes them to the Balancer and performs the actions
// that it decides on (host.go). The loop never waits for I/O: attempts and probes run in goroutines of
// their own, whose ends are events again.
//
// # State
//
// The event loop owns the Balancer, its timer (event_loop.go), the requests (request_registry.go) and
// the endpoint list (endpoint_table.go); no lock guards them. What other goroutines read is atomic or has a
// lock of its own: the Request-Ids in use, the counts (state.go, invariants.go), the history of a request
// (request_history.go) and the pauses of the process (pause_detection.go).
//
// # Way of a request
//
// Core.Submit posts requestReceived, which registers the request and passes it to the Balancer. That
// queues it or starts an attempt (attempts.go), whose transport consults the guard right before it
// writes (guard.go) and ends with attemptEnded. The Balancer then retries or rejects the request, or it
// was served. Request.Respond is called once, unless the client disconnected first.
package core

import (
	"cmp"
	"sync/atomic"
	"time"

	"mothridge/policy"
)

// eventBacklog is how many events may wait for the event loop before Core.Submit and the like block.
const eventBacklog = 1024

// Config configures a Core.
type Config struct {
	Policy      policy.Config
	Seed        uint64                  // of the Balancer's random decisions
	Zones       []string                // zones with a number in Policy, by that number
	Cached      *EndpointUpdate         // the last known endpoint list; nil: none
	NewUpstream func(Endpoint) Upstream // called on the event loop: it must not do I/O

	// DrainGrace is how long after the update that an endpoint is draining an attempt may start
	// before the invariant checks report it; the guard allows none. 0: DefaultDrainGrace.
	DrainGrace time.Duration

	// OnResponse, if set, is called with each response on the event loop, so it must not block.
	// latency counts from when the request was received by the Core.
	OnResponse func(class int, result Result, latency time.Duration)
}

// Core is the event loop and what it owns. Its methods may be called from any goroutine; Run must be
// called once.
type Core struct {
	// Not changed after New.
	config  Config
	clock   clock
	events  chan event    // to the event loop
	done    chan struct{} // closed once Run has returned: nothing waits for the event loop then
	watches chan struct{} // see WatchRequests

	// Event loop only; New uses them before Run.
	balancer    *policy.Balancer
	now         time.Duration // on the Balancer's clock, when the present event began
	timer       balancerTimer
	localEvents []event         // posted by the event loop itself, which must not wait for the channel
	requests    requestRegistry // any goroutine may use its ids
	endpoints   endpointTable

	// Any goroutine.
	ready      atomic.Bool
	pauses     pauseDetector
	outcomes   outcomeCounters
	invariants invariantCounters
	prevented  preventedCounters
}

var _ Handler = (*Core)(nil)

// New returns a Core, which handles nothing before Run. An error names the unusable field of
// Config.Policy.
func New(config Config) (*Core, error) {
	config.DrainGrace = cmp.Or(config.DrainGrace, DefaultDrainGrace)
	startedAt := time.Now()
	c := &Core{
		config:    config,
		clock:     clock{startedAt: startedAt},
		events:    make(chan event, eventBacklog),
		done:      make(chan struct{}),
		watches:   make(chan struct{}, 1),
		requests:  newRequestRegistry(),
		timer:     newBalancerTimer(),
		endpoints: newEndpointTable(config.Zones, config.NewUpstream),
		pauses:    pauseDetector{startedAt: startedAt},
	}
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

// Abandon reports that the client of a request has disconnected: see Handler.
func (c *Core) Abandon(request *Request) { c.post(clientDisconnected{request}) }

// HasRequest reports whether a request with that Request-Id is being handled.
func (c *Core) HasRequest(id string) bool { return c.requests.ids.contain(id) }

// Ready reports whether an endpoint list is known.
func (c *Core) Ready() bool { return c.ready.Load() }

// Update passes a change of the endpoint list. It may block while the event loop is busy.
func (c *Core) Update(update EndpointUpdate) { c.post(endpointsUpdated{update}) }

// UpdateFailed reports that a call for the endpoint list failed or its watch ended. It may block
// while the event loop is busy.
func (c *Core) UpdateFailed() { c.post(endpointUpdateFailed{}) }

// WatchRequests returns the channel on which the Balancer requests a watch of the endpoint list, if
// policy.Config.WatchOnRequest is set. At most one request is pending.
func (c *Core) WatchRequests() <-chan struct{} { return c.watches }

// Shutdown completes all requests now and rejects those that follow. It may block while the event
// loop is busy, and does not wait for the responses.
func (c *Core) Shutdown() { c.post(shutdownRequested{}) }
