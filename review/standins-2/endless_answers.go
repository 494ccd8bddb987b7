package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"
)

const (
	memoryMB     = 32  // the sidecar's memory limit in MiB
	endlessShare = 0.3 // the share of the answers that never end
	busyRate     = 200 // requests a second
)

// playEndlessAnswers has upstreams some of whose answers never end, and watches the memory of the sidecar.
func playEndlessAnswers(p *play) (broken []string, err error) {
	pods := []*pod{newHivesPod(1)}
	treat := func(id string) treatment {
		t := treatment{work: time.Duration(30+rand.IntN(30)) * time.Millisecond}
		if p.trouble && rand.Float64() < endlessShare {
			t.serve = serveWithoutEnd
		}
		return t
	}
	var list []entry
	for i := range 12 {
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
	config := hives(discovery.address, discovery.whole())
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 256}
	s, err := p.startSidecar("n0", config, "")
	if err != nil {
		return nil, err
	}
	broken = p.watchMemory(s, memoryMB, busyRate, 20*time.Second)
	p.copyLog(s)
	return broken, nil
}

// serveWithoutEnd writes an answer in chunks that has no last one.
func serveWithoutEnd(conn net.Conn, body []byte) {
	conn.Write([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
	chunk := append([]byte("4000\r\n"), make([]byte, 0x4000+2)...)
	copy(chunk[len(chunk)-2:], "\r\n")
	for sent := 0; ; sent += 0x4000 {
		if _, err := conn.Write(chunk); err != nil {
			return
		}
		if sent > 960<<10 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
