package main

import (
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// watchMemory sends requests at a rate for a time and watches the memory of the sidecar. As the platform does, it
// kills a sidecar that holds more than its limit.
func (p *play) watchMemory(s *sidecar, limitMB int, rate float64, length time.Duration) (broken []string) {
	var unanswered atomic.Int64
	check := func(_ ask, got answer) {
		if got.err != nil {
			unanswered.Add(1)
		}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { p.load(&pool{address: s.address}, rate, stop, newReading, check); close(done) }()
	highest := 0
	for until := time.Now().Add(length); time.Now().Before(until) && highest <= limitMB<<10; time.Sleep(20 * time.Millisecond) {
		if kb := residentKB(s.command.Process.Pid); kb > highest {
			highest = kb
			p.record("memory: %d KiB resident", kb)
		}
	}
	p.record("highest: %d KiB", highest)
	exceeded := highest > limitMB<<10
	if exceeded {
		p.record("over the limit: the platform kills the sidecar")
		s.kill()
	}
	close(stop)
	<-done
	if exceeded {
		broken = append(broken, fmt.Sprintf("the sidecar held %d KiB, its limit is %d KiB: it was killed, and %d requests got no answer",
			highest, limitMB<<10, unanswered.Load()))
	}
	return broken
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
