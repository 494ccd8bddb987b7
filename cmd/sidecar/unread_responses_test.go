package main

import (
	"bytes"
	"net"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"mothridge/internal/msgrpc"
)

const (
	// unreadClients is the number of clients that send without reading.
	unreadClients = 20
	// unreadFor is how long the clients go on. A connection is closed after 1 s at the latest.
	unreadFor = 4 * time.Second
)

// Guards against responses that a MessagePack-RPC client does not read and that together take the program over its memory limit:
// the ones to readiness requests were not bounded. Other clients' requests must be answered meanwhile.
func TestUnreadResponsesStayWithinTheMemoryLimit(t *testing.T) {
	const memoryMB = 32
	addresses := freeAddresses(t, 2)
	operatorFile := writeFile(t, "mothridge.toml", "[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \""+addresses[1]+"\"\n")
	config := platformConfig{listen: addresses[0], endpoint: "127.0.0.1:1", memoryMB: memoryMB, semantics: "single_shot"}
	command := exec.Command(buildProgram(t), "run", "--operator", operatorFile)
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+config.write(t))
	startProgram(t, command)
	awaitService(t, addresses[0])
	ready := msgp.AppendArrayHeader(msgrpc.AppendRequest(nil, 1, msgrpc.MethodReady), 0)
	requests := bytes.Repeat(ready, 1000)
	peak := peakMemoryUnder(t, command.Process.Pid, addresses[0], unreadFor, unreadClients, func(int, int) {
		sendUnread(addresses[1], requests)
	})
	if peak > memoryMB<<10 {
		t.Errorf("got %d KiB of resident memory, want at most the limit of %d KiB", peak, memoryMB<<10)
	}
}

// sendUnread sends requests until the program closes the connection. It reads no response.
func sendUnread(address string, requests []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(unreadFor))
	for {
		if _, err := conn.Write(requests); err != nil {
			return
		}
	}
}
