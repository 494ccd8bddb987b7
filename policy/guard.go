package policy

import "time"

// mayRepeat says whether the class allows an attempt now, on a server or (nil)
// on some server: what may have run must be dropped there if it comes again.
func (r *request) mayRepeat(now time.Duration, s *server) bool {
	first := r.ran()
	switch {
	case first == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == NotIdempotent || now >= first.sent+r.class.DedupWindow:
		return false
	case s == nil || r.class.DedupScope == ScopeAll:
		return true
	}
	return s.Zone == first.to.Zone && (r.class.DedupScope == ScopeZone || s.Cell == first.to.Cell)
}

// mayGo is the gate: whether the rules let a request go to a server now.
func (b *Balancer) mayGo(now time.Duration, r *request, s *server) bool {
	switch {
	case r.over || r.begun || now >= r.deadline || len(r.attempts) >= b.cfg.MaxAttempts:
		return false // rule 1, and the limit on attempts
	case s.Health != Ready:
		return false // rule 3: at once, long before the grace is over
	case now < s.warmAt && now < s.coldAt:
		return false // rule 4
	case r.out > 0 || !r.mayRepeat(now, s):
		return false // rule 2: one attempt at a time, and only where it may be repeated
	}
	return true
}

// send is the one place that sends.
func (b *Balancer) send(now time.Duration, r *request, s *server) bool {
	if !b.mayGo(now, r, s) {
		return false
	}
	if now < s.warmAt {
		s.coldAt = now + b.coldGap(now, s)
	}
	within := time.Duration(0) // a connection may come up late
	if first := r.ran(); first != nil && r.class.Idempotency == IdempotentByKey {
		within = first.sent + r.class.DedupWindow - now
	}
	r.attempts = append(r.attempts, attempt{to: s, sent: now})
	r.out++
	s.out++
	r.home.used++
	if len(r.attempts) > 1 {
		b.count.Retries++
	}
	b.host.Send(r.id, s.ID, r.useful-now, within)
	return true
}

// coldGap spaces sends to a cold server so that all balancers together stay
// well within its budget: each keeps an even part, whatever traffic it has.
func (b *Balancer) coldGap(now time.Duration, s *server) time.Duration {
	// The quotas are close to what all servers can do; without them one answer at a time is the guide.
	rate := b.quota * s.Weight / max(b.weight, s.Weight)
	if b.quota == 0 {
		rate = s.Weight * float64(max(1, b.ready)) / max(b.weight, s.Weight) / b.pace.Seconds()
	}
	rate *= coldPart * max(b.cfg.SlowStartOverloadFactor, 1) * b.warmth(now, s) / float64(b.cfg.FleetSize)
	return time.Duration(min(float64(time.Second)/rate, float64(time.Hour)))
}

// warmth is the share of its capacity that a server has at least.
func (b *Balancer) warmth(now time.Duration, s *server) float64 {
	left := float64(max(0, s.warmAt-now)) / float64(max(1, b.cfg.SlowStartDuration))
	return max(0.05, 1-left*(1-b.cfg.SlowStartInitialShare))
}
