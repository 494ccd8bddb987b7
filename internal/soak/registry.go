package soak

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// hostEntry is one host of a listing, with the names of the platform's discovery protocol.
type hostEntry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// listMessage is a message of the platform's discovery protocol: the complete list of hosts, or changes only.
type listMessage struct {
	Seq   uint64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []hostEntry `json:"hosts"`
}

// registry holds the hosts that all agents report. It is safe for concurrent use.
type registry struct {
	mu      sync.Mutex
	seq     uint64
	entries map[string]hostEntry // by host name
	changes []listMessage        // with one changed host each, oldest first
	changed chan struct{}        // closed and replaced at each change
}

func newRegistry() *registry {
	return &registry{entries: make(map[string]hostEntry), changed: make(chan struct{})}
}

// set adds or replaces an entry. An entry with the health "removed" is deleted.
func (r *registry) set(e hostEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	if r.entries[e.Host] = e; e.Health == "removed" {
		delete(r.entries, e.Host)
	}
	r.changes = append(r.changes, listMessage{Seq: r.seq, Hosts: []hostEntry{e}})
	close(r.changed)
	r.changed = make(chan struct{})
}

// since returns the changes after the sequence number from, or the complete list if complete is true, and
// a channel that is closed at the next change.
func (r *registry) since(from uint64, complete bool) (listMessage, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := listMessage{Seq: r.seq, Whole: complete, Hosts: []hostEntry{}}
	if complete {
		for _, e := range r.entries {
			l.Hosts = append(l.Hosts, e)
		}
		return l, r.changed
	}
	for _, change := range r.changes {
		if change.Seq > from {
			l.Hosts = append(l.Hosts, change.Hosts...)
		}
	}
	return l, r.changed
}

// agent is a stand-in for the discovery agent of one sidecar. It responds at once with the registry's
// hosts, unless a fault delays or silences its responses.
type agent struct {
	registry *registry
	ln       net.Listener
	server   *http.Server

	mu             sync.Mutex
	downUntil      time.Time     // requests that start before then get no response
	responseDelay  time.Duration // before each response
	delaySetAt     time.Time     // last change of responseDelay; zero: never
	watchReset     chan struct{} // closed to end all open watches
	watchesMutedAt time.Time     // watches opened before then send nothing more
}

// newAgent starts an agent on a free loopback port.
func newAgent(hosts *registry) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{registry: hosts, ln: ln, watchReset: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(ln)
	return a, nil
}

func (a *agent) addr() string { return a.ln.Addr().String() }

// stopResponding silences the agent for d. Requests that start in that time never get a response.
func (a *agent) stopResponding(d time.Duration) {
	a.mu.Lock()
	a.downUntil = time.Now().Add(d)
	a.mu.Unlock()
}

// muteWatches makes the open watches send nothing more. They stay open.
func (a *agent) muteWatches() {
	a.mu.Lock()
	a.watchesMutedAt = time.Now()
	a.mu.Unlock()
}

// resetWatches aborts the connections of the open watches.
func (a *agent) resetWatches() {
	a.mu.Lock()
	close(a.watchReset)
	a.watchReset = make(chan struct{})
	a.mu.Unlock()
}

// setResponseDelay delays each response to a request that starts from now on by d.
func (a *agent) setResponseDelay(d time.Duration) {
	a.mu.Lock()
	a.responseDelay, a.delaySetAt = d, time.Now()
	a.mu.Unlock()
}

// delayedSince reports whether the agent delays its responses now or did so after t.
func (a *agent) delayedSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.responseDelay > 0 || a.delaySetAt.After(t)
}

// isSilent reports whether the agent sends nothing, or nothing more, on a request or watch opened at openedAt.
func (a *agent) isSilent(openedAt time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return openedAt.Before(a.downUntil) && !a.downUntil.IsZero() || openedAt.Before(a.watchesMutedAt)
}

// serve responds with the complete list, or with a watch: first the list or the changes since from, then
// each change, and an empty line whenever nothing has changed for 2 s.
func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	reset, delay, openedAt := a.watchReset, a.responseDelay, time.Now()
	a.mu.Unlock()
	time.Sleep(delay)
	if a.isSilent(openedAt) {
		<-r.Context().Done()
		return
	}
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		l, _ := a.registry.since(0, true)
		encoder.Encode(l)
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	keepAlive := time.NewTicker(2 * time.Second)
	defer keepAlive.Stop()
	for first := true; ; first = false {
		l, changed := a.registry.since(from, first && from == 0)
		if a.isSilent(openedAt) {
			<-r.Context().Done()
			return
		}
		if from = l.Seq; first || len(l.Hosts) > 0 {
			encoder.Encode(l)
		} else {
			fmt.Fprintln(w)
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-keepAlive.C:
		case <-reset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
