package load

import (
	"context"
	"fmt"
	"time"

	"mothridge/internal/fleet"
	"mothridge/policy"
)

// checkPlayable returns an error that names what of a scenario sockets cannot play.
func checkPlayable(s *fleet.Scenario) error {
	if err := s.Check(); err != nil {
		return err
	}
	if s.Policy != "" && s.Policy != fleet.Mothridge {
		return fmt.Errorf("policy %q is a reference: no sidecar has it", s.Policy)
	}
	if s.List.Membership || s.Network.HandshakeWork > 0 || s.List.CellSize != 0 {
		return fmt.Errorf("list.membership, list.cell and network.handshake are the model's alone")
	}
	for i, class := range s.Classes {
		byKey := policy.Idempotency(class.Idempotency) == policy.IdempotentByKey
		if byKey && class.DedupScope != fleet.DedupScope(policy.ScopeAll) {
			return fmt.Errorf("class %d: the stand-in nodes remember keys in common: scope all is meant", i)
		}
	}
	for i, fault := range s.Faults {
		if err := checkFault(i, fault); err != nil {
			return err
		}
	}
	return nil
}

func checkFault(i int, fault fleet.Fault) error {
	switch fault.Kind {
	case fleet.Hang, fleet.Drain, fleet.Restart, fleet.TrafficBurst:
	case fleet.StealCPU:
		if fault.Period > 0 {
			return fmt.Errorf("trouble %d: steal with every is the model's alone", i)
		}
	default:
		return fmt.Errorf("trouble %d: %s is the model's alone", i, fault.Kind)
	}
	restartTakesTime := fault.Kind == fleet.Restart && fault.Duration > 0
	if fault.NodeShare > 0 || restartTakesTime {
		return fmt.Errorf("trouble %d: over sockets one node is meant, and a restart that takes no time", i)
	}
	return nil
}

// playFault begins a fault at its time and ends it. It blocks until then, or until ctx ends.
func (w *world) playFault(ctx context.Context, fault fleet.Fault) {
	inPlan := fault.Kind == fleet.TrafficBurst
	if inPlan || !sleep(ctx, fault.Start) {
		return
	}
	announce := func(health string, startedAtMS int64) {
		if sleep(ctx, w.scenario.List.MaxDelay/2) { // the mean delay of the model
			w.setEndpoint(fault.Node, health, startedAtMS)
		}
	}
	switch fault.Kind {
	case fleet.Drain:
		announce("draining", 0)
		if fault.Duration > 0 && sleep(ctx, fault.Duration) {
			announce("up", 0)
		}
	case fleet.Restart:
		startedAtMS := time.Now().UnixMilli()
		w.nodes[fault.Node].BeginFault(fault)
		w.rigs[0].Nodes[fault.Node].ResetConnections()
		announce("up", startedAtMS)
	default:
		end := w.nodes[fault.Node].BeginFault(fault)
		if fault.Duration > 0 && sleep(ctx, fault.Duration) {
			end()
		}
	}
}
