package soak

import (
	"fmt"
	"time"
)

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
	s, now := env.sidecars[number], time.Now().Add(-delay)
	key := fmt.Sprint(n.name, "/", number)
	env.mu.Lock()
	drainKnownAt, draining := env.drainKnownAt[key]
	startKnownAt := env.startKnownAt[key]
	env.mu.Unlock()
	// A sidecar with pushed lists does not detect a slow agent, so silentWatchTimeout is added.
	if s.agent().delayedSince(drainKnownAt.Add(-settleTime)) {
		drainKnownAt = drainKnownAt.Add(silentWatchTimeout)
	}
	if s.agent().delayedSince(startKnownAt.Add(-settleTime)) {
		startKnownAt = startKnownAt.Add(silentWatchTimeout)
	}
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
	if late := now.Sub(drainKnownAt); draining && late > drainGrace+stallSlack+env.checker.lag.slack() {
		env.checker.addViolation(Drain, "%s was sent to %s %v after the sidecar had received the drain", id, n.name, late)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	age := now.Sub(n.startedAt)
	if n.startedAt.IsZero() || age > slowStartDuration {
		return
	}
	n.arrivals = append(n.arrivals, arrival{now, number, !startKnownAt.After(now)})
	inWindow, withStartKnown := 0, 0
	for _, a := range n.arrivals {
		if now.Sub(a.at) <= slowStartOverloadWindow {
			inWindow++
			if a.startKnown {
				withStartKnown++
			}
		}
	}
	capacity := fleetQuota / float64(env.cfg.Nodes) * (slowStartInitialShare +
		(1-slowStartInitialShare)*max(0, age-slowStartOverloadWindow).Seconds()/slowStartDuration.Seconds())
	// The budget applies if more than two thirds of the requests come from sidecars that have received the start.
	if limit := requestBudget(
		slowStartOverloadFactor * capacity * slowStartOverloadWindow.Seconds(),
	); float64(inWindow) > limit && 3*withStartKnown > 2*inWindow {
		knownAt := func(sidecar int) time.Time { return env.startKnown(n.name, sidecar) }
		env.checker.addViolation(WarmUpOverload, "%s, started %v ago, got %d requests within %v, want at most %.0f; "+
			"by sidecar, with the time for which it has known the start: %s", n.name, age, inWindow, slowStartOverloadWindow, limit,
			describeArrivals(n.arrivals, now.Add(-slowStartOverloadWindow), now, knownAt))
	}
}

// startKnown returns when a sidecar counts as having received a node's last start.
func (env *environment) startKnown(nodeName string, sidecar int) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.startKnownAt[fmt.Sprint(nodeName, "/", sidecar)]
}
