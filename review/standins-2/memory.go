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
	for until := time.Now().Add(length); time.Now().Before(until) && highest <= limitMB<<10 && !s.hasExited(); time.Sleep(20 * time.Millisecond) {
		if kb := memoryKB(s.command.Process.Pid, "RssAnon"); kb > highest {
			highest = kb
			p.record("memory: %d KiB anonymous, %d KiB resident", kb, memoryKB(s.command.Process.Pid, "VmRSS"))
		}
	}
	p.record("highest: %d KiB anonymous", highest)
	if s.hasExited() {
		broken = append(broken, "the sidecar ended by itself")
	}
	exceeded := highest > limitMB<<10
	if exceeded {
		p.record("over the limit: the platform kills the sidecar")
		s.kill()
	}
	close(stop)
	<-done
	if exceeded {
		broken = append(broken, fmt.Sprintf("the sidecar held %d KiB of anonymous memory, its limit is %d KiB: it was killed, and %d requests got no answer",
			highest, limitMB<<10, unanswered.Load()))
	}
	return broken
}

// memoryKB returns a figure of the memory that a process holds, in KiB: RssAnon has no mapped files, VmRSS has all.
func memoryKB(pid int, figure string) (kb int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, figure+":"); found {
			fmt.Sscan(rest, &kb)
		}
	}
	return kb
}
