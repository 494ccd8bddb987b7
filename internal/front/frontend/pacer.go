package frontend

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"mothridge/internal/logsink"
	"mothridge/internal/processor"
	"mothridge/pacing"
)

const (
	// pacingLogInterval is the least time between two log lines about flows that wait.
	pacingLogInterval = 10 * time.Second
	// rateLogInterval is the least time between two log lines about a process that gets less than its share.
	rateLogInterval = time.Second
	// lowRate is the part of the whole rate below which a falling rate is logged.
	lowRate = 0.5
)

// Pacer makes clients that send at full speed wait while the process has used its share of a core: see package pacing. One
// Pacer serves all listeners. Its methods may be called concurrently. A nil Pacer makes nobody wait.
type Pacer struct {
	startedAt time.Time
	share     float64              // of a core
	used      func() time.Duration // processor time of the process; always 0 if the system does not tell it, so that nobody waits

	waits [activityCount]waitCounter

	log, rateLog logsink.Limiter

	mu      sync.Mutex
	pacer   *pacing.Pacer
	granted map[*pacing.Flow]chan struct{} // closed when the flow may go on
	timer   *time.Timer                    // calls tick while flows wait, or the process may be short of processor time
	dueAt   time.Time                      // when the timer fires; zero if it is not set
}

// NewPacer returns a Pacer for a process that may use a share of a core, above 0. It blocks as processor.IsTold does.
func NewPacer(share float64) *Pacer {
	used := processor.Used
	if !processor.IsTold() {
		slog.Warn("the system does not tell the processor time of this process; clients that send at full speed are not slowed")
		used = func() time.Duration { return 0 }
	}
	return newPacer(share, used)
}

func newPacer(share float64, used func() time.Duration) *Pacer {
	p := &Pacer{
		startedAt: time.Now(),
		share:     share,
		used:      used,
		log:       logsink.Limiter{Interval: pacingLogInterval},
		rateLog:   logsink.Limiter{Interval: rateLogInterval},
		pacer:     pacing.New(share, 0, used()),
		granted:   make(map[*pacing.Flow]chan struct{}),
	}
	p.timer = time.AfterFunc(time.Hour, p.tick) // arbitrary delay until it is set
	p.timer.Stop()
	return p
}

// now returns the time on the Pacer's clock.
func (p *Pacer) now() time.Duration {
	if p == nil {
		return 0
	}
	return time.Since(p.startedAt)
}

// waitLimiter says for how long a flow that should wait may wait at most; 0 if not at all. It is only asked then, and must not block.
type waitLimiter interface {
	maxWait(now time.Duration) time.Duration
}

// await counts something that a flow is about to do, and blocks until it may do it. client is named in the log. await returns for how long
// the flow waited, and whether it should have. A flow must not be passed to two calls at a time.
func (p *Pacer) await(flow *pacing.Flow, what activity, client net.Addr, limiter waitLimiter) (waited time.Duration, shouldWait bool) {
	if p == nil {
		return 0, false
	}
	granted, shouldWait := p.begin(flow, what, client, limiter)
	if granted == nil {
		return 0, shouldWait
	}
	startedAt := time.Now()
	<-granted
	waited = time.Since(startedAt)
	p.waits[what].record(waited)
	slog.Debug("client waited for processor time", "client", client, "to", what, "waited", waited)
	return waited, true
}

// begin returns a channel that is closed when the flow may go on, nil if it may at once, and whether it should wait.
func (p *Pacer) begin(flow *pacing.Flow, what activity, client net.Addr, limiter waitLimiter) (granted chan struct{}, shouldWait bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	sinceStart := now.Sub(p.startedAt)
	if p.pacer.NeedsSample(sinceStart) {
		p.pacer.ProcessorUsed(sinceStart, p.used())
	}
	isFirst := p.pacer.Waiting() == 0
	shouldWait = p.pacer.Begin(flow, activityCosts[what], sinceStart)
	if shouldWait {
		if longest := limiter.maxWait(sinceStart); longest > 0 {
			p.pacer.Wait(flow, sinceStart, longest)
			granted = make(chan struct{})
			p.granted[flow] = granted
		}
	}
	if granted != nil || p.dueAt.IsZero() {
		p.setTimer(now)
	}
	if isFirst && granted != nil {
		p.logWait(now, client)
	}
	return granted, shouldWait
}

