package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mothridge/policy"
)

// Scenario is all that a run follows from. The toml names are those of a
// scenario file (docs/laboratory.md).
type Scenario struct {
	Seed             uint64        `toml:"seed,omitempty"`
	Policy           Policy        `toml:"policy,omitempty"` // what decides in every sidecar
	Duration         time.Duration `toml:"duration"`         // new requests come for this long
	Nodes            int           `toml:"nodes"`
	Sidecars         int           `toml:"sidecars"`
	ArrivalRate      float64       `toml:"rate,omitempty"` // first tries a second, over all sidecars; 0: as Load has it
	OfferedLoad      float64       `toml:"load,omitempty"` // in place of Rate: work asked for, over what all nodes can do
	TrafficSkew      float64       `toml:"skew,omitempty"` // sidecar number i has a part of 1/i^Skew of the traffic; 0: even parts
	Node             NodeParams    `toml:"node"`
	SpeedFactors     []float64     `toml:"speeds,omitempty"` // of the nodes, in turn, times Node.Speed; none: 1
	Network          Network       `toml:"network,omitempty"`
	List             EndpointList  `toml:"list,omitempty"`
	Classes          []Class       `toml:"class"`
	Tenants          []Tenant      `toml:"tenant,omitempty"` // none: one
	Slots            int           `toml:"slots,omitempty"`  // of each sidecar; 0: the module's own
	MaxAttempts      int           `toml:"attempts"`         // for one request, at most
	LoadReports      bool          `toml:"probes,omitempty"` // nodes tell what they hold
	Retries          RetryMode     `toml:"retries,omitempty"`
	Quotas           Quotas        `toml:"quotas,omitempty"`
	Clients          Clients       `toml:"clients"`
	Daily            Wave          `toml:"daily,omitempty"`
	RecordedArrivals []Arrival     `toml:"arrival,omitempty"` // in place of drawn arrivals, in order of time
	Faults           []Fault       `toml:"trouble,omitempty"`

	// MostEvents ends a run that would not end; 0 stands for a hundred million.
	MaxEvents uint64 `toml:"most_events,omitempty"`
	// Watch is a request of which the result tells all that happened; 0: none.
	ExplainRequest policy.RequestID `toml:"-"`
	// Observe keeps how busy each node was in each window, for pictures.
	RecordUtilisation bool `toml:"-"`
}

// Class is a kind of requests.
type Class struct {
	Name                   string           `toml:"name,omitempty"`
	Share                  float64          `toml:"share"` // of the requests, against the other classes'
	Work                   time.Duration    `toml:"work"`  // mean, of a core of speed 1
	WorkDistribution       WorkDistribution `toml:"spread,omitempty"`
	CoefficientOfVariation float64          `toml:"cv,omitempty"` // of log-normal work: standard deviation over mean
	LatencyObjective       time.Duration    `toml:"aim"`
	Deadline               time.Duration    `toml:"deadline"`
	Idempotency            Idempotency      `toml:"effect"`
	DedupScope             DedupScope       `toml:"scope,omitempty"`  // keyed: which nodes drop a repeat
	DedupWindow            time.Duration    `toml:"window,omitempty"` // keyed: for how long, from when the first may have run
}

// Spread is how the work of a class is distributed.
type WorkDistribution string

// The spreads.
const (
	Exponential WorkDistribution = ""
	Fixed       WorkDistribution = "fixed"
	LogNormal   WorkDistribution = "log-normal"
)

// Effect is policy.Effect by name: safe, keyed or unsafe.
type Idempotency policy.Idempotency

// Scope is policy.Scope by name: all or cell. Each node is a cell of its own
// unless Scenario.List has cells of more.
type DedupScope policy.DedupScope

var (
	idempotencyNames = []string{"safe", "keyed", "unsafe"}
	dedupScopeNames  = []string{"all", "zone", "cell"}
)

// UnmarshalText reads an effect's name.
func (e *Idempotency) UnmarshalText(b []byte) error {
	return parseName(idempotencyNames, string(b), (*int)(e))
}

