package operator

import "fmt"

// Class is a [[class]] table: a kind of requests. There must be one at least.
type Class struct {
	Name             string      `toml:"name"`
	Idempotency      Idempotency `toml:"effect"`
	LatencyObjective Duration    `toml:"aim"`      // a response by then earns its full value
	Deadline         Duration    `toml:"deadline"` // when a client gives up, retries included
	PriorityWeight   float64     `toml:"worth"`    // against the other classes; 0: 1
	DedupWindow      Duration    `toml:"window"`   // keyed: how long endpoints drop a repeat, from the first send on
	DedupScope       DedupScope  `toml:"scope"`    // keyed: which endpoints do; empty: ScopeCell
}

// Idempotency says what a repeat of a request does.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "safe"   // nothing
	IdempotentByKey Idempotency = "keyed"  // nothing where its key is known
	NotIdempotent   Idempotency = "unsafe" // its effect once more
)

func (i Idempotency) check() error {
	return oneOf(string(i), string(Idempotent), string(IdempotentByKey), string(NotIdempotent))
}

// DedupScope says which endpoints know a key that one of them has seen.
type DedupScope string

// The scopes. Empty stands for ScopeCell, the strictest.
const (
	ScopeCell DedupScope = "cell"
	ScopeZone DedupScope = "zone"
	ScopeAll  DedupScope = "all"
)

func (s DedupScope) check() error {
	return oneOf(string(s), string(ScopeCell), string(ScopeZone), string(ScopeAll))
}

func checkClasses(classes []Class, d *decoder) {
	names := d.newNames("class")
	for i := range classes {
		path := fmt.Sprintf("class[%d]", i)
		classes[i].check(path, d)
		names.add(path, classes[i].Name)
	}
}

func (c *Class) check(path string, d *decoder) {
	d.require(path, "name", c.Name == "", "the name that requests have for it is meant")
	d.require(path, "effect", c.Idempotency == "", "%q, %q or %q is meant", Idempotent, IdempotentByKey, NotIdempotent)
	d.require(path, "aim", c.LatencyObjective == "", "%s is meant", c.LatencyObjective.meant())
	d.require(path, "deadline", c.Deadline == "", "%s is meant", c.Deadline.meant())
	if c.LatencyObjective.Value() > c.Deadline.Value() && c.Deadline != "" {
		d.reportAt(path+".aim", "%s is after the deadline of %s: no answer would be in time", c.LatencyObjective, c.Deadline)
	}
	if c.PriorityWeight < 0 {
		d.reportAt(path+".worth", "%v is negative: a number above 0 is meant", c.PriorityWeight)
	}
	if c.Idempotency == IdempotentByKey {
		d.require(path, "window", c.DedupWindow == "", "how long nodes drop a repeat of a keyed request is meant, such as \"600ms\"")
	} else if c.Idempotency != "" {
		c.checkNotKeyed(path, d)
	}
}

// checkNotKeyed reports keys that only a class that is idempotent by key has a use for.
func (c *Class) checkNotKeyed(path string, d *decoder) {
	for key, set := range map[string]bool{"window": c.DedupWindow != "", "scope": c.DedupScope != ""} {
		if set {
			d.reportAt(path+"."+key, "this is for classes with effect = %q", IdempotentByKey)
		}
	}
}
