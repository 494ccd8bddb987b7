package plugin

import (
	"net/textproto"
	"slices"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// failedRetryAfter is the Retry-After of a request that is refused because a plug-in failed.
const failedRetryAfter = time.Second

// runRequestHooks runs the request hooks in their order. It returns the response if the request is
// refused; the further hooks do not run then.
func (g *Gate) runRequestHooks(plugins *pluginSet, r *core.Request) *core.Response {
	w := g.workspaces.Get().(*workspace)
	defer g.workspaces.Put(w)
	for _, p := range plugins.request {
		if refusal := g.runRequestHook(w, p, r); refusal != nil {
			p.refused.Add(1)
			return refusal
		}
	}
	return nil
}

func (g *Gate) runRequestHook(w *workspace, p *Plugin, r *core.Request) *core.Response {
	g.setRequestEvent(w, r)
	var refusal *core.Response
	skipped, err := p.run(w, func(effects []hook.Effect) error {
		var err error
		refusal, err = g.accept(p, r, effects)
		return err
	})
	w.headers.fields = nil
	if refusal != nil {
		return refusal
	}
	failed := skipped || err != nil
	if failed && p.refusesOnFailure(g.cfg.Classes[r.Class]) {
		detail := "the plug-in " + p.spec.Name + " does not work"
		return &core.Response{Result: core.Rejected, RetryAfter: failedRetryAfter, Detail: detail}
	}
	return nil
}

// refusesOnFailure reports whether requests of a class are refused if the plug-in fails.
func (p *Plugin) refusesOnFailure(class string) bool {
	return p.spec.RejectOnFailure || slices.Contains(p.spec.RejectClasses, class)
}

// setRequestEvent makes a request the workspace's event.
func (g *Gate) setRequestEvent(w *workspace, r *core.Request) {
	w.setEvent(hook.KindRequest, g.cfg.Now())
	w.headers.fields = r.Fields
	e := &w.event
	e.Headers = &w.headers
	e.Text = [len(e.Text)]string{
		hook.RequestClass:  g.cfg.Classes[r.Class],
		hook.RequestTenant: g.tenant(r.Tenant),
		hook.RequestID:     r.ID,
		hook.RequestKey:    firstValue(r.Fields, "Idempotency-Key"),
		hook.RequestTarget: r.Target,
	}
	e.Int[hook.RequestSize] = int64(len(r.Body))
	e.Int[hook.RequestLeft] = int64(time.Until(r.Deadline))
	e.Int[hook.RequestRetry] = 0
	if r.ClientRetry {
		e.Int[hook.RequestRetry] = 1
	}
}

// firstValue returns the first value of a header by its canonical name, "" if there is none.
func firstValue(fields map[string][]string, name string) string {
	if values := fields[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// requestHeaders is the header that a program sees.
type requestHeaders struct{ fields map[string][]string }

// Header returns the first value of a header, "" if there is none.
func (h *requestHeaders) Header(name string) string {
	if values := h.fields[name]; len(values) > 0 { // the name is canonical in most programs
		return values[0]
	}
	return firstValue(h.fields, textproto.CanonicalMIMEHeaderKey(name))
}
