package rig

import "mothridge/internal/peers"

// Request returns a request of a class. It has an idempotency key or is marked as not idempotent if its class
// requires that.
func Request(class, id, tenant string) peers.Call {
	call := peers.Call{ID: id, Class: class, Tenant: tenant, Timeout: RequestTimeout}
	switch class {
	case Keyed:
		call.IdempotencyKey, call.Body = "key-"+id, []byte(`{"hive":7}`)
	case NonIdempotent:
		call.NotIdempotent, call.Body = true, []byte(`{"hive":7}`)
	}
	return call
}
