package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sidecar is one real process, under the same name and address through its restarts.
type sidecar struct {
	env         *environment
	number      int
	addr        string
	dir         string
	agents      [2]*agent
	activeAgent int // which of them the configuration names

	mu                 sync.Mutex
	cmd                *exec.Cmd
	exited             chan error
	startedAt          time.Time // of the process
	ready              bool
	terminatedAt       time.Time // SIGTERM was sent; zero: it was not
	killed             bool
	stalledUntil       time.Time // it is or was stopped (SIGSTOP) until then
	discoveryChangedAt time.Time // it was told of another discovery
	logReaders         sync.WaitGroup
}

// classSettings are those of the classes, in the settings' words.
func classSettings() []any {
	var all []any
	for _, c := range classes {
		all = append(all, map[string]any{
			"name": c.name, "semantics": c.idempotency, "dedup_scope": "all", "window_ms": c.dedupWindow.Milliseconds(),
			"aim_ms": c.deadline.Milliseconds() / 2, "hard_limit_ms": c.deadline.Milliseconds(), "worth": 1,
		})
	}
	return all
}

// The figures of the settings that the judge needs.
const (
	fleetQuota              = 100.0 // requests a second of all sidecars and nodes together
	slowStartInitialShare   = 0.3
	slowStartDuration       = 8 * time.Second
	slowStartOverloadFactor = 2.5
	slowStartOverloadWindow = time.Second
)

func (s *sidecar) writeConfig(text []byte) error {
	return os.WriteFile(filepath.Join(s.dir, "config.json"), text, 0o600)
}

func (s *sidecar) config() []byte {
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", s.number), "listen": s.addr, "discovery": s.agents[s.activeAgent].addr(), "seed": fmt.Sprintf("%x", 1000+s.number),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": s.env.cfg.SocketLimit},
		"settings": map[string]any{
			"balancers": s.env.cfg.Sidecars,
			"caps": map[string]any{
				"may_cancel": true, "probes": s.number%2 == 0, "most_tries": 3, "dial_timeout_ms": 250 + 1250*(s.number%2), "conn_idle_ms": 6000, "max_retry_after_ms": 1200,
			},
			"classes": classSettings(), "discovery": "push", "zones": []any{"a"},
			"orgs":  []any{map[string]any{"name": "north", "share": 1, "quota_per_s": fleetQuota}},
			"rules": map[string]any{"cold_from": slowStartInitialShare, "cold_ms": slowStartDuration.Milliseconds(), "fall_multiple": slowStartOverloadFactor, "overload_for_ms": slowStartOverloadWindow.Milliseconds(), "stop_sending_within_ms": drainGrace.Milliseconds()},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// logUnreadPeriod is how long nobody reads the log of every fourth process.
const logUnreadPeriod = 5 * time.Second

// start starts the process. Every third has so few descriptors that it runs out of them,
// and every fourth a log that nobody reads.
func (s *sidecar) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeConfig(s.config()); err != nil {
		return err
	}
	cmd := exec.Command(s.env.cfg.Program)
	if s.number%3 == 0 { // a shim: less than the settings say
		cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %q", s.env.cfg.SocketLimit/4, s.env.cfg.Program))
	}
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+filepath.Join(s.dir, "config.json"))
	r, w, err := os.Pipe()
	if err != nil {
		return err
	}
	unread := s.number%4 == 1
	if unread {
		fillPipe(w)
	}
	cmd.Stderr = w
	if err := cmd.Start(); err != nil {
		r.Close()
		w.Close()
		return err
	}
	w.Close()
	s.logReaders.Go(func() { s.readLog(r, unread) })
	s.cmd, s.startedAt, s.ready, s.terminatedAt, s.killed, s.exited = cmd, time.Now(), false, time.Time{}, false, make(chan error, 1)
	go func(ended chan<- error) { ended <- cmd.Wait() }(s.exited)
	return nil
}

