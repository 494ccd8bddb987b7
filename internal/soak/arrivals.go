package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// arrival is a request that reached a cold node. startKnown says whether the request's sidecar had received the
// start of the node by then.
type arrival struct {
	at         time.Time
	sidecar    int // number
	startKnown bool
}

// setHealth sets a node's health in the registry. A sidecar counts as having received the change at once, or,
// while a fault affects its agent, at the time when the sidecar must have received the change at the latest.
func (env *environment) setHealth(n *node, health string) {
	n.mu.Lock()
	n.health = health
	startMS := int64(0)
	if !n.startedAt.IsZero() {
		startMS = n.startedAt.UnixMilli()
	}
	n.mu.Unlock()
	env.mu.Lock()
	for _, s := range env.sidecars {
		key := fmt.Sprint(n.name, "/", s.number)
		knownAt := time.Now()
		s.mu.Lock()
		if applied := s.discoveryChangedAt.Add(4 * time.Second); applied.After(knownAt) {
			knownAt = applied // a new configuration may take 4 s to take effect
		}
		a := s.agents[s.activeAgent]
		s.mu.Unlock()
		a.mu.Lock()
		if a.downUntil.After(knownAt) {
			knownAt = a.downUntil
		}
		if recovered := a.watchesMutedAt.Add(silentWatchTimeout); recovered.After(knownAt) && !a.watchesMutedAt.IsZero() {
			knownAt = recovered // a watch that has fallen silent does not deliver the change
		}
		knownAt = knownAt.Add(2 * a.responseDelay) // one delay for the complete list, one for the watch
		a.mu.Unlock()
		if health == "up" {
			delete(env.drainKnownAt, key)
			env.startKnownAt[key] = knownAt
		} else if _, known := env.drainKnownAt[key]; !known {
			env.drainKnownAt[key] = knownAt
		}
	}
	env.mu.Unlock()
	env.registry.set(hostEntry{
		Host: n.name, Dial: n.ln.Addr().String(), Site: "a", Class: "m", Block: 1,
		Health: health, Share: 1, BornMS: startMS,
	})
}

// stopDiscovery silences all agents for d from now on. A change that an earlier outage still holds back counts as received at the
// end of this one: while discovery is down an agent learns nothing.
func (env *environment) stopDiscovery(now time.Time, d time.Duration) {
	for _, s := range env.sidecars {
		for _, a := range s.agents {
			a.stopResponding(d)
		}
	}
	end := now.Add(d)
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, knownAt := range []map[string]time.Time{env.drainKnownAt, env.startKnownAt} {
		for key, at := range knownAt {
			if at.After(now) && end.After(at) {
				knownAt[key] = end
			}
		}
	}
}

// checkArrival checks the invariants Drain and WarmUpOverload for a request that has reached a node. The request may
// have waited for up to delay before the node read it.
func (env *environment) checkArrival(n *node, id string, delay time.Duration) {
	var number int
	if _, err := fmt.Sscanf(id, "%d-", &number); err != nil || number >= len(env.sidecars) {
		return
	}
	now := time.Now().Add(-delay)
	env.checkDrain(n, id, number, now)
	env.checkWarmUp(n, number, now)
}

// checkDrain checks the invariant Drain for a request that a sidecar sent to a node at now.
func (env *environment) checkDrain(n *node, id string, number int, now time.Time) {
	env.mu.Lock()
	drainKnownAt, draining := env.drainKnownAt[fmt.Sprint(n.name, "/", number)]
	env.mu.Unlock()
	if !draining {
		return
	}
	s := env.sidecars[number]
	drainKnownAt = s.receivedAt(drainKnownAt)
	s.mu.Lock()
	stalledUntil, processStartedAt := s.stalledUntil, s.startedAt
	s.mu.Unlock()
	if drainKnownAt.Before(processStartedAt) {
		// A new process has received the drain by its start, because it needs a list before it sends requests.
		drainKnownAt = processStartedAt
	}
	if stalledUntil.After(drainKnownAt) {
		drainKnownAt = stalledUntil
	}
	if late := now.Sub(drainKnownAt); late > drainGrace+stallSlack+env.checker.lag.slack() {
		env.checker.addViolation(Drain, "%s was sent to %s %v after the sidecar had received the drain", id, n.name, late)
	}
}

