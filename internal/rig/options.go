package rig

import (
	"cmp"
	"net"
	"os"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
)

// Options configures a rig. Zero values stand for the defaults in brackets.
type Options struct {
	ClientProtocol   peers.Protocol // protocol of the clients [HTTP]
	NodeProtocol     peers.Protocol // protocol of the nodes [HTTP]
	NodeCount        int            // number of nodes [2]
	Script           peers.Script   // script of each node [peers.ServeAll]
	KeepAttemptTimes bool           // the ledger keeps the time of each attempt by node

	Slots              int                                 // slots of the sidecar [derived from the settings]
	MaxInFlightPerConn int                                 // limit for a client's MessagePack-RPC connection
	Settings           map[string]any                      // settings that replace the default ones, by top-level key
	WrapListener       func(*net.TCPListener) net.Listener // wraps each listener of the sidecar
	SocketLimit        int                                 // maximum number of sockets of the sidecar [1024]
	Eureka             *peers.EurekaRegistry               // lists the nodes instead of the platform's discovery
	ConfigureOperator  func(*operator.File)                // changes the operators' file before the sidecar starts
	Reload             <-chan os.Signal                    // signals on which the sidecar reloads its files
	Seed               string                              // seed of the sidecar's decisions ["1"]

	// SharePeersOf is another rig whose nodes and discovery this rig uses. Only the other rig's Close closes them.
	SharePeersOf *Rig
}

// withDefaults returns the options with the defaults instead of zero values.
func (o Options) withDefaults() Options {
	o.ClientProtocol = cmp.Or(o.ClientProtocol, peers.HTTP)
	o.NodeProtocol = cmp.Or(o.NodeProtocol, peers.HTTP)
	o.NodeCount = cmp.Or(o.NodeCount, 2)
	o.SocketLimit = cmp.Or(o.SocketLimit, 1024)
	o.Seed = cmp.Or(o.Seed, "1")
	if o.Script == nil {
		o.Script = peers.ServeAll
	}
	return o
}

// operatorFile returns the operators' file that the options describe. rpcAddress is the address of the
// MessagePack-RPC listener.
func (o Options) operatorFile(rpcAddress string) operator.File {
	file := operator.File{Limits: operator.Limits{Slots: operator.Count(o.Slots)}}
	if o.ClientProtocol == peers.RPC {
		file.Listeners = []operator.Listener{{
			Protocol: operator.RPC, Address: operator.Address(rpcAddress), MaxInFlight: operator.Count(o.MaxInFlightPerConn),
		}}
	}
	if o.NodeProtocol == peers.RPC {
		file.Pools = []operator.Pool{{Name: "records", Protocol: operator.RPC, Hosts: []operator.Pattern{"records-*"}}}
	}
	if o.Eureka != nil {
		platform := false
		file.Membership = operator.Membership{Platform: &platform, SilentAfter: "2s"}
		file.Eureka = []operator.Eureka{{
			Name: "eureka", Replicas: []operator.URL{operator.URL(o.Eureka.URL())}, Interval: "50ms", Timeout: "1s",
			Metadata: operator.Metadata{
				Zone: "zone", Protocol: "protocol", Weight: "weight", Cell: "cell", StartedAtMS: "started_ms",
			},
		}}
	}
	if o.ConfigureOperator != nil {
		o.ConfigureOperator(&file)
	}
	return file
}
