package policy

import "time"

// knock asks the server whose turn it is, and the next, for a sign of life, and
// holds the request in its slot meanwhile: where own traffic is thin nothing
// else tells a jammed or silent server from a good one in time.
func (b *Balancer) knock(now time.Duration, r *request, s *server) bool {
	r.home.used++
	r.knocking, r.best, r.unheard = true, nil, 0
	r.goAt = now + time.Duration(crowdedAt*float64(r.class.LatencyObjective)) // no answer by then: crowded
	for ; s != nil; s = b.pick(now, r) {
		r.knocked = append(r.knocked, s)
		s.door = append(s.door, r)
		b.host.Probe(s.ID)
		if r.unheard++; r.unheard == knocks {
			break
		}
	}
	return true
}

// ProbeCompleted takes the result of a probe: for its load report, and for the request that knocked.
func (b *Balancer) ProbeCompleted(now time.Duration, id EndpointID, ok bool, l LoadReport) {
	s := b.known[id]
	if s != nil && ok && l.InFlight >= 0 {
		s.toldAt, s.others = now, max(0, l.InFlight-float64(s.out))
	}
	if s == nil || len(s.door) == 0 {
		return
	}
	if !ok { // what is held against it only an answer to a request takes back
		b.strike(now, s)
	}
	b.heardAtDoor(now, s, ok, l)
}

// ProbeNotSent takes that a probe was not sent, for a reason of this machine: it is no
// word against the server.
func (b *Balancer) ProbeNotSent(now time.Duration, id EndpointID) {
	if s := b.known[id]; s != nil && len(s.door) > 0 {
		b.heardAtDoor(now, s, false, LoadReport{InFlight: -1})
	}
}

// heardAtDoor gives the request that asked a server first the result of its probe.
func (b *Balancer) heardAtDoor(now time.Duration, s *server, ok bool, l LoadReport) {
	r := s.door[0]
	s.door = s.door[1:]
	if r.knocking {
		load := (1 + max(0, l.InFlight)) / (s.Weight * b.warmth(now, s))
		if r.unheard--; ok && (r.best == nil || load < r.bestLoad) {
			r.best, r.bestLoad, r.goAt = s, load, now
			if l.InFlight >= 0 { // the other may be less loaded: it gets a moment more
				r.goAt = now + 2*b.cfg.EventResolution
				b.wake(now, 2*b.cfg.EventResolution)
			}
		}
		if r.unheard == 0 || now >= r.goAt {
			b.enterBest(now, r)
		}
	}
	b.feed(now)
}

// enterBest sends a request to the best server that answered its knock; where none did it knocks elsewhere.
func (b *Balancer) enterBest(now time.Duration, r *request) {
	r.knocking = false
	r.home.used--
	if r.best == nil || now >= r.lateIn() || !b.send(now, r, r.best) {
		b.further(now, r)
		return
	}
	r.unheard = 0
	b.count.ProbedSends++
}

// probe asks the next server for a load report, as often as requests pay for it.
func (b *Balancer) probe() {
	b.probes++
	if n := len(b.servers); b.cfg.ProbeLoadReports && !b.thin && b.probes%probeEvery == 0 && n > 0 {
		if s := b.servers[b.probes/probeEvery%n]; s.Health == Ready {
			b.host.Probe(s.ID)
		}
	}
}
