package membership

import (
	"fmt"
	"time"
)

// Source describes a source of instances.
type Source struct {
	Name   string // shown to operators
	Polled bool   // polled regularly, so the source counts as silent after Config.SilentAfter without a response
	// Authoritative reports that the list of the source is an instruction and its updates are in order: an instance that it
	// removes or no longer lists is removed at once, however many there are, and no update of it is stale.
	Authoritative bool
}

// SourceState is the state of a source as shown to operators.
type SourceState struct {
	Name           string        `json:"Name"`
	Live           int           `json:"Live"`   // number of instances in its list
	Held           int           `json:"Lost"`   // number of held instances: lost, but kept in the view
	LastResponseAt time.Duration `json:"Heard"`  // Unix time of its last response; 0: no response yet
	Reason         string        `json:"Reason"` // why its list or some instances are held; empty if none are
}

// Sources returns the state of each source, in the order of the sources that were passed to New.
func (s *Set) Sources() []SourceState {
	var states []SourceState
	for _, src := range s.sources {
		states = append(states, SourceState{
			Name:           src.name,
			Live:           src.recordCount[recordLive],
			Held:           src.recordCount[recordHeld],
			LastResponseAt: src.lastResponseAt,
			Reason:         src.reason,
		})
	}
	return states
}

// recordState is the state of a record in the list of its source.
type recordState uint8

const (
	recordNew        recordState = iota // created for the instance that is being applied
	recordLive                          // in the list
	recordHeld                          // no longer in the list; held, because too many instances were lost
	recordDeleted                       // removed; kept as a tombstone
	recordStateCount                    // number of states
)

// record is the state of one instance according to one source.
type record struct {
	Instance
	source           *source
	state            recordState
	stateSince       time.Duration // when the state became recordHeld or recordDeleted
	staleUpdate      *Instance     // the latest update that looks older than Instance; nil: none
	staleUpdateSince time.Duration // when the first stale update since the last applied update arrived
}

// source is the list and the state of one source.
type source struct {
	name           string
	polled         bool
	authoritative  bool
	records        map[string]*record // by instance ID
	recordCount    [recordStateCount]int
	replica        string // name of the server that sent the last list or delta
	hasList        bool   // whether its first list has been applied
	lastResponseAt time.Duration
	hasResponded   bool
	silent         bool
	reason         string // why its list or some instances are held; empty if none are

	lossWindowStart time.Duration
	lossBaseline    int // number of live records at lossWindowStart

	statusReasons [OutOfService + 1]string // by status; built once, because thousands of endpoints share them
}

func newSource(config Source) *source {
	src := &source{
		name:          config.Name,
		polled:        config.Polled,
		authoritative: config.Authoritative,
		records:       make(map[string]*record),
	}
	for status := range src.statusReasons {
		src.statusReasons[status] = Status(status).String() + " by " + src.name
	}
	return src
}

// markResponded records a response of the source, which is then no longer silent.
func (src *source) markResponded(now time.Duration) {
	src.lastResponseAt, src.hasResponded = now, true
	if src.silent {
		src.silent, src.reason = false, ""
	}
}

// markSilentIfDue marks a polled source silent that has not responded for silentAfter. A source that
// never responded is not marked.
func (src *source) markSilentIfDue(now, silentAfter time.Duration) {
	if !src.polled || !src.hasResponded || src.silent {
		return
	}
	if silence := now - src.lastResponseAt; silence >= silentAfter {
		src.silent = true
		src.reason = fmt.Sprintf("silent for %v: its last list stays in use", silence)
	}
}

func (src *source) addRecord(id string) *record {
	rec := &record{source: src}
	src.records[id] = rec
	src.recordCount[recordNew]++
	return rec
}

func (src *source) setState(rec *record, state recordState) {
	src.recordCount[rec.state]--
	src.recordCount[state]++
	rec.state = state
}

func (src *source) deleteRecord(rec *record) {
	src.recordCount[rec.state]--
	delete(src.records, rec.ID)
}

// applyInstance applies an instance that its source lists, unless the update is older than the
// current record. An instance without ID or address is ignored.
func (s *Set) applyInstance(now time.Duration, src *source, replica string, update *Instance) {
	if update.ID == "" || update.Addr == "" {
		return
	}
	rec := src.records[update.ID]
	if rec == nil {
		rec = src.addRecord(update.ID)
	} else if s.deferStaleUpdate(now, replica, rec, update) {
		return
	}
	src.setState(rec, recordLive)
	previousAddr := rec.Addr
	rec.Instance, rec.staleUpdate = *update, nil
	if previousAddr != rec.Addr {
		s.detach(rec, previousAddr)
		s.attach(rec)
	}
	s.markChanged(rec.Addr)
}
