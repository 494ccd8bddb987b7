// Command refused plays clients that follow the sidecar's refusals, while one of nine ledgers takes requests and
// answers none. The class is keyed, and all ledgers drop its repeats within the window.
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
	length     = 22 * time.Second
	hangFrom   = 4 * time.Second
	hangFor    = 12 * time.Second      // the site: 5 to 15 s
	pause      = 20 * time.Millisecond // about 50 requests a second
	work       = 85 * time.Millisecond
	window     = 600 * time.Millisecond // of the class, in which all ledgers drop a repeat; the site: 1,500 ms
	slack      = 200 * time.Millisecond // 50 ms of the rules on sockets, and 150 ms for a process that is held up
	deadline   = 3 * time.Second        // of the class
	tryShare   = 0.75                   // a try is given up after this share of the deadline
	retries    = 2
	fleetNodes = 9
)

func main() { stand.Main(run) }

// settings are those of deploy/sites/roma-meters.toml, but for the window of tariff-change.
func settings() map[string]any {
	return map[string]any{
		"balancers": 1, "zone": 0, "period_ms": 5, "discovery": "ask", "zones": []string{"warrego", "maranoa"},
		"caps": map[string]any{
			"most_tries": 4, "may_cancel": true, "probes": true, "second_copies": true, "retry_after": true,
			"max_retry_after_ms": 900, "dial_timeout_ms": 300, "conn_idle_ms": 12000, "streams_per_conn": 1,
		},
		"rules": map[string]any{
			"cold_from": 0.25, "cold_ms": 11000, "fall_multiple": 2.2, "overload_for_ms": 1200, "ask_within_ms": 10000,
			"stop_sending_within_ms": 1500, "answer_slack_ms": 20,
		},
		"telemetry":     map[string]any{"how": "piggyback", "columns": []string{"busy_reqs", "pending"}},
		"client_habits": map[string]any{"marks_retry": false},
		"charges":       map[string]any{"probe": 0.006, "cross_zone": 0.04},
		"classes": []map[string]any{
			{"name": "meter-read", "semantics": "free", "aim_ms": 350, "hard_limit_ms": 800, "worth": 1, "late_share": 0.2},
			{"name": "tariff-change", "semantics": "guarded", "dedup_scope": "all", "window_ms": window.Milliseconds(),
				"aim_ms": 900, "hard_limit_ms": deadline.Milliseconds(), "worth": 4, "late_share": 0},
			{"name": "valve-order", "semantics": "single_shot", "aim_ms": 1200, "hard_limit_ms": 4500, "worth": 8, "late_share": 0.3},
		},
		"orgs": []map[string]any{
			{"name": "council", "share": 0.5, "quota_per_s": 100},
			{"name": "stations", "share": 0.3, "quota_per_s": 60},
			{"name": "bores", "share": 0.2, "quota_per_s": 40},
		},
	}
}

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
		node, err := stand.StartNode(fmt.Sprintf("ledger-%02d", i+1), work)
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
		host := node.ListEntry(1 + i%2)
		host.Site, host.Class = []string{"warrego", "maranoa"}[i%2], "small"
		hosts = append(hosts, host)
	}
	discovery, err := stand.StartDiscovery(record, hosts)
	if err != nil {
		return false, err
	}
	defer discovery.Close()
	sidecar, err := stand.StartSidecar(stand.Start{
		Root: root, Dir: dir, Discovery: discovery.Addr, Known: discovery.Whole(), Settings: settings(),
		Limits: stand.Limits{Cores: 1, MemoryMB: 64, Sockets: 512},
	})
	if err != nil {
		return false, err
	}
	defer sidecar.Kill()
	if stand.Trouble() {
		time.AfterFunc(hangFrom, func() { hangs.Store(true); record.Line("ledger-01 hangs") })
		time.AfterFunc(hangFrom+hangFor, func() { hangs.Store(false); record.Line("ledger-01 hangs no longer") })
	}
	client := stand.NewClient()
	var clients sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		clients.Go(func() { w.change(client, sidecar.Addr) })
	}
	clients.Wait()
	record.Say("served %d, refusals %d, failed %d, other %d", w.served.Load(), w.refusals.Load(), w.failed.Load(), w.other.Load())
	record.Say("changes that ran again after the window, each after a refusal: %d", len(w.twice))
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

// change sends a tariff change, and again after a refusal: after a pause that doubles (the site's backoff),
// or after the pause that the refusal tells, if that is longer, under a new id and with the same key.
func (w *world) change(client *stand.Client, addr string) {
	key := stand.NewID("key")
	first := time.Now()
	backoff := time.Duration(40+rand.IntN(120)) * time.Millisecond
	for try := 0; try <= retries; try++ {
		left := deadline - time.Since(first)
		if left <= 0 {
			return
		}
		request := stand.Request{ID: stand.NewID("change"), Class: "tariff-change", Tenant: "council", Key: key,
			Timeout: min(left, time.Duration(tryShare*float64(deadline)))}
		w.record.Line("client sends %s (key %s)", request.ID, key)
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
