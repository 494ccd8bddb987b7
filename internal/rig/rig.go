// Package rig is an integration harness. It runs the real sidecar, stand-in nodes and a stand-in discovery in one
// process, on real loopback sockets. Tests, benchmarks and 'sidecar try' use it.
package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/sidecar"
)

// readyTimeout is the maximum time that a started sidecar may take to get the endpoint list.
const readyTimeout = 10 * time.Second

// Rig is a sidecar with its stand-in nodes and discovery.
type Rig struct {
	Addr      string // address to which clients connect
	Front     peers.Protocol
	Nodes     []*peers.Upstream
	Ledger    *peers.Ledger
	Discovery *peers.Discovery
	Eureka    *peers.EurekaRegistry // from the options; may be nil

	protocol    peers.Protocol
	sharesPeers bool // the nodes and the discovery belong to another rig
	stop        context.CancelFunc
	ended       chan error
}

// Start starts a rig and waits until the sidecar has the endpoint list.
func Start(options Options) (*Rig, error) {
	options = options.withDefaults()
	r := &Rig{
		Front: options.ClientProtocol, Ledger: peers.NewLedger(options.KeepAttemptTimes), Eureka: options.Eureka,
		protocol: options.NodeProtocol, ended: make(chan error, 1), stop: func() {},
	}
	if host := options.SharePeersOf; host != nil {
		r.Ledger, r.Discovery, r.Nodes, r.sharesPeers = host.Ledger, host.Discovery, host.Nodes, true
		return r, r.startSidecar(options)
	}
	var err error
	if r.Discovery, err = peers.StartDiscovery(); err != nil {
		return nil, err
	}
	if err := r.startNodes(options); err != nil {
		r.closePeers()
		return nil, err
	}
	if err := r.startSidecar(options); err != nil {
		r.closePeers()
		return nil, err
	}
	return r, nil
}

// startNodes starts the nodes and adds them to the endpoint list.
func (r *Rig) startNodes(options Options) error {
	for i := range options.NodeCount {
		node, err := peers.StartUpstream(options.NodeProtocol, fmt.Sprintf("records-%02d", i+1), r.Ledger, options.Script)
		if err != nil {
			return err
		}
		r.Nodes = append(r.Nodes, node)
		r.SetHealth(node, "up", 0)
	}
	return nil
}

// startSidecar starts the sidecar and waits until it is ready.
func (r *Rig) startSidecar(options Options) error {
	listeners, err := listen(options)
	if err != nil {
		return err
	}
	httpAddress := listeners[0].Addr().String()
	r.Addr = listeners[len(listeners)-1].Addr().String()
	text, err := options.platformConfig(httpAddress, r.Discovery.Addr())
	if err != nil {
		return err
	}
	config, err := sidecar.ParseConfig(text)
	if err != nil {
		return err
	}
	config.Operator = options.operatorFile(r.Addr)
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	go func() { r.ended <- sidecar.Serve(ctx, options.Reload, config, listeners) }()
	return awaitReady(httpAddress)
}

// listen opens the HTTP/1.1 listener and, if clients use MessagePack-RPC, a second listener for that protocol.
func listen(options Options) ([]net.Listener, error) {
	count := 1
	if options.ClientProtocol != peers.HTTP {
		count = 2
	}
	var listeners []net.Listener
	for range count {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if options.WrapListener != nil {
			listener = options.WrapListener(listener.(*net.TCPListener))
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// awaitReady waits until the sidecar is ready. It returns an error after readyTimeout.
func awaitReady(address string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if isReady(address) {
			return nil
		}
	}
	return errors.New("the sidecar did not become ready in time")
}

// Client returns a client with the protocol of the sidecar's front end.
func (r *Rig) Client() peers.Client { return peers.NewClient(r.Front, r.Addr) }

// Stop shuts the sidecar down as in a planned restart, without waiting. The nodes and the discovery run until
// Close.
func (r *Rig) Stop() { r.stop() }

// Ended returns a channel that receives the error of the sidecar when it ends, nil after a normal shutdown.
func (r *Rig) Ended() <-chan error { return r.ended }

// Close stops the sidecar and waits for it to end, and closes the nodes and the discovery unless they belong to
// another rig. It returns the error of the sidecar.
func (r *Rig) Close() error {
	r.stop()
	if !r.sharesPeers {
		r.closeNodes() // so that no request in flight delays the sidecar's shutdown
	}
	err := <-r.ended
	r.ended <- err
	if !r.sharesPeers {
		r.Discovery.Close()
	}
	return err
}

func (r *Rig) closeNodes() {
	for _, node := range r.Nodes {
		node.Close()
	}
}

func (r *Rig) closePeers() {
	r.closeNodes()
	r.Discovery.Close()
}
