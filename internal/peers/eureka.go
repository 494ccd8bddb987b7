package peers

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// EurekaInstance is an instance in the stand-in registry.
type EurekaInstance struct {
	ID            string
	App           string
	Host          string
	IP            string
	Port          int
	VIP           string // one name, or several with commas
	Status        string // by its own word
	Override      string // by an operator's
	Metadata      map[string]string
	LastDirtyMs   int64 // Unix ms by the instance's clock
	LastUpdatedMs int64 // Unix ms by the registry's

	PortDisabled                                 bool // the plain port is not in use
	SecurePortEnabled                            bool // SecurePort is in use
	SecurePort                                   int  // 0: 443, as the published server has it
	SecureVIP, Group                             string
	HomePage, StatusPage, HealthCheck            string
	Country                                      int64  // 0: 1
	DataCenter                                   string // empty: MyOwn
	RenewalIntervalSeconds, LeaseDurationSeconds int64  // of its lease, by its own word; 0: 30 and 90

	renewed    time.Time
	registered int64
	upSince    int64
}

// effective is the status that is told. An operator's word counts before the
// instance's, but not where the instance itself says that it cannot serve.
func (i *EurekaInstance) effective() string {
	if i.Override != "" && i.Override != "UNKNOWN" && (i.Status == "UP" || i.Status == "OUT_OF_SERVICE") {
		return i.Override
	}
	return i.Status
}

func (i *EurekaInstance) securePort() int { return cmp.Or(i.SecurePort, 443) }

// EurekaFault is what the stand-in registry does wrong.
type EurekaFault int

// The faults. They last until another is set.
const (
	NoFault          EurekaFault = iota
	NoResponse                   // takes calls and never answers
	Slow                         // answers after 300 ms
	ServerError                  // 500
	TruncatedBody                // half of the answer
	StaleList                    // what it held when the fault began
	WrongHash                    // a hash code that does not add up
	EmptyList                    // 200 and no instances
	NotJSON                      // 200 and no JSON
	WrongContentType             // each format announced as the other
)

// Eureka stands in for a Eureka registry: the REST API as docs/protocol/eureka.md
// has it, with leases, eviction, self-preservation, a queue for deltas, overrides.
type Eureka struct {
	ln     net.Listener
	server *http.Server
	over   chan struct{}
	once   sync.Once

	mu       sync.Mutex
	all      map[string]*EurekaInstance
	order    []string
	queue    []eurekaChange
	retain   time.Duration // how long a change stays in the delta
	lease    time.Duration // 0: leases never run out
	fault    EurekaFault
	stale    map[string][]byte // the lists of when the fault Stale began, by path and format
	skew     time.Duration
	version  int
	calls    map[string]int // by the kind of path
	bytes    int64          // written
	told     []time.Time    // when a good answer to a fetch was on its way
	preserve bool           // self-preservation: no eviction while too many leases run out
	dialect  EurekaDialect
}

type eurekaChange struct {
	at     time.Time
	action string
	copy   EurekaInstance
}

// StartEureka starts a registry on a loopback port of its own, or at addr.
func StartEureka(addr string) (*Eureka, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("eureka: %w", err)
	}
	e := &Eureka{
		ln: ln, over: make(chan struct{}), all: make(map[string]*EurekaInstance), retain: 3 * time.Minute, calls: make(map[string]int),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(ln)
	return e, nil
}

// URL is its base.
func (e *Eureka) URL() string { return "http://" + e.ln.Addr().String() + "/eureka/v2" }

// Close ends it.
func (e *Eureka) Close() {
	e.once.Do(func() {
		close(e.over)
		e.server.Close()
	})
}

// SetFault sets what it does wrong from now on.
func (e *Eureka) SetFault(f EurekaFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.stale = nil
	if f == StaleList {
		e.stale = make(map[string][]byte)
		for _, path := range []string{"apps", "apps/delta"} {
			for _, asXML := range []bool{false, true} {
				e.stale[staleKey(path, asXML)] = e.answer(strings.Split(path, "/"), asXML)
			}
		}
	}
}

func staleKey(path string, asXML bool) string { return fmt.Sprint(path, " ", asXML) }

