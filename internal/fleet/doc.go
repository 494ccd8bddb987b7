// Package fleet simulates a fleet: clients, sidecars with the real decision module, the network, the endpoint
// list and the nodes that serve requests. It is a discrete-event simulation and pure: a run is a function of its
// [Scenario], the seed included. It uses no goroutine, no clock and no input besides.
//
// The real packages in it are policy (one balancer in each sidecar), membership, quota and resolver. Nodes, clients,
// network and discovery are models: a node is a queue with processor sharing, a client an open arrival process
// with retries, the network a random delay and, if wanted, the cost of connections. Parsing, sockets, goroutines and
// the kernel are not simulated.
//
// The way of a request: an [arrivalProcess] creates a clientRequest; the sidecar gets it as a submission and passes
// it to its balancer, which calls the sidecar back (policy.Host) to send attempts, to reject or to fail. An attempt
// reaches its node after a network delay, is served, rejected or lost there, and its result comes back after
// another delay. The first result that completes the submission is recorded; a rejected client may submit again.
// Every step is an event of the eventQueue. Faults are events of their own that change nodes, sidecars or the list.
//
// At each step the simulation checks the four rules (every submission gets exactly one response in time; what is not
// idempotent runs once at the most; nothing goes to a draining endpoint; no cold node is overloaded) and reports
// violations in the [Result]. Why it is modelled this way: docs/design/laboratory.md.
package fleet
