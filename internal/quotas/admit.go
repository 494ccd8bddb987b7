package quotas

import (
	"sync"
	"time"

	"mothridge/internal/core"
	"mothridge/quota"
)

// minRetryAfter is the shortest Retry-After of a rejection. At the very instant at which
// the quota suffices again, other requests take it.
const minRetryAfter = 10 * time.Millisecond

// Submit passes a request within its quota on, and answers another one at once.
func (g *Gate) Submit(r *core.Request) {
	admitted, rejected := g.admit(r)
	if rejected != nil {
		r.Respond(*rejected)
		return
	}
	respond := r.Respond
	r.Respond = func(response core.Response) {
		admitted.end(mayHaveRun(response.Result))
		respond(response)
	}
	r.OnClientGone = func() { admitted.end(true) }
	g.Handler.Submit(r)
}

// Abandon passes on that a request's client disconnected, and ends the request's charge:
// there will be no answer.
func (g *Gate) Abandon(r *core.Request) {
	g.Handler.Abandon(r)
	if r.OnClientGone != nil {
		r.OnClientGone()
	}
}

// admit charges a request, or returns the answer that rejects it.
func (g *Gate) admit(r *core.Request) (*charge, *core.Response) {
	g.mu.Lock()
	defer g.mu.Unlock()
	decision := g.tree.Admit(g.now(), quota.Request{Node: g.findNode(r), Retry: r.ClientRetry, Cost: g.cost(r)})
	if decision.Outcome == quota.Rejected {
		return nil, g.rejection(decision)
	}
	return &charge{mu: &g.mu, tree: g.tree, receipt: decision.Receipt}, nil
}

func (g *Gate) cost(r *core.Request) quota.Cost {
	return quota.Cost{
		quota.Requests:   1,
		quota.Priority:   g.config.PriorityWeights[r.Class],
		quota.Bytes:      float64(len(r.Body)),
		quota.Concurrent: 1,
	}
}

func (g *Gate) rejection(decision quota.Decision) *core.Response {
	retryAfter := max(decision.RetryAfter, minRetryAfter)
	if g.config.MaxRetryAfter > 0 {
		retryAfter = min(retryAfter, g.config.MaxRetryAfter)
	}
	detail := "over quota: " + decision.Rejection.String()
	return &core.Response{Result: core.Rejected, RetryAfter: retryAfter, Detail: detail}
}

// charge is what an admitted request was charged.
type charge struct {
	mu      *sync.Mutex // the Gate's
	tree    *quota.Tree // that charged it; the Gate may have loaded another since
	receipt *quota.Receipt
	once    sync.Once // Respond and Abandon may be called at once
}

// end returns what the request holds: its slots, or all of the charge if it never ran.
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

// mayHaveRun is false for results after which the whole charge is returned: rejected and
// duplicate requests. A rejected request of an idempotent class may have run all the same.
func mayHaveRun(result core.Result) bool {
	return result != core.Rejected && result != core.Duplicate
}
