package wire

// This file is the only one that contains the simulator's names. In each table, the last column is the
// simulator's name for the program's term in the same line.

// EventCode is the code of a record in a Batch.
type EventCode uint16

// The events. The comment behind each code is its name in the simulator's protocol.
const (
	EventProbeEnded         EventCode = 1000 // CheckResult
	EventEndpointList       EventCode = 1010 // Manifest
	EventInstanceStopped    EventCode = 1020 // CrashNow
	EventResponseStarted    EventCode = 1030 // Headers
	EventPeerMessage        EventCode = 1040 // Heard
	EventEndpointUpdate     EventCode = 1050 // Fleet
	EventAttemptEnded       EventCode = 1060 // Finished
	EventTimerFired         EventCode = 1070 // Wake
	EventRequestReceived    EventCode = 1080 // Ask
	EventClientDisconnected EventCode = 1090 // ClientLeft
	EventInstanceStarted    EventCode = 1100 // OpenInstance
)

// ActionCode is the code of a record in a Reply.
type ActionCode uint16

// The actions. The comment behind each code is its name in the simulator's protocol.
const (
	ActionSend     ActionCode = 1000 // CallOut
	ActionReject   ActionCode = 1010 // PushBack
	ActionFail     ActionCode = 1020 // Lose
	ActionCancel   ActionCode = 1030 // Recall
	ActionSetTimer ActionCode = 1040 // SetAlarm
	ActionProbe    ActionCode = 1050 // Inspect
	ActionLog      ActionCode = 1080 // WriteLog
	ActionFault    ActionCode = 1090 // Die
	ActionWatch    ActionCode = 1100 // Tail
)

// Result is the result of an attempt or a probe.
type Result uint16

// The results. The comment behind each code is its name in the simulator's protocol.
const (
	ResultServed           Result = 100 // ok
	ResultServerError      Result = 301 // error
	ResultRejected         Result = 302 // full
	ResultTimedOut         Result = 303 // timeout
	ResultConnectionFailed Result = 304 // connect_failed
	ResultConnectionReset  Result = 305 // reset
	ResultCancelled        Result = 306 // cancelled
	ResultNotSent          Result = 307 // moot
)

// UpdateKind is the kind of an EndpointUpdate.
type UpdateKind uint8

// The kinds of an endpoint update. The comment behind each kind begins with the simulator's name.
const (
	UpdateFull   UpdateKind = 1 // full: the complete list
	UpdateDelta  UpdateKind = 2 // delta: changed entries only
	UpdateCached UpdateKind = 3 // cached: the last list that the instance had
	UpdateFailed UpdateKind = 4 // failed: no list, because the watch failed or was interrupted
)

// RequestFlags is the bit set of a Request's flags.
type RequestFlags uint16

// The flags that the program uses. The comment behind each flag begins with the simulator's name.
const (
	FlagExpectedWork RequestFlags = 1 // cost hint: ExpectedWork is valid
	FlagClientRetry  RequestFlags = 2 // repeat: the client's own retry
)

// Health is the state of an endpoint in an endpoint list.
type Health uint8

// The states of an endpoint. The comment behind each state is its name in the simulator's protocol.
const (
	HealthRemoved  Health = 0 // gone
	HealthReady    Health = 1 // ready
	HealthDraining Health = 2 // draining
)

// The fields of the records and of a list's entries:
//
//	program                    simulator
//	instance                   i
//	RequestID                  job
//	Request.Flags              bits
//	Request.AffinityKey        route_key
//	Request.Timeout            left_ms
//	Request.ExpectedWork       cost_guess_ms
//	Request.Class              kind
//	Endpoint                   upstream
//	Attempt                    hop
//	Result                     ending
//	AttemptEnded.Elapsed       cost_time_ms
//	AttemptEnded.Completed     settled
//	LoadReport                 pressure
//	EndpointUpdate.Version     seq_no
//	list number                page
//	ListEntry.Zone             area
//	ListEntry.MachineType      family_type
//	ListEntry.Cell             cohort
//	ListEntry.Health           status
//	ListEntry.Weight           rating
//	ListEntry.StartedAt        boot_time_ms
//	settings                   boot_info
//	timer token                cookie
//	delay of a timer           sleep_for_ms
//	timeout of an attempt      patience_ms
//	retryAfter                 pause_ms
//	text of a log line, fault  note_text
