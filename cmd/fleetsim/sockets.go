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

// parseProtocol returns the protocol of a --protocol flag.
func parseProtocol(name string) peers.Protocol {
	if name == "rpc" {
		return peers.RPC
	}
	return peers.HTTP
}

type loadCommand struct {
	scenarioFlags
	Target   []string `required:"" help:"Loopback addresses of sidecars; the scenario's sidecars are mapped to them round robin."`
	Protocol string   `enum:"http,rpc" default:"http" help:"Protocol of the sidecars' listeners: http or rpc (MessagePack-RPC)."`
	Most     int      `default:"1000000" help:"Maximum number of requests."`
	JSON     bool     `help:"Print the result as JSON."`
}

// Run sends the scenario's requests and prints the result.
func (c *loadCommand) Run(ctx context.Context, o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	r, err := load.Run(ctx, load.Options{Scenario: s, Protocol: parseProtocol(c.Protocol), Targets: c.Target, MaxRequests: c.Most, Progress: progressLog(o.log)})
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
	fmt.Fprintf(o.out, "the generator sent 99%% of the requests within %v of their planned time\n", time.Duration(r.StartDelay.ValueAtQuantile(99))*time.Microsecond)
	for _, response := range r.Unexpected {
		fmt.Fprintln(o.out, response)
	}
	return err
}

// writeJSON writes a result as JSON: the counts, all measures and the distribution of the latency.
func writeJSON(w io.Writer, r *load.Result) error {
	values := lab.Measure(&r.Result)
	measures := make(map[string]any)
	for i, name := range lab.Measures {
		measures[name] = values[i]
	}
	type step struct {
		Quantile float64 `json:"quantile"`
		MS       float64 `json:"ms"`
		Count    int64   `json:"count"`
	}
	var steps []step
	for _, bracket := range r.Latency.CumulativeDistribution() {
		steps = append(steps, step{bracket.Quantile, float64(bracket.ValueAt) / 1e3, bracket.Count})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(map[string]any{
		"asked": r.Submissions, "served": r.Served, "refused": r.Rejected, "failed": r.Failed, "lost": r.Lost,
		"measures": measures, "latency": steps, "late_p99_ms": float64(r.StartDelay.ValueAtQuantile(99)) / 1e3, "odd": r.Unexpected,
	})
}

// progressLog returns a function that writes one line for each progress report, which comes every second.
func progressLog(w io.Writer) func(load.Progress) {
	return func(p load.Progress) {
		fmt.Fprintf(w, "%5.0f of %.0f s  sent %6d of %d  in flight %4d  served %6d  refused %5d  failed %4d  lost %3d  p50 %v  p99 %v\n", p.Elapsed.Seconds(), p.Duration.Seconds(),
			p.Started, p.Total, p.InFlight, p.Served, p.Rejected, p.Failed, p.Lost, p.P50.Round(100*time.Microsecond), p.P99.Round(100*time.Microsecond))
	}
}

type nodeCommand struct {
	scenarioFlags
	Address  string        `default:"127.0.0.1:7081" help:"Loopback address to listen on."`
	Number   int           `default:"0" help:"Index of the scenario's node to run, from 0; it decides the node's speed."`
	Protocol string        `enum:"http,rpc" default:"http" help:"Protocol of the node: http or rpc (MessagePack-RPC)."`
	Duration time.Duration `default:"1h" help:"Time after which the node stops."`
}

// Run serves as a node until a signal arrives or the duration has passed.
func (c *nodeCommand) Run(ctx context.Context, o output) error {
	s, err := c.load()
	if err != nil {
		return err
	}
	if err := load.CheckLoopback(c.Address); err != nil {
		return err
	}
	if c.Number < 0 {
		return fmt.Errorf("--number must be at least 0, got %d", c.Number)
	}
	p := s.NodeParamsAt(c.Number)
	n := load.NewNode(p, s.Classes[0].Work)
	defer n.Close()
	upstream, err := peers.StartUpstreamAt(c.Address, parseProtocol(c.Protocol), c.Address, nil, n.Respond)
	if err != nil {
		return err
	}
	defer upstream.Close()
	fmt.Fprintf(o.out, "a node of %d cores of speed %v at %s over %s for %v\n", p.Cores, p.Speed, upstream.Addr(), parseProtocol(c.Protocol), c.Duration)
	ctx, stop := context.WithTimeout(ctx, c.Duration)
	defer stop()
	<-ctx.Done()
	return nil
}

type validateCommand struct {
	Files    []string `arg:"" help:"Scenario files."`
	Seed     uint64   `default:"1" help:"The seed."`
	Protocol string   `enum:"http,rpc" default:"http" help:"Protocol over sockets: http or rpc (MessagePack-RPC)."`
	Most     int      `default:"200000" help:"Maximum number of requests in a scenario."`
}

// Run runs each scenario in the model and over sockets, and prints both results and their difference.
func (c *validateCommand) Run(ctx context.Context, o output) error {
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\tenvironment\tasked\tserved\trefused\tfailed\tgood\tp50\tp90\tp99\tstart delay (p99)\tbroken\t")
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
		fmt.Fprintf(o.log, "%s over %s for %v\n", file, parseProtocol(c.Protocol), s.Duration)
		measured, err := load.RunOnSockets(ctx, s, parseProtocol(c.Protocol), c.Most, progressLog(o.log))
		if err != nil {
			return fmt.Errorf("%s: %w", file, err)
		}
		writeRow := func(environment string, r *fleet.Result, startDelay string, violations int) {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%.4f\t%v\t%v\t%v\t%s\t%d\t\n", file, environment, r.Submissions, r.Served, r.Rejected, r.Failed, r.ObjectiveShare(),
				quantile(r, 50), quantile(r, 90), quantile(r, 99), startDelay, violations)
		}
		writeRow("model", model, "", len(model.Violations))
		writeRow("sockets", &measured.Result, (time.Duration(measured.StartDelay.ValueAtQuantile(99)) * time.Microsecond).String(),
			len(measured.Violations)+len(measured.Unexpected))
		relativeDifference := func(a, b float64) string { return fmt.Sprintf("%+.1f%%", 100*(b/math.Max(a, 1e-9)-1)) }
		quantileDifference := func(q float64) string {
			return relativeDifference(float64(model.Latency.ValueAtQuantile(q)), float64(measured.Latency.ValueAtQuantile(q)))
		}
		countDifference := func(a, b uint64) string {
			return fmt.Sprintf("%+.1f%%", 100*(float64(b)-float64(a))/float64(model.Submissions))
		}
		fmt.Fprintf(w, "\tdifference\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t\t\t\n", countDifference(model.Submissions, measured.Submissions),
			countDifference(model.Served, measured.Served), countDifference(model.Rejected, measured.Rejected),
			countDifference(model.Failed, measured.Failed), relativeDifference(model.ObjectiveShare(), measured.ObjectiveShare()),
			quantileDifference(50), quantileDifference(90), quantileDifference(99))
		for _, response := range measured.Unexpected {
			fmt.Fprintln(o.log, response)
		}
	}
	fmt.Fprintln(o.log, "The differences of counts are relative to the submissions in the model, all others to the model's own value.")
	return w.Flush()
}
