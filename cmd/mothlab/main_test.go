package main

import (
	"strings"
	"testing"
	"time"
)

// A small fleet of which a node hangs: a row for each seed, and no rule broken.
func TestSim(t *testing.T) {
	var out strings.Builder
	c := simCommand{Nodes: 6, Sidecars: 3, Cores: 2, Load: 0.5, Policy: "mothridge", Duration: 9 * time.Second, Hang: 1, Tries: 3, Seed: 1, Seeds: 2}
	if err := c.play(&out); err != nil {
		t.Error(err)
	}
	if rows := strings.Count(out.String(), "\n"); rows != 3 || !strings.Contains(out.String(), "refused") {
		t.Errorf("printed\n%s", out.String())
	}
	for _, wrong := range []func(*simCommand){func(c *simCommand) { c.Hang = 7 }, func(c *simCommand) { c.Nodes = 0 }, func(c *simCommand) { c.Load = -1 }} {
		bad := c
		wrong(&bad)
		if err := bad.play(&out); err == nil {
			t.Errorf("%+v is played", bad)
		}
	}
}
