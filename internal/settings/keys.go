package settings

// The settings' keys, by the term that the program uses.
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

// The keys within an object of a list.
const (
	keyName = "name" // of a class or a tenant

	keyLatencyObjective = "aim_ms"
	keyObjectiveStretch = "aim_stretch"
	keyDeadline         = "hard_limit_ms"
	keyLateValueShare   = "late_share"
	keyPriorityWeight   = "worth"
	keyDedupWindow      = "window_ms"
	keyIdempotency      = "semantics"
	keyDedupScope       = "dedup_scope"

	keyTenantShare = "share"
	keyTenantQuota = "quota_per_s"
)

// The words that stand as values.
const (
	flagSet = "true"

	discoveryOnRequest = "ask"    // of keyDiscovery: the endpoint list has to be requested
	loadReportsNone    = "silent" // of keyLoadReports

	idempotent      = "free"    // of keyIdempotency; any other word: not idempotent
	idempotentByKey = "guarded" //

	dedupScopeAll  = "all"  // of keyDedupScope; any other word: the cell
	dedupScopeZone = "zone" //

	columnInFlight = "busy_reqs" // of keyLoadReportColumns
)

// suffixCount is what ends the path of a list of objects where its length stands.
const suffixCount = ".count"
