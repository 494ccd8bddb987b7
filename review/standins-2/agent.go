package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// entry is an upstream in the list of discovery.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// keepAliveInterval is the time between two empty lines of a watch.
const keepAliveInterval = 2 * time.Second

// agent is a stand-in for the discovery agent on the sidecar's machine. It pushes each change at once.
type agent struct {
	play    *play
	address string

	mu      sync.Mutex
	seq     int
	list    map[string]entry
	changes []change
	wake    chan struct{} // closed and replaced with each change
}

type change struct {
	seq   int
	entry entry
}

func startAgent(p *play, list []entry) (*agent, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	a := &agent{play: p, address: listener.Addr().String(), seq: 1, list: make(map[string]entry), wake: make(chan struct{})}
	for _, e := range list {
		a.list[e.Host] = e
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/registry/instances", a.serve)
	go http.Serve(listener, mux)
	return a, nil
}

// set tells a changed entry.
func (a *agent) set(e entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	if e.Health == "removed" {
		delete(a.list, e.Host)
	} else {
		a.list[e.Host] = e
	}
	a.changes = append(a.changes, change{a.seq, e})
	close(a.wake)
	a.wake = make(chan struct{})
	a.play.record("told: %s at %s, block %d, is %s", e.Host, e.Dial, e.Block, e.Health)
}

// whole returns the whole list as a message.
func (a *agent) whole() map[string]any {
	a.mu.Lock()
	defer a.mu.Unlock()
	hosts := make([]entry, 0, len(a.list))
	for _, e := range a.list {
		hosts = append(hosts, e)
	}
	return map[string]any{"seq": a.seq, "whole": true, "hosts": hosts}
}

// since returns the changes after a version, the new version and a channel that is closed with the next change.
func (a *agent) since(seq int) (hosts []entry, now int, wake chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	hosts = []entry{}
	for _, c := range a.changes {
		if c.seq > seq {
			hosts = append(hosts, c.entry)
		}
	}
	return hosts, a.seq, a.wake
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(a.whole())
		return
	}
	seq := 0
	fmt.Sscan(r.URL.Query().Get("from"), &seq)
	controller := http.NewResponseController(w)
	if seq == 0 { // the sidecar has no list
		whole := a.whole()
		seq = whole["seq"].(int)
		json.NewEncoder(w).Encode(whole)
	}
	for first := true; ; first = false {
		hosts, now, wake := a.since(seq)
		if len(hosts) > 0 || first {
			line, _ := json.Marshal(map[string]any{"seq": now, "whole": false, "hosts": hosts})
			w.Write(append(line, '\n'))
		} else {
			w.Write([]byte("\n"))
		}
		seq = now
		if controller.Flush() != nil {
			return
		}
		select {
		case <-wake:
		case <-time.After(keepAliveInterval):
		case <-r.Context().Done():
			return
		}
	}
}
