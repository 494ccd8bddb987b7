// The interface (types, events, actions) is api.go; every decision is here, in
// this order: start, events, compartments, server choice, server list, endings.
// The guard that all sends pass is guard.go, probes are probe.go, and what is held
// for or against a server is health.go.

package policy

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	busyTick = 10 * time.Millisecond  // how often open requests are looked at
	idleTick = 100 * time.Millisecond // and the rest when none is open

	slotAim     = 0.12 // slots hold a quota's traffic for this share of the aim (deriveSlots)
	spread      = 2.0  // and this many standard deviations of such a count more
	heavyShare  = 2.0  // one balancer may carry this multiple of an even part of the traffic
	serverSlots = 3.0  // slots for each server first listed, where no quota is known
	placesShare = 0.15 // queue places for each slot: short, just enough to keep slots fed

	thinRate   = 1.0             // own requests a second for each server; below, traffic is thin
	knocks     = 2               // servers asked at once: the second choice brings most of the gain
	crowdedAt  = 0.3             // a server that takes this share of the aim to answer a knock is crowded
	knockPrior = 10.0            // requests taken to have gone well, in weighing what a knock may cost
	shedMemory = 2 * time.Second // about a deadline: a jam's way in and out
	shedSharp  = 12.0            // how nearly all must go well for more to pass: 1.3 times at nine tenths
	shedSlack  = 0.5             // passed in any case: fewer tell nothing
	probeEvery = 2               // requests for each load report asked for, where traffic is not thin
	coldPart   = 0.5             // of a cold server's budget this much is used, the rest is left to chance
)

// New makes a Balancer, or returns an error that names the unusable field.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := check(cfg); err != nil {
		return nil, err
	}
	if len(cfg.Tenants) == 0 {
		cfg.Tenants = []Tenant{{Share: 1}}
	}
	b := &Balancer{cfg: cfg, host: host}
	b.requests, b.known = make(map[RequestID]*request), make(map[EndpointID]*server)
	b.parts = make([]compartment, len(cfg.Tenants))
	b.rng = rand.New(rand.NewPCG(seed, 0))
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, class{Class: c, pace: c.LatencyObjective / 8})
		b.aim += c.LatencyObjective.Seconds() / float64(len(cfg.Classes))
	}
	b.pace = time.Duration(b.aim / 8 * float64(time.Second))
	b.deriveSlots()
	return b, nil
}

// deriveSlots sizes the walls, once. By Little's law a rate holds rate x time
// slots: the quotas, times a small share of the mean aim, so that most of it is
// left for what goes wrong. Traffic is uneven: each balancer gets twice its even
// part, and two standard deviations (Poisson), so as not to refuse on chance.
func (b *Balancer) deriveSlots() {
	shares := 0.0
	for _, t := range b.cfg.Tenants {
		shares += t.Share
		b.quota += t.Quota
	}
	b.mean = cmp.Or(b.quota*b.aim*slotAim, serverSlots*float64(len(b.servers)))
	total, room := b.mean*min(1, heavyShare/float64(b.cfg.FleetSize)), spread
	if b.cfg.Slots > 0 {
		total, room = float64(b.cfg.Slots), 0
	}
	b.slots = 0
	for i, t := range b.cfg.Tenants {
		c, mean := &b.parts[i], total*t.Share/shares
		c.slots = max(1, int(math.Ceil(mean+room*math.Sqrt(mean))))
		c.places = int(math.Ceil(float64(c.slots) * placesShare))
		b.slots += c.slots
	}
}

// Start begins the Balancer's life; it must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.WatchOnRequest {
		b.ask(now)
	}
	b.wake(now, idleTick)
}

