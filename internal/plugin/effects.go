package plugin

import (
	"maps"
	"slices"
	"strings"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/hook"
)

// Bounds of a plug-in's effects.
const (
	maxHeaderBytes = 16 << 10  // size of a request's header after the plug-in's changes
	maxReasonBytes = 200       // length of the reason of a rejection
	maxPause       = time.Hour // Retry-After of a rejection
)

// fieldOverhead is the size of a header field without its name and value, in bytes.
const fieldOverhead = len(": \r\n")

// transaction collects the effects of a request hook. The request is not changed before apply.
type transaction struct {
	gate    *Gate
	plugin  *Plugin
	request *core.Request

	fields    map[string][]string // the new header; nil if it is unchanged
	tenant    int                 // the new tenant
	counters  []string            // names of the counters to which 1 is added
	rejection *core.Response      // the response, if the plug-in rejects the request
}

// applyRequestEffects checks all effects of a request hook before it applies them. It returns the response
// if the plug-in rejects the request.
func (g *Gate) applyRequestEffects(
	p *Plugin, r *core.Request, effects []hook.Effect,
) (rejection *core.Response, err error) {
	t := transaction{gate: g, plugin: p, request: r, tenant: r.Tenant}
	for i := range effects {
		if err := t.add(&effects[i]); err != nil {
			return nil, err
		}
	}
	if size := headerBytes(t.fields); size > maxHeaderBytes {
		return nil, denied("a header of %d bytes: %d at most", size, maxHeaderBytes)
	}
	if err := p.countAll(t.counters); err != nil {
		return nil, err
	}
	t.apply()
	return t.rejection, nil
}

// add checks an effect and adds it to the transaction.
func (t *transaction) add(e *hook.Effect) error {
	switch e.Kind {
	case hook.SetHeader:
		return t.setHeader(e)
	case hook.RemoveHeader:
		return t.removeHeader(e)
	case hook.Tag:
		return t.tag(e)
	case hook.SetTenant:
		return t.setTenant(e)
	case hook.Count:
		t.counters = append(t.counters, e.Name)
	case hook.Refuse:
		return t.reject(e)
	case hook.Label: // the language's checker does not allow labels in request hooks
	}
	return nil
}

// apply changes the request, unless the plug-in rejects it.
func (t *transaction) apply() {
	if t.rejection != nil {
		return
	}
	if t.fields != nil {
		t.request.Fields = t.fields
	}
	t.request.Tenant = t.tenant
}

// copyFields sets fields to a copy of the request's header, unless it is set already.
func (t *transaction) copyFields() {
	if t.fields != nil {
		return
	}
	t.fields = maps.Clone(t.request.Fields)
	if t.fields == nil {
		t.fields = make(map[string][]string)
	}
}

func (t *transaction) setHeader(e *hook.Effect) error {
	name, err := t.plugin.headerToSet(e)
	if err != nil {
		return err
	}
	t.copyFields()
	t.fields[name] = []string{e.Text}
	return nil
}

func (t *transaction) removeHeader(e *hook.Effect) error {
	name, err := t.plugin.headerToRemove(e)
	if err != nil {
		return err
	}
	t.copyFields()
	delete(t.fields, name)
	return nil
}

func (t *transaction) tag(e *hook.Effect) error {
	if !isTag(e.Text) {
		return denied("the tag %.40q: 1 to 64 bytes of printable signs without commas and blanks are meant", e.Text)
	}
	t.copyFields()
	tags := e.Text
	if earlier := firstValue(t.fields, TagField); earlier != "" {
		tags = earlier + "," + tags
	}
	t.fields[TagField] = []string{tags}
	return nil
}

func (t *transaction) setTenant(e *hook.Effect) error {
	number, known := t.gate.tenantNumbers[e.Text]
	if !known || !slices.Contains(t.plugin.spec.Tenants, e.Text) {
		return denied("the tenant %.40q: tenants of the plug-in's manifest does not name it", e.Text)
	}
	t.tenant = number
	return nil
}

func (t *transaction) reject(e *hook.Effect) error {
	if !t.plugin.spec.MayReject {
		return denied("a refusal: may_refuse of the plug-in's manifest is not set")
	}
	t.rejection = &core.Response{
		Result:     core.Rejected,
		RetryAfter: min(max(e.RetryAfter, 0), maxPause),
		Detail:     sanitizeReason(e.Text),
	}
	return nil
}

// sanitizeReason removes control characters from a reason and truncates it to maxReasonBytes.
func sanitizeReason(text string) string {
	text = strings.Map(func(r rune) rune {
		const deleteCharacter = 0x7f
		if r < ' ' || r == deleteCharacter {
			return -1
		}
		return r
	}, text)
	if len(text) > maxReasonBytes {
		text = strings.ToValidUTF8(text[:maxReasonBytes], "")
	}
	return text
}

// headerBytes returns the size of a header in bytes.
func headerBytes(fields map[string][]string) int {
	size := 0
	for name, values := range fields {
		for _, v := range values {
			size += len(name) + len(v) + fieldOverhead
		}
	}
	return size
}
