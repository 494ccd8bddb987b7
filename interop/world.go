package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"mothridge/internal/peers"
)

// world is the real sidecar, as a process, among stand-ins.
type world struct {
	http     string // where clients connect by HTTP/1.1
	maps     string // by MessagePack-RPC with errors as maps
	texts    string // and as texts
	registry *peers.Eureka
	nodes    []*peers.Upstream
	ledger   *peers.Ledger

	dir     string
	process *exec.Cmd
	log     bytes.Buffer
	next    atomic.Int64
}

// operators is the sidecar's whole configuration.
const operators = `[sidecar]
name = "interop"
listen = "%s"

[limits]
slots = 64
sockets = 2048
memory_mb = 64
cores = 1.0

[[class]]
name = "read"
effect = "safe"
aim = "500ms"
deadline = "2s"

[[class]]
name = "entry"
effect = "unsafe"
aim = "500ms"
deadline = "2s"

[[listener]]
protocol = "msgpack-rpc"
address = "%s"
open = 64

[[listener]]
protocol = "msgpack-rpc"
address = "%s"
open = 64
errors = "text"

[[static]]
name = "base"
nodes = ["%s", "%s"]

[[eureka]]
name = "registry"
replicas = ["%s"]
interval = "100ms"
timeout = "2s"
[eureka.metadata]
site = "zone"
`

// slow is the prefix of ids of requests that a node takes its time for.
const slow = "slow-"

func startWorld(ctx context.Context) (w *world, err error) {
	w = &world{ledger: peers.NewLedger(true)}
	defer func() {
		if err != nil {
			w.close()
		}
	}()
	if w.dir, err = os.MkdirTemp("", "interop"); err != nil {
		return nil, err
	}
	if w.registry, err = peers.StartEureka(""); err != nil {
		return nil, err
	}
	script := func(c peers.Call) peers.Response {
		a := peers.Response{Delay: 2 * time.Millisecond, Body: []byte("for " + c.ID)}
		if strings.HasPrefix(c.ID, slow) {
			a.Delay = 300 * time.Millisecond
		}
		return a
	}
	for i := range 4 { // two are listed for good, two are for registrations
		n, err := peers.StartUpstream(peers.HTTP, fmt.Sprintf("node-%d", i+1), w.ledger, script)
		if err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	addrs, err := freeAddrs(3)
	if err != nil {
		return nil, err
	}
	w.http, w.maps, w.texts = addrs[0], addrs[1], addrs[2]
	file := filepath.Join(w.dir, "mothridge.toml")
	text := fmt.Sprintf(operators, w.http, w.maps, w.texts, w.nodes[0].Addr(), w.nodes[1].Addr(), w.registry.URL())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	program := filepath.Join(w.dir, "mothridge")
	build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/sidecar")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build the program: %w: %s", err, out)
	}
	w.process = exec.CommandContext(ctx, program, "run", "--operator", file)
	w.process.Env = append(os.Environ(), "ROUTER_CONFIG=")
	w.process.Stderr = &w.log
	return w, w.start(ctx)
}

// freeAddrs finds loopback addresses that nobody listens at.
func freeAddrs(n int) ([]string, error) {
	addrs := make([]string, n)
	for i := range addrs {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs[i] = ln.Addr().String()
	}
	return addrs, nil
}

// start starts the sidecar and waits until it is ready.
func (w *world) start(ctx context.Context) error {
	if err := w.process.Start(); err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		resp, err := client.Get("http://" + w.http + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the sidecar does not get ready")
}

// stop ends the sidecar as a planned restart does.
func (w *world) stop() error {
	w.process.Process.Signal(syscall.SIGTERM)
	err := w.process.Wait()
	w.process = nil
	if err != nil {
		return fmt.Errorf("the sidecar ended with %w:\n%s", err, w.log.String())
	}
	return nil
}

func (w *world) close() {
	if w.process != nil && w.process.Process != nil {
		w.process.Process.Kill()
		w.process.Wait()
	}
	for _, n := range w.nodes {
		n.Close()
	}
	if w.registry != nil {
		w.registry.Close()
	}
	os.RemoveAll(w.dir)
}

// id makes a request's id that no other has.
func (w *world) id() string { return fmt.Sprint("i", w.next.Add(1)) }

// doubled names the effects that ran twice.
func (w *world) doubled() error {
	if ids := w.ledger.ExecutedTwice(func(string) bool { return true }); len(ids) > 0 {
		return fmt.Errorf("effects ran twice: %v", ids)
	}
	return nil
}
