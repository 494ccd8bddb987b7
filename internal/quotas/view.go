package quotas

import (
	"time"

	"mothridge/quota"
)

// NodeView is a node's state on the admin socket. Other versions of the quota command read
// its JSON, so the JSON must not change.
type NodeView struct {
	Name                  string      `json:"Name"`
	Parent                string      `json:"Parent"`
	Depth                 int         `json:"Depth"` // 0 for the root
	Usage                 quota.Usage `json:"Usage"`
	Limits                []LimitView `json:"Limits"`
	Debts                 []DebtView  `json:"Owes"`
	Rejection             string      `json:"Refusal,omitempty"`    // the last exceeded limit; empty if there was none
	SecondsSinceRejection float64     `json:"RefusedAgo,omitempty"` // seconds since the last rejection
}

// LimitView is a limit, scaled to this sidecar's share, and the tokens in its bucket.
type LimitView struct {
	Dimension string  `json:"Dimension"`
	Rate      float64 `json:"Rate"`    // units a second; for concurrent, the number of requests in flight
	Ceiling   float64 `json:"Ceiling"` // highest rate including loans; 0 means no bound
	Window    string  `json:"Window"`  // in the format of time.Duration
	Tokens    float64 `json:"Left"`    // tokens; may be below 0 after a repayment
}

// DebtView is what a node owes another node in one dimension.
type DebtView struct {
	To        string  `json:"To"` // name of the creditor
	Dimension string  `json:"Dimension"`
	Amount    float64 `json:"Amount"` // units
}

// View returns the state of every node, parents before their children.
func (g *Gate) View() []NodeView {
	now, states := g.states()
	views := make([]NodeView, 0, len(states))
	for i := range states {
		views = append(views, nodeView(&states[i], now))
	}
	return views
}

// states returns the state of every node and the time of the trees' clock.
func (g *Gate) states() (now time.Duration, states []quota.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.now()
	return now, g.tree.Explain(now)
}

// nodeView converts a node's state at the time now.
func nodeView(state *quota.State, now time.Duration) NodeView {
	view := NodeView{Name: state.Name, Parent: state.Parent, Depth: state.Depth, Usage: state.Usage}
	for _, limit := range state.Limits {
		view.Limits = append(view.Limits, LimitView{
			Dimension: limit.Dimension.String(),
			Rate:      limit.Rate,
			Ceiling:   limit.Ceiling,
			Window:    limit.Window.String(),
			Tokens:    limit.Tokens,
		})
	}
	for _, debt := range state.Debts {
		view.Debts = append(view.Debts, DebtView{
			To: debt.To, Dimension: debt.Dimension.String(), Amount: debt.Amount,
		})
	}
	if state.LastRejection != (quota.Rejection{}) {
		view.Rejection = state.LastRejection.String()
		view.SecondsSinceRejection = (now - state.RejectedAt).Seconds()
	}
	return view
}
