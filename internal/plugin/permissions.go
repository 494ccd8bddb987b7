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
)

// TagField is the header that holds a request's tags. What a client sends of it is dropped.
const TagField = "Request-Tags"

const maxTagBytes = 64

// protectedHeaders say what a request is and how it goes on; no plug-in may change them.
var protectedHeaders = []string{
	"Host", "Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive", "Te", "Trailer", "Upgrade",
	"Proxy-Connection", "Request-Id", "Request-Class", "Request-Timeout", "Tenant", "Idempotency-Key",
	"Client-Retry", "Work-Hint", TagField,
}

// errDenied is an effect that the manifest or a bound does not allow.
var errDenied = errors.New("not allowed")

// denied returns an errDenied that names the effect and what would be allowed.
func denied(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errDenied, fmt.Sprintf(format, args...))
}

// mayChangeHeader reports whether the manifest allows to set or remove a header, by its canonical name.
func (p *Plugin) mayChangeHeader(name string) bool {
	if slices.Contains(protectedHeaders, name) {
		return false
	}
	return slices.ContainsFunc(p.spec.Headers, func(pattern string) bool {
		matches, _ := path.Match(textproto.CanonicalMIMEHeaderKey(pattern), name) // a malformed pattern matches nothing
		return matches
	})
}

// headerToSet returns the canonical name of a header that is to be set, or an error if it is not allowed.
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

// headerToRemove returns the canonical name of a header that is to be removed, or an error if it is
// not allowed.
func (p *Plugin) headerToRemove(e *hook.Effect) (string, error) {
	name := textproto.CanonicalMIMEHeaderKey(e.Name)
	if !p.mayChangeHeader(name) {
		return "", denied("the header %.40q: headers of the plug-in's manifest does not name it, "+
			"or it says what the request is", name)
	}
	return name, nil
}

// isTag reports whether a text can be an entry of TagField.
func isTag(text string) bool {
	if text == "" || len(text) > maxTagBytes {
		return false
	}
	return !strings.ContainsAny(text, ", ") && httpguts.ValidHeaderFieldValue(text)
}