// MarshalText writes it.
func (e Idempotency) MarshalText() ([]byte, error) { return []byte(idempotencyNames[e]), nil }

// UnmarshalText reads a scope's name.
func (s *DedupScope) UnmarshalText(b []byte) error {
	return parseName(dedupScopeNames, string(b), (*int)(s))
}

// MarshalText writes it.
func (s DedupScope) MarshalText() ([]byte, error) { return []byte(dedupScopeNames[s]), nil }

func parseName(names []string, name string, to *int) error {
	i := slices.Index(names, name)
	if i < 0 {
		return fmt.Errorf("%q is not known: %s is meant", name, strings.Join(names, ", "))
	}
	*to = i
	return nil
}

// Tenant is a customer with a share.
type Tenant struct {
	Name  string  `toml:"name,omitempty"`
	Share float64 `toml:"share"`
	Quota float64 `toml:"quota,omitempty"` // requests a second that its slots are made for; 0: not known
}

// Quotas puts the quota module before every sidecar's balancer: a root of all
// tenants' quotas, and a node for each tenant of its own.
type Quotas struct {
	SidecarShare   float64         `toml:"part,omitempty"`    // of every quota, that each sidecar may use; 0: there are none
	Windows        []time.Duration `toml:"windows,omitempty"` // none: 1 s and 10 s
	LenderReserve  time.Duration   `toml:"reclaim,omitempty"`
	RepaymentShare float64         `toml:"repay,omitempty"`
	DebtLifetime   time.Duration   `toml:"debt_age,omitempty"`
	LendingAllowed bool            `toml:"lends,omitempty"` // else each has its own share and no more
}

// Network is what lies between a sidecar and a node.
type Network struct {
	Delay time.Duration `toml:"delay,omitempty"` // mean, one way, exponential
	// Connections are modelled where a handshake costs something.
	HandshakeWork       time.Duration `toml:"handshake,omitempty"` // work of a node for a new one
	HandshakeRoundTrips int           `toml:"trips,omitempty"`     // round trips before the first byte of a request
	IdleTimeout         time.Duration `toml:"idle,omitempty"`      // closed after this; 0: kept
	MaxConnections      int           `toml:"most,omitempty"`      // that a node accepts; 0: any number
}

// List is how sidecars hear of nodes.
type EndpointList struct {
	MaxDelay      time.Duration `toml:"lag,omitempty"`        // longest delay of news, even from 0
	WatchRequired bool          `toml:"asked,omitempty"`      // not pushed: sidecars subscribe, and lose that when the list falls silent
	Membership    bool          `toml:"membership,omitempty"` // by way of the membership module
	CellSize      int           `toml:"cell,omitempty"`       // nodes that remember keys in common; 0: one
}

// Clients is what clients do beside arriving.
type Clients struct {
	MaxSubmissions  int           `toml:"tries"`               // of one, its first among them
	TimeoutShares   []float64     `toml:"patience,omitempty"`  // a try waits for a share of the deadline, even between two; none: for all that is left
	RetryAfterShare float64       `toml:"heeds,omitempty"`     // share that stays away for as long as it is told
	MaxRetryAfter   time.Duration `toml:"max_pause,omitempty"` // the longest pause that is heeded, and told
	RetryBackoff    time.Duration `toml:"pause,omitempty"`     // of the rest, doubled each time; 0: at once
	RetriesFailures bool          `toml:"insists,omitempty"`   // safe requests are tried again after a failure as well
}

// Wave lets the rate swing about its mean, as over a day.
type Wave struct {
	Period time.Duration `toml:"period,omitempty"` // 0: it does not
	Swing  float64       `toml:"swing,omitempty"`  // share of the rate: 0 to 1
}

// Arrival is a recorded request.
type Arrival struct {
	At     time.Duration `toml:"at"`
	Class  int           `toml:"class,omitempty"`
	Tenant int           `toml:"tenant,omitempty"`
	Work   time.Duration `toml:"work,omitempty"` // 0: drawn
}

