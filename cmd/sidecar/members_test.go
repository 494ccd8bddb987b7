package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// The real program follows a registry, registers with it, and lists its members.
func TestMembersOfARunningSidecar(t *testing.T) {
	e, err := peers.StartEureka("")
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	e.Register(peers.EurekaInstance{ID: "records-01", App: "RECORDS", Host: "127.0.0.1", IP: "127.0.0.1", Port: 1, Status: "UP"})
	e.Register(peers.EurekaInstance{ID: "records-02", App: "RECORDS", Host: "127.0.0.1", IP: "127.0.0.1", Port: 2, Status: "UP", Override: "OUT_OF_SERVICE"})
	dir := t.TempDir()
	socket := filepath.Join(dir, "admin")
	addr := freeAddrs(t, 1)[0]
	config := write(t, "config.json", `{"name":"n0","listen":"`+addr+`","discovery":"127.0.0.1:1","seed":"ff",
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`)
	operators := write(t, "mothridge.toml", "[admin]\nsocket = \""+socket+"\"\n[membership]\nplatform = false\n[[eureka]]\nname = \"records\"\nreplicas = [\""+
		e.URL()+"\"]\napps = [\"RECORDS\"]\ninterval = \"20ms\"\nregister.app = \"mothridge\"\nregister.renew = \"100ms\"\n")
	cmd := exec.Command(os.Args[0], "run", "--operator", operators)
	cmd.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	id := "127.0.0.1:mothridge:" + addr[strings.LastIndexByte(addr, ':')+1:]
	var out, errs string
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		var code int
		out, errs, code = program(t, "members", socket)
		if i, _ := e.Instance(id); code == 0 && strings.Contains(out, "records-02") && i.Status == "UP" {
			break
		}
	}
	for _, want := range []string{"records-01  ready", "records-02  draining", "OUT_OF_SERVICE by records", "UP by records"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is not told:\n%s%s%s", want, out, errs, log.String())
		}
	}
	if i, _ := e.Instance(id); i.Status != "UP" {
		t.Errorf("registered as %+v", i)
	}
	cmd.Process.Signal(os.Interrupt)
	var exit *exec.ExitError
	if err := cmd.Wait(); errors.As(err, &exit) {
		t.Errorf("ended with %v\n%s", err, log.String())
	}
	if _, there := e.Instance(id); there {
		t.Error("it is still registered after its end")
	}
	if _, err := os.Stat(socket); err == nil {
		t.Error("the socket was left behind")
	}
}

func TestStandinIsForLoopback(t *testing.T) {
	_, errs, code := program(t, "standin", "eureka", "--address", "0.0.0.0:0")
	if code != 1 || !strings.Contains(errs, "loopback") {
		t.Errorf("exit %d, %q", code, errs)
	}
	out, errs, code := program(t, "standin", "eureka", "--address", "127.0.0.1:0", "--duration", "50ms")
	if code != 0 || !strings.Contains(out, "/eureka/v2/apps") || errs != "" {
		t.Errorf("exit %d, %q, %q", code, out, errs)
	}
}

// BenchmarkResident starts the real program on a registry of so many instances
// and reports its resident memory once it holds them all.
func BenchmarkResident(b *testing.B) {
	for _, n := range []int{0, 100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			for range b.N {
				now, most := resident(b, n)
				b.ReportMetric(float64(now), "rss-kB")
				b.ReportMetric(float64(most), "peak-kB")
			}
		})
	}
}

// resident gives the resident memory of the program, in kB, and the most there was of it.
func resident(b *testing.B, n int) (now, most int) {
	b.Helper()
	e, err := peers.StartEureka("")
	if err != nil {
		b.Fatal(err)
	}
	defer e.Close()
	for i := range n {
		e.Register(peers.EurekaInstance{
			ID: fmt.Sprint("records-", i), App: "RECORDS", Host: "127.0.0.1", IP: fmt.Sprintf("127.1.%d.%d", i>>8, i&255), Port: 80, Status: "UP",
			Metadata: map[string]string{"zone": "a", "weight": "1"},
		})
	}
	dir := b.TempDir()
	socket, config, operators := filepath.Join(dir, "admin"), filepath.Join(dir, "config.json"), filepath.Join(dir, "mothridge.toml")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	sources := ""
	if n > 0 {
		sources = "[membership]\nplatform = false\n[[eureka]]\nname = \"records\"\nreplicas = [\"" + e.URL() + "\"]\ninterval = \"1s\"\ntimeout = \"20s\"\n"
	}
	for path, text := range map[string]string{
		config: `{"name":"n0","listen":"` + addr + `","discovery":"127.0.0.1:1","seed":"ff","limits":{"cores":1.0,"memory_mb":32,"sockets":256},
			"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`,
		operators: "[admin]\nsocket = \"" + socket + "\"\n" + sources,
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	build := exec.Command("go", "build", "-o", dir, ".") // as deploy/balancer.toml has it
	build.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := build.CombinedOutput(); err != nil {
		b.Fatalf("%v: %s", err, out)
	}
	cmd := exec.Command(filepath.Join(dir, "mothridge"), "run", "--operator", operators)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		v, err := fetchMembers(b.Context(), socket)
		if err == nil && len(v.Members) == n || n == 0 && err != nil && strings.Contains(err.Error(), "not turned on") {
			break
		}
	}
	time.Sleep(2500 * time.Millisecond) // some polls, and what was needed for the list is let go
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	number := func(name string) int {
		_, after, _ := strings.Cut(string(text), name+":")
		kB, err := strconv.Atoi(strings.Fields(after)[0])
		if err != nil {
			b.Fatal(err)
		}
		return kB
	}
	return number("VmRSS"), number("VmHWM")
}
