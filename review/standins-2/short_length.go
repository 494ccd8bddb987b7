package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// wrongLengthShare is the share of the answers whose length does not fit.
const wrongLengthShare = 0.05

// playShortLength has upstreams some of whose answers have a Content-Length that is less than their body.
func playShortLength(p *play) (broken []string, err error) {
	pods := []*pod{newHivesPod(1)}
	treat := func(id string) treatment {
		t := treatment{work: time.Duration(30+rand.IntN(30)) * time.Millisecond}
		if p.trouble && rand.Float64() < wrongLengthShare {
			t.serve = serveShortLength
		}
		return t
	}
	var list []entry
	for i := range 9 {
		n, err := startNode(p, fmt.Sprintf("s-%02d", i), loopback+":0", pods[0], treat)
		if err != nil {
			return nil, err
		}
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
	var mu sync.Mutex
	check := func(a ask, got answer) {
		if want := "served " + a.id; got.status == 200 && got.body != want {
			mu.Lock()
			broken = append(broken, fmt.Sprintf("%s %s was served with %q, its upstream had made %q", a.class, a.id, got.body, want))
			mu.Unlock()
		}
	}
	next := func() ask {
		if rand.IntN(5) == 0 {
			return newHarvest()
		}
		return newReading()
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { p.load(&pool{address: s.address}, 80, stop, next, check); close(done) }()
	time.Sleep(15 * time.Second)
	close(stop)
	<-done
	p.copyLog(s)
	return broken, nil
}

// serveShortLength writes an answer that says to be 6 bytes shorter than it is, and leaves the connection open.
func serveShortLength(conn net.Conn, body []byte) {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)-6, body)
	conn.Write([]byte(text))
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	conn.Read(make([]byte, 1)) // until the sidecar ends the connection

}
