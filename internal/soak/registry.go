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

// entry is a line of the list, as the protocol has it.
type entry struct {
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
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// registry is the list that all agents push.
type registry struct {
	mu      sync.Mutex
	seq     uint64
	entries map[string]entry
	log     []listing // one change each
	changed chan struct{}
}

func newRegistry() *registry {
	return &registry{entries: make(map[string]entry), changed: make(chan struct{})}
}

// set changes an entry; health removed takes it out.
func (r *registry) set(e entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	if r.entries[e.Host] = e; e.Health == "removed" {
		delete(r.entries, e.Host)
	}
	r.log = append(r.log, listing{Seq: r.seq, Hosts: []entry{e}})
	close(r.changed)
	r.changed = make(chan struct{})
}

// since returns the list from a version on, and what is closed at its next change.
func (r *registry) since(from uint64, whole bool) (listing, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := listing{Seq: r.seq, Whole: whole, Hosts: []entry{}}
	if whole {
		for _, e := range r.entries {
			l.Hosts = append(l.Hosts, e)
		}
		return l, r.changed
	}
	for _, change := range r.log {
		if change.Seq > from {
			l.Hosts = append(l.Hosts, change.Hosts...)
		}
	}
	return l, r.changed
}

// agent is the discovery of one sidecar: it answers at once with what it has been sent,
// and is silent while discovery is down.
type agent struct {
	list   *registry
	ln     net.Listener
	server *http.Server

	mu     sync.Mutex
	downTo time.Time     // silent until then
	slowBy time.Duration // before each answer
	slowAt time.Time     // it was slow until then; zero: never
	reset  chan struct{} // closed to end all watches
	muted  time.Time     // watches that were opened before then say nothing any more
}

func newAgent(list *registry) (*agent, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{list: list, ln: ln, reset: make(chan struct{})}
	a.server = &http.Server{Handler: http.HandlerFunc(a.serve)}
	go a.server.Serve(ln)
	return a, nil
}

func (a *agent) addr() string { return a.ln.Addr().String() }

// goDown silences the agent for a time. Calls made meanwhile are never answered.
func (a *agent) goDown(d time.Duration) {
	a.mu.Lock()
	a.downTo = time.Now().Add(d)
	a.mu.Unlock()
}

// mute makes the open watches fall silent.
func (a *agent) mute() {
	a.mu.Lock()
	a.muted = time.Now()
	a.mu.Unlock()
}

// resetWatches ends the open watches.
func (a *agent) resetWatches() {
	a.mu.Lock()
	close(a.reset)
	a.reset = make(chan struct{})
	a.mu.Unlock()
}

func (a *agent) setSlow(d time.Duration) {
	a.mu.Lock()
	a.slowBy, a.slowAt = d, time.Now()
	a.mu.Unlock()
}

// slowSince says whether the agent has been slow since a time.
func (a *agent) slowSince(t time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slowBy > 0 || a.slowAt.After(t)
}

// silentSince says whether what was opened at a time gets nothing (more).
func (a *agent) silentSince(opened time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return opened.Before(a.downTo) && !a.downTo.IsZero() || opened.Before(a.muted)
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	reset, slowBy, opened := a.reset, a.slowBy, time.Now()
	a.mu.Unlock()
	time.Sleep(slowBy)
	if a.silentSince(opened) {
		<-r.Context().Done()
		return
	}
	out := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		l, _ := a.list.since(0, true)
		out.Encode(l)
		return
	}
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	blank := time.NewTicker(2 * time.Second)
	defer blank.Stop()
	for first := true; ; first = false {
		l, changed := a.list.since(from, first && from == 0)
		if a.silentSince(opened) {
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
