package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"time"
)

const (
	stateMaps     = 16  // as many as the language allows
	stateMemoryMB = 32  // the sidecar's memory limit in MiB
	stateRate     = 200 // requests a second
	stateTime     = 60 * time.Second
)

// playRunawayState has a plug-in that goes on adding to its state, and watches the memory of the sidecar.
func playRunawayState(p *play) (broken []string, err error) {
	treat := func(string) treatment { return treatment{work: time.Duration(39+rand.IntN(31)) * time.Millisecond} }
	var list []entry
	for i := range 12 {
		n, err := startNode(p, fmt.Sprintf("s-%02d", i), loopback+":0", newHivesPod(1), treat)
		if err != nil {
			return nil, err
		}
		list = append(list, entryOf(n, 0))
	}
	discovery, err := startAgent(p, list)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(filepath.Join(p.folder, "seen.hook"), []byte(p.stateProgram()), 0o600); err != nil {
		return nil, err
	}
	operators := filepath.Join(p.folder, "operators.toml")
	if err := os.WriteFile(operators, []byte("[[plugin]]\nname = \"seen\"\nfile = \"seen.hook\"\n"), 0o600); err != nil {
		return nil, err
	}
	config := hives(discovery.address, discovery.whole())
	config["limits"] = map[string]any{"cores": 1.0, "memory_mb": stateMemoryMB, "sockets": 256}
	s, err := p.startSidecar("n0", config, " run --operator "+operators)
	if err != nil {
		return nil, err
	}
	broken = p.watchMemory(s, stateMemoryMB, stateRate, stateTime)
	p.copyLog(s)
	if len(broken) > 0 {
		return broken, nil
	}
	return nil, p.checkServed(s)
}

// stateProgram returns the plug-in's program: it remembers what it has seen, with the trouble in all the maps that
// the language allows.
func (p *play) stateProgram() string {
	maps := 0
	if p.trouble {
		maps = stateMaps
	}
	var text strings.Builder
	for i := range maps {
		fmt.Fprintf(&text, "state seen%d: map 10000 7d\n", i)
	}
	fmt.Fprintf(&text, "on request {\n\tcount(\"seen\")\n")
	for i := range maps {
		fmt.Fprintf(&text, "\tadd(seen%d, event.id + \"-%0110d\", 1)\n", i, i)
	}
	text.WriteString("}\n")
	return text.String()
}
