package peers

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"encoding/xml"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EurekaInstance is an instance in the stand-in registry.
type EurekaInstance struct {
	ID       string
	App      string
	Host     string
	IP       string
	Port     int
	VIP      string
	Status   string // by its own word
	Override string // by an operator's; it counts before
	Metadata map[string]string
	Dirty    int64 // Unix ms by the instance's clock
	Updated  int64 // Unix ms by the registry's

	renewed time.Time
	upSince int64
}

func (i *EurekaInstance) effective() string {
	if i.Override != "" && i.Override != "UNKNOWN" {
		return i.Override
	}
	return i.Status
}

// EurekaFault is what the stand-in registry does wrong.
type EurekaFault int

// The faults. They last until another is set.
const (
	NoFault    EurekaFault = iota
	Silent                 // takes calls and never answers
	Slow                   // answers after 300 ms
	ServerFail             // 500
	CutBody                // half of the answer
	Stale                  // what it held when the fault began
	WrongHash              // a hash code that does not add up
	EmptyList              // 200 and no instances
	Garbage                // 200 and no JSON
)

// Eureka stands in for a Eureka registry: the REST API as its public description
// has it, with leases, eviction, self-preservation, a queue for deltas, overrides.
type Eureka struct {
	ln     net.Listener
	server *http.Server
	over   chan struct{}
	once   sync.Once

	mu        sync.Mutex
	all       map[string]*EurekaInstance
	order     []string
	queue     []eurekaChange
	retain    time.Duration // how long a change stays in the delta
	lease     time.Duration // 0: leases never run out
	fault     EurekaFault
	staleJSON map[string][]byte // the lists of when the fault Stale began
	skew      time.Duration
	version   int
	calls     map[string]int // by the kind of path
	bytes     int64          // written
	told      []time.Time    // when a good answer to a fetch was on its way
	preserve  bool           // self-preservation: no eviction while too many leases run out
}

type eurekaChange struct {
	at     time.Time
	action string
	copy   EurekaInstance
}

// StartEureka starts a registry on a loopback port of its own, or at addr.
func StartEureka(addr string) (*Eureka, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("eureka: %w", err)
	}
	e := &Eureka{
		ln: ln, over: make(chan struct{}), all: make(map[string]*EurekaInstance), retain: 3 * time.Minute, calls: make(map[string]int),
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(ln)
	return e, nil
}

// URL is its base.
func (e *Eureka) URL() string { return "http://" + e.ln.Addr().String() + "/eureka/v2" }

// Close ends it.
func (e *Eureka) Close() {
	e.once.Do(func() {
		close(e.over)
		e.server.Close()
	})
}

// Fault sets what it does wrong from now on.
func (e *Eureka) Fault(f EurekaFault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	e.staleJSON = nil
	if f == Stale {
		e.staleJSON = map[string][]byte{"/apps": e.answer("/apps", false), "/apps/delta": e.answer("/apps/delta", false)}
	}
}

// Skew sets its clock wrong.
func (e *Eureka) Skew(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.skew = d
}

// Lease makes leases run out that are not renewed for this long.
func (e *Eureka) Lease(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = d
}

// Calls says how many calls of a kind came: /apps, /apps/delta, register, renew, status, cancel.
func (e *Eureka) Calls(kind string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls[kind]
}

// Bytes says how many bytes it wrote as answers to fetches, unpacked.
func (e *Eureka) Bytes() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bytes
}

// Preserving says whether it keeps leases that have run out, as too many have.
func (e *Eureka) Preserving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.evict()
	return e.preserve
}

// Forget lets the changes go that a delta would repeat, as if time had passed.
func (e *Eureka) Forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = nil
}

// Told gives the times at which good answers to fetches were written.
func (e *Eureka) Told() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.told)
}

// Instance gives what it holds under an id.
func (e *Eureka) Instance(id string) (EurekaInstance, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := e.all[id]; i != nil {
		return *i, true
	}
	return EurekaInstance{}, false
}

