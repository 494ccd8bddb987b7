package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

type server struct {
	Endpoint
	out     int           // this balancer's attempts there
	turn    float64       // smooth weighted round robin: how much its turn is due
	heard   time.Duration // its last answer, or restart
	toldAt  time.Duration // it last reported its load; 0: never
	others  float64       // and then held this many requests that are not ours
	used    float64       // mean square of the share of the aim that its answers take, lately
	spare   bool          // not among this balancer's first choice
	unwell  bool          // evidence was against it; it gets trials only
	strikes int           // evidence against it since its last answer
	doubted bool          // and one failure that may be chance
	brokeAt time.Duration // when it failed last
	trialAt time.Duration // next trial
	warmAt  time.Duration // cold until then, by the list
	coldAt  time.Duration // while cold: nothing more before this
	door    []*request    // requests that wait for a probe's answer from it, in the order of asking
}

type attemptState int

const (
	inFlight attemptState = iota
	mayHaveRun
	neverRan
)

type attempt struct {
	to    *server
	sent  time.Duration
	state attemptState
}

type request struct {
	id       RequestID
	class    *class
	home     *compartment
	deadline time.Duration // the client's
	useful   time.Duration // an answer after this earns nothing
	aimAt    time.Duration // and after this not all
	attempts []attempt
	out      int
	begun    bool // its answer streams: it is the client's now
	over     bool // ended; kept until its attempts have ended too

	cheap    float64   // how readily it is shed
	shed     bool      // it was
	knocking bool      // it holds a slot and waits for a probe's answer
	knocked  []*server // probed for it
	unheard  int       // of those, how many have not answered
	best     *server   // the least loaded that answered
	bestLoad float64
	goAt     time.Duration // when to stop waiting for a better one
}

// compartment holds one tenant's slots and queue, walled off from the others'.
type compartment struct {
	slots, used, places int
	queue               []*request
}

type class struct {
	Class
	pace    time.Duration // usual time of an answer
	longest time.Duration // the time left that first tries come with: the most seen, followed down
}

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg      Config
	host     Host
	rng      *rand.Rand
	classes  []class
	parts    []compartment
	requests map[RequestID]*request
	open     []*request             // in order of arrival; ended ones are swept out by Wake
	servers  []*server              // in the order in which the list named them
	known    map[EndpointID]*server // the same, by name
	fresh    []*server              // of the list under way: those that have just started
	slots    int                    // of all compartments
	mean     float64                // what the slots of all balancers hold while traffic is at the quotas
	quota    float64                // of all tenants together
	weight   float64                // of all ready servers
	full     float64                // the most of it that there was, followed down
	fullAt   time.Duration
	well     float64       // of those not judged unwell
	ready    int           // how many are ready
	fit      int           // and of those, not judged unwell
	pace     time.Duration // usual time of an answer, over all classes
	aim      float64       // mean aim, in seconds
	wakeAt   time.Duration
	askAt    time.Duration // when to ask for the list next; 0: no need
	askFails int
	feedFrom int
	asked    float64 // requests lately, fading
	tried    float64 // requests lately, fading, that were not shed
	good     float64 // requests lately, fading, that were answered within their aim
	fadedAt  time.Duration
	cheap    float64 // sum over the requests lately, fading: how readily they are shed
	thin     bool    // own traffic tells too little of a server's load
	probes   int
	quit     bool // nothing is taken any more
	reason   Reason
	count    Counters
}

// Counters returns what was done so far.
func (b *Balancer) Counters() Counters { return b.count }

// SlotsFree returns the free slots in a tenant's compartment; 0 for a tenant that does not exist.
func (b *Balancer) SlotsFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.parts) {
		return 0
	}
	return b.parts[tenant].slots - b.parts[tenant].used
}

// QueueFree returns the free queue places in a tenant's compartment; 0 for a tenant that does not exist.
func (b *Balancer) QueueFree(tenant int) int {
	if tenant < 0 || tenant >= len(b.parts) {
		return 0
	}
	return max(0, b.parts[tenant].places-len(b.parts[tenant].queue))
}

// ran returns the first attempt that may have run or still may, or nil.
func (r *request) ran() *attempt {
	for i := range r.attempts {
		if r.attempts[i].state != neverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// tried says whether a server has had this request already.
func (r *request) tried(s *server) bool {
	for i := range r.attempts {
		if r.attempts[i].to == s {
			return true
		}
	}
	return slices.Contains(r.knocked, s)
}

// fullMemory is longer than servers are out for a trouble or a deploy.
const fullMemory = time.Minute

// weigh takes a server into the sums of weights (sign 1) or out of them (-1).
// Whatever changes its state, weight or health does so between the two, so that
// a change of one server costs the same whatever the list holds.
func (b *Balancer) weigh(s *server, sign int) {
	if s.Health != Ready {
		return
	}
	b.weight += float64(sign) * s.Weight
	if b.ready += sign; b.ready == 0 {
		b.weight = 0 // and not what rounding left of it
	}
	if s.unwell {
		return
	}
	b.well += float64(sign) * s.Weight
	if b.fit += sign; b.fit == 0 {
		b.well = 0
	}
}

// fade lets the most weight that there was be forgotten slowly: while
// replacements overlap with what they replace there is more than there will be.
func (b *Balancer) fade(now time.Duration) {
	b.full = b.weight + (b.full-b.weight)*math.Exp(-float64(now-b.fullAt)/float64(fullMemory))
	b.fullAt = now
}

// mark notes whether a server is judged unwell.
func (b *Balancer) mark(now time.Duration, s *server, unwell bool) {
	if s.unwell == unwell {
		return
	}
	b.fade(now)
	b.weigh(s, -1)
	s.unwell = unwell
	b.weigh(s, 1)
}

// part is a server's part of a total by its weight in the fullest list there was.
func (b *Balancer) part(total float64, s *server) float64 {
	return total * s.Weight / max(b.full, s.Weight)
}

// wake sees to it that Wake comes after d at the latest.
func (b *Balancer) wake(now, d time.Duration) {
	if b.wakeAt == 0 || now+d < b.wakeAt {
		b.wakeAt = now + d
		b.host.SetTimer(d)
	}
}
