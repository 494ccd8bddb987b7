package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/fleet"
	"mothridge/internal/peers"
	"mothridge/policy"
)

// Options say what to load, and how.
type Options struct {
	Scenario fleet.Scenario
	Protocol peers.Protocol
	Targets  []string       // sidecars: those of the scenario go to them in turn
	Most     int            // requests; more is an error before anything is sent
	Progress func(Progress) // may be nil; called every second
}

// Progress is how far a load has come.
type Progress struct {
	Gone, Whole                   time.Duration
	Sent, Of, Open                int
	Served, Refused, Failed, Lost uint64
	P50, P99                      time.Duration
}

// Result is what a load met.
type Result struct {
	fleet.Result
	Late *hdrhistogram.Histogram // how long after its time a request went out, µs: the generator's own fault
	Odd  []string                // answers that no scenario has: lost, rejected, late
}

// mostOdd is how many odd answers are told.
const mostOdd = 20

// Loopback checks that an address is one of this machine's own alone.
func Loopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s: a loopback address and a port are meant, such as 127.0.0.1:7070", address)
	}
	return nil
}

// Run sends a scenario's requests at the times that it has for them, whatever
// becomes of those before (an open loop), and measures each from its time, so
// that a sidecar that stalls is charged for all that it held up. It ends when
// the last request has its answer, or with ctx.
func Run(ctx context.Context, o Options) (*Result, error) {
	for _, t := range o.Targets {
		if err := Loopback(t); err != nil {
			return nil, err
		}
	}
	plan, err := fleet.PlanArrivals(o.Scenario)
	switch {
	case err != nil:
		return nil, err
	case len(o.Targets) == 0:
		return nil, fmt.Errorf("no target: a sidecar's address is needed")
	case len(plan) > o.Most:
		return nil, fmt.Errorf("the scenario has %d requests, over the bound of %d: shorten it or raise the bound", len(plan), o.Most)
	}
	g := newGenerator(o, len(plan))
	for _, t := range o.Targets {
		c := peers.NewClient(o.Protocol, t)
		defer c.Close()
		g.clients = append(g.clients, c)
	}
	stop := g.show(ctx)
	defer stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	peers.OpenLoop(ctx, g.began, func(i int) (time.Duration, bool) {
		if i == len(plan) {
			return 0, false
		}
		return plan[i].At, true
	}, func(i int, due time.Time) {
		wg.Go(func() { g.client(ctx, i, plan[i], due) })
	})
	wg.Wait()
	return g.result, ctx.Err()
}

// sleep waits; false where ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// generator is a load under way.
type generator struct {
	Options
	began   time.Time
	clients []peers.Client
	of      int

	mu         sync.Mutex
	whims      *rand.Rand
	result     *Result
	sent, open int
}

func newGenerator(o Options, of int) *generator {
	r := &Result{Late: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
	r.Latency = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	r.Classes, r.Tenants = make([]fleet.Tally, len(o.Scenario.Classes)), make([]fleet.Tally, max(1, len(o.Scenario.Tenants)))
	r.WindowLength = time.Second
	r.Windows = make([]fleet.Window, int((o.Scenario.Duration+time.Second-1)/time.Second))
	return &generator{Options: o, began: time.Now().Add(10 * time.Millisecond), of: of, whims: rand.New(rand.NewPCG(o.Scenario.Seed, 1)), result: r}
}

// client is one client: its tries until it has an answer or gives up.
func (g *generator) client(ctx context.Context, number int, p fleet.PlannedArrival, asked time.Time) {
	s, k := &g.Scenario, &g.Scenario.Classes[p.Class]
	w := &g.result.Windows[min(int(p.At/time.Second), len(g.result.Windows)-1)]
	g.mu.Lock()
	g.sent++
	g.open++
	g.result.Late.RecordValue(time.Since(asked).Microseconds())
	for _, t := range []*fleet.Tally{&g.result.Tally, &g.result.Classes[p.Class], &g.result.Tenants[p.Tenant]} {
		t.Requests++
	}
	w.Requests++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.open--
		g.mu.Unlock()
	}()
	client := g.clients[p.Sidecar%len(g.clients)]
	for try := 1; ; try++ {
		began := time.Now()
		if try == 1 {
			began = asked
		}
		left := asked.Add(k.Deadline).Sub(began)
		if pat := s.Clients.TimeoutShares; len(pat) == 2 {
			left = min(left, time.Duration(float64(k.Deadline)*(pat[0]+(pat[1]-pat[0])*g.draw())))
		}
		call := g.call(number, try, p, left)
		inner, cancel := context.WithTimeout(ctx, left+time.Second)
		got := client.Do(inner, call)
		cancel()
		if ctx.Err() != nil {
			return
		}
		g.note(p, w, call, got, began, time.Now(), asked)
		pause, again := g.again(got, k, try)
		if !again || time.Now().Add(pause).After(asked.Add(k.Deadline)) || !sleep(ctx, pause) {
			return
		}
	}
}

