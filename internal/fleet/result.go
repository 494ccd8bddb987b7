package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/policy"
)

// Result is what became of a run.
type Result struct {
	Tally                                       // of all requests
	Asked, Served, Refused, Failed, Lost uint64 // tries of clients; lost are those whose sidecar ended
	Attempts                             uint64 // that reached a node
	Handshakes                           uint64
	Chokes                               uint64 // nodes that went into the slow state
	Events                               uint64
	Latency                              *hdrhistogram.Histogram // of requests served, from their first try on, µs
	Classes, Tenants                     []Tally
	Quotas                               []float64 // requests that each tenant's quota lets through in the time
	Windows                              []Window
	Width                                time.Duration // of a window
	NodeServed                           []uint64
	NodeBusy                             []float64   // share of its cores' time
	Heat                                 [][]float64 // the same by window and node, where it was observed
	Broken                               []string    // rules, the first of them
	Cut                                  string      // why the run was ended before its end
	Notable                              []Notable
	Told                                 []Told // of the request that was watched
}

// Tally counts requests, each over all tries of its client.
type Tally struct {
	First  uint64 // that came
	Good   uint64 // served within the aim, from their first try on
	Served uint64 // whenever
	Within uint64 // tries served within their aim, from their own beginning on
}

// Window counts what happened in a stretch of time.
type Window struct {
	First, Good             uint64 // requests that came in it, and those of them that were good
	Served, Refused, Failed uint64 // tries that ended in it
	Attempts                uint64
	P50, P99                time.Duration // of what was served in it
}

// Notable is a request that one may want explained.
type Notable struct {
	ID   policy.RequestID
	What string
	Took time.Duration
}

// Told is a line of what happened to a request.
type Told struct {
	At   time.Duration
	What string
}

const (
	mostBroken  = 20   // rules told
	mostTold    = 500  // lines of a request
	mostNotable = 5    // of a kind
	mostWindows = 3600 // more time makes them wider, not more
)

// Share is Good over First; 1 where nothing came.
func (t *Tally) Share() float64 {
	if t.First == 0 {
		return 1
	}
	return float64(t.Good) / float64(t.First)
}

// WorstWindow is the least share of good requests in ten windows on end (or all,
// where there are fewer).
func (r *Result) WorstWindow() float64 {
	worst, span := 1.0, min(10, len(r.Windows))
	for i := 0; i+span <= len(r.Windows); i++ {
		var t Tally
		for _, w := range r.Windows[i : i+span] {
			t.First, t.Good = t.First+w.First, t.Good+w.Good
		}
		worst = min(worst, t.Share())
	}
	return worst
}

// observer fills the parts of a result that grow with time.
type observer struct {
	*run
	latency *hdrhistogram.Histogram // of this window
	busy    []float64               // of each node, until this window
	window  int
}

func newObserver(r *run) *observer {
	c := &r.result
	c.Latency = hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	c.Classes, c.Tenants = make([]Tally, len(r.s.Classes)), make([]Tally, max(1, len(r.s.Tenants)))
	for _, t := range r.s.Tenants {
		c.Quotas = append(c.Quotas, t.Quota*r.s.Duration.Seconds())
	}
	c.Width = max(time.Second, r.s.Duration/mostWindows)
	c.Windows = make([]Window, int((r.s.Duration+c.Width-1)/c.Width))
	o := &observer{run: r, latency: hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 2), busy: make([]float64, r.s.Nodes)}
	r.put(c.Width, o, 0)
	return o
}

// act closes a window.
func (o *observer) act(what) {
	if o.window >= len(o.result.Windows) {
		return
	}
	w := &o.result.Windows[o.window]
	w.P50 = time.Duration(o.latency.ValueAtQuantile(50)) * time.Microsecond
	w.P99 = time.Duration(o.latency.ValueAtQuantile(99)) * time.Microsecond
	o.latency.Reset()
	if o.s.Observe {
		row := make([]float64, len(o.nodes))
		for i, n := range o.nodes {
			n.advance()
			row[i] = (n.busy - o.busy[i]) / o.result.Width.Seconds() / float64(n.p.Cores)
			o.busy[i] = n.busy
		}
		o.result.Heat = append(o.result.Heat, row)
	}
	o.window++
	o.put(o.result.Width, o, 0)
}

func (o *observer) finish() {
	slices.SortStableFunc(o.result.Notable, func(a, b Notable) int { return cmp.Compare(a.What, b.What) })
}

// at is the window of a time; the last one takes what comes after the end.
func (o *observer) at(t time.Duration) *Window {
	return &o.result.Windows[min(int(t/o.result.Width), len(o.result.Windows)-1)]
}

// tallies are those that a request counts in.
func (o *observer) tallies(x *client) [3]*Tally {
	return [3]*Tally{&o.result.Tally, &o.result.Classes[x.class], &o.result.Tenants[x.tenant]}
}

// came counts a request's first try.
func (o *observer) came(x *client) {
	for _, t := range o.tallies(x) {
		t.First++
	}
	o.at(o.now).First++
}

// served counts a good answer.
func (o *observer) served(x *request) {
	aim, took := o.s.Classes[x.class].Aim, o.now-x.asked
	o.result.Served++
	o.at(o.now).Served++
	o.result.Latency.RecordValue(took.Microseconds())
	o.latency.RecordValue(min(took.Microseconds(), o.latency.HighestTrackableValue()))
	for _, t := range o.tallies(x.client) {
		if o.now-x.began <= aim {
			t.Within++
		}
		t.Served++
		if took <= aim {
			t.Good++
		}
	}
	if took <= aim {
		o.at(x.asked).Good++
	} else {
		o.notable(x, "served late", took)
	}
}

// notable keeps the first few requests of a kind, for 'explain'.
func (o *observer) notable(x *request, what string, took time.Duration) {
	n := 0
	for _, y := range o.result.Notable {
		if y.What == what {
			n++
		}
	}
	if n < mostNotable {
		o.result.Notable = append(o.result.Notable, Notable{x.id, what, took})
	}
}
