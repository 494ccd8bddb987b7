package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"time"

	"mothridge/internal/lab"
)

type runCommand struct {
	File    string `arg:"" help:"Experiment file." type:"path"`
	Out     string `help:"Results file; FILE.results by default. Runs that it already contains are not repeated." type:"path"`
	Workers int    `help:"Number of concurrent runs; one for each core by default."`
	Quiet   bool   `help:"Do not print progress."`
}

// resultsPath returns the path of an experiment's results file: out if set, otherwise FILE.results.
func resultsPath(file, out string) string {
	return cmp.Or(out, strings.TrimSuffix(file, ".toml")+".results")
}

// Run runs an experiment and prints the table of its results.
func (c *runCommand) Run(ctx context.Context, o output) error {
	e, err := lab.LoadExperiment(c.File)
	if err != nil {
		return err
	}
	options := lab.RunOptions{ResultsPath: resultsPath(c.File, c.Out), Workers: cmp.Or(c.Workers, runtime.GOMAXPROCS(0)), Notice: func(s string) { fmt.Fprintln(o.log, s) }}
	if !c.Quiet {
		options.Progress = progressLine(o.log)
	}
	fmt.Fprintf(o.log, "%s: %d cells, %d to %d seeds for each, results in %s\n", e.Name, len(e.Cells), e.Seeds.Min, e.Seeds.Max, options.ResultsPath)
	r, err := lab.Run(ctx, e, options)
	if !c.Quiet {
		fmt.Fprintln(o.log)
	}
	if errors.Is(err, context.Canceled) {
		return fmt.Errorf("interrupted after %d runs; run the same command again to continue", len(r.Rows))
	}
	if err != nil {
		return err
	}
	return lab.Summarize(e, r).WriteTable(o.out)
}

// progressLine returns a function that rewrites one terminal line with the progress, at most five times a second.
func progressLine(w io.Writer) func(lab.Progress) {
	var last time.Time
	return func(p lab.Progress) {
		if time.Since(last) < 200*time.Millisecond && p.Done < p.Planned {
			return
		}
		last = time.Now()
		fmt.Fprintf(w, "\r\x1b[Kround %d: %d of %d runs, %v elapsed, about %v remaining; %d of %d cells finished", p.Round, p.Done, p.Planned,
			p.Elapsed.Round(time.Second), p.Remaining.Round(time.Second), p.Finished, p.Cells)
		if p.RunsWithFindings > 0 {
			fmt.Fprintf(w, "; %d runs that violated a rule or were truncated", p.RunsWithFindings)
		}
	}
}

type compareCommand struct {
	A          string   `arg:"" help:"Results: FILE or FILE:factor=level,factor=level."`
	B          string   `arg:"" help:"The side to compare with A, from the same file or another one."`
	Measure    []string `default:"good,worst10,p50,p99,refused,failed,broken" help:"Measures to compare."`
	Confidence float64  `default:"0.95" help:"Confidence level of the intervals, between 0 and 1."`
}

// Run compares the results of two sides and prints the differences.
func (c *compareCommand) Run(o output) error {
	if !(c.Confidence > 0 && c.Confidence < 1) {
		return fmt.Errorf("--confidence must be between 0 and 1, got %v", c.Confidence)
	}
	a, err := lab.ParseSide(c.A)
	if err != nil {
		return err
	}
	b, err := lab.ParseSide(c.B)
	if err != nil {
		return err
	}
	differences, err := lab.Compare(a, b, c.Measure, c.Confidence)
	if err != nil {
		return err
	}
	return lab.WriteDifferences(o.out, differences)
}

type reportCommand struct {
	File     string `arg:"" help:"Experiment file." type:"path"`
	Results  string `help:"Results file; FILE.results by default." type:"path"`
	HTML     string `help:"Path of an HTML page to write." type:"path"`
	CSV      string `help:"Path of a CSV file to write, with all runs." type:"path"`
	SVG      string `help:"Path of an SVG plot to write, with the means of --measure." type:"path"`
	Measure  string `default:"good" help:"Measure of the --svg plot."`
	Pictures int    `default:"12" help:"Maximum number of combinations of levels in the HTML page for which one run is repeated and plotted."`
}

// Run prints the table of an experiment's results and writes the requested files.
func (c *reportCommand) Run(o output) error {
	e, err := lab.LoadExperiment(c.File)
	if err != nil {
		return err
	}
	path := resultsPath(c.File, c.Results)
	r, err := lab.LoadResults(path)
	if err != nil {
		return err
	}
	if r.Hash != e.Hash {
		return fmt.Errorf("%s contains results of another experiment, or of this experiment before it was changed", path)
	}
	s := lab.Summarize(e, r)
	if err := s.WriteTable(o.out); err != nil {
		return err
	}
	writeFile := func(path string, write func(io.Writer) error) error {
		if path == "" {
			return nil
		}
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		return errors.Join(write(f), f.Close())
	}
	writePlot := func(w io.Writer) error {
		plot, err := s.MeansSVG(c.Measure, true)
		if err == nil {
			_, err = io.WriteString(w, string(plot)+"\n")
		}
		return err
	}
	return errors.Join(writeFile(c.CSV, s.WriteCSV), writeFile(c.SVG, writePlot), writeFile(c.HTML, func(w io.Writer) error {
		return s.WriteHTML(w, c.Pictures, func(s string) { fmt.Fprintln(o.log, s) })
	}))
}

type cellCommand struct {
	File  string   `arg:"" help:"Experiment file." type:"path"`
	Level []string `arg:"" optional:"" help:"The cell's levels, in the order of the factors; without levels, all cells are listed."`
}

// Run prints the scenario of the cell with the given levels, or the levels of all cells.
func (c *cellCommand) Run(o output) error {
	e, err := lab.LoadExperiment(c.File)
	if err != nil {
		return err
	}
	for _, cell := range e.Cells {
		if len(c.Level) == 0 {
			fmt.Fprintf(o.out, "%q\n", cell.Levels)
		} else if slices.Equal(cell.Levels, c.Level) {
			return lab.WriteScenario(o.out, cell.Scenario)
		}
	}
	if len(c.Level) > 0 {
		return fmt.Errorf("no cell has the levels %q", c.Level)
	}
	return nil
}
