package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// playOldReplica takes an upstream out of service in a registry of two replicas, of which the one in use falls
// silent right after it has told so.
func playOldReplica(p *play) (broken []string, err error) {
	pods := []*pod{newHivesPod(1)}
	treat := func(string) treatment { return treatment{work: 50 * time.Millisecond} }
	var nodes []*node
	for i := range 6 {
		n, err := startNode(p, fmt.Sprintf("s-%02d", i), loopback+":0", pods[0], treat)
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, n)
	}
	first, err := startReplica(p, "A", nodes)
	if err != nil {
		return nil, err
	}
	second, err := startReplica(p, "B", nodes)
	if err != nil {
		return nil, err
	}
	operators := filepath.Join(p.folder, "operators.toml")
	text := fmt.Sprintf(`[membership]
platform = false

[[eureka]]
name = "records"
replicas = ["http://%s/eureka/v2", "http://%s/eureka/v2"]
apps = ["RECORDS"]
interval = "1s"
timeout = "1s"
metadata.cell = "cell"
metadata.site = "zone"
`, first.address, second.address)
	if err := os.WriteFile(operators, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s, err := p.startSidecar("n0", hives("127.0.0.1:1", nil), " run --operator "+operators)
	if err != nil {
		return nil, err
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { p.load(&pool{address: s.address}, 60, stop, newReading, nil); close(done) }()
	time.Sleep(4 * time.Second)
	drained := nodes[0]
	first.setStatus(drained, "OUT_OF_SERVICE")
	for len(first.answered) > 0 {
		<-first.answered
	}
	<-first.answered
	told := time.Now()
	if p.trouble {
		first.setSilent(true)
	}
	time.Sleep(15 * time.Second)
	second.setStatus(drained, "OUT_OF_SERVICE")
	time.Sleep(time.Second)
	close(stop)
	<-done
	p.copyLog(s)
	for _, a := range all([]*node{drained}) {
		if after := a.at.Sub(told); after > 2050*time.Millisecond {
			broken = append(broken, fmt.Sprintf("%s reached %s %v after the sidecar was told that it is out of service", a.id, drained.name, after.Round(time.Millisecond)))
		}
	}
	return broken, nil
}
