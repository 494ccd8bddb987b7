package eureka

import (
	"errors"
	"fmt"
	"net/url"
	"strings"
	"time"
)

// Defaults of the fields of Config.
const (
	DefaultInterval      = 5 * time.Second
	DefaultTimeout       = 4 * time.Second
	DefaultMaxResponseMB = 16
)

// Config configures a Client. A zero field takes its default.
type Config struct {
	// Replicas are the base URLs of the registry's replicas, such as
	// http://127.0.0.1:8761/eureka/v2, with the preferred replica first. Required.
	Replicas []string

	// Apps and VIPs are the names of the apps and the VIP addresses to poll. Eureka has no deltas for a
	// single app or VIP address, so each poll fetches their complete lists. If both are empty, the client
	// polls all apps and can use deltas.
	Apps []string
	VIPs []string

	// XML makes the client request XML responses. Default: JSON.
	XML bool

	// Interval is the mean time between polls. Each actual time is random, between 0.75 and 1.25
	// intervals. Default: 5 s.
	Interval time.Duration

	// Timeout bounds one request, including reading the response. Default: 4 s.
	Timeout time.Duration

	// MaxResponseMB bounds the size of one response after decompression, in MiB. A poll fails if a response
	// is larger. Default: 16.
	MaxResponseMB int

	// KeepMetadata reports whether the metadata entry with a key is kept. Default: all entries are kept.
	KeepMetadata func(key string) bool

	// Seed seeds the random jitter between polls. It should differ between sidecars.
	Seed uint64
}

// ErrNoReplica is returned by NewClient if Config.Replicas is empty.
var ErrNoReplica = errors.New("eureka: Replicas must contain at least one URL")

// withDefaults returns the configuration with the defaults in place of zero fields. It returns an error if
// there is no replica or a replica is not an HTTP or HTTPS URL.
func (c Config) withDefaults() (Config, error) {
	if len(c.Replicas) == 0 {
		return c, ErrNoReplica
	}
	for i, replica := range c.Replicas {
		u, err := url.Parse(replica)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return c, fmt.Errorf("eureka: replica must be a URL such as http://127.0.0.1:8761/eureka/v2, got %q", replica)
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
