// Package soak runs real sidecar processes on loopback between stand-in nodes, discovery agents and clients.
// It injects two or three faults at a time, and checks invariants on what clients and nodes observe and on what
// the sidecars' own run-time checks report. The seed determines which faults are drawn. Times are those of the
// machine, so that two runs with the same seed are similar but not identical.
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

// Config says what a soak runs.
type Config struct {
	Program           string        // path of the sidecar binary
	Dir               string        // for the sidecars' configurations and logs
	Sidecars          int           // number of sidecar processes
	Nodes             int           // number of stand-in nodes
	ClientsPerSidecar int           // number of clients, each with one connection, for each sidecar
	MeanPause         time.Duration // of a client between two requests
	Length            time.Duration // how long clients send requests
	SocketLimit       int           // of each sidecar
	Seed              uint64
	FaultLog          io.Writer // gets a line for each fault when it is injected; nil: no lines
}

// Result is the outcome of a soak.
type Result struct {
	Violations   []Violation
	Requests     int
	StatusCounts map[int]int    // responses by status
	FaultCounts  map[string]int // injected faults by name
}

const (
	// readyTimeout is how long a sidecar may take from its start until it is ready.
	readyTimeout = 20 * time.Second
	// newConnectionPeriod is how long after SIGTERM clients still open new connections.
	newConnectionPeriod = 400 * time.Millisecond
	// exitTimeout is how long after SIGTERM a sidecar must have exited.
	exitTimeout = 3700 * time.Millisecond
	// settleTime is how long before the end of the soak the last fault may start. An agent's response delay
	// also affects a change of a node, unless the delay ended more than settleTime before the sidecar counts
	// as having received the change.
	settleTime = 4 * time.Second
	// silentWatchTimeout is how long after a watch fell silent a sidecar counts as having received the
	// changes that the watch did not deliver.
	silentWatchTimeout = 6 * time.Second
)

// environment is a running soak: its processes and stand-ins, and the changes of nodes that each sidecar must
// have received.
type environment struct {
	cfg       Config
	startedAt time.Time
	endsAt    time.Time
	checker   *checker
	registry  *registry
	sidecars  []*sidecar
	nodes     []*node
	rng       *rand.Rand

	mu sync.Mutex
	// drainKnownAt is when a sidecar counts as having received a node's drain, by node and sidecar.
	drainKnownAt map[string]time.Time
	// startKnownAt is when a sidecar counts as having received a node's last start, by node and sidecar.
	startKnownAt map[string]time.Time
	faultCounts  map[string]int // by name of the fault
}

// Run runs one soak and returns its result. An error means that the soak could not be started.
func Run(cfg Config) (*Result, error) {
	env := &environment{
		cfg: cfg, startedAt: time.Now(), registry: newRegistry(), rng: rand.New(rand.NewPCG(cfg.Seed, 0)),
		drainKnownAt: make(map[string]time.Time), startKnownAt: make(map[string]time.Time),
		faultCounts: make(map[string]int),
	}
	env.checker = newChecker(env.startedAt)
	stopMeasuring := make(chan struct{})
	defer close(stopMeasuring)
	go env.checker.lag.run(func() bool {
		select {
		case <-stopMeasuring:
			return true
		default:
			return false
		}
	})
	defer env.close()
	if err := env.start(); err != nil {
		return nil, err
	}
	env.endsAt = time.Now().Add(cfg.Length)
	var running sync.WaitGroup
	for _, s := range env.sidecars {
		for i := range cfg.ClientsPerSidecar {
			c := &client{
				sidecar: s, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(100*s.number+i+1))),
				name: fmt.Sprintf("%d-%d", s.number, i),
			}
			running.Go(func() { c.run(env) })
		}
	}
	for i := range 3 { // the number of faults that overlap
		rng := rand.New(rand.NewPCG(cfg.Seed, uint64(1_000_000+i)))
		running.Go(func() { env.injectFaults(rng) })
	}
	running.Wait()
	env.terminateSidecars()
	return &Result{env.checker.violations, env.checker.requestCount, env.checker.statusCounts, env.faultCounts}, nil
}

