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

// environment is the real sidecar as a process, with stand-ins for its nodes and its registry.
type environment struct {
	httpAddr       string // the sidecar's HTTP/1.1 listener
	mapErrorsAddr  string // its MessagePack-RPC listener that writes errors as maps
	textErrorsAddr string // its MessagePack-RPC listener that writes errors as texts
	registry       *peers.EurekaRegistry
	nodes          []*peers.Upstream
	ledger         *peers.Ledger

	dir     string
	sidecar *exec.Cmd
	log     bytes.Buffer // the sidecar's standard error
	lastID  atomic.Int64
}

// sidecarConfig is the format of the sidecar's whole configuration. Its arguments are
// the addresses of the three listeners and of the two listed nodes, and the registry's URL.
const sidecarConfig = `[sidecar]
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

// slowPrefix begins the ids of requests to which a node responds after 300 ms instead of 2 ms.
const slowPrefix = "slow-"

func startEnvironment(ctx context.Context) (env *environment, err error) {
	env = &environment{ledger: peers.NewLedger(true)}
	defer func() {
		if err != nil {
			env.close()
		}
	}()
	if env.dir, err = os.MkdirTemp("", "interop"); err != nil {
		return nil, err
	}
	if env.registry, err = peers.StartEureka(""); err != nil {
		return nil, err
	}
	script := func(call peers.Call) peers.Response {
		reply := peers.Response{Delay: 2 * time.Millisecond, Body: []byte("for " + call.ID)}
		if strings.HasPrefix(call.ID, slowPrefix) {
			reply.Delay = 300 * time.Millisecond
		}
		return reply
	}
	for i := range 4 { // the static list has two of them; two are for registrations
		node, err := peers.StartUpstream(peers.HTTP, fmt.Sprintf("node-%d", i+1), env.ledger, script)
		if err != nil {
			return nil, err
		}
		env.nodes = append(env.nodes, node)
	}
	addrs, err := freeAddrs(3)
	if err != nil {
		return nil, err
	}
	env.httpAddr, env.mapErrorsAddr, env.textErrorsAddr = addrs[0], addrs[1], addrs[2]
	configPath := filepath.Join(env.dir, "mothridge.toml")
	config := fmt.Sprintf(sidecarConfig, env.httpAddr, env.mapErrorsAddr, env.textErrorsAddr,
		env.nodes[0].Addr(), env.nodes[1].Addr(), env.registry.URL())
	if err := os.WriteFile(configPath, []byte(config), 0o600); err != nil {
		return nil, err
	}
	programPath := filepath.Join(env.dir, "mothridge")
	build := exec.CommandContext(ctx, "go", "build", "-o", programPath, "./cmd/sidecar")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build the sidecar: %w: %s", err, out)
	}
	env.sidecar = exec.CommandContext(ctx, programPath, "run", "--operator", configPath)
	env.sidecar.Env = append(os.Environ(), "ROUTER_CONFIG=")
	env.sidecar.Stderr = &env.log
	return env, env.start(ctx)
}

// freeAddrs returns n loopback addresses on which nothing listens.
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

// start starts the sidecar and waits until it is ready. It returns an error after 15 s or when ctx ends.
func (env *environment) start(ctx context.Context) error {
	if err := env.sidecar.Start(); err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		resp, err := client.Get("http://" + env.httpAddr + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the sidecar did not become ready within 15 s or before the context ended")
}

// stop terminates the sidecar with SIGTERM, as a planned restart does, and waits for its exit.
func (env *environment) stop() error {
	env.sidecar.Process.Signal(syscall.SIGTERM)
	err := env.sidecar.Wait()
	env.sidecar = nil
	if err != nil {
		return fmt.Errorf("the sidecar exited with %w:\n%s", err, env.log.String())
	}
	return nil
}

func (env *environment) close() {
	if env.sidecar != nil && env.sidecar.Process != nil {
		env.sidecar.Process.Kill()
		env.sidecar.Wait()
	}
	for _, node := range env.nodes {
		node.Close()
	}
	if env.registry != nil {
		env.registry.Close()
	}
	os.RemoveAll(env.dir)
}

// newRequestID returns a request id that is unique in this run.
func (env *environment) newRequestID() string { return fmt.Sprint("i", env.lastID.Add(1)) }

// checkExecutedOnce returns an error if nodes executed a request more than once.
func (env *environment) checkExecutedOnce() error {
	if ids := env.ledger.DescribeRepeatedExecutions(func(string) bool { return true }); len(ids) > 0 {
		return fmt.Errorf("requests were executed more than once: %v", ids)
	}
	return nil
}