func (e *Eureka) now() int64 { return time.Now().Add(e.skew).UnixMilli() }

// Register adds or changes an instance, as its own call would.
func (e *Eureka) Register(i EurekaInstance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.register(i)
}

func (e *Eureka) register(i EurekaInstance) {
	action := "ADDED"
	old := e.all[i.ID]
	if old == nil {
		e.order = append(e.order, i.ID)
	} else if i.Override == "" {
		i.Override = old.Override
	}
	if i.Dirty == 0 {
		i.Dirty = time.Now().UnixMilli()
		if old != nil {
			i.Dirty = max(i.Dirty, old.Dirty+1)
		}
	}
	i.Updated, i.renewed = e.now(), time.Now()
	if old != nil {
		i.upSince = old.upSince
		i.Updated = max(i.Updated, old.Updated+1)
	}
	if i.upSince == 0 && i.Status == "UP" {
		i.upSince = e.now()
	}
	e.all[i.ID] = &i
	e.change(action, &i)
}

func (e *Eureka) change(action string, i *EurekaInstance) {
	e.version++
	e.queue = append(e.queue, eurekaChange{time.Now(), action, *i})
}

// Override sets an operator's status; "" takes it back.
func (e *Eureka) Override(id, status string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := e.all[id]
	if i == nil {
		return false
	}
	i.Override = status
	i.Updated = max(e.now(), i.Updated+1)
	e.change("MODIFIED", i)
	return true
}

// Cancel takes an instance out.
func (e *Eureka) Cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancel(id)
}

func (e *Eureka) cancel(id string) bool {
	i := e.all[id]
	if i == nil {
		return false
	}
	delete(e.all, id)
	e.order = slices.DeleteFunc(e.order, func(x string) bool { return x == id })
	i.Updated = max(e.now(), i.Updated+1)
	e.change("DELETED", i)
	return true
}

// evict takes out what was not renewed. Where more than 15 in 100 would go at
// once it keeps them all (self-preservation).
func (e *Eureka) evict() {
	cut := time.Now().Add(-e.retain)
	e.queue = slices.DeleteFunc(e.queue, func(c eurekaChange) bool { return c.at.Before(cut) })
	e.preserve = false
	if e.lease == 0 {
		return
	}
	var late []string
	for id, i := range e.all {
		if time.Since(i.renewed) > e.lease {
			late = append(late, id)
		}
	}
	if len(late)*100 > len(e.all)*15 && len(e.all) > 1 {
		e.preserve = true
		return
	}
	for _, id := range late {
		e.cancel(id)
	}
}

