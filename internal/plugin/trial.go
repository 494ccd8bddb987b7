package plugin

import (
	"strconv"
	"time"

	"mothridge/internal/hook"
)

// Trial runs a program without a Gate. It keeps the program's state from one run to the next.
type Trial struct {
	program   *hook.Program
	state     *sharedState
	limits    hook.Limits
	workspace workspace
}

// NewTrial returns a Trial with an empty state. Limits of 0 are replaced by their defaults.
func NewTrial(program *hook.Program, limits hook.Limits) *Trial {
	state := newSharedState()
	state.declare(program.States, 0)
	return &Trial{
		program: program,
		state:   state,
		limits:  limitsOrDefaults(limits),
	}
}

// Run runs the program for an event. The run's changes of the state are kept only if it succeeds.
func (t *Trial) Run(e *EventJSON) (hook.Result, error) {
	event, err := e.event()
	if err != nil {
		return hook.Result{}, err
	}
	return t.run(event)
}

// run runs the program for an event and commits its changes of the state if it succeeds.
func (t *Trial) run(event *hook.Event) (hook.Result, error) {
	view := &t.workspace.view
	view.reset(t.state, t.program.States, event.Now)
	result, err := t.workspace.machine.Run(t.program, event, view, t.limits)
	if err == nil {
		view.commit()
	}
	return result, err
}

// Bench runs the program n times for an event and returns the mean duration of a run.
func (t *Trial) Bench(e *EventJSON, n int) (time.Duration, error) {
	event, err := e.event()
	if err != nil {
		return 0, err
	}
	start := time.Now()
	for range n {
		if _, err := t.run(event); err != nil {
			return 0, err
		}
	}
	return time.Since(start) / time.Duration(n), nil
}

// Describe returns an effect as text: the name of the language's function and its arguments.
func Describe(e hook.Effect) string {
	name, text := strconv.Quote(e.Name), strconv.Quote(e.Text)
	switch e.Kind {
	case hook.SetHeader:
		return "set_header " + name + " " + text
	case hook.RemoveHeader:
		return "remove_header " + name
	case hook.Tag:
		return "tag " + text
	case hook.SetTenant:
		return "set_tenant " + text
	case hook.Refuse:
		return "refuse " + text + " " + e.RetryAfter.String()
	case hook.Count:
		return "count " + name
	default:
		return "label " + name + " " + text
	}
}
