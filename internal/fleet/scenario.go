package fleet

import (
	"time"

	"mothridge/policy"
)

// Scenario is the complete input of a run. The toml names are the settings of a scenario file
// (docs/operate/laboratory.md), which stay as they are. A setting that is left out has its zero value.
type Scenario struct {
	// Seed of all random number streams.
	Seed uint64 `toml:"seed,omitempty"`
	// Policy that decides in every sidecar; empty: Mothridge.
	Policy Policy `toml:"policy,omitempty"`
	// Duration in which new requests arrive. The run ends when the last of them is complete.
	Duration time.Duration `toml:"duration"`
	// Nodes is the number of nodes, 1 at least.
	Nodes int `toml:"nodes"`
	// Sidecars is the number of sidecars, 1 at least.
	Sidecars int `toml:"sidecars"`
	// ArrivalRate is the number of new requests a second at all sidecars together; 0: OfferedLoad decides.
	ArrivalRate float64 `toml:"rate,omitempty"`
	// OfferedLoad decides the arrival rate: work that arrives / work that all nodes can do. One of the two is set.
	OfferedLoad float64 `toml:"load,omitempty"`
	// TrafficSkew is the exponent of Zipf's law: sidecar i has 1/i^TrafficSkew of the traffic; 0: all have the same.
	TrafficSkew float64 `toml:"skew,omitempty"`
	// Node is what each node can do.
	Node NodeParams `toml:"node"`
	// SpeedFactors of the nodes, by number modulo their count, multiplied with Node.Speed; none: 1.
	SpeedFactors []float64 `toml:"speeds,omitempty"`
	// Network between sidecars and nodes.
	Network Network `toml:"network,omitempty"`
	// List is how sidecars learn of the nodes.
	List EndpointList `toml:"list,omitempty"`
	// Classes of requests, one at least.
	Classes []Class `toml:"class"`
	// Tenants; none: a single one.
	Tenants []Tenant `toml:"tenant,omitempty"`
	// Slots of each sidecar; 0: the decision module's default.
	Slots int `toml:"slots,omitempty"`
	// MaxAttempts for one submission, 1 at least.
	MaxAttempts int `toml:"attempts"`
	// LoadReports: nodes respond to probes with the number of requests that they hold.
	LoadReports bool `toml:"probes,omitempty"`
	// Retries is when a reference policy sends a further attempt.
	Retries RetryMode `toml:"retries,omitempty"`
	// Quotas in front of each sidecar's balancer.
	Quotas Quotas `toml:"quotas,omitempty"`
	// Clients is how clients wait and retry.
	Clients Clients `toml:"clients"`
	// Daily variation of the arrival rate.
	Daily Wave `toml:"daily,omitempty"`
	// RecordedArrivals replace the drawn ones, in order of time.
	RecordedArrivals []Arrival `toml:"arrival,omitempty"`
	// Faults to inject.
	Faults []Fault `toml:"trouble,omitempty"`

	// MaxEvents ends a run that would not end; 0: defaultMaxEvents.
	MaxEvents uint64 `toml:"most_events,omitempty"`
	// ExplainRequest is a submission of which Result.Explanation gives all that happened; 0: none.
	ExplainRequest policy.RequestID `toml:"-"`
	// RecordUtilisation fills Result.WindowUtilisation.
	RecordUtilisation bool `toml:"-"`
}

const defaultMaxEvents = 100_000_000

// NodeParams is what a node can do.
type NodeParams struct {
	// Cores of the node, 1 at least.
	Cores int `toml:"cores"`
	// Speed of a core, above 0: work is given in time on a core of speed 1.
	Speed float64 `toml:"speed"`
	// MaxRequests that it holds; 0: any number. It rejects the others.
	MaxRequests int `toml:"queue,omitempty"`
	// InitialSpeedShare is the share of its speed, 0 to 1, that a process has at its start.
	InitialSpeedShare float64 `toml:"cold_from,omitempty"`
	// WarmUpTime from the start until a process has its full speed; 0: it has it at once.
	WarmUpTime time.Duration `toml:"cold_time,omitempty"`
	// WarmUpOverloadFactor is the offered load / what the node can do while it warms up, above which it goes
	// down; 0: it does not.
	WarmUpOverloadFactor float64 `toml:"cold_multiple,omitempty"`
	// StartsCold: all processes have just started when the run begins.
	StartsCold bool `toml:"fresh,omitempty"`
	// KeepsAbandoned: the node completes requests even if their sidecar has given them up.
	KeepsAbandoned bool `toml:"keeps_abandoned,omitempty"`
	// OverloadCollapse of the node.
	OverloadCollapse OverloadCollapse `toml:"choke,omitempty"`
}