// NodeParams is what a node can do.
type NodeParams struct {
	Cores                int              `toml:"cores"`
	Speed                float64          `toml:"speed"`           // of a core
	MaxRequests          int              `toml:"queue,omitempty"` // requests that it holds at most; 0: any number
	InitialSpeedShare    float64          `toml:"cold_from,omitempty"`
	WarmUpTime           time.Duration    `toml:"cold_time,omitempty"`       // from ColdFrom of its speed right after a start to all of it
	WarmUpOverloadFactor float64          `toml:"cold_multiple,omitempty"`   // work offered, over what it can do while cold, above which it falls over
	StartsCold           bool             `toml:"fresh,omitempty"`           // all have just started when the run begins
	KeepsAbandoned       bool             `toml:"keeps_abandoned,omitempty"` // it works on what nobody waits for any more
	OverloadCollapse     OverloadCollapse `toml:"choke,omitempty"`
}

// Choke is the slow state after overload.
type OverloadCollapse struct {
	RequestsPerCore float64       `toml:"above,omitempty"`   // requests held for each core that crowd a node
	OnsetTime       time.Duration `toml:"after,omitempty"`   // crowded this long, it is slow
	Slowdown        float64       `toml:"times,omitempty"`   // slower; 1 or less: there is no such state
	RecoveryTime    time.Duration `toml:"rest,omitempty"`    // half idle this long, it is over
	MaxDuration     time.Duration `toml:"longest,omitempty"` // and after this in any case; 0: never
}

// Trouble is something that happens.
type Fault struct {
	Kind       FaultKind     `toml:"kind"`
	Start      time.Duration `toml:"at"`
	Duration   time.Duration `toml:"for,omitempty"`    // 0: for good
	Node       int           `toml:"node,omitempty"`   // to which it happens
	NodeShare  float64       `toml:"of,omitempty"`     // in place of Node: to this share of the nodes, drawn by the seed
	Share      float64       `toml:"share,omitempty"`  // steal: of the cores; break: of the answers
	Period     time.Duration `toml:"every,omitempty"`  // steal: on for half of this, off for the other; 0: on
	Tenant     int           `toml:"tenant,omitempty"` // burst: whose
	RateFactor float64       `toml:"times,omitempty"`  // burst: its usual traffic
}

// TroubleKind is a kind of Trouble.
type FaultKind string

// The kinds of trouble.
const (
	Hang             FaultKind = "hang"       // it takes requests and answers none
	DropResponses    FaultKind = "mute"       // it runs them, but nothing comes back from it
	DropRequests     FaultKind = "deaf"       // nothing comes to it
	ResetConnections FaultKind = "break"      // answers are lost with their connections
	StealCPU         FaultKind = "steal"      // others take a share of its cores
	Drain            FaultKind = "drain"      // the list says so; then it is back
	Restart          FaultKind = "restart"    // what it holds is lost; it is off for as long as For says, then cold
	ListOutage       FaultKind = "silent"     // no news of any node reaches a sidecar; they come after it
	IncompleteList   FaultKind = "wrong"      // the list leaves nodes out that are there
	StaleList        FaultKind = "stale"      // the list is told as it was For ago, and right again after its lag
	TrafficBurst     FaultKind = "burst"      // a tenant sends a multiple of its usual traffic
	PowerLoss        FaultKind = "power-cut"  // all nodes and sidecars are off for a while, and start at once
	SidecarRestart   FaultKind = "sidecar-up" // all sidecars start anew, what they held is lost
)

var faultKinds = []FaultKind{Hang, DropResponses, DropRequests, ResetConnections, StealCPU, Drain, Restart, ListOutage, IncompleteList, StaleList, TrafficBurst, PowerLoss, SidecarRestart}

// work is the mean work of a request, in seconds.
func (s *Scenario) meanWork() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return sum / shares
}

// NodeAt is what a node can do, by its number.
func (s *Scenario) NodeParamsAt(i int) NodeParams {
	p := s.Node
	if len(s.SpeedFactors) > 0 {
		p.Speed *= s.SpeedFactors[i%len(s.SpeedFactors)]
	}
	return p
}

