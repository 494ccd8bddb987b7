package membership

import "time"

// Status is the state of an instance as a source reports it, in Eureka's words. A greater
// status is a stricter one: of two, the greater one applies.
type Status int

// The statuses. Any other word of a source is Unknown.
const (
	Up Status = iota
	Starting
	Unknown
	Down
	OutOfService
)

// String returns the status in Eureka's words.
func (s Status) String() string {
	return [...]string{"UP", "STARTING", "UNKNOWN", "DOWN", "OUT_OF_SERVICE"}[s]
}

// Instance is one instance as a source reports it.
type Instance struct {
	ID          string // unique in its source; an instance without one is ignored
	Name        string // for operators and for the patterns of pools
	Addr        string // IP address and port; identifies an endpoint across sources
	Status      Status // with an override applied
	Zone        string
	MachineType string
	Cell        string // empty: it shares its keys with no other
	Protocol    string
	Weight      float64
	StartedAt   time.Duration // Unix time of its process's start; 0: not known
	// Dirty and Updated order the updates of one instance: Dirty is a time by its own clock,
	// Updated one by its registry's. They are compared with nothing else, as either clock may
	// be wrong.
	Dirty, Updated int64
}

// Op is the operation of a Delta.
type Op int

// The operations of a Delta.
const (
	Put    Op = iota // registered or modified: the two are handled alike
	Delete           // deregistered
)

// Delta is one change of a source's list.
type Delta struct {
	Op Op
	Instance
}
