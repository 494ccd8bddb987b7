package peers

import (
	"cmp"
	"time"
)

// EurekaInstance is an instance in the stand-in registry.
type EurekaInstance struct {
	ID            string
	App           string
	Host          string
	IP            string
	Port          int
	VIP           string // one name, or several separated by commas
	Status        string // reported by the instance
	Override      string // set by an operator; empty or UNKNOWN: not set
	Metadata      map[string]string
	LastDirtyMs   int64 // Unix time of the instance's clock; 0 in a call of Register: now
	LastUpdatedMs int64 // Unix time of the registry's clock

	PortDisabled                      bool // Port is not in use
	SecurePortEnabled                 bool // SecurePort is in use
	SecurePort                        int  // 0: 443, the default of the published Eureka server
	SecureVIP, Group                  string
	HomePage, StatusPage, HealthCheck string // URLs
	Country                           int64  // 0: 1
	DataCenter                        string // empty: MyOwn

	// Lease settings, reported by the instance. 0 stands for 30 and 90.
	RenewalIntervalSeconds, LeaseDurationSeconds int64

	renewedAt      time.Time
	registeredAtMs int64 // Unix time of the registry's clock
	upSinceMs      int64 // Unix time of the registry's clock; 0: never UP
}

// Statuses of an instance in the API.
const (
	statusUp           = "UP"
	statusDown         = "DOWN"
	statusStarting     = "STARTING"
	statusOutOfService = "OUT_OF_SERVICE"
	statusUnknown      = "UNKNOWN"
)

var eurekaStatuses = []string{statusUp, statusDown, statusStarting, statusOutOfService, statusUnknown}

const (
	defaultSecurePort             = 443
	defaultCountry                = 1
	defaultDataCenter             = "MyOwn"
	defaultRenewalIntervalSeconds = 30
	defaultLeaseDurationSeconds   = 90
)

// effectiveStatus returns the status for responses. An operator's override replaces the instance's own
// status, unless the instance reports that it cannot serve requests.
func (i *EurekaInstance) effectiveStatus() string {
	overridden := i.Override != "" && i.Override != statusUnknown
	canServe := i.Status == statusUp || i.Status == statusOutOfService
	if overridden && canServe {
		return i.Override
	}
	return i.Status
}

// securePort returns the secure port or its default.
func (i *EurekaInstance) securePort() int { return cmp.Or(i.SecurePort, defaultSecurePort) }
