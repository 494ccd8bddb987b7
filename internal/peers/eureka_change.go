package peers

import (
	"bytes"
	"fmt"
	"io"
	"maps"
	"mime"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxRegistrationBytes is the maximum size of a registration's body.
const maxRegistrationBytes = 1 << 20

// serveChange responds to a call that changes the registry: apps/APP, apps/APP/ID and paths below.
func (e *EurekaRegistry) serveChange(w http.ResponseWriter, r *http.Request, parts []string) {
	if len(parts) < 2 || parts[0] != "apps" {
		http.NotFound(w, r)
		return
	}
	if len(parts) > 2 {
		e.changeInstance(w, r, parts)
		return
	}
	if r.Method != http.MethodPost {
		http.Error(w, "method not allowed: an instance is registered with POST", http.StatusMethodNotAllowed)
		return
	}
	e.serveRegister(w, r, parts[1])
}

// changeInstance responds to a call that changes a registered instance.
func (e *EurekaRegistry) changeInstance(w http.ResponseWriter, r *http.Request, parts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	app, id := parts[1], parts[2]
	instance := e.instances[id]
	if instance == nil || !strings.EqualFold(instance.App, app) {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	switch call := r.Method + " " + strings.Join(parts[3:], "/"); call {
	case "PUT ":
		e.renew(w, instance, query)
	case "DELETE ":
		e.calls["cancel"]++
		e.cancel(id)
	case "PUT status":
		e.overrideStatus(w, instance, query.Get("value"))
	case "DELETE status":
		e.removeOverride(instance, query.Get("value"))
	case "PUT metadata":
		e.addMetadata(instance, query)
	default:
		http.Error(w, "unsupported call: "+call, http.StatusMethodNotAllowed)
	}
}

// renew handles a heartbeat. An instance must register again if it has changed since its registration
// or if its status is UNKNOWN.
func (e *EurekaRegistry) renew(w http.ResponseWriter, instance *EurekaInstance, query url.Values) {
	e.calls["renew"]++
	lastDirtyMs, _ := strconv.ParseInt(query.Get("lastDirtyTimestamp"), 10, 64) // 0 if absent
	if instance.effectiveStatus() == statusUnknown || lastDirtyMs > instance.LastDirtyMs {
		http.Error(w, "the instance must register again", http.StatusNotFound)
		return
	}
	instance.renewedAt = time.Now()
}

// overrideStatus sets the status that an operator has chosen. The call also renews the lease.
func (e *EurekaRegistry) overrideStatus(w http.ResponseWriter, instance *EurekaInstance, status string) {
	e.calls["status"]++
	if !slices.Contains(eurekaStatuses, status) {
		message := "value must be one of " + strings.Join(eurekaStatuses, ", ")
		http.Error(w, message, http.StatusInternalServerError)
		return
	}
	instance.Override = status
	instance.renewedAt = time.Now()
	e.recordModified(instance)
}

// removeOverride removes an operator's status. The instance's status becomes the given status, or
// UNKNOWN until the instance registers again if the given status is empty.
func (e *EurekaRegistry) removeOverride(instance *EurekaInstance, status string) {
	e.calls["status"]++
	instance.Override = ""
	instance.Status = status
	if status == "" {
		instance.Status = statusUnknown
	}
	e.recordModified(instance)
}

// addMetadata sets a metadata key for each query parameter. It copies the map, because the delta shares
// the old one.
func (e *EurekaRegistry) addMetadata(instance *EurekaInstance, query url.Values) {
	e.calls["metadata"]++
	instance.Metadata = maps.Clone(instance.Metadata)
	if instance.Metadata == nil {
		instance.Metadata = make(map[string]string)
	}
	for key, values := range query {
		instance.Metadata[key] = values[0]
	}
	e.recordModified(instance)
}

// serveRegister responds to the registration of an instance.
func (e *EurekaRegistry) serveRegister(w http.ResponseWriter, r *http.Request, app string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRegistrationBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	instance, err := decodeInstance(body, isXML(r, body))
	if err == nil && !strings.EqualFold(instance.App, app) {
		err = fmt.Errorf("app is %.80q, but the app in the path is %.80q", instance.App, app)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls["register"]++
	e.registerUnlessOutdated(*instance)
	w.WriteHeader(http.StatusNoContent)
}

// isXML reports whether a registration is XML, by its Content-Type. If the Content-Type names neither
// XML nor JSON, the first byte of the body decides.
func isXML(r *http.Request, body []byte) bool {
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if strings.Contains(mediaType, "xml") {
		return true
	}
	return !strings.Contains(mediaType, "json") && bytes.HasPrefix(bytes.TrimSpace(body), []byte("<"))
}

// registerUnlessOutdated registers an instance. Two clients may register under the same id: the
// registration with the later LastDirtyMs stays, and an outdated registration only renews its lease.
func (e *EurekaRegistry) registerUnlessOutdated(instance EurekaInstance) {
	registered := e.instances[instance.ID]
	if registered != nil && isOutdated(instance, *registered) {
		registered.renewedAt = time.Now()
		return
	}
	e.register(instance)
}

// isOutdated reports whether a new registration is older than the registered instance.
func isOutdated(instance, registered EurekaInstance) bool {
	return instance.LastDirtyMs != 0 && instance.LastDirtyMs < registered.LastDirtyMs
}
