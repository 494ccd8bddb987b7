package load

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
	"mothridge/policy"
)

const (
	// responseGrace is how long after its timeout a client still reads a response, so that it can report a late one.
	responseGrace = time.Second
	// maxLateness is how long after its timeout a response may arrive without being reported as unexpected.
	maxLateness = 50 * time.Millisecond
	// maxBackoffShift limits how often a client's own backoff doubles.
	maxBackoffShift = 16
)

// submission is a request as its client sends it once: the first time, or as a client retry.
type submission struct {
	arrival fleet.PlannedArrival
	call    peers.Call
	result  peers.Result

	plannedAt time.Time // when the scenario plans the request
	startedAt time.Time // when this submission started; plannedAt for the first submission
	endedAt   time.Time // when its response arrived, or the client gave up
}

// runClient runs one client: it submits its request until it has a final response, gives up, or ctx ends.
func (g *generator) runClient(ctx context.Context, number int, arrival fleet.PlannedArrival, plannedAt time.Time) {
	g.countStart(arrival, plannedAt)
	defer g.countEnd()
	class := &g.Scenario.Classes[arrival.Class]
	client := g.clients[arrival.Sidecar%len(g.clients)]
	for attempt := 1; ; attempt++ {
		s := submission{arrival: arrival, plannedAt: plannedAt, startedAt: time.Now()}
		if attempt == 1 {
			s.startedAt = plannedAt
		}
		s.call = g.newCall(number, attempt, arrival, g.timeout(class, &s))
		callCtx, cancel := context.WithTimeout(ctx, s.call.Timeout+responseGrace)
		s.result = client.Do(callCtx, s.call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		s.endedAt = time.Now()
		g.record(&s)
		pause, retry := g.retryDecision(s.result, class, attempt)
		retriesInTime := retry && !time.Now().Add(pause).After(plannedAt.Add(class.Deadline))
		if !retriesInTime || !sleep(ctx, pause) {
			return
		}
	}
}

// timeout returns the time left until the class's deadline. If the scenario's clients give up after a share of
// the deadline (TimeoutShares), the share is drawn for each submission and the shorter of the two times applies.
func (g *generator) timeout(class *fleet.Class, s *submission) time.Duration {
	remaining := s.plannedAt.Add(class.Deadline).Sub(s.startedAt)
	if shares := g.Scenario.Clients.TimeoutShares; len(shares) == 2 {
		share := shares[0] + (shares[1]-shares[0])*g.draw()
		remaining = min(remaining, time.Duration(float64(class.Deadline)*share))
	}
	return remaining
}

// newCall returns a submission's call. Its body states the request's work, which the node reads.
func (g *generator) newCall(number, attempt int, arrival fleet.PlannedArrival, timeout time.Duration) peers.Call {
	call := peers.Call{
		ID:          fmt.Sprintf("%d-%d-%d", g.Scenario.Seed, number, attempt),
		Class:       className(&g.Scenario, arrival.Class),
		Tenant:      tenantName(&g.Scenario, arrival.Tenant),
		Timeout:     timeout,
		ClientRetry: attempt > 1,
		Body:        fmt.Appendf(nil, "%s%d", workField, arrival.Work.Microseconds()),
	}
	switch policy.Idempotency(g.Scenario.Classes[arrival.Class].Idempotency) {
	case policy.IdempotentByKey:
		call.IdempotencyKey = fmt.Sprintf("%d-%d", g.Scenario.Seed, number)
	case policy.NotIdempotent:
		call.NotIdempotent = true
	case policy.Idempotent:
	}
	return call
}

// className returns a class's name, or a name made from its index if it has none.
func className(s *fleet.Scenario, i int) string {
	if name := s.Classes[i].Name; name != "" {
		return name
	}
	return fmt.Sprintf("class-%d", i)
}

// tenantName returns a tenant's name, or a name made from its index if it has none.
func tenantName(s *fleet.Scenario, i int) string {
	if i < len(s.Tenants) && s.Tenants[i].Name != "" {
		return s.Tenants[i].Name
	}
	return fmt.Sprintf("tenant-%d", i)
}

// retryDecision returns whether a client retries after a result, and the pause before that retry.
func (g *generator) retryDecision(result peers.Result, class *fleet.Class, attempt int) (time.Duration, bool) {
	clients := &g.Scenario.Clients
	backoff := func() time.Duration {
		doubled := clients.RetryBackoff << min(attempt-1, maxBackoffShift)
		return time.Duration(float64(doubled) * (0.5 + g.draw()))
	}
	if attempt >= clients.MaxSubmissions {
		return 0, false
	}
	if result.Outcome == peers.Rejected {
		if clients.RetryAfterShare >= 1 || g.draw() < clients.RetryAfterShare {
			return result.RetryAfter, true
		}
		return backoff(), true
	}
	idempotent := policy.Idempotency(class.Idempotency) == policy.Idempotent
	retriesOutcome := clients.RetryAfterFailure || result.Outcome == peers.Lost
	if result.Outcome != peers.Served && idempotent && retriesOutcome {
		return backoff(), true
	}
	return 0, false
}

// tallies returns the tallies that count a request: all requests, its class and its tenant.
// The caller holds g.mu.
func (g *generator) tallies(arrival fleet.PlannedArrival) []*fleet.Tally {
	return []*fleet.Tally{&g.result.Tally, &g.result.Classes[arrival.Class], &g.result.Tenants[arrival.Tenant]}
}

// window returns the window that contains a time since the start, or the nearest window. The caller holds g.mu.
func (g *generator) window(sinceStart time.Duration) *fleet.Window {
	windows := g.result.Windows
	return &windows[max(0, min(int(sinceStart/time.Second), len(windows)-1))]
}

// countStart counts a request in the window of its planned time.
func (g *generator) countStart(arrival fleet.PlannedArrival, plannedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started++
	g.inFlight++
	recordMicroseconds(g.result.StartDelay, time.Since(plannedAt))
	for _, tally := range g.tallies(arrival) {
		tally.Requests++
	}
	g.window(arrival.At).Requests++
}

func (g *generator) countEnd() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// record counts a submission in the same way as the model does.
func (g *generator) record(s *submission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	r.Submissions++
	window := g.window(s.endedAt.Sub(g.startAt))
	switch s.result.Outcome {
	case peers.Served:
		r.Served++
		window.Served++
		g.recordServed(s)
	case peers.Rejected:
		r.Rejected++
		window.Rejected++
	case peers.Failed:
		r.Failed++
		window.Failed++
	default:
		r.Lost++
		r.addUnexpected("%s: %s %s %v", s.call.ID, s.result.Outcome, s.result.Text, s.result.Err)
	}
	lateness := s.endedAt.Sub(s.startedAt) - s.call.Timeout
	if lateness > maxLateness && s.result.Outcome != peers.Lost {
		r.addUnexpected("%s: response arrived %v after the deadline", s.call.ID, lateness)
	}
}

// recordServed counts a served submission against its class's latency objective. The latency of the request runs
// from its planned time; the time of the submission runs from the submission's own start. The caller holds g.mu.
func (g *generator) recordServed(s *submission) {
	objective := g.Scenario.Classes[s.arrival.Class].LatencyObjective
	latency := s.endedAt.Sub(s.plannedAt)
	recordMicroseconds(g.result.Latency, latency)
	for _, tally := range g.tallies(s.arrival) {
		if s.endedAt.Sub(s.startedAt) <= objective {
			tally.SubmissionsMetObjective++
		}
		if latency <= objective {
			tally.MetObjective++
		}
	}
	if latency <= objective {
		g.window(s.arrival.At).MetObjective++
	}
}

// recordMicroseconds ignores a duration above maxLatency, because no request can take that long.
func recordMicroseconds(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(d.Microseconds())
}
