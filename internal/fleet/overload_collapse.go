package fleet

// watchOverload sets or cancels the timer that takes the node into an overload collapse or out of it: after it has
// been overloaded, or half idle, without a break for the configured time.
func (node *node) watchOverload() {
	params := &node.params.OverloadCollapse
	if !params.enabled() {
		return
	}
	turns, after := float64(len(node.jobs)) > params.RequestsPerCore*float64(node.params.Cores), params.OnsetTime
	if node.collapsed {
		turns, after = 2*len(node.jobs) <= node.params.Cores, params.RecoveryTime
	}
	switch {
	case !turns:
		node.events.cancel(node.collapseTimer)
	case !node.collapseTimer.pending():
		node.collapseTimer = node.events.scheduleEvent(after, node, nodeCollapseTurns)
	}
}

// setCollapsed begins or ends an overload collapse.
func (node *node) setCollapsed(collapsed bool) {
	node.change(func() {
		node.collapsed = collapsed
		node.events.cancel(node.collapseTimer)
		node.events.cancel(node.collapseEndTimer)
		if collapsed {
			node.collapses++
			node.limitCollapse()
		}
	})
}

// limitCollapse schedules the latest end of a collapse.
func (node *node) limitCollapse() {
	if longest := node.params.OverloadCollapse.MaxDuration; longest > 0 {
		node.collapseEndTimer = node.events.scheduleEvent(longest, node, nodeCollapseEnds)
	}
}

// enabled reports whether overload collapse is modelled.
func (collapse *OverloadCollapse) enabled() bool { return collapse.Slowdown > 1 }
