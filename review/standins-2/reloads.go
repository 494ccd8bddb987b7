package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	reloads        = 6
	reloadInterval = 3 * time.Second
	// A sidecar may not reject all that it gets, rejectedLeast or more, for rejectedFor on end.
	rejectedFor   = 4 * time.Second
	rejectedLeast = 15
)

// quotaFile is the operators' file: the requests in flight of the whole service are bounded.
const quotaFile = `[[quota]]
name = "service"
requests = 290.0
concurrent = 30

[[quota]]
name = "downs"
parent = "service"
tenant = "downs-apiarists"
requests = 229.0
weight = 0.79

[[quota]]
name = "lockyer"
parent = "service"
tenant = "lockyer-keepers"
requests = 61.0
weight = 0.21
`

// playReloads moves discovery with several new configurations in a row, beside quotas that do not change.
func playReloads(p *play) (broken []string, err error) {
	treat := func(string) treatment { return treatment{work: time.Duration(39+rand.IntN(31)) * time.Millisecond} }
	var nodes []*node
	var list []entry
	for i := range 9 {
		n, err := startNode(p, fmt.Sprintf("s-%02d", i), loopback+":0", newHivesPod(1), treat)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		list = append(list, entryOf(n, 0))
	}
	var agents []*agent
	for range 2 {
		discovery, err := startAgent(p, list)
		if err != nil {
			return nil, err
		}
		agents = append(agents, discovery)
	}
	operators := filepath.Join(p.folder, "operators.toml")
	if err := os.WriteFile(operators, []byte(quotaFile), 0o600); err != nil {
		return nil, err
	}
	config := hives(agents[0].address, agents[0].whole())
	s, err := p.startSidecar("n0", config, " run --operator "+operators)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var rejected, others []time.Time // when answers came
	check := func(_ ask, got answer) {
		mu.Lock()
		defer mu.Unlock()
		if got.status == 503 || got.status == 429 {
			rejected = append(rejected, time.Now())
		} else {
			others = append(others, time.Now())
		}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { p.load(&pool{address: s.address}, 97, stop, newReading, check); close(done) }()
	time.Sleep(2 * time.Second)
	for i := range reloads {
		if p.trouble {
			config["discovery"] = agents[(i+1)%2].address
			if err := p.reload(s, config); err != nil {
				return nil, err
			}
		}
		time.Sleep(reloadInterval)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	<-done
	p.copyLog(s)
	for _, a := range all(nodes) {
		others = append(others, a.at) // an attempt in between ends the time too
	}
	return rejectsAll(rejected, others), p.checkServed(s)
}

// reload replaces the sidecar's configuration and sends SIGHUP.
func (p *play) reload(s *sidecar, config map[string]any) error {
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(s.config+".new", text, 0o600); err != nil {
		return err
	}
	if err := os.Rename(s.config+".new", s.config); err != nil {
		return err
	}
	p.record("new configuration: discovery is at %s; SIGHUP", config["discovery"])
	s.signal(syscall.SIGHUP)
	return nil
}

// rejectsAll describes each time of rejectedFor or more in which there were rejections and nothing else.
func rejectsAll(rejected, others []time.Time) (broken []string) {
	slices.SortFunc(rejected, time.Time.Compare)
	slices.SortFunc(others, time.Time.Compare)
	for len(rejected) > 0 {
		from := rejected[0]
		next := time.Now()
		if i := slices.IndexFunc(others, func(t time.Time) bool { return t.After(from) }); i >= 0 {
			next = others[i]
		}
		count := 0
		for count < len(rejected) && rejected[count].Before(next) {
			count++
		}
		last := rejected[max(0, count-1)]
		if count >= rejectedLeast && last.Sub(from) >= rejectedFor {
			broken = append(broken, fmt.Sprintf("the sidecar rejected all %d requests of %v, and sent none on", count, last.Sub(from).Round(time.Millisecond)))
		}
		rejected = rejected[max(1, count):]
	}
	return broken
}
