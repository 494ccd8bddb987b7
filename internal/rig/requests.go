package rig

import "mothridge/internal/peers"

// Request makes a request of a class, in the form that the class asks for.
func Request(class, id, tenant string) peers.Call {
	c := peers.Call{ID: id, Class: class, Tenant: tenant, Timeout: Deadline}
	switch class {
	case Entry:
		c.IdempotencyKey, c.Body = "key-"+id, []byte(`{"hive":7}`)
	case Once:
		c.NotIdempotent, c.Body = true, []byte(`{"hive":7}`)
	}
	return c
}
