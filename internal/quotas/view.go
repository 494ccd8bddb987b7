package quotas

import (
	"time"

	"mothridge/quota"
)

// NodeView is a node's state as the admin socket gives it. Its JSON form is read by
// other versions of the quota command.
type NodeView struct {
	Name        string      `json:"Name"`
	Parent      string      `json:"Parent"`
	Depth       int         `json:"Depth"` // 0 for the root
	Usage       quota.Usage `json:"Usage"`
	Limits      []LimitView `json:"Limits"`
	Debts       []DebtView  `json:"Owes"`
	Rejection   string      `json:"Refusal,omitempty"`    // the last one; empty if there was none
	RejectedAgo float64     `json:"RefusedAgo,omitempty"` // seconds since then
}

// LimitView is a limit of this sidecar and what is left of it.
type LimitView struct {
	Dimension string  `json:"Dimension"`
	Rate      float64 `json:"Rate"`    // units a second; of concurrent the number in flight
	Ceiling   float64 `json:"Ceiling"` // as Rate, loans included; 0: no bound
	Window    string  `json:"Window"`  // as time.Duration has it
	Left      float64 `json:"Left"`    // below 0 after a repayment
}

// DebtView is what a node owes another.
type DebtView struct {
	To        string  `json:"To"`
	Dimension string  `json:"Dimension"`
	Amount    float64 `json:"Amount"`
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

func (g *Gate) states() (now time.Duration, states []quota.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now = g.now()
	return now, g.tree.Explain(now)
}

func nodeView(state *quota.State, now time.Duration) NodeView {
	view := NodeView{Name: state.Name, Parent: state.Parent, Depth: state.Depth, Usage: state.Usage}
	for _, limit := range state.Limits {
		view.Limits = append(view.Limits, LimitView{
			Dimension: limit.Dimension.String(),
			Rate:      limit.Rate,
			Ceiling:   limit.Ceiling,
			Window:    limit.Window.String(),
			Left:      limit.Left,
		})
	}
	for _, debt := range state.Debts {
		view.Debts = append(view.Debts, DebtView{
			To: debt.To, Dimension: debt.Dimension.String(), Amount: debt.Amount,
		})
	}
	if state.LastRejection != (quota.Rejection{}) {
		view.Rejection = state.LastRejection.String()
		view.RejectedAgo = (now - state.RejectedAt).Seconds()
	}
	return view
}
