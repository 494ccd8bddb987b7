package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// registered is an instance in a Eureka registry.
type registered struct {
	node               *node
	status             string
	updated, lastDirty int64 // Unix time in milliseconds
}

// replica is a stand-in for one replica of a Eureka registry. It answers the queries for the application RECORDS.
type replica struct {
	name, address string
	play          *play

	mu        sync.Mutex
	instances []registered
	silent    bool
	answered  chan struct{} // gets a value with each answer
}

func startReplica(p *play, name string, nodes []*node) (*replica, error) {
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	r := &replica{name: name, address: listener.Addr().String(), play: p, answered: make(chan struct{}, 1000)}
	now := time.Now().Add(-time.Hour).UnixMilli()
	for _, n := range nodes {
		r.instances = append(r.instances, registered{node: n, status: "UP", updated: now, lastDirty: now})
	}
	go http.Serve(listener, http.HandlerFunc(r.serve))
	return r, nil
}

// setStatus sets the status of an instance, as PUT .../status does: the instance's own time does not change.
func (r *replica) setStatus(n *node, status string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.instances {
		if r.instances[i].node == n {
			r.instances[i].status, r.instances[i].updated = status, time.Now().UnixMilli()
		}
	}
	r.play.record("registry %s: %s is %s", r.name, n.name, status)
}

// setSilent makes the replica take calls and answer none, or answer again.
func (r *replica) setSilent(silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent = silent
	r.play.record("registry %s: silent %v", r.name, silent)
}

func (r *replica) serve(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	silent := r.silent
	r.mu.Unlock()
	if silent {
		<-request.Context().Done()
		return
	}
	if !strings.HasSuffix(request.URL.Path, "/apps/RECORDS") {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(r.application())
	select {
	case r.answered <- struct{}{}:
	default:
	}
}

// application returns the list in the form of Eureka's REST API.
func (r *replica) application() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	var instances []any
	text := r.name + ":"
	for _, i := range r.instances {
		host, port, _ := net.SplitHostPort(i.node.address)
		number, _ := strconv.Atoi(port)
		instances = append(instances, map[string]any{
			"instanceId": i.node.name, "hostName": host, "app": "RECORDS", "ipAddr": host, "status": i.status, "overriddenstatus": "UNKNOWN",
			"port":                 map[string]any{"$": number, "@enabled": "true"},
			"securePort":           map[string]any{"$": 443, "@enabled": "false"},
			"dataCenterInfo":       map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
			"lastUpdatedTimestamp": strconv.FormatInt(i.updated, 10), "lastDirtyTimestamp": strconv.FormatInt(i.lastDirty, 10),
			"actionType": "ADDED", "metadata": map[string]any{"cell": "1", "zone": depot},
		})
		text += " " + i.node.name + " " + i.status
	}
	r.play.record("registry told by %s", text)
	return map[string]any{"application": map[string]any{"name": "RECORDS", "instance": instances}}
}
