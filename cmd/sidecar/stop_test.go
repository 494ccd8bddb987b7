package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// A request that came while the process was stopped has less time left than its head
// says: its upstream gets that, or it is answered at once.
func TestDeadlineAfterTheProcessWasStopped(t *testing.T) {
	const (
		timeout = 2 * time.Second
		stopped = time.Second
		slack   = 150 * time.Millisecond
	)
	u := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"ff",
		"known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"health":"up","share":1}]},
		"limits":{"cores":1.0,"memory_mb":192,"sockets":256},
		"settings":{"balancers":1,"caps":{"most_tries":3},"classes":[{"name":"a","aim_ms":2000,"hard_limit_ms":2000}]}}`, addr, u.Addr)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "MOTHRIDGE_RUN_MAIN=1", "ROUTER_CONFIG="+config)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	var c net.Conn
	peertest.Until(t, "the program", func() bool {
		c, err = net.Dial("tcp", addr)
		return err == nil
	})
	defer c.Close()
	in := bufio.NewReader(c)
	request := func(id string) {
		fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: a\r\nRequest-Timeout: %.3f\r\nContent-Length: 0\r\n\r\n", id, timeout.Seconds())
	}
	request("first")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Fatalf("got %v, error %v", resp, err)
	} else {
		in.Discard(int(resp.ContentLength))
	}
	peertest.Await(t, "the first", u.Requests)
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond) // until it has stopped
	sentAt := time.Now()
	request("second")
	time.Sleep(stopped)
	cmd.Process.Signal(syscall.SIGCONT)
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(u.Requests) == 0 {
		if resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("not sent on, and answered %d", resp.StatusCode)
		}
		return
	}
	upstreamTimeout, _ := strconv.ParseFloat((<-u.Requests).Header.Get("Request-Timeout"), 64)
	if most := timeout - stopped + slack; time.Duration(upstreamTimeout*float64(time.Second)) > most {
		t.Errorf("%.3f s told %v after it was sent, at most %v are left", upstreamTimeout, time.Since(sentAt), most)
	}
}
