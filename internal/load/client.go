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
	// responseGrace is how long after its timeout a client still reads a response, to report it.
	responseGrace = time.Second
	// maxLateness after its timeout a response may come without being reported.
	maxLateness = 50 * time.Millisecond
	// maxBackoffShift bounds the doubling of a client's own backoff.
	maxBackoffShift = 16
)

// submission is one sending of a request by its client: the first, or a client retry.
type submission struct {
	arrival fleet.PlannedArrival
	call    peers.Call
	result  peers.Result

	plannedAt time.Time // of the request
	startedAt time.Time // of this submission
	endedAt   time.Time
}

// runClient is one client: its submissions until it has a response or gives up.
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
		pause, retry := g.retry(s.result, class, attempt)
		retriesInTime := retry && !time.Now().Add(pause).After(plannedAt.Add(class.Deadline))
		if !retriesInTime || !sleep(ctx, pause) {
			return
		}
	}
}

// timeout is what is left of the class's deadline, or the drawn share after which this
// client gives up.
func (g *generator) timeout(class *fleet.Class, s *submission) time.Duration {
	remaining := s.plannedAt.Add(class.Deadline).Sub(s.startedAt)
	if shares := g.Scenario.Clients.TimeoutShares; len(shares) == 2 {
		share := shares[0] + (shares[1]-shares[0])*g.draw()
		remaining = min(remaining, time.Duration(float64(class.Deadline)*share))
	}
	return remaining
}

// newCall makes a submission's call. The work is in the body, which the node reads.
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

func className(s *fleet.Scenario, i int) string {
	if name := s.Classes[i].Name; name != "" {
		return name
	}
	return fmt.Sprintf("class-%d", i)
}

func tenantName(s *fleet.Scenario, i int) string {
	if i < len(s.Tenants) && s.Tenants[i].Name != "" {
		return s.Tenants[i].Name
	}
	return fmt.Sprintf("tenant-%d", i)
}

// retry says whether a client retries, and after which pause.
func (g *generator) retry(got peers.Result, class *fleet.Class, attempt int) (time.Duration, bool) {
	clients := &g.Scenario.Clients
	backoff := func() time.Duration {
		doubled := clients.RetryBackoff << min(attempt-1, maxBackoffShift)
		return time.Duration(float64(doubled) * (0.5 + g.draw()))
	}
	if attempt >= clients.MaxSubmissions {
		return 0, false
	}
	if got.Outcome == peers.Rejected {
		if clients.RetryAfterShare >= 1 || g.draw() < clients.RetryAfterShare {
			return got.RetryAfter, true
		}
		return backoff(), true
	}
	idempotent := policy.Idempotency(class.Idempotency) == policy.Idempotent
	retriesOutcome := clients.RetriesFailures || got.Outcome == peers.Lost
	if got.Outcome != peers.Served && idempotent && retriesOutcome {
		return backoff(), true
	}
	return 0, false
}

// tallies are the counts that a request belongs to. g.mu is held.
func (g *generator) tallies(arrival fleet.PlannedArrival) []*fleet.Tally {
	return []*fleet.Tally{&g.result.Tally, &g.result.Classes[arrival.Class], &g.result.Tenants[arrival.Tenant]}
}

// window is the one in which a time since the start lies, or the nearest one.
func (g *generator) window(sinceStart time.Duration) *fleet.Window {
	windows := g.result.Windows
	return &windows[max(0, min(int(sinceStart/time.Second), len(windows)-1))]
}

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

// record counts a submission as the model does.
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
		r.addUnexpected("%s: answered %v after its deadline", s.call.ID, lateness)
	}
}

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

// recordMicroseconds ignores a time above maxLatency, which no request can take.
func recordMicroseconds(histogram *hdrhistogram.Histogram, d time.Duration) {
	_ = histogram.RecordValue(d.Microseconds())
}
