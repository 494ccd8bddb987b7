package wire

import (
	"fmt"
	"time"

	"mothridge/policy"
)

const (
	endpointSize  = 6  // bytes of an Endpoint: four of the address, two of the port
	listEntrySize = 23 // bytes of a ListEntry
	// maxLoadValues is the maximum number of values that a LoadReport keeps.
	maxLoadValues = 4
)

// Endpoint is an endpoint's address and port: the six bytes of the wire format as a little-endian number.
type Endpoint uint64

// LoadReport is an endpoint's load report.
type LoadReport struct {
	Count  int                    // number of values; 0 if there is no report
	Values [maxLoadValues]float32 // in the order of the columns in the settings
}

// ToPolicy converts the report to the type of package policy. inFlightColumn is the column of the number of
// requests in flight (settings.InFlightColumn). InFlight is -1 if the report does not contain that column.
func (r LoadReport) ToPolicy(inFlightColumn int) policy.LoadReport {
	if inFlightColumn < 0 || inFlightColumn >= r.Count {
		return policy.LoadReport{InFlight: -1}
	}
	return policy.LoadReport{InFlight: float64(r.Values[inFlightColumn])}
}

// ListEntry is one entry of an endpoint list.
type ListEntry struct {
	Endpoint    Endpoint
	Zone        uint8
	MachineType uint8
	Cell        uint16
	Health      Health
	Weight      float64
	StartedAt   time.Duration // on the clock of the batches; 0: long ago
}

// Request is a client's request.
type Request struct {
	ID           uint32
	Flags        RequestFlags
	AffinityKey  uint64 // shared by requests for the same object; 0: none
	Tenant       uint32
	Timeout      time.Duration // until the client stops waiting
	ExpectedWork time.Duration // valid only with FlagExpectedWork
	Class        uint8
}

// AttemptEnded is the event that an attempt has ended.
type AttemptEnded struct {
	RequestID  uint32
	Attempt    uint8 // number of the attempt among the request's attempts, from 0
	Endpoint   Endpoint
	Result     Result
	Elapsed    time.Duration // since the attempt was started
	Completed  bool          // the client has its response
	LoadReport LoadReport
}

// ProbeEnded is the result of a probe.
type ProbeEnded struct {
	Endpoint   Endpoint
	Result     Result
	Elapsed    time.Duration // since the probe was started
	LoadReport LoadReport
}

// EndpointUpdate is an update of an instance's endpoints. It refers to a list that was sent before.
type EndpointUpdate struct {
	Kind    UpdateKind
	Version uint32
	List    uint16 // number of the endpoint list; not used by UpdateFailed
}

// Instance decodes the number of the instance that an event is addressed to. EventEndpointList is not addressed
// to an instance.
func (r Record) Instance() (uint32, error) {
	f := r.fields()
	instance := f.u32()
	return instance, f.err(r.Code)
}

// InstanceStarted decodes the seed and the settings of an instance that starts. The settings are valid as
// long as the Batch.
func (r Record) InstanceStarted() (seed uint64, settings []byte, err error) {
	f := r.instanceFields()
	seed = f.u64()
	settings = f.readBytes(int(f.u32()))
	return seed, settings, f.err(r.Code)
}

// EndpointList decodes an endpoint list and its number. EndpointUpdate refers to the list by that number.
func (r Record) EndpointList() (number uint16, entries []ListEntry, err error) {
	f := r.fields()
	number = f.u16()
	count := f.u32()
	if f.truncated || uint64(count)*listEntrySize > uint64(len(f.rest)) {
		return 0, nil, fmt.Errorf("record %d: list has %d entries, but %d bytes remain", r.Code, count, len(f.rest))
	}
	entries = make([]ListEntry, count)
	for i := range entries {
		entries[i] = f.listEntry()
	}
	return number, entries, f.err(r.Code)
}

func (f *fieldReader) listEntry() ListEntry {
	return ListEntry{
		Endpoint:    f.endpoint(),
		Zone:        f.u8(),
		MachineType: f.u8(),
		Cell:        f.u16(),
		Health:      Health(f.u8()),
		Weight:      float64(f.f32()),
		StartedAt:   f.duration(),
	}
}

// EndpointUpdate decodes an update of an instance's endpoint list.
func (r Record) EndpointUpdate() (EndpointUpdate, error) {
	f := r.instanceFields()
	update := EndpointUpdate{Kind: UpdateKind(f.u8()), Version: f.u32(), List: f.u16()}
	return update, f.err(r.Code)
}

// RequestReceived decodes a client's request.
func (r Record) RequestReceived() (Request, error) {
	f := r.instanceFields()
	request := Request{
		ID:           f.u32(),
		Flags:        RequestFlags(f.u16()),
		AffinityKey:  f.u64(),
		Tenant:       f.u32(),
		Timeout:      f.duration(),
		ExpectedWork: f.duration(),
		Class:        f.u8(),
	}
	return request, f.err(r.Code)
}

// AttemptEnded decodes the result of an attempt.
func (r Record) AttemptEnded() (AttemptEnded, error) {
	f := r.instanceFields()
	ended := AttemptEnded{
		RequestID:  f.u32(),
		Attempt:    f.u8(),
		Endpoint:   f.endpoint(),
		Result:     Result(f.u16()),
		Elapsed:    f.duration(),
		Completed:  f.u8() != 0,
		LoadReport: f.loadReport(),
	}
	return ended, f.err(r.Code)
}

// ProbeEnded decodes the result of a probe.
func (r Record) ProbeEnded() (ProbeEnded, error) {
	f := r.instanceFields()
	ended := ProbeEnded{
		Endpoint:   f.endpoint(),
		Result:     Result(f.u16()),
		Elapsed:    f.duration(),
		LoadReport: f.loadReport(),
	}
	return ended, f.err(r.Code)
}

// RequestID decodes the request's ID from EventClientDisconnected or EventResponseStarted.
func (r Record) RequestID() (uint32, error) {
	f := r.instanceFields()
	id := f.u32()
	return id, f.err(r.Code)
}

// TimerToken decodes the token that was passed to Reply.SetTimer.
func (r Record) TimerToken() (uint64, error) {
	f := r.instanceFields()
	token := f.u64()
	return token, f.err(r.Code)
}
