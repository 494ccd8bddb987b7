// Mothlab is the laboratory: it plays fleets in simulated time, with the real
// decision module in every sidecar. The sidecar links none of it.
package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"mothridge/internal/fleet"
	"mothridge/policy"
)

// commands are the laboratory's.
type commands struct {
	Sim simCommand `cmd:"" help:"Play one fleet from one or more seeds and print what came of its requests."`
}

type simCommand struct {
	Nodes    int           `default:"10" help:"Nodes, of cores shared by the requests that they hold."`
	Sidecars int           `default:"4" help:"Sidecars, each with a decision module and clients of its own."`
	Cores    int           `default:"2" help:"Cores of a node."`
	Load     float64       `default:"0.5" help:"Work that is asked for, over what all nodes can do."`
	Duration time.Duration `default:"30s" help:"How long requests come, in simulated time."`
	Hang     int           `default:"0" help:"Nodes that answer nothing for a third of the time, from a third on."`
	Tries    int           `default:"3" help:"Tries of a client, its first among them."`
	Policy   string        `enum:"mothridge,random,round-robin,two-choices" default:"mothridge" help:"What decides: mothridge, or a reference: random, round-robin, two-choices."`
	Seed     uint64        `default:"1" help:"The first seed."`
	Seeds    int           `default:"3" help:"How many seeds."`
}

// Run plays and prints a row for each seed.
func (c *simCommand) Run() error { return c.play(os.Stdout) }

func (c *simCommand) play(out io.Writer) error {
	if c.Hang > c.Nodes || c.Hang < 0 || c.Seeds < 1 {
		return fmt.Errorf("--hang %d of --nodes %d, --seeds %d: no more nodes hang than there are, and one seed at least is meant", c.Hang, c.Nodes, c.Seeds)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tasked\tserved\trefused\tfailed\tgood\tp50\tp99\tbusy\tevents/s\tbroken rules\t")
	var wrong []string
	for i := range c.Seeds {
		s := c.scenario(c.Seed + uint64(i))
		began := time.Now()
		r, err := fleet.Run(s)
		if err != nil {
			return err
		}
		busy := 0.0
		for _, b := range r.NodeBusy {
			busy += b / float64(len(r.NodeBusy))
		}
		at := func(q float64) time.Duration {
			return (time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\t%.2f\t%.1fM\t%d\t\n", s.Seed, r.Asked, r.Served, r.Refused, r.Failed,
			float64(r.Good)/float64(max(1, r.First)), at(50), at(99), busy, float64(r.Events)/time.Since(began).Seconds()/1e6, len(r.Broken))
		for _, b := range r.Broken {
			wrong = append(wrong, fmt.Sprintf("seed %d, %s", s.Seed, b))
		}
		if r.Cut != "" {
			wrong = append(wrong, fmt.Sprintf("seed %d was cut: %s", s.Seed, r.Cut))
		}
	}
	w.Flush()
	if len(wrong) > 0 {
		return fmt.Errorf("%d findings, the first: %s", len(wrong), wrong[0])
	}
	return nil
}

// scenario is the site's own, as its brief has it, at any size.
func (c *simCommand) scenario(seed uint64) fleet.Scenario {
	s := fleet.Scenario{
		Seed: seed, Duration: c.Duration, Nodes: c.Nodes, Sidecars: c.Sidecars, Network: time.Millisecond / 2, ListLag: 2 * time.Second,
		Node:   fleet.NodeParams{Cores: c.Cores, Speed: 1, Queue: 128, ColdFrom: 0.3, ColdTime: 8 * time.Second, ColdMultiple: 2.5},
		Speeds: []float64{0.75, 0.75, 1.5}, Attempts: 3, Tries: c.Tries, MaxPause: 1200 * time.Millisecond,
		Classes: []fleet.Class{
			{Share: 0.85, Work: 40 * time.Millisecond, Aim: 250 * time.Millisecond, Deadline: 2 * time.Second, Effect: policy.Keyed, Scope: policy.ScopeCell, Window: 600 * time.Millisecond},
			{Share: 0.15, Work: 60 * time.Millisecond, Aim: 500 * time.Millisecond, Deadline: 3 * time.Second, Effect: policy.Unsafe},
		},
	}
	mean := 0.85*0.040 + 0.15*0.060
	s.Rate = c.Load * float64(c.Nodes*c.Cores) / mean
	if c.Policy != "mothridge" {
		s.Policy = fleet.Policy(c.Policy)
	}
	clubs := []float64{0.79, 0.21}
	for _, share := range clubs {
		s.Tenants = append(s.Tenants, policy.Tenant{Share: share, Quota: share * s.Rate})
	}
	for i := range c.Hang {
		s.Troubles = append(s.Troubles, fleet.Trouble{Kind: fleet.Hang, At: c.Duration / 3, For: c.Duration / 3, Node: i})
	}
	return s
}

func main() {
	k, err := kong.New(new(commands), kong.Name("mothlab"), kong.Description("Fleets in simulated time, with the real decision module."))
	if err == nil {
		var c *kong.Context
		if c, err = k.Parse(os.Args[1:]); err == nil {
			err = c.Run()
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "mothlab:", err)
		os.Exit(1)
	}
}
