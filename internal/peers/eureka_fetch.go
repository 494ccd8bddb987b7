package peers

import (
	"compress/gzip"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// wantsXML reports whether the response to a fetch is XML: always, unless the request accepts JSON.
func wantsXML(r *http.Request) bool { return !strings.Contains(r.Header.Get("Accept"), "json") }

// serveFetch responds to a GET request.
func (e *EurekaRegistry) serveFetch(w http.ResponseWriter, r *http.Request, parts []string, fault EurekaFault) {
	asXML := wantsXML(r)
	body := e.fetch(parts, asXML, fault)
	if body == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", contentType(asXML != (fault == WrongContentType)))
	if fault == TruncatedBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		return
	}
	writeFetched(w, r, body)
}

func contentType(asXML bool) string {
	if asXML {
		return "application/xml"
	}
	return "application/json"
}

// writeFetched writes a body, compressed if the client accepts gzip. Writes fail only if the client
// has disconnected.
func writeFetched(w http.ResponseWriter, r *http.Request, body []byte) {
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	_, _ = compressor.Write(body)
	_ = compressor.Close()
}

// fetch counts the call and returns the body for a path, with the fault injected. It returns nil if
// there is no such resource.
func (e *EurekaRegistry) fetch(parts []string, asXML bool, fault EurekaFault) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	path := strings.Join(parts, "/")
	e.calls[fetchKind(path)]++
	body := e.encodeResource(parts, asXML)
	switch fault {
	case StaleList:
		if stale := e.staleLists[staleListKey{path, asXML}]; stale != nil {
			body = stale
		}
	case EmptyList:
		body = e.encode("applications", applicationsFields("1", "", eurekaList{}), asXML)
	case NotJSON:
		body = []byte(proxyErrorPage)
	default:
	}
	if body == nil {
		return nil
	}
	e.fetchedBytes += int64(len(body))
	if servesCorrectList(fault) {
		e.fetchTimes = append(e.fetchTimes, time.Now())
	}
	return body
}

// fetchKind returns the kind under which CallCount counts a fetch.
func fetchKind(path string) string {
	if path == allAppsPath || path == deltaPath {
		return "/" + path
	}
	return otherFetchesKind
}

// servesCorrectList reports whether a response contains the current list despite a fault.
func servesCorrectList(fault EurekaFault) bool {
	return fault == NoFault || fault == Slow || fault == WrongContentType
}

// eurekaResource is the resource at a path: a selection of instances and their root element.
type eurekaResource struct {
	root       string // applications, application or instance
	isDelta    bool
	match      func(*EurekaInstance) bool // selects the instances; nil for the delta
	mayBeEmpty bool                       // if false, the response is 404 when no instance matches
}

// resourceOf returns the resource at a path, or false if there is no such path.
func resourceOf(parts []string) (eurekaResource, bool) {
	switch path := strings.Join(parts, "/"); {
	case path == deltaPath:
		return eurekaResource{root: "applications", isDelta: true, mayBeEmpty: true}, true
	case path == allAppsPath:
		matchAll := func(*EurekaInstance) bool { return true }
		return eurekaResource{root: "applications", match: matchAll, mayBeEmpty: true}, true
	case len(parts) == 2:
		return resourceByName(parts[0], parts[1])
	case len(parts) == 3 && parts[0] == "apps":
		match := func(instance *EurekaInstance) bool {
			return strings.EqualFold(instance.App, parts[1]) && instance.ID == parts[2]
		}
		return eurekaResource{root: "instance", match: match}, true
	}
	return eurekaResource{}, false
}

// resourceByName returns the resource of an app, a VIP, a secure VIP or an instance by its name.
func resourceByName(kind, name string) (eurekaResource, bool) {
	switch kind {
	case "apps":
		match := func(instance *EurekaInstance) bool { return strings.EqualFold(instance.App, name) }
		return eurekaResource{root: "application", match: match}, true
	case "vips":
		match := func(instance *EurekaInstance) bool { return listsName(instance.VIP, name) }
		return eurekaResource{root: "applications", match: match}, true
	case "svips":
		match := func(instance *EurekaInstance) bool { return listsName(instance.SecureVIP, name) }
		return eurekaResource{root: "applications", match: match}, true
	case "instances":
		match := func(instance *EurekaInstance) bool { return instance.ID == name }
		return eurekaResource{root: "instance", match: match}, true
	}
	return eurekaResource{}, false
}

// listsName reports whether a comma-separated list contains a name.
func listsName(list, name string) bool { return slices.Contains(strings.Split(list, ","), name) }

// selectInstances returns the instances of a resource, each with its action.
func (e *EurekaRegistry) selectInstances(resource eurekaResource) []eurekaChange {
	if resource.isDelta {
		return e.delta
	}
	var selected []eurekaChange
	for _, id := range e.ids {
		if instance := e.instances[id]; resource.match(instance) {
			selected = append(selected, eurekaChange{action: actionAdded, instance: *instance})
		}
	}
	return selected
}

// encodeResource encodes the resource at a path. It returns nil if there is no such resource.
func (e *EurekaRegistry) encodeResource(parts []string, asXML bool) []byte {
	resource, ok := resourceOf(parts)
	if !ok {
		return nil
	}
	selected := e.selectInstances(resource)
	if len(selected) == 0 && !resource.mayBeEmpty {
		return nil
	}
	applications := e.groupByApp(selected, asXML)
	switch resource.root {
	case "instance":
		first := applications[0].instances[0]
		return e.encode(resource.root, first, asXML)
	case "application":
		return e.encode(resource.root, applications[0].fields(), asXML)
	}
	var list eurekaList
	for _, application := range applications {
		list = append(list, application.fields())
	}
	return e.encode(resource.root, applicationsFields(e.encodedVersion(), e.hash(), list), asXML)
}
