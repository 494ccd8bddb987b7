package sidecar

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"net/netip"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/settings"
	"mothridge/policy"
)

// request is a client's request while it is held. The fields that go to an
// upstream are fixed before the loop sees it; the rest belongs to the loop.
type request struct {
	name   string // the client's Request-Id
	class  int
	tenant int
	repeat bool
	work   time.Duration // a guess at it; 0 where there is none
	until  time.Time     // when the client gives up
	method string
	url    *url.URL
	host   string
	header http.Header
	body   []byte
	answer chan answer // takes the one answer; never blocks

	id       policy.RequestID
	over     bool // answered, or the client has gone
	attempts []*attempt
	out      int  // attempts that have not ended
	timedOut bool // the last attempt did
}

// The events that I/O goroutines send to the loop.
type (
	arrived struct{ req *request }
	left    struct{ req *request } // the client has gone
	ended   struct {
		attempt *attempt
		ending  policy.Ending
		answer  *answer // with Served
	}
	probed struct {
		probe *probe
		ok    bool
		load  policy.Load
	}
	listed     struct{ news listing }
	listFailed struct{}
)

// probe is one probe that was asked for; its result waits for those before it.
type probe struct {
	host *host
	done bool
	ok   bool
	load policy.Load
}

// host is an upstream of the list.
type host struct {
	id      policy.ServerID
	entry   entry
	peer    *peer
	started time.Duration
	probes  []*probe // in the order the module asked for them
}

// names are the Request-Ids that are held. The loop alone changes them; the
// client side looks, so that it reads no body of a request that cannot be taken.
type names struct {
	mu   sync.Mutex
	held map[string]bool
}

// claim says whether a name was free, and holds it.
func (n *names) claim(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.held[name] {
		return false
	}
	n.held[name] = true
	return true
}

func (n *names) free(name string) {
	n.mu.Lock()
	delete(n.held, name)
	n.mu.Unlock()
}

func (n *names) has(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[name]
}

// loop owns the Balancer: every event comes to it by a channel, and it carries
// out what the Balancer decides without ever waiting for I/O.
type loop struct {
	config *Config
	b      *policy.Balancer
	up     *upstreams
	events chan any
	local  []any // events that the loop makes itself
	ready  atomic.Bool
	asks   chan struct{} // the module wants to subscribe to the list

	begin time.Time
	now   time.Duration // the module's clock at the event under way
	timer *time.Timer
	dueAt time.Duration // when Wake is due; 0: not armed

	lastID   policy.RequestID
	requests map[policy.RequestID]*request
	names    names
	lastHost policy.ServerID
	hosts    map[string]*host
	byID     map[policy.ServerID]*host
	sites    map[string]int
	nextSite int
}

const (
	eventBacklog = 1024
	logEvery     = time.Minute
)

func newLoop(c *Config, up *upstreams) (*loop, error) {
	l := &loop{
		config: c, up: up, begin: time.Now(),
		events: make(chan any, eventBacklog), asks: make(chan struct{}, 1), timer: time.NewTimer(time.Hour),
		requests: make(map[policy.RequestID]*request), names: names{held: make(map[string]bool)},
		hosts: make(map[string]*host), byID: make(map[policy.ServerID]*host), sites: make(map[string]int),
	}
	for i, z := range c.Zones {
		l.sites[z] = i
	}
	l.nextSite = len(c.Zones)
	b, err := policy.New(c.Policy, c.Seed, l)
	if err != nil {
		return nil, err
	}
	l.b = b
	l.now = l.clock()
	b.Start(l.now)
	if c.Known != nil {
		l.list(policy.ListCached, *c.Known)
	}
	return l, nil
}

// clock is the module's time: it runs monotonically and began at Unix time, so
// that an upstream's earlier start is a positive time on it. Counted from 0, an
// upstream that started before this process would pass for one of long ago, and
// the rule on cold upstreams would be lost.
func (l *loop) clock() time.Duration {
	return time.Duration(l.begin.UnixNano()) + time.Since(l.begin)
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	logTick := time.NewTicker(logEvery)
	defer logTick.Stop()
	for {
		select {
		case <-ctx.Done():
			slog.Info("counters", "counters", l.b.Counters())
			return
		case e := <-l.events:
			l.now = l.clock()
			l.handle(e)
		case <-l.timer.C:
			l.now = l.clock()
			l.wake()
		case <-logTick.C:
			slog.Info("counters", "counters", l.b.Counters())
		}
		for len(l.local) > 0 {
			e := l.local[0]
			l.local = l.local[1:]
			l.handle(e)
		}
	}
}

