package peers

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// EurekaFault is a fault that the stand-in registry injects.
type EurekaFault int

// Faults of the stand-in registry. Each fault lasts until another fault is set.
const (
	NoFault          EurekaFault = iota
	NoResponse                   // accept requests and do not respond
	Slow                         // respond after 300 ms
	ServerError                  // respond with status 500
	TruncatedBody                // write only half of the body
	StaleList                    // respond with the lists as they were when the fault was set
	WrongHash                    // send a hash code that does not match the list
	EmptyList                    // respond with status 200 and no instances
	NotJSON                      // respond with status 200 and an HTML page
	WrongContentType             // send each format with the Content-Type of the other format
)

const (
	slowResponseTime = 300 * time.Millisecond
	deltaRetention   = 3 * time.Minute // time that a change stays in the delta
	allAppsPath      = "apps"
	deltaPath        = "apps/delta"
	mismatchedHash   = "UP_4711_"
	proxyErrorPage   = "<html>a proxy's page</html>"
	eurekaV2Path     = "/eureka/v2"
	otherFetchesKind = "some" // key in calls for fetches of neither all apps nor the delta
)

// EurekaRegistry is a stand-in for a Eureka registry. It implements the REST API of
// docs/protocol/eureka.md, with leases, eviction, self-preservation, deltas and overridden statuses.
// EurekaRegistry is safe for concurrent use. Close ends the goroutines of its HTTP server.
type EurekaRegistry struct {
	listener  net.Listener
	server    *http.Server
	closing   chan struct{} // closed by Close
	closeOnce sync.Once

	mu            sync.Mutex
	instances     map[string]*EurekaInstance
	ids           []string // keys of instances in the order in which they were registered
	delta         []eurekaChange
	leaseDuration time.Duration // 0: leases do not expire
	fault         EurekaFault
	staleLists    map[staleListKey][]byte // copies from when StaleList was set
	clockSkew     time.Duration           // positive: the registry's clock is ahead
	version       int                     // of the list; incremented on each change
	calls         map[string]int          // by the kinds of CallCount
	fetchedBytes  int64
	fetchTimes    []time.Time
	dialect       EurekaDialect
}

// staleListKey identifies a list by its path and format.
type staleListKey struct {
	path  string
	asXML bool
}

// StartEureka starts a registry at addr, or on a free loopback port if addr is empty.
func StartEureka(addr string) (*EurekaRegistry, error) {
	if addr == "" {
		addr = loopbackAddr
	}
	listener, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("eureka: %w", err)
	}
	e := &EurekaRegistry{
		listener:  listener,
		closing:   make(chan struct{}),
		instances: make(map[string]*EurekaInstance),
		calls:     make(map[string]int),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// URL returns the base URL of the API.
func (e *EurekaRegistry) URL() string { return "http://" + e.listener.Addr().String() + eurekaV2Path }

// Close stops the server and ends its requests.
func (e *EurekaRegistry) Close() {
	e.closeOnce.Do(func() {
		close(e.closing)
		e.server.Close()
	})
}

// SetFault sets the fault that the registry injects after the call.
func (e *EurekaRegistry) SetFault(fault EurekaFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
	e.staleLists = nil
	if fault == StaleList {
		e.staleLists = e.lists()
	}
}

// lists returns the complete list and the delta in both formats.
func (e *EurekaRegistry) lists() map[staleListKey][]byte {
	lists := make(map[staleListKey][]byte)
	for _, path := range []string{allAppsPath, deltaPath} {
		for _, asXML := range []bool{false, true} {
			lists[staleListKey{path, asXML}] = e.encodeResource(strings.Split(path, "/"), asXML)
		}
	}
	return lists
}

// SetDialect sets the dialect of the responses after the call.
func (e *EurekaRegistry) SetDialect(dialect EurekaDialect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialect = dialect
}

// SetClockSkew sets the difference between the registry's clock and the system clock. A positive skew
// means that the registry's clock is ahead.
func (e *EurekaRegistry) SetClockSkew(skew time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clockSkew = skew
}

// SetLeaseDuration sets the time without renewal after which a lease expires. With 0, the default,
// leases do not expire.
func (e *EurekaRegistry) SetLeaseDuration(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseDuration = duration
}

// CallCount returns how many calls of a kind were received. The kinds are /apps, /apps/delta, some (other
// fetches), register, renew, status, metadata and cancel.
func (e *EurekaRegistry) CallCount(kind string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[kind]
}

// FetchedBytes returns the total size in bytes of the responses to fetches, before compression.
func (e *EurekaRegistry) FetchedBytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetchedBytes
}

// ClearDelta removes all changes from the delta, as if deltaRetention had passed.
func (e *EurekaRegistry) ClearDelta() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delta = nil
}

// FetchTimes returns the times of fetches whose responses contain a correct list.
func (e *EurekaRegistry) FetchTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.fetchTimes)
}

// Instance returns the instance with an id, or false if there is none.
func (e *EurekaRegistry) Instance(id string) (EurekaInstance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance := e.instances[id]; instance != nil {
		return *instance, true
	}
	return EurekaInstance{}, false
}
