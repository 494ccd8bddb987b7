// Package msgrpc implements MessagePack-RPC according to its public specification
// (github.com/msgpack-rpc/msgpack-rpc, spec.md), and this project's mapping of requests and
// responses to it. docs/protocol/msgpack-rpc.md describes the mapping for authors of clients and
// nodes.
//
// A stream consists of consecutive MessagePack arrays, one for each message. Framer finds the end of
// each message, with limited memory and without trusting any encoded length. Parse decodes the
// envelope of a message. Call, Result and Fault implement the mapping.
package msgrpc
