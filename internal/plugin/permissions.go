package plugin

import (
	"errors"
	"fmt"
	"net/textproto"
	"path"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"mothridge/internal/hook"
	"mothridge/internal/hopbyhop"
)

// TagField is the header that holds a request's tags, separated by commas. The Gate removes the header
// from requests of clients.
const TagField = "Request-Tags"

// maxTagBytes is the maximum length of a tag.
const maxTagBytes = 64

// protectedHeaders identify a request. No plug-in may change them, nor a header that belongs to one hop.
var protectedHeaders = []string{
	"Request-Id", "Request-Class", "Tenant", "Idempotency-Key", "Client-Retry", "Work-Hint", TagField,
}

// errDenied is the error of an effect that the manifest or a bound does not allow.
var errDenied = errors.New("not allowed")

// denied returns an error that wraps errDenied and describes the effect and the rule that it violates.
func denied(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errDenied, fmt.Sprintf(format, args...))
}

// mayChangeHeader reports whether the manifest allows a header to be set or removed. name is the header's
// canonical name.
func (p *Plugin) mayChangeHeader(name string) bool {
	if hopbyhop.IsHopByHop(name) || slices.Contains(protectedHeaders, name) {
		return false
	}
	return slices.ContainsFunc(p.spec.Headers, func(pattern string) bool {
		matches, _ := path.Match(textproto.CanonicalMIMEHeaderKey(pattern), name) // a malformed pattern matches nothing
		return matches
	})
}

// headerToSet returns the canonical name of the header that an effect sets. It returns an error if the
// name or the value is invalid or the plug-in may not change the header.
func (p *Plugin) headerToSet(e *hook.Effect) (string, error) {
	name := textproto.CanonicalMIMEHeaderKey(e.Name)
	if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(e.Text) {
		return "", denied("%.40q: %.40q is no header field", e.Name, e.Text)
	}
	if !p.mayChangeHeader(name) {
		return "", denied("the header %q: headers of the plug-in's manifest does not name it, "+
			"or it says what the request is", name)
	}
	return name, nil
}

// headerToRemove returns the canonical name of the header that an effect removes, or an error if the
// plug-in may not change the header.
func (p *Plugin) headerToRemove(e *hook.Effect) (string, error) {
	name := textproto.CanonicalMIMEHeaderKey(e.Name)
	if !p.mayChangeHeader(name) {
		return "", denied("the header %.40q: headers of the plug-in's manifest does not name it, "+
			"or it says what the request is", name)
	}
	return name, nil
}

// isTag reports whether text is a valid tag: not empty, at most maxTagBytes long, valid in a header field,
// and without commas and blanks.
func isTag(text string) bool {
	if text == "" || len(text) > maxTagBytes {
		return false
	}
	return !strings.ContainsAny(text, ", ") && httpguts.ValidHeaderFieldValue(text)
}
