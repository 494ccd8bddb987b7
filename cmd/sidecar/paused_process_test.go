package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/msgrpc"
	"mothridge/internal/peers"
)

const (
	// pausedSockets is the smallest limit on descriptors, so that few connections reach the bound on clients.
	pausedSockets = 64
	// pausedConnections is how many clients connect for each pause: more than may be connected at a time.
	pausedConnections = 60
	// earlyConnections is how many of them connect before the pause: fewer than may be connected at a time, so that
	// none of them makes way before the pause.
	earlyConnections = 6
	// pausedRounds is how often the process is paused. A request may be read before its connection is looked at, so
	// that a single pause shows nothing.
	pausedRounds = 15
	// pauseTime is longer than a request may be read before its connection may make way for another one.
	pauseTime = 450 * time.Millisecond
	// pausedRequestTimeout is how long a client waits.
	pausedRequestTimeout = 5 * time.Second
)

// clientProtocol is a protocol of clients, for tests that do the same on all listener front ends.
type clientProtocol struct {
	name    string
	request func(id string) []byte           // encodes a request
	read    func(reader *bufio.Reader) error // reads a whole response
}

var clientProtocols = []clientProtocol{
	{
		name: "http",
		request: func(id string) []byte {
			return fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: %s\r\nRequest-Class: a\r\n"+
				"Request-Timeout: %.3f\r\nContent-Length: 0\r\n\r\n", id, pausedRequestTimeout.Seconds())
		},
		read: func(reader *bufio.Reader) error {
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				response.Body.Close()
			}
			return err
		},
	},
	{
		name: "msgpack-rpc",
		request: func(id string) []byte {
			return encodeCall(id, pausedRequestTimeout, 0)
		},
		read: func(reader *bufio.Reader) error {
			_, err := reader.ReadByte()
			return err
		},
	},
}

// encodeCall returns an encoded MessagePack-RPC call with a body of a size.
func encodeCall(id string, timeout time.Duration, bodyBytes int) []byte {
	call := msgrpc.Call{ID: id, Class: "a", Target: "/api", Host: "x", Timeout: timeout, Body: make([]byte, bodyBytes)}
	return call.Append(nil, 1)
}

// Guards against whole requests whose connections make way for new ones at the bound, so that they get no answer.
// While the process is paused, requests wait in the kernel, or have been read and are not handled, and by the clock
// their clients have sent nothing, or only a part of a request, for too long. Over MessagePack-RPC a connection
// made way as soon as it was accepted, without any pause.
func TestPausedProcessAnswersWholeRequests(t *testing.T) {
	program := buildProgram(t)
	for _, protocol := range clientProtocols {
		for _, pause := range []time.Duration{0, pauseTime} {
			t.Run(fmt.Sprintf("%s, paused for %v", protocol.name, pause), func(t *testing.T) {
				t.Parallel()
				testPausedProcess(t, program, protocol, pause)
			})
		}
	}
}

func testPausedProcess(t *testing.T, program string, protocol clientProtocol, pause time.Duration) {
	started := startPausable(t, program, pausedSockets)
	lost := 0
	for round := range pausedRounds {
		lost += pauseUnderLoad(t, started.command, started.addresses[protocol.name], protocol, pause, round)
	}
	if lost > 0 {
		t.Errorf("got %d of %d requests without an answer, want 0", lost, pausedRounds*pausedConnections)
	}
}

// pausableProgram is a running program with a listener for each protocol.
type pausableProgram struct {
	command   *exec.Cmd
	addresses map[string]string // by the name of the protocol
}

// startPausable starts the program, which may have a number of descriptors, with an upstream that serves all requests.
func startPausable(t *testing.T, program string, sockets int) pausableProgram {
	t.Helper()
	upstream, err := peers.StartUpstream(peers.HTTP, "s-1", nil, peers.ServeAll)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Close)
	addresses := freeAddresses(t, 2)
	operatorFile := writeFile(t, "mothridge.toml", "[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = \""+addresses[1]+"\"\n")
	config := platformConfig{listen: addresses[0], endpoint: upstream.Addr(), sockets: sockets, semantics: "single_shot"}
	command := exec.Command(program, "run", "--operator", operatorFile)
	command.Env = append(os.Environ(), "ROUTER_CONFIG="+config.write(t))
	startProgram(t, command)
	awaitService(t, addresses[0])
	return pausableProgram{command, map[string]string{"http": addresses[0], "msgpack-rpc": addresses[1]}}
}

// pauseUnderLoad connects some clients and pauses the process. During the pause more clients than may be connected at
// a time connect, and all of them send a request. It returns how many requests get no answer.
func pauseUnderLoad(
	t *testing.T, command *exec.Cmd, address string, protocol clientProtocol, pause time.Duration, round int,
) (lost int) {
	t.Helper()
	conns := make([]net.Conn, pausedConnections)
	for i := range conns[:earlyConnections] {
		conns[i] = connect(t, address)
	}
	if pause > 0 {
		time.Sleep(20 * time.Millisecond) // the connections are accepted
		command.Process.Signal(syscall.SIGSTOP)
		time.Sleep(20 * time.Millisecond) // time for the process to stop
	}
	for i := range conns {
		if conns[i] == nil {
			conns[i] = connect(t, address)
		}
		conns[i].Write(protocol.request(fmt.Sprintf("r-%d-%d", round, i)))
	}
	time.Sleep(pause)
	command.Process.Signal(syscall.SIGCONT)
	for i, conn := range conns {
		conn.SetReadDeadline(time.Now().Add(pausedRequestTimeout))
		if err := protocol.read(bufio.NewReader(conn)); err != nil {
			t.Logf("round %d: connection %d: %v", round, i, err)
			lost++
		}
		conn.Close()
	}
	return lost
}

func connect(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// Guards against requests that get no answer because a read timeout has passed by the clock while the process was
// paused: their bytes had arrived in time and waited in the kernel.
func TestPausedProcessReadsWhatArrivedInTime(t *testing.T) {
	const longPause = 2700 * time.Millisecond // longer than all read timeouts of the front ends
	path := buildProgram(t)
	for _, protocol := range clientProtocols {
		for name, before := range map[string]int{"nothing sent before": 0, "half sent before": 20} {
			t.Run(protocol.name+", "+name, func(t *testing.T) {
				t.Parallel()
				program := startPausable(t, path, 256)
				var conns []net.Conn
				for range 15 { // fewer than the bound
					conns = append(conns, dialUntilOpen(t, program.addresses[protocol.name]))
				}
				encoded := func(i int) []byte { return protocol.request(fmt.Sprint("r-", i)) }
				for i, conn := range conns {
					conn.Write(encoded(i)[:before])
				}
				time.Sleep(100 * time.Millisecond) // the connections are accepted, and what was sent is read
				program.command.Process.Signal(syscall.SIGSTOP)
				for i, conn := range conns {
					conn.Write(encoded(i)[before:])
				}
				time.Sleep(longPause)
				program.command.Process.Signal(syscall.SIGCONT)
				for i, conn := range conns {
					conn.SetReadDeadline(time.Now().Add(pausedRequestTimeout))
					if err := protocol.read(bufio.NewReader(conn)); err != nil {
						t.Errorf("request %d: got error %v, want a response", i, err)
					}
				}
			})
		}
	}
}