// RequestReceived takes a request on. It is answered exactly once, by an Outcome that
// settles it or through the Host, before its time left is up. An id that is
// still held is passed over; an unknown class or tenant, or no time left, is
// refused at once.
func (b *Balancer) RequestReceived(now time.Duration, q Request) {
	if _, held := b.requests[q.ID]; held {
		return
	}
	unknown := q.Class < 0 || q.Class >= len(b.classes) || q.Tenant < 0 || q.Tenant >= len(b.parts)
	if unknown || q.Timeout <= 0 || b.quit {
		b.count.Rejected++
		b.reason = InvalidRequest
		if b.quit {
			b.reason = ShuttingDown
		}
		b.host.Reject(q.ID, 0)
		return
	}
	r := &request{id: q.ID, class: &b.classes[q.Class], home: &b.parts[q.Tenant]}
	r.deadline = now + min(q.Timeout, time.Hour)
	begun := now // of the client's first try; a later one comes with less time left than others lately
	r.class.longest = max(q.Timeout, r.class.longest-(r.class.longest-q.Timeout)/64)
	if (q.ClientRetry || !b.cfg.ClientsMarkRetries) && q.Timeout < r.class.longest-2*busyTick {
		begun = min(now, r.deadline-r.class.Deadline)
	}
	stretch := time.Duration(r.class.ObjectiveStretch * float64(q.ExpectedWork))
	r.aimAt = min(r.deadline, begun+r.class.LatencyObjective+stretch)
	if r.useful = r.aimAt; r.class.LateValueShare > 0 || (r.class.ObjectiveStretch > 0 && q.ExpectedWork == 0) {
		r.useful = r.deadline
	}
	b.requests[r.id] = r
	b.open = append(b.open, r)
	b.wake(now, busyTick)
	b.probe()
	late := now > r.lateIn() // or as good as: it takes nothing from others
	if late {
		r.useful, r.aimAt = r.deadline, r.deadline
	}
	if b.thin && (late || b.shed(now, r)) {
		b.count.LoadShed++
		b.finish(r, either(late, TooLate, LoadShedding))
		return
	}
	switch {
	case b.dispatch(now, r):
	case late || len(r.home.queue) >= r.home.places:
		b.finish(r, either(late, TooLate, QueueFull)) // refuse promptly
	default:
		r.home.queue = append(r.home.queue, r)
	}
}

// AttemptEnded takes the end of an attempt. What is unknown or came before is passed over.
func (b *Balancer) AttemptEnded(now time.Duration, o AttemptOutcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].state != inFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.state = mayHaveRun
	if o.Result == Rejected || o.Result == ConnectionFailed || o.Result == NotSent {
		a.state = neverRan
	}
	a.to.out--
	r.out--
	r.home.used--
	b.judge(now, r, a, o.Result)
	if o.Result == Served && !r.over && now <= r.aimAt {
		b.good++
	}
	switch {
	case r.over && r.out == 0:
		delete(b.requests, r.id)
	case !r.over && (o.Completed || o.Result == Served || r.begun):
		b.settle(r)
	case !r.over && r.out == 0:
		b.further(now, r)
	}
	b.feed(now)
}

// ClientDisconnected takes that a client quit: nothing more is owed for the request.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.over {
		b.settle(r)
		b.feed(now)
	}
}

// ResponseStarted takes that a request's answer has begun to stream: the client owns it now.
func (b *Balancer) ResponseStarted(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.begun = true
	}
}

// TimerFired takes that a time asked for with Host.TimerFired has come.
func (b *Balancer) TimerFired(now time.Duration) {
	if now < b.wakeAt {
		return // an older timer
	}
	if b.cfg.WatchOnRequest && b.askAt > 0 && now >= b.askAt {
		b.ask(now)
	}
	b.feed(now)
	soon := now + 2*max(busyTick, b.cfg.EventResolution)
	for _, r := range b.open {
		if r.knocking && now >= r.goAt {
			b.enterBest(now, r)
		}
		waited := r.out == 0 && (soon > r.deadline || now >= r.lateIn() || !r.mayRepeat(now, nil))
		if !r.over && !r.begun && (waited || now >= r.deadline) {
			b.finish(r, QueueTimeout)
		}
	}
	b.open = slices.DeleteFunc(b.open, func(r *request) bool { return r.over })
	b.wakeAt = 0
	if len(b.open) > 0 {
		b.wake(now, busyTick)
	}
	b.wake(now, idleTick)
}

// Shutdown ends the service: all that is held gets its answer now, refused where that
// is true, and whatever still comes is refused.
func (b *Balancer) Shutdown() {
	b.quit = true
	for _, r := range b.open {
		if !r.over && !r.begun {
			b.finish(r, ShuttingDown)
		}
	}
}

// shed says whether to refuse a request at once: a wall of less than a slot. Where
// servers are jammed, clients' further tries and work nobody waits for keep them so,
// and even one slot a balancer is too many. Each lets through a multiple of what was
// answered within its aim lately, so that the fleet can rest, and all comes back.
func (b *Balancer) shed(now time.Duration, r *request) bool {
	fade := math.Exp(-float64(now-b.fadedAt) / float64(shedMemory))
	b.fadedAt = now
	b.good, b.tried, b.asked, b.cheap = b.good*fade, b.tried*fade, b.asked*fade, b.cheap*fade
	room := b.good * (1 + math.Pow(b.good/max(b.tried, b.good, 1), shedSharp))
	pass := (shedSlack + room) / (b.asked + shedSlack)
	r.cheap = 1 / max(r.class.PriorityWeight, 1e-9)
	r.shed = pass < 1 && // the exponent is set against its mean, so that no more is shed than meant
		b.rng.Float64() > math.Pow(pass, r.cheap*(b.asked+1)/(b.cheap+r.cheap))
	return r.shed
}

