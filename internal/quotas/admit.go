package quotas

import (
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// minRetryAfter is the shortest Retry-After of a rejection. A client that retries at the
// instant at which the quota suffices again would compete with other requests for it.
const minRetryAfter = 10 * time.Millisecond

// Submit passes an admitted request to the next handler, and responds to a rejected request
// immediately.
func (g *Gate) Submit(r *core.Request) {
	admitted, rejection := g.admit(r)
	if rejection != nil {
		r.Respond(*rejection)
		return
	}
	respond := r.Respond
	r.Respond = func(response core.Response) {
		admitted.end(mayHaveRun(response.Result))
		respond(response)
	}
	r.OnClientDisconnected = func() { admitted.end(true) }
	g.Handler.Submit(r)
}

// Abandon passes the request, whose client has disconnected, to the next handler's Abandon.
// It then ends the request's charge, because no response will follow.
func (g *Gate) Abandon(r *core.Request) {
	g.Handler.Abandon(r)
	if r.OnClientDisconnected != nil {
		r.OnClientDisconnected()
	}
}

// admit charges a request to its node of the quota tree and returns the charge, or returns
// the response that rejects the request.
func (g *Gate) admit(r *core.Request) (*charge, *core.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.tree.Admit(g.now(), quota.Request{Node: g.findNode(r), Retry: r.ClientRetry, Cost: g.cost(r)})
	if decision.Outcome == quota.Rejected {
		return nil, g.rejection(decision)
	}
	return &charge{mu: &g.mu, tree: g.tree, receipt: decision.Receipt}, nil
}

// cost returns the cost of a request in each dimension.
func (g *Gate) cost(r *core.Request) quota.Cost {
	return quota.Cost{
		quota.Requests:   1,
		quota.Priority:   g.config.PriorityWeights[r.Class],
		quota.Bytes:      float64(len(r.Body)),
		quota.Concurrent: 1,
	}
}

// rejection returns the response to a rejected request. Its Retry-After is at least
// minRetryAfter and at most Config.MaxRetryAfter.
func (g *Gate) rejection(decision quota.Decision) *core.Response {
	retryAfter := max(decision.RetryAfter, minRetryAfter)
	if g.config.MaxRetryAfter > 0 {
		retryAfter = min(retryAfter, g.config.MaxRetryAfter)
	}
	detail := "over quota: " + decision.Rejection.String()
	return &core.Response{Result: core.Rejected, RetryAfter: retryAfter, Detail: detail}
}

// charge is the charge of an admitted request.
type charge struct {
	mu      *sync.Mutex // Gate.mu
	tree    *quota.Tree // the tree that made the charge; the Gate may have loaded another one since then
	receipt *quota.Receipt
	once    sync.Once // Respond and Abandon may be called concurrently
}

// end ends the charge: it returns the request's slots, or everything that was charged if
// the request never ran. Only the first call has an effect.
func (c *charge) end(ran bool) {
	c.once.Do(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if ran {
			c.tree.Release(c.receipt)
		} else {
			c.tree.Refund(c.receipt)
		}
	})
}

// mayHaveRun reports whether a request with the result is treated as one that ran, so that
// only its slots are returned. It is false for rejected and duplicate requests, whose whole
// charge is returned, although a rejected request of an idempotent class may have run.
func mayHaveRun(result core.Result) bool {
	return result != core.Rejected && result != core.Duplicate
}
