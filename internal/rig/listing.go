package rig

import (
	"net"
	"strconv"

	"mothridge/internal/peers"
)

// eurekaStatus maps the platform's health to the status in a Eureka registry.
var eurekaStatus = map[string]string{"up": "UP", "draining": "OUT_OF_SERVICE"}

// SetHealth sets a node's entry in the endpoint list. health is up, draining or removed. startedAtMs is the
// Unix time of the node's last start in milliseconds; 0 stands for long ago.
func (r *Rig) SetHealth(node *peers.Upstream, health string, startedAtMs int64) {
	if r.Eureka == nil {
		r.Discovery.Set(peers.Endpoint{
			Name: node.Name, Addr: node.Addr(), Zone: "a", MachineType: "m", Cell: 1, Health: health, Weight: 1, StartedAtMs: startedAtMs,
		})
		return
	}
	if health == "removed" {
		r.Eureka.Cancel(node.Name)
		return
	}
	r.Eureka.Register(r.EurekaRegistration(node, node.Name, eurekaStatus[health], startedAtMs))
}

// EurekaRegistration returns the instance with which a node registers under an id with a Eureka registry.
func (r *Rig) EurekaRegistration(node *peers.Upstream, id, status string, startedAtMs int64) peers.EurekaInstance {
	host, port, _ := net.SplitHostPort(node.Addr())
	number, _ := strconv.Atoi(port)
	return peers.EurekaInstance{
		ID: id, App: "RECORDS", Host: host, IP: host, Port: number, Status: status, Metadata: map[string]string{
			"zone": "a", "protocol": string(r.protocol), "weight": "1", "cell": "1",
			"started_ms": strconv.FormatInt(startedAtMs, 10),
		},
	}
}
