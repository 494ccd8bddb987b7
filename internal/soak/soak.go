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
	Program           string        // the sidecar's
	Dir               string        // for configurations and logs
	Sidecars          int           // processes
	Nodes             int           // stand-ins
	ClientsPerSidecar int           // clients' connections for each sidecar
	MeanPause         time.Duration // of a worker between two requests, on the mean
	Duration          time.Duration
	SocketLimit       int // the sidecars' limit
	Seed              uint64
	FaultLog          io.Writer // troubles as they come; nil: none
}

// Result is how a soak went.
type Result struct {
	Violations   []Violation
	Requests     int
	StatusCounts map[int]int // by status
	FaultCounts  map[string]int
}

const (
	readyTimeout        = 20 * time.Second
	newConnectionPeriod = 400 * time.Millisecond // after SIGTERM
	exitTimeout         = 3700 * time.Millisecond
	settleTime          = 4 * time.Second // behind the last request
	silentWatchTimeout  = 6 * time.Second // what a watch misses counts as told so long after it fell silent
)

// environment is a soak under way.
type environment struct {
	cfg       Config
	startedAt time.Time
	endsAt    time.Time
	checker   *checker
	registry  *registry
	sidecars  []*sidecar
	nodes     []*node
	rng       *rand.Rand

	mu           sync.Mutex
	drainKnownAt map[string]time.Time // when a node's drain counts as told, by node and sidecar
	startKnownAt map[string]time.Time // the same of its last start
	faultCounts  map[string]int
}

// Run runs a soak.
func Run(cfg Config) (*Result, error) {
	w := &environment{
		cfg: cfg, startedAt: time.Now(), registry: newRegistry(), rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		drainKnownAt: make(map[string]time.Time), startKnownAt: make(map[string]time.Time), faultCounts: make(map[string]int),
	}
	w.checker = newChecker(w.startedAt)
	measured := make(chan struct{})
	defer close(measured)
	go w.checker.lag.run(func() bool {
		select {
		case <-measured:
			return true
		default:
			return false
		}
	})
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	w.endsAt = time.Now().Add(cfg.Duration)
	var running sync.WaitGroup
	for _, s := range w.sidecars {
		for i := range cfg.ClientsPerSidecar {
			k := &client{sidecar: s, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100*s.number+i+1))), name: fmt.Sprintf("%d-%d", s.number, i)}
			running.Go(func() { k.run(w) })
		}
	}
	for i := range 3 { // that many troubles overlap
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(1_000_000+i)))
		running.Go(func() { w.injectFaults(rng) })
	}
	running.Wait()
	w.terminateSidecars()
	return &Result{w.checker.violations, w.checker.requestCount, w.checker.statusCounts, w.faultCounts}, nil
}

