package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// TestMain runs the program instead of the tests if MOTHRIDGE_RUN_MAIN is set, so that tests can start
// the test binary as the program.
func TestMain(m *testing.M) {
	if os.Getenv("MOTHRIDGE_RUN_MAIN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program with the path of a platform's
// configuration. An empty path means no platform.
func programCommand(config string, arguments ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	return command
}

// startProgram starts a command of programCommand. At the end of the test it kills the process if
// it is still running.
func startProgram(t *testing.T, command *exec.Cmd) {
	t.Helper()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killProgram(command) })
}

// killProgram kills the process and waits until it has ended.
func killProgram(command *exec.Cmd) {
	command.Process.Kill()
	command.Process.Wait()
}

// runProgram runs the program until it ends, and returns its output and its exit status.
func runProgram(t *testing.T, config string, arguments ...string) (stdout, stderr string, exitCode int) {
	t.Helper()
	command := programCommand(config, arguments...)
	var output, errorOutput bytes.Buffer
	command.Stdout, command.Stderr = &output, &errorOutput
	err := command.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		exitCode = exit.ExitCode()
	} else if err != nil {
		t.Fatal(err)
	}
	return output.String(), errorOutput.String(), exitCode
}

// platformConfig holds the values of a platform's configuration that tests vary.
type platformConfig struct {
	listen           string
	discovery        string        // address of discovery; default: an address without a listener
	endpoint         string        // address of the only endpoint known at the start; empty: none is known
	memoryMB         int           // memory limit in MiB; default: 192
	sockets          int           // limit on descriptors; default: 256
	semantics        string        // semantics of the only class, "a"; empty: not set
	latencyObjective time.Duration // default: 500 ms
	deadline         time.Duration // default: 1 s
}

// text returns the configuration in the format of the platform.
func (config platformConfig) text() string {
	if config.discovery == "" {
		config.discovery = "127.0.0.1:1"
	}
	if config.memoryMB == 0 {
		config.memoryMB = 192
	}
	if config.sockets == 0 {
		config.sockets = 256
	}
	if config.latencyObjective == 0 {
		config.latencyObjective = 500 * time.Millisecond
	}
	if config.deadline == 0 {
		config.deadline = time.Second
	}
	known, semantics := "", ""
	if config.endpoint != "" {
		known = fmt.Sprintf(`"known":{"seq":1,"whole":true,
			"hosts":[{"host":"s-1","dial":%q,"health":"up","share":1}]},`, config.endpoint)
	}
	if config.semantics != "" {
		semantics = fmt.Sprintf(`"semantics":%q,`, config.semantics)
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"ff",%s
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
		"settings":{"balancers":1,"caps":{"most_tries":3},
			"classes":[{"name":"a",%s"aim_ms":%d,"hard_limit_ms":%d}]}}`,
		config.listen, config.discovery, known, config.memoryMB, config.sockets,
		semantics, config.latencyObjective.Milliseconds(), config.deadline.Milliseconds())
}

// write writes the configuration to a file and returns its path.
func (config platformConfig) write(t testing.TB) string {
	t.Helper()
	return writeFile(t, "config.json", config.text())
}

// writeFile writes a file in a new directory and returns its path.
func writeFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	rewriteFile(t, path, text)
	return path
}

// rewriteFile writes the text to a file, which may exist.
func rewriteFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// loopbackHosts counts the calls of unusedLoopbackHost.
var loopbackHosts atomic.Uint32

// unusedLoopbackHost returns a loopback address that no other call, in this process or another one of the tests, uses. A port of it
// that was released stays free; a port of 127.0.0.1 may be taken by another test's listener or client before the program binds it.
func unusedLoopbackHost() string {
	const octets = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid%120, pid/120%octets, 1+loopbackHosts.Add(1)%octets)
}

// freeAddresses returns loopback addresses at which no process listens.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", unusedLoopbackHost()+":0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// startLogging starts the program with the given file as standard error, closes the file in this process,
// and returns the address at which the program listens.
func startLogging(t *testing.T, log *os.File) (command *exec.Cmd, address string) {
	t.Helper()
	address = freeAddresses(t, 1)[0]
	command = programCommand(platformConfig{listen: address, endpoint: "127.0.0.1:1"}.write(t))
	command.Stderr = log
	startProgram(t, command)
	log.Close()
	return command, address
}

// postRequest sends a request and returns the status of the response, whatever it is.
func postRequest(address string) (status int, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/api", strings.NewReader("x"))
	if err != nil {
		return 0, err
	}
	request.Header = http.Header{"Request-Id": {"x"}, "Request-Class": {"a"}, "Request-Timeout": {"1"}}
	response, err := (&http.Client{Timeout: 2 * time.Second}).Do(request)
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// awaitService waits until the program responds to requests.
func awaitService(t *testing.T, address string) {
	t.Helper()
	peertest.WaitUntil(t, "the program to respond", func() bool {
		_, err := postRequest(address)
		return err == nil
	})
}
