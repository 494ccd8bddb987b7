// Package soak runs real sidecar processes on loopback between stand-ins that misbehave,
// with two or three troubles at a time, and judges by invariants what clients and nodes
// see and what the sidecars' own run-time checks count. A seed draws the troubles; times
// are those of the machine, so that two runs of a seed are alike and not the same.
package soak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Config says what to run.
type Config struct {
	Program  string        // the sidecar's
	Dir      string        // for configurations and logs
	Sidecars int           // processes
	Nodes    int           // stand-ins
	Workers  int           // clients' connections for each sidecar
	Pause    time.Duration // of a worker between two requests, on the mean
	Length   time.Duration
	Sockets  int // the sidecars' limit
	Seed     uint64
	Log      io.Writer // troubles as they come; nil: none
}

// Result is how a soak went.
type Result struct {
	Violations []Violation
	Requests   int
	Answers    map[int]int // by status
	Troubles   map[string]int
}

const (
	readyIn           = 20 * time.Second
	newConnectionsFor = 400 * time.Millisecond // after SIGTERM
	killedAfter       = 3700 * time.Millisecond
	settle            = 4 * time.Second // behind the last request
	missedFor         = 6 * time.Second // what a watch misses counts as told so long after it fell silent
)

// world is a soak under way.
type world struct {
	cfg      Config
	begin    time.Time
	end      time.Time
	judge    *judge
	list     *registry
	sidecars []*sidecar
	nodes    []*node
	rng      *rand.Rand

	mu       sync.Mutex
	told     map[string]time.Time // when a node's drain counts as told, by node and sidecar
	starts   map[string]time.Time // the same of its last start
	troubles map[string]int
}

// Run runs a soak.
func Run(cfg Config) (*Result, error) {
	w := &world{
		cfg: cfg, begin: time.Now(), list: newRegistry(), rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		told: make(map[string]time.Time), starts: make(map[string]time.Time), troubles: make(map[string]int),
	}
	w.judge = newJudge(w.begin)
	measured := make(chan struct{})
	defer close(measured)
	go w.judge.lag.run(func() bool {
		select {
		case <-measured:
			return true
		default:
			return false
		}
	})
	defer w.close()
	if err := w.build(); err != nil {
		return nil, err
	}
	w.end = time.Now().Add(cfg.Length)
	var running sync.WaitGroup
	for _, s := range w.sidecars {
		for i := range cfg.Workers {
			k := &worker{s: s, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100*s.number+i+1))), name: fmt.Sprintf("%d-%d", s.number, i)}
			running.Go(func() { k.run(w) })
		}
	}
	for i := range 3 { // that many troubles overlap
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(1_000_000+i)))
		running.Go(func() { w.trouble(rng) })
	}
	running.Wait()
	w.finish()
	return &Result{w.judge.violations, w.judge.requests, w.judge.answers, w.troubles}, nil
}

// build starts the stand-ins and the sidecars.
func (w *world) build() error {
	for i := range w.cfg.Nodes {
		n, err := w.newNode(fmt.Sprintf("node-%02d", i), w.cfg.Seed+uint64(i))
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		w.tell(n, "up")
	}
	for i := range w.cfg.Sidecars {
		s := &sidecar{world: w, number: i, dir: filepath.Join(w.cfg.Dir, fmt.Sprint("sidecar-", i))}
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
		for a := range s.agents {
			var err error
			if s.agents[a], err = newAgent(w.list); err != nil {
				return err
			}
		}
		var err error
		if s.addr, err = freeAddress(i); err != nil {
			return err
		}
		if err := s.start(); err != nil {
			return err
		}
		w.sidecars = append(w.sidecars, s)
	}
	for _, s := range w.sidecars {
		if !s.awaitReady(readyIn) {
			return fmt.Errorf("sidecar %d does not get ready", s.number)
		}
	}
	return nil
}

// Sidecars listen below the ports that the system gives to connections: one that
// restarts must find its own free. Soaks at the same time begin at different ones.
const (
	firstPort = 10_000
	portRange = 20_000
)

// freeAddress returns an address at which nobody listens.
func freeAddress(i int) (string, error) {
	start := os.Getpid()*101 + i
	for try := range portRange {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+(start+try*37)%portRange)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free port")
}

