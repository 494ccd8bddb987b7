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
	VIP           string // one name, or several with commas
	Status        string // as the instance reports it
	Override      string // as an operator has set it; empty or UNKNOWN: not set
	Metadata      map[string]string
	LastDirtyMs   int64 // Unix time by the instance's clock; 0 on Register: now
	LastUpdatedMs int64 // Unix time by the registry's clock

	PortDisabled                      bool // Port is not in use
	SecurePortEnabled                 bool // SecurePort is in use
	SecurePort                        int  // 0: 443, as in the published server
	SecureVIP, Group                  string
	HomePage, StatusPage, HealthCheck string // URLs
	Country                           int64  // 0: 1
	DataCenter                        string // empty: MyOwn

	// Of its lease, as the instance reports it; 0: 30 and 90.
	RenewalIntervalSeconds, LeaseDurationSeconds int64

	renewedAt      time.Time
	registeredAtMs int64 // Unix time by the registry's clock
	upSinceMs      int64 // the same; 0: never up
}

// The statuses of the API.
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

// effectiveStatus is the status in responses. An operator's override replaces the
// instance's own status, unless the instance reports that it cannot serve.
func (i *EurekaInstance) effectiveStatus() string {
	overridden := i.Override != "" && i.Override != statusUnknown
	canServe := i.Status == statusUp || i.Status == statusOutOfService
	if overridden && canServe {
		return i.Override
	}
	return i.Status
}

func (i *EurekaInstance) securePort() int { return cmp.Or(i.SecurePort, defaultSecurePort) }
