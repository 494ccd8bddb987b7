package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// labelNodes is a plug-in that marks the nodes of two zones for the operators' pools.
const labelNodes = `# Marks the nodes on this side of the river, so that a pool can match them.
on member {
	if event.site == "mary" or event.site == "cooloola" {
		label("site", "inland")
	}
}
`

// playLabelledZones has connections reset under requests that have run, beside a plug-in that labels nodes.
func playLabelledZones(p *play) (broken []string, err error) {
	treat := func(string) treatment {
		work := time.Duration(25+rand.IntN(20)) * time.Millisecond
		return treatment{work: work, reset: p.trouble && rand.Float64() < resetShare}
	}
	var nodes []*node
	var list []entry
	for i, zone := range freightZones {
		pod := newPod(i+1, zone, 250*time.Millisecond)
		for j := range 3 {
			n, err := startNode(p, fmt.Sprintf("s-%s-%d", zone, j), loopback+":0", pod, treat)
			if err != nil {
				return nil, err
			}
			nodes = append(nodes, n)
			list = append(list, entryOf(n, 0))
		}
	}
	discovery, err := startAgent(p, list)
	if err != nil {
		return nil, err
	}
	arguments, err := p.writePlugin()
	if err != nil {
		return nil, err
	}
	known := discovery.whole()
	known["seq"] = 0 // an old version, so that discovery answers with the whole list
	s, err := p.startSidecar("n0", freight(discovery.address, known), arguments)
	if err != nil {
		return nil, err
	}
	next := func() ask {
		a := newReading()
		a.class, a.tenant, a.timeout = "booking", "hauliers", 700*time.Millisecond
		return a
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { p.load(&pool{address: s.address}, 90, stop, next, nil); close(done) }()
	time.Sleep(20 * time.Second)
	close(stop)
	<-done
	p.copyLog(s)
	return twice(all(nodes)), p.checkServed(s)
}

// writePlugin writes the plug-in and an operators' file that names it, and returns the arguments of the command.
// With PLUGIN=0 in the environment there is none.
func (p *play) writePlugin() (arguments string, err error) {
	if os.Getenv("PLUGIN") == "0" {
		return "", nil
	}
	if err := os.WriteFile(filepath.Join(p.folder, "inland.hook"), []byte(labelNodes), 0o600); err != nil {
		return "", err
	}
	operators := filepath.Join(p.folder, "operators.toml")
	text := "[[plugin]]\nname = \"inland\"\nfile = \"inland.hook\"\n"
	return " run --operator " + operators, os.WriteFile(operators, []byte(text), 0o600)
}
