package peers

import (
	"net/http"
	"net/url"
	"strings"
	"time"
)

// serve evicts expired instances, injects the fault and responds to one request.
func (e *EurekaRegistry) serve(w http.ResponseWriter, r *http.Request) {
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
	default: // the other faults apply only to fetches
	}
	if r.Method == http.MethodGet {
		e.serveFetch(w, r, parts, fault)
		return
	}
	e.serveChange(w, r, parts)
}

// eurekaPath returns the segments of a path below the base. The base differs between servers:
// /eureka/v2, /eureka or /v2. eurekaPath returns false if the path has none of these bases.
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
func (e *EurekaRegistry) waitForDisconnect(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.closing:
	}
}
