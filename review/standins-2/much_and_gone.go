package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// playMuchAndGone has clients that send much at once and go.
func playMuchAndGone(p *play) (broken []string, err error) {
	pods := []*pod{newHivesPod(1)}
	var mu sync.Mutex
	tries := map[string]int{}
	treat := func(id string) treatment { // the first connection under a request is reset after 200 ms
		mu.Lock()
		defer mu.Unlock()
		tries[id]++
		if tries[id] == 1 && id[0] == 'g' {
			return treatment{work: 200 * time.Millisecond, reset: true}
		}
		return treatment{work: 50 * time.Millisecond}
	}
	var nodes []*node
	var list []entry
	for i := range 9 {
		n, err := startNode(p, fmt.Sprintf("s-%02d", i), loopback+":0", pods[0], treat)
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
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { p.load(&pool{address: s.address}, 60, stop, newReading, nil); close(done) }()
	gone := make(map[string]time.Time)
	for i := range 40 {
		a := newReading()
		a.id = "g" + a.id
		a.key = "k-" + a.id
		at, err := p.sendAndGo(s.address, a)
		if err != nil {
			p.record("client %d: %v", i, err)
		} else {
			gone[a.id] = at
		}
		time.Sleep(400 * time.Millisecond)
	}
	close(stop)
	<-done
	p.copyLog(s)
	for _, a := range all(nodes) {
		at, left := gone[a.id]
		if left && a.at.Sub(at) > 150*time.Millisecond {
			broken = append(broken, fmt.Sprintf("%s reached %s %v after its client had closed its connection", a.id, a.node.name, a.at.Sub(at).Round(time.Millisecond)))
		}
	}
	return broken, nil
}

// sendAndGo sends a request, with the trouble 400 more behind it, and closes the connection.
func (p *play) sendAndGo(address string, a ask) (time.Time, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return time.Time{}, err
	}
	text := a.bytes()
	if p.trouble {
		for range 400 {
			more := newReading()
			text = append(text, more.bytes()...)
		}
	}
	if _, err := conn.Write(text); err != nil {
		conn.Close()
		return time.Time{}, err
	}
	time.Sleep(20 * time.Millisecond)
	conn.Close()
	at := time.Now()
	p.record("%s: sent %d bytes, closed", a.id, len(text))
	return at, nil
}
