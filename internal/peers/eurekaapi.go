package peers

import (
	"bytes"
	"compress/gzip"
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

// maxRegistration bounds the body of a registration.
const maxRegistration = 1 << 20

// serve answers one call. Servers differ in their base: /eureka/v2, /eureka or /v2.
func (e *Eureka) serve(w http.ResponseWriter, r *http.Request) {
	path, based := strings.CutPrefix(r.URL.EscapedPath(), "/eureka")
	path, v2 := strings.CutPrefix(path, "/v2")
	parts := strings.Split(strings.Trim(path, "/"), "/")
	for i, p := range parts {
		if plain, err := url.PathUnescape(p); err == nil {
			parts[i] = plain
		}
	}
	if !based && !v2 {
		http.NotFound(w, r)
		return
	}
	e.mu.Lock()
	e.evict()
	fault := e.fault
	e.mu.Unlock()
	switch fault {
	case NoResponse:
		select {
		case <-r.Context().Done():
		case <-e.over:
		}
		return
	case Slow:
		time.Sleep(300 * time.Millisecond)
	case ServerError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Method == http.MethodGet {
		e.fetch(w, r, parts, fault)
		return
	}
	e.act(w, r, parts)
}

// wantsXML says which format a fetch gets: JSON where it is asked for, else XML.
func wantsXML(r *http.Request) bool { return !strings.Contains(r.Header.Get("Accept"), "json") }

func (e *Eureka) fetch(w http.ResponseWriter, r *http.Request, parts []string, fault EurekaFault) {
	path := strings.Join(parts, "/")
	asXML := wantsXML(r)
	e.mu.Lock()
	kind := "/" + path
	if path != "apps" && path != "apps/delta" {
		kind = "some"
	}
	e.calls[kind]++
	text := e.answer(parts, asXML)
	switch fault {
	case StaleList:
		if old := e.stale[staleKey(path, asXML)]; old != nil {
			text = old
		}
	case EmptyList:
		text = e.write("applications", []eurekaField{{"versions__delta", "1"}, {"apps__hashcode", ""}, {"application", eurekaList{}}}, asXML)
	case NotJSON:
		text = []byte("<html>a proxy's page</html>")
	}
	if text != nil {
		e.bytes += int64(len(text))
		if fault == NoFault || fault == Slow || fault == WrongContentType {
			e.told = append(e.told, time.Now())
		}
	}
	e.mu.Unlock()
	if text == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if asXML != (fault == WrongContentType) {
		w.Header().Set("Content-Type", "application/xml")
	}
	if fault == TruncatedBody {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text[:len(text)/2])
		return
	}
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		z := gzip.NewWriter(w)
		defer z.Close()
		z.Write(text)
		return
	}
	w.Write(text)
}