// finish ends all sidecars in order, and looks at how they do.
func (w *world) finish() {
	var ending sync.WaitGroup
	for _, s := range w.sidecars {
		if err, crashed := s.hasCrashed(); crashed {
			w.judge.breaks(Crash, "sidecar %d has ended: %v", s.number, err)
			continue
		}
		ending.Go(func() {
			s.terminate()
			s.logs.Wait()
		})
	}
	ending.Wait()
}

func (w *world) close() {
	for _, s := range w.sidecars {
		s.cmd.Process.Kill()
		for _, a := range s.agents {
			a.server.Close()
		}
	}
	for _, n := range w.nodes {
		n.ln.Close()
	}
}

func (w *world) over() bool { return time.Now().After(w.end) }

// sleep sleeps, but not past the end.
func (w *world) sleep(d time.Duration) { time.Sleep(min(d, max(0, time.Until(w.end)))) }

// tell puts a node's health into the list. For each sidecar it counts as told at once, or
// once its agent is back.
func (w *world) tell(n *node, health string) {
	n.mu.Lock()
	n.health = health
	born := int64(0)
	if !n.born.IsZero() {
		born = n.born.UnixMilli()
	}
	n.mu.Unlock()
	w.mu.Lock()
	for _, s := range w.sidecars {
		key := fmt.Sprint(n.name, "/", s.number)
		at := time.Now()
		s.mu.Lock()
		if moved := s.movedAt.Add(4 * time.Second); moved.After(at) {
			at = moved // a new configuration counts 4 s later
		}
		a := s.agents[s.at]
		s.mu.Unlock()
		a.mu.Lock()
		if a.downTo.After(at) {
			at = a.downTo
		}
		if silent := a.muted.Add(missedFor); silent.After(at) && !a.muted.IsZero() {
			at = silent // what a watch misses that has fallen silent
		}
		at = at.Add(2 * a.slowBy) // the whole list, and a watch
		a.mu.Unlock()
		if health == "up" {
			delete(w.told, key)
			w.starts[key] = at
		} else if _, known := w.told[key]; !known {
			w.told[key] = at
		}
	}
	w.mu.Unlock()
	w.list.set(entry{Host: n.name, Dial: n.ln.Addr().String(), Site: "a", Class: "m", Block: 1, Health: health, Share: 1, BornMS: born})
}

