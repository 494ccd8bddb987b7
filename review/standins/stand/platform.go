package stand

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Settings are the settings of toowoomba-hives in the form of the wire page, for a deployment of a few
// sidecars. A case may change them before the start.
func Settings() map[string]any {
	return map[string]any{
		"balancers": 1, "zone": 0, "period_ms": 5, "discovery": "push", "zones": []string{"anzac-st-depot"},
		"caps": map[string]any{
			"most_tries": 3, "may_cancel": true, "probes": true, "second_copies": true, "retry_after": false,
			"max_retry_after_ms": 1200, "dial_timeout_ms": 250, "conn_idle_ms": 30000, "streams_per_conn": 1,
		},
		"rules": map[string]any{
			"cold_from": 0.32, "cold_ms": 8500, "fall_multiple": 2.5, "overload_for_ms": 1000, "ask_within_ms": 10000,
			"stop_sending_within_ms": 2000, "answer_slack_ms": 20,
		},
		"telemetry":     map[string]any{"how": "pull", "columns": []string{"failed_ps", "svc_ms", "served_ps", "busy_reqs"}},
		"client_habits": map[string]any{"marks_retry": true},
		"charges":       map[string]any{"probe": 0.004},
		"classes": []map[string]any{
			{"name": "weight-reading", "semantics": "guarded", "dedup_scope": "cell", "window_ms": 600,
				"aim_ms": 500, "hard_limit_ms": 1000, "worth": 5, "late_share": 0},
			{"name": "harvest-entry", "semantics": "single_shot", "dedup_scope": "all", "window_ms": 5000,
				"aim_ms": 600, "hard_limit_ms": 2500, "worth": 2, "late_share": 0},
		},
		"orgs": []map[string]any{
			{"name": "downs-apiarists", "share": 0.79, "quota_per_s": 342},
			{"name": "lockyer-keepers", "share": 0.21, "quota_per_s": 91},
		},
	}
}

// Limits are the limits of the platform.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Sidecar is the real program, started as the platform starts it.
type Sidecar struct {
	Addr    string
	command *exec.Cmd
	ended   chan struct{}
	err     error
	log     string
}

// Start describes how a sidecar is started.
type Start struct {
	Root      string // of the repository
	Dir       string // temporary folder
	Discovery string
	Known     any // the list as last had; nil for none
	Limits    Limits
	Settings  map[string]any
	Operator  string // text of the operators' file; empty for none
}

// StartSidecar starts the program with the line run of deploy/balancer.toml and waits until it is ready.
func StartSidecar(start Start) (*Sidecar, error) {
	addr, err := FreeAddr()
	if err != nil {
		return nil, err
	}
	config := map[string]any{
		"name": "n1", "listen": addr, "discovery": start.Discovery, "seed": "8c1f30d27a5be964",
		"limits": start.Limits, "settings": start.Settings,
	}
	if start.Known != nil {
		config["known"] = start.Known
	}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	configFile := filepath.Join(start.Dir, "config.json")
	if err := os.WriteFile(configFile, text, 0o644); err != nil {
		return nil, err
	}
	run, err := deployLine(start.Root, "run")
	if err != nil {
		return nil, err
	}
	if start.Operator != "" {
		operatorFile := filepath.Join(start.Dir, "mothridge.toml")
		if err := os.WriteFile(operatorFile, []byte(start.Operator), 0o644); err != nil {
			return nil, err
		}
		run += " run --operator " + operatorFile
	}
	s := &Sidecar{Addr: addr, ended: make(chan struct{}), log: filepath.Join(start.Dir, "sidecar.log")}
	log, err := os.Create(s.log)
	if err != nil {
		return nil, err
	}
	s.command = exec.Command("/bin/sh", "-c", run)
	s.command.Dir = start.Root
	s.command.Stdout, s.command.Stderr = log, log
	s.command.Env = append(os.Environ(), "ROUTER_NAME=n1", "ROUTER_LISTEN="+addr,
		"ROUTER_DISCOVERY="+start.Discovery, "ROUTER_CONFIG="+configFile, "TMPDIR="+start.Dir)
	running.Lock()
	err = s.command.Start()
	if err == nil {
		running.sidecars[s] = true
	}
	running.Unlock()
	if err != nil {
		return nil, err
	}
	go func() {
		s.err = s.command.Wait()
		log.Close()
		running.Lock()
		delete(running.sidecars, s)
		running.Unlock()
		close(s.ended)
	}()
	if err := s.awaitReady(30 * time.Second); err != nil {
		s.Kill()
		return nil, err
	}
	return s, nil
}