// act serves the calls that change something.
func (e *Eureka) act(w http.ResponseWriter, r *http.Request, parts []string) {
	if len(parts) < 2 || parts[0] != "apps" {
		http.NotFound(w, r)
		return
	}
	if len(parts) == 2 {
		if r.Method != http.MethodPost {
			http.Error(w, "POST registers an instance of an app", http.StatusMethodNotAllowed)
			return
		}
		e.post(w, r, parts[1])
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.all[parts[2]]
	if i == nil || !strings.EqualFold(i.App, parts[1]) {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	switch call := r.Method + " " + strings.Join(parts[3:], "/"); call {
	case "PUT ":
		e.calls["renew"]++
		dirty, _ := strconv.ParseInt(query.Get("lastDirtyTimestamp"), 10, 64)
		if i.effective() == "UNKNOWN" || dirty > i.LastDirtyMs {
			http.Error(w, "the instance is to register anew", http.StatusNotFound)
			return
		}
		i.renewed = time.Now()
	case "DELETE ":
		e.calls["cancel"]++
		e.cancel(i.ID)
	case "PUT status":
		e.calls["status"]++
		if !slices.Contains(eurekaStatuses, query.Get("value")) {
			http.Error(w, "value is none of "+strings.Join(eurekaStatuses, ", "), http.StatusInternalServerError)
			return
		}
		i.Override, i.renewed = query.Get("value"), time.Now()
		e.modified(i)
	case "DELETE status":
		e.calls["status"]++
		// What the instance is from here on is for the caller to say, or for its next registration.
		if i.Override, i.Status = "", query.Get("value"); i.Status == "" {
			i.Status = "UNKNOWN"
		}
		e.modified(i)
	case "PUT metadata":
		e.calls["metadata"]++
		i.Metadata = maps.Clone(i.Metadata) // the delta keeps what was
		if i.Metadata == nil {
			i.Metadata = make(map[string]string)
		}
		for key, values := range query {
			i.Metadata[key] = values[0]
		}
		e.modified(i)
	default:
		http.Error(w, "no such call: "+call, http.StatusMethodNotAllowed)
	}
}

// modified notes a change of an instance that is held.
func (e *Eureka) modified(i *EurekaInstance) {
	i.LastUpdatedMs = max(e.now(), i.LastUpdatedMs+1)
	e.change("MODIFIED", i)
}

// post registers an instance.
func (e *Eureka) post(w http.ResponseWriter, r *http.Request, app string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRegistration))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	i, err := readInstance(body, strings.Contains(kind, "xml") || !strings.Contains(kind, "json") && bytes.HasPrefix(bytes.TrimSpace(body), []byte("<")))
	if err == nil && !strings.EqualFold(i.App, app) {
		err = fmt.Errorf("app is %.80q and the path says %.80q", i.App, app)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls["register"]++
	if old := e.all[i.ID]; old != nil && i.LastDirtyMs != 0 && i.LastDirtyMs < old.LastDirtyMs {
		old.renewed = time.Now() // two clients under one id: the newer news stay
	} else {
		e.register(*i)
	}
	w.WriteHeader(http.StatusNoContent)
}

// answer writes what a path gets; nil where there is no such thing.
func (e *Eureka) answer(parts []string, asXML bool) []byte {
	var changes []eurekaChange
	path := strings.Join(parts, "/")
	among := func(match func(i *EurekaInstance) bool) {
		for _, id := range e.order {
			if i := e.all[id]; match(i) {
				changes = append(changes, eurekaChange{action: "ADDED", copy: *i})
			}
		}
	}
	names := func(list, name string) bool { return slices.Contains(strings.Split(list, ","), name) }
	switch {
	case path == "apps/delta":
		changes = e.queue
	case path == "apps":
		among(func(*EurekaInstance) bool { return true })
	case len(parts) == 2 && parts[0] == "apps":
		among(func(i *EurekaInstance) bool { return strings.EqualFold(i.App, parts[1]) })
	case len(parts) == 2 && parts[0] == "vips":
		among(func(i *EurekaInstance) bool { return names(i.VIP, parts[1]) })
	case len(parts) == 2 && parts[0] == "svips":
		among(func(i *EurekaInstance) bool { return names(i.SecureVIP, parts[1]) })
	case len(parts) == 2 && parts[0] == "instances":
		among(func(i *EurekaInstance) bool { return i.ID == parts[1] })
	case len(parts) == 3 && parts[0] == "apps":
		among(func(i *EurekaInstance) bool { return strings.EqualFold(i.App, parts[1]) && i.ID == parts[2] })
	default:
		return nil
	}
	if changes == nil && len(parts) > 1 && path != "apps/delta" {
		return nil
	}
	var apps eurekaList
	at := make(map[string]int)
	for i := range changes { // the order stays, as one app is one element
		c := &changes[i]
		one := c.copy.fields(e.dialect, asXML, c.action)
		n, had := at[c.copy.App]
		if !had {
			n, at[c.copy.App] = len(apps), len(apps)
			apps = append(apps, []eurekaField{{"name", c.copy.App}, {"instance", eurekaList{}}})
		}
		apps[n][1].value = append(apps[n][1].value.(eurekaList), one)
	}
	switch {
	case parts[0] == "instances" || len(parts) == 3:
		return e.write("instance", apps[0][1].value.(eurekaList)[0], asXML)
	case parts[0] == "apps" && len(parts) == 2 && path != "apps/delta":
		return e.write("application", apps[0], asXML)
	}
	var version any = strconv.Itoa(e.version)
	if e.dialect == XStream {
		version = int64(e.version)
	}
	return e.write("applications", []eurekaField{{"versions__delta", version}, {"apps__hashcode", e.hash()}, {"application", apps}}, asXML)
}

// hash is each status with its count, by name.
func (e *Eureka) hash() string {
	if e.fault == WrongHash {
		return "UP_4711_"
	}
	count := make(map[string]int)
	for _, i := range e.all {
		count[i.effective()]++
	}
	var b strings.Builder
	for _, status := range slices.Sorted(maps.Keys(count)) {
		fmt.Fprintf(&b, "%s_%d_", status, count[status])
	}
	return b.String()
}

func (e *Eureka) write(root string, fields []eurekaField, asXML bool) []byte {
	var b bytes.Buffer
	if asXML {
		writeXML(&b, root, fields)
	} else {
		writeJSON(&b, e.dialect, []eurekaField{{root, fields}})
	}
	return b.Bytes()
}
