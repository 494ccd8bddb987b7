// Package rig is an integration harness: the real sidecar, stand-in nodes and
// discovery in one process, on real loopback sockets. Tests, benchmarks and
// 'sidecar try' run on it.
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

// readyTimeout bounds the wait for the endpoint list after a start.
const readyTimeout = 10 * time.Second

// Rig is a sidecar among its peers.
type Rig struct {
	Addr      string // where clients connect
	Front     peers.Protocol
	Nodes     []*peers.Upstream
	Ledger    *peers.Ledger
	Discovery *peers.Discovery
	Eureka    *peers.Eureka // as the options have it

	protocol peers.Protocol
	guest    bool // the peers are another's
	stop     context.CancelFunc
	ended    chan error
}

// Start puts a rig together and waits until the sidecar has the endpoint list.
func Start(options Options) (*Rig, error) {
	options = options.withDefaults()
	rig := &Rig{
		Front: options.Front, Ledger: peers.NewLedger(options.Times), Eureka: options.Eureka,
		protocol: options.Nodes, ended: make(chan error, 1), stop: func() {},
	}
	if host := options.Beside; host != nil {
		rig.Ledger, rig.Discovery, rig.Nodes, rig.guest = host.Ledger, host.Discovery, host.Nodes, true
		return rig, rig.startSidecar(options)
	}
	var err error
	if rig.Discovery, err = peers.StartDiscovery(); err != nil {
		return nil, err
	}
	if err := rig.startNodes(options); err != nil {
		rig.closePeers()
		return nil, err
	}
	if err := rig.startSidecar(options); err != nil {
		rig.closePeers()
		return nil, err
	}
	return rig, nil
}

func (rig *Rig) startNodes(options Options) error {
	for i := range options.Number {
		node, err := peers.StartUpstream(options.Nodes, fmt.Sprintf("records-%02d", i+1), rig.Ledger, options.Script)
		if err != nil {
			return err
		}
		rig.Nodes = append(rig.Nodes, node)
		rig.List(node, "up", 0)
	}
	return nil
}

func (rig *Rig) startSidecar(options Options) error {
	listeners, err := listen(options)
	if err != nil {
		return err
	}
	httpAddress := listeners[0].Addr().String()
	rig.Addr = listeners[len(listeners)-1].Addr().String()
	text, err := options.platformConfig(httpAddress, rig.Discovery.Addr())
	if err != nil {
		return err
	}
	config, err := sidecar.ParseConfig(text)
	if err != nil {
		return err
	}
	config.Operator = options.operatorFile(rig.Addr)
	ctx, stop := context.WithCancel(context.Background())
	rig.stop = stop
	go func() { rig.ended <- sidecar.Serve(ctx, options.Reload, config, listeners) }()
	return awaitReady(httpAddress)
}

// listen opens the HTTP/1.1 listener and, where clients speak it, that of MessagePack-RPC.
func listen(options Options) ([]net.Listener, error) {
	count := 1
	if options.Front != peers.HTTP {
		count = 2
	}
	var listeners []net.Listener
	for range count {
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if options.Listener != nil {
			listener = options.Listener(listener.(*net.TCPListener))
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// awaitReady waits until the sidecar is ready.
func awaitReady(address string) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ready(address) {
			return nil
		}
	}
	return errors.New("the sidecar does not get ready")
}

// Client makes a client that speaks as the front does.
func (rig *Rig) Client() peers.Client { return peers.NewClient(rig.Front, rig.Addr) }

// Stop ends the sidecar as a planned restart does; Ended brings how it ended.
// The peers go on until Close.
func (rig *Rig) Stop() { rig.stop() }

// Ended brings how the sidecar ended.
func (rig *Rig) Ended() <-chan error { return rig.ended }

// Close ends everything.
func (rig *Rig) Close() error {
	rig.stop()
	if !rig.guest {
		rig.closeNodes() // nothing holds the sidecar up
	}
	err := <-rig.ended
	rig.ended <- err
	if !rig.guest {
		rig.Discovery.Close()
	}
	return err
}

func (rig *Rig) closeNodes() {
	for _, node := range rig.Nodes {
		node.Close()
	}
}

func (rig *Rig) closePeers() {
	rig.closeNodes()
	rig.Discovery.Close()
}