// receivedAt returns when the sidecar counts as having received a change that counts as received at knownAt. A sidecar with
// pushed lists does not detect a slow agent, so silentWatchTimeout is added.
func (s *sidecar) receivedAt(knownAt time.Time) time.Time {
	if s.agent().delayedSince(knownAt.Add(-settleTime)) {
		return knownAt.Add(silentWatchTimeout)
	}
	return knownAt
}

// checkWarmUp records a request that a sidecar sent to a node at now, and checks the invariant WarmUpOverload for the window
// that ends at now.
func (env *environment) checkWarmUp(n *node, number int, now time.Time) {
	startKnownAt := env.sidecars[number].receivedAt(env.startKnown(n.name, number))
	n.mu.Lock()
	defer n.mu.Unlock()
	age := now.Sub(n.startedAt)
	if n.startedAt.IsZero() || age > slowStartDuration {
		return
	}
	n.arrivals = append(n.arrivals, arrival{now, number, !startKnownAt.After(now)})
	window := arrivalsInWindow(n.arrivals, now)
	limit := warmUpLimit(env.cfg.Nodes, age)
	// The budget applies if more than two thirds of the requests come from sidecars that have received the start.
	if float64(len(window)) > limit && 3*countStartKnown(window) > 2*len(window) {
		knownAt := func(sidecar int) time.Time { return env.startKnown(n.name, sidecar) }
		env.checker.addViolation(WarmUpOverload, "%s, started %v ago, got %d requests within %v, want at most %.0f; "+
			"by sidecar, with the time for which it has known the start: %s", n.name, age, len(window), slowStartOverloadWindow, limit,
			describeArrivals(window, now, knownAt))
	}
}

// arrivalsInWindow returns the arrivals in the window that ends at now. Arrivals after now are left out: now lies in the past for
// a request that has waited.
func arrivalsInWindow(arrivals []arrival, now time.Time) []arrival {
	var inWindow []arrival
	for _, a := range arrivals {
		if !a.at.After(now) && now.Sub(a.at) <= slowStartOverloadWindow {
			inWindow = append(inWindow, a)
		}
	}
	return inWindow
}

// countStartKnown returns how many arrivals come from sidecars that had received the start.
func countStartKnown(arrivals []arrival) int {
	count := 0
	for _, a := range arrivals {
		if a.startKnown {
			count++
		}
	}
	return count
}

// describeArrivals returns, for each sidecar, how many of the arrivals are its own and for how long it has known the start of the
// node at now; "-" if it has not received the start.
func describeArrivals(arrivals []arrival, now time.Time, knownAt func(sidecar int) time.Time) string {
	counts := make(map[int]int)
	for _, a := range arrivals {
		counts[a.sidecar]++
	}
	var parts []string
	for _, number := range slices.Sorted(maps.Keys(counts)) {
		known := "-"
		if age := now.Sub(knownAt(number)); age >= 0 {
			known = fmt.Sprintf("%.1fs", age.Seconds())
		}
		parts = append(parts, fmt.Sprintf("n%d:%d(%s)", number, counts[number], known))
	}
	return strings.Join(parts, " ")
}

// warmUpLimit returns how many requests a node that started age ago may get within slowStartOverloadWindow, of a given number of
// nodes.
func warmUpLimit(nodes int, age time.Duration) float64 {
	sinceWindowStart := max(0, age-slowStartOverloadWindow).Seconds() / slowStartDuration.Seconds()
	capacity := fleetQuota / float64(nodes) * (slowStartInitialShare + (1-slowStartInitialShare)*sinceWindowStart)
	return requestBudget(slowStartOverloadFactor * capacity * slowStartOverloadWindow.Seconds())
}

// startKnown returns when a sidecar counts as having received a node's last start.
func (env *environment) startKnown(nodeName string, sidecar int) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.startKnownAt[fmt.Sprint(nodeName, "/", sidecar)]
}
