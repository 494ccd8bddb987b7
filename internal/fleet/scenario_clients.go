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
	// WorkDistribution is the distribution of the work around its mean; empty: Exponential.
	WorkDistribution WorkDistribution `toml:"spread,omitempty"`
	// CoefficientOfVariation of log-normal work: standard deviation / mean; above 0.
	CoefficientOfVariation float64 `toml:"cv,omitempty"`
	// LatencyObjective within which a response earns its full value.
	LatencyObjective time.Duration `toml:"aim"`
	// Deadline of the client for all submissions of a request; at least LatencyObjective.
	Deadline time.Duration `toml:"deadline"`
	// Idempotency says whether the request may run more than once.
	Idempotency Idempotency `toml:"effect"`
	// DedupScope determines which nodes drop a request with a repeated idempotency key.
	DedupScope DedupScope `toml:"scope,omitempty"`
	// DedupWindow is how long these nodes drop repeats, from the time at which the first attempt may have run.
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
	idempotencyNames = []string{"safe", "keyed", "unsafe"} // indexed by policy.Idempotency
	dedupScopeNames  = []string{"all", "zone", "cell"}     // indexed by policy.DedupScope
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

// parseName sets a value to the index of a name in names; an unknown name is an error.
func parseName(names []string, name string, value *int) error {
	i := slices.Index(names, name)
	if i < 0 {
		return fmt.Errorf("unknown name %q: must be one of %s", name, strings.Join(names, ", "))
	}
	*value = i
	return nil
}

// Tenant is a customer with a share of the traffic.
type Tenant struct {
	Name string `toml:"name,omitempty"`
	// Share of the requests, in proportion to the other tenants' shares.
	Share float64 `toml:"share"`
	// Quota is the tenant's quota in requests per second at all sidecars together; 0: no quota is known.
	Quota float64 `toml:"quota,omitempty"`
}

// Clients determines how clients wait for a response and retry.
type Clients struct {
	// MaxSubmissions is the largest number of submissions of a request, client retries included; at least 1.
	MaxSubmissions int `toml:"tries"`
	// TimeoutShares are the least and the greatest share of the deadline for which a client waits for the response to
	// one submission, uniformly distributed; none: the client waits until its deadline.
	TimeoutShares []float64 `toml:"patience,omitempty"`
	// RetryAfterShare is the share of rejections, 0 to 1, after which the client waits as long as Retry-After says.
	RetryAfterShare float64 `toml:"heeds,omitempty"`
	// MaxRetryAfter is the longest Retry-After that sidecars send; 0: no bound.
	MaxRetryAfter time.Duration `toml:"max_pause,omitempty"`
	// RetryBackoff is the mean backoff before a client retry without Retry-After, doubled for each further retry; 0: no
	// backoff.
	RetryBackoff time.Duration `toml:"pause,omitempty"`
	// RetryAfterFailure means that clients also submit idempotent requests again after a failure.
	RetryAfterFailure bool `toml:"insists,omitempty"`
}

// RateVariation varies the arrival rate as a sine, like the variation over a day.
type RateVariation struct {
	// Period of the sine; 0: the rate is constant.
	Period time.Duration `toml:"period,omitempty"`
	// Amplitude is a share of the mean rate, 0 to 1.
	Amplitude float64 `toml:"swing,omitempty"`
}

// Arrival is a recorded request.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration `toml:"at"`
	// Class is an index into Scenario.Classes.
	Class int `toml:"class,omitempty"`
	// Tenant is an index into Scenario.Tenants.
	Tenant int `toml:"tenant,omitempty"`
	// Work of the request; 0: the work is drawn from the distribution of the class.
	Work time.Duration `toml:"work,omitempty"`
}
