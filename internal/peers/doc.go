// Package peers implements stand-ins for the systems that a sidecar connects to, on real loopback
// sockets: clients, upstreams (HTTP/1.1 and MessagePack-RPC), the platform's discovery and a Eureka
// registry. An upstream's script decides its responses and faults; the registry injects one fault
// at a time. A ledger records the requests that reached upstreams, so that they can be compared
// with the clients' results.
//
// Tests, benchmarks, 'sidecar try' and 'sidecar standin' use the package; the sidecar itself does
// not.
package peers
