package operator

// Limits is the [limits] table: bounds on the resources of the process. All but Slots are for
// files with a [sidecar] table; without one the platform sets them.
type Limits struct {
	// Slots bounds the attempts in flight of all tenants together; 0: the bound from the
	// settings.
	Slots    Count   `toml:"slots"`
	Sockets  Count   `toml:"sockets"`   // number of file descriptors, at least 64; 0: 1024
	MemoryMB Count   `toml:"memory_mb"` // in MiB, at least 16; 0: no limit
	Cores    float64 `toml:"cores"`     // 0: all cores
}

// The smallest limits with which a process can run.
const (
	minSockets  = 64
	minMemoryMB = 16
)

func (l *Limits) check(d *decoder) {
	if l.Sockets > 0 && l.Sockets < minSockets {
		d.reportAt("limits.sockets", "must be at least %[2]d, or 0 for the default, got %[1]d", l.Sockets, minSockets)
	}
	if l.MemoryMB > 0 && l.MemoryMB < minMemoryMB {
		d.reportAt("limits.memory_mb", "must be at least %[2]d, or 0 for no limit, got %[1]d", l.MemoryMB, minMemoryMB)
	}
	if l.Cores < 0 {
		d.reportAt("limits.cores", "must be a number of cores above 0, or 0 for all cores, got %v", l.Cores)
	}
}
