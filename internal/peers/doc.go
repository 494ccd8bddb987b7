// Package peers has stand-ins for the systems that a sidecar talks to, on real loopback sockets:
// clients, upstreams (HTTP/1.1 and MessagePack-RPC), the platform's discovery and a Eureka registry.
// Upstreams and the registry inject faults by a script. A ledger records the requests that reached
// upstreams, to be compared with what clients got.
//
// Tests, benchmarks, 'sidecar try' and 'sidecar standin' use them; the sidecar itself does not.
package peers
