package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// play is one run of a case: its record, its temporary folder and the processes that it started.
type play struct {
	trouble bool
	root    string // the repository's root
	folder  string // temporary
	started time.Time
	served  atomic.Int64 // requests that were answered 200

	mu       sync.Mutex
	out      *bufio.Writer
	outFile  *os.File
	sidecars []*sidecar
}

func newPlay(recordPath string, trouble bool) (*play, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	p := &play{trouble: trouble, root: root, folder: folder, started: time.Now(), out: bufio.NewWriter(file), outFile: file}
	p.record("trouble: %v", trouble)
	return p, nil
}

// record writes a line with the time since the start in milliseconds to the record.
func (p *play) record(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%9.1f ", float64(time.Since(p.started).Microseconds())/1000)
	fmt.Fprintf(p.out, format+"\n", args...)
}

// longestPlay is the time after which a play ends itself.
const longestPlay = 110 * time.Second

// endOnSignal ends the play when it is told to, and when it takes too long.
func (p *play) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestPlay):
		}
		p.end()
		os.Exit(2)
	}()
}

// end ends all processes that the play started and removes its folder.
func (p *play) end() {
	p.mu.Lock()
	started := slices.Clone(p.sidecars)
	p.mu.Unlock()
	for _, s := range started {
		s.kill()
	}
	os.RemoveAll(p.folder)
}

func (p *play) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out.Flush()
	p.outFile.Close()
}

// sidecar is a process of the project's sidecar.
type sidecar struct {
	address string
	command *exec.Cmd
	exited  chan struct{}
	log     string // path of its log
	config  string // path of its configuration
}

// runCommand returns the command of the deploy file.
func (p *play) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, `run = "`); found {
			return strings.TrimSuffix(rest, `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no line run")
}

// startSidecar starts a sidecar with the platform's configuration and waits until it is ready. The arguments
// are appended to the command of the deploy file.
func (p *play) startSidecar(name string, config map[string]any, arguments string) (*sidecar, error) {
	command, err := p.runCommand()
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	config["name"], config["listen"] = name, address
	s := &sidecar{
		address: address, exited: make(chan struct{}),
		log: filepath.Join(p.folder, name+".log"), config: filepath.Join(p.folder, name+".json"),
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(s.config, text, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(s.log)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	s.command = exec.Command("/bin/sh", "-c", command+arguments)
	s.command.Dir = p.root
	s.command.Env = append(os.Environ(), "ROUTER_CONFIG="+s.config, "TMPDIR="+p.folder)
	s.command.Stdout, s.command.Stderr = log, log
	if err := s.command.Start(); err != nil {
		return nil, err
	}
	go func() { s.command.Wait(); close(s.exited) }()
	p.mu.Lock()
	p.sidecars = append(p.sidecars, s)
	p.mu.Unlock()
	return s, s.awaitReady()
}

func (s *sidecar) awaitReady() error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		if s.hasExited() {
			text, _ := os.ReadFile(s.log)
			return fmt.Errorf("the sidecar ended: %.300s", text)
		}
		response, err := http.Get("http://" + s.address + "/health/ready")
		if err == nil {
			io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("the sidecar is not ready after 20 s")
}

func (s *sidecar) hasExited() bool {
	select {
	case <-s.exited:
		return true
	default:
		return false
	}
}

func (s *sidecar) signal(signal syscall.Signal) { _ = s.command.Process.Signal(signal) }

func (s *sidecar) kill() {
	s.signal(syscall.SIGKILL)
	<-s.exited
}

// leastServed is how many requests have to be served for a play to say anything.
const leastServed = 100

// checkServed returns an error if the sidecar has ended by itself or has served hardly anything: the play could not
// run then.
func (p *play) checkServed(s *sidecar) error {
	if s.hasExited() {
		return errors.New("the sidecar has ended")
	}
	if n := p.served.Load(); n < leastServed {
		return fmt.Errorf("only %d requests were served", n)
	}
	return nil
}

// copyLog copies the end of the sidecar's log to the record.
func (p *play) copyLog(s *sidecar) {
	text, _ := os.ReadFile(s.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	for _, line := range lines[max(0, len(lines)-40):] {
		p.record("log %s", line)
	}
}
