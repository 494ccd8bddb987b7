package load

import (
	"context"
	"fmt"
	"sync"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
	"mothridge/internal/rig"
)

// Play plays a scenario on sockets: its nodes, real sidecars and its clients, all in this
// process. Faults that sockets cannot play, and what only the model has (connections' cost,
// delays, the membership package), are an error that names them, so that nothing is
// compared that was not played. It blocks until the scenario has ended, or ctx has.
func Play(ctx context.Context, s fleet.Scenario, protocol peers.Protocol, maxRequests int, progress func(Progress)) (*Result, error) {
	if err := checkPlayable(&s); err != nil {
		return nil, err
	}
	w := &world{scenario: &s}
	defer w.close()
	if err := w.start(protocol); err != nil {
		return nil, err
	}
	o := Options{Scenario: s, Protocol: protocol, MaxRequests: maxRequests, Progress: progress}
	for _, r := range w.rigs {
		o.Targets = append(o.Targets, r.Addr)
	}
	ctx, cancel := context.WithCancel(ctx)
	var faults sync.WaitGroup
	for _, fault := range s.Faults {
		faults.Go(func() { w.playFault(ctx, fault) })
	}
	r, err := Run(ctx, o)
	cancel()
	faults.Wait()
	if err != nil {
		return nil, err
	}
	for _, twice := range w.rigs[0].Ledger.ExecutedTwice(func(string) bool { return true }) {
		r.Violations = append(r.Violations, "rule 2: "+twice)
	}
	return r, nil
}

// sidecarSockets is the bound on each sidecar's descriptors.
const sidecarSockets = 4096

// world is the nodes and the sidecars of a scenario.
type world struct {
	scenario *fleet.Scenario
	nodes    []*Node
	rigs     []*rig.Rig // a sidecar each; the first one has the nodes and the discovery of all
}

func (w *world) start(protocol peers.Protocol) error {
	s := w.scenario
	for i := range s.Nodes {
		w.nodes = append(w.nodes, NewNode(s.NodeParamsAt(i), s.Classes[0].Work))
	}
	o := rig.Options{
		Front: protocol, Nodes: protocol, Number: s.Nodes, Slots: s.Slots, Settings: w.settings(), Sockets: sidecarSockets,
	}
	for i := range s.Sidecars {
		o.Seed = fmt.Sprint(s.Seed + uint64(i))
		r, err := rig.Start(o)
		if err != nil {
			return err
		}
		w.rigs = append(w.rigs, r)
		if i > 0 {
			continue
		}
		o.Beside = r
		for n := range r.Nodes {
			r.Nodes[n].SetScript(w.nodes[n].Script)
			w.setEndpoint(n, "up", 0)
		}
	}
	return nil
}

func (w *world) close() {
	for _, node := range w.nodes {
		node.Close() // first: the sidecars' shutdown waits for their responses
	}
	for i := len(w.rigs) - 1; i >= 0; i-- {
		_ = w.rigs[i].Close() // the result is there
	}
}

// setEndpoint changes the discovery's entry of a node.
func (w *world) setEndpoint(i int, health string, startedAtMS int64) {
	node := w.rigs[0].Nodes[i]
	w.rigs[0].Discovery.Set(peers.Endpoint{
		Name: node.Name, Addr: node.Addr(), Zone: "a", MachineType: "m", Cell: i,
		Health: health, Weight: w.scenario.NodeCapacity(i), StartedAtMs: startedAtMS,
	})
}
