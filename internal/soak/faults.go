package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

// faults lists the faults from which a soak draws. inject returns when the fault has ended or has been injected.
var faults = []struct {
	name   string
	inject func(*environment, *rand.Rand)
}{
	{"planned restart", func(env *environment, rng *rand.Rand) {
		if s := env.drawSidecar(rng); s != nil {
			s.terminate()
			env.reportError(s.start())
			s.awaitReady(readyTimeout)
		}
	}},
	{"kill", func(env *environment, rng *rand.Rand) {
		if s := env.drawSidecar(rng); s != nil {
			env.reportError(s.killAndRestart())
		}
	}},
	{"stop and go on", func(env *environment, rng *rand.Rand) {
		if s := env.drawSidecar(rng); s != nil {
			s.stall(time.Duration(400+rng.IntN(1300)) * time.Millisecond)
		}
	}},
	{"new configuration", func(env *environment, rng *rand.Rand) {
		s := env.drawSidecar(rng)
		if s == nil {
			return
		}
		s.mu.Lock()
		s.activeAgent, s.discoveryChangedAt = 1-s.activeAgent, time.Now()
		text := s.config()
		s.mu.Unlock()
		env.reportError(s.writeConfig(text))
		s.signal(syscall.SIGHUP)
		if rng.IntN(2) == 0 { // Shortly after, an unreadable configuration and then the valid one again.
			time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
			env.reportError(s.writeConfig(text[:len(text)/2]))
			s.signal(syscall.SIGHUP)
			time.Sleep(50 * time.Millisecond)
			env.reportError(s.writeConfig(text))
			s.signal(syscall.SIGHUP)
		}
	}},
	{"discovery down", func(env *environment, rng *rand.Rand) {
		d := time.Duration(1+rng.IntN(5)) * time.Second
		env.stopDiscovery(time.Now(), d)
		env.sleep(d)
	}},
	{"watches fall silent", func(env *environment, rng *rand.Rand) {
		for _, s := range env.sidecars {
			s.agent().muteWatches()
		}
		env.sleep(2 * time.Second)
	}},
	{"watches are reset", func(env *environment, rng *rand.Rand) {
		for _, s := range env.sidecars {
			s.agent().resetWatches()
		}
	}},
	{"slow discovery", func(env *environment, rng *rand.Rand) {
		for _, s := range env.sidecars {
			s.agent().setResponseDelay(time.Duration(rng.IntN(1500)) * time.Millisecond)
		}
		env.sleep(3 * time.Second)
		for _, s := range env.sidecars {
			for _, a := range s.agents {
				a.setResponseDelay(0)
			}
		}
	}},
	{"drain", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		env.setHealth(n, "draining")
		env.sleep(4 * time.Second)
		env.setHealth(n, "up")
	}},
	{"cold restart", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		n.restart()
		env.setHealth(n, "up")
		env.sleep(2 * time.Second)
	}},
	{"replaced", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		env.setHealth(n, "removed")
		env.sleep(3 * time.Second)
		n.restart()
		env.setHealth(n, "up")
	}},
	{"bad nodes", func(env *environment, rng *rand.Rand) {
		var faulty []*node
		for range 1 + rng.IntN(1+len(env.nodes)/3) {
			n := env.nodes[rng.IntN(len(env.nodes))]
			n.setBehaviour(nodeBehaviour(1 + rng.IntN(int(nodeBehaviourCount)-1)))
			faulty = append(faulty, n)
		}
		env.sleep(time.Duration(2+rng.IntN(4)) * time.Second)
		for _, n := range faulty {
			n.setBehaviour(healthy)
		}
	}},
	{"bad nodes", func(env *environment, rng *rand.Rand) {
		n := env.nodes[rng.IntN(len(env.nodes))]
		n.setBehaviour(nodeBehaviour(1 + rng.IntN(int(nodeBehaviourCount)-1)))
		env.sleep(time.Duration(1+rng.IntN(4)) * time.Second)
		n.setBehaviour(healthy)
	}},
}
