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

// hostEntry is a line of the list, as the protocol has it.
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

type listing struct {
	Seq   uint64      `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []hostEntry `json:"hosts"`
}

// registry is the list that all agents push.
type registry struct {
	mu      sync.Mutex
	seq     uint64
	entries map[string]hostEntry
	changes []listing // one change each
	changed chan struct{}
}

func newRegistry() *registry {
	return &registry{entries: make(map[string]hostEntry), changed: make(chan struct{})}
}

// set changes an entry; health removed takes it out.
func (r *registry) set(e hostEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	if r.entries[e.Host] = e; e.Health == "removed" {
		delete(r.entries, e.Host)
	}
	r.changes = append(r.changes, listing{Seq: r.seq, Hosts: []hostEntry{e}})
	close(r.changed)
	r.changed = make(chan struct{})
}

// since returns the list from a version on, and what is closed at its next change.
func (r *registry) since(from uint64, whole bool) (listing, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := listing{Seq: r.seq, Whole: whole, Hosts: []hostEntry{}}
	if whole {
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

// agent is the discovery of one sidecar: it answers at once with what it has been sent,
// and is silent while discovery is down.
type agent struct {
	registry *registry
	ln       net.Listener
	server   *http.Server

	mu             sync.Mutex
	downUntil      time.Time     // silent until then
	responseDelay  time.Duration // before each answer
	delaySetAt     time.Time     // it was slow until then; zero: never
	watchReset     chan struct{} // closed to end all watches
	watchesMutedAt time.Time     // watches that were opened before then say nothing any more
}

func newAgent(list *registry) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{registry: list, ln: ln, watchReset: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(ln)
	return a, nil
}

func (a *agent) addr() string { return a.ln.Addr().String() }

// stopResponding silences the agent for a time. Calls made meanwhile are never answered.
func (a *agent) stopResponding(d time.Duration) {
	a.mu.Lock()
	a.downUntil = time.Now().Add(d)
	a.mu.Unlock()
}

// muteWatches makes the open watches fall silent.
func (a *agent) muteWatches() {
	a.mu.Lock()
	a.watchesMutedAt = time.Now()
	a.mu.Unlock()
}

// resetWatches ends the open watches.
func (a *agent) resetWatches() {
	a.mu.Lock()
	close(a.watchReset)
	a.watchReset = make(chan struct{})
	a.mu.Unlock()
}

func (a *agent) setResponseDelay(d time.Duration) {
	a.mu.Lock()
	a.responseDelay, a.delaySetAt = d, time.Now()
	a.mu.Unlock()
}

// delayedSince says whether the agent has been slow since a time.
func (a *agent) delayedSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.responseDelay > 0 || a.delaySetAt.After(t)
}

// isSilent says whether what was opened at a time gets nothing (more).
func (a *agent) isSilent(opened time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return opened.Before(a.downUntil) && !a.downUntil.IsZero() || opened.Before(a.watchesMutedAt)
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	reset, slowBy, opened := a.watchReset, a.responseDelay, time.Now()
	a.mu.Unlock()
	time.Sleep(slowBy)
	if a.isSilent(opened) {
		<-r.Context().Done()
		return
	}
	out := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		l, _ := a.registry.since(0, true)
		out.Encode(l)
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	blank := time.NewTicker(2 * time.Second)
	defer blank.Stop()
	for first := true; ; first = false {
		l, changed := a.registry.since(from, first && from == 0)
		if a.isSilent(opened) {
			<-r.Context().Done()
			return
		}
		if from = l.Seq; first || len(l.Hosts) > 0 {
			out.Encode(l)
		} else {
			fmt.Fprintln(w)
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-blank.C:
		case <-reset:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}
