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

// The faults. Each lasts until another one is set.
const (
	NoFault          EurekaFault = iota
	NoResponse                   // accepts requests and does not respond
	Slow                         // responds after 300 ms
	ServerError                  // responds 500
	TruncatedBody                // writes half of the body
	StaleList                    // responds with the lists of when the fault was set
	WrongHash                    // a hash code that does not match the list
	EmptyList                    // 200 and no instances
	NotJSON                      // 200 and an HTML page
	WrongContentType             // each format with the Content-Type of the other one
)

const (
	slowResponseTime  = 300 * time.Millisecond
	deltaRetention    = 3 * time.Minute // how long a change stays in the delta
	allAppsPath       = "apps"
	deltaPath         = "apps/delta"
	mismatchedHash    = "UP_4711_"
	proxyErrorPage    = "<html>a proxy's page</html>"
	eurekaV2Path      = "/eureka/v2"
	otherFetchesCalls = "some" // counts fetches other than of all apps and the delta
)

// Eureka is a stand-in for a Eureka registry. It has the REST API of docs/protocol/eureka.md, with
// leases, eviction, self-preservation, deltas and overridden statuses. It is safe for concurrent
// use. Its HTTP server's goroutines end with Close.
type Eureka struct {
	listener  net.Listener
	server    *http.Server
	closing   chan struct{} // closed by Close
	closeOnce sync.Once

	mu            sync.Mutex
	instances     map[string]*EurekaInstance
	ids           []string // of instances, in the order in which they were registered
	delta         []eurekaChange
	leaseDuration time.Duration // 0: leases do not expire
	fault         EurekaFault
	staleLists    map[staleListKey][]byte // when StaleList was set
	clockSkew     time.Duration
	version       int // of the list; grows with each change
	calls         map[string]int
	fetchedBytes  int64
	fetchTimes    []time.Time
	dialect       EurekaDialect
}

// staleListKey is the path and the format of a list.
type staleListKey struct {
	path  string
	asXML bool
}

// StartEureka starts a registry at addr, or on a free loopback port where addr is empty.
func StartEureka(addr string) (*Eureka, error) {
	if addr == "" {
		addr = loopbackAddr
	}
	listener, err := listen(addr)
	if err != nil {
		return nil, fmt.Errorf("eureka: %w", err)
	}
	e := &Eureka{
		listener:  listener,
		closing:   make(chan struct{}),
		instances: make(map[string]*EurekaInstance),
		calls:     make(map[string]int),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// URL returns the base of the API.
func (e *Eureka) URL() string { return "http://" + e.listener.Addr().String() + eurekaV2Path }

// Close ends the server and its requests.
func (e *Eureka) Close() {
	e.closeOnce.Do(func() {
		close(e.closing)
		e.server.Close()
	})
}

// SetFault sets the fault that is injected from now on.
func (e *Eureka) SetFault(fault EurekaFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = fault
	e.staleLists = nil
	if fault == StaleList {
		e.staleLists = e.lists()
	}
}

// lists returns the complete list and the delta in both formats.
func (e *Eureka) lists() map[staleListKey][]byte {
	lists := make(map[staleListKey][]byte)
	for _, path := range []string{allAppsPath, deltaPath} {
		for _, asXML := range []bool{false, true} {
			lists[staleListKey{path, asXML}] = e.encodeResource(strings.Split(path, "/"), asXML)
		}
	}
	return lists
}

// SetDialect sets the dialect of the responses from now on.
func (e *Eureka) SetDialect(dialect EurekaDialect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialect = dialect
}

// SetClockSkew sets how far the registry's clock differs from the real one; positive: ahead of it.
func (e *Eureka) SetClockSkew(skew time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clockSkew = skew
}

// SetLeaseDuration makes leases expire that were not renewed for this long; 0, the default: none.
func (e *Eureka) SetLeaseDuration(duration time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseDuration = duration
}

// Calls returns how many calls of a kind were received: /apps, /apps/delta, some (other fetches),
// register, renew, status, metadata or cancel.
func (e *Eureka) Calls(kind string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[kind]
}

// Bytes returns how many bytes the responses to fetches had, before compression.
func (e *Eureka) Bytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetchedBytes
}

// ClearDelta removes the changes that a delta would repeat, as time does.
func (e *Eureka) ClearDelta() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.delta = nil
}

// FetchTimes returns when correct responses to fetches were written.
func (e *Eureka) FetchTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.fetchTimes)
}

// Instance returns the instance of an id; false: there is none.
func (e *Eureka) Instance(id string) (EurekaInstance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if instance := e.instances[id]; instance != nil {
		return *instance, true
	}
	return EurekaInstance{}, false
}