func (e *Eureka) serve(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/eureka/v2")
	if !ok {
		http.NotFound(w, r)
		return
	}
	e.mu.Lock()
	e.evict()
	fault := e.fault
	e.mu.Unlock()
	switch fault {
	case Silent:
		select {
		case <-r.Context().Done():
		case <-e.over:
		}
		return
	case Slow:
		time.Sleep(300 * time.Millisecond)
	case ServerFail:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if r.Method != http.MethodGet {
		e.act(w, r, strings.Split(strings.Trim(path, "/"), "/"))
		return
	}
	e.fetch(w, r, path, fault)
}

func (e *Eureka) fetch(w http.ResponseWriter, r *http.Request, path string, fault EurekaFault) {
	asXML := strings.Contains(r.Header.Get("Accept"), "xml")
	e.mu.Lock()
	kind := path
	if path != "/apps" && path != "/apps/delta" {
		kind = "some"
	}
	e.calls[kind]++
	text := e.answer(path, asXML)
	switch fault {
	case Stale:
		if old := e.staleJSON[path]; old != nil && !asXML {
			text = old
		}
	case EmptyList:
		text = []byte(`{"applications":{"versions__delta":"1","apps__hashcode":"","application":[]}}`)
	case Garbage:
		text = []byte("<html>a proxy's page</html>")
	}
	if text != nil {
		e.bytes += int64(len(text))
		if fault == NoFault || fault == Slow {
			e.told = append(e.told, time.Now())
		}
	}
	e.mu.Unlock()
	if text == nil {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if asXML {
		w.Header().Set("Content-Type", "application/xml")
	}
	if fault == CutBody {
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
	body, _ := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(parts) < 2 || parts[0] != "apps" {
		http.NotFound(w, r)
		return
	}
	if len(parts) == 2 && r.Method == http.MethodPost {
		e.calls["register"]++
		var post struct {
			Instance eurekaJSON `json:"instance"`
		}
		if err := json.Unmarshal(body, &post); err != nil || post.Instance.ID == "" || post.Instance.Host == "" {
			http.Error(w, "an instance is missing", http.StatusBadRequest)
			return
		}
		e.register(post.Instance.instance(parts[1]))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if len(parts) < 3 {
		http.NotFound(w, r)
		return
	}
	i := e.all[parts[2]]
	if i == nil {
		http.NotFound(w, r)
		return
	}
	switch {
	case len(parts) == 3 && r.Method == http.MethodPut:
		e.calls["renew"]++
		i.renewed = time.Now()
		w.WriteHeader(http.StatusOK)
	case len(parts) == 3 && r.Method == http.MethodDelete:
		e.calls["cancel"]++
		e.cancel(i.ID)
		w.WriteHeader(http.StatusOK)
	case len(parts) == 4 && parts[3] == "status" && (r.Method == http.MethodPut || r.Method == http.MethodDelete):
		e.calls["status"]++
		i.Override = r.URL.Query().Get("value")
		if r.Method == http.MethodDelete {
			i.Override = ""
		}
		i.Updated = max(e.now(), i.Updated+1)
		e.change("MODIFIED", i)
		w.WriteHeader(http.StatusOK)
	default:
		http.Error(w, "no such call", http.StatusMethodNotAllowed)
	}
}

// eurekaJSON is an instance as the registry writes it, quirks and all.
type eurekaJSON struct {
	XMLName  xml.Name         `json:"-" xml:"instance"`
	ID       string           `json:"instanceId" xml:"instanceId"`
	Host     string           `json:"hostName" xml:"hostName"`
	App      string           `json:"app" xml:"app"`
	IP       string           `json:"ipAddr" xml:"ipAddr"`
	VIP      string           `json:"vipAddress,omitempty" xml:"vipAddress,omitempty"`
	Status   string           `json:"status" xml:"status"`
	Override string           `json:"overriddenStatus" xml:"overriddenstatus"`
	Port     eurekaPort       `json:"port" xml:"port"`
	Secure   eurekaPort       `json:"securePort" xml:"securePort"`
	Lease    map[string]int64 `json:"leaseInfo" xml:"-"`
	Metadata eurekaMetadata   `json:"metadata" xml:"metadata"`
	Updated  string           `json:"lastUpdatedTimestamp" xml:"lastUpdatedTimestamp"`
	Dirty    string           `json:"lastDirtyTimestamp" xml:"lastDirtyTimestamp"`
	Action   string           `json:"actionType,omitempty" xml:"actionType,omitempty"`
}

type eurekaPort struct {
	Number  int    `json:"$" xml:",chardata"`
	Enabled string `json:"@enabled" xml:"enabled,attr"`
}

type eurekaMetadata map[string]string

// MarshalXML writes elements named by their keys.
func (m eurekaMetadata) MarshalXML(e *xml.Encoder, start xml.StartElement) error {
	e.EncodeToken(start)
	for _, key := range slices.Sorted(maps.Keys(m)) {
		e.EncodeElement(m[key], xml.StartElement{Name: xml.Name{Local: key}})
	}
	return e.EncodeToken(start.End())
}

func (j *eurekaJSON) instance(app string) EurekaInstance {
	dirty, _ := strconv.ParseInt(j.Dirty, 10, 64)
	return EurekaInstance{
		ID: j.ID, App: app, Host: j.Host, IP: j.IP, Port: j.Port.Number, VIP: j.VIP, Status: j.Status, Metadata: j.Metadata, Dirty: dirty,
	}
}

func (i *EurekaInstance) wire(action string) eurekaJSON {
	override := i.Override
	if override == "" {
		override = "UNKNOWN"
	}
	return eurekaJSON{
		ID: i.ID, Host: i.Host, App: i.App, IP: i.IP, VIP: i.VIP, Status: i.effective(), Override: override,
		Port: eurekaPort{i.Port, "true"}, Secure: eurekaPort{443, "false"}, Lease: map[string]int64{"serviceUpTimestamp": i.upSince},
		Metadata: i.Metadata, Updated: strconv.FormatInt(i.Updated, 10), Dirty: strconv.FormatInt(i.Dirty, 10), Action: action,
	}
}

// answer writes what a path gets; nil where there is no such thing.
func (e *Eureka) answer(path string, asXML bool) []byte {
	var list []eurekaJSON
	parts := strings.Split(strings.Trim(path, "/"), "/")
	switch {
	case path == "/apps/delta":
		for _, c := range e.queue {
			list = append(list, c.copy.wire(c.action))
		}
	case path == "/apps":
		for _, id := range e.order {
			list = append(list, e.all[id].wire("ADDED"))
		}
	case len(parts) == 2:
		for _, id := range e.order {
			i := e.all[id]
			if parts[0] == "apps" && strings.EqualFold(i.App, parts[1]) || parts[0] == "vips" && i.VIP == parts[1] {
				list = append(list, i.wire("ADDED"))
			}
		}
		if list == nil {
			return nil
		}
	default:
		return nil
	}
	count := make(map[string]int)
	for _, i := range e.all {
		count[i.effective()]++
	}
	hash := ""
	for _, status := range slices.Sorted(maps.Keys(count)) {
		hash += fmt.Sprintf("%s_%d_", status, count[status])
	}
	if e.fault == WrongHash {
		hash = "UP_4711_"
	}
	byApp := make(map[string][]eurekaJSON)
	var apps []string
	for _, i := range list { // the order of the queue stays, as one app is one element
		if byApp[i.App] == nil {
			apps = append(apps, i.App)
		}
		byApp[i.App] = append(byApp[i.App], i)
	}
	if asXML {
		return e.asXML(apps, byApp, hash)
	}
	one := len(parts) == 2 && parts[0] == "apps" && path != "/apps/delta"
	return e.asJSON(apps, byApp, hash, one)
}

func (e *Eureka) asJSON(apps []string, byApp map[string][]eurekaJSON, hash string, one bool) []byte {
	list := make([]any, 0, len(apps))
	for _, app := range apps {
		var instances any = byApp[app]
		if len(byApp[app]) == 1 { // the quirk: a list of one is written as its element
			instances = byApp[app][0]
		}
		list = append(list, map[string]any{"name": app, "instance": instances})
	}
	var out any = map[string]any{"applications": map[string]any{
		"versions__delta": strconv.Itoa(e.version), "apps__hashcode": hash, "application": list,
	}}
	if one {
		out = map[string]any{"application": list[0]}
	}
	text, err := json.Marshal(out)
	if err != nil {
		return nil
	}
	return text
}

func (e *Eureka) asXML(apps []string, byApp map[string][]eurekaJSON, hash string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "<applications><versions__delta>%d</versions__delta><apps__hashcode>%s</apps__hashcode>", e.version, hash)
	x := xml.NewEncoder(&b)
	for _, app := range apps {
		b.WriteString("<application><name>")
		xml.EscapeText(&b, []byte(app))
		b.WriteString("</name>")
		for _, i := range byApp[app] {
			x.Encode(i)
		}
		b.WriteString("</application>")
	}
	b.WriteString("</applications>")
	return b.Bytes()
}
