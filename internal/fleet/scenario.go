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
	Seed     uint64        `toml:"seed,omitempty"`
	Policy   Policy        `toml:"policy,omitempty"` // what decides in every sidecar
	Duration time.Duration `toml:"duration"`         // new requests come for this long
	Nodes    int           `toml:"nodes"`
	Sidecars int           `toml:"sidecars"`
	Rate     float64       `toml:"rate,omitempty"` // first tries a second, over all sidecars; 0: as Load has it
	Load     float64       `toml:"load,omitempty"` // in place of Rate: work asked for, over what all nodes can do
	Skew     float64       `toml:"skew,omitempty"` // sidecar number i has a part of 1/i^Skew of the traffic; 0: even parts
	Node     NodeParams    `toml:"node"`
	Speeds   []float64     `toml:"speeds,omitempty"` // of the nodes, in turn, times Node.Speed; none: 1
	Network  Network       `toml:"network,omitempty"`
	List     List          `toml:"list,omitempty"`
	Classes  []Class       `toml:"class"`
	Tenants  []Tenant      `toml:"tenant,omitempty"` // none: one
	Slots    int           `toml:"slots,omitempty"`  // of each sidecar; 0: the module's own
	Attempts int           `toml:"attempts"`         // for one request, at most
	Probes   bool          `toml:"probes,omitempty"` // nodes tell what they hold
	Retries  Retries       `toml:"retries,omitempty"`
	Quotas   Quotas        `toml:"quotas,omitempty"`
	Clients  Clients       `toml:"clients"`
	Daily    Wave          `toml:"daily,omitempty"`
	Replay   []Arrival     `toml:"arrival,omitempty"` // in place of drawn arrivals, in order of time
	Troubles []Trouble     `toml:"trouble,omitempty"`

	// MostEvents ends a run that would not end; 0 stands for a hundred million.
	MostEvents uint64 `toml:"most_events,omitempty"`
	// Watch is a request of which the result tells all that happened; 0: none.
	Watch policy.RequestID `toml:"-"`
	// Observe keeps how busy each node was in each window, for pictures.
	Observe bool `toml:"-"`
}

// Class is a kind of requests.
type Class struct {
	Name     string        `toml:"name,omitempty"`
	Share    float64       `toml:"share"` // of the requests, against the other classes'
	Work     time.Duration `toml:"work"`  // mean, of a core of speed 1
	Spread   Spread        `toml:"spread,omitempty"`
	CV       float64       `toml:"cv,omitempty"` // of log-normal work: standard deviation over mean
	Aim      time.Duration `toml:"aim"`
	Deadline time.Duration `toml:"deadline"`
	Effect   Effect        `toml:"effect"`
	Scope    Scope         `toml:"scope,omitempty"`  // keyed: which nodes drop a repeat
	Window   time.Duration `toml:"window,omitempty"` // keyed: for how long, from when the first may have run
}

// Spread is how the work of a class is distributed.
type Spread string

// The spreads.
const (
	Exponential Spread = ""
	Fixed       Spread = "fixed"
	LogNormal   Spread = "log-normal"
)

// Effect is policy.Effect by name: safe, keyed or unsafe.
type Effect policy.Idempotency

// Scope is policy.Scope by name: all or cell. Each node is a cell of its own
// unless Scenario.List has cells of more.
type Scope policy.DedupScope

var (
	effects = []string{"safe", "keyed", "unsafe"}
	scopes  = []string{"all", "zone", "cell"}
)

// UnmarshalText reads an effect's name.
func (e *Effect) UnmarshalText(b []byte) error { return named(effects, string(b), (*int)(e)) }

// MarshalText writes it.
func (e Effect) MarshalText() ([]byte, error) { return []byte(effects[e]), nil }

// UnmarshalText reads a scope's name.
func (s *Scope) UnmarshalText(b []byte) error { return named(scopes, string(b), (*int)(s)) }

// MarshalText writes it.
func (s Scope) MarshalText() ([]byte, error) { return []byte(scopes[s]), nil }

