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

// Endpoint is an entry of the platform's list.
type Endpoint struct {
	Name        string  `json:"host"`
	Addr        string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineType string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMs int64   `json:"born_ms"`
}

// Discovery stands in for the platform's discovery: the list, and watches of
// its changes.
type Discovery struct {
	ln     net.Listener
	server *http.Server

	mu      sync.Mutex
	seq     uint64
	hosts   map[string]Endpoint
	order   []string
	log     []change
	changed chan struct{} // closed and made anew with each change
}

type change struct {
	seq  uint64
	host Endpoint
}

type listing struct {
	Seq   uint64     `json:"seq"`
	Whole bool       `json:"whole"`
	Hosts []Endpoint `json:"hosts"`
}

// StartDiscovery starts one on a loopback port of its own.
func StartDiscovery(hosts ...Endpoint) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	d := &Discovery{ln: ln, hosts: make(map[string]Endpoint), changed: make(chan struct{})}
	for _, h := range hosts {
		d.Set(h)
	}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(ln)
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.ln.Addr().String() }

// Close ends it and its watches.
func (d *Discovery) Close() { d.server.Close() }

// Set adds or changes an entry; health 'removed' takes it out.
func (d *Discovery) Set(h Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	if _, known := d.hosts[h.Name]; !known {
		d.order = append(d.order, h.Name)
	}
	d.hosts[h.Name] = h
	d.log = append(d.log, change{d.seq, h})
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Discovery) whole() listing {
	l := listing{Seq: d.seq, Whole: true, Hosts: []Endpoint{}}
	for _, name := range d.order {
		if h := d.hosts[name]; h.Health != "removed" {
			l.Hosts = append(l.Hosts, h)
		}
	}
	return l
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		http.NotFound(w, r)
		return
	}
	out := json.NewEncoder(w) // ends each value with a line break
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		l := d.whole()
		d.mu.Unlock()
		out.Encode(l)
		return
	}
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = 0
	}
	tick := time.NewTicker(2 * time.Second)
	defer tick.Stop()
	for first := true; ; first = false {
		d.mu.Lock()
		l := listing{Seq: d.seq, Hosts: []Endpoint{}}
		switch {
		case from > d.seq || first && from == 0:
			l = d.whole()
		default:
			for _, c := range d.log {
				if c.seq > from {
					l.Hosts = append(l.Hosts, c.host)
				}
			}
		}
		changed := d.changed
		d.mu.Unlock()
		if from = l.Seq; first || len(l.Hosts) > 0 {
			out.Encode(l)
		} else {
			fmt.Fprintln(w)
		}
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-tick.C:
		case <-r.Context().Done():
			return
		}
	}
}
