package operator

// Limits is the [limits] table: bounds of the process. All but Slots apply
// only with a [sidecar] table; else the platform sets them.
type Limits struct {
	// Slots is how many attempts may be in flight at once, of all tenants together; 0: the number
	// that the settings give.
	Slots    Count   `toml:"slots"`
	Sockets  Count   `toml:"sockets"`   // file descriptors, 64 at least; 0: 1024
	MemoryMB Count   `toml:"memory_mb"` // in MiB, 16 at least; 0: no limit
	Cores    float64 `toml:"cores"`     // 0: all
}

// What a process needs at least.
const (
	minSockets  = 64
	minMemoryMB = 16
)

func (l *Limits) check(d *decoder) {
	if l.Sockets > 0 && l.Sockets < minSockets {
		d.reportAt("limits.sockets", "%d are too few: at least %d are needed", l.Sockets, minSockets)
	}
	if l.MemoryMB > 0 && l.MemoryMB < minMemoryMB {
		d.reportAt("limits.memory_mb", "%d is too little: at least %d is needed", l.MemoryMB, minMemoryMB)
	}
	if l.Cores < 0 {
		d.reportAt("limits.cores", "%v is no number of cores", l.Cores)
	}
}
