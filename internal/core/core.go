// Package core runs the event loop that owns the decision module (policy.Balancer).
//
// Listeners turn what they read into a Request and submit it; transports turn a Message into an
// attempt at an Upstream; discovery sources pass an EndpointUpdate. Each of them is an event of
// the loop, which passes it to the Balancer and performs the actions that the Balancer decides on.
// The package knows no protocol.
package core

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/counters"
	"mothridge/policy"
)

// The events that I/O goroutines send to the loop.
type (
	arrived struct{ req *Request }
	left    struct{ req *Request } // the client has gone
	ended   struct {
		attempt *attempt
		ending  policy.AttemptResult
		answer  *Response // with Served
	}
	probed struct {
		probe *probe
		load  policy.LoadReport
		err   error
	}
	listed     struct{ news EndpointUpdate }
	listFailed struct{}
	looked     struct{ state chan<- State }
	quit       struct{}
)

// probe is one probe that was asked for; its result waits for those before it.
type probe struct {
	host *host
	done bool
	load policy.LoadReport
	err  error
}

// host is an upstream of the list.
type host struct {
	id      policy.EndpointID
	entry   Endpoint
	node    Upstream
	started time.Duration
	probes  []*probe // in the order the module asked for them
	// closedAt is when it was told to drain or left, since the core's begin; 0: it is up.
	closedAt atomic.Int64
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

// Config is what a Core is made of.
type Config struct {
	Policy      policy.Config
	Seed        uint64
	Zones       []string                // by number
	Cached      *EndpointUpdate         // the list as last held; nil where there is none
	NewUpstream func(Endpoint) Upstream // makes the node of an instance, without I/O

	// DrainGrace is how long after the news of a drain an attempt may begin, for the
	// run-time check alone: the guard lets none begin. 0: DefaultDrainGrace.
	DrainGrace time.Duration

	// OnResponse hears of each final answer on the loop, and must not block; nil:
	// nobody wants to know. The time counts from when the request was taken.
	OnResponse func(class int, v Result, took time.Duration)
}

// Core owns the Balancer: every event comes to it by a channel, and it carries
// out what the Balancer decides without ever waiting for I/O.
type Core struct {
	config Config
	b      *policy.Balancer
	events chan any
	local  []any // events that the loop makes itself
	ready  atomic.Bool
	asks   chan struct{} // the module wants to subscribe to the list
	over   chan struct{} // closed once Run has returned: events wait for nobody then

	invariants invariantCounters
	prevented  preventedCounters
	givenUp    [policy.ReasonCount]atomic.Uint64
	endings    [policy.NotSent + 1]atomic.Uint64

	begin    time.Time
	beginNow time.Duration // the module's clock then
	now      time.Duration // the module's clock at the event under way
	timer    *time.Timer
	dueAt    time.Duration // when Wake is due; 0: not armed

	lastID   policy.RequestID
	requests map[policy.RequestID]*Request
	names    names
	lastHost policy.EndpointID
	hosts    map[string]*host
	byID     map[policy.EndpointID]*host
	sites    map[string]int
	nextSite int
	alive    atomic.Int64          // when the loop handled something last, since begin
	stalled  atomic.Pointer[stall] // the last one
	listed   bool                  // a list was told, beside the one of the start
}

const (
	eventBacklog = 1024
	logEvery     = time.Minute
)

// New makes a Core; Run starts it. The error names the unusable field of the
// decision module's settings.
func New(c Config) (*Core, error) {
	c.DrainGrace = cmp.Or(c.DrainGrace, DefaultDrainGrace)
	l := &Core{
		config: c, begin: time.Now(),
		events: make(chan any, eventBacklog), asks: make(chan struct{}, 1), over: make(chan struct{}), timer: time.NewTimer(time.Hour),
		requests: make(map[policy.RequestID]*Request), names: names{held: make(map[string]bool)},
		hosts: make(map[string]*host), byID: make(map[policy.EndpointID]*host), sites: make(map[string]int),
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
	l.beginNow = time.Duration(l.begin.UnixNano())
	l.now = l.clock()
	b.Start(l.now)
	if c.Cached != nil {
		l.list(policy.CachedUpdate, *c.Cached)
	}
	return l, nil
}

// clock is the module's time: it runs monotonically and began at Unix time, so
// that an upstream's earlier start is a positive time on it. Counted from 0, an
// upstream that started before this process would pass for one of long ago, and
// the rule on cold upstreams would be lost.
func (l *Core) clock() time.Duration {
	return time.Duration(l.begin.UnixNano()) + time.Since(l.begin)
}

// post passes an event to the loop. It waits while the loop is behind, and for
// nothing once that has ended.
func (l *Core) post(e any) {
	select {
	case l.events <- e:
	case <-l.over:
	}
}

// Submit takes a request on: Reply is called exactly once, unless Abandon is
// called before. It waits while the core is behind.
func (l *Core) Submit(r *Request) { l.post(arrived{r}) }

// Abandon says that the client of a request has gone; Reply may still have been called.
func (l *Core) Abandon(r *Request) { l.post(left{r}) }

// Shutdown answers all that is held now, and refuses whatever still comes.
func (l *Core) Shutdown() { l.post(quit{}) }

// Update passes news of the list on.
func (l *Core) Update(n EndpointUpdate) { l.post(listed{n}) }

// UpdateFailed says that a call for the list failed or its watch ended.
func (l *Core) UpdateFailed() { l.post(listFailed{}) }

// WatchRequests brings the module's calls for the list, where that is its to ask.
func (l *Core) WatchRequests() <-chan struct{} { return l.asks }

// Ready says whether a list is held.
func (l *Core) Ready() bool { return l.ready.Load() }

const (
	// stalledAfter is how long the loop may be silent in a process that runs: it wakes
	// ten times a second with nothing to do.
	stalledAfter = 300 * time.Millisecond
	// caughtUpIn is how long after a stall bytes may be read that came during it.
	caughtUpIn = 100 * time.Millisecond
)

// EarliestArrival returns when bytes may have come at the earliest that were read just now.
// Where the process was stopped, or had no processor, they may have waited since.
func (l *Core) EarliestArrival(now time.Time) time.Time {
	alive, stalled := l.begin.Add(time.Duration(l.alive.Load())), l.stalled.Load()
	switch {
	case l.alive.Load() == 0:
		return now
	case now.Sub(alive) >= stalledAfter:
		return alive
	case stalled != nil && now.Sub(stalled.until) < caughtUpIn:
		return stalled.from
	}
	return now
}

// stall is a time in which the loop did not run.
type stall struct{ from, until time.Time }

// HasRequest says whether a request of that name is held.
func (l *Core) HasRequest(name string) bool { return l.names.has(name) }

// State is how things stand.
type State struct {
	Counters  policy.Counters
	Requests  int // that are held
	Endpoints int // listed
	SlotsFree []int
	QueueFree []int // both by tenant
}

// State asks the loop how things stand.
func (l *Core) State(ctx context.Context) (State, error) {
	state := make(chan State, 1)
	select {
	case l.events <- looked{state}:
	case <-l.over:
		return State{}, errEnded
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
	select {
	case s := <-state:
		return s, nil
	case <-l.over:
		return State{}, errEnded
	case <-ctx.Done():
		return State{}, ctx.Err()
	}
}

func (l *Core) state() State {
	s := State{Counters: l.b.Counters(), Requests: len(l.requests), Endpoints: len(l.hosts)}
	for i := range max(1, len(l.config.Policy.Tenants)) {
		s.SlotsFree, s.QueueFree = append(s.SlotsFree, l.b.SlotsFree(i)), append(s.QueueFree, l.b.QueueFree(i))
	}
	return s
}

// log tells what was counted from the start on.
func (l *Core) log() {
	var attrs []any
	counters.Each(l.b.Counters(), func(name string, n uint64) { attrs = append(attrs, slog.Uint64(name, n)) })
	slog.Info("counters", attrs...)
	attrs = nil
	counters.Each(l.Violations(), func(name string, n uint64) { attrs = append(attrs, slog.Uint64(name, n)) })
	slog.Info("checks", attrs...)
}

// noteGivenUp counts and logs why the module gives a request up.
func (l *Core) noteGivenUp(id policy.RequestID, how string) {
	why := l.b.Reason()
	l.givenUp[why].Add(1)
	if r := l.requests[id]; r != nil && slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("request given up", "request", r.ID, "how", how, "reason", why.String(), "attempts", len(r.attempts))
	}
}

// RejectionsByReason returns how many requests were refused or failed, by reason.
func (l *Core) RejectionsByReason() map[string]uint64 {
	counts := make(map[string]uint64)
	for why := range l.givenUp {
		if n := l.givenUp[why].Load(); n > 0 {
			counts[policy.Reason(why).String()] = n
		}
	}
	return counts
}

// noteEnded counts and logs how an attempt has ended.
func (l *Core) noteEnded(a *attempt, ending policy.AttemptResult) {
	if ending >= 0 && int(ending) < len(l.endings) {
		l.endings[ending].Add(1)
	}
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("attempt ended", "request", a.req.ID, "attempt", a.number, "server", a.server, "ending", ending.String())
	}
}

// AttemptsByResult returns how many attempts have ended, by how.
func (l *Core) AttemptsByResult() map[string]uint64 {
	counts := make(map[string]uint64)
	for ending := range l.endings {
		counts[policy.AttemptResult(ending).String()] = l.endings[ending].Load()
	}
	return counts
}

var errEnded = errors.New("the core has ended")

// Run handles events until ctx ends.
func (l *Core) Run(ctx context.Context) {
	defer close(l.over)
	logTick := time.NewTicker(logEvery)
	defer logTick.Stop()
	for {
		select {
		case <-ctx.Done():
			l.log()
			return
		case e := <-l.events:
			l.tick()
			l.handle(e)
		case <-l.timer.C:
			l.tick()
			l.wake()
		case <-logTick.C:
			l.log()
		}
		for len(l.local) > 0 {
			e := l.local[0]
			l.local = l.local[1:]
			l.handle(e)
		}
	}
}

// tick notes the time of the event that is handled next.
func (l *Core) tick() {
	l.now = l.clock()
	now := l.now - l.beginNow
	if was := time.Duration(l.alive.Swap(int64(now))); was > 0 && now-was >= stalledAfter {
		l.stalled.Store(&stall{l.begin.Add(was), l.begin.Add(now)})
		slog.Warn("the process did not run", "for", now-was)
	}
}

func (l *Core) wake() {
	if l.dueAt == 0 {
		return
	}
	if l.now < l.dueAt { // the module would pass it over and never be woken again
		l.timer.Reset(l.dueAt - l.now)
		return
	}
	l.dueAt = 0
	l.b.TimerFired(l.now)
}

func (l *Core) handle(e any) {
	switch e := e.(type) {
	case arrived:
		l.arrive(e.req)
	case left:
		if r := e.req; r.id != 0 && !r.over {
			r.history.complete(time.Now(), true)
			l.close(r)
			l.b.ClientDisconnected(l.now, r.id)
		}
	case ended:
		l.end(e)
	case probed:
		p := e.probe
		p.done, p.load, p.err = true, e.load, e.err
		l.probesDone(p.host)
	case listed:
		kind := policy.DeltaUpdate
		if e.news.Complete {
			kind = policy.FullUpdate
		}
		l.list(kind, e.news)
	case listFailed:
		l.b.EndpointsUpdated(l.now, policy.FailedUpdate, nil)
	case quit:
		l.b.Shutdown()
	case looked:
		e.state <- l.state()
	}
}

func (l *Core) arrive(r *Request) {
	// One id, one request: a second one under the same id might run its effect twice.
	if !l.names.claim(r.ID) {
		r.over = true
		r.Respond(Response{Result: Duplicate})
		return
	}
	l.lastID++
	r.id = l.lastID
	l.requests[r.id] = r
	r.taken = l.now
	l.b.RequestReceived(l.now, policy.Request{
		ID: r.id, Class: r.Class, Tenant: r.Tenant, ClientRetry: r.ClientRetry, ExpectedWork: r.ExpectedWork, Timeout: time.Until(r.Deadline),
	})
}

// close ends a request towards its client.
func (l *Core) close(r *Request) {
	r.over = true
	l.names.free(r.ID)
	if r.out == 0 {
		delete(l.requests, r.id)
	}
}

// finish gives a request its one answer.
func (l *Core) finish(id policy.RequestID, a Response) {
	if r := l.requests[id]; r != nil && !r.over {
		r.history.complete(time.Now(), false)
		l.close(r)
		if r.history.responded {
			reportViolation(&l.invariants.respondedTwice, "answered_twice", r.ID)
		}
		r.history.responded = true
		if l.config.OnResponse != nil {
			l.config.OnResponse(r.Class, a.Result, l.now-r.taken)
		}
		r.Respond(a)
	}
}

func (l *Core) end(e ended) {
	a, r := e.attempt, e.attempt.req
	r.out--
	r.history.attemptEnded(a.number, e.ending)
	l.noteEnded(a, e.ending)
	r.timedOut = e.ending == policy.TimedOut
	if e.ending == policy.Served {
		l.finish(r.id, *e.answer)
	}
	// Whatever the ending: an answer too late for its client would stay here for ever.
	if r.over && r.out == 0 {
		delete(l.requests, r.id)
	}
	l.b.AttemptEnded(l.now, policy.AttemptOutcome{ID: r.id, Attempt: a.number, Result: e.ending, Completed: r.over})
}

// probesDone hands a host's probe results over in the order they were asked
// for, as the module matches them: a later one may be back first.
func (l *Core) probesDone(h *host) {
	for len(h.probes) > 0 && h.probes[0].done {
		p := h.probes[0]
		h.probes = h.probes[1:]
		if errors.Is(p.err, ErrNotSent) {
			l.b.ProbeNotSent(l.now, h.id)
		} else {
			l.b.ProbeCompleted(l.now, h.id, p.err == nil, p.load)
		}
	}
}

// list takes news of the list over and passes them to the module.
func (l *Core) list(kind policy.UpdateKind, news EndpointUpdate) {
	servers := make([]policy.Endpoint, 0, len(news.Endpoints))
	confirmed := time.Duration(0)
	if !news.ConfirmedAt.IsZero() {
		confirmed = l.now - time.Since(news.ConfirmedAt)
	}
	var named map[string]bool // a delta names what it changes, and that alone
	if kind != policy.DeltaUpdate {
		named = make(map[string]bool, len(news.Endpoints))
	}
	for _, e := range news.Endpoints {
		if named[e.Name] {
			slog.Warn("discovery: host listed twice", "host", e.Name)
		}
		if s, ok := l.enter(e, confirmed); ok {
			if named != nil {
				named[e.Name] = true
			}
			servers = append(servers, s)
		} else if e.Health != Removed {
			slog.Warn("discovery: entry passed over", "host", e.Name, "dial", e.Addr)
		}
	}
	l.b.EndpointsUpdated(l.now, kind, servers)
	if kind == policy.DeltaUpdate { // at the cost of what changed, not of the list
		for _, e := range news.Endpoints {
			if h := l.hosts[e.Name]; h != nil && h.entry.Health == Removed {
				l.forget(e.Name, h)
			}
		}
	} else {
		for name, h := range l.hosts {
			if h.entry.Health == Removed || !named[name] {
				l.forget(name, h)
			}
		}
	}
	l.forgetSites()
	if len(l.hosts) > 0 || kind != policy.CachedUpdate {
		l.ready.Store(true)
	}
	l.listed = l.listed || kind != policy.CachedUpdate
}

func (l *Core) forget(name string, h *host) {
	delete(l.hosts, name)
	delete(l.byID, h.id)
	h.close(l.now - l.beginNow)
	h.node.Retire()
}

// close notes that nothing new may be sent to the host.
func (h *host) close(now time.Duration) { h.closedAt.CompareAndSwap(0, max(int64(now), 1)) }

// forgetSites lets go of the sites that the settings do not name and no host is at any more.
func (l *Core) forgetSites() {
	if len(l.sites) <= len(l.config.Zones)+len(l.hosts) {
		return
	}
	used := make(map[string]bool, len(l.hosts))
	for _, h := range l.hosts {
		used[h.entry.Zone] = true
	}
	maps.DeleteFunc(l.sites, func(name string, number int) bool {
		return number >= len(l.config.Zones) && !used[name]
	})
}

// enter takes one entry of the list over. A word for its health that is not
// known means nothing new, as draining does.
func (l *Core) enter(e Endpoint, confirmed time.Duration) (policy.Endpoint, bool) {
	if e.Name == "" {
		return policy.Endpoint{}, false
	}
	h := l.hosts[e.Name]
	appeared := h == nil && l.listed
	if _, err := netip.ParseAddrPort(e.Addr); err != nil {
		if h == nil || e.Health == Up {
			return policy.Endpoint{}, false
		}
		e.Addr = h.entry.Addr // it is to get nothing new: its address does not matter
	}
	if h == nil {
		l.lastHost++
		h = &host{id: l.lastHost, node: l.config.NewUpstream(e)}
		l.hosts[e.Name], l.byID[h.id] = h, h
	} else if h.entry.Addr != e.Addr || h.entry.StartedAt != e.StartedAt { // what was open to it leads nowhere now
		h.node.Retire()
		h.node = l.config.NewUpstream(e)
	}
	// Where it was placed, a start stays while the entry names the same one.
	if h.entry.StartedAt != e.StartedAt || h.started == 0 {
		h.started = policy.StartedAt(policy.StartEvidence{
			Reported: e.StartedAt, Now: l.now, WallClock: time.Duration(time.Now().UnixNano()),
			Changed: appeared || h.entry.Name != "" && h.entry.StartedAt != e.StartedAt, ConfirmedAt: confirmed,
		})
	}
	h.entry = e
	if e.Health == Up {
		h.closedAt.Store(0)
	} else {
		h.close(l.now - l.beginNow)
	}
	site, ok := l.sites[e.Zone]
	if !ok {
		site = l.nextSite
		l.nextSite++
		l.sites[e.Zone] = site
	}
	s := policy.Endpoint{ID: h.id, Zone: site, Weight: e.Weight, StartedAt: h.started, Health: policy.Draining}
	if s.Cell = -int(h.id); e.Cell != nil { // without a cell it shares its keys with no other
		s.Cell = *e.Cell
	}
	switch e.Health {
	case Up:
		s.Health = policy.Ready
	case Removed:
		s.Health = policy.Removed
	}
	return s, true
}

// Send starts an attempt.
func (l *Core) Send(id policy.RequestID, to policy.EndpointID, timeout, within time.Duration) {
	r, h := l.requests[id], l.byID[to]
	if r == nil {
		return
	}
	a := &attempt{req: r, number: len(r.attempts)}
	r.attempts = append(r.attempts, a)
	r.out++
	until, m := r.Deadline, r.Message
	if timeout != 0 {
		if cut := time.Now().Add(timeout); cut.Before(until) {
			until = cut
		}
	}
	if h != nil {
		a.server = h.entry.Name
		m.guard = &attemptGuard{core: l, request: r, host: h, number: a.number}
	}
	if within > 0 { // from the module's own now: the event may have taken its time
		m.WriteDeadline = time.Now().Add(within - (l.clock() - l.now))
	}
	a.ctx, a.cancel = context.WithDeadline(context.Background(), until)
	if h == nil || r.over {
		a.cancel()
		l.local = append(l.local, ended{attempt: a, ending: policy.NotSent})
		return
	}
	node := h.node
	go func() {
		defer a.cancel()
		ending, ans := node.RoundTrip(a.ctx, &m)
		l.post(ended{a, ending, ans})
	}()
}

// Reject tells the client that trying again is harmless.
func (l *Core) Reject(id policy.RequestID, pause time.Duration) {
	l.noteGivenUp(id, "refused")
	l.finish(id, Response{Result: Rejected, RetryAfter: pause})
}

// Fail answers without a promise.
func (l *Core) Fail(id policy.RequestID) {
	l.noteGivenUp(id, "failed")
	verdict := Failed
	if r := l.requests[id]; r != nil && (r.timedOut || r.out > 0) { // time ran out, whoever noticed first
		verdict = TimedOut
	}
	l.finish(id, Response{Result: verdict})
}

// Cancel gives an attempt up.
func (l *Core) Cancel(id policy.RequestID, number int) {
	if r := l.requests[id]; r != nil && number >= 0 && number < len(r.attempts) {
		r.attempts[number].cancel()
	}
}

// SetTimer arms the one timer. The module asks again only for an earlier time.
func (l *Core) SetTimer(d time.Duration) {
	l.dueAt = l.now + d
	l.timer.Reset(d)
}

// Probe asks an upstream for its load.
func (l *Core) Probe(to policy.EndpointID) {
	h := l.byID[to]
	if h == nil {
		return
	}
	p := &probe{host: h}
	h.probes = append(h.probes, p)
	node := h.node
	go func() {
		load, err := node.Probe(context.Background())
		l.post(probed{p, load, err})
	}()
}

// RequestWatch subscribes to the list, where that is the module's to ask.
func (l *Core) RequestWatch() {
	select {
	case l.asks <- struct{}{}:
	default: // one is waiting already
	}
}
