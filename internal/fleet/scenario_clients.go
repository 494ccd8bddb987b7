package fleet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"mothridge/policy"
)

// Class is a kind of request.
type Class struct {
	Name string `toml:"name,omitempty"`
	// Share of the requests, in proportion to the other classes' shares; above 0.
	Share float64 `toml:"share"`
	// Work is the mean work of a request: its service time alone on a core of speed 1.
	Work time.Duration `toml:"work"`
	// WorkDistribution about the mean; empty: Exponential.
	WorkDistribution WorkDistribution `toml:"spread,omitempty"`
	// CoefficientOfVariation of log-normal work: standard deviation / mean.
	CoefficientOfVariation float64 `toml:"cv,omitempty"`
	// LatencyObjective within which a response earns its full value.
	LatencyObjective time.Duration `toml:"aim"`
	// Deadline of the client, for all its submissions, not before the objective.
	Deadline time.Duration `toml:"deadline"`
	// Idempotency is what repeating the request may do.
	Idempotency Idempotency `toml:"effect"`
	// DedupScope: which nodes drop a repeat of an idempotency key.
	DedupScope DedupScope `toml:"scope,omitempty"`
	// DedupWindow for which they drop it, from when the first attempt may have run.
	DedupWindow time.Duration `toml:"window,omitempty"`
}

// WorkDistribution is the distribution of a class's work.
type WorkDistribution string

// The distributions of work.
const (
	Exponential WorkDistribution = ""
	Fixed       WorkDistribution = "fixed"
	LogNormal   WorkDistribution = "log-normal"
)

// Idempotency is policy.Idempotency as scenario files name it: safe, keyed or unsafe.
type Idempotency policy.Idempotency

// DedupScope is policy.DedupScope as scenario files name it: all, zone or cell. Each node is a cell of its own
// unless Scenario.List.CellSize says otherwise.
type DedupScope policy.DedupScope

var (
	idempotencyNames = []string{"safe", "keyed", "unsafe"} // by value of policy.Idempotency
	dedupScopeNames  = []string{"all", "zone", "cell"}     // by value of policy.DedupScope
)

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name is an error.
func (idempotency *Idempotency) UnmarshalText(text []byte) error {
	return parseName(idempotencyNames, string(text), (*int)(idempotency))
}

// MarshalText implements encoding.TextMarshaler.
func (idempotency Idempotency) MarshalText() ([]byte, error) {
	return []byte(idempotencyNames[idempotency]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name is an error.
func (scope *DedupScope) UnmarshalText(text []byte) error {
	return parseName(dedupScopeNames, string(text), (*int)(scope))
}

// MarshalText implements encoding.TextMarshaler.
func (scope DedupScope) MarshalText() ([]byte, error) { return []byte(dedupScopeNames[scope]), nil }

// parseName sets a value to the index of a name.
func parseName(names []string, name string, value *int) error {
	i := slices.Index(names, name)
	if i < 0 {
		return fmt.Errorf("%q is not known: %s is meant", name, strings.Join(names, ", "))
	}
	*value = i
	return nil
}

// Tenant is a customer with a share of the traffic.
type Tenant struct {
	Name string `toml:"name,omitempty"`
	// Share of the requests, in proportion to the other tenants' shares.
	Share float64 `toml:"share"`
	// Quota in requests a second at all sidecars together; 0: none is known.
	Quota float64 `toml:"quota,omitempty"`
}

// Clients is how clients wait for a response and retry.
type Clients struct {
	// MaxSubmissions of one request to its sidecar: the first and the client retries; 1 at least.
	MaxSubmissions int `toml:"tries"`
	// TimeoutShares is the least and the greatest share of the deadline for which a client waits for one submission,
	// uniformly distributed; none: it waits for the time that is left.
	TimeoutShares []float64 `toml:"patience,omitempty"`
	// RetryAfterShare of the clients that wait as long as Retry-After says, 0 to 1.
	RetryAfterShare float64 `toml:"heeds,omitempty"`
	// MaxRetryAfter that sidecars send and clients follow; 0: no bound.
	MaxRetryAfter time.Duration `toml:"max_pause,omitempty"`
	// RetryBackoff of the other clients, doubled for each retry; 0: they retry at once.
	RetryBackoff time.Duration `toml:"pause,omitempty"`
	// RetriesFailures: idempotent requests are submitted again after a failure, too.
	RetriesFailures bool `toml:"insists,omitempty"`
}

// Wave varies the arrival rate by a sine, as in a day.
type Wave struct {
	// Period of the sine; 0: the rate is constant.
	Period time.Duration `toml:"period,omitempty"`
	// Swing is the amplitude as a share of the mean rate, 0 to 1.
	Swing float64 `toml:"swing,omitempty"`
}

// Arrival is a recorded request.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration `toml:"at"`
	// Class is an index into Scenario.Classes.
	Class int `toml:"class,omitempty"`
	// Tenant is an index into Scenario.Tenants.
	Tenant int `toml:"tenant,omitempty"`
	// Work of the request; 0: drawn as its class has it.
	Work time.Duration `toml:"work,omitempty"`
}
