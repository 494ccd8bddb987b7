package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// resetShare is the share of the requests whose connection is reset after they have run.
const resetShare = 0.1

// The times of a replacement. The site tells the end of a process after 1.1 to 3.9 s, a start after 0.81 to 2.3 s.
const (
	replaced    = 6 // upstreams, of twelve
	startAfter  = 500 * time.Millisecond
	startNotice = time.Second
	goneNotice  = 3900 * time.Millisecond
	playTime    = 27 * time.Second
)

// playAddressReuse replaces upstreams, one after the other, by new ones of another pod and under new ids, at the
// addresses of those that have gone.
func playAddressReuse(p *play) (broken []string, err error) {
	pods := []*pod{newHivesPod(1), newHivesPod(2)}
	treat := func(string) treatment {
		return treatment{work: time.Duration(30+rand.IntN(40)) * time.Millisecond, reset: rand.Float64() < resetShare}
	}
	var nodes []*node
	var list []entry
	for i := range 12 {
		n, err := startNode(p, fmt.Sprintf("s-old-%02d", i), loopback+":0", pods[i%2], treat)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
		list = append(list, entryOf(n, 0))
	}
	discovery, err := startAgent(p, list)
	if err != nil {
		return nil, err
	}
	s, err := p.startSidecar("n0", hives(discovery.address, discovery.whole()), "")
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { p.load(&pool{address: s.address}, 100, stop, newReading, nil); close(done) }()
	time.Sleep(3 * time.Second)
	if p.trouble {
		if nodes, err = p.replace(discovery, nodes, pods[1], treat); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(playTime)
	}
	close(stop)
	<-done
	p.copyLog(s)
	return twice(all(nodes)), p.checkServed(s)
}

// replace replaces the upstreams of the first pod, one after the other.
func (p *play) replace(discovery *agent, nodes []*node, pod *pod, treat func(string) treatment) ([]*node, error) {
	for i := 0; i < 2*replaced; i += 2 {
		old := nodes[i]
		p.record("%s at %s dies", old.name, old.address)
		goneAt := time.Now()
		old.die()
		time.Sleep(startAfter)
		born := time.Now()
		started, err := startNode(p, fmt.Sprintf("s-new-%02d", i), old.address, pod, treat)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, started)
		p.record("%s, of block %d, starts at %s", started.name, pod.number, started.address)
		time.Sleep(startNotice)
		discovery.set(entryOf(started, born.UnixMilli()))
		time.Sleep(time.Until(goneAt.Add(goneNotice)))
		gone := entryOf(old, 0)
		gone.Health = "removed"
		discovery.set(gone)
	}
	return nodes, nil
}

func entryOf(n *node, born int64) entry {
	return entry{Host: n.name, Dial: n.address, Site: n.pod.zone, Class: "std-2", Block: n.pod.number, Health: "up", Share: 1, Born: born}
}

// twice returns a description of each key whose effect was applied more than once.
func twice(arrivals []*arrival) (broken []string) {
	first := make(map[string]*arrival)
	for _, a := range arrivals {
		if !a.ran || a.key == "" {
			continue
		}
		other := first[a.key]
		if other == nil {
			first[a.key] = a
			continue
		}
		broken = append(broken, fmt.Sprintf("key %s ran twice: %s at %s (block %d) and %s at %s (block %d), %v apart", a.key, other.id, other.node.name,
			other.node.pod.number, a.id, a.node.name, a.node.pod.number, a.at.Sub(other.at).Abs().Round(time.Millisecond)))
	}
	return broken
}
