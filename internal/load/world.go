package load

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
	"mothridge/internal/rig"
	"mothridge/policy"
)

// Play plays a whole scenario over sockets: its nodes, real sidecars and its
// clients, all in this process. Troubles that sockets cannot play, and what only
// the model has (connections' cost, delays, the membership module), are an error
// that names them, so that nothing is compared that was not played.
func Play(ctx context.Context, s fleet.Scenario, protocol peers.Protocol, most int, progress func(Progress)) (*Result, error) {
	if err := playable(&s); err != nil {
		return nil, err
	}
	w := &world{s: &s}
	defer w.close()
	if err := w.start(protocol); err != nil {
		return nil, err
	}
	o := Options{Scenario: s, Protocol: protocol, Most: most, Progress: progress}
	for _, r := range w.rigs {
		o.Targets = append(o.Targets, r.Addr)
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for _, t := range s.Faults {
		wg.Go(func() { w.trouble(ctx, t) })
	}
	r, err := Run(ctx, o)
	cancel()
	wg.Wait()
	if err != nil {
		return nil, err
	}
	for _, twice := range w.rigs[0].Ledger.ExecutedTwice(func(string) bool { return true }) {
		r.Violations = append(r.Violations, "rule 2: "+twice)
	}
	return r, nil
}

// playable says what of a scenario sockets cannot play.
func playable(s *fleet.Scenario) error {
	if err := s.Check(); err != nil {
		return err
	}
	if s.Policy != "" && s.Policy != fleet.Mothridge {
		return fmt.Errorf("policy %q is a reference: no sidecar has it", s.Policy)
	}
	if s.List.Membership || s.Network.HandshakeWork > 0 || s.List.CellSize != 0 {
		return fmt.Errorf("list.membership, list.cell and network.handshake are the model's alone")
	}
	for i, k := range s.Classes {
		if policy.Idempotency(k.Idempotency) == policy.IdempotentByKey && k.DedupScope != fleet.DedupScope(policy.ScopeAll) {
			return fmt.Errorf("class %d: the stand-in nodes remember keys in common: scope all is meant", i)
		}
	}
	for i, t := range s.Faults {
		switch t.Kind {
		case fleet.Hang, fleet.Drain, fleet.Restart, fleet.TrafficBurst:
		case fleet.StealCPU:
			if t.Period > 0 {
				return fmt.Errorf("trouble %d: steal with every is the model's alone", i)
			}
		default:
			return fmt.Errorf("trouble %d: %s is the model's alone", i, t.Kind)
		}
		if t.NodeShare > 0 || t.Kind == fleet.Restart && t.Duration > 0 {
			return fmt.Errorf("trouble %d: over sockets one node is meant, and a restart that takes no time", i)
		}
	}
	return nil
}

// world is the nodes and the sidecars of a scenario.
type world struct {
	s     *fleet.Scenario
	nodes []*Node
	rigs  []*rig.Rig
}

func (w *world) start(protocol peers.Protocol) error {
	s := w.s
	for i := range s.Nodes {
		w.nodes = append(w.nodes, NewNode(s.NodeParamsAt(i), s.Classes[0].Work))
	}
	o := rig.Options{Front: protocol, Nodes: protocol, Number: s.Nodes, Slots: s.Slots, Settings: w.settings(), Sockets: 4096}
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
			w.list(n, "up", 0)
		}
	}
	return nil
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.Close() // first: what they hold must not hold up the sidecars
	}
	for i := len(w.rigs) - 1; i >= 0; i-- {
		w.rigs[i].Close()
	}
}

// list tells the discovery of a node.
func (w *world) list(i int, health string, started int64) {
	n := w.rigs[0].Nodes[i]
	w.rigs[0].Discovery.Set(peers.Endpoint{
		Name: n.Name, Addr: n.Addr(), Zone: "a", MachineType: "m", Cell: i,
		Health: health, Weight: w.s.NodeCapacity(i), StartedAtMs: started,
	})
}

// settings are the platform's, as the scenario has them.
func (w *world) settings() map[string]any {
	s := w.s
	var classes, orgs []any
	for i, k := range s.Classes {
		classes = append(classes, map[string]any{
			"name": className(s, i), "semantics": []string{"free", "guarded", "single_shot"}[k.Idempotency], "dedup_scope": "all",
			"window_ms": k.DedupWindow.Seconds() * 1e3, "aim_ms": k.LatencyObjective.Seconds() * 1e3, "hard_limit_ms": k.Deadline.Seconds() * 1e3, "worth": 1,
		})
	}
	for i, t := range s.Tenants {
		orgs = append(orgs, map[string]any{"name": tenantName(s, i), "share": t.Share, "quota_per_s": t.Quota})
	}
	if len(orgs) == 0 {
		orgs = append(orgs, map[string]any{"name": tenantName(s, 0), "share": 1})
	}
	return map[string]any{
		"balancers": s.Sidecars, "classes": classes, "orgs": orgs, "client_habits": map[string]any{"marks_retry": true},
		"caps": map[string]any{
			"may_cancel": true, "probes": s.LoadReports, "most_tries": s.MaxAttempts, "dial_timeout_ms": rig.ConnectIn.Milliseconds(), "conn_idle_ms": 30000,
			"max_retry_after_ms": s.Clients.MaxRetryAfter.Milliseconds(),
		},
		"rules": map[string]any{
			"cold_from": s.Node.InitialSpeedShare, "cold_ms": s.Node.WarmUpTime.Milliseconds(), "fall_multiple": s.Node.WarmUpOverloadFactor,
			"stop_sending_within_ms": rig.DrainWithin.Milliseconds(),
		},
	}
}

// trouble lets something happen when its time comes, and end.
func (w *world) trouble(ctx context.Context, t fleet.Fault) {
	if t.Kind == fleet.TrafficBurst || !sleep(ctx, t.Start) { // a burst is in the plan
		return
	}
	tell := func(health string, started int64) {
		if sleep(ctx, w.s.List.MaxDelay/2) { // the mean of the model's
			w.list(t.Node, health, started)
		}
	}
	switch t.Kind {
	case fleet.Drain:
		tell("draining", 0)
		if t.Duration > 0 && sleep(ctx, t.Duration) {
			tell("up", 0)
		}
	case fleet.Restart:
		began := time.Now().UnixMilli()
		w.nodes[t.Node].Strike(t)
		w.rigs[0].Nodes[t.Node].ResetConnections()
		tell("up", began)
	default:
		end := w.nodes[t.Node].Strike(t)
		if t.Duration > 0 && sleep(ctx, t.Duration) {
			end()
		}
	}
}
