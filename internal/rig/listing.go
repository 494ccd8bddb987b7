package rig

import (
	"net"
	"strconv"

	"mothridge/internal/peers"
)

// eurekaStatus is the status in a Eureka registry by the platform's health.
var eurekaStatus = map[string]string{"up": "UP", "draining": "OUT_OF_SERVICE"}

// List sets a node's entry in the endpoint list; health is up, draining or
// removed, started its last start in Unix ms, zero for long ago.
func (rig *Rig) List(node *peers.Upstream, health string, started int64) {
	if rig.Eureka == nil {
		rig.Discovery.Set(peers.Endpoint{
			Name: node.Name, Addr: node.Addr(), Zone: "a", MachineType: "m", Cell: 1, Health: health, Weight: 1, StartedAtMs: started,
		})
		return
	}
	if health == "removed" {
		rig.Eureka.Cancel(node.Name)
		return
	}
	rig.Eureka.Register(rig.Instance(node, node.Name, eurekaStatus[health], started))
}

// Instance is a node as it registers with a Eureka registry under an id.
func (rig *Rig) Instance(node *peers.Upstream, id, status string, started int64) peers.EurekaInstance {
	host, port, _ := net.SplitHostPort(node.Addr())
	number, _ := strconv.Atoi(port)
	return peers.EurekaInstance{
		ID: id, App: "RECORDS", Host: host, IP: host, Port: number, Status: status, Metadata: map[string]string{
			"zone": "a", "protocol": string(rig.protocol), "weight": "1", "cell": "1",
			"started_ms": strconv.FormatInt(started, 10),
		},
	}
}