func named(names []string, name string, to *int) error {
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
	Part    float64         `toml:"part,omitempty"`    // of every quota, that each sidecar may use; 0: there are none
	Windows []time.Duration `toml:"windows,omitempty"` // none: 1 s and 10 s
	Reclaim time.Duration   `toml:"reclaim,omitempty"`
	Repay   float64         `toml:"repay,omitempty"`
	DebtAge time.Duration   `toml:"debt_age,omitempty"`
	Lends   bool            `toml:"lends,omitempty"` // else each has its own share and no more
}

// Network is what lies between a sidecar and a node.
type Network struct {
	Delay time.Duration `toml:"delay,omitempty"` // mean, one way, exponential
	// Connections are modelled where a handshake costs something.
	Handshake time.Duration `toml:"handshake,omitempty"` // work of a node for a new one
	Trips     int           `toml:"trips,omitempty"`     // round trips before the first byte of a request
	Idle      time.Duration `toml:"idle,omitempty"`      // closed after this; 0: kept
	Most      int           `toml:"most,omitempty"`      // that a node accepts; 0: any number
}

// List is how sidecars hear of nodes.
type List struct {
	Lag        time.Duration `toml:"lag,omitempty"`        // longest delay of news, even from 0
	Asked      bool          `toml:"asked,omitempty"`      // not pushed: sidecars subscribe, and lose that when the list falls silent
	Membership bool          `toml:"membership,omitempty"` // by way of the membership module
	Cell       int           `toml:"cell,omitempty"`       // nodes that remember keys in common; 0: one
}

// Clients is what clients do beside arriving.
type Clients struct {
	Tries    int           `toml:"tries"`               // of one, its first among them
	Patience []float64     `toml:"patience,omitempty"`  // a try waits for a share of the deadline, even between two; none: for all that is left
	Heeds    float64       `toml:"heeds,omitempty"`     // share that stays away for as long as it is told
	MaxPause time.Duration `toml:"max_pause,omitempty"` // the longest pause that is heeded, and told
	Pause    time.Duration `toml:"pause,omitempty"`     // of the rest, doubled each time; 0: at once
	Insists  bool          `toml:"insists,omitempty"`   // safe requests are tried again after a failure as well
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
	Cores          int           `toml:"cores"`
	Speed          float64       `toml:"speed"`           // of a core
	Queue          int           `toml:"queue,omitempty"` // requests that it holds at most; 0: any number
	ColdFrom       float64       `toml:"cold_from,omitempty"`
	ColdTime       time.Duration `toml:"cold_time,omitempty"`       // from ColdFrom of its speed right after a start to all of it
	ColdMultiple   float64       `toml:"cold_multiple,omitempty"`   // work offered, over what it can do while cold, above which it falls over
	Fresh          bool          `toml:"fresh,omitempty"`           // all have just started when the run begins
	KeepsAbandoned bool          `toml:"keeps_abandoned,omitempty"` // it works on what nobody waits for any more
	Choke          Choke         `toml:"choke,omitempty"`
}

// Choke is the slow state after overload.
type Choke struct {
	Above   float64       `toml:"above,omitempty"`   // requests held for each core that crowd a node
	After   time.Duration `toml:"after,omitempty"`   // crowded this long, it is slow
	Times   float64       `toml:"times,omitempty"`   // slower; 1 or less: there is no such state
	Rest    time.Duration `toml:"rest,omitempty"`    // half idle this long, it is over
	Longest time.Duration `toml:"longest,omitempty"` // and after this in any case; 0: never
}

// Trouble is something that happens.
type Trouble struct {
	Kind   TroubleKind   `toml:"kind"`
	At     time.Duration `toml:"at"`
	For    time.Duration `toml:"for,omitempty"`    // 0: for good
	Node   int           `toml:"node,omitempty"`   // to which it happens
	Of     float64       `toml:"of,omitempty"`     // in place of Node: to this share of the nodes, drawn by the seed
	Share  float64       `toml:"share,omitempty"`  // steal: of the cores; break: of the answers
	Every  time.Duration `toml:"every,omitempty"`  // steal: on for half of this, off for the other; 0: on
	Tenant int           `toml:"tenant,omitempty"` // burst: whose
	Times  float64       `toml:"times,omitempty"`  // burst: its usual traffic
}

