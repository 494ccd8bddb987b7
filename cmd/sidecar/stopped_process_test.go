package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// TestDeadlineAfterTheProcessWasStopped guards against forwarding a request with a longer timeout than its
// client still has. A request that arrives while the process is stopped has less time left than its header
// states. It must be forwarded with the time that remains, or get status 503 at once.
func TestDeadlineAfterTheProcessWasStopped(t *testing.T) {
	const (
		timeout = 2 * time.Second
		stopped = time.Second
		slack   = 150 * time.Millisecond
	)
	upstream := peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200("ok")))
	config := platformConfig{
		listen: freeAddresses(t, 1)[0], endpoint: upstream.Addr, latencyObjective: timeout, deadline: timeout,
	}
	command := programCommand(config.write(t))
	startProgram(t, command)
	client := dialUntilOpen(t, config.listen)
	reader := bufio.NewReader(client)
	writeRequest(client, "first", timeout)
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("first request: got %v, error %v; want status 200", response, err)
	} else {
		reader.Discard(int(response.ContentLength))
	}
	peertest.Await(t, "the first request", upstream.Requests)
	command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond) // time for the process to stop
	writtenAt := time.Now()
	writeRequest(client, "second", timeout)
	time.Sleep(stopped)
	command.Process.Signal(syscall.SIGCONT)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if len(upstream.Requests) == 0 {
		if response.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request that was not forwarded: got status %d, want 503", response.StatusCode)
		}
		return
	}
	seconds, _ := strconv.ParseFloat((<-upstream.Requests).Header.Get("Request-Timeout"), 64)
	if maxLeft := timeout - stopped + slack; time.Duration(seconds*float64(time.Second)) > maxLeft {
		t.Errorf("request forwarded %[2]v after it was written: got %.3[1]f s left, want at most %[3]v",
			seconds, time.Since(writtenAt), maxLeft)
	}
}

// dialUntilOpen connects to the program as soon as it listens.
func dialUntilOpen(t *testing.T, address string) (client net.Conn) {
	t.Helper()
	peertest.WaitUntil(t, "the program to listen", func() bool {
		var err error
		client, err = net.Dial("tcp", address)
		return err == nil
	})
	t.Cleanup(func() { client.Close() })
	return client
}

// writeRequest writes a request without a body.
func writeRequest(client net.Conn, id string, timeout time.Duration) {
	fmt.Fprintf(client, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: a\r\n"+
		"Request-Timeout: %.3f\r\nContent-Length: 0\r\n\r\n", id, timeout.Seconds())
}
