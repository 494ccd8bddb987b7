package plugin

import (
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// outcomeQueueLength is how many outcomes wait for their hooks; further ones are dropped and counted.
const outcomeQueueLength = 1024

// outcome is a final response whose hooks are to run.
type outcome struct {
	plugins *pluginSet
	class   int
	tenant  int
	id      string
	result  core.Result
	took    time.Duration // from the request's arrival
}

// observeOutcome queues the request's outcome when it is responded to. Respond runs on the core's
// goroutine, which must not block.
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

// Run runs the outcome hooks until done is closed. Outcomes that wait then are not run.
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
		e.Int[hook.OutcomeTook] = int64(o.took)
		_, _ = p.run(w, p.acceptOutcomeEffects) // run counts and logs its error
	}
}

// acceptOutcomeEffects carries out the effects of an outcome's hook: counts, and labels, which are
// counted as NAME=TEXT.
func (p *Plugin) acceptOutcomeEffects(effects []hook.Effect) error {
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