// reachedNode holds a request that has reached a node against the rules on drains and on
// cold nodes.
func (w *world) reachedNode(n *node, id string, delay time.Duration) {
	var number int
	if _, err := fmt.Sscanf(id, "%d-", &number); err != nil || number >= len(w.sidecars) {
		return
	}
	s, now := w.sidecars[number], time.Now().Add(-delay)
	key := fmt.Sprint(n.name, "/", number)
	w.mu.Lock()
	told, draining := w.told[key]
	start := w.starts[key]
	w.mu.Unlock()
	if s.agent().slowSince(told.Add(-settle)) { // pushed lists know no slow agent: the longest time counts
		told = told.Add(missedFor)
	}
	if s.agent().slowSince(start.Add(-settle)) {
		start = start.Add(missedFor)
	}
	s.mu.Lock()
	held, begun := s.held, s.begun
	s.mu.Unlock()
	if told.Before(begun) {
		told = begun // from the first moment of a new process, which needs one
	}
	if held.After(told) {
		told = held
	}
	if late := now.Sub(told); draining && late > drainGrace+heldUp+w.judge.lag.slack() {
		w.judge.breaks(Drain, "%s was sent to %s %v after its drain was told", id, n.name, late)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	age := now.Sub(n.born)
	if n.born.IsZero() || age > coldFor {
		return
	}
	n.arrivals = append(n.arrivals, arrival{now, !start.After(now)})
	inWindow, toldOf := 0, 0
	for _, a := range n.arrivals {
		if now.Sub(a.at) <= fallWindow {
			inWindow++
			if a.told {
				toldOf++
			}
		}
	}
	capacity := fleetQuota / float64(w.cfg.Nodes) * (coldFrom + (1-coldFrom)*max(0, age-fallWindow).Seconds()/coldFor.Seconds())
	if most := budget(fallMultiple * capacity * fallWindow.Seconds()); float64(inWindow) > most && 3*toldOf > 2*inWindow {
		w.judge.breaks(Failback, "%s, %v old, got %d requests within %v, at most %.0f", n.name, age, inWindow, fallWindow, most)
	}
}

// trouble plays one trouble after the other.
func (w *world) trouble(rng *rand.Rand) {
	for !w.over() {
		w.sleep(time.Duration(rng.Int64N(int64(500 * time.Millisecond))))
		if time.Until(w.end) < settle {
			return
		}
		t := troubles[rng.IntN(len(troubles))]
		w.mu.Lock()
		w.troubles[t.name]++
		if w.cfg.Log != nil {
			fmt.Fprintf(w.cfg.Log, "%8.3f %s\n", time.Since(w.begin).Seconds(), t.name)
		}
		w.mu.Unlock()
		t.play(w, rng)
	}
}

// someSidecar draws one and claims it for a trouble that takes its process; nil: it is
// another's.
func (w *world) someSidecar(rng *rand.Rand) *sidecar {
	s := w.sidecars[rng.IntN(len(w.sidecars))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready || !s.stopping.IsZero() || time.Now().Before(s.held) {
		return nil
	}
	return s
}

// troubles are what may happen.
var troubles = []struct {
	name string
	play func(*world, *rand.Rand)
}{
	{"planned restart", func(w *world, rng *rand.Rand) {
		if s := w.someSidecar(rng); s != nil {
			s.terminate()
			w.must(s.start())
			s.awaitReady(readyIn)
		}
	}},
	{"kill", func(w *world, rng *rand.Rand) {
		if s := w.someSidecar(rng); s != nil {
			w.must(s.kill())
		}
	}},
	{"stop and go on", func(w *world, rng *rand.Rand) {
		if s := w.someSidecar(rng); s != nil {
			s.hold(time.Duration(400+rng.IntN(1300)) * time.Millisecond)
		}
	}},
	{"new configuration", func(w *world, rng *rand.Rand) {
		s := w.someSidecar(rng)
		if s == nil {
			return
		}
		s.mu.Lock()
		s.at, s.movedAt = 1-s.at, time.Now()
		text := s.config()
		s.mu.Unlock()
		w.must(s.writeConfig(text))
		s.signal(syscall.SIGHUP)
		if rng.IntN(2) == 0 { // and at once one that cannot be read
			time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			w.must(s.writeConfig(text[:len(text)/2]))
			s.signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
			w.must(s.writeConfig(text))
			s.signal(syscall.SIGHUP)
		}
	}},
	{"discovery down", func(w *world, rng *rand.Rand) {
		d := time.Duration(1+rng.IntN(5)) * time.Second
		for _, s := range w.sidecars {
			for _, a := range s.agents {
				a.goDown(d)
			}
		}
		w.sleep(d)
	}},
	{"watches fall silent", func(w *world, rng *rand.Rand) {
		for _, s := range w.sidecars {
			s.agent().mute()
		}
		w.sleep(2 * time.Second)
	}},
	{"watches are reset", func(w *world, rng *rand.Rand) {
		for _, s := range w.sidecars {
			s.agent().resetWatches()
		}
	}},
	{"slow discovery", func(w *world, rng *rand.Rand) {
		for _, s := range w.sidecars {
			s.agent().setSlow(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
		w.sleep(3 * time.Second)
		for _, s := range w.sidecars {
			for _, a := range s.agents {
				a.setSlow(0)
			}
		}
	}},
	{"drain", func(w *world, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		w.tell(n, "draining")
		w.sleep(4 * time.Second)
		w.tell(n, "up")
	}},
	{"cold restart", func(w *world, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		n.restart()
		w.tell(n, "up")
		w.sleep(2 * time.Second)
	}},
	{"replaced", func(w *world, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		w.tell(n, "removed")
		w.sleep(3 * time.Second)
		n.restart()
		w.tell(n, "up")
	}},
	{"bad nodes", func(w *world, rng *rand.Rand) {
		var bad []*node
		for range 1 + rng.IntN(1+len(w.nodes)/3) {
			n := w.nodes[rng.IntN(len(w.nodes))]
			n.setMood(mood(1 + rng.IntN(int(moods)-1)))
			bad = append(bad, n)
		}
		w.sleep(time.Duration(2+rng.IntN(4)) * time.Second)
		for _, n := range bad {
			n.setMood(well)
		}
	}},
	{"bad nodes", func(w *world, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		n.setMood(mood(1 + rng.IntN(int(moods)-1)))
		w.sleep(time.Duration(1+rng.IntN(4)) * time.Second)
		n.setMood(well)
	}},
}

// must ends the soak where the machine fails it.
func (w *world) must(err error) {
	if err != nil {
		w.judge.breaks(Crash, "the soak itself: %v", errors.Join(err))
	}
}
