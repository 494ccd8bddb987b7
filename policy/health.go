package policy

import "time"

const (
	firstPause = 250 * time.Millisecond // before a server judged unwell is tried again, or the
	lastPause  = 4 * time.Second        // list asked for; doubled after each failure up to this
	// lastAsk is the same for the list: a change counts as told 6 s after it could be
	// had, whatever calls failed before. One is given up after 3 s, the next may wait 2 s.
	lastAsk = 3 * time.Second / 2
)

// backoff is the pause after n failures, spread so that balancers do not act as one.
func (b *Balancer) backoff(n int, most time.Duration) time.Duration {
	d := min(firstPause<<min(n, 16), most)
	return time.Duration(float64(d) * (0.5 + b.rng.Float64()))
}

// judge learns from the end of an attempt.
func (b *Balancer) judge(now time.Duration, r *request, a *attempt, end AttemptResult) {
	s, took := a.to, now-a.sent
	if end == Served || end == TimedOut {
		x := float64(took) / float64(r.class.LatencyObjective)
		s.used += (x*x - s.used) / 8
	}
	switch end {
	case Served:
		r.class.pace += (took - r.class.pace) / 16
		b.pace += (took - b.pace) / 32
		b.answered(now, s)
	case TimedOut:
		if s.heard <= a.sent {
			b.strike(now, s) // nothing at all came from it meanwhile
		}
	case ServerError, ConnectionReset: // one may be chance; a server that fails all it gets is not
		if end == ConnectionReset && a.sent < s.brokeAt {
			break // its connections broke all at once
		}
		if s.brokeAt = now; s.doubted {
			b.strike(now, s)
		}
		s.doubted = true
	case Rejected, ConnectionFailed:
		b.strike(now, s)
	}
}

// answered takes a good answer: whatever was held against a server is over.
func (b *Balancer) answered(now time.Duration, s *server) {
	s.heard, s.strikes, s.doubted = now, 0, false
	b.mark(now, s, false)
}

// strike takes evidence against a server: it loses its turn but for a trial after a pause.
func (b *Balancer) strike(now time.Duration, s *server) {
	s.trialAt = now + b.backoff(s.strikes, lastPause)
	s.strikes++
	b.mark(now, s, true)
}