// lateIn is when a wait stops being worth it: servers would work for answers that come late.
func (r *request) lateIn() time.Duration {
	return r.aimAt - min(2*r.class.pace, r.class.LatencyObjective/2)
}

// dispatch sends a request if a slot of its compartment and a server are free.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.home.used >= r.home.slots {
		return false
	}
	s := b.pick(now, r)
	// Probes have a price: as long as less goes wrong than they cost, the turn alone decides.
	if s != nil && b.thin && 1+b.asked-b.good > knocks*b.cfg.ProbeCost*(b.asked+knockPrior) {
		return b.knock(now, r, s)
	}
	return s != nil && b.send(now, r, s)
}

// further gives a request whose attempts have all failed another one, or ends it.
func (b *Balancer) further(now time.Duration, r *request) {
	switch tries := max(len(r.attempts), len(r.knocked)/knocks); {
	case r.unheard > 0 || tries >= b.cfg.MaxAttempts || !r.mayRepeat(now, nil) || now >= r.lateIn():
		b.finish(r, b.whyNoFurther(now, r))
	case !b.dispatch(now, r):
		r.home.queue = slices.Insert(r.home.queue, 0, r) // it has waited already: to the front
	}
}

// whyNoFurther says why a request gets no further attempt.
func (b *Balancer) whyNoFurther(now time.Duration, r *request) Reason {
	switch {
	case !r.mayRepeat(now, nil):
		return RetryNotAllowed
	case now >= r.lateIn():
		return TooLate
	}
	return AttemptsExhausted
}

// either returns the one or the other reason.
func either(is bool, one, other Reason) Reason {
	if is {
		return one
	}
	return other
}

// feed gives free slots to what waits, one compartment after the other.
func (b *Balancer) feed(now time.Duration) {
	b.feedFrom = (b.feedFrom + 1) % len(b.parts)
	for i := range b.parts {
		c := &b.parts[(b.feedFrom+i)%len(b.parts)]
		for n := 0; n < len(c.queue) && c.used < c.slots; {
			switch r := c.queue[n]; {
			case now >= r.lateIn():
				b.finish(r, QueueTimeout) // which takes it out of the queue
			case b.dispatch(now, r):
				c.queue = slices.Delete(c.queue, n, n+1)
			default:
				n++ // it may be bound to where it has been: it must not hold up the others
			}
		}
	}
}

// pick is smooth weighted round robin over the ready servers, first those of the own zone where crossing
// has a price, and of these a drawn half where traffic is thin (connections cost). A server loses its
// turn while it holds its portion of our attempts (an inner wall), while it is judged unwell, but for a
// trial now and then, or if the request has been there already.
func (b *Balancer) pick(now time.Duration, r *request) *server {
	var best *server
	total, lost := 0.0, math.Inf(-1)
	for near := b.cfg.CrossZoneCost > 0; ; near = false {
		for _, s := range b.servers {
			switch {
			case (near && (s.Zone != b.cfg.Zone || b.thin && s.spare)) || r.tried(s) || !b.mayGo(now, r, s):
				continue
			case b.well > 0 && s.unwell && (now < s.trialAt || s.out > 0), float64(s.out) >= b.portion(s),
				now-s.toldAt < time.Second && s.others+float64(s.out) >= 2+b.part(b.mean, s): // reported full
				lost = max(lost, s.turn+s.Weight)
				continue
			}
			w := s.Weight * b.warmth(now, s)
			s.turn += w
			total += w
			if best == nil || s.turn > best.turn {
				best = s
			}
		}
		if best != nil || !near {
			break
		}
	}
	switch {
	case best == nil:
		return nil
	case best.unwell:
		b.count.TrialRequests++
		best.trialAt = now + b.backoff(best.strikes, lastPause)
	case best.turn >= lost:
		b.count.RoundRobinPicks++
	default:
		b.count.SkippedPicks++
	}
	best.turn -= total
	return best
}

// portion is how many of our attempts a server may hold: its part of all our slots, less the more
// of the aim its answers take. It does not grow when others leave or fail: the last would be overrun.
func (b *Balancer) portion(s *server) float64 {
	return max(1, b.part(float64(b.slots), s)*min(1, crowdedAt*crowdedAt/max(s.used, 1e-4)))
}

