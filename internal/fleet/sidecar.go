package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mothridge/membership"
	"mothridge/policy"
	"mothridge/quota"
)

// sidecar is a simulated sidecar: a balancer, the host that executes the balancer's decisions, and the clients.
type sidecar struct {
	*simulation
	number        int
	incarnation   int // number of the sidecar's process
	stopped       bool
	arrivalRandom *rand.Rand

	balancer      balancer
	balancerTimer timer
	quotaTree     *quota.Tree // nil: no quotas
	submissions   map[policy.RequestID]*submission
	pools         []*connectionPool // by node; nil: connections are not modelled

	subscribed    bool            // list updates are pushed, or the watch of the list is open
	membershipSet *membership.Set // nil: updates go directly to the balancer
	endpointIDs   map[string]policy.EndpointID
	endpoints     []sidecarEndpoint // by endpoint ID, which counts from 1
}

// sidecarEndpoint is the state of an endpoint whose ID the sidecar has passed to its balancer.
type sidecarEndpoint struct {
	node          *node
	drainingSince time.Duration // by the updates that the sidecar has received; 0: ready
}

// membershipTickInterval is the interval at which the membership module gets the current time.
const membershipTickInterval = time.Second

// start starts a process with empty state. The process gets the endpoint list at once if updates are pushed.
func (sidecar *sidecar) start() error {
	sidecar.reset()
	config := sidecar.scenario.balancerConfig()
	seed := sidecar.scenario.Seed + uint64(sidecar.number) + uint64(sidecar.incarnation)<<32
	var err error
	if sidecar.balancer, err = sidecar.scenario.newBalancer(config, seed, sidecar); err != nil {
		return err
	}
	if sidecar.quotaTree, err = sidecar.scenario.newQuotaTree(); err != nil {
		return err
	}
	if err := sidecar.startList(); err != nil {
		return err
	}
	sidecar.subscribed = !sidecar.scenario.List.WatchRequired
	sidecar.balancer.Start(sidecar.clockTime())
	if sidecar.subscribed {
		sidecar.applyList(sidecar.publishedHealth())
	}
	return nil
}

// reset clears the state of the earlier process.
func (sidecar *sidecar) reset() {
	sidecar.submissions = make(map[policy.RequestID]*submission)
	sidecar.endpointIDs = make(map[string]policy.EndpointID)
	sidecar.membershipSet, sidecar.endpoints, sidecar.pools = nil, nil, nil
	if sidecar.scenario.Network.HandshakeWork > 0 {
		sidecar.pools = make([]*connectionPool, sidecar.scenario.Nodes)
	}
}

// startList prepares for list updates: it creates the membership module, or without it an endpoint ID for each node.
func (sidecar *sidecar) startList() error {
	if !sidecar.scenario.List.Membership {
		for _, node := range sidecar.nodes {
			sidecar.endpoints = append(sidecar.endpoints, sidecarEndpoint{node: node})
		}
		return nil
	}
	var err error
	sidecar.membershipSet, err = membership.New(membership.Config{}, membership.Source{Name: "registry"})
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	if sidecar.incarnation == 0 { // the ticks continue across restarts
		sidecar.scheduleEvent(membershipTickInterval, sidecar, membershipTick)
	}
	return nil
}

// balancerConfig returns the decision module's configuration.
func (scenario *Scenario) balancerConfig() policy.Config {
	config := policy.Config{
		FleetSize:               scenario.Sidecars,
		Slots:                   scenario.Slots,
		MaxAttempts:             scenario.MaxAttempts,
		CancelAllowed:           true,
		MaxRetryAfter:           scenario.Clients.MaxRetryAfter,
		ClientsMarkRetries:      true,
		WatchOnRequest:          scenario.List.WatchRequired,
		WatchRequestWithin:      watchRequestWithin,
		ProbesAllowed:           scenario.LoadReports,
		ProbeLoadReports:        scenario.LoadReports,
		SlowStartInitialShare:   scenario.Node.InitialSpeedShare,
		SlowStartDuration:       scenario.Node.WarmUpTime,
		SlowStartOverloadFactor: scenario.Node.WarmUpOverloadFactor,
	}
	for _, class := range scenario.Classes {
		config.Classes = append(config.Classes, policy.Class{
			LatencyObjective: class.LatencyObjective,
			Deadline:         class.Deadline,
			PriorityWeight:   1,
			Idempotency:      policy.Idempotency(class.Idempotency),
			DedupScope:       policy.DedupScope(class.DedupScope),
			DedupWindow:      class.DedupWindow,
		})
	}
	for _, tenant := range scenario.Tenants {
		config.Tenants = append(config.Tenants, policy.Tenant{Share: tenant.Share, Quota: tenant.Quota})
	}
	return config
}

// stop ends the process. Its open submissions are lost.
func (sidecar *sidecar) stop() {
	ids := make([]policy.RequestID, 0, len(sidecar.submissions))
	for id := range sidecar.submissions {
		ids = append(ids, id)
	}
	slices.Sort(ids) // the order of a map is not reproducible
	for _, id := range ids {
		submission := sidecar.submissions[id]
		for _, attempt := range submission.attempts {
			sidecar.discardAttempt(attempt)
		}
		if submission.completed {
			continue
		}
		if sidecar.isExplained(submission) {
			sidecar.explain(submission, "its sidecar ended")
		}
		sidecar.loseSubmission(submission)
	}
	sidecar.submissions, sidecar.stopped = make(map[policy.RequestID]*submission), true
	sidecar.cancel(sidecar.balancerTimer)
}

// restart starts the sidecar's next process.
func (sidecar *sidecar) restart() {
	sidecar.stopped = false
	sidecar.incarnation++
	if err := sidecar.start(); err != nil {
		panic(err) // the first process started with the same settings
	}
}

// clockTime returns the time on the decision module's clock.
func (sidecar *sidecar) clockTime() time.Duration { return epoch + sidecar.now }

// scheduleWhileRunning schedules a function that is skipped if the current process has ended by then.
func (sidecar *sidecar) scheduleWhileRunning(delay time.Duration, do func()) {
	incarnation := sidecar.incarnation
	sidecar.schedule(delay, func() {
		if sidecar.incarnation == incarnation && !sidecar.stopped {
			do()
		}
	})
}

// The events of a sidecar.
const (
	balancerTimerFires eventKind = iota
	membershipTick
)

func (sidecar *sidecar) handleEvent(kind eventKind) {
	switch kind {
	case balancerTimerFires:
		if !sidecar.stopped {
			sidecar.balancer.TimerFired(sidecar.clockTime())
		}
	case membershipTick:
		if !sidecar.stopped {
			sidecar.tickMembership()
		}
		sidecar.scheduleEvent(membershipTickInterval, sidecar, membershipTick)
	default: // event kinds of other handlers
	}
}
