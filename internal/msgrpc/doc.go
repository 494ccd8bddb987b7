// Package msgrpc speaks MessagePack-RPC as its public specification has it
// (github.com/msgpack-rpc/msgpack-rpc, spec.md) and holds the project's mapping
// of requests and responses onto it, which docs/protocol/msgpack-rpc.md describes
// for those who write a client or a node.
//
// A stream carries one MessagePack array after the other. Framer finds where
// each ends, in bounded memory and without trusting a length; Parse decodes the
// envelope; Call, Result and Fault are the mapping.
package msgrpc
