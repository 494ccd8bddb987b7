package membership

import "time"

// Status is the state of an instance as a source reports it, with the statuses of Eureka. A greater
// value is a stricter status: if two statuses differ, the greater one applies.
type Status int

// The statuses, from the least to the most strict. A status that is not listed here is Unknown.
const (
	Up Status = iota
	Starting
	Unknown
	Down
	OutOfService
)

// String returns the name that Eureka uses for the status.
func (s Status) String() string {
	return [...]string{"UP", "STARTING", "UNKNOWN", "DOWN", "OUT_OF_SERVICE"}[s]
}

// Instance is one instance as a source reports it.
type Instance struct {
	ID          string // unique within its source; an instance without an ID is ignored
	Name        string // shown to operators and matched by the patterns of pools
	Addr        string // IP address and port; identifies an endpoint across sources
	Status      Status // with any override applied
	Zone        string
	MachineType string
	Cell        string // empty: shares its idempotency keys with no other instance
	Protocol    string
	Weight      float64
	StartedAt   time.Duration // Unix time at which its process started; 0: not known
	// LastDirty and LastUpdated order the updates of one instance. LastDirty is a time from the
	// clock of the instance, LastUpdated a time from the clock of its registry. They are never
	// compared with any other time, because either clock may be wrong.
	LastDirty, LastUpdated int64
}

// Op is the operation of a Delta.
type Op int

// The operations of a Delta.
const (
	Put    Op = iota // the instance was registered or modified; both are handled in the same way
	Delete           // the instance was deregistered
)

// Delta is one change to a source's list.
type Delta struct {
	Op Op
	Instance
}
