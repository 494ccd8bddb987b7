package peers

import (
	"net/http"
	"net/url"
	"strings"
	"time"
)

// serve handles one request of the API.
func (e *Eureka) serve(w http.ResponseWriter, r *http.Request) {
	parts, ok := eurekaPath(r.URL)
	if !ok {
		http.NotFound(w, r)
		return
	}
	e.mu.Lock()
	e.evict()
	fault := e.fault
	e.mu.Unlock()
	switch fault {
	case NoResponse:
		e.waitForDisconnect(r)
		return
	case Slow:
		time.Sleep(slowResponseTime)
	case ServerError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	default: // the others concern fetches alone
	}
	if r.Method == http.MethodGet {
		e.serveFetch(w, r, parts, fault)
		return
	}
	e.serveChange(w, r, parts)
}

// eurekaPath returns the parts of a path below the base, which differs by server: /eureka/v2,
// /eureka or /v2. false: the path has none of them.
func eurekaPath(location *url.URL) (parts []string, ok bool) {
	path, hasEureka := strings.CutPrefix(location.EscapedPath(), "/eureka")
	path, hasV2 := strings.CutPrefix(path, "/v2")
	parts = strings.Split(strings.Trim(path, "/"), "/")
	for i, part := range parts {
		if unescaped, err := url.PathUnescape(part); err == nil {
			parts[i] = unescaped
		}
	}
	return parts, hasEureka || hasV2
}

// waitForDisconnect blocks until the client disconnects or the registry closes.
func (e *Eureka) waitForDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closing:
	}
}