// fillPipe fills a pipe, so that whoever writes to it next waits.
func fillPipe(w *os.File) {
	raw, err := w.SyscallConn()
	if err != nil {
		return
	}
	line := bytes.Repeat([]byte("\n"), 4096)
	raw.Write(func(fd uintptr) bool {
		for {
			if _, err := syscall.Write(int(fd), line); err != nil {
				return true // it takes no more
			}
		}
	})
}

// readLog keeps the log, and looks for broken rules in it.
func (s *sidecar) readLog(r *os.File, unread bool) {
	defer r.Close()
	f, err := os.OpenFile(filepath.Join(s.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return
	}
	defer f.Close()
	if unread {
		time.Sleep(logUnreadPeriod)
	}
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		if lines.Text() == "" {
			continue
		}
		fmt.Fprintln(f, lines.Text())
		if line := lines.Text(); strings.Contains(line, "a rule was broken") || strings.HasPrefix(line, "panic:") || strings.Contains(line, "DATA RACE") {
			s.env.checker.addViolation(Check, "sidecar %d: %s", s.number, line)
		}
	}
}

// awaitReady waits until clients may begin to send.
func (s *sidecar) awaitReady(within time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + s.addr + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			s.mu.Lock()
			s.ready = true
			s.mu.Unlock()
			return true
		}
	}
	return false
}

// agent returns the discovery that the configuration names.
func (s *sidecar) agent() *agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agents[s.activeAgent]
}

// signal sends a signal to the process.
func (s *sidecar) signal(sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cmd.Process.Signal(sig)
}

// killAndRestart ends the process with what it holds, and starts it anew.
func (s *sidecar) killAndRestart() error {
	s.mu.Lock()
	s.killed, s.ready = true, false
	s.cmd.Process.Kill()
	ended := s.exited
	s.mu.Unlock()
	<-ended
	if err := s.start(); err != nil {
		return err
	}
	s.awaitReady(readyTimeout)
	return nil
}

// terminate ends the process as a planned restart does. It has to end by itself.
func (s *sidecar) terminate() {
	s.mu.Lock()
	s.terminatedAt = time.Now()
	s.cmd.Process.Signal(syscall.SIGTERM)
	cmd, ended := s.cmd, s.exited
	s.mu.Unlock()
	select {
	case err := <-ended:
		if err != nil {
			s.env.checker.addViolation(Crash, "sidecar %d ended with %v", s.number, err)
		}
	case <-time.After(exitTimeout + s.env.checker.lag.slack()):
		cmd.Process.Kill()
		<-ended
		s.env.checker.addViolation(Crash, "sidecar %d had not ended %v after SIGTERM", s.number, exitTimeout)
	}
	s.mu.Lock()
	s.ready = false
	s.mu.Unlock()
}

// stall stops the process for a while, as a machine that is short of processor does.
func (s *sidecar) stall(d time.Duration) {
	s.mu.Lock()
	s.stalledUntil = time.Now().Add(d + schedulingSlack)
	s.mu.Unlock()
	s.signal(syscall.SIGSTOP)
	time.Sleep(d)
	s.signal(syscall.SIGCONT)
}

// hasCrashed says whether the process has ended though nobody told it to.
func (s *sidecar) hasCrashed() (error, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.terminatedAt.IsZero() || s.killed && !s.ready {
		return nil, false
	}
	select {
	case err := <-s.exited:
		s.exited <- err
		return err, true
	default:
		return nil, false
	}
}

// acceptsRequests says whether clients may send: on connections of their own making, and on those
// that they have.
func (s *sidecar) acceptsRequests() (fresh, kept bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return false, false
	}
	return s.terminatedAt.IsZero() || time.Since(s.terminatedAt) < newConnectionPeriod, true
}

// excusedSince says whether a request that was open from a time on may have no answer: the
// process was killed, or could not run.
func (s *sidecar) excusedSince(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed || s.startedAt.After(from) || s.stalledUntil.After(from)
}