// TroubleKind is a kind of Trouble.
type TroubleKind string

// The kinds of trouble.
const (
	Hang      TroubleKind = "hang"       // it takes requests and answers none
	Mute      TroubleKind = "mute"       // it runs them, but nothing comes back from it
	Deaf      TroubleKind = "deaf"       // nothing comes to it
	Break     TroubleKind = "break"      // answers are lost with their connections
	Steal     TroubleKind = "steal"      // others take a share of its cores
	Drain     TroubleKind = "drain"      // the list says so; then it is back
	Restart   TroubleKind = "restart"    // what it holds is lost; it is off for as long as For says, then cold
	Silent    TroubleKind = "silent"     // no news of any node reaches a sidecar; they come after it
	Wrong     TroubleKind = "wrong"      // the list leaves nodes out that are there
	Stale     TroubleKind = "stale"      // the list is told as it was For ago, and right again after its lag
	Burst     TroubleKind = "burst"      // a tenant sends a multiple of its usual traffic
	PowerCut  TroubleKind = "power-cut"  // all nodes and sidecars are off for a while, and start at once
	SidecarUp TroubleKind = "sidecar-up" // all sidecars start anew, what they held is lost
)

var kinds = []TroubleKind{Hang, Mute, Deaf, Break, Steal, Drain, Restart, Silent, Wrong, Stale, Burst, PowerCut, SidecarUp}

// work is the mean work of a request, in seconds.
func (s *Scenario) work() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range s.Classes {
		sum += c.Share * c.Work.Seconds()
		shares += c.Share
	}
	return sum / shares
}

// NodeAt is what a node can do, by its number.
func (s *Scenario) NodeAt(i int) NodeParams {
	p := s.Node
	if len(s.Speeds) > 0 {
		p.Speed *= s.Speeds[i%len(s.Speeds)]
	}
	return p
}

// Weight is the work that a node can do in a second, in seconds of a core of speed 1.
func (s *Scenario) Weight(i int) float64 { return s.NodeAt(i).Speed * float64(s.Node.Cores) }

