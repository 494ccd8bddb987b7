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

// A request that came while the process was stopped has less time left than its header
// says: its upstream gets that, or it is answered at once.
func TestDeadlineAfterTheProcessWasStopped(t *testing.T) {
	const (
		timeout = 2 * time.Second
		stopped = time.Second
		slack   = 150 * time.Millisecond
	)
	upstream := peertest.NewUpstream(t, peertest.Always(peertest.Answer200("ok")))
	config := platformConfig{
		listen: freeAddresses(t, 1)[0], endpoint: upstream.Addr, latencyObjective: timeout, deadline: timeout,
	}
	command := programCommand(config.write(t))
	startProgram(t, command)
	client := dialUntilOpen(t, config.listen)
	reader := bufio.NewReader(client)
	writeRequest(client, "first", timeout)
	if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, error %v", response, err)
	} else {
		reader.Discard(int(response.ContentLength))
	}
	peertest.Await(t, "the first", upstream.Requests)
	command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(100 * time.Millisecond) // until it has stopped
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
			t.Errorf("not forwarded, and answered %d", response.StatusCode)
		}
		return
	}
	seconds, _ := strconv.ParseFloat((<-upstream.Requests).Header.Get("Request-Timeout"), 64)
	if most := timeout - stopped + slack; time.Duration(seconds*float64(time.Second)) > most {
		t.Errorf("forwarded with %.3f s, %v after it was written: at most %v are left", seconds, time.Since(writtenAt), most)
	}
}

// dialUntilOpen connects once the program listens.
func dialUntilOpen(t *testing.T, address string) (client net.Conn) {
	t.Helper()
	peertest.Until(t, "the program", func() bool {
		var err error
		client, err = net.Dial("tcp", address)
		return err == nil
	})
	t.Cleanup(func() { client.Close() })
	return client
}

func writeRequest(client net.Conn, id string, timeout time.Duration) {
	fmt.Fprintf(client, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: a\r\n"+
		"Request-Timeout: %.3f\r\nContent-Length: 0\r\n\r\n", id, timeout.Seconds())
}
