package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"mothridge/internal/fleet"
	"mothridge/internal/lab"
	"mothridge/internal/load"
	"mothridge/internal/peers"
)

func protocol(word string) peers.Protocol {
	if word == "rpc" {
		return peers.RPC
	}
	return peers.HTTP
}

type loadCommand struct {
	scenarioFlags
	Target   []string `required:"" help:"Sidecars' addresses, on loopback; the scenario's go to them in turn."`
	Protocol string   `enum:"http,rpc" default:"http" help:"What the sidecars' listeners speak: http or rpc (MessagePack-RPC)."`
	Most     int      `default:"1000000" help:"Requests at the most."`
	JSON     bool     `help:"Print the result as JSON."`
}

// Run sends the load and prints what it met.
func (c *loadCommand) Run(ctx context.Context, o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, load.Options{Scenario: s, Protocol: protocol(c.Protocol), Targets: c.Target, MaxRequests: c.Most, Progress: live(o.log)})
	if r == nil {
		return err
	}
	if c.JSON {
		return errors.Join(err, writeJSON(o.out, r))
	}
	fmt.Fprintf(o.out, "asked %d  served %d  refused %d  failed %d  lost %d  good %.4f\n", r.Submissions, r.Served, r.Rejected, r.Failed, r.Lost, r.ObjectiveShare())
	for _, q := range []float64{50, 90, 99, 99.9, 100} {
		fmt.Fprintf(o.out, "p%-5v %v\n", q, quantile(&r.Result, q))
	}
	fmt.Fprintf(o.out, "the generator sent 99%% of the requests within %v of their time\n", time.Duration(r.StartDelay.ValueAtQuantile(99))*time.Microsecond)
	for _, odd := range r.Unexpected {
		fmt.Fprintln(o.out, odd)
	}
	return err
}

func writeJSON(w io.Writer, r *load.Result) error {
	values := lab.Measure(&r.Result)
	out := make(map[string]any)
	for i, m := range lab.Measures {
		out[m] = values[i]
	}
	type step struct {
		Quantile float64 `json:"quantile"`
		MS       float64 `json:"ms"`
		Count    int64   `json:"count"`
	}
	var steps []step
	for _, b := range r.Latency.CumulativeDistribution() {
		steps = append(steps, step{b.Quantile, float64(b.ValueAt) / 1e3, b.Count})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(map[string]any{
		"asked": r.Submissions, "served": r.Served, "refused": r.Rejected, "failed": r.Failed, "lost": r.Lost,
		"measures": out, "latency": steps, "late_p99_ms": float64(r.StartDelay.ValueAtQuantile(99)) / 1e3, "odd": r.Unexpected,
	})
}

// live writes a line a second.
func live(w io.Writer) func(load.Progress) {
	return func(p load.Progress) {
		fmt.Fprintf(w, "%5.0f of %.0f s  sent %6d of %d  open %4d  served %6d  refused %5d  failed %4d  lost %3d  p50 %v  p99 %v\n", p.Elapsed.Seconds(), p.Duration.Seconds(),
			p.Started, p.Total, p.InFlight, p.Served, p.Rejected, p.Failed, p.Lost, p.P50.Round(100*time.Microsecond), p.P99.Round(100*time.Microsecond))
	}
}

type nodeCommand struct {
	scenarioFlags
	Address  string        `default:"127.0.0.1:7081" help:"Where to listen, a loopback address."`
	Number   int           `default:"0" help:"Which of the scenario's nodes it is: its speed."`
	Protocol string        `enum:"http,rpc" default:"http" help:"What it speaks: http or rpc (MessagePack-RPC)."`
	Duration time.Duration `default:"1h" help:"It ends by itself after this."`
}

// Run serves until a signal or the end of its time.
func (c *nodeCommand) Run(ctx context.Context, o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if err := load.Loopback(c.Address); err != nil {
		return err
	}
	if c.Number < 0 {
		return fmt.Errorf("--number %d: 0 or more is meant", c.Number)
	}
	p := s.NodeParamsAt(c.Number)
	n := load.NewNode(p, s.Classes[0].Work)
	defer n.Close()
	peer, err := peers.StartUpstreamAt(c.Address, protocol(c.Protocol), c.Address, nil, n.Script)
	if err != nil {
		return err
	}
	defer peer.Close()
	fmt.Fprintf(o.out, "a node of %d cores of speed %v at %s over %s for %v\n", p.Cores, p.Speed, peer.Addr(), protocol(c.Protocol), c.Duration)
	ctx, stop := context.WithTimeout(ctx, c.Duration)
	defer stop()
	<-ctx.Done()
	return nil
}

type validateCommand struct {
	Files    []string `arg:"" help:"Scenario files."`
	Seed     uint64   `default:"1" help:"The seed."`
	Protocol string   `enum:"http,rpc" default:"http" help:"Over sockets: http or rpc (MessagePack-RPC)."`
	Most     int      `default:"200000" help:"Requests of a scenario at the most."`
}

// Run plays each scenario in both worlds and prints them side by side.
func (c *validateCommand) Run(ctx context.Context, o output) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tworld\tasked\tserved\trefused\tfailed\tgood\tp50\tp90\tp99\tgenerator late (p99)\tbroken\t")
	for _, file := range c.Files {
		s, err := lab.LoadScenario(file)
		if err != nil {
			return err
		}
		s.Seed = c.Seed
		model, err := fleet.Run(s)
		if err != nil {
			return err
		}
		fmt.Fprintf(o.log, "%s over %s for %v\n", file, protocol(c.Protocol), s.Duration)
		played, err := load.Play(ctx, s, protocol(c.Protocol), c.Most, live(o.log))
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		row := func(world string, r *fleet.Result, late string, broken int) {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.4f\t%v\t%v\t%v\t%s\t%d\t\n", file, world, r.Submissions, r.Served, r.Rejected, r.Failed, r.ObjectiveShare(),
				quantile(r, 50), quantile(r, 90), quantile(r, 99), late, broken)
		}
		row("model", model, "", len(model.Violations))
		row("sockets", &played.Result, (time.Duration(played.StartDelay.ValueAtQuantile(99)) * time.Microsecond).String(), len(played.Violations)+len(played.Unexpected))
		off := func(a, b float64) string { return fmt.Sprintf("%+.1f%%", 100*(b/math.Max(a, 1e-9)-1)) }
		q := func(p float64) string {
			return off(float64(model.Latency.ValueAtQuantile(p)), float64(played.Latency.ValueAtQuantile(p)))
		}
		n := func(a, b uint64) string {
			return fmt.Sprintf("%+.1f%%", 100*(float64(b)-float64(a))/float64(model.Submissions))
		}
		fmt.Fprintf(w, "\toff\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\t\t\n", n(model.Submissions, played.Submissions), n(model.Served, played.Served), n(model.Rejected, played.Rejected),
			n(model.Failed, played.Failed), off(model.ObjectiveShare(), played.ObjectiveShare()), q(50), q(90), q(99))
		for _, odd := range played.Unexpected {
			fmt.Fprintln(o.log, odd)
		}
	}
	fmt.Fprintln(o.log, "Off: counts in parts of what was asked in the model, the rest in parts of the model's own.")
	return w.Flush()
}
