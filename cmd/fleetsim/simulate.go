package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"mothridge/internal/fleet"
	"mothridge/internal/lab"
	"mothridge/policy"
)

// scenarioFlags name a scenario.
type scenarioFlags struct {
	File string   `arg:"" help:"Scenario file, such as lab/site.toml."`
	Set  []string `help:"PATH=VALUE put over it, such as load=0.8 or 'trouble=[{kind=\"hang\", at=\"10s\", for=\"10s\", of=0.2}]'; may be repeated." sep:"none"`
	Seed uint64   `default:"1" help:"The (first) seed."`
}

func (f *scenarioFlags) load() (fleet.Scenario, error) {
	s, err := lab.LoadScenario(f.File, f.Set...)
	s.Seed = f.Seed
	return s, err
}

type simCommand struct {
	scenarioFlags
	Seeds int `default:"3" help:"How many seeds."`
}

// Run prints a row for each seed, and requests that may be interesting.
func (c *simCommand) Run(o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds %d: one at least is meant", c.Seeds)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tasked\tserved\trefused\tfailed\tlost\tgood\tp50\tp99\tbusy\tevents/s\tbroken rules\t")
	var wrong []string
	var notable []fleet.Sample
	for i := range c.Seeds {
		s.Seed = c.Seed + uint64(i)
		began := time.Now()
		r, err := fleet.Run(s)
		if err != nil {
			return err
		}
		busy := 0.0
		for _, b := range r.NodeUtilisation {
			busy += b / float64(len(r.NodeUtilisation))
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\t%.2f\t%.1fM\t%d\t\n", s.Seed, r.Submissions, r.Served, r.Rejected, r.Failed, r.Lost,
			r.ObjectiveShare(), quantile(r, 50), quantile(r, 99), busy, float64(r.Events)/time.Since(began).Seconds()/1e6, len(r.Violations))
		for _, b := range r.Violations {
			wrong = append(wrong, fmt.Sprintf("seed %d, %s", s.Seed, b))
		}
		if r.Truncated != "" {
			wrong = append(wrong, fmt.Sprintf("seed %d was cut: %s", s.Seed, r.Truncated))
		}
		if i == 0 {
			notable = r.Samples
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range notable {
		fmt.Fprintf(o.out, "seed %d, request %d: %s after %v (fleetsim explain %s --seed %d --request %d)\n", c.Seed, n.ID, n.Outcome, n.Took, c.File, c.Seed, n.ID)
	}
	if len(wrong) > 0 {
		return fmt.Errorf("%d findings, the first: %s", len(wrong), wrong[0])
	}
	return nil
}

func quantile(r *fleet.Result, q float64) time.Duration {
	return (time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
}

type explainCommand struct {
	scenarioFlags
	Request uint64 `required:"" help:"The request's number, as 'sim' and broken rules tell it."`
}

// Run prints what happened to a request, with the time since its first attempt.
func (c *explainCommand) Run(o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	s.ExplainRequest = policy.RequestID(c.Request)
	r, err := fleet.Run(s)
	if err != nil {
		return err
	}
	if len(r.Explanation) == 0 {
		return fmt.Errorf("from seed %d there is no request %d", s.Seed, c.Request)
	}
	for _, t := range r.Explanation {
		fmt.Fprintf(o.out, "%14v  %+10.1f ms  %s\n", t.At, float64(t.At-r.Explanation[0].At)/1e6, t.Text)
	}
	for _, b := range r.Violations {
		fmt.Fprintln(o.out, "broken:", b)
	}
	return nil
}

type shrinkCommand struct {
	scenarioFlags
	Fault string `required:"" help:"What is to go on showing: 'rule 1' to 'rule 4', 'any rule', or a measure's bound such as 'good<0.9'."`
	Plays int    `default:"500" help:"Scenarios to play at the most."`
	Out   string `help:"Where the smaller scenario goes; else it is printed." type:"path"`
}

// Run finds a smaller scenario.
func (c *shrinkCommand) Run(o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	return shrink(o, s, c.Fault, c.Plays, c.Out)
}

func shrink(o output, s fleet.Scenario, text string, plays int, path string) error {
	fault, err := lab.ParseFault(text)
	if err != nil {
		return err
	}
	small, err := lab.Shrink(s, fault, plays, func(s fleet.Scenario) {
		fmt.Fprintf(o.log, "smaller: %d sidecars, %d nodes, %v, %d troubles, %d classes\n", s.Sidecars, s.Nodes, s.Duration, len(s.Faults), len(s.Classes))
	})
	if err != nil {
		return err
	}
	if path == "" {
		return lab.WriteScenario(o.out, small)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return lab.WriteScenario(f, small)
}

type farmCommand struct {
	First  uint64 `default:"1" help:"The first seed."`
	Seeds  int    `default:"200" help:"How many."`
	Shrink bool   `help:"Print the first scenario that breaks a rule, made small."`
}

// Run plays random scenarios.
func (c *farmCommand) Run(o output) error {
	requests, bad := uint64(0), 0
	for i := range c.Seeds {
		s := fleet.RandomScenario(c.First + uint64(i))
		r, err := fleet.Run(s)
		if err != nil {
			return err
		}
		requests += r.Submissions
		if len(r.Violations) == 0 && r.Truncated == "" {
			continue
		}
		bad++
		fmt.Fprintf(o.out, "seed %d: %q %s\n", s.Seed, r.Violations, r.Truncated)
		if c.Shrink {
			if err := shrink(o, s, "any rule", 500, ""); err != nil {
				return err
			}
			break
		}
	}
	fmt.Fprintf(o.out, "%d scenarios, %d tries of clients, %d scenarios with a broken rule\n", c.Seeds, requests, bad)
	if bad > 0 {
		return fmt.Errorf("%d scenarios broke a rule", bad)
	}
	return nil
}
