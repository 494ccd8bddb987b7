// Command refused plays clients that follow the sidecar's refusals, while one of nine records nodes takes
// requests and answers none. The class is keyed, and all nodes drop its repeats within the window.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"review/stand"
)

const (
	length     = 25 * time.Second
	hangFrom   = 4 * time.Second
	hangFor    = 15 * time.Second      // 7.1: 6.1 to 19 s
	pause      = 12 * time.Millisecond // about 80 requests a second
	work       = 60 * time.Millisecond
	window     = 300 * time.Millisecond // of the class, in which all nodes drop a repeat
	slack      = 200 * time.Millisecond // 50 ms of the rules on sockets, and 150 ms for a process that is held up
	deadline   = time.Second            // of the class
	tryShare   = 0.65                   // a try is given up after this share of the deadline
	retries    = 2
	fleetNodes = 9
)

func main() { stand.Main(run) }

// execution is one execution of a key.
type execution struct {
	node, id string
	at       time.Time
}

type world struct {
	record *stand.Record
	mu     sync.Mutex
	runs   map[string][]execution // by key
	twice  map[string]bool        // keys that were executed twice after the window

	served, refusals, failed, other atomic.Int64
}

func run(record *stand.Record, root, dir string) (broken bool, err error) {
	w := &world{record: record, runs: make(map[string][]execution), twice: make(map[string]bool)}
	var hosts []stand.Host
	var hangs atomic.Bool
	for i := range fleetNodes {
		node, err := stand.StartNode(fmt.Sprintf("records-%02d", i+1), work)
		if err != nil {
			return false, err
		}
		defer node.Close()
		node.Answer = func(conn net.Conn, call stand.Call) bool {
			w.execute(call)
			if i == 0 && hangs.Load() {
				time.Sleep(hangFor)
				return false
			}
			time.Sleep(work)
			return stand.WriteAnswer(conn, stand.AnswerTo(call.ID, call.Node))
		}
		node.Serve()
		hosts = append(hosts, node.ListEntry(1))
	}
	discovery, err := stand.StartDiscovery(record, hosts)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	settings := stand.Settings()
	class := settings["classes"].([]map[string]any)[0]
	class["dedup_scope"], class["window_ms"] = "all", window.Milliseconds()
	sidecar, err := stand.StartSidecar(stand.Start{
		Root: root, Dir: dir, Discovery: discovery.Addr, Known: discovery.Whole(), Settings: settings,
		Limits: stand.Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
	})
	if err != nil {
		return false, err
	}
	defer sidecar.Kill()
	if stand.Trouble() {
		time.AfterFunc(hangFrom, func() { hangs.Store(true); record.Line("records-01 hangs") })
		time.AfterFunc(hangFrom+hangFor, func() { hangs.Store(false); record.Line("records-01 hangs no longer") })
	}
	client := stand.NewClient()
	var clients sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		clients.Go(func() { w.reading(client, sidecar.Addr) })
	}
	clients.Wait()
	record.Say("served %d, refusals %d, failed %d, other %d", w.served.Load(), w.refusals.Load(), w.failed.Load(), w.other.Load())
	record.Say("readings that ran again after the window, each after a refusal: %d", len(w.twice))
	return len(w.twice) > 0, nil
}

// execute runs a request, unless its key ran within the window.
func (w *world) execute(call stand.Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	earlier := w.runs[call.Key]
	for _, run := range earlier {
		if since := call.At.Sub(run.at); since <= window+slack {
			w.record.Line("%s drops %s: key %s ran %v ago", call.Node, call.ID, call.Key, since)
			return
		}
	}
	if len(earlier) > 0 {
		w.twice[call.Key] = true
		w.record.Line("RUN TWICE: %s runs %s (key %s), which %s ran %v ago as %s", call.Node, call.ID, call.Key,
			earlier[0].node, call.At.Sub(earlier[0].at), earlier[0].id)
	}
	w.runs[call.Key] = append(earlier, execution{node: call.Node, id: call.ID, at: call.At})
	w.record.Line("%s runs %s (key %s)", call.Node, call.ID, call.Key)
}

// reading sends a weight reading, and again after a refusal: after a pause that doubles (the site's backoff),
// or after the pause that the refusal tells, if that is longer, under a new id and with the same key.
func (w *world) reading(client *stand.Client, addr string) {
	key := stand.NewID("key")
	first := time.Now()
	backoff := time.Duration(25+rand.IntN(175)) * time.Millisecond
	for try := 0; try <= retries; try++ {
		left := deadline - time.Since(first)
		if left <= 0 {
			return
		}
		request := stand.Request{ID: stand.NewID("reading"), Class: "weight-reading", Tenant: "downs-apiarists", Key: key,
			Timeout: min(left, time.Duration(tryShare*float64(deadline)))}
		answer := client.Do(addr, request)
		w.record.Line("%s (key %s) is answered %d after %v, Retry-After %v, %v", request.ID, key, answer.Status, answer.Took,
			answer.RetryAfter, answer.Err)
		switch answer.Status {
		case 200:
			w.served.Add(1)
			return
		case 429, 503:
			w.refusals.Add(1)
		case 0:
			w.other.Add(1)
			return
		default:
			w.failed.Add(1)
			return
		}
		time.Sleep(max(answer.RetryAfter, backoff))
		backoff *= 2
	}
}
