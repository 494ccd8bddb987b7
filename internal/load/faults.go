package load

import (
	"context"
	"fmt"
	"time"

	"mothridge/internal/fleet"
	"mothridge/policy"
)

// checkSupported returns an error that names the first part of a scenario that cannot run over sockets.
func checkSupported(s *fleet.Scenario) error {
	if err := s.Check(); err != nil {
		return err
	}
	if s.Policy != "" && s.Policy != fleet.Mothridge {
		return fmt.Errorf("policy %q is a reference policy of the model, which sidecars do not implement", s.Policy)
	}
	if s.List.Membership || s.Network.HandshakeWork > 0 || s.List.CellSize != 0 {
		return fmt.Errorf("list.membership, list.cell and network.handshake are supported only in the model")
	}
	for i, class := range s.Classes {
		byKey := policy.Idempotency(class.Idempotency) == policy.IdempotentByKey
		if byKey && class.DedupScope != fleet.DedupScope(policy.ScopeAll) {
			return fmt.Errorf("class %d: scope must be all, because the stand-in nodes share their idempotency keys", i)
		}
	}
	for i, fault := range s.Faults {
		if err := checkFault(i, fault); err != nil {
			return err
		}
	}
	return nil
}

// checkFault returns an error if fault number i cannot be injected over sockets.
func checkFault(i int, fault fleet.Fault) error {
	switch fault.Kind {
	case fleet.Hang, fleet.Drain, fleet.Restart, fleet.TrafficBurst:
	case fleet.StealCPU:
		if fault.Period > 0 {
			return fmt.Errorf("trouble %d: steal with every is supported only in the model", i)
		}
	default:
		return fmt.Errorf("trouble %d: %s is supported only in the model", i, fault.Kind)
	}
	restartTakesTime := fault.Kind == fleet.Restart && fault.Duration > 0
	if fault.NodeShare > 0 || restartTakesTime {
		return fmt.Errorf("trouble %d: over sockets a fault must affect exactly one node, and a restart must take no time", i)
	}
	return nil
}

// injectFault waits for a fault's start time, begins the fault and, if the fault has a duration, ends it afterwards.
// It blocks until these steps are done and returns early if ctx ends. It ignores a traffic burst, because the planned
// arrivals already include the burst.
func (e *environment) injectFault(ctx context.Context, fault fleet.Fault) {
	isPlanned := fault.Kind == fleet.TrafficBurst
	if isPlanned || !sleep(ctx, fault.Start) {
		return
	}
	announce := func(health string, startedAtMS int64) {
		if sleep(ctx, e.scenario.List.MaxDelay/2) { // the mean of the model's discovery delay
			e.setEndpoint(fault.Node, health, startedAtMS)
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
		e.nodes[fault.Node].BeginFault(fault)
		e.rigs[0].Nodes[fault.Node].ResetConnections()
		announce("up", startedAtMS)
	default:
		end := e.nodes[fault.Node].BeginFault(fault)
		if fault.Duration > 0 && sleep(ctx, fault.Duration) {
			end()
		}
	}
}
