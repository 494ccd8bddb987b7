package load

import (
	"context"
	"fmt"
	"sync"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
	"mothridge/internal/rig"
)

// RunOnSockets runs a scenario on sockets: its nodes, real sidecars and its clients, all in this process. If the
// scenario contains a fault that cannot be injected over sockets, or a feature that only the model has (the cost of
// connections, delays, the membership package), RunOnSockets returns an error that names this part, so that the model
// is never compared with a run that left it out. It blocks until the scenario ends, or ctx ends.
func RunOnSockets(ctx context.Context, s fleet.Scenario, protocol peers.Protocol, maxRequests int, progress func(Progress)) (*Result, error) {
	if err := checkSupported(&s); err != nil {
		return nil, err
	}
	e := &environment{scenario: &s}
	defer e.close()
	if err := e.start(protocol); err != nil {
		return nil, err
	}
	o := Options{Scenario: s, Protocol: protocol, MaxRequests: maxRequests, Progress: progress}
	for _, r := range e.rigs {
		o.Targets = append(o.Targets, r.Addr)
	}
	ctx, cancel := context.WithCancel(ctx)
	var faults sync.WaitGroup
	for _, fault := range s.Faults {
		faults.Go(func() { e.injectFault(ctx, fault) })
	}
	r, err := Run(ctx, o)
	cancel()
	faults.Wait()
	if err != nil {
		return nil, err
	}
	for _, request := range e.rigs[0].Ledger.DescribeRepeatedExecutions(func(string) bool { return true }) {
		r.Violations = append(r.Violations, "rule 2: "+request)
	}
	return r, nil
}

// sidecarSockets limits the file descriptors of each sidecar.
const sidecarSockets = 4096

// environment holds the nodes and the sidecars of a scenario.
type environment struct {
	scenario *fleet.Scenario
	nodes    []*Node
	rigs     []*rig.Rig // one for each sidecar; the first one holds the stand-in nodes and the discovery that all share
}

// start starts the nodes and the sidecars.
func (e *environment) start(protocol peers.Protocol) error {
	s := e.scenario
	for i := range s.Nodes {
		e.nodes = append(e.nodes, NewNode(s.NodeParamsAt(i), s.Classes[0].Work))
	}
	o := rig.Options{
		ClientProtocol: protocol, NodeProtocol: protocol, NodeCount: s.Nodes, Slots: s.Slots, Settings: e.settings(), SocketLimit: sidecarSockets,
	}
	for i := range s.Sidecars {
		o.Seed = fmt.Sprint(s.Seed + uint64(i))
		r, err := rig.Start(o)
		if err != nil {
			return err
		}
		e.rigs = append(e.rigs, r)
		if i > 0 {
			continue
		}
		o.SharePeersOf = r
		for n := range r.Nodes {
			r.Nodes[n].SetScript(e.nodes[n].Respond)
			e.setEndpoint(n, "up", 0)
		}
	}
	return nil
}

// close stops the nodes and the sidecars, and the rig with the shared nodes last.
func (e *environment) close() {
	for _, node := range e.nodes {
		node.Close() // nodes first, because a sidecar's shutdown waits for their responses
	}
	for i := len(e.rigs) - 1; i >= 0; i-- {
		_ = e.rigs[i].Close() // the result is complete, so an error here changes nothing
	}
}

// setEndpoint sets a node's entry in the discovery.
func (e *environment) setEndpoint(i int, health string, startedAtMS int64) {
	node := e.rigs[0].Nodes[i]
	e.rigs[0].Discovery.Set(peers.Endpoint{
		Name: node.Name, Addr: node.Addr(), Zone: "a", MachineType: "m", Cell: i,
		Health: health, Weight: e.scenario.NodeCapacity(i), StartedAtMs: startedAtMS,
	})
}