// OverloadCollapse is a state in which a node works more slowly after it was overloaded.
type OverloadCollapse struct {
	// RequestsPerCore that a node holds when it counts as overloaded.
	RequestsPerCore float64 `toml:"above,omitempty"`
	// OnsetTime of overload after which the node collapses.
	OnsetTime time.Duration `toml:"after,omitempty"`
	// Slowdown is by how much the node is slower; 1 or less: it never collapses.
	Slowdown float64 `toml:"times,omitempty"`
	// RecoveryTime for which the node has to be half idle until it recovers.
	RecoveryTime time.Duration `toml:"rest,omitempty"`
	// MaxDuration after which it recovers in any case; 0: no bound.
	MaxDuration time.Duration `toml:"longest,omitempty"`
}

// Network is the model of what is between a sidecar and a node.
type Network struct {
	// Delay is the mean of the exponentially distributed one-way delay.
	Delay time.Duration `toml:"delay,omitempty"`
	// HandshakeWork of the node for a new connection; 0: connections are not modelled.
	HandshakeWork time.Duration `toml:"handshake,omitempty"`
	// HandshakeRoundTrips before the first byte of a request.
	HandshakeRoundTrips int `toml:"trips,omitempty"`
	// IdleTimeout after which a connection is closed; 0: it stays open.
	IdleTimeout time.Duration `toml:"idle,omitempty"`
	// MaxConnections that a node accepts; 0: any number.
	MaxConnections int `toml:"most,omitempty"`
}

// EndpointList is how sidecars learn of the nodes.
type EndpointList struct {
	// MaxDelay of an update, uniformly distributed from 0.
	MaxDelay time.Duration `toml:"lag,omitempty"`
	// WatchRequired: updates are not pushed; sidecars send watch requests and lose the watch in a list outage.
	WatchRequired bool `toml:"asked,omitempty"`
	// Membership: updates pass through the membership module.
	Membership bool `toml:"membership,omitempty"`
	// CellSize is the number of nodes that share their idempotency keys; 0: 1.
	CellSize int `toml:"cell,omitempty"`
}

// Quotas puts the quota module in front of every sidecar's balancer: a root with the sum of all tenants' quotas and
// a node for each tenant.
type Quotas struct {
	// SidecarShare of every quota that each sidecar may use, 0 to 1; 0: no quotas.
	SidecarShare float64 `toml:"part,omitempty"`
	// Windows of the limits; none: 1 s and 10 s.
	Windows []time.Duration `toml:"windows,omitempty"`
	// LenderReserve is quota.Config's: time for which a lender's own demand is kept free.
	LenderReserve time.Duration `toml:"reclaim,omitempty"`
	// RepaymentShare is quota.Config's.
	RepaymentShare float64 `toml:"repay,omitempty"`
	// DebtLifetime is quota.Config's.
	DebtLifetime time.Duration `toml:"debt_age,omitempty"`
	// LendingAllowed: tenants may use what others leave; otherwise each has its own share and no more.
	LendingAllowed bool `toml:"lends,omitempty"`
}

// meanWork returns the mean work of a request, in seconds of a core of speed 1.
func (scenario *Scenario) meanWork() float64 {
	work, shares := 0.0, 0.0
	for _, class := range scenario.Classes {
		work += class.Share * class.Work.Seconds()
		shares += class.Share
	}
	return work / shares
}

// meanArrivalRate returns the requests a second at all sidecars together.
func (scenario *Scenario) meanArrivalRate() float64 {
	if scenario.OfferedLoad > 0 {
		return scenario.OfferedLoad * scenario.Capacity() / scenario.meanWork()
	}
	return scenario.ArrivalRate
}

// NodeParamsAt returns what a node can do, by its number from 0.
func (scenario *Scenario) NodeParamsAt(number int) NodeParams {
	params := scenario.Node
	if factors := scenario.SpeedFactors; len(factors) > 0 {
		params.Speed *= factors[number%len(factors)]
	}
	return params
}

// NodeCapacity returns the work that a node can do in a second, in seconds of a core of speed 1.
func (scenario *Scenario) NodeCapacity(number int) float64 {
	return scenario.NodeParamsAt(number).Speed * float64(scenario.Node.Cores)
}

// Capacity returns the work that all nodes can do in a second, in seconds of a core of speed 1.
func (scenario *Scenario) Capacity() float64 {
	sum := 0.0
	for number := range scenario.Nodes {
		sum += scenario.NodeCapacity(number)
	}
	return sum
}

// tenantCount returns the number of tenants; a scenario without tenants has one.
func (scenario *Scenario) tenantCount() int { return max(1, len(scenario.Tenants)) }
