package settings

// The keys of the settings. Each constant is named after the term that the program uses.
const (
	keyFleetSize               = "balancers"
	keyZone                    = "zone"
	keyZones                   = "zones"
	keyMaxAttempts             = "caps.most_tries"
	keyCancelAllowed           = "caps.may_cancel"
	keyProbesAllowed           = "caps.probes"
	keyMaxRetryAfter           = "caps.max_retry_after_ms"
	keyDialTimeout             = "caps.dial_timeout_ms"
	keyIdleConnTimeout         = "caps.conn_idle_ms"
	keyLoadReports             = "telemetry.how"
	keyLoadReportColumns       = "telemetry.columns"
	keyClientsMarkRetries      = "client_habits.marks_retry"
	keyEventResolution         = "period_ms"
	keyDiscovery               = "discovery"
	keyWatchRequestWithin      = "rules.ask_within_ms"
	keySlowStartInitialShare   = "rules.cold_from"
	keySlowStartDuration       = "rules.cold_ms"
	keySlowStartOverloadFactor = "rules.fall_multiple"
	keyDrainGrace              = "rules.stop_sending_within_ms"
	keyProbeCost               = "charges.probe"
	keyCrossZoneCost           = "charges.cross_zone"

	keyClasses = "classes" // a list of request classes
	keyTenants = "orgs"    // a list of tenants
)

// The keys of an object in a list.
const (
	keyName = "name" // key of a class and of a tenant

	keyLatencyObjective    = "aim_ms"
	keyObjectiveWorkFactor = "aim_stretch"
	keyDeadline            = "hard_limit_ms"
	keyLateValueShare      = "late_share"
	keyPriorityWeight      = "worth"
	keyDedupWindow         = "window_ms"
	keyIdempotency         = "semantics"
	keyDedupScope          = "dedup_scope"

	keyTenantShare = "share"
	keyTenantQuota = "quota_per_s"
)

// The values that are compared as text.
const (
	flagSet = "true"

	discoveryOnRequest = "ask"    // value of keyDiscovery: the sidecar has to request its watches of the endpoint list
	loadReportsNone    = "silent" // value of keyLoadReports: upstreams send no load reports

	idempotent      = "free"    // value of keyIdempotency; any value not listed here means not idempotent
	idempotentByKey = "guarded" // value of keyIdempotency

	dedupScopeAll  = "all"  // value of keyDedupScope; any value not listed here means the cell
	dedupScopeZone = "zone" // value of keyDedupScope

	columnInFlight = "busy_reqs" // element of keyLoadReportColumns: requests in flight
)

// suffixCount is appended to the path of a list of objects to form the path of its length.
const suffixCount = ".count"
