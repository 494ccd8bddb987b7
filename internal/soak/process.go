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

// sidecar is one real sidecar process. Its name and address stay the same when the process is restarted.
type sidecar struct {
	env         *environment
	number      int
	addr        string
	dir         string
	agents      [2]*agent
	activeAgent int // index of the agent that the configuration names

	mu                 sync.Mutex
	cmd                *exec.Cmd
	exited             chan error // the result of cmd.Wait
	startedAt          time.Time  // start of the current process
	ready              bool
	terminatedAt       time.Time // when SIGTERM was sent; zero: not sent
	killed             bool
	stalledUntil       time.Time // end of the current or last stall (SIGSTOP)
	discoveryChangedAt time.Time // when the configuration last named another agent
	logReaders         sync.WaitGroup
}

// classSettings returns the request classes in the form of the sidecar's settings.
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

// Values of the sidecar's settings that the checks need too.
const (
	fleetQuota              = 100.0 // requests per second of all sidecars and nodes together
	slowStartInitialShare   = 0.3   // of its capacity that a cold node starts with
	slowStartDuration       = 8 * time.Second
	slowStartOverloadFactor = 2.5 // multiple of its capacity at the moment that a cold node may get
	slowStartOverloadWindow = time.Second
)

func (s *sidecar) writeConfig(text []byte) error {
	return os.WriteFile(filepath.Join(s.dir, "config.json"), text, 0o600)
}

// config returns the sidecar's configuration file. The caller holds s.mu.
func (s *sidecar) config() []byte {
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("n", s.number), "listen": s.addr, "discovery": s.agents[s.activeAgent].addr(),
		"seed":   fmt.Sprintf("%x", 1000+s.number),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": s.env.cfg.SocketLimit},
		"settings": map[string]any{
			"balancers": s.env.cfg.Sidecars,
			"caps": map[string]any{
				"may_cancel": true, "probes": s.number%2 == 0, "most_tries": 3,
				"dial_timeout_ms": 250 + 1250*(s.number%2), "conn_idle_ms": 6000, "max_retry_after_ms": 1200,
			},
			"classes": classSettings(), "discovery": "push", "zones": []any{"a"},
			"orgs": []any{map[string]any{"name": "north", "share": 1, "quota_per_s": fleetQuota}},
			"rules": map[string]any{
				"cold_from": slowStartInitialShare, "cold_ms": slowStartDuration.Milliseconds(),
				"fall_multiple": slowStartOverloadFactor, "overload_for_ms": slowStartOverloadWindow.Milliseconds(),
				"stop_sending_within_ms": drainGrace.Milliseconds(),
			},
		},
	})
	if err != nil {
		panic(err)
	}
	return text
}

// logUnreadPeriod is the time after the start of every fourth sidecar during which its log is not read.
const logUnreadPeriod = 5 * time.Second

// start starts the process. Every third sidecar gets so few file descriptors that it runs out of them.
// The log pipe of every fourth sidecar is full at the start and is not read during logUnreadPeriod.
func (s *sidecar) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.writeConfig(s.config()); err != nil {
		return err
	}
	cmd := exec.Command(s.env.cfg.Program)
	if s.number%3 == 0 { // A shell lowers the descriptor limit below the one in the settings.
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
	s.cmd, s.startedAt, s.ready, s.terminatedAt, s.killed, s.exited =
		cmd, time.Now(), false, time.Time{}, false, make(chan error, 1)
	go func(exited chan<- error) { exited <- cmd.Wait() }(s.exited)
	return nil
}

// fillPipe fills a pipe, so that the next write to it blocks.
func fillPipe(w *os.File) {
	raw, err := w.SyscallConn()
	if err != nil {
		return
	}
	newlines := bytes.Repeat([]byte("\n"), 4096)
	raw.Write(func(fd uintptr) bool {
		for {
			if _, err := syscall.Write(int(fd), newlines); err != nil {
				return true // the pipe is full
			}
		}
	})
}

// readLog copies the process's log to a file and reports the violations, panics and data races in it.
// If unread is true, it starts to read only after logUnreadPeriod. It skips the empty lines that fillPipe
// wrote.
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
		if line := lines.Text(); strings.Contains(line, "invariant violated") || strings.HasPrefix(line, "panic:") ||
			strings.Contains(line, "DATA RACE") {
			s.env.checker.addViolation(Check, "sidecar %d: %s", s.number, line)
		}
	}
}

// awaitReady waits until the sidecar reports that it is ready, so that clients may send requests. It returns
// false if the sidecar is not ready within the timeout.
func (s *sidecar) awaitReady(timeout time.Duration) bool {
	httpClient := &http.Client{Timeout: time.Second}
	defer httpClient.CloseIdleConnections()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := httpClient.Get("http://" + s.addr + "/health/ready")
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

// agent returns the discovery agent that the configuration names.
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

// killAndRestart kills the process, whose open requests are lost, and starts a new one.
func (s *sidecar) killAndRestart() error {
	s.mu.Lock()
	s.killed, s.ready = true, false
	s.cmd.Process.Kill()
	exited := s.exited
	s.mu.Unlock()
	<-exited
	if err := s.start(); err != nil {
		return err
	}
	s.awaitReady(readyTimeout)
	return nil
}

// terminate sends SIGTERM to the process, as a planned restart does. The process must exit by itself, without
// an error and within exitTimeout; otherwise terminate reports a violation, and kills a process that is still
// running.
func (s *sidecar) terminate() {
	s.mu.Lock()
	s.terminatedAt = time.Now()
	s.cmd.Process.Signal(syscall.SIGTERM)
	cmd, exited := s.cmd, s.exited
	s.mu.Unlock()
	select {
	case err := <-exited:
		if err != nil {
			s.env.checker.addViolation(Crash, "sidecar %d exited after SIGTERM with an error: %v", s.number, err)
		}
	case <-time.After(exitTimeout + s.env.checker.lag.slack()):
		cmd.Process.Kill()
		<-exited
		s.env.checker.addViolation(Crash, "sidecar %d was still running %v after SIGTERM", s.number, exitTimeout)
	}
	s.mu.Lock()
	s.ready = false
	s.mu.Unlock()
}

// stall stops the process for d, as happens on a machine that is short of processor time.
func (s *sidecar) stall(d time.Duration) {
	s.mu.Lock()
	s.stalledUntil = time.Now().Add(d + schedulingSlack)
	s.mu.Unlock()
	s.signal(syscall.SIGSTOP)
	time.Sleep(d)
	s.signal(syscall.SIGCONT)
}

// hasCrashed reports whether the process has exited although the soak neither terminated nor killed it. It
// also returns the process's error, which may be nil.
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

// acceptsRequests reports whether clients may send requests on new connections (newConns) and on connections
// that are already open (openConns).
func (s *sidecar) acceptsRequests() (newConns, openConns bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return false, false
	}
	return s.terminatedAt.IsZero() || time.Since(s.terminatedAt) < newConnectionPeriod, true
}

// excusedSince reports whether a request that has been open since from may get no response, because the process has
// been killed, or was started or still stalled after from.
func (s *sidecar) excusedSince(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.killed || s.startedAt.After(from) || s.stalledUntil.After(from)
}
