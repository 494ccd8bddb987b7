package plugin

import (
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// outcomeQueueLength is the number of outcomes that may wait for their hooks. Further outcomes are
// dropped and counted.
const outcomeQueueLength = 1024

// outcome describes a final response for which the outcome hooks are to run.
type outcome struct {
	plugins *pluginSet
	class   int
	tenant  int
	id      string
	result  core.Result
	took    time.Duration // time since the request was submitted
}

// observeOutcome wraps the request's Respond so that it also queues the request's outcome. If the queue is
// full, the outcome is dropped: Respond runs on the core's goroutine, which must not block.
func (g *Gate) observeOutcome(plugins *pluginSet, r *core.Request) {
	receivedAt, respond := time.Now(), r.Respond
	observed := outcome{plugins: plugins, class: r.Class, tenant: r.Tenant, id: r.ID}
	r.Respond = func(response core.Response) {
		respond(response)
		observed.result = response.Result
		observed.took = time.Since(receivedAt)
		select {
		case g.outcomes <- observed:
		default:
			g.dropped.Add(1)
		}
	}
}

// Run runs the outcome hooks until done is closed. It does not run the hooks of outcomes that are still
// queued at that time.
func (g *Gate) Run(done <-chan struct{}) {
	w := new(workspace)
	for {
		select {
		case o := <-g.outcomes:
			g.runOutcomeHooks(w, &o)
		case <-done:
			return
		}
	}
}

// runOutcomeHooks runs the outcome hooks of all plug-ins for one outcome.
func (g *Gate) runOutcomeHooks(w *workspace, o *outcome) {
	for _, p := range o.plugins.outcome {
		w.setEvent(hook.KindOutcome, g.cfg.Now())
		e := &w.event
		e.Text = [len(e.Text)]string{
			hook.OutcomeClass:  g.cfg.Classes[o.class],
			hook.OutcomeTenant: g.tenant(o.tenant),
			hook.OutcomeID:     o.id,
			hook.OutcomeEnding: o.result.String(),
		}
		e.Int[hook.OutcomeDuration] = int64(o.took)
		_, _ = p.run(w, p.applyOutcomeEffects) // run counts and logs its error
	}
}

// applyOutcomeEffects applies the effects of an outcome hook: counts, and labels, which are counted as
// NAME=TEXT.
func (p *Plugin) applyOutcomeEffects(effects []hook.Effect) error {
	for i := range effects {
		name := effects[i].Name
		if effects[i].Kind == hook.Label {
			name += "=" + effects[i].Text
		}
		if err := p.count(name); err != nil {
			return err
		}
	}
	return nil
}
