package rig

import (
	"fmt"
	"sync"
	"testing"

	"mothridge/internal/peers"
)

// hopFields are header fields that belong to the hop on which they are sent, and a field that one of them lists.
var hopFields = map[string]string{
	"connection": "keep-alive ,\tx-hop", "X-Hop": "1", "KEEP-ALIVE": "timeout=5", "te": "trailers", "Trailer": "X-Sum",
	"Proxy-Connection": "keep-alive", "Proxy-Authorization": "Basic eA==", "upgrade": "h2c", "Server-Load": "TEXT busy_reqs=900",
}

// hopFieldsOfRPC are fields of hopFields that HTTP/1.1 readers of this test would act on. In a MessagePack-RPC message
// they mean nothing to either end.
var hopFieldsOfRPC = map[string]string{
	"transfer-encoding": "chunked", "Expect": "100-continue", "Content-Length": "1", "Host": "elsewhere",
}

const endToEndField = "X-Apiary"

// fieldsToSend returns the fields that a client or node of a protocol sends.
func fieldsToSend(protocol peers.Protocol) map[string]string {
	fields := map[string]string{endToEndField: "7"}
	for name, value := range hopFields {
		fields[name] = value
	}
	if protocol == peers.RPC {
		for name, value := range hopFieldsOfRPC {
			fields[name] = value
		}
	}
	return fields
}

// Guards against header fields of one hop that reach the other, in requests and in responses: a client's
// Transfer-Encoding in a request to a node lets it run requests that nobody sent.
func TestHopFieldsStayOnTheirHop(t *testing.T) {
	for _, pair := range pairings {
		t.Run(pair.String(), func(t *testing.T) {
			t.Parallel()
			testHopFields(t, pair)
		})
	}
}

// hopFieldNames are the canonical names of fields that must not be seen on the other hop. Content-Length, Host and
// Connection are not among them, as the other hop may set its own.
var hopFieldNames = []string{
	"X-Hop", "Keep-Alive", "Te", "Trailer", "Proxy-Connection", "Proxy-Authorization", "Upgrade", "Server-Load", "Expect",
	"Transfer-Encoding",
}

func testHopFields(t *testing.T, pair pairing) {
	var mu sync.Mutex
	received := make(map[string]string) // by field
	rig := start(t, Options{ClientProtocol: pair.front, NodeProtocol: pair.nodes, Script: func(call peers.Call) peers.Response {
		mu.Lock()
		defer mu.Unlock()
		for _, name := range append(hopFieldNames, endToEndField, "Connection") {
			received[name] = call.HeaderValue(name)
		}
		return peers.Response{HeaderFields: fieldsToSend(pair.nodes)}
	}})
	call := Request(NonIdempotent, "hop", Tenant(0))
	call.HeaderFields = fieldsToSend(pair.front)
	got := doRequest(t, startClient(t, rig), call)
	if got.Outcome != peers.Served || string(got.Body) != call.ID {
		t.Fatalf("got %+v, want the request served with its own body", got)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, name := range hopFieldNames {
		if received[name] != "" || len(got.HeaderFields[name]) > 0 {
			t.Errorf("%s: the node got %q and the client %q, want neither", name, received[name], got.HeaderFields[name])
		}
	}
	if received["Connection"] != "" || pair.front == peers.RPC && len(got.HeaderFields["Connection"]) > 0 {
		t.Errorf("Connection: the node got %q and the client %q", received["Connection"], got.HeaderFields["Connection"])
	}
	if received[endToEndField] != "7" || fmt.Sprint(got.HeaderFields[endToEndField]) != "[7]" {
		t.Errorf("%s: the node got %q and the client %q, want 7", endToEndField, received[endToEndField], got.HeaderFields[endToEndField])
	}
}

// Guards against requests that run although no client sent them: a client's fields claim that its body is chunked,
// and the body is an empty chunk followed by a whole request. The next client must not get that request's response.
func TestRequestHiddenInABodyDoesNotRun(t *testing.T) {
	for _, field := range []string{"Transfer-Encoding", "transfer-encoding", "TRANSFER-ENCODING"} {
		for _, nodes := range []peers.Protocol{peers.HTTP, peers.RPC} {
			t.Run(fmt.Sprint(field, " to ", nodes), func(t *testing.T) {
				rig := start(t, Options{ClientProtocol: peers.RPC, NodeProtocol: nodes, NodeCount: 1})
				client := startClient(t, rig)
				call := Request(NonIdempotent, "outer", Tenant(0))
				call.HeaderFields = map[string]string{field: "chunked"}
				call.Body = []byte("0\r\n\r\nPOST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: hidden\r\nRequest-Class: " + NonIdempotent +
					"\r\nContent-Length: 0\r\n\r\n")
				expectServed(t, "the outer request", client, call)
				next := Request(NonIdempotent, "next", Tenant(0))
				if got := doRequest(t, client, next); got.Outcome != peers.Served || string(got.Body) != next.ID {
					t.Errorf("next request: got %+v, want it served with its own body", got)
				}
				if count := rig.Ledger.Attempts("hidden"); count != 0 {
					t.Errorf("the hidden request ran %d times, want 0", count)
				}
			})
		}
	}
}
