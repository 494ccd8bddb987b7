package plugin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"mothridge/internal/hook"
)

// EventJSON is an event in a JSON file. Fields that do not belong to the event's kind are ignored.
type EventJSON struct {
	Kind string    `json:"kind"` // request, outcome or member
	Now  time.Time `json:"now"`  // the event's time; zero means defaultNow

	Class  string `json:"class"`
	Tenant string `json:"tenant"`
	ID     string `json:"id"`

	Key     string            `json:"key"`
	Target  string            `json:"target"`
	Size    int64             `json:"size"`    // of the body, in bytes
	LeftMS  float64           `json:"left_ms"` // time until the deadline
	Retry   bool              `json:"retry"`
	Headers map[string]string `json:"headers"`

	Ending string  `json:"ending"`
	TookMS float64 `json:"took_ms"`

	Name     string `json:"name"`
	Address  string `json:"address"`
	Site     string `json:"site"`
	NodeKind string `json:"node_kind"` // event.kind in a program
	State    string `json:"state"`
}

// defaultNow is the time of an event that does not set one. It is fixed so that a case has the same
// result in every run.
var defaultNow = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// ReadEvent decodes an event from JSON. It returns an error for an unknown field.
func ReadEvent(data []byte) (*EventJSON, error) {
	var e EventJSON
	return &e, decodeStrictly(data, &e)
}

// decodeStrictly decodes JSON into target. Unknown fields are an error. The error names the line.
func decodeStrictly(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		read := data[:min(int(decoder.InputOffset()), len(data))]
		line := 1 + bytes.Count(read, []byte("\n"))
		return fmt.Errorf("line %d: %w", line, err)
	}
	return nil
}

// event converts e to the event that a program reads.
func (e *EventJSON) event() (*hook.Event, error) {
	event := &hook.Event{Kind: e.Kind, Now: e.Now}
	if e.Now.IsZero() {
		event.Now = defaultNow
	}
	switch e.Kind {
	case hook.KindRequest:
		e.fillRequest(event)
	case hook.KindOutcome:
		e.fillOutcome(event)
	case hook.KindMember:
		e.fillMember(event)
	default:
		return nil, fmt.Errorf("kind %q: request, outcome or member is meant", e.Kind)
	}
	return event, nil
}

// fillRequest sets the event's fields of a request.
func (e *EventJSON) fillRequest(event *hook.Event) {
	headers := &requestHeaders{fields: make(map[string][]string)}
	for name, value := range e.Headers {
		headers.fields[name] = []string{value}
	}
	event.Headers = headers
	event.Text = [len(event.Text)]string{
		hook.RequestClass:  e.Class,
		hook.RequestTenant: e.Tenant,
		hook.RequestID:     e.ID,
		hook.RequestKey:    e.Key,
		hook.RequestTarget: e.Target,
	}
	event.Int[hook.RequestSize] = e.Size
	event.Int[hook.RequestTimeLeft] = nanoseconds(e.LeftMS)
	if e.Retry {
		event.Int[hook.RequestRetry] = 1
	}
}

// fillOutcome sets the event's fields of an outcome.
func (e *EventJSON) fillOutcome(event *hook.Event) {
	event.Text = [len(event.Text)]string{
		hook.OutcomeClass:  e.Class,
		hook.OutcomeTenant: e.Tenant,
		hook.OutcomeID:     e.ID,
		hook.OutcomeEnding: e.Ending,
	}
	event.Int[hook.OutcomeDuration] = nanoseconds(e.TookMS)
}

// fillMember sets the event's fields of a member.
func (e *EventJSON) fillMember(event *hook.Event) {
	event.Text = [len(event.Text)]string{
		hook.MemberName:    e.Name,
		hook.MemberAddress: e.Address,
		hook.MemberSite:    e.Site,
		hook.MemberKind:    e.NodeKind,
		hook.MemberState:   e.State,
	}
}

func nanoseconds(milliseconds float64) int64 {
	return int64(milliseconds * float64(time.Millisecond))
}
