// Command removed plays a release: six of ten records nodes are replaced by new ones, told in one message
// of the platform's discovery, and are switched off some seconds later. The sidecar has one more source in its
// operators' file, a static list.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	calmFor    = 4 * time.Second // before the release
	stayFor    = 8 * time.Second // a replaced node goes on answering, and then its machine is switched off
	afterwards = 8 * time.Second
	pause      = 12 * time.Millisecond // about 80 requests a second
	work       = 60 * time.Millisecond
	oldNodes   = 10
	replaced   = 6
	grace      = 2*time.Second + 50*time.Millisecond // of rule 3, with the slack on sockets
)

func main() { stand.Main(run) }

type world struct {
	record *stand.Record
	nodes  []*stand.Node

	served, refused, failed, failedEntries atomic.Int64
}

func (w *world) startNode(number int) (stand.Host, error) {
	node, err := stand.StartNode(fmt.Sprintf("records-%02d", number), work)
	if err != nil {
		return stand.Host{}, err
	}
	node.Run = func(call stand.Call) { w.record.Line("%s runs %s (%s)", call.Node, call.ID, call.Class) }
	node.Serve()
	w.nodes = append(w.nodes, node)
	return node.ListEntry(1), nil
}

func run(record *stand.Record, root, dir string) (broken bool, err error) {
	w := &world{record: record}
	defer func() {
		for _, node := range w.nodes {
			node.Close()
		}
	}()
	var hosts []stand.Host
	for i := range oldNodes {
		host, err := w.startNode(i + 1)
		if err != nil {
			return false, err
		}
		hosts = append(hosts, host)
	}
	spare, err := w.startNode(90) // in the static list alone
	if err != nil {
		return false, err
	}
	discovery, err := stand.StartDiscovery(record, hosts)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	sidecar, err := stand.StartSidecar(stand.Start{
		Root: root, Dir: dir, Discovery: discovery.Addr, Known: discovery.Whole(), Settings: stand.Settings(),
		Limits:   stand.Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
		Operator: fmt.Sprintf("[[static]]\nname = \"spare\"\nnodes = [%q]\n", spare.Dial),
	})
	if err != nil {
		return false, err
	}
	defer sidecar.Kill()

	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { w.load(&clients, sidecar.Addr, stop) })
	time.Sleep(calmFor)
	told := time.Now()
	if stand.Trouble() {
		if err := w.release(discovery, hosts); err != nil {
			return false, err
		}
	}
	time.Sleep(stayFor)
	if stand.Trouble() {
		for _, node := range w.nodes[:replaced] {
			record.Line("%s is switched off", node.Name)
			if err := node.Vanish(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(afterwards)
	close(stop)
	clients.Wait()
	return w.judge(told, sidecar), nil
}

// release replaces the first nodes by new ones in one message.
func (w *world) release(discovery *stand.Discovery, hosts []stand.Host) error {
	var changes, added []stand.Host
	for i := range replaced {
		gone := hosts[i]
		gone.Health = "removed"
		host, err := w.startNode(oldNodes + i + 1)
		if err != nil {
			return err
		}
		host.BornMs = float64(time.Now().UnixMilli())
		changes, added = append(changes, gone), append(added, host)
		w.record.Line("discovery tells: %s removed, %s up", gone.Host, host.Host)
	}
	discovery.Change(append(changes, added...)...)
	return nil
}

func (w *world) load(clients *sync.WaitGroup, addr string, stop chan struct{}) {
	client := stand.NewClient()
	for number := 0; ; number++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		request := stand.Request{ID: stand.NewID("reading"), Class: "weight-reading", Tenant: "downs-apiarists", Timeout: time.Second}
		if number%5 == 0 {
			request = stand.Request{ID: stand.NewID("entry"), Class: "harvest-entry", Tenant: "lockyer-keepers", Timeout: 2500 * time.Millisecond}
		} else {
			request.Key = "key-" + request.ID
		}
		clients.Go(func() { w.send(client, addr, request) })
	}
}

func (w *world) send(client *stand.Client, addr string, request stand.Request) {
	answer := client.Do(addr, request)
	w.record.Line("%s is answered %d %q, %v", request.ID, answer.Status, answer.Body, answer.Err)
	switch answer.Status {
	case 200:
		w.served.Add(1)
	case 429, 503:
		w.refused.Add(1)
	default:
		w.failed.Add(1)
		if request.Class == "harvest-entry" {
			w.failedEntries.Add(1)
		}
	}
}

// judge counts the requests that began at a removed node after the grace.
func (w *world) judge(told time.Time, sidecar *stand.Sidecar) (broken bool) {
	late := 0
	for _, node := range w.nodes[:replaced] {
		lateHere, last := 0, time.Duration(0)
		for _, call := range node.Calls() {
			if since := call.At.Sub(told); stand.Trouble() && since > grace {
				lateHere++
				last = since
				w.record.Line("LATE: %s got %s %.3f s after it was told to be gone", node.Name, call.ID, since.Seconds())
			}
		}
		late += lateHere
		w.record.Say("%s: new requests later than %v after the notice: %d, the last %.1f s after it", node.Name, grace, lateHere, last.Seconds())
	}
	w.record.Say("served %d, refused %d, answered as failed %d (harvest entries: %d)", w.served.Load(), w.refused.Load(),
		w.failed.Load(), w.failedEntries.Load())
	w.record.Line("log of the sidecar:\n%s", sidecar.LogTail())
	return late > 0
}
