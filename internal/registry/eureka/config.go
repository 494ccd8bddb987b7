package eureka

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"
)

// The defaults of Config.
const (
	DefaultInterval      = 5 * time.Second
	DefaultTimeout       = 4 * time.Second
	DefaultMaxResponseMB = 16
)

// Config configures a Client. A field that is zero takes its default.
type Config struct {
	// Replicas are the base URLs of the registry's replicas, such as
	// http://127.0.0.1:8761/eureka/v2, the preferred one first. Required.
	Replicas []string

	// Apps and VIPs are the apps and VIP addresses to follow. There are no deltas of them, so
	// each poll fetches their complete lists. Default: all apps, by deltas.
	Apps []string
	VIPs []string

	// XML requests XML. Default: JSON.
	XML bool

	// Interval is the mean time between polls; each is drawn within a quarter of it.
	// Default: 5 s.
	Interval time.Duration

	// Timeout bounds one request with its response. Default: 4 s.
	Timeout time.Duration

	// MaxResponseMB bounds one response after decompression, in MiB. A longer one is an error.
	// Default: 16.
	MaxResponseMB int

	// KeepMetadata says which metadata keys are kept. Default: all.
	KeepMetadata func(key string) bool

	// Seed is that of the jitter between polls, which should differ between sidecars.
	Seed uint64
}

// ErrNoReplica is NewClient's error for a Config without replicas.
var ErrNoReplica = errors.New("eureka: no replica")

// withDefaults returns the configuration with its zero fields set, or what is wrong with it.
func (c Config) withDefaults() (Config, error) {
	if len(c.Replicas) == 0 {
		return c, ErrNoReplica
	}
	for i, replica := range c.Replicas {
		u, err := url.Parse(replica)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return c, fmt.Errorf("eureka: replica %q: a URL is meant, such as http://127.0.0.1:8761/eureka/v2", replica)
		}
		c.Replicas[i] = strings.TrimRight(replica, "/")
	}
	if c.Interval == 0 {
		c.Interval = DefaultInterval
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	if c.MaxResponseMB == 0 {
		c.MaxResponseMB = DefaultMaxResponseMB
	}
	return c, nil
}
