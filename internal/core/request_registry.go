package core

import (
	"sync"

	"mothridge/policy"
)

// requestRegistry holds each request until the request is completed and its last attempt has ended. A
// Request-Id is in use until its request is completed. Only the event loop uses the registry, except for
// ids.contains.
type requestRegistry struct {
	ids    requestIDs
	lastID policy.RequestID
	byID   map[policy.RequestID]*Request
}

func newRequestRegistry() requestRegistry {
	return requestRegistry{
		ids:  requestIDs{reserved: make(map[string]bool)},
		byID: make(map[policy.RequestID]*Request),
	}
}

// add registers a request and assigns its policyID. It returns false if the Request-Id is in use.
func (r *requestRegistry) add(request *Request) bool {
	if !r.ids.reserve(request.ID) {
		return false
	}
	r.lastID++
	request.policyID = r.lastID
	r.byID[request.policyID] = request
	return true
}

// complete marks a request as completed and frees its Request-Id.
func (r *requestRegistry) complete(request *Request) {
	request.completed = true
	r.ids.release(request.ID)
	r.removeIfDone(request)
}

// removeIfDone removes a request that is completed and has no attempt in flight.
func (r *requestRegistry) removeIfDone(request *Request) {
	if request.completed && request.inFlight == 0 {
		delete(r.byID, request.policyID)
	}
}

// requestIDs is the set of Request-Ids in use. Only the event loop changes the set. Any goroutine may call
// contains, so that listeners can reject a duplicate request without reading its body.
type requestIDs struct {
	mu       sync.Mutex
	reserved map[string]bool
}

// reserve adds the ID to the set. It returns false if the ID is already in use.
func (r *requestIDs) reserve(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserved[id] {
		return false
	}
	r.reserved[id] = true
	return true
}

func (r *requestIDs) release(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reserved, id)
}

func (r *requestIDs) contains(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reserved[id]
}