// start starts the stand-ins and the sidecars, and waits until all sidecars are ready.
func (env *environment) start() error {
	for i := range env.cfg.Nodes {
		n, err := env.newNode(fmt.Sprintf("node-%02d", i), env.cfg.Seed+uint64(i))
		if err != nil {
			return err
		}
		env.nodes = append(env.nodes, n)
		env.setHealth(n, "up")
	}
	for i := range env.cfg.Sidecars {
		s := &sidecar{env: env, number: i, dir: filepath.Join(env.cfg.Dir, fmt.Sprint("sidecar-", i))}
		if err := os.MkdirAll(s.dir, 0o700); err != nil {
			return err
		}
		for a := range s.agents {
			var err error
			if s.agents[a], err = newAgent(env.registry); err != nil {
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
		env.sidecars = append(env.sidecars, s)
	}
	for _, s := range env.sidecars {
		if !s.awaitReady(readyTimeout) {
			return fmt.Errorf("sidecar %d did not become ready in time", s.number)
		}
	}
	return nil
}

// Sidecars listen on ports below the range from which the system assigns ports to connections, so that the port
// of a sidecar is still free when it restarts. Soaks that run at the same time start their search for a free port
// at different ports.
const (
	firstPort = 10_000
	portRange = 20_000
)

// freeAddress returns a loopback address on which no process listens. The search starts at a port that depends
// on the process id of the soak and on the number of the sidecar.
func freeAddress(sidecarNumber int) (string, error) {
	start := os.Getpid()*101 + sidecarNumber
	for step := range portRange {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+(start+step*37)%portRange)
		ln, err := net.Listen("tcp", addr)
		if err == nil {
			return addr, ln.Close()
		}
	}
	return "", errors.New("no free loopback port found")
}

// terminateSidecars terminates all sidecars concurrently and waits for the end of their logs. A sidecar that has
// already exited on its own is reported as a violation.
func (env *environment) terminateSidecars() {
	var terminating sync.WaitGroup
	for _, s := range env.sidecars {
		if err, crashed := s.hasCrashed(); crashed {
			env.checker.addViolation(Crash, "sidecar %d exited unexpectedly: %v", s.number, err)
			continue
		}
		terminating.Go(func() {
			s.terminate()
			s.logReaders.Wait()
		})
	}
	terminating.Wait()
}

// close kills the sidecars, closes their agents and stops the nodes from accepting connections.
func (env *environment) close() {
	for _, s := range env.sidecars {
		s.cmd.Process.Kill()
		for _, a := range s.agents {
			a.server.Close()
		}
	}
	for _, n := range env.nodes {
		n.ln.Close()
	}
}

// isOver reports whether the time for requests and faults has passed.
func (env *environment) isOver() bool { return time.Now().After(env.endsAt) }

// sleep sleeps for d, but not past the end of the soak.
func (env *environment) sleep(d time.Duration) { time.Sleep(min(d, max(0, time.Until(env.endsAt)))) }

// setHealth sets a node's health in the registry. A sidecar counts as having received the change at once, or,
// while a fault affects its agent, at the time when the sidecar must have received the change at the latest.
func (env *environment) setHealth(n *node, health string) {
	n.mu.Lock()
	n.health = health
	startMS := int64(0)
	if !n.startedAt.IsZero() {
		startMS = n.startedAt.UnixMilli()
	}
	n.mu.Unlock()
	env.mu.Lock()
	for _, s := range env.sidecars {
		key := fmt.Sprint(n.name, "/", s.number)
		knownAt := time.Now()
		s.mu.Lock()
		if applied := s.discoveryChangedAt.Add(4 * time.Second); applied.After(knownAt) {
			knownAt = applied // a new configuration may take 4 s to take effect
		}
		a := s.agents[s.activeAgent]
		s.mu.Unlock()
		a.mu.Lock()
		if a.downUntil.After(knownAt) {
			knownAt = a.downUntil
		}
		if recovered := a.watchesMutedAt.Add(silentWatchTimeout); recovered.After(knownAt) && !a.watchesMutedAt.IsZero() {
			knownAt = recovered // a watch that has fallen silent does not deliver the change
		}
		knownAt = knownAt.Add(2 * a.responseDelay) // one delay for the complete list, one for the watch
		a.mu.Unlock()
		if health == "up" {
			delete(env.drainKnownAt, key)
			env.startKnownAt[key] = knownAt
		} else if _, known := env.drainKnownAt[key]; !known {
			env.drainKnownAt[key] = knownAt
		}
	}
	env.mu.Unlock()
	env.registry.set(hostEntry{
		Host: n.name, Dial: n.ln.Addr().String(), Site: "a", Class: "m", Block: 1,
		Health: health, Share: 1, BornMS: startMS,
	})
}

// checkArrival checks the invariants Drain and WarmUpOverload for a request that has reached a node. The request may
// have waited for up to delay before the node read it.
func (env *environment) checkArrival(n *node, id string, delay time.Duration) {
	var number int
	if _, err := fmt.Sscanf(id, "%d-", &number); err != nil || number >= len(env.sidecars) {
		return
	}
	s, now := env.sidecars[number], time.Now().Add(-delay)
	key := fmt.Sprint(n.name, "/", number)
	env.mu.Lock()
	drainKnownAt, draining := env.drainKnownAt[key]
	startKnownAt := env.startKnownAt[key]
	env.mu.Unlock()
	// A sidecar with pushed lists does not detect a slow agent, so silentWatchTimeout is added.
	if s.agent().delayedSince(drainKnownAt.Add(-settleTime)) {
		drainKnownAt = drainKnownAt.Add(silentWatchTimeout)
	}
	if s.agent().delayedSince(startKnownAt.Add(-settleTime)) {
		startKnownAt = startKnownAt.Add(silentWatchTimeout)
	}
	s.mu.Lock()
	stalledUntil, processStartedAt := s.stalledUntil, s.startedAt
	s.mu.Unlock()
	if drainKnownAt.Before(processStartedAt) {
		// A new process has received the drain by its start, because it needs a list before it sends requests.
		drainKnownAt = processStartedAt
	}
	if stalledUntil.After(drainKnownAt) {
		drainKnownAt = stalledUntil
	}
	if late := now.Sub(drainKnownAt); draining && late > drainGrace+stallSlack+env.checker.lag.slack() {
		env.checker.addViolation(Drain, "%s was sent to %s %v after the sidecar had received the drain", id, n.name, late)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	age := now.Sub(n.startedAt)
	if n.startedAt.IsZero() || age > slowStartDuration {
		return
	}
	n.arrivals = append(n.arrivals, arrival{now, number, !startKnownAt.After(now)})
	inWindow, withStartKnown := 0, 0
	for _, a := range n.arrivals {
		if now.Sub(a.at) <= slowStartOverloadWindow {
			inWindow++
			if a.startKnown {
				withStartKnown++
			}
		}
	}
	capacity := fleetQuota / float64(env.cfg.Nodes) * (slowStartInitialShare +
		(1-slowStartInitialShare)*max(0, age-slowStartOverloadWindow).Seconds()/slowStartDuration.Seconds())
	// The budget applies if more than two thirds of the requests come from sidecars that have received the start.
	if limit := requestBudget(
		slowStartOverloadFactor * capacity * slowStartOverloadWindow.Seconds(),
	); float64(inWindow) > limit && 3*withStartKnown > 2*inWindow {
		knownAt := func(sidecar int) time.Time { return env.startKnown(n.name, sidecar) }
		env.checker.addViolation(WarmUpOverload, "%s, started %v ago, got %d requests within %v, want at most %.0f; "+
			"by sidecar, with the time for which it has known the start: %s", n.name, age, inWindow, slowStartOverloadWindow, limit,
			describeArrivals(n.arrivals, now.Add(-slowStartOverloadWindow), now, knownAt))
	}
}

// startKnown returns when a sidecar counts as having received a node's last start.
func (env *environment) startKnown(nodeName string, sidecar int) time.Time {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.startKnownAt[fmt.Sprint(nodeName, "/", sidecar)]
}

// injectFaults injects one fault after the other, with a pause of less than 0.5 s before each, until less than
// settleTime is left.
func (env *environment) injectFaults(rng *rand.Rand) {
	for !env.isOver() {
		env.sleep(time.Duration(rng.Int64N(int64(500 * time.Millisecond))))
		if time.Until(env.endsAt) < settleTime {
			return
		}
		fault := faults[rng.IntN(len(faults))]
		env.mu.Lock()
		env.faultCounts[fault.name]++
		if env.cfg.FaultLog != nil {
			fmt.Fprintf(env.cfg.FaultLog, "%8.3f %s\n", time.Since(env.startedAt).Seconds(), fault.name)
		}
		env.mu.Unlock()
		fault.inject(env, rng)
	}
}

// drawSidecar draws a sidecar for a fault that acts on its process. It returns nil if the drawn sidecar is not
// ready, is terminating or is stalled, because another fault is acting on that process.
func (env *environment) drawSidecar(rng *rand.Rand) *sidecar {
	s := env.sidecars[rng.IntN(len(env.sidecars))]
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready || !s.terminatedAt.IsZero() || time.Now().Before(s.stalledUntil) {
		return nil
	}
	return s
}

// faults lists the faults from which a soak draws. inject returns when the fault has ended or has been injected.
var faults = []struct {
	name   string
	inject func(*environment, *rand.Rand)
}{
	{"planned restart", func(env *environment, rng *rand.Rand) {
		if s := env.drawSidecar(rng); s != nil {
			s.terminate()
			env.reportError(s.start())
			s.awaitReady(readyTimeout)
		}
	}},
	{"kill", func(env *environment, rng *rand.Rand) {
		if s := env.drawSidecar(rng); s != nil {
			env.reportError(s.killAndRestart())
		}
	}},
	{"stop and go on", func(env *environment, rng *rand.Rand) {
		if s := env.drawSidecar(rng); s != nil {
			s.stall(time.Duration(400+rng.IntN(1300)) * time.Millisecond)
		}
	}},
	{"new configuration", func(env *environment, rng *rand.Rand) {
		s := env.drawSidecar(rng)
		if s == nil {
			return
		}
		s.mu.Lock()
		s.activeAgent, s.discoveryChangedAt = 1-s.activeAgent, time.Now()
		text := s.config()
		s.mu.Unlock()
		env.reportError(s.writeConfig(text))
		s.signal(syscall.SIGHUP)
		if rng.IntN(2) == 0 { // Shortly after, an unreadable configuration and then the valid one again.
			time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			env.reportError(s.writeConfig(text[:len(text)/2]))
			s.signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
			env.reportError(s.writeConfig(text))
			s.signal(syscall.SIGHUP)
		}
	}},
	{"discovery down", func(env *environment, rng *rand.Rand) {
		d := time.Duration(1+rng.IntN(5)) * time.Second
		for _, s := range env.sidecars {
			for _, a := range s.agents {
				a.stopResponding(d)
			}
		}
		env.sleep(d)
	}},
	{"watches fall silent", func(env *environment, rng *rand.Rand) {
		for _, s := range env.sidecars {
			s.agent().muteWatches()
		}
		env.sleep(2 * time.Second)
	}},
	{"watches are reset", func(env *environment, rng *rand.Rand) {
		for _, s := range env.sidecars {
			s.agent().resetWatches()
		}
	}},
	{"slow discovery", func(env *environment, rng *rand.Rand) {
		for _, s := range env.sidecars {
			s.agent().setResponseDelay(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
		env.sleep(3 * time.Second)
		for _, s := range env.sidecars {
			for _, a := range s.agents {
				a.setResponseDelay(0)
			}
		}
	}},
	{"drain", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		env.setHealth(n, "draining")
		env.sleep(4 * time.Second)
		env.setHealth(n, "up")
	}},
	{"cold restart", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		n.restart()
		env.setHealth(n, "up")
		env.sleep(2 * time.Second)
	}},
	{"replaced", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		env.setHealth(n, "removed")
		env.sleep(3 * time.Second)
		n.restart()
		env.setHealth(n, "up")
	}},
	{"bad nodes", func(env *environment, rng *rand.Rand) {
		var faulty []*node
		for range 1 + rng.IntN(1+len(env.nodes)/3) {
			n := env.nodes[rng.IntN(len(env.nodes))]
			n.setBehaviour(nodeBehaviour(1 + rng.IntN(int(nodeBehaviourCount)-1)))
			faulty = append(faulty, n)
		}
		env.sleep(time.Duration(2+rng.IntN(4)) * time.Second)
		for _, n := range faulty {
			n.setBehaviour(healthy)
		}
	}},
	{"bad nodes", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		n.setBehaviour(nodeBehaviour(1 + rng.IntN(int(nodeBehaviourCount)-1)))
		env.sleep(time.Duration(1+rng.IntN(4)) * time.Second)
		n.setBehaviour(healthy)
	}},
}

// reportError reports an error of the soak itself, such as a process that cannot be started, as a violation.
func (env *environment) reportError(err error) {
	if err != nil {
		env.checker.addViolation(Crash, "the soak itself failed: %v", errors.Join(err))
	}
}