// SetDialect sets how it writes from now on.
func (e *Eureka) SetDialect(d EurekaDialect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dialect = d
}

// SetClockSkew sets its clock wrong.
func (e *Eureka) SetClockSkew(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.skew = d
}

// SetLeaseDuration makes leases run out that are not renewed for this long.
func (e *Eureka) SetLeaseDuration(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = d
}

// Calls says how many calls of a kind came: /apps, /apps/delta, some (of the
// other fetches), register, renew, status, metadata, cancel.
func (e *Eureka) Calls(kind string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[kind]
}

// Bytes says how many bytes it wrote as answers to fetches, unpacked.
func (e *Eureka) Bytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bytes
}

// SelfPreservation says whether it keeps leases that have run out, as too many have.
func (e *Eureka) SelfPreservation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evict()
	return e.preserve
}

// ClearDelta lets the changes go that a delta would repeat, as if time had passed.
func (e *Eureka) ClearDelta() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = nil
}

// FetchTimes gives the times at which good answers to fetches were written.
func (e *Eureka) FetchTimes() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.told)
}

// Instance gives what it holds under an id.
func (e *Eureka) Instance(id string) (EurekaInstance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := e.all[id]; i != nil {
		return *i, true
	}
	return EurekaInstance{}, false
}

func (e *Eureka) now() int64 { return time.Now().Add(e.skew).UnixMilli() }

// Register adds or changes an instance, as its own call would.
func (e *Eureka) Register(i EurekaInstance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.register(i)
}

func (e *Eureka) register(i EurekaInstance) {
	action := "ADDED"
	old := e.all[i.ID]
	if old == nil {
		e.order = append(e.order, i.ID)
	} else if i.Override == "" {
		i.Override = old.Override
	}
	if i.LastDirtyMs == 0 {
		i.LastDirtyMs = time.Now().UnixMilli()
		if old != nil {
			i.LastDirtyMs = max(i.LastDirtyMs, old.LastDirtyMs+1)
		}
	}
	i.LastUpdatedMs, i.renewed, i.registered = e.now(), time.Now(), e.now()
	i.RenewalIntervalSeconds, i.LeaseDurationSeconds = cmp.Or(i.RenewalIntervalSeconds, 30), cmp.Or(i.LeaseDurationSeconds, 90)
	if old != nil {
		i.upSince, i.registered = old.upSince, old.registered
		i.LastUpdatedMs = max(i.LastUpdatedMs, old.LastUpdatedMs+1)
	}
	if i.upSince == 0 && i.Status == "UP" {
		i.upSince = e.now()
	}
	e.all[i.ID] = &i
	e.change(action, &i)
}

func (e *Eureka) change(action string, i *EurekaInstance) {
	e.version++
	e.queue = append(e.queue, eurekaChange{time.Now(), action, *i})
}

// Override sets an operator's status; "" takes it back.
func (e *Eureka) Override(id, status string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.all[id]
	if i == nil {
		return false
	}
	i.Override = status
	e.modified(i)
	return true
}

// Cancel takes an instance out.
func (e *Eureka) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancel(id)
}

func (e *Eureka) cancel(id string) bool {
	i := e.all[id]
	if i == nil {
		return false
	}
	delete(e.all, id)
	e.order = slices.DeleteFunc(e.order, func(x string) bool { return x == id })
	i.LastUpdatedMs = max(e.now(), i.LastUpdatedMs+1)
	e.change("DELETED", i)
	return true
}

// evict takes out what was not renewed. Where more than 15 in 100 would go at
// once it keeps them all (self-preservation).
func (e *Eureka) evict() {
	cut := time.Now().Add(-e.retain)
	e.queue = slices.DeleteFunc(e.queue, func(c eurekaChange) bool { return c.at.Before(cut) })
	e.preserve = false
	if e.lease == 0 {
		return
	}
	var late []string
	for id, i := range e.all {
		if time.Since(i.renewed) > e.lease {
			late = append(late, id)
		}
	}
	if len(late)*100 > len(e.all)*15 && len(e.all) > 1 {
		e.preserve = true
		return
	}
	for _, id := range late {
		e.cancel(id)
	}
}
