package peers

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	listPath           = "/registry/instances"
	watchHeartbeatTime = 2 * time.Second // interval of the empty lines that a watch writes while nothing changes
	removedHealth      = "removed"
)

// Endpoint is an entry of the platform's endpoint list. The JSON tags are the platform's names.
type Endpoint struct {
	Name        string  `json:"host"`
	Addr        string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineType string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"` // up, draining or removed
	Weight      float64 `json:"share"`
	StartedAtMs int64   `json:"born_ms"` // Unix time of the last start; 0: long ago
}

// Discovery is a stand-in for the platform's discovery. It serves the endpoint list and watches of
// its changes. Discovery is safe for concurrent use. Close ends the goroutines of its HTTP server.
type Discovery struct {
	listener net.Listener
	server   *http.Server

	mu        sync.Mutex
	version   uint64
	endpoints map[string]Endpoint
	names     []string // keys of endpoints in the order in which they were added
	changes   []endpointChange
	changed   chan struct{} // closed and replaced on each change
}

// endpointChange is a changed endpoint with the version of the list that contains the change.
type endpointChange struct {
	version  uint64
	endpoint Endpoint
}

// endpointUpdate is one line of the platform's response: the complete list, or the changed endpoints.
type endpointUpdate struct {
	Version   uint64     `json:"seq"`
	Complete  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// StartDiscovery starts a discovery with the given endpoints on a free loopback port.
func StartDiscovery(endpoints ...Endpoint) (*Discovery, error) {
	listener, err := listen(loopbackAddr)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{
		listener:  listener,
		endpoints: make(map[string]Endpoint),
		changed:   make(chan struct{}),
	}
	for _, endpoint := range endpoints {
		d.Set(endpoint)
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// Addr returns the address that the discovery listens on.
func (d *Discovery) Addr() string { return d.listener.Addr().String() }

// Close stops the server and ends its watches.
func (d *Discovery) Close() { d.server.Close() }

// Set adds or replaces the endpoint with the same name. An endpoint whose health is 'removed' is left
// out of the complete list.
func (d *Discovery) Set(endpoint Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if _, known := d.endpoints[endpoint.Name]; !known {
		d.names = append(d.names, endpoint.Name)
	}
	d.endpoints[endpoint.Name] = endpoint
	d.changes = append(d.changes, endpointChange{d.version, endpoint})
	close(d.changed)
	d.changed = make(chan struct{})
}

// completeList returns the complete list. The caller must hold d.mu.
func (d *Discovery) completeList() endpointUpdate {
	update := endpointUpdate{Version: d.version, Complete: true, Endpoints: []Endpoint{}}
	for _, name := range d.names {
		if endpoint := d.endpoints[name]; endpoint.Health != removedHealth {
			update.Endpoints = append(update.Endpoints, endpoint)
		}
	}
	return update
}

// changesAfter returns the changes after a version. The caller must hold d.mu.
func (d *Discovery) changesAfter(version uint64) endpointUpdate {
	update := endpointUpdate{Version: d.version, Endpoints: []Endpoint{}}
	for _, change := range d.changes {
		if change.version > version {
			update.Endpoints = append(update.Endpoints, change.endpoint)
		}
	}
	return update
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") != "" {
		d.serveWatch(w, r)
		return
	}
	d.mu.Lock()
	update := d.completeList()
	d.mu.Unlock()
	_ = json.NewEncoder(w).Encode(update) // fails only if the client has disconnected
}

// serveWatch writes the changes after the version in the query parameter 'from' as they occur, and
// empty lines as heartbeats in between. A watch from version 0, or from an unknown version, begins
// with the complete list.
func (d *Discovery) serveWatch(w http.ResponseWriter, r *http.Request) {
	encoder := json.NewEncoder(w) // ends each value with a line break
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0
	}
	heartbeat := time.NewTicker(watchHeartbeatTime)
	defer heartbeat.Stop()
	for first := true; ; first = false {
		update, changed := d.nextUpdate(from, first)
		from = update.Version
		if first || len(update.Endpoints) > 0 {
			_ = encoder.Encode(update) // if the client has disconnected, r's context ends
		} else {
			fmt.Fprintln(w)
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-heartbeat.C:
		case <-r.Context().Done():
			return
		}
	}
}

// nextUpdate returns the next line of a watch, and a channel that is closed on the next change.
func (d *Discovery) nextUpdate(from uint64, first bool) (endpointUpdate, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from > d.version || first && from == 0 {
		return d.completeList(), d.changed
	}
	return d.changesAfter(from), d.changed
}
