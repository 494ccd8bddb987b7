package rig

import (
	"fmt"
	"testing"

	"mothridge/internal/peers"
)

// Guards against an idempotency key that HTTP/1.1 cannot carry: blanks at the ends of a field's value do not count there, so a
// key of blanks arrives as no key, and a retry runs twice.
func TestKeyOfBlanksDoesNotRunTwice(t *testing.T) {
	for _, nodes := range []peers.Protocol{peers.HTTP, peers.RPC} {
		t.Run(string(nodes), func(t *testing.T) {
			rig := start(t, Options{ClientProtocol: peers.RPC, NodeProtocol: nodes, Script: func(call peers.Call) peers.Response {
				if call.Attempt == 1 {
					return peers.Response{Action: peers.Error} // its effect has been executed
				}
				return peers.Response{}
			}})
			client := startClient(t, rig)
			for i, key := range []string{" ", "\t ", "k1 ", " k1"} {
				call := Request(Keyed, fmt.Sprint("blanks-", i), Tenant(0))
				call.IdempotencyKey = key
				if got := client.Do(t.Context(), call); got.Outcome != peers.InvalidRequest {
					t.Errorf("key %q: got %+v, want it rejected as invalid", key, got)
				}
				if count := rig.Ledger.Attempts(call.ID); count != 0 {
					t.Errorf("key %q: got %d attempts, want none", key, count)
				}
			}
			expectNoneExecutedTwice(t, rig, anyID)
		})
	}
}
