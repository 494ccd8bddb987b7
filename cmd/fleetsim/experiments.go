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
	Out     string `help:"Results file; FILE.results by default. What it holds is not played again." type:"path"`
	Workers int    `help:"Runs side by side; one for each core by default."`
	Quiet   bool   `help:"No progress."`
}

func resultsOf(file, out string) string {
	return cmp.Or(out, strings.TrimSuffix(file, ".toml")+".results")
}

// Run plays an experiment and prints the table.
func (c *runCommand) Run(ctx context.Context, o output) error {
	e, err := lab.LoadExperiment(c.File)
	if err != nil {
		return err
	}
	ro := lab.RunOptions{Out: resultsOf(c.File, c.Out), Workers: cmp.Or(c.Workers, runtime.GOMAXPROCS(0)), Notice: func(s string) { fmt.Fprintln(o.log, s) }}
	if !c.Quiet {
		ro.Progress = progress(o.log)
	}
	fmt.Fprintf(o.log, "%s: %d cells, %d to %d seeds each, results in %s\n", e.Name, len(e.Cells), e.Seeds.Least, e.Seeds.Most, ro.Out)
	r, err := lab.Run(ctx, e, ro)
	if !c.Quiet {
		fmt.Fprintln(o.log)
	}
	if errors.Is(err, context.Canceled) {
		return fmt.Errorf("interrupted after %d runs; the same command goes on from there", len(r.Rows))
	}
	if err != nil {
		return err
	}
	return lab.Summarize(e, r).WriteTable(o.out)
}

// progress rewrites one line, at most five times a second.
func progress(w io.Writer) func(lab.Progress) {
	var last time.Time
	return func(p lab.Progress) {
		if time.Since(last) < 200*time.Millisecond && p.Done < p.Planned {
			return
		}
		last = time.Now()
		fmt.Fprintf(w, "\r\x1b[Kround %d: %d of %d runs, %v gone, about %v left; %d of %d cells settled", p.Round, p.Done, p.Planned,
			p.Gone.Round(time.Second), p.Left.Round(time.Second), p.Settled, p.Cells)
		if p.Broken > 0 {
			fmt.Fprintf(w, "; %d runs with a broken rule or cut", p.Broken)
		}
	}
}

type compareCommand struct {
	A          string   `arg:"" help:"Results: FILE or FILE:factor=level,factor=level."`
	B          string   `arg:"" help:"The other side, of the same or another file."`
	Measure    []string `default:"good,worst10,p50,p99,refused,failed,broken" help:"What to compare."`
	Confidence float64  `default:"0.95" help:"Of the intervals."`
}

// Run compares two sides.
func (c *compareCommand) Run(o output) error {
	if !(c.Confidence > 0 && c.Confidence < 1) {
		return fmt.Errorf("--confidence %v: a share is meant, such as 0.95", c.Confidence)
	}
	a, err := lab.ParseSide(c.A)
	if err != nil {
		return err
	}
	b, err := lab.ParseSide(c.B)
	if err != nil {
		return err
	}
	ds, err := lab.Compare(a, b, c.Measure, c.Confidence)
	if err != nil {
		return err
	}
	return lab.WriteDifferences(o.out, ds)
}

type reportCommand struct {
	File     string `arg:"" help:"Experiment file." type:"path"`
	Results  string `help:"Results file; FILE.results by default." type:"path"`
	HTML     string `help:"Write a page there." type:"path"`
	CSV      string `help:"Write all runs there." type:"path"`
	SVG      string `help:"Write a picture of the means of --measure there." type:"path"`
	Measure  string `default:"good" help:"Of --svg."`
	Pictures int    `default:"12" help:"Combinations of levels to draw a run of, each played again."`
}

// Run shows results.
func (c *reportCommand) Run(o output) error {
	e, err := lab.LoadExperiment(c.File)
	if err != nil {
		return err
	}
	path := resultsOf(c.File, c.Results)
	r, err := lab.LoadResults(path)
	if err != nil {
		return err
	}
	if r.Hash != e.Hash {
		return fmt.Errorf("%s holds results of another experiment, or of this one before it was changed", path)
	}
	s := lab.Summarize(e, r)
	if err := s.WriteTable(o.out); err != nil {
		return err
	}
	write := func(path string, do func(io.Writer) error) error {
		if path == "" {
			return nil
		}
		f, err := os.Create(path)
		if err != nil {
			return err
		}
		return errors.Join(do(f), f.Close())
	}
	picture := func(w io.Writer) error {
		text, err := s.Means(c.Measure, true)
		if err == nil {
			_, err = io.WriteString(w, string(text)+"\n")
		}
		return err
	}
	return errors.Join(write(c.CSV, s.WriteCSV), write(c.SVG, picture), write(c.HTML, func(w io.Writer) error {
		return s.WriteHTML(w, c.Pictures, func(s string) { fmt.Fprintln(o.log, s) })
	}))
}

type cellCommand struct {
	File  string   `arg:"" help:"Experiment file." type:"path"`
	Level []string `arg:"" optional:"" help:"Its levels, in the order of the factors; none lists them."`
}

// Run prints a cell's scenario.
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
		return fmt.Errorf("there is no cell %q", c.Level)
	}
	return nil
}
