package quota

import "time"

// Usage holds a node's counters of requests, loans and repayments.
type Usage struct {
	WithinShare uint64 `json:"Own" metric:"own"`           // the node's requests admitted within its share
	Borrowed    uint64 `json:"Borrowed" metric:"borrowed"` // the node's requests admitted with a loan
	Rejected    uint64 `json:"Refused" metric:"refused"`   // the node's requests that exceeded a limit
	Lent        uint64 `json:"Lent" metric:"lent"`         // loans to other nodes
	Repaid      uint64 `json:"Repaid" metric:"repaid"`     // repayments from other nodes
}

// State is a node's state, as returned by Explain.
type State struct {
	Name, Parent  string
	Depth         int // 0 for the root
	Usage         Usage
	Limits        []LimitState
	Debts         []Debt
	LastRejection Rejection
	RejectedAt    time.Duration // time of LastRejection
}

// LimitState is a limit and the tokens in its bucket.
type LimitState struct {
	Limit
	Tokens float64 // tokens; may be below 0 after a repayment or a reload
}

// Debt is what a node owes another node in one dimension.
type Debt struct {
	To        string // name of the creditor
	Dimension Dimension
	Amount    float64 // units
}

// Explain returns the state of every node at the time now, parents before their children.
func (t *Tree) Explain(now time.Duration) []State {
	states := make([]State, 0, len(t.nodes))
	for _, n := range t.nodes {
		states = append(states, State{
			Name: n.Name, Parent: n.Parent, Depth: n.depth, Usage: n.usage,
			Limits: t.limitStates(now, n), Debts: t.debtStates(now, n),
			LastRejection: n.lastRejection, RejectedAt: n.rejectedAt,
		})
	}
	return states
}

func (t *Tree) limitStates(now time.Duration, n *node) []LimitState {
	var states []LimitState
	for dimension := range dimensions {
		for i := range n.buckets[dimension] {
			b := &n.buckets[dimension][i]
			b.refill(now, t.config.RepaymentShare)
			states = append(states, LimitState{Limit: b.Limit, Tokens: b.tokens})
		}
	}
	return states
}

func (t *Tree) debtStates(now time.Duration, n *node) []Debt {
	var states []Debt
	for i := range n.debts {
		d := &n.debts[i]
		d.decay(now, t.config.DebtLifetime)
		if d.amount > 0 {
			states = append(states, Debt{To: d.creditor.Name, Dimension: d.dimension, Amount: d.amount})
		}
	}
	return states
}

// RestoreFrom copies the counters, tokens and debts of a tree that t replaces, for the
// nodes and limits that both trees have. It must be called once, before the first Admit.
// Requests that the old tree admitted hold their Concurrent slots in t until they end; what
// else they were charged is refunded to the old tree.
func (t *Tree) RestoreFrom(old *Tree, now time.Duration) {
	for _, n := range t.nodes {
		previous := old.byName[n.Name]
		if previous == nil {
			continue
		}
		n.usage, n.flows = previous.usage, previous.flows
		n.lastRejection, n.rejectedAt = previous.lastRejection, previous.rejectedAt
		t.restoreTokens(n, previous, now)
		t.restoreDebts(n, previous)
	}
}

// restoreTokens fills each bucket to the same share of its capacity as before, so that a
// raised limit does not start with a full bucket. A Concurrent limit has the same slots in use.
func (t *Tree) restoreTokens(n, previous *node, now time.Duration) {
	for dimension := range dimensions {
		for i := range n.buckets[dimension] {
			b := &n.buckets[dimension][i]
			before := previous.findBucket(b)
			if before == nil {
				continue
			}
			if dimension == Concurrent {
				b.replaceSlots(before)
				continue
			}
			before.refill(now, t.config.RepaymentShare)
			b.tokens = b.capacity * before.tokens / before.capacity
			b.refilledAt = now
		}
	}
}

// restoreDebts copies the debts to nodes that also exist in t.
func (t *Tree) restoreDebts(n, previous *node) {
	for _, d := range previous.debts {
		if creditor := t.byName[d.creditor.Name]; creditor != nil {
			d.creditor = creditor
			n.debts = append(n.debts, d)
		}
	}
}