// call is a try as it is sent. Its work goes in the body, which the node reads.
func (g *generator) call(number, try int, p fleet.PlannedArrival, left time.Duration) peers.Call {
	k := &g.Scenario.Classes[p.Class]
	c := peers.Call{
		ID: fmt.Sprintf("%d-%d-%d", g.Scenario.Seed, number, try), Class: className(&g.Scenario, p.Class), Tenant: tenantName(&g.Scenario, p.Tenant),
		Timeout: left, ClientRetry: try > 1, Body: fmt.Appendf(nil, "%s%d", workField, p.Work.Microseconds()),
	}
	switch policy.Idempotency(k.Idempotency) {
	case policy.IdempotentByKey:
		c.IdempotencyKey = fmt.Sprintf("%d-%d", g.Scenario.Seed, number)
	case policy.NotIdempotent:
		c.NotIdempotent = true
	}
	return c
}

func className(s *fleet.Scenario, i int) string {
	if n := s.Classes[i].Name; n != "" {
		return n
	}
	return fmt.Sprintf("class-%d", i)
}

func tenantName(s *fleet.Scenario, i int) string {
	if i < len(s.Tenants) && s.Tenants[i].Name != "" {
		return s.Tenants[i].Name
	}
	return fmt.Sprintf("tenant-%d", i)
}

func (g *generator) draw() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.whims.Float64()
}

// note counts an answer as the model does.
func (g *generator) note(p fleet.PlannedArrival, w *fleet.Window, call peers.Call, got peers.Result, began, now, asked time.Time) {
	aim, took := g.Scenario.Classes[p.Class].LatencyObjective, now.Sub(asked)
	g.mu.Lock()
	defer g.mu.Unlock()
	r := g.result
	r.Submissions++
	at := &r.Windows[max(0, min(int(now.Sub(g.began)/time.Second), len(r.Windows)-1))]
	switch got.Outcome {
	case peers.Served:
		r.Served++
		at.Served++
		r.Latency.RecordValue(took.Microseconds())
		for _, t := range []*fleet.Tally{&r.Tally, &r.Classes[p.Class], &r.Tenants[p.Tenant]} {
			if now.Sub(began) <= aim {
				t.SubmissionsMetObjective++
			}
			if took <= aim {
				t.MetObjective++
			}
		}
		if took <= aim {
			w.MetObjective++
		}
	case peers.Rejected:
		r.Rejected++
		at.Rejected++
	case peers.Failed:
		r.Failed++
		at.Failed++
	default:
		r.Lost++
		g.odd("%s: %s %s %v", call.ID, got.Outcome, got.Text, got.Err)
	}
	if over := now.Sub(began) - call.Timeout; over > 50*time.Millisecond && got.Outcome != peers.Lost {
		g.odd("%s: answered %v after its deadline", call.ID, over)
	}
}

func (g *generator) odd(format string, args ...any) {
	if len(g.result.Odd) < mostOdd {
		g.result.Odd = append(g.result.Odd, fmt.Sprintf(format, args...))
	}
}

// again says whether a client tries again, and after which pause.
func (g *generator) again(got peers.Result, k *fleet.Class, try int) (time.Duration, bool) {
	c := &g.Scenario.Clients
	own := func() time.Duration { return time.Duration(float64(c.RetryBackoff<<min(try-1, 16)) * (0.5 + g.draw())) }
	switch {
	case try >= c.MaxSubmissions:
		return 0, false
	case got.Outcome == peers.Rejected && (c.RetryAfterShare >= 1 || g.draw() < c.RetryAfterShare):
		return got.RetryAfter, true
	case got.Outcome == peers.Rejected:
		return own(), true
	case got.Outcome != peers.Served && policy.Idempotency(k.Idempotency) == policy.Idempotent && (c.RetriesFailures || got.Outcome == peers.Lost):
		return own(), true
	}
	return 0, false
}

// show reports progress every second until the function that it gives is called.
func (g *generator) show(ctx context.Context) (stop func()) {
	if g.Progress == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for sleep(ctx, time.Second) {
			g.mu.Lock()
			r := g.result
			p := Progress{
				Gone: time.Since(g.began), Whole: g.Scenario.Duration, Sent: g.sent, Of: g.of, Open: g.open,
				Served: r.Served, Refused: r.Rejected, Failed: r.Failed, Lost: r.Lost,
				P50: time.Duration(r.Latency.ValueAtQuantile(50)) * time.Microsecond, P99: time.Duration(r.Latency.ValueAtQuantile(99)) * time.Microsecond,
			}
			g.mu.Unlock()
			g.Progress(p)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}
