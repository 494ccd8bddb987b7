package operator

import "fmt"

// Class is a [[class]] table: one kind of request. A file with a [sidecar] table needs at
// least one.
type Class struct {
	Name             string      `toml:"name"`
	Idempotency      Idempotency `toml:"effect"`
	LatencyObjective Duration    `toml:"aim"`      // a response within this time has its full value
	Deadline         Duration    `toml:"deadline"` // how long a client waits in total, including its retries
	PriorityWeight   float64     `toml:"worth"`    // value of a response relative to the other classes; 0: 1

	// DedupWindow is how long endpoints drop repeats, counted from the first attempt. For
	// IdempotentByKey only.
	DedupWindow Duration `toml:"window"`
	// DedupScope says which endpoints drop repeats. For IdempotentByKey only; empty: ScopeCell.
	DedupScope DedupScope `toml:"scope"`
}

// Idempotency says what a repeat of a request does.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "safe"   // a repeat has no further effect
	IdempotentByKey Idempotency = "keyed"  // a repeat has no further effect at an endpoint that has recorded its key
	NotIdempotent   Idempotency = "unsafe" // a repeat takes effect again
)

func (i Idempotency) check() error {
	return oneOf(string(i), string(Idempotent), string(IdempotentByKey), string(NotIdempotent))
}

// DedupScope is the group of endpoints that share the deduplication of idempotency keys.
type DedupScope string

// The scopes of deduplication. An empty value means ScopeCell, the strictest.
const (
	ScopeCell DedupScope = "cell"
	ScopeZone DedupScope = "zone"
	ScopeAll  DedupScope = "all"
)

func (s DedupScope) check() error {
	return oneOf(string(s), string(ScopeCell), string(ScopeZone), string(ScopeAll))
}

func checkClasses(classes []Class, d *decoder) {
	names := d.newUniqueNames("class")
	for i := range classes {
		path := fmt.Sprintf("class[%d]", i)
		classes[i].check(path, d)
		names.add(path, classes[i].Name)
	}
}

func (c *Class) check(path string, d *decoder) {
	d.require(path, "name", c.Name == "", "must be the name by which requests refer to the class")
	d.require(path, "effect", c.Idempotency == "", "must be %q, %q or %q", Idempotent, IdempotentByKey, NotIdempotent)
	d.require(path, "aim", c.LatencyObjective == "", "must be %s", c.LatencyObjective.expected())
	d.require(path, "deadline", c.Deadline == "", "must be %s", c.Deadline.expected())
	if c.LatencyObjective.Value() > c.Deadline.Value() && c.Deadline != "" {
		d.reportAt(path+".aim", "must not be after the deadline of %[2]s, got %[1]s: a response by then would be too late",
			c.LatencyObjective, c.Deadline)
	}
	if c.PriorityWeight < 0 {
		d.reportAt(path+".worth", "must be a number above 0, or 0 for the default of 1, got %v", c.PriorityWeight)
	}
	if c.Idempotency == IdempotentByKey {
		d.require(path, "window", c.DedupWindow == "",
			"must be how long endpoints drop repeats of a keyed request, such as \"600ms\"")
	} else if c.Idempotency != "" {
		c.checkNotKeyed(path, d)
	}
}

// checkNotKeyed reports keys that apply only to a class that is idempotent by key.
func (c *Class) checkNotKeyed(path string, d *decoder) {
	for key, isSet := range map[string]bool{"window": c.DedupWindow != "", "scope": c.DedupScope != ""} {
		if isSet {
			d.reportAt(path+"."+key, "applies only to classes with effect = %q", IdempotentByKey)
		}
	}
}