func (l *loop) wake() {
	if l.dueAt == 0 {
		return
	}
	if l.now < l.dueAt { // the module would pass it over and never be woken again
		l.timer.Reset(l.dueAt - l.now)
		return
	}
	l.dueAt = 0
	l.b.Wake(l.now)
}

func (l *loop) handle(e any) {
	switch e := e.(type) {
	case arrived:
		l.arrive(e.req)
	case left:
		if r := e.req; r.id != 0 && !r.over {
			l.close(r)
			l.b.ClientGone(l.now, r.id)
		}
	case ended:
		l.end(e)
	case probed:
		p := e.probe
		p.done, p.ok, p.load = true, e.ok, e.load
		l.probesDone(p.host)
	case listed:
		kind := policy.ListDelta
		if e.news.Whole {
			kind = policy.ListFull
		}
		l.list(kind, e.news)
	case listFailed:
		l.b.List(l.now, policy.ListFailed, nil)
	}
}

func (l *loop) arrive(r *request) {
	// One id, one request: a second one under the same id might run its effect twice.
	if !l.names.claim(r.name) {
		r.over = true
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	l.lastID++
	r.id = l.lastID
	l.requests[r.id] = r
	l.b.Request(l.now, policy.Request{
		ID: r.id, Class: r.class, Tenant: r.tenant, Repeat: r.repeat, Work: r.work, Left: time.Until(r.until),
	})
}

// close ends a request towards its client.
func (l *loop) close(r *request) {
	r.over = true
	l.names.free(r.name)
	if r.out == 0 {
		delete(l.requests, r.id)
	}
}

// finish gives a request its one answer.
func (l *loop) finish(id policy.RequestID, a answer) {
	if r := l.requests[id]; r != nil && !r.over {
		l.close(r)
		r.answer <- a
	}
}

func (l *loop) end(e ended) {
	a, r := e.attempt, e.attempt.req
	r.out--
	r.timedOut = e.ending == policy.TimedOut
	if e.ending == policy.Served {
		l.finish(r.id, *e.answer)
	}
	// Whatever the ending: an answer too late for its client would stay here for ever.
	if r.over && r.out == 0 {
		delete(l.requests, r.id)
	}
	l.b.Outcome(l.now, policy.Outcome{ID: r.id, Attempt: a.number, Ending: e.ending, Settled: r.over})
}

// probesDone hands a host's probe results over in the order they were asked
// for, as the module matches them: a later one may be back first.
func (l *loop) probesDone(h *host) {
	for len(h.probes) > 0 && h.probes[0].done {
		p := h.probes[0]
		h.probes = h.probes[1:]
		l.b.Probed(l.now, h.id, p.ok, p.load)
	}
}

// list takes news of the list over and passes them to the module.
func (l *loop) list(kind policy.ListKind, news listing) {
	servers := make([]policy.Server, 0, len(news.Hosts))
	named := make(map[string]bool, len(news.Hosts))
	for _, e := range news.Hosts {
		if named[e.Host] && kind != policy.ListDelta {
			slog.Warn("discovery: host listed twice", "host", e.Host)
		}
		if s, ok := l.enter(e); ok {
			named[e.Host] = true
			servers = append(servers, s)
		} else if e.Health != "removed" {
			slog.Warn("discovery: entry passed over", "host", e.Host, "dial", e.Dial, "health", e.Health)
		}
	}
	l.b.List(l.now, kind, servers)
	for name, h := range l.hosts {
		if h.entry.Health == "removed" || (kind != policy.ListDelta && !named[name]) {
			delete(l.hosts, name)
			delete(l.byID, h.id)
			l.up.pool.retire(h.peer)
		}
	}
	l.forgetSites()
	if len(l.hosts) > 0 || kind != policy.ListCached {
		l.ready.Store(true)
	}
}

// forgetSites lets go of the sites that the settings do not name and no host is at any more.
func (l *loop) forgetSites() {
	if len(l.sites) <= len(l.config.Zones)+len(l.hosts) {
		return
	}
	used := make(map[string]bool, len(l.hosts))
	for _, h := range l.hosts {
		used[h.entry.Site] = true
	}
	maps.DeleteFunc(l.sites, func(name string, number int) bool {
		return number >= len(l.config.Zones) && !used[name]
	})
}

// enter takes one entry of the list over. A word for its health that is not
// known means nothing new, as draining does.
func (l *loop) enter(e entry) (policy.Server, bool) {
	if e.Host == "" {
		return policy.Server{}, false
	}
	h := l.hosts[e.Host]
	if _, err := netip.ParseAddrPort(e.Dial); err != nil {
		if h == nil || e.Health == "up" {
			return policy.Server{}, false
		}
		e.Dial = h.entry.Dial // it is to get nothing new: its address does not matter
	}
	if h == nil {
		l.lastHost++
		h = &host{id: l.lastHost, peer: &peer{addr: e.Dial}}
		l.hosts[e.Host], l.byID[h.id] = h, h
	} else if h.entry.Dial != e.Dial || h.entry.BornMS != e.BornMS { // what was open to it leads nowhere now
		l.up.pool.retire(h.peer)
		h.peer = &peer{addr: e.Dial}
	}
	// A start ahead of this machine's clock would keep an upstream cold for too
	// long; it is taken for now, and stays so while the entry names the same start.
	if h.entry.BornMS != e.BornMS || h.started == 0 {
		h.started = min(max(settings.Millis(e.BornMS), 0), l.now)
	}
	h.entry = e
	site, ok := l.sites[e.Site]
	if !ok {
		site = l.nextSite
		l.nextSite++
		l.sites[e.Site] = site
	}
	s := policy.Server{ID: h.id, Zone: site, Weight: e.Share, Started: h.started, State: policy.Draining}
	if s.Cell = -int(h.id); e.Block != nil { // without a cell it shares its keys with no other
		s.Cell = *e.Block
	}
	switch e.Health {
	case "up":
		s.State = policy.Ready
	case "removed":
		s.State = policy.Gone
	}
	return s, true
}

// Send starts an attempt.
func (l *loop) Send(id policy.RequestID, to policy.ServerID, timeout time.Duration) {
	r, h := l.requests[id], l.byID[to]
	if r == nil {
		return
	}
	a := &attempt{req: r, number: len(r.attempts)}
	r.attempts = append(r.attempts, a)
	r.out++
	until := r.until
	if timeout != 0 {
		if cut := time.Now().Add(timeout); cut.Before(until) {
			until = cut
		}
	}
	a.ctx, a.cancel = context.WithDeadline(context.Background(), until)
	if h == nil || r.over {
		a.cancel()
		l.local = append(l.local, ended{attempt: a, ending: policy.NotSent})
		return
	}
	a.to = h.peer
	go func() {
		ending, ans := l.up.try(a)
		l.events <- ended{a, ending, ans}
	}()
}

// Refuse answers 503: trying again is harmless.
func (l *loop) Refuse(id policy.RequestID, pause time.Duration) {
	l.finish(id, answer{status: http.StatusServiceUnavailable, pause: pause})
}

// Fail answers without a promise: never with 429 or 503, which are refusals.
func (l *loop) Fail(id policy.RequestID) {
	status := http.StatusBadGateway
	if r := l.requests[id]; r != nil && (r.timedOut || r.out > 0) { // time ran out, whoever noticed first
		status = http.StatusGatewayTimeout
	}
	l.finish(id, answer{status: status})
}

// Cancel gives an attempt up, which closes its connection.
func (l *loop) Cancel(id policy.RequestID, number int) {
	if r := l.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].cancel()
	}
}

// Wake arms the one timer. The module asks again only for an earlier time.
func (l *loop) Wake(d time.Duration) {
	l.dueAt = l.now + d
	l.timer.Reset(d)
}

// Probe asks an upstream for its load.
func (l *loop) Probe(to policy.ServerID) {
	h := l.byID[to]
	if h == nil {
		return
	}
	p := &probe{host: h}
	h.probes = append(h.probes, p)
	peer := h.peer
	go func() {
		ok, load := l.up.probe(context.Background(), peer)
		l.events <- probed{p, ok, load}
	}()
}

// WatchList subscribes to the list, where that is the module's to ask.
func (l *loop) WatchList() {
	select {
	case l.asks <- struct{}{}:
	default: // one is waiting already
	}
}
