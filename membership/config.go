package membership

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// The defaults of Config.
const (
	DefaultMaxLoss           = 0.3
	DefaultLossWindow        = time.Minute
	DefaultLossHold          = 10 * time.Minute
	DefaultSilentAfter       = 90 * time.Second
	DefaultTombstoneLifetime = time.Minute
	DefaultStaleUpdateHold   = 30 * time.Second
	DefaultNewProcessPeriod  = 30 * time.Second
	DefaultMaxNodes          = 20000
)

// Config holds the bounds of a Set. A field that is zero takes its default.
type Config struct {
	// MaxLoss is the share of a source's instances, from 0 to below 1, that may disappear
	// within LossWindow. Instances of a greater loss are held. Default: 0.3.
	MaxLoss float64

	// LossWindow is the time in which the losses of a source are summed. Default: 1 min.
	LossWindow time.Duration

	// LossHold is how long an instance of a greater loss is held before it is removed. It is
	// removed only while its source responds and lists some other instance, so an empty list
	// removes none. Default: 10 min.
	LossHold time.Duration

	// SilentAfter is how long a polled source may be without a response before it is silent.
	// The list of a silent source is held, however long. Default: 90 s.
	SilentAfter time.Duration

	// TombstoneLifetime is how long a removed instance is remembered, so that an older list
	// does not bring it back. While another source lists its address, the endpoint drains for
	// as long. Default: 1 min.
	TombstoneLifetime time.Duration

	// StaleUpdateHold is how long a source must repeat an update that looks older than the
	// one that is held before it is applied. Default: 30 s.
	StaleUpdateHold time.Duration

	// NewProcessPeriod is how long a new process at an address that another one had belongs
	// to no cell. Default: 30 s.
	NewProcessPeriod time.Duration

	// MaxNodes bounds the instances in one list of a source. A longer list is rejected and the
	// previous one stays. Default: 20,000.
	MaxNodes int
}

// ErrNoSource is New's error where it is given no source.
var ErrNoSource = errors.New("membership: no source")

// withDefaults returns the configuration with its zero fields set, or what is wrong with it.
func (c Config) withDefaults() (Config, error) {
	if math.IsNaN(c.MaxLoss) || c.MaxLoss < 0 || c.MaxLoss >= 1 {
		return c, fmt.Errorf("membership: MaxLoss is %v, a share under 1 is needed", c.MaxLoss)
	}
	if c.MaxLoss == 0 {
		c.MaxLoss = DefaultMaxLoss
	}
	if c.MaxNodes == 0 {
		c.MaxNodes = DefaultMaxNodes
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
			return c, fmt.Errorf("membership: a time of %v is negative", *period.field)
		}
		if *period.field == 0 {
			*period.field = period.defaultValue
		}
	}
	return c, nil
}
