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

// scenarioFlags select a scenario file, settings that override the file's, and a seed.
type scenarioFlags struct {
	File string   `arg:"" help:"Scenario file, such as lab/site.toml."`
	Set  []string `help:"PATH=VALUE that overrides a setting of the file, such as load=0.8 or 'trouble=[{kind=\"hang\", at=\"10s\", for=\"10s\", of=0.2}]'; may be repeated." sep:"none"`
	Seed uint64   `default:"1" help:"The seed, or the first of several."`
}

func (f *scenarioFlags) load() (fleet.Scenario, error) {
	s, err := lab.LoadScenario(f.File, f.Set...)
	s.Seed = f.Seed
	return s, err
}

type simCommand struct {
	scenarioFlags
	Seeds int `default:"3" help:"Number of seeds."`
}

// Run prints a row for each seed, and the first seed's sample requests, which the explain command can describe.
func (c *simCommand) Run(o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if c.Seeds < 1 {
		return fmt.Errorf("--seeds must be at least 1, got %d", c.Seeds)
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "seed\tasked\tserved\trefused\tfailed\tlost\tgood\tp50\tp99\tbusy\tevents/s\tbroken rules\t")
	var findings []string
	var samples []fleet.Sample
	for i := range c.Seeds {
		s.Seed = c.Seed + uint64(i)
		startedAt := time.Now()
		r, err := fleet.Run(s)
		if err != nil {
			return err
		}
		utilisation := 0.0
		for _, u := range r.NodeUtilisation {
			utilisation += u / float64(len(r.NodeUtilisation))
		}
		fmt.Fprintf(w, "%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%v\t%v\t%.2f\t%.1fM\t%d\t\n",
			s.Seed, r.Submissions, r.Served, r.Rejected, r.Failed, r.Lost,
			r.ObjectiveShare(), quantile(r, 50), quantile(r, 99), utilisation, float64(r.Events)/time.Since(startedAt).Seconds()/1e6, len(r.Violations))
		for _, violation := range r.Violations {
			findings = append(findings, fmt.Sprintf("seed %d, %s", s.Seed, violation))
		}
		if r.Truncated != "" {
			findings = append(findings, fmt.Sprintf("seed %d was truncated: %s", s.Seed, r.Truncated))
		}
		if i == 0 {
			samples = r.Samples
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, sample := range samples {
		fmt.Fprintf(o.out, "seed %d, request %d: %s after %v (fleetsim explain %s --seed %d --request %d)\n",
			c.Seed, sample.ID, sample.Outcome, sample.Latency, c.File, c.Seed, sample.ID)
	}
	if len(findings) > 0 {
		return fmt.Errorf("%d findings, the first: %s", len(findings), findings[0])
	}
	return nil
}

// quantile returns a quantile of the latency; q is a percentage.
func quantile(r *fleet.Result, q float64) time.Duration {
	return (time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
}

type explainCommand struct {
	scenarioFlags
	Request uint64 `required:"" help:"The request's number, as printed by 'sim' and in violations of the rules."`
}

// Run prints each event of a request, with its time in the run and the time since the request's first event.
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
		return fmt.Errorf("with seed %d there is no request %d", s.Seed, c.Request)
	}
	for _, event := range r.Explanation {
		fmt.Fprintf(o.out, "%14v  %+10.1f ms  %s\n", event.At, float64(event.At-r.Explanation[0].At)/1e6, event.Text)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(o.out, "broken:", violation)
	}
	return nil
}

type shrinkCommand struct {
	scenarioFlags
	Fault string `required:"" help:"The fault to reproduce: 'rule 1' to 'rule 4', 'any rule', or a bound on a measure such as 'good<0.9'."`
	Plays int    `default:"500" help:"Maximum number of simulated scenarios."`
	Out   string `help:"File for the smaller scenario; by default it is printed." type:"path"`
}

// Run finds a smaller scenario that reproduces a fault, and prints or writes it.
func (c *shrinkCommand) Run(o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	return shrink(o, s, c.Fault, c.Plays, c.Out)
}

// shrink finds a smaller scenario that still reproduces a fault, in at most maxRuns simulations. It writes the scenario
// to a file, or to the output if path is empty.
func shrink(o output, s fleet.Scenario, faultText string, maxRuns int, path string) error {
	fault, err := lab.ParseFault(faultText)
	if err != nil {
		return err
	}
	small, err := lab.Shrink(s, fault, maxRuns, func(s fleet.Scenario) {
		fmt.Fprintf(o.log, "smaller: %d sidecars, %d nodes, %v, %d faults, %d classes\n", s.Sidecars, s.Nodes, s.Duration, len(s.Faults), len(s.Classes))
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
	Seeds  int    `default:"200" help:"Number of seeds."`
	Shrink bool   `help:"Shrink the first scenario that violates a rule, print it and stop."`
}

// Run simulates random scenarios and prints those that violate a rule or are truncated.
func (c *farmCommand) Run(o output) error {
	submissions, withFindings := uint64(0), 0
	for i := range c.Seeds {
		s := fleet.RandomScenario(c.First + uint64(i))
		r, err := fleet.Run(s)
		if err != nil {
			return err
		}
		submissions += r.Submissions
		if len(r.Violations) == 0 && r.Truncated == "" {
			continue
		}
		withFindings++
		fmt.Fprintf(o.out, "seed %d: %q %s\n", s.Seed, r.Violations, r.Truncated)
		if c.Shrink {
			if err := shrink(o, s, "any rule", 500, ""); err != nil {
				return err
			}
			break
		}
	}
	fmt.Fprintf(o.out, "%d scenarios, %d submissions by clients, %d scenarios that violated a rule or were truncated\n",
		c.Seeds, submissions, withFindings)
	if withFindings > 0 {
		return fmt.Errorf("%d scenarios violated a rule or were truncated", withFindings)
	}
	return nil
}
