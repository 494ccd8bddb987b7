package core

import (
	"sync"
	"time"

	"mothridge/policy"
)

// requestRegistry holds each request until the request is completed and its last attempt has ended. A
// Request-Id is in use until its request is completed. If the client of a request that must not run again has
// disconnected, the Request-Id is in use until the last attempt has ended, and for abandonedIDRetention more if the
// request may have run. Only the event loop uses the registry, except for ids.contains.
type requestRegistry struct {
	ids    requestIDs
	lastID policy.RequestID
	byID   map[policy.RequestID]*Request
}

func newRequestRegistry() requestRegistry {
	return requestRegistry{
		ids:  requestIDs{reserved: make(map[string]bool), abandoned: make(map[string]time.Time)},
		byID: make(map[policy.RequestID]*Request),
	}
}

// add registers a request and assigns its policyID. It returns false if the Request-Id is in use.
func (r *requestRegistry) add(request *Request, now time.Time) bool {
	if !r.ids.reserve(request.ID, now) {
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

// abandon marks a request that must not run twice as completed because its client has disconnected or has cancelled
// it. Its Request-Id is freed when its last attempt has ended, or later if it may have run.
func (r *requestRegistry) abandon(request *Request) {
	request.completed = true
	request.abandoned = true
	r.removeIfDone(request)
}

// removeIfDone removes a request that is completed and has no attempt in flight.
func (r *requestRegistry) removeIfDone(request *Request) {
	if !request.completed || request.inFlight > 0 {
		return
	}
	if _, registered := r.byID[request.policyID]; registered && request.abandoned {
		r.ids.release(request.ID)
		if request.history.mayHaveRun() {
			r.ids.block(request.ID, time.Now())
		}
	}
	delete(r.byID, request.policyID)
}

const (
	// abandonedIDRetention is how long the Request-Id of an abandoned request that may have run is in use. It is
	// longer than clients wait for a request.
	abandonedIDRetention = 10 * time.Second
	// maxAbandonedIDs bounds how many of them are kept. The oldest are freed first.
	maxAbandonedIDs = 1024
)

// requestIDs is the set of Request-Ids in use. Only the event loop changes the set. Any goroutine may call
// contains, so that listeners can reject a duplicate request without reading its body.
type requestIDs struct {
	mu        sync.Mutex
	reserved  map[string]bool
	abandoned map[string]time.Time // until when the ID of an abandoned request is in use
	order     []string             // the keys of abandoned, oldest first
}

// reserve adds the ID to the set. It returns false if the ID is already in use.
func (r *requestIDs) reserve(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inUseLocked(id, now) {
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

// block keeps the ID of an abandoned request in use for abandonedIDRetention.
func (r *requestIDs) block(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.order) > 0 && (len(r.order) >= maxAbandonedIDs || now.After(r.abandoned[r.order[0]])) {
		delete(r.abandoned, r.order[0])
		r.order = r.order[1:]
	}
	if _, known := r.abandoned[id]; !known {
		r.order = append(r.order, id)
	}
	r.abandoned[id] = now.Add(abandonedIDRetention)
}

func (r *requestIDs) contains(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inUseLocked(id, now)
}

func (r *requestIDs) inUseLocked(id string, now time.Time) bool {
	return r.reserved[id] || now.Before(r.abandoned[id])
}
