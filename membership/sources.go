package membership

import (
	"fmt"
	"time"
)

// Source describes a source of instances.
type Source struct {
	Name   string // for operators
	Polled bool   // it is polled regularly, so it is silent after Config.SilentAfter without a response
}

// SourceState is the state of a source as operators see it.
type SourceState struct {
	Name           string        `json:"Name"`
	Live           int           `json:"Live"`   // instances in its list
	Held           int           `json:"Lost"`   // instances that it lost with too many others
	LastResponseAt time.Duration `json:"Heard"`  // Unix time of its last response; 0: never
	Reason         string        `json:"Reason"` // why its list is held; empty where it is not
}

// Sources returns the state of each source, by index.
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

// recordState is what a source's list says of a record.
type recordState uint8

const (
	recordNew     recordState = iota // made for the instance that is being applied
	recordLive                       // in the list
	recordHeld                       // no longer in the list; held, as too many were lost with it
	recordDeleted                    // removed; remembered as a tombstone
	recordStates
)

// record is what one source has of one instance.
type record struct {
	Instance
	source           *source
	state            recordState
	stateSince       time.Duration // of recordHeld and recordDeleted
	staleUpdate      *Instance     // the last update that looks older than Instance; nil: none
	staleUpdateSince time.Duration // when the first of them came since an update was applied
}

// source is the list and the state of one source.
type source struct {
	name           string
	polled         bool
	records        map[string]*record // by instance ID
	recordCount    [recordStates]int
	replica        string // the server that the last list or delta came from
	hasList        bool   // its first list has been applied
	lastResponseAt time.Duration
	hasResponded   bool
	silent         bool
	reason         string // why its list is held; empty where it is not

	lossWindowStart time.Duration
	lossBaseline    int // live records at lossWindowStart

	statusReasons [OutOfService + 1]string // by status; made once, as thousands of endpoints share them
}

func newSource(config Source) *source {
	src := &source{name: config.Name, polled: config.Polled, records: make(map[string]*record)}
	for status := range src.statusReasons {
		src.statusReasons[status] = Status(status).String() + " by " + src.name
	}
	return src
}

func (src *source) markResponded(now time.Duration) {
	src.lastResponseAt, src.hasResponded = now, true
	if src.silent {
		src.silent, src.reason = false, ""
	}
}

func (src *source) markSilentIfDue(now, silentAfter time.Duration) {
	if !src.polled || !src.hasResponded || src.silent {
		return
	}
	if silence := now - src.lastResponseAt; silence >= silentAfter {
		src.silent = true
		src.reason = fmt.Sprintf("silent for %v: its last list is held", silence)
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

func (src *source) forget(rec *record) {
	src.recordCount[rec.state]--
	delete(src.records, rec.ID)
}

// applyInstance applies an instance that its source lists, unless it is older than what is
// held. One without ID or address is ignored.
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