// Capacity is the work that all nodes can do in a second, in seconds of a core of speed 1.
func (s *Scenario) Capacity() float64 {
	sum := 0.0
	for i := range s.Nodes {
		sum += s.Weight(i)
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
	for i, t := range s.Troubles {
		if err := t.check(s); err != nil {
			return fmt.Errorf("scenario: trouble %d: %w", i, err)
		}
	}
	for i, a := range s.Replay {
		if a.Class < 0 || a.Class >= len(s.Classes) || a.Tenant < 0 || a.Tenant >= max(1, len(s.Tenants)) || a.At < 0 || a.Work < 0 || i > 0 && a.At < s.Replay[i-1].At {
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
	case len(s.Replay) == 0 && (s.Rate > 0) == (s.Load > 0) || s.Rate < 0 || s.Load < 0:
		return fmt.Errorf("a rate of %v and a load of %v: one of the two above 0 is needed", s.Rate, s.Load)
	case s.Node.Cores < 1 || !(s.Node.Speed > 0) || slices.ContainsFunc(s.Speeds, func(v float64) bool { return !(v > 0) }):
		return fmt.Errorf("nodes of %d cores of speed %v, times %v: all above 0 are needed", s.Node.Cores, s.Node.Speed, s.Speeds)
	case s.Node.ColdFrom < 0 || s.Node.ColdFrom > 1 || s.Node.ColdTime < 0 || s.Node.ColdTime > 0 && s.Node.ColdFrom == 0:
		return fmt.Errorf("nodes cold from %v for %v: a share above 0 and a time are needed", s.Node.ColdFrom, s.Node.ColdTime)
	case s.Node.Choke.Times > 1 && (s.Node.Choke.After <= 0 || s.Node.Choke.Rest <= 0 || !(s.Node.Choke.Above > 0)):
		return fmt.Errorf("choke: above %v, after %v and rest %v: all above 0 are needed", s.Node.Choke.Above, s.Node.Choke.After, s.Node.Choke.Rest)
	case len(s.Classes) == 0:
		return fmt.Errorf("no class of requests: at least one [[class]] is needed")
	case s.Attempts < 1 || c.Tries < 1:
		return fmt.Errorf("%d attempts and %d tries of clients: at least one of each is needed", s.Attempts, c.Tries)
	case len(c.Patience) != 0 && (len(c.Patience) != 2 || !(c.Patience[0] > 0) || c.Patience[1] < c.Patience[0] || c.Patience[1] > 1):
		return fmt.Errorf("clients: patience %v: two shares, the lesser first, are meant", c.Patience)
	case c.Heeds < 0 || c.Heeds > 1 || s.Daily.Swing < 0 || s.Daily.Swing > 1:
		return fmt.Errorf("clients: heeds %v, daily: swing %v: shares are meant", c.Heeds, s.Daily.Swing)
	case s.Quotas.Part < 0 || s.Quotas.Part > 1 || s.Quotas.Part > 0 && (len(s.Tenants) == 0 || slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return !(t.Quota > 0) })):
		return fmt.Errorf("quotas: a part of %v: 0 to 1, and tenants with a quota each, are meant", s.Quotas.Part)
	case s.List.Asked && s.List.Membership:
		return fmt.Errorf("list: asked and membership: one of the two is meant")
	case s.Network.Delay < 0 || s.List.Lag < 0 || s.Network.Handshake < 0 || c.MaxPause < 0 || c.Pause < 0 || s.Skew < 0 || s.Slots < 0:
		return fmt.Errorf("a delay, a lag, a pause, skew or slots below 0")
	case !slices.Contains(policies, s.Policy):
		return fmt.Errorf("policy %q is not known: one of %q is meant", s.Policy, policies)
	case !slices.Contains(retries, s.Retries):
		return fmt.Errorf("retries %q are not known: one of %q is meant", s.Retries, retries)
	}
	return nil
}

func (c *Class) check() error {
	switch {
	case !(c.Share > 0) || c.Work <= 0 || c.Aim <= 0 || c.Deadline < c.Aim:
		return fmt.Errorf("share %v, work %v, aim %v and deadline %v: all above 0 are needed, the deadline not before the aim", c.Share, c.Work, c.Aim, c.Deadline)
	case c.Spread != Exponential && c.Spread != Fixed && c.Spread != LogNormal:
		return fmt.Errorf("spread %q is not known: %q, %q or nothing is meant", c.Spread, Fixed, LogNormal)
	case c.Spread == LogNormal && !(c.CV > 0):
		return fmt.Errorf("log-normal work with a cv of %v: above 0 is needed", c.CV)
	}
	return nil
}

func (t *Trouble) check(s *Scenario) error {
	switch {
	case !slices.Contains(kinds, t.Kind):
		return fmt.Errorf("kind %q is not known: one of %q is meant", t.Kind, kinds)
	case t.Node < 0 || t.Node >= s.Nodes || t.At < 0 || t.For < 0 || t.Every < 0 || t.Of < 0 || t.Of > 1:
		return fmt.Errorf("node %d of %d, or a share of %v, at %v for %v, every %v: what there is is meant, and no time below 0", t.Node, s.Nodes, t.Of, t.At, t.For, t.Every)
	case (t.Kind == Steal || t.Kind == Break) && !(t.Share > 0 && t.Share <= 1):
		return fmt.Errorf("%s with a share of %v: above 0, and 1 at most, is meant", t.Kind, t.Share)
	case t.Kind == Burst && (!(t.Times >= 0) || t.Tenant < 0 || t.Tenant >= max(1, len(s.Tenants)) || t.For == 0):
		return fmt.Errorf("burst of %v times of tenant %d for %v: a multiple, a tenant that there is and a time are meant", t.Times, t.Tenant, t.For)
	case (t.Kind == Silent || t.Kind == Wrong || t.Kind == Stale) && t.For == 0:
		return fmt.Errorf("%s without a time: for how long is needed", t.Kind)
	}
	return nil
}