// start starts the stand-ins and the sidecars.
func (w *environment) start() error {
	for i := range w.cfg.Nodes {
		n, err := w.newNode(fmt.Sprintf("node-%02d", i), w.cfg.Seed+uint64(i))
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		w.setHealth(n, "up")
	}
	for i := range w.cfg.Sidecars {
		s := &sidecar{env: w, number: i, dir: filepath.Join(w.cfg.Dir, fmt.Sprint("sidecar-", i))}
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
		for a := range s.agents {
			var err error
			if s.agents[a], err = newAgent(w.registry); err != nil {
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
		if !s.awaitReady(readyTimeout) {
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

// terminateSidecars ends all sidecars in order, and looks at how they do.
func (w *environment) terminateSidecars() {
	var ending sync.WaitGroup
	for _, s := range w.sidecars {
		if err, crashed := s.hasCrashed(); crashed {
			w.checker.addViolation(Crash, "sidecar %d has ended: %v", s.number, err)
			continue
		}
		ending.Go(func() {
			s.terminate()
			s.logReaders.Wait()
		})
	}
	ending.Wait()
}

func (w *environment) close() {
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

func (w *environment) isOver() bool { return time.Now().After(w.endsAt) }

// sleep sleeps, but not past the end.
func (w *environment) sleep(d time.Duration) { time.Sleep(min(d, max(0, time.Until(w.endsAt)))) }

// setHealth puts a node's health into the list. For each sidecar it counts as told at once, or
// once its agent is back.
func (w *environment) setHealth(n *node, health string) {
	n.mu.Lock()
	n.health = health
	born := int64(0)
	if !n.startedAt.IsZero() {
		born = n.startedAt.UnixMilli()
	}
	n.mu.Unlock()
	w.mu.Lock()
	for _, s := range w.sidecars {
		key := fmt.Sprint(n.name, "/", s.number)
		at := time.Now()
		s.mu.Lock()
		if moved := s.discoveryChangedAt.Add(4 * time.Second); moved.After(at) {
			at = moved // a new configuration counts 4 s later
		}
		a := s.agents[s.activeAgent]
		s.mu.Unlock()
		a.mu.Lock()
		if a.downUntil.After(at) {
			at = a.downUntil
		}
		if silent := a.watchesMutedAt.Add(silentWatchTimeout); silent.After(at) && !a.watchesMutedAt.IsZero() {
			at = silent // what a watch misses that has fallen silent
		}
		at = at.Add(2 * a.responseDelay) // the whole list, and a watch
		a.mu.Unlock()
		if health == "up" {
			delete(w.drainKnownAt, key)
			w.startKnownAt[key] = at
		} else if _, known := w.drainKnownAt[key]; !known {
			w.drainKnownAt[key] = at
		}
	}
	w.mu.Unlock()
	w.registry.set(hostEntry{Host: n.name, Dial: n.ln.Addr().String(), Site: "a", Class: "m", Block: 1, Health: health, Share: 1, BornMS: born})
}

// checkArrival holds a request that has reached a node against the rules on drains and on
// cold nodes.
func (w *environment) checkArrival(n *node, id string, delay time.Duration) {
	var number int
	if _, err := fmt.Sscanf(id, "%d-", &number); err != nil || number >= len(w.sidecars) {
		return
	}
	s, now := w.sidecars[number], time.Now().Add(-delay)
	key := fmt.Sprint(n.name, "/", number)
	w.mu.Lock()
	told, draining := w.drainKnownAt[key]
	start := w.startKnownAt[key]
	w.mu.Unlock()
	if s.agent().delayedSince(told.Add(-settleTime)) { // pushed lists know no slow agent: the longest time counts
		told = told.Add(silentWatchTimeout)
	}
	if s.agent().delayedSince(start.Add(-settleTime)) {
		start = start.Add(silentWatchTimeout)
	}
	s.mu.Lock()
	held, begun := s.stalledUntil, s.startedAt
	s.mu.Unlock()
	if told.Before(begun) {
		told = begun // from the first moment of a new process, which needs one
	}
	if held.After(told) {
		told = held
	}
	if late := now.Sub(told); draining && late > drainGrace+stallSlack+w.checker.lag.slack() {
		w.checker.addViolation(Drain, "%s was sent to %s %v after its drain was told", id, n.name, late)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	age := now.Sub(n.startedAt)
	if n.startedAt.IsZero() || age > slowStartDuration {
		return
	}
	n.arrivals = append(n.arrivals, arrival{now, !start.After(now)})
	inWindow, toldOf := 0, 0
	for _, a := range n.arrivals {
		if now.Sub(a.at) <= slowStartOverloadWindow {
			inWindow++
			if a.startKnown {
				toldOf++
			}
		}
	}
	capacity := fleetQuota / float64(w.cfg.Nodes) * (slowStartInitialShare + (1-slowStartInitialShare)*max(0, age-slowStartOverloadWindow).Seconds()/slowStartDuration.Seconds())
	if most := requestBudget(slowStartOverloadFactor * capacity * slowStartOverloadWindow.Seconds()); float64(inWindow) > most && 3*toldOf > 2*inWindow {
		w.checker.addViolation(Failback, "%s, %v old, got %d requests within %v, at most %.0f", n.name, age, inWindow, slowStartOverloadWindow, most)
	}
}

// injectFaults plays one injectFaults after the other.
func (w *environment) injectFaults(rng *rand.Rand) {
	for !w.isOver() {
		w.sleep(time.Duration(rng.Int64N(int64(500 * time.Millisecond))))
		if time.Until(w.endsAt) < settleTime {
			return
		}
		t := faults[rng.IntN(len(faults))]
		w.mu.Lock()
		w.faultCounts[t.name]++
		if w.cfg.FaultLog != nil {
			fmt.Fprintf(w.cfg.FaultLog, "%8.3f %s\n", time.Since(w.startedAt).Seconds(), t.name)
		}
		w.mu.Unlock()
		t.play(w, rng)
	}
}

// drawSidecar draws one and claims it for a trouble that takes its process; nil: it is
// another's.
func (w *environment) drawSidecar(rng *rand.Rand) *sidecar {
	s := w.sidecars[rng.IntN(len(w.sidecars))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready || !s.terminatedAt.IsZero() || time.Now().Before(s.stalledUntil) {
		return nil
	}
	return s
}

// faults are what may happen.
var faults = []struct {
	name string
	play func(*environment, *rand.Rand)
}{
	{"planned restart", func(w *environment, rng *rand.Rand) {
		if s := w.drawSidecar(rng); s != nil {
			s.terminate()
			w.reportError(s.start())
			s.awaitReady(readyTimeout)
		}
	}},
	{"kill", func(w *environment, rng *rand.Rand) {
		if s := w.drawSidecar(rng); s != nil {
			w.reportError(s.killAndRestart())
		}
	}},
	{"stop and go on", func(w *environment, rng *rand.Rand) {
		if s := w.drawSidecar(rng); s != nil {
			s.stall(time.Duration(400+rng.IntN(1300)) * time.Millisecond)
		}
	}},
	{"new configuration", func(w *environment, rng *rand.Rand) {
		s := w.drawSidecar(rng)
		if s == nil {
			return
		}
		s.mu.Lock()
		s.activeAgent, s.discoveryChangedAt = 1-s.activeAgent, time.Now()
		text := s.config()
		s.mu.Unlock()
		w.reportError(s.writeConfig(text))
		s.signal(syscall.SIGHUP)
		if rng.IntN(2) == 0 { // and at once one that cannot be read
			time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			w.reportError(s.writeConfig(text[:len(text)/2]))
			s.signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
			w.reportError(s.writeConfig(text))
			s.signal(syscall.SIGHUP)
		}
	}},
	{"discovery down", func(w *environment, rng *rand.Rand) {
		d := time.Duration(1+rng.IntN(5)) * time.Second
		for _, s := range w.sidecars {
			for _, a := range s.agents {
				a.stopResponding(d)
			}
		}
		w.sleep(d)
	}},
	{"watches fall silent", func(w *environment, rng *rand.Rand) {
		for _, s := range w.sidecars {
			s.agent().muteWatches()
		}
		w.sleep(2 * time.Second)
	}},
	{"watches are reset", func(w *environment, rng *rand.Rand) {
		for _, s := range w.sidecars {
			s.agent().resetWatches()
		}
	}},
	{"slow discovery", func(w *environment, rng *rand.Rand) {
		for _, s := range w.sidecars {
			s.agent().setResponseDelay(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
		w.sleep(3 * time.Second)
		for _, s := range w.sidecars {
			for _, a := range s.agents {
				a.setResponseDelay(0)
			}
		}
	}},
	{"drain", func(w *environment, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		w.setHealth(n, "draining")
		w.sleep(4 * time.Second)
		w.setHealth(n, "up")
	}},
	{"cold restart", func(w *environment, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		n.restart()
		w.setHealth(n, "up")
		w.sleep(2 * time.Second)
	}},
	{"replaced", func(w *environment, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		w.setHealth(n, "removed")
		w.sleep(3 * time.Second)
		n.restart()
		w.setHealth(n, "up")
	}},
	{"bad nodes", func(w *environment, rng *rand.Rand) {
		var bad []*node
		for range 1 + rng.IntN(1+len(w.nodes)/3) {
			n := w.nodes[rng.IntN(len(w.nodes))]
			n.setBehaviour(nodeBehaviour(1 + rng.IntN(int(nodeBehaviourCount)-1)))
			bad = append(bad, n)
		}
		w.sleep(time.Duration(2+rng.IntN(4)) * time.Second)
		for _, n := range bad {
			n.setBehaviour(healthy)
		}
	}},
	{"bad nodes", func(w *environment, rng *rand.Rand) {
		n := w.nodes[rng.IntN(len(w.nodes))]
		n.setBehaviour(nodeBehaviour(1 + rng.IntN(int(nodeBehaviourCount)-1)))
		w.sleep(time.Duration(1+rng.IntN(4)) * time.Second)
		n.setBehaviour(healthy)
	}},
}

// reportError ends the soak where the machine fails it.
func (w *environment) reportError(err error) {
	if err != nil {
		w.checker.addViolation(Crash, "the soak itself: %v", errors.Join(err))
	}
}
