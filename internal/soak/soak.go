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
	isStopped := func() bool {
		select {
		case <-stopMeasuring:
			return true
		default:
			return false
		}
	}
	go env.checker.lag.Run(isStopped)
	go env.checker.overflows.run(isStopped)
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

// reportError reports an error of the soak itself, such as a process that cannot be started, as a violation.
func (env *environment) reportError(err error) {
	if err != nil {
		env.checker.addViolation(Crash, "the soak itself failed: %v", errors.Join(err))
	}
}