// Weight is the work that a node can do in a second, in seconds of a core of speed 1.
func (s *Scenario) NodeCapacity(i int) float64 {
	return s.NodeParamsAt(i).Speed * float64(s.Node.Cores)
}

// Capacity is the work that all nodes can do in a second, in seconds of a core of speed 1.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for i := range s.Nodes {
		sum += s.NodeCapacity(i)
	}
	return sum
}

// Check names what is wrong with a scenario, and what would be right.
func (s *Scenario) Check() error {
	if err := s.checkSizes(); err != nil {
		return fmt.Errorf("scenario: %w", err)
	}
	for i, c := range s.Classes {
		if err := c.check(); err != nil {
			return fmt.Errorf("scenario: class %d: %w", i, err)
		}
	}
	for i, t := range s.Faults {
		if err := t.check(s); err != nil {
			return fmt.Errorf("scenario: trouble %d: %w", i, err)
		}
	}
	for i, a := range s.RecordedArrivals {
		if a.Class < 0 || a.Class >= len(s.Classes) || a.Tenant < 0 || a.Tenant >= max(1, len(s.Tenants)) || a.At < 0 || a.Work < 0 || i > 0 && a.At < s.RecordedArrivals[i-1].At {
			return fmt.Errorf("scenario: arrival %d: at %v, class %d of %d, tenant %d of %d, work %v: in order of time and of those that there are is meant", i, a.At, a.Class, len(s.Classes), a.Tenant, max(1, len(s.Tenants)), a.Work)
		}
	}
	return nil
}

func (s *Scenario) checkSizes() error {
	switch c := &s.Clients; {
	case s.Nodes < 1 || s.Sidecars < 1:
		return fmt.Errorf("%d nodes and %d sidecars: at least one of each is needed", s.Nodes, s.Sidecars)
	case s.Duration <= 0:
		return fmt.Errorf("a duration of %v: above 0 is needed", s.Duration)
	case len(s.RecordedArrivals) == 0 && (s.ArrivalRate > 0) == (s.OfferedLoad > 0) || s.ArrivalRate < 0 || s.OfferedLoad < 0:
		return fmt.Errorf("a rate of %v and a load of %v: one of the two above 0 is needed", s.ArrivalRate, s.OfferedLoad)
	case s.Node.Cores < 1 || !(s.Node.Speed > 0) || slices.ContainsFunc(s.SpeedFactors, func(v float64) bool { return !(v > 0) }):
		return fmt.Errorf("nodes of %d cores of speed %v, times %v: all above 0 are needed", s.Node.Cores, s.Node.Speed, s.SpeedFactors)
	case s.Node.InitialSpeedShare < 0 || s.Node.InitialSpeedShare > 1 || s.Node.WarmUpTime < 0 || s.Node.WarmUpTime > 0 && s.Node.InitialSpeedShare == 0:
		return fmt.Errorf("nodes cold from %v for %v: a share above 0 and a time are needed", s.Node.InitialSpeedShare, s.Node.WarmUpTime)
	case s.Node.OverloadCollapse.Slowdown > 1 && (s.Node.OverloadCollapse.OnsetTime <= 0 || s.Node.OverloadCollapse.RecoveryTime <= 0 || !(s.Node.OverloadCollapse.RequestsPerCore > 0)):
		return fmt.Errorf("choke: above %v, after %v and rest %v: all above 0 are needed", s.Node.OverloadCollapse.RequestsPerCore, s.Node.OverloadCollapse.OnsetTime, s.Node.OverloadCollapse.RecoveryTime)
	case len(s.Classes) == 0:
		return fmt.Errorf("no class of requests: at least one [[class]] is needed")
	case s.MaxAttempts < 1 || c.MaxSubmissions < 1:
		return fmt.Errorf("%d attempts and %d tries of clients: at least one of each is needed", s.MaxAttempts, c.MaxSubmissions)
	case len(c.TimeoutShares) != 0 && (len(c.TimeoutShares) != 2 || !(c.TimeoutShares[0] > 0) || c.TimeoutShares[1] < c.TimeoutShares[0] || c.TimeoutShares[1] > 1):
		return fmt.Errorf("clients: patience %v: two shares, the lesser first, are meant", c.TimeoutShares)
	case c.RetryAfterShare < 0 || c.RetryAfterShare > 1 || s.Daily.Swing < 0 || s.Daily.Swing > 1:
		return fmt.Errorf("clients: heeds %v, daily: swing %v: shares are meant", c.RetryAfterShare, s.Daily.Swing)
	case s.Quotas.SidecarShare < 0 || s.Quotas.SidecarShare > 1 || s.Quotas.SidecarShare > 0 && (len(s.Tenants) == 0 || slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return !(t.Quota > 0) })):
		return fmt.Errorf("quotas: a part of %v: 0 to 1, and tenants with a quota each, are meant", s.Quotas.SidecarShare)
	case s.List.WatchRequired && s.List.Membership:
		return fmt.Errorf("list: asked and membership: one of the two is meant")
	case s.Network.Delay < 0 || s.List.MaxDelay < 0 || s.Network.HandshakeWork < 0 || c.MaxRetryAfter < 0 || c.RetryBackoff < 0 || s.TrafficSkew < 0 || s.Slots < 0:
		return fmt.Errorf("a delay, a lag, a pause, skew or slots below 0")
	case !slices.Contains(knownPolicies, s.Policy):
		return fmt.Errorf("policy %q is not known: one of %q is meant", s.Policy, knownPolicies)
	case !slices.Contains(knownRetries, s.Retries):
		return fmt.Errorf("retries %q are not known: one of %q is meant", s.Retries, knownRetries)
	}
	return nil
}

