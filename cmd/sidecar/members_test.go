package main

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

// TestMembersCommand checks the program against a Eureka registry: it lists the instances of the
// registry with their states and reasons, registers itself, and at its end removes its registration
// and its admin socket.
func TestMembersCommand(t *testing.T) {
	registry := peertest.NewEureka(t)
	ready := peers.EurekaInstance{ID: "records-01", App: "RECORDS", Host: "127.0.0.1", IP: "127.0.0.1", Port: 1, Status: "UP"}
	registry.Register(ready)
	draining := ready
	draining.ID, draining.Port, draining.Override = "records-02", 2, "OUT_OF_SERVICE"
	registry.Register(draining)
	socket := filepath.Join(t.TempDir(), "admin")
	address := freeAddresses(t, 1)[0]
	operatorFile := writeFile(t, "mothridge.toml", fmt.Sprintf("[admin]\nsocket = %q\n[membership]\nplatform = false\n"+
		"[[eureka]]\nname = \"records\"\nreplicas = [%q]\napps = [\"RECORDS\"]\ninterval = \"20ms\"\n"+
		"register.app = \"mothridge\"\nregister.renew = \"100ms\"\n", socket, registry.URL()))
	command := programCommand(platformConfig{listen: address}.write(t), "run", "--operator", operatorFile)
	var log bytes.Buffer
	command.Stderr = &log
	startProgram(t, command)
	host, port, _ := strings.Cut(address, ":")
	id := host + ":mothridge:" + port
	members, errorOutput := awaitMembers(t, socket, registry, id)
	for _, want := range []string{
		"records-01  ready", "records-02  draining", "OUT_OF_SERVICE by records", "UP by records",
	} {
		if !strings.Contains(members, want) {
			t.Errorf("the output does not contain %q:\n%s%s%s", want, members, errorOutput, log.String())
		}
	}
	if instance, _ := registry.Instance(id); instance.Status != "UP" {
		t.Errorf("registration: got %+v, want status UP", instance)
	}
	command.Process.Signal(os.Interrupt)
	var exit *exec.ExitError
	if err := command.Wait(); errors.As(err, &exit) {
		t.Errorf("after the interrupt: got %v, want exit status 0\n%s", err, log.String())
	}
	if _, registered := registry.Instance(id); registered {
		t.Error("the sidecar is still registered after its end")
	}
	if _, err := os.Stat(socket); err == nil {
		t.Error("the admin socket still exists after the end of the sidecar")
	}
}

// awaitMembers runs the members command until it lists the draining instance and the sidecar is
// registered under the ID, for at most 10 s, and returns the output of the last run.
func awaitMembers(t *testing.T, socket string, registry *peers.EurekaRegistry, id string) (output, errorOutput string) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var exitCode int
		output, errorOutput, exitCode = runProgram(t, "", "members", socket)
		instance, _ := registry.Instance(id)
		if exitCode == 0 && strings.Contains(output, "records-02") && instance.Status == "UP" {
			break
		}
	}
	return output, errorOutput
}
