package rig

import (
	"cmp"
	"net"
	"os"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
)

// Options say what to put together. Zeros take the defaults in brackets.
type Options struct {
	Front  peers.Protocol // how clients speak [HTTP]
	Nodes  peers.Protocol // how nodes speak [HTTP]
	Number int            // of nodes [2]
	Script peers.Script   // of every node [peers.ServeAll]
	Times  bool           // the ledger keeps when each node received something

	Slots     int                                 // in place of the settings' own
	Open      int                                 // requests open on a MessagePack-RPC connection
	Settings  map[string]any                      // replace the default settings, by top-level key
	Listener  func(*net.TCPListener) net.Listener // wraps the one that clients use
	Sockets   int                                 // the sidecar's limit [1024]
	Eureka    *peers.Eureka                       // lists the nodes in the platform's place
	Operators func(*operator.File)                // changes the operators' file
	Reload    <-chan os.Signal                    // the signals that say 'read your files again'
	Seed      string                              // of the decisions ["1"]
	Beside    *Rig                                // its nodes and discovery are used, and closed with it alone
}

// withDefaults gives the options with the defaults in place of zeros.
func (options Options) withDefaults() Options {
	options.Front = cmp.Or(options.Front, peers.HTTP)
	options.Nodes = cmp.Or(options.Nodes, peers.HTTP)
	options.Number = cmp.Or(options.Number, 2)
	options.Sockets = cmp.Or(options.Sockets, 1024)
	options.Seed = cmp.Or(options.Seed, "1")
	if options.Script == nil {
		options.Script = peers.ServeAll
	}
	return options
}

// operatorFile is the operators' file that the options describe; rpcAddress is where
// clients connect with MessagePack-RPC.
func (options Options) operatorFile(rpcAddress string) operator.File {
	file := operator.File{Limits: operator.Limits{Slots: operator.Count(options.Slots)}}
	if options.Front == peers.RPC {
		file.Listeners = []operator.Listener{{
			Protocol: operator.RPC, Address: operator.Address(rpcAddress), MaxInFlight: operator.Count(options.Open),
		}}
	}
	if options.Nodes == peers.RPC {
		file.Pools = []operator.Pool{{Name: "records", Protocol: operator.RPC, Hosts: []operator.Pattern{"records-*"}}}
	}
	if options.Eureka != nil {
		platform := false
		file.Membership = operator.Membership{Platform: &platform, SilentAfter: "2s"}
		file.Eureka = []operator.Eureka{{
			Name: "eureka", Replicas: []operator.URL{operator.URL(options.Eureka.URL())}, Interval: "50ms", Timeout: "1s",
			Metadata: operator.Metadata{
				Zone: "zone", Protocol: "protocol", Weight: "weight", Cell: "cell", StartedAtMS: "started_ms",
			},
		}}
	}
	if options.Operators != nil {
		options.Operators(&file)
	}
	return file
}