// EndpointsUpdated takes news of the server list.
func (b *Balancer) EndpointsUpdated(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind == FailedUpdate {
		b.askAt = now + b.backoff(b.askFails, lastAsk)
		b.askFails++
		return
	}
	if kind != CachedUpdate && b.cfg.WatchOnRequest {
		b.askAt, b.askFails = 0, 0
	}
	b.fade(now)
	if kind != DeltaUpdate {
		for _, s := range b.servers {
			s.Health = Removed // until the list names it
		}
	}
	for _, e := range entries {
		b.enter(now, e)
	}
	gone := func(s *server) bool { return s.Health == Removed }
	named := slices.ContainsFunc(entries, func(e Endpoint) bool { return e.Health == Removed })
	if kind != DeltaUpdate || named {
		b.servers = slices.DeleteFunc(b.servers, gone)
		maps.DeleteFunc(b.known, func(_ EndpointID, s *server) bool { return gone(s) })
	}
	if kind != DeltaUpdate { // all anew, and so without what rounding added up to
		b.weight, b.well, b.ready, b.fit = 0, 0, 0, 0
		for _, s := range b.servers {
			b.weigh(s, 1)
		}
	}
	for _, s := range b.fresh { // whose part is known only with the whole list
		// All balancers are told at once: their first sends together would push it over.
		s.coldAt = now + time.Duration(b.rng.Float64()*float64(b.coldGap(now, s)))
	}
	b.fresh = b.fresh[:0]
	if b.mean == 0 {
		b.deriveSlots() // no quotas: the first list is all there is to go by
	}
	b.full = max(b.full, b.weight)
	b.thin = b.cfg.ProbesAllowed && b.quota/float64(b.cfg.FleetSize*max(1, len(b.servers))) < thinRate
	b.feed(now)
}

// enter takes over one line of the list.
func (b *Balancer) enter(now time.Duration, e Endpoint) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // no weights, even turns
	}
	s := b.known[e.ID]
	if s == nil {
		s = &server{turn: b.rng.Float64() * e.Weight, spare: b.rng.IntN(2) == 0} // balancers must not begin in step
		b.servers = append(b.servers, s)
		b.known[e.ID] = s
	}
	fresh := e.StartedAt > s.StartedAt
	was := *s
	s.Endpoint = e
	if fresh { // cold, and nothing known of it holds any more
		s.warmAt = max(s.warmAt, e.StartedAt+b.cfg.SlowStartDuration)
		s.unwell, s.strikes, s.doubted, s.heard = false, 0, false, now
		b.fresh = append(b.fresh, s)
	}
	b.weigh(&was, -1)
	b.weigh(s, 1)
}

// ask subscribes to the list. Without any word it asks again before its silence counts as being told.
func (b *Balancer) ask(now time.Duration) {
	b.askAt = now + cmp.Or(b.cfg.WatchRequestWithin*3/4, lastPause)
	b.host.RequestWatch()
}

// finish is the one place that answers: refused where that is true, failed where it is not.
func (b *Balancer) finish(r *request, why Reason) {
	b.reason = why
	harmless := r.class.Idempotency == Idempotent ||
		(r.class.Idempotency == IdempotentByKey && r.class.DedupScope == ScopeAll)
	if r.ran() == nil || harmless {
		b.count.Rejected++
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.pace)) // spread: not all at once
		b.host.Reject(r.id, min(b.cfg.MaxRetryAfter, pause))
	} else {
		b.count.Failed++
		b.host.Fail(r.id)
	}
	b.settle(r)
}

// settle closes a request that has its answer: out of the queue, attempts called off.
func (b *Balancer) settle(r *request) {
	r.over = true
	if r.shed || len(r.attempts)+len(r.knocked) > 0 { // what our own full walls refuse tells nothing
		b.asked, b.cheap = b.asked+1, b.cheap+r.cheap
		if !r.shed {
			b.tried++
		}
	}
	if r.knocking {
		r.knocking = false
		r.home.used--
	}
	if i := slices.Index(r.home.queue, r); i >= 0 {
		r.home.queue = slices.Delete(r.home.queue, i, i+1)
	}
	for i := range r.attempts {
		if r.attempts[i].state == inFlight && b.cfg.CancelAllowed {
			b.host.Cancel(r.id, i)
		}
	}
	if r.out == 0 {
		delete(b.requests, r.id)
	}
}