// setTimer sets the timer, unless it fires early enough. The caller holds the lock.
func (p *Pacer) setTimer(now time.Time) {
	after, needed := p.pacer.NextObservation(now.Sub(p.startedAt))
	if !needed {
		return
	}
	dueAt := now.Add(after)
	if p.dueAt.IsZero() || dueAt.Before(p.dueAt) {
		p.dueAt = dueAt
		p.timer.Reset(after)
	}
}

// charge counts something that a flow does without waiting. It does not block.
func (p *Pacer) charge(flow *pacing.Flow, cost float64) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Penalize(flow, cost, p.now())
}

// Drain records that the process ends soon: fewer clients wait from now on. It does not block.
func (p *Pacer) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Drain()
}

// TimerFired reports by how much a timer of the process was late. It does not block.
func (p *Pacer) TimerFired(late time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.pacer.NeedsObservation(now.Sub(p.startedAt), late) {
		p.observe(now, late)
	}
}

// observe reports a timer, and logs if the process gets less than its share. The caller holds the lock.
func (p *Pacer) observe(now time.Time, late time.Duration) {
	before := p.pacer.State()
	p.pacer.Observe(now.Sub(p.startedAt), p.used(), late)
	p.logRate(before, late)
}

// logRate logs that the process gets less than its share, at most every rateLogInterval.
func (p *Pacer) logRate(before pacing.State, late time.Duration) {
	after := p.pacer.State()
	if after.Rate >= before.Rate || after.Rate > lowRate*after.FullRate || !p.rateLog.Allow(time.Now()) {
		return
	}
	slog.Warn("the process gets less than its share of a core; clients that send at full speed get less", "late", late,
		"rate_before", before.Rate, "rate", after.Rate, "full_rate", after.FullRate, "message_cost", after.MessageCost, "waiting", after.Waiting)
}

// tick observes how the process does, and lets flows go on. The timer calls it.
func (p *Pacer) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.dueAt.IsZero() || now.Before(p.dueAt) { // set again meanwhile
		return
	}
	p.observe(now, now.Sub(p.dueAt))
	p.dueAt = time.Time{}
	for _, flow := range p.pacer.Grant(now.Sub(p.startedAt)) {
		close(p.granted[flow])
		delete(p.granted, flow)
	}
	p.setTimer(now)
}

// logWait logs that a client waits, at most every pacingLogInterval.
func (p *Pacer) logWait(now time.Time, client net.Addr) {
	if !p.log.Allow(now) {
		return
	}
	waits, state := p.Waits(), p.pacer.State()
	slog.Warn("the share of a core is used up; clients that send at full speed wait", "share", p.share, "client", client.String(),
		"waits", waits.Count, "waited", waits.Total, "longest_wait", waits.Longest,
		"rate", state.Rate, "full_rate", state.FullRate, "message_cost", state.MessageCost)
}

// Waits says how flows have waited since the start.
type Waits struct {
	Count          int
	Total, Longest time.Duration
	ByActivity     []ActivityWaits
}

// ActivityWaits says how flows have waited since the start for what they were about to do.
type ActivityWaits struct {
	Activity string
	Count    int
	Total    time.Duration
}

// Waits returns how flows have waited since the start.
func (p *Pacer) Waits() Waits {
	var waits Waits
	for what := range activityCount {
		counter := &p.waits[what]
		each := ActivityWaits{what.String(), int(counter.count.Load()), time.Duration(counter.total.Load())}
		waits.ByActivity = append(waits.ByActivity, each)
		waits.Count += each.Count
		waits.Total += each.Total
		waits.Longest = max(waits.Longest, time.Duration(counter.longest.Load()))
	}
	return waits
}

// State returns what the Pacer goes by now.
func (p *Pacer) State() pacing.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.State()
}
