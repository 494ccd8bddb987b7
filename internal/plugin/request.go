package plugin

import (
	"net/textproto"
	"slices"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// failedRetryAfter is the Retry-After of a request that is rejected because a plug-in failed.
const failedRetryAfter = time.Second

// runRequestHooks runs the request hooks in the order of the plug-ins. It stops at the first hook that
// rejects the request and returns its response.
func (g *Gate) runRequestHooks(plugins *pluginSet, r *core.Request) *core.Response {
	w := g.workspaces.Get().(*workspace)
	defer g.workspaces.Put(w)
	for _, p := range plugins.request {
		if rejection := g.runRequestHook(w, p, r); rejection != nil {
			p.rejected.Add(1)
			return rejection
		}
	}
	return nil
}

// runRequestHook runs the request hook of one plug-in. It returns the response if the plug-in rejects the
// request, or if the plug-in fails and its manifest demands a rejection in this case.
func (g *Gate) runRequestHook(w *workspace, p *Plugin, r *core.Request) *core.Response {
	g.setRequestEvent(w, r)
	var rejection *core.Response
	skipped, err := p.run(w, func(effects []hook.Effect) error {
		var err error
		rejection, err = g.applyRequestEffects(p, r, effects)
		return err
	})
	w.headers.fields = nil
	if rejection != nil {
		return rejection
	}
	failed := skipped || err != nil
	if failed && p.rejectsOnFailure(g.cfg.Classes[r.Class]) {
		detail := "plug-in " + p.spec.Name + " failed or was skipped"
		return &core.Response{Result: core.Rejected, RetryAfter: failedRetryAfter, Detail: detail}
	}
	return nil
}

// rejectsOnFailure reports whether requests of a class are rejected if the plug-in fails or is skipped.
func (p *Plugin) rejectsOnFailure(class string) bool {
	return p.spec.RejectOnFailure || slices.Contains(p.spec.RejectClasses, class)
}

// setRequestEvent sets the workspace's event to a request.
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
	e.Int[hook.RequestTimeLeft] = int64(time.Until(r.Deadline))
	e.Int[hook.RequestRetry] = 0
	if r.ClientRetry {
		e.Int[hook.RequestRetry] = 1
	}
}

// firstValue returns the first value of a header by its canonical name, or "" if there is none.
func firstValue(fields map[string][]string, name string) string {
	if values := fields[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// requestHeaders gives a program access to the header of a request.
type requestHeaders struct{ fields map[string][]string }

// Header returns the first value of a header, or "" if there is none.
func (h *requestHeaders) Header(name string) string {
	if values := h.fields[name]; len(values) > 0 { // most programs use the canonical name
		return values[0]
	}
	return firstValue(h.fields, textproto.CanonicalMIMEHeaderKey(name))
}
