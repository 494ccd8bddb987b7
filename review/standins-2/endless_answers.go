package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
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
	var nodes []*node
	var list []entry
	for i := range 12 {
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
	config := hives(discovery.address, discovery.whole())
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 256}
	s, err := p.startSidecar("n0", config, "")
	if err != nil {
		return nil, err
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { p.load(&pool{address: s.address}, busyRate, stop, newReading, nil); close(done) }()
	highest := 0
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if kb := residentKB(s.command.Process.Pid); kb > highest {
			highest = kb
			p.record("memory: %d KiB resident", kb)
		}
	}
	close(stop)
	<-done
	p.copyLog(s)
	p.record("highest: %d KiB", highest)
	if highest > memoryMB<<10 {
		broken = append(broken, fmt.Sprintf("the sidecar held %d KiB, its limit is %d KiB", highest, memoryMB<<10))
	}
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

// residentKB returns the memory that a process holds, in KiB.
func residentKB(pid int) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
