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

// startWithEureka starts a rig whose endpoint list comes from a Eureka registry alone, and
// waits until all are in use.
func startWithEureka(t *testing.T, registry *peers.Eureka, options Options) (*Rig, peers.Client) {
	t.Helper()
	options.Eureka, options.Times = registry, true
	rig := start(t, options)
	client := startClient(t, rig)
	peertest.Until(t, "all nodes to be in use", func() bool {
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

// polls counts the sidecar's calls for the list.
func polls(registry *peers.Eureka) int {
	return registry.Calls("/apps") + registry.Calls("/apps/delta")
}

// awaitPolls waits until the sidecar has polled some times more.
func awaitPolls(t *testing.T, registry *peers.Eureka, count int) {
	t.Helper()
	before := polls(registry)
	peertest.Until(t, "polls", func() bool { return polls(registry) >= before+count })
}

// A registry that goes silent, or answers with nothing, leaves the pool as it was.
func TestEurekaSilentKeepsThePool(t *testing.T) {
	registry := peertest.NewEureka(t)
	_, client := startWithEureka(t, registry, Options{Number: 3})
	for _, fault := range []peers.EurekaFault{peers.EmptyList, peers.NoResponse} {
		registry.SetFault(fault)
		if fault == peers.EmptyList {
			awaitPolls(t, registry, 6)
		} else {
			time.Sleep(2500 * time.Millisecond) // longer than silent_after
		}
		for i := range 30 {
			expectServed(t, fmt.Sprint("fault ", fault), client, Request(Once, fmt.Sprint(fault, "-", i), Tenant(i)))
		}
		registry.SetFault(peers.NoFault)
	}
}

// A node registers again under a new id at its old address while work that it
// had taken still runs: that work ends and counts, the connections of the old
// process carry nothing of the new one's.
func TestEurekaNewIDAtTheSameAddress(t *testing.T) {
	for _, pair := range oneProtocol {
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testNewID(t, pair)
		})
	}
}

func testNewID(t *testing.T, pair pairing) {
	registry := peertest.NewEureka(t)
	rig, client := startWithEureka(t, registry, Options{Front: pair.front, Nodes: pair.nodes, Number: 1})
	node := rig.Nodes[0]
	node.SetScript(func(call peers.Call) peers.Response {
		if call.ID == "old" {
			return peers.Response{Delay: 400 * time.Millisecond} // within its latency objective
		}
		return peers.Response{}
	})
	before := node.Accepted()
	old := make(chan peers.Result, 1)
	go func() { old <- doRequest(t, client, Request(Once, "old", "north")) }()
	peertest.Until(t, "the old work", func() bool { return node.InFlight() == 1 })
	registry.Register(rig.Instance(node, node.Name+"-again", "UP", 0))
	registry.Cancel(node.Name)
	peertest.Until(t, "the new one's connection", func() bool {
		client.Do(t.Context(), Request(Read, fmt.Sprint("n-", time.Now().UnixNano()), "north"))
		return node.Accepted() > before
	})
	if got := <-old; got.Outcome != peers.Served || string(got.Body) != "old" {
		t.Errorf("the old work: %+v", got)
	}
	expectServed(t, "the new one", client, Request(Once, "new", "north"))
}

// nodeUsage finds which nodes are in use, a round of requests each time.
type nodeUsage struct {
	rig    *Rig
	client peers.Client
	round  int
}

// used is the names of the nodes that receive something of forty requests.
func (usage *nodeUsage) used(t *testing.T) (nodes []string) {
	t.Helper()
	usage.round++
	since := time.Now()
	for i := range 40 {
		call := Request(Once, fmt.Sprint("g", usage.round, "-", i), Tenant(i))
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

// What the membership decisions guard against, through the program: half of
// the nodes vanish at once, another replica is stale, clocks are an hour off.
func TestEurekaGuardsThroughTheProgram(t *testing.T) {
	stale, registry := peertest.NewEureka(t), peertest.NewEureka(t)
	rig, client := startWithEureka(t, registry, Options{Number: 6, Operators: func(file *operator.File) {
		file.Eureka[0].Replicas = append(file.Eureka[0].Replicas, operator.URL(stale.URL()))
	}})
	usage := &nodeUsage{rig: rig, client: client}
	drained := rig.Nodes[5].Name
	testDrainWithClockSkew(t, registry, usage, drained)
	for _, node := range rig.Nodes { // the other replica has no notification of the drain
		instance, _ := registry.Instance(node.Name)
		instance.Override = ""
		stale.SetClockSkew(-time.Hour)
		stale.Register(instance)
	}
	registry.SetFault(peers.ServerError)
	awaitPolls(t, stale, 3)
	if nodes := usage.used(t); len(nodes) != 5 || slices.Contains(nodes, drained) {
		t.Errorf("a stale replica rolled the drain back: %v are used", nodes)
	}
	registry.SetFault(peers.NoFault)
	stale.SetFault(peers.ServerError)
	awaitPolls(t, registry, 3)
	for _, node := range rig.Nodes[:3] {
		registry.Cancel(node.Name)
	}
	awaitPolls(t, registry, 3)
	if nodes := usage.used(t); len(nodes) < 4 { // one of six may vanish, and one is out of service
		t.Errorf("half of the nodes vanished at once, and %v are used", nodes)
	}
}

// testDrainWithClockSkew drains a node, which is honoured whatever the registry's clock says.
func testDrainWithClockSkew(t *testing.T, registry *peers.Eureka, usage *nodeUsage, drained string) {
	t.Helper()
	for _, skew := range []time.Duration{time.Hour, -time.Hour, 0} {
		registry.SetClockSkew(skew)
		registry.Override(drained, "OUT_OF_SERVICE")
		awaitPolls(t, registry, 3)
		if nodes := usage.used(t); len(nodes) != 5 || slices.Contains(nodes, drained) {
			t.Errorf("clock off by %v, a node out of service: %v are used", skew, nodes)
		}
		if skew > 0 { // a second time would be flapping
			registry.Override(drained, "")
			awaitPolls(t, registry, 3)
			if nodes := usage.used(t); len(nodes) != 6 {
				t.Errorf("clock off by %v, it is back: %v are used", skew, nodes)
			}
		}
	}
}
