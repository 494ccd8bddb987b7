package rig

import "mothridge/internal/peers"

// Request makes a request of a class, in the form that the class needs.
func Request(class, id, tenant string) peers.Call {
	call := peers.Call{ID: id, Class: class, Tenant: tenant, Timeout: Deadline}
	switch class {
	case Entry:
		call.IdempotencyKey, call.Body = "key-"+id, []byte(`{"hive":7}`)
	case Once:
		call.NotIdempotent, call.Body = true, []byte(`{"hive":7}`)
	}
	return call
}
