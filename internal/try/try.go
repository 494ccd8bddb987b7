// Package try plays a short day in one process: the real sidecar, a stand-in
// discovery, eight stand-in nodes and a load of clients over real loopback
// sockets. One node hangs for a while, one drains, one starts anew and is cold.
// At the end the four rules are checked against what clients and nodes saw.
package try

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/rig"
)

// Options say what to play.
type Options struct {
	Protocol peers.Protocol // of clients and nodes
	Duration time.Duration  // at least Shortest
	Eureka   bool           // a stand-in Eureka registry lists the nodes
	Rate     int            // requests a second
	Seed     uint64
	Out      io.Writer
	Live     bool // draw the table over itself; else a line a second
}

// Shortest is the shortest day: what is to happen needs some time.
const Shortest = 4 * time.Second

const (
	nodes   = 8
	hanging = 2 // by number, from 0
	drained = 5
	cold    = 7
	// slack is what the rules allow on sockets beyond each of their times.
	slack = 50 * time.Millisecond
	// A cold node of the settings: its share of capacity at the start, for how
	// long it warms up, and the multiple at which it falls over in a window.
	coldFrom     = 0.3
	coldFor      = 8 * time.Second
	fallMultiple = 2.5
	fallWindow   = time.Second
	// crowded is how many times its even part of the load a node can bear.
	crowded = 2.0
)

// day is one run.
type day struct {
	Options
	rig   *rig.Rig
	began time.Time

	mu      sync.Mutex
	total   tally
	byNode  map[string]*tally
	state   [nodes]string
	broken  []string // rules, and how
	drainAt time.Time
	coldAt  time.Time
}

// tally counts answers and their times.
type tally struct {
	served, refused, failed, lost int
	took                          []time.Duration // of those served
}

// Run plays a day and writes the table and the summary. It returns an error
// where a rule broke.
func Run(ctx context.Context, o Options) error {
	o.Duration = max(o.Duration, Shortest)
	// What the sidecar logs would tear the table.
	log := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer slog.SetDefault(log)
	d := &day{Options: o, byNode: make(map[string]*tally)}
	ro := rig.Options{Front: o.Protocol, Nodes: o.Protocol, Number: nodes, Script: d.script, Times: true}
	if o.Eureka {
		e, err := peers.StartEureka("")
		if err != nil {
			return err
		}
		defer e.Close()
		ro.Eureka = e
	}
	r, err := rig.Start(ro)
	if err != nil {
		return err
	}
	defer r.Close()
	d.rig = r
	for i, n := range r.Nodes {
		d.state[i] = "up"
		d.byNode[n.Name] = new(tally)
	}
	fmt.Fprintf(o.Out, "A sidecar at %s, %d nodes, %d requests a second for %v, all over %s on loopback.\n\n", r.Addr, nodes, o.Rate, o.Duration, o.Protocol)
	d.began = time.Now()
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { d.trouble(ctx) })
	wg.Go(func() { d.draw(ctx) })
	d.load(ctx)
	wg.Wait()
	d.table()
	return d.verdict()
}

// script is what every node does: some milliseconds of work.
func (d *day) script(c peers.Call) peers.Response {
	r := rand.New(rand.NewPCG(d.Seed, uint64(len(c.ID))+hash(c.ID)))
	return peers.Response{Delay: time.Duration(3+r.IntN(10)) * time.Millisecond}
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037) // FNV-1a
	for _, c := range []byte(s) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// named makes the answer tell who gave it.
func (d *day) named(i int, s peers.Script) peers.Script {
	name := []byte(d.rig.Nodes[i].Name)
	return func(c peers.Call) peers.Response {
		a := s(c)
		a.Body = name
		return a
	}
}

// trouble lets things happen, at set parts of the day.
func (d *day) trouble(ctx context.Context) {
	for i, n := range d.rig.Nodes {
		n.SetScript(d.named(i, d.script))
	}
	at := func(part float64) bool {
		t := time.NewTimer(time.Until(d.began.Add(time.Duration(part * float64(d.Duration)))))
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
	set := func(i int, state string) {
		d.mu.Lock()
		d.state[i] = state
		d.mu.Unlock()
	}
	n := d.rig.Nodes
	if !at(0.2) {
		return
	}
	n[hanging].SetScript(func(peers.Call) peers.Response { return peers.Response{Action: peers.Hang} })
	set(hanging, "hangs")
	if !at(0.35) {
		return
	}
	d.mu.Lock()
	d.drainAt = time.Now()
	d.mu.Unlock()
	d.rig.List(n[drained], "draining", 0)
	set(drained, "drains")
	if !at(0.5) {
		return
	}
	n[cold].ResetConnections() // as a process that starts anew
	d.mu.Lock()
	d.coldAt = time.Now()
	d.mu.Unlock()
	d.rig.List(n[cold], "up", d.coldAt.UnixMilli())
	set(cold, "cold")
	if !at(0.75) {
		return
	}
	n[hanging].SetScript(d.named(hanging, d.script))
	set(hanging, "up again")
}

// load sends requests at an even rate, whatever becomes of those before.
func (d *day) load(ctx context.Context) {
	client := d.rig.Client()
	defer client.Close()
	random := rand.New(rand.NewPCG(d.Seed, 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	every := time.Second / time.Duration(max(1, d.Rate))
	peers.OpenLoop(ctx, time.Now(), func(i int) (time.Duration, bool) { return time.Duration(i) * every, true }, func(i int, due time.Time) {
		class := rig.Read
		switch p := random.Float64(); {
		case p < 0.15:
			class = rig.Once
		case p < 0.4:
			class = rig.Entry
		}
		tenant := rig.Tenant(0)
		if random.Float64() < 0.21 {
			tenant = rig.Tenant(1)
		}
		c := rig.Request(class, fmt.Sprintf("%s-%06d", class, i), tenant)
		wg.Go(func() { d.ask(client, c, due) })
	})
}

func (d *day) ask(client peers.Client, c peers.Call, began time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout+time.Second)
	defer cancel()
	got := client.Do(ctx, c)
	took := time.Since(began)
	d.mu.Lock()
	defer d.mu.Unlock()
	t := &d.total
	if got.Outcome == peers.Served {
		if n := d.byNode[string(got.Body)]; n != nil {
			n.add(got.Outcome, took)
		}
	}
	t.add(got.Outcome, took)
	switch {
	case got.Outcome == peers.Lost || got.Outcome == peers.InvalidRequest:
		d.breach("1 (one final answer)", fmt.Sprintf("%s: %s %s %v", c.ID, got.Outcome, got.Text, got.Err))
	case took > c.Timeout+slack:
		d.breach("1 (one final answer)", fmt.Sprintf("%s: answered after %v of %v", c.ID, took, c.Timeout))
	}
}

func (t *tally) add(v peers.Outcome, took time.Duration) {
	switch v {
	case peers.Served:
		t.served++
		t.took = append(t.took, took)
	case peers.Rejected:
		t.refused++
	case peers.Failed:
		t.failed++
	default:
		t.lost++
	}
}

func (d *day) breach(rule, how string) { d.broken = append(d.broken, "rule "+rule+": "+how) }

// quantile of times that it sorts.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}
