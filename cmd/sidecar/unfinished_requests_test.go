package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// unfinishedClients is a third of the descriptors that the platform allows at most, which clients may hold.
	unfinishedClients = 340
	// silentClients are further clients, which only connect. With the others they stay below the program's bound.
	silentClients = 200
	// unfinishedFor is how long the clients go on. It covers two read timeouts of a request.
	unfinishedFor = 6 * time.Second
)

// unfinishedRequests are texts of requests that are never complete, by kind. id is the Request-Id.
var unfinishedRequests = map[string]func(id string) string{
	"silent":      func(string) string { return "" },
	"half a line": func(string) string { return "POST /api HT" },
	"head":        func(id string) string { return requestHead(id) + "Note: " + strings.Repeat("n", 15<<10) },
	"many fields": func(id string) string { return requestHead(id) + strings.Repeat("A: b\r\n", 2000) },
	"body": func(id string) string {
		return requestHead(id) + "Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 65000)
	},
	"head and body": func(id string) string {
		return requestHead(id) + "Note: " + strings.Repeat("n", 15<<10) + "\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("b", 65000)
	},
	"start of a body": func(id string) string {
		return requestHead(id) + "Content-Length: 65536\r\n\r\n" + strings.Repeat("b", 9000)
	},
	"chunks": func(id string) string {
		return requestHead(id) + "Transfer-Encoding: chunked\r\n\r\nffff\r\n" + strings.Repeat("b", 65000)
	},
}

func requestHead(id string) string {
	return "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: " + id + "\r\nRequest-Class: a\r\nRequest-Timeout: 1\r\n"
}

// Guards against requests that are never complete and together take the program over its memory limit, at which the
// platform kills it. Other clients' requests must be answered meanwhile.
func TestUnfinishedRequestsStayWithinTheMemoryLimit(t *testing.T) {
	program := buildProgram(t)
	for name, request := range unfinishedRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testUnfinishedRequests(t, program, request)
		})
	}
}

func testUnfinishedRequests(t *testing.T, program string, request func(id string) string) {
	const memoryMB = 32
	address := freeAddresses(t, 1)[0]
	config := platformConfig{listen: address, endpoint: "127.0.0.1:1", memoryMB: memoryMB, sockets: 1024, semantics: "single_shot"}
	command := exec.Command(program)
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+config.write(t))
	startProgram(t, command)
	awaitService(t, address)
	for range silentClients {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	peak := peakMemoryUnder(t, command.Process.Pid, address, unfinishedFor, unfinishedClients, func(client, try int) {
		sendUnfinished(address, request(fmt.Sprint(client, "-", try)))
	})
	if peak > memoryMB<<10 {
		t.Errorf("got %d KiB of resident memory, want at most the limit of %d KiB", peak, memoryMB<<10)
	}
}

// peakMemoryUnder lets a number of bad clients call send over and over for a duration, and returns the program's peak of resident
// memory until then, in KiB. Meanwhile another client's requests to address must be answered.
func peakMemoryUnder(
	t *testing.T, pid int, address string, duration time.Duration, badClients int, send func(client, try int),
) int {
	t.Helper()
	var done atomic.Bool
	var clients sync.WaitGroup
	for client := range badClients {
		clients.Go(func() {
			for try := 0; !done.Load(); try++ {
				send(client, try)
			}
		})
	}
	clients.Go(func() {
		for !done.Load() {
			if _, err := postRequest(address); err != nil {
				t.Errorf("another client's request: got error %v, want a response", err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	time.Sleep(duration)
	_, peak := readMemory(t, pid)
	done.Store(true)
	clients.Wait()
	t.Logf("at most %d KiB of resident memory", peak)
	return peak
}

// sendUnfinished sends a request that is not complete, and waits until the program responds or closes the connection.
func sendUnfinished(address, text string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(4 * time.Second))
	io.WriteString(conn, text)
	conn.Read(make([]byte, 64))
}
