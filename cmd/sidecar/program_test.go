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
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("MOTHRIDGE_RUN_MAIN") == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programCommand makes the command that runs the real program with a platform's
// configuration, empty for none.
func programCommand(config string, arguments ...string) *exec.Cmd {
	command := exec.Command(os.Args[0], arguments...)
	command.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	return command
}

// startProgram starts the command of a program, and kills it at the end of the test if it still runs.
func startProgram(t *testing.T, command *exec.Cmd) {
	t.Helper()
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killProgram(command) })
}

func killProgram(command *exec.Cmd) {
	command.Process.Kill()
	command.Process.Wait()
}

// runProgram runs the program to its end, and returns what it printed and its exit status.
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

// platformConfig is what tests vary of a platform's configuration.
type platformConfig struct {
	listen           string
	discovery        string        // an address at which nothing listens by default
	endpoint         string        // the address of the one that is known at the start; empty: none is
	memoryMB         int           // 192 by default
	semantics        string        // of the one class, 'a'
	latencyObjective time.Duration // 500 ms by default
	deadline         time.Duration // 1 s by default
}

// text is the configuration as the platform writes it.
func (config platformConfig) text() string {
	if config.discovery == "" {
		config.discovery = "127.0.0.1:1"
	}
	if config.memoryMB == 0 {
		config.memoryMB = 192
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
		"limits":{"cores":1.0,"memory_mb":%d,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},
			"classes":[{"name":"a",%s"aim_ms":%d,"hard_limit_ms":%d}]}}`,
		config.listen, config.discovery, known, config.memoryMB,
		semantics, config.latencyObjective.Milliseconds(), config.deadline.Milliseconds())
}

// write writes the configuration to a file and returns its path.
func (config platformConfig) write(t testing.TB) string {
	t.Helper()
	return writeFile(t, "config.json", config.text())
}

// writeFile writes a file in a directory of its own and returns its path.
func writeFile(t testing.TB, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	rewriteFile(t, path, text)
	return path
}

func rewriteFile(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// freeAddresses finds loopback addresses without a listener.
func freeAddresses(t testing.TB, count int) []string {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		addresses[i] = listener.Addr().String()
	}
	return addresses
}

// startLogging starts the program with a log of its own and returns its address.
func startLogging(t *testing.T, log *os.File) (command *exec.Cmd, address string) {
	t.Helper()
	address = freeAddresses(t, 1)[0]
	command = programCommand(platformConfig{listen: address, endpoint: "127.0.0.1:1"}.write(t))
	command.Stderr = log
	startProgram(t, command)
	log.Close()
	return command, address
}

// postRequest sends a request to which any final response will do.
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

// awaitService waits until the program responds to a request.
func awaitService(t *testing.T, address string) {
	t.Helper()
	peertest.Until(t, "the program", func() bool {
		_, err := postRequest(address)
		return err == nil
	})
}
