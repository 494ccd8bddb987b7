// Command hidden plays a bad client that speaks MessagePack-RPC beside the usual clients, which speak
// HTTP/1.1. The bad client names a Transfer-Encoding among the fields of its calls, and its bodies hide
// another request.
package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	length      = 15 * time.Second
	usualPause  = 25 * time.Millisecond  // 40 requests a second of usual clients
	badPause    = 200 * time.Millisecond // 5 calls a second of the bad client
	work        = 50 * time.Millisecond
	gracePeriod = 3 * time.Second
)

func main() { stand.Main(run) }

type world struct {
	record *stand.Record
	mu     sync.Mutex
	sent   map[string]bool // ids that a client sent as a request of its own

	served, foreign, failed atomic.Int64
}

func run(record *stand.Record, root, dir string) (broken bool, err error) {
	w := &world{record: record, sent: make(map[string]bool)}
	var nodes []*stand.Node
	var hosts []stand.Host
	for i := range 3 {
		node, err := stand.StartNode(fmt.Sprintf("records-%02d", i+1), work)
		if err != nil {
			return false, err
		}
		defer node.Close()
		node.Run = func(call stand.Call) { record.Line("%s runs %s (%s)", call.Node, call.ID, call.Class) }
		node.Serve()
		nodes = append(nodes, node)
		hosts = append(hosts, node.ListEntry(1))
	}
	discovery, err := stand.StartDiscovery(record, hosts)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	rpcAddr, err := stand.FreeAddr()
	if err != nil {
		return false, err
	}
	sidecar, err := stand.StartSidecar(stand.Start{
		Root: root, Dir: dir, Discovery: discovery.Addr, Known: discovery.Whole(), Settings: stand.Settings(),
		Limits:   stand.Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
		Operator: fmt.Sprintf("[[listener]]\nprotocol = \"msgpack-rpc\"\naddress = %q\n", rpcAddr),
	})
	if err != nil {
		return false, err
	}
	defer sidecar.Kill()

	var clients sync.WaitGroup
	end := time.Now().Add(length)
	clients.Go(func() { w.badClient(rpcAddr, end) })
	client := stand.NewClient()
	for time.Now().Before(end) {
		clients.Go(func() { w.usualRequest(client, sidecar.Addr) })
		time.Sleep(usualPause)
	}
	clients.Wait()
	time.Sleep(200 * time.Millisecond)
	return w.judge(nodes, sidecar), nil
}

// usualRequest sends one request and checks that its answer was made for it.
func (w *world) usualRequest(client *stand.Client, addr string) {
	request := stand.Request{ID: stand.NewID("reading"), Class: "weight-reading", Tenant: "downs-apiarists",
		Timeout: time.Second, Body: "21.4 kg"}
	request.Key = "key-" + request.ID
	w.register(request.ID)
	w.record.Line("usual client sends %s", request.ID)
	answer := client.Do(addr, request)
	switch {
	case answer.Status == 200 && !stand.IsAnswerTo(request.ID, answer.Body):
		w.foreign.Add(1)
		w.record.Line("FOREIGN ANSWER: usual client sent %s and is answered 200 %q", request.ID, answer.Body)
	case answer.Status == 200:
		w.served.Add(1)
		w.record.Line("usual client: %s is answered 200 %q", request.ID, answer.Body)
	default:
		w.failed.Add(1)
		w.record.Line("usual client: %s is answered %d, %v", request.ID, answer.Status, answer.Err)
	}
}

func (w *world) register(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent[id] = true
}

// badClient sends calls with one connection and reads what it is sent.
func (w *world) badClient(addr string, end time.Time) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		w.record.Line("bad client: %v", err)
		return
	}
	defer conn.Close()
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				return
			}
			w.record.Line("bad client reads %q", buffer[:n])
		}
	}()
	for number := uint32(1); time.Now().Before(end); number++ {
		call := w.badCall(number)
		w.register(call.ID)
		w.record.Line("bad client sends %s with fields %v and body %q", call.ID, call.Fields, call.Body)
		if _, err := conn.Write(call.Encode()); err != nil {
			w.record.Line("bad client: %v", err)
			return
		}
		time.Sleep(badPause)
	}
	time.Sleep(gracePeriod)
}

// badCall returns a call whose body holds another request. Without the disruption it has no field that
// concerns the length.
func (w *world) badCall(number uint32) stand.RPCCall {
	hiddenBody := "60 kg"
	hidden := []string{
		"0", "", "POST /api HTTP/1.1", "Host: service.internal", fmt.Sprintf("Request-Id: hidden-%06d", number),
		"Request-Class: harvest-entry", "Tenant: lockyer-keepers", "Request-Timeout: 2.000",
		fmt.Sprintf("Content-Length: %d", len(hiddenBody)), "", hiddenBody,
	}
	call := stand.RPCCall{MsgID: number, ID: stand.NewID("bad"), Class: "harvest-entry", Tenant: "downs-apiarists",
		LeftMs: 2000, Body: []byte(strings.Join(hidden, "\r\n"))}
	if stand.Trouble() {
		call.Fields = [][2]string{{"Transfer-Encoding", "chunked"}}
	}
	return call
}

// judge counts the requests that ran though no client sent them, and the foreign answers.
func (w *world) judge(nodes []*stand.Node, sidecar *stand.Sidecar) (broken bool) {
	ran, neverSent, bothLengths := 0, 0, 0
	for _, node := range nodes {
		bothLengths += node.BothLengths()
		for _, call := range node.Calls() {
			ran++
			if !w.sent[call.ID] {
				neverSent++
				w.record.Line("NEVER SENT: %s ran %s (%s)", node.Name, call.ID, call.Class)
			}
		}
	}
	w.record.Say("requests that ran: %d, of them never sent by a client: %d", ran, neverSent)
	w.record.Say("requests that reached a node with both lengths in their heads: %d", bothLengths)
	w.record.Say("usual clients: served %d, answered with another request's answer %d, other answers %d",
		w.served.Load(), w.foreign.Load(), w.failed.Load())
	w.record.Line("log of the sidecar:\n%s", sidecar.LogTail())
	return neverSent > 0 || w.foreign.Load() > 0
}
