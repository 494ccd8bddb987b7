package rig

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// startWithEureka starts a rig whose only source of endpoints is a Eureka registry. It waits until all
// nodes have served a request.
func startWithEureka(t *testing.T, registry *peers.EurekaRegistry, options Options) (*Rig, peers.Client) {
	t.Helper()
	options.Eureka, options.KeepAttemptTimes = registry, true
	rig := start(t, options)
	client := startClient(t, rig)
	peertest.WaitUntil(t, "all nodes to be in use", func() bool {
		used := 0
		for _, node := range rig.Nodes {
			client.Do(t.Context(), Request(Read, fmt.Sprint("first-", time.Now().UnixNano()), "north"))
			if node.Served() > 0 {
				used++
			}
		}
		return used == len(rig.Nodes)
	})
	return rig, client
}

// pollCount returns how many times the sidecar has fetched the list or the delta.
func pollCount(registry *peers.EurekaRegistry) int {
	return registry.CallCount("/apps") + registry.CallCount("/apps/delta")
}

// awaitPolls waits until the sidecar has polled count more times.
func awaitPolls(t *testing.T, registry *peers.EurekaRegistry, count int) {
	t.Helper()
	before := pollCount(registry)
	peertest.WaitUntil(t, "polls", func() bool { return pollCount(registry) >= before+count })
}

// A registry that stops responding, or responds with an empty list, does not change the endpoint list. The test
// guards against losing all endpoints because of a fault of the registry.
func TestEurekaSilentRegistryKeepsEndpoints(t *testing.T) {
	registry := peertest.NewEureka(t)
	_, client := startWithEureka(t, registry, Options{NodeCount: 3})
	for _, fault := range []peers.EurekaFault{peers.EmptyList, peers.NoResponse} {
		registry.SetFault(fault)
		if fault == peers.EmptyList {
			awaitPolls(t, registry, 6)
		} else {
			time.Sleep(2500 * time.Millisecond) // longer than silent_after
		}
		for i := range 30 {
			expectServed(t, fmt.Sprint("fault ", fault), client, Request(NonIdempotent, fmt.Sprint(fault, "-", i), Tenant(i)))
		}
		registry.SetFault(peers.NoFault)
	}
}

// A node registers with a new id at its old address while a request to the old id is in flight. That request
// is served, and requests to the new id use new connections. The test guards against lost requests, and against
// requests to the new process on connections of the old one.
func TestEurekaNewIDAtTheSameAddress(t *testing.T) {
	for _, pair := range sameProtocol {
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testNewID(t, pair)
		})
	}
}

func testNewID(t *testing.T, pair pairing) {
	registry := peertest.NewEureka(t)
	rig, client := startWithEureka(t, registry, Options{ClientProtocol: pair.front, NodeProtocol: pair.nodes, NodeCount: 1})
	node := rig.Nodes[0]
	node.SetScript(func(call peers.Call) peers.Response {
		if call.ID == "old" {
			return peers.Response{Delay: 400 * time.Millisecond} // less than the latency objective
		}
		return peers.Response{}
	})
	before := node.Accepted()
	old := make(chan peers.Result, 1)
	go func() { old <- doRequest(t, client, Request(NonIdempotent, "old", "north")) }()
	peertest.WaitUntil(t, "the old request to be in flight", func() bool { return node.InFlight() == 1 })
	registry.Register(rig.EurekaRegistration(node, node.Name+"-again", "UP", 0))
	registry.Cancel(node.Name)
	peertest.WaitUntil(t, "a connection for the new id", func() bool {
		client.Do(t.Context(), Request(Read, fmt.Sprint("n-", time.Now().UnixNano()), "north"))
		return node.Accepted() > before
	})
	if got := <-old; got.Outcome != peers.Served || string(got.Body) != "old" {
		t.Errorf("request to the old id: got %+v, want it served with its own body", got)
	}
	expectServed(t, "request to the new id", client, Request(NonIdempotent, "new", "north"))
}

// nodeUsage determines which nodes are in use by sending rounds of requests.
type nodeUsage struct {
	rig    *Rig
	client peers.Client
	round  int
}

// nodesInUse sends 40 requests and returns the names of the nodes that received any of them.
func (usage *nodeUsage) nodesInUse(t *testing.T) (nodes []string) {
	t.Helper()
	usage.round++
	since := time.Now()
	for i := range 40 {
		call := Request(NonIdempotent, fmt.Sprint("g", usage.round, "-", i), Tenant(i))
		expectServed(t, fmt.Sprint("round ", usage.round), usage.client, call)
	}
	for _, node := range usage.rig.Nodes {
		times := usage.rig.Ledger.AttemptTimes(node.Name)
		if len(times) > 0 && times[len(times)-1].After(since) {
			nodes = append(nodes, node.Name)
		}
	}
	return nodes
}

// The membership protection works in the complete sidecar: a drain takes effect although the registry's clock
// is off by an hour, a stale replica of the registry does not end the drain, and most nodes stay in use when
// half of them disappear at once.
func TestEurekaMembershipProtection(t *testing.T) {
	stale, registry := peertest.NewEureka(t), peertest.NewEureka(t)
	rig, client := startWithEureka(t, registry, Options{NodeCount: 6, ConfigureOperator: func(file *operator.File) {
		file.Eureka[0].Replicas = append(file.Eureka[0].Replicas, operator.URL(stale.URL()))
	}})
	usage := &nodeUsage{rig: rig, client: client}
	drained := rig.Nodes[5].Name
	testDrainWithClockSkew(t, registry, usage, drained)
	for _, node := range rig.Nodes { // the other replica does not have the drain
		instance, _ := registry.Instance(node.Name)
		instance.Override = ""
		stale.SetClockSkew(-time.Hour)
		stale.Register(instance)
	}
	registry.SetFault(peers.ServerError)
	awaitPolls(t, stale, 3)
	if nodes := usage.nodesInUse(t); len(nodes) != 5 || slices.Contains(nodes, drained) {
		t.Errorf("with a stale replica: got nodes %v in use, want 5 without the drained node", nodes)
	}
	registry.SetFault(peers.NoFault)
	stale.SetFault(peers.ServerError)
	awaitPolls(t, registry, 3)
	for _, node := range rig.Nodes[:3] {
		registry.Cancel(node.Name)
	}
	awaitPolls(t, registry, 3)
	if nodes := usage.nodesInUse(t); len(nodes) < 4 { // of six nodes, one may disappear and one is out of service
		t.Errorf("after half of the nodes disappeared: got nodes %v in use, want at least 4", nodes)
	}
}

// testDrainWithClockSkew checks that a drain takes effect whatever the skew of the registry's clock.
func testDrainWithClockSkew(t *testing.T, registry *peers.EurekaRegistry, usage *nodeUsage, drained string) {
	t.Helper()
	for _, skew := range []time.Duration{time.Hour, -time.Hour, 0} {
		registry.SetClockSkew(skew)
		registry.Override(drained, "OUT_OF_SERVICE")
		awaitPolls(t, registry, 3)
		if nodes := usage.nodesInUse(t); len(nodes) != 5 || slices.Contains(nodes, drained) {
			t.Errorf("clock skew %v, a node out of service: got nodes %v in use, want the other 5", skew, nodes)
		}
		if skew > 0 { // ending the drain a second time would count as flapping
			registry.Override(drained, "")
			awaitPolls(t, registry, 3)
			if nodes := usage.nodesInUse(t); len(nodes) != 6 {
				t.Errorf("clock skew %v, the node back in service: got nodes %v in use, want all 6", skew, nodes)
			}
		}
	}
}