func (c *Class) check() error {
	switch {
	case !(c.Share > 0) || c.Work <= 0 || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective:
		return fmt.Errorf("share %v, work %v, aim %v and deadline %v: all above 0 are needed, the deadline not before the aim", c.Share, c.Work, c.LatencyObjective, c.Deadline)
	case c.WorkDistribution != Exponential && c.WorkDistribution != Fixed && c.WorkDistribution != LogNormal:
		return fmt.Errorf("spread %q is not known: %q, %q or nothing is meant", c.WorkDistribution, Fixed, LogNormal)
	case c.WorkDistribution == LogNormal && !(c.CoefficientOfVariation > 0):
		return fmt.Errorf("log-normal work with a cv of %v: above 0 is needed", c.CoefficientOfVariation)
	}
	return nil
}

func (t *Fault) check(s *Scenario) error {
	switch {
	case !slices.Contains(faultKinds, t.Kind):
		return fmt.Errorf("kind %q is not known: one of %q is meant", t.Kind, faultKinds)
	case t.Node < 0 || t.Node >= s.Nodes || t.Start < 0 || t.Duration < 0 || t.Period < 0 || t.NodeShare < 0 || t.NodeShare > 1:
		return fmt.Errorf("node %d of %d, or a share of %v, at %v for %v, every %v: what there is is meant, and no time below 0", t.Node, s.Nodes, t.NodeShare, t.Start, t.Duration, t.Period)
	case (t.Kind == StealCPU || t.Kind == ResetConnections) && !(t.Share > 0 && t.Share <= 1):
		return fmt.Errorf("%s with a share of %v: above 0, and 1 at most, is meant", t.Kind, t.Share)
	case t.Kind == TrafficBurst && (!(t.RateFactor >= 0) || t.Tenant < 0 || t.Tenant >= max(1, len(s.Tenants)) || t.Duration == 0):
		return fmt.Errorf("burst of %v times of tenant %d for %v: a multiple, a tenant that there is and a time are meant", t.RateFactor, t.Tenant, t.Duration)
	case (t.Kind == ListOutage || t.Kind == IncompleteList || t.Kind == StaleList) && t.Duration == 0:
		return fmt.Errorf("%s without a time: for how long is needed", t.Kind)
	}
	return nil
}
