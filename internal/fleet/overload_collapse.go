package fleet

// watchOverload sets or cancels the timer that starts or ends an overload collapse. The timer fires after the node has
// been overloaded, or half idle, without interruption for the configured time.
func (node *node) watchOverload() {
	params := &node.params.OverloadCollapse
	if !params.enabled() {
		return
	}
	holds, duration := float64(len(node.jobs)) > params.RequestsPerCore*float64(node.params.Cores), params.OnsetTime
	if node.collapsed {
		holds, duration = 2*len(node.jobs) <= node.params.Cores, params.RecoveryTime
	}
	switch {
	case !holds:
		node.events.cancel(node.collapseTimer)
	case !node.collapseTimer.pending():
		node.collapseTimer = node.events.scheduleEvent(duration, node, nodeCollapseToggles)
	}
}

// setCollapsed starts or ends an overload collapse.
func (node *node) setCollapsed(collapsed bool) {
	node.change(func() {
		node.collapsed = collapsed
		node.events.cancel(node.collapseTimer)
		node.events.cancel(node.collapseEndTimer)
		if collapsed {
			node.collapses++
			node.scheduleCollapseEnd()
		}
	})
}

// scheduleCollapseEnd schedules the latest end of a collapse, if the duration of a collapse is bounded.
func (node *node) scheduleCollapseEnd() {
	if longest := node.params.OverloadCollapse.MaxDuration; longest > 0 {
		node.collapseEndTimer = node.events.scheduleEvent(longest, node, nodeCollapseExpires)
	}
}

// enabled reports whether overload collapse is modelled.
func (collapse *OverloadCollapse) enabled() bool { return collapse.Slowdown > 1 }
