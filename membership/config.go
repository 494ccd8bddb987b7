package membership

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// The default values of the fields of Config.
const (
	DefaultMaxLoss           = 0.3
	DefaultLossWindow        = time.Minute
	DefaultLossHold          = 10 * time.Minute
	DefaultSilentAfter       = 90 * time.Second
	DefaultTombstoneLifetime = time.Minute
	DefaultStaleUpdateHold   = 30 * time.Second
	DefaultNewProcessPeriod  = 30 * time.Second
	DefaultMaxInstances      = 20000
)

// Config contains the limits and periods of a Set. A field that is zero takes its default value.
type Config struct {
	// MaxLoss is the maximum share of a source's instances, at least 0 and below 1, that may be
	// removed within LossWindow. If the source loses more, the instances are held: they stay in
	// the view with their last status. Default: 0.3.
	MaxLoss float64

	// LossWindow is the period over which the losses of a source are summed. Default: 1 min.
	LossWindow time.Duration

	// LossHold is how long an instance is held after a loss above MaxLoss before it is removed.
	// The instance is removed only while its source responds and lists at least one other
	// instance, so an empty list never removes an instance. Default: 10 min.
	LossHold time.Duration

	// SilentAfter is how long a polled source may fail to respond before it counts as silent.
	// The list of a silent source is kept until the source responds again, without a time limit.
	// Default: 90 s.
	SilentAfter time.Duration

	// TombstoneLifetime is how long the tombstone of a removed instance is kept, so that an older
	// list does not add the instance again. If another source still lists the address, the
	// endpoint drains for this time. Default: 1 min.
	TombstoneLifetime time.Duration

	// StaleUpdateHold is how long a source must repeat an update that looks older than the
	// current record before the update is applied. Default: 30 s.
	StaleUpdateHold time.Duration

	// NewProcessPeriod is how long a new process belongs to no cell if another process served
	// its address before. Default: 30 s.
	NewProcessPeriod time.Duration

	// MaxInstances is the maximum number of instances in one list of a source. A longer list is
	// rejected and the previous list stays in use. Default: 20,000.
	MaxInstances int
}

// ErrNoSource is the error that New returns if it is called without a source.
var ErrNoSource = errors.New("membership: at least one source is required")

// withDefaults returns the configuration with the default values of its zero fields, or an error if
// a field is out of bounds.
func (c Config) withDefaults() (Config, error) {
	if math.IsNaN(c.MaxLoss) || c.MaxLoss < 0 || c.MaxLoss >= 1 {
		return c, fmt.Errorf("membership: MaxLoss must be at least 0 and below 1, got %v", c.MaxLoss)
	}
	if c.MaxLoss == 0 {
		c.MaxLoss = DefaultMaxLoss
	}
	if c.MaxInstances == 0 {
		c.MaxInstances = DefaultMaxInstances
	}
	for _, period := range []struct {
		field        *time.Duration
		defaultValue time.Duration
	}{
		{&c.LossWindow, DefaultLossWindow},
		{&c.LossHold, DefaultLossHold},
		{&c.SilentAfter, DefaultSilentAfter},
		{&c.TombstoneLifetime, DefaultTombstoneLifetime},
		{&c.StaleUpdateHold, DefaultStaleUpdateHold},
		{&c.NewProcessPeriod, DefaultNewProcessPeriod},
	} {
		if *period.field < 0 {
			return c, fmt.Errorf("membership: a duration must not be negative, got %v", *period.field)
		}
		if *period.field == 0 {
			*period.field = period.defaultValue
		}
	}
	return c, nil
}
