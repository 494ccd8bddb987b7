// Command unfinished plays bad clients that stop in the middle of a request and stay, beside usual clients.
// The platform kills the sidecar where it holds more memory than its limit.
package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	memoryMB    = 32       // the least of the page
	sockets     = 1024     // the most of the page
	badClients  = 330      // with those of the usual clients a third of the descriptors
	headBytes   = 16 << 10 // of an unfinished request
	bodyBytes   = 64 << 10 // that it names
	sentBytes   = 65000    // that it sends of them
	badAfter    = 3 * time.Second
	length      = 15 * time.Second
	usualPause  = 25 * time.Millisecond // 40 requests a second
	work        = 60 * time.Millisecond
	lookPause   = 20 * time.Millisecond
	owedWithin  = 3 * time.Second
	recordPause = 500 * time.Millisecond
)

func main() { stand.Main(run) }

type world struct {
	record  *stand.Record
	sidecar *stand.Sidecar

	served, other, lost, ended atomic.Int64
	killedAt                   atomic.Int64 // Unix time in ns; 0: not killed
	peak                       int
}

func run(record *stand.Record, root, dir string) (broken bool, err error) {
	w := &world{record: record}
	var hosts []stand.Host
	for i := range 9 {
		node, err := stand.StartNode(fmt.Sprintf("records-%02d", i+1), work)
		if err != nil {
			return false, err
		}
		defer node.Close()
		node.Run = func(call stand.Call) { record.Line("%s runs %s (%s)", call.Node, call.ID, call.Class) }
		node.Serve()
		hosts = append(hosts, node.ListEntry(1))
	}
	discovery, err := stand.StartDiscovery(record, hosts)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	w.sidecar, err = stand.StartSidecar(stand.Start{
		Root: root, Dir: dir, Discovery: discovery.Addr, Known: discovery.Whole(), Settings: stand.Settings(),
		Limits: stand.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets},
	})
	if err != nil {
		return false, err
	}
	defer w.sidecar.Kill()

	end := time.Now().Add(length)
	badFrom := time.Now().Add(badAfter)
	var clients sync.WaitGroup
	clients.Go(func() { w.watchMemory(end) })
	if stand.Trouble() {
		for number := range badClients {
			clients.Go(func() {
				time.Sleep(time.Until(badFrom))
				w.badClient(number, end)
			})
		}
	}
	client := stand.NewClient()
	for time.Now().Before(end) && w.killedAt.Load() == 0 {
		clients.Go(func() { w.usualRequest(client) })
		time.Sleep(usualPause)
	}
	clients.Wait()
	return w.judge(), nil
}

// watchMemory is the platform: it kills the sidecar over its memory limit.
func (w *world) watchMemory(end time.Time) {
	recordedAt := time.Time{}
	for time.Now().Before(end) && !w.sidecar.Ended() {
		resident, anonymous := w.memory()
		w.peak = max(w.peak, resident)
		if time.Since(recordedAt) >= recordPause {
			recordedAt = time.Now()
			w.record.Line("memory: %d KiB resident, %d KiB of them anonymous", resident, anonymous)
		}
		// Files that the process has mapped are not counted against it here, though the page counts them.
		if anonymous > memoryMB<<10 {
			w.killedAt.Store(time.Now().UnixNano())
			w.record.Say("platform: the sidecar holds %d KiB (anonymous memory alone %d KiB), its limit is %d KiB: killed",
				resident, anonymous, memoryMB<<10)
			w.sidecar.Kill()
			return
		}
		time.Sleep(lookPause)
	}
}

// memory returns the resident and the anonymous memory of the sidecar in KiB.
func (w *world) memory() (resident, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.sidecar.Pid()))
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %d kB", &resident)
		fmt.Sscanf(line, "RssAnon: %d kB", &anonymous)
	}
	return resident, anonymous
}

// badClient sends a request that it does not finish, reads what it is sent, and does the same again.
func (w *world) badClient(number int, end time.Time) {
	for try := 0; time.Now().Before(end) && w.killedAt.Load() == 0; try++ {
		conn, err := net.Dial("tcp", w.sidecar.Addr)
		if err != nil {
			time.Sleep(lookPause)
			continue
		}
		head := fmt.Sprintf("POST /api HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: bad-%d-%d\r\nRequest-Class: harvest-entry\r\n"+
			"Tenant: downs-apiarists\r\nRequest-Timeout: 2.500\r\nContent-Length: %d\r\nNote: ", number, try, bodyBytes)
		head += strings.Repeat("n", headBytes-len(head)) + "\r\n\r\n"
		began := time.Now()
		_, _ = io.WriteString(conn, head+strings.Repeat("b", sentBytes))
		conn.SetReadDeadline(time.Now().Add(2 * owedWithin))
		answer := make([]byte, 64)
		n, err := conn.Read(answer)
		conn.Close()
		if number%50 == 0 {
			w.record.Line("bad client %d: sent %d of %d bytes, then read %q (%v) after %.2f s", number,
				len(head)+sentBytes, len(head)+bodyBytes, answer[:n], err, time.Since(began).Seconds())
		}
	}
}

func (w *world) usualRequest(client *stand.Client) {
	request := stand.Request{ID: stand.NewID("entry"), Class: "harvest-entry", Tenant: "downs-apiarists",
		Timeout: 2500 * time.Millisecond, Body: "21 kg"}
	w.record.Line("usual client sends %s", request.ID)
	answer := client.Do(w.sidecar.Addr, request)
	switch {
	case answer.Status == 200:
		w.served.Add(1)
	case answer.Status != 0:
		w.other.Add(1)
	case w.killedAt.Load() != 0:
		w.lost.Add(1)
	default:
		w.ended.Add(1)
	}
	w.record.Line("usual client: %s is answered %d %q, %v", request.ID, answer.Status, answer.Body, answer.Err)
}

func (w *world) judge() (broken bool) {
	killed := w.killedAt.Load() != 0
	w.record.Say("most memory: %d KiB of %d KiB", w.peak, memoryMB<<10)
	w.record.Say("usual clients: served %d, other answers %d, no answer %d, no answer as the sidecar was killed %d",
		w.served.Load(), w.other.Load(), w.ended.Load(), w.lost.Load())
	w.record.Line("log of the sidecar:\n%s", w.sidecar.LogTail())
	return killed || w.sidecar.Ended()
}
