// Package fleet simulates a fleet: clients, sidecars with the real decision module, the network, the endpoint
// list and the nodes that serve requests. It is a pure discrete-event simulation: the result of a run depends only on
// its [Scenario], the seed included. The package uses no goroutine, no clock and no other input.
//
// The real packages in the simulation are policy (one balancer in each sidecar), membership, quota and resolver.
// Nodes, clients, network and discovery are models: a node is a queue with processor sharing, a client is an open
// arrival process with retries, and the network is a random delay and, if configured, the cost of connections.
// Parsing, sockets, goroutines and the kernel are not simulated.
//
// A request passes through these steps: an [arrivalProcess] creates a clientRequest; the sidecar receives it as a
// submission and passes it to its balancer, which calls the sidecar back (policy.Host) to send attempts, to reject the
// submission or to fail it. An attempt reaches its node after a network delay and is served, rejected or lost there;
// its result comes back after another delay. The first result that completes the submission is recorded. The client of
// a rejected submission may submit the request again. Every step is an event of the eventQueue. Faults are separate
// events that change nodes, sidecars or the endpoint list.
//
// At each step the simulation checks the four rules (every submission gets exactly one response in time; a request
// that is not idempotent runs at most once; a draining endpoint gets no attempts; a node that warms up is not
// overloaded) and reports violations in the [Result]. The reasons for the model are in docs/design/laboratory.md.
package fleet