// deployLine returns the value of a key of deploy/balancer.toml.
func deployLine(root, key string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	match := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
	}
	return string(match[1]), nil
}

func (s *Sidecar) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + s.Addr + "/health/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			http.DefaultClient.CloseIdleConnections()
			return nil
		}
	}
	return fmt.Errorf("the sidecar was not ready within %v: %s", limit, s.LogTail())
}

// Pid returns the process id.
func (s *Sidecar) Pid() int { return s.command.Process.Pid }

// Ended reports whether the process has ended.
func (s *Sidecar) Ended() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (s *Sidecar) Kill() {
	_ = s.command.Process.Signal(syscall.SIGKILL)
	<-s.ended
}

// LogTail returns the last lines of the log.
func (s *Sidecar) LogTail() string {
	text, _ := os.ReadFile(s.log)
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return strings.Join(lines[max(0, len(lines)-12):], "\n")
}

// FreeAddr returns a loopback address with a port that is free now.
func FreeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// List is a message of discovery.
type List struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery is the agent of a pushed list: it answers at once with what it has.
type Discovery struct {
	Addr    string
	record  *Record
	server  *http.Server
	mu      sync.Mutex
	seq     int
	hosts   map[string]Host
	order   []string
	changes []List
	changed chan struct{}
}

// StartDiscovery starts discovery with a list.
func StartDiscovery(record *Record, hosts []Host) (*Discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), record: record, hosts: make(map[string]Host), changed: make(chan struct{})}
	for _, host := range hosts {
		d.hosts[host.Host] = host
		d.order = append(d.order, host.Host)
	}
	d.seq = 1
	d.server = &http.Server{Handler: d}
	go d.server.Serve(listener)
	return d, nil
}

// Close ends discovery.
func (d *Discovery) Close() { d.server.Close() }

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.wholeLocked()
}

func (d *Discovery) wholeLocked() List {
	list := List{Seq: d.seq, Whole: true}
	for _, name := range d.order {
		if host := d.hosts[name]; host.Health != "removed" {
			list.Hosts = append(list.Hosts, host)
		}
	}
	return list
}

// Change publishes changes of hosts to the open watches, under one new version.
func (d *Discovery) Change(hosts ...Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, host := range hosts {
		if _, known := d.hosts[host.Host]; !known {
			d.order = append(d.order, host.Host)
		}
		d.hosts[host.Host] = host
	}
	d.seq++
	d.changes = append(d.changes, List{Seq: d.seq, Hosts: hosts})
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call for the list or a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/registry/instances" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		writeLine(w, d.Whole())
		return
	}
	from := 0
	fmt.Sscanf(r.URL.Query().Get("from"), "%d", &from)
	d.watch(w, r, from)
}

func (d *Discovery) watch(w http.ResponseWriter, r *http.Request, from int) {
	d.mu.Lock()
	first := d.changesAfterLocked(from)
	sent, changed := d.seq, d.changed
	d.mu.Unlock()
	for _, list := range first {
		writeLine(w, list)
	}
	if len(first) == 0 {
		w.Write([]byte("\n"))
	}
	w.(http.Flusher).Flush()
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
			w.Write([]byte("\n"))
		case <-changed:
			d.mu.Lock()
			next := d.changesAfterLocked(sent)
			sent, changed = d.seq, d.changed
			d.mu.Unlock()
			for _, list := range next {
				writeLine(w, list)
				d.record.Line("discovery told seq %d, %d hosts changed", list.Seq, len(list.Hosts))
			}
		}
		w.(http.Flusher).Flush()
	}
}

// changesAfterLocked returns what changed after a version, or the whole list if that is not known.
func (d *Discovery) changesAfterLocked(from int) []List {
	if from < 1 || from > d.seq {
		return []List{d.wholeLocked()}
	}
	return d.changes[from-1:]
}

func writeLine(w http.ResponseWriter, list List) {
	var line bytes.Buffer
	_ = json.NewEncoder(&line).Encode(list)
	w.Write(line.Bytes())
}
