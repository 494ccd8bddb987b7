package lab

import (
	_ "embed"
	"encoding/csv"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"mothridge/internal/fleet"
)

//go:embed report.html
var reportTemplate string

// Summary holds the results of an experiment, summarised for each cell.
type Summary struct {
	*Results
	Experiment *Experiment
	Cells      []CellSummary
}

// CellSummary holds the number of runs of a cell, one for each seed, and the interval of each measure.
type CellSummary struct {
	Levels   []string
	Seeds    int
	Measures []Interval
}

// Summarize estimates all measures of each cell from the cell's rows.
func Summarize(e *Experiment, r *Results) *Summary {
	s := &Summary{Results: r, Experiment: e}
	for _, cell := range e.Cells {
		values := make([][]float64, len(r.Measures))
		for _, row := range r.Rows {
			if slices.Equal(row.Levels, cell.Levels) {
				for i, v := range row.Values {
					values[i] = append(values[i], v)
				}
			}
		}
		summary := CellSummary{Levels: cell.Levels, Seeds: len(values[0])}
		for _, v := range values {
			summary.Measures = append(summary.Measures, Estimate(v, e.Stop.Confidence))
		}
		s.Cells = append(s.Cells, summary)
	}
	return s
}

// columns returns the names and indexes of the measures to show. They always include the measures of violated rules and
// truncated runs.
func (s *Summary) columns() (names []string, indexes []int) {
	for _, measure := range append(slices.Clone(s.Experiment.Show), "broken", "cut") {
		if i := slices.Index(s.Measures, measure); i >= 0 && !slices.Contains(names, measure) {
			names, indexes = append(names, measure), append(indexes, i)
		}
	}
	return names, indexes
}

// WriteTable writes a text table with a row for each cell.
func (s *Summary) WriteTable(out io.Writer) error {
	names, indexes := s.columns()
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(s.Factors, "\t")+"\tseeds\t"+strings.Join(names, "\t"))
	for _, cell := range s.Cells {
		fmt.Fprintf(w, "%s\t%d", strings.Join(cell.Levels, "\t"), cell.Seeds)
		for _, i := range indexes {
			fmt.Fprintf(w, "\t%v", cell.Measures[i])
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}

// WriteCSV writes the rows of all runs, with all measures, as CSV.
func (s *Summary) WriteCSV(out io.Writer) error {
	w := csv.NewWriter(out)
	if err := w.Write(slices.Concat(s.Factors, []string{"seed"}, s.Measures)); err != nil {
		return err
	}
	for _, row := range s.Rows {
		record := append(slices.Clone(row.Levels), strconv.FormatUint(row.Seed, 10))
		for _, v := range row.Values {
			record = append(record, strconv.FormatFloat(v, 'g', -1, 64))
		}
		if err := w.Write(record); err != nil {
			return err
		}
	}
	w.Flush()
	return w.Error()
}

// group holds the cells that share one combination of levels of all factors but the first.
type group struct {
	Label    string
	cells    []int // indexes of the cells, by level of the first factor
	Pictures []template.HTML
}

// groupLabel returns the name of a cell's group: the levels of all factors but the first.
func (s *Summary) groupLabel(levels []string) string {
	var parts []string
	for i, level := range levels[1:] {
		parts = append(parts, s.Factors[i+1]+" "+level)
	}
	return strings.Join(parts, ", ")
}

// groups returns the groups of cells, in the order of the experiment's cells.
func (s *Summary) groups() []group {
	var groups []group
	for i, cell := range s.Cells {
		label := s.groupLabel(cell.Levels)
		index := slices.IndexFunc(groups, func(g group) bool { return g.Label == label })
		if index < 0 {
			index = len(groups)
			groups = append(groups, group{Label: label})
		}
		groups[index].cells = append(groups[index].cells, i)
	}
	return groups
}

// WriteHTML writes a self-contained HTML page: the table, plots of the measures' means and, for the first maxGroups
// groups of cells, plots of one run of each cell, which is repeated with the first seed. Before each group it calls
// notify, if that is not nil, with a message.
func (s *Summary) WriteHTML(out io.Writer, maxGroups int, notify func(string)) error {
	names, indexes := s.columns()
	groups := s.groups()
	firstFactor := s.Experiment.Factors[0]
	var means []template.HTML
	for _, measure := range names {
		if measure == "broken" || measure == "cut" {
			continue
		}
		plot, err := s.MeansSVG(measure, false)
		if err != nil {
			return err
		}
		means = append(means, plot)
	}
	for i := range groups {
		if i >= maxGroups {
			break
		}
		if notify != nil {
			notify(fmt.Sprintf("drawing plots of group %d of %d: %s", i+1, min(maxGroups, len(groups)), groups[i].Label))
		}
		var err error
		if groups[i].Pictures, err = s.drawRuns(&groups[i]); err != nil {
			return fmt.Errorf("plots of %s: %w", groups[i].Label, err)
		}
	}
	t, err := template.New("report").Parse(reportTemplate)
	if err != nil {
		return err
	}
	return t.Execute(out, map[string]any{
		"Experiment": s.Experiment, "Factors": s.Factors, "Columns": names, "At": indexes, "Cells": s.Cells, "Means": means,
		"Legend": legend(firstFactor.Labels), "First": firstFactor.Name,
		"Groups": groups[:min(maxGroups, len(groups))], "Omitted": len(groups) - min(maxGroups, len(groups)), "Runs": len(s.Rows),
	})
}

// MeansSVG returns an SVG plot of a measure's means in all cells. A standalone plot includes a legend.
func (s *Summary) MeansSVG(measure string, standalone bool) (template.HTML, error) {
	measureIndex := slices.Index(s.Measures, measure)
	if measureIndex < 0 {
		return "", fmt.Errorf("unknown measure %q, want one of %q", measure, s.Measures)
	}
	groups := s.groups()
	labels := make([]string, len(groups))
	for i, g := range groups {
		labels[i] = g.Label
		if len(groups) > 4 { // short labels, because many groups leave little space
			labels[i] = strings.Join(s.Cells[g.cells[0]].Levels[1:], ", ")
		}
	}
	plot, err := drawMeans(measure, labels, s.Experiment.Factors[0].Labels, standalone, func(groupIndex, levelIndex int) Interval {
		return s.Cells[groups[groupIndex].cells[levelIndex]].Measures[measureIndex]
	})
	if err != nil {
		return "", fmt.Errorf("plot of %s: %w", measure, err)
	}
	return plot, nil
}

// drawRuns runs each cell of a group once, with the first seed, and returns plots that compare the runs.
func (s *Summary) drawRuns(g *group) ([]template.HTML, error) {
	var goodputs, latencies []series
	var names []string
	var results []*fleet.Result
	for _, i := range g.cells {
		cell := s.Experiment.Cells[i]
		cell.Scenario.Seed, cell.Scenario.RecordUtilisation = s.Experiment.Seeds.First, true
		r, err := fleet.Run(cell.Scenario)
		if err != nil {
			return nil, err
		}
		name := cell.Levels[0]
		goodputs, latencies = append(goodputs, goodput(r)), append(latencies, latencyQuantiles(r))
		names, results = append(names, name), append(results, r)
	}
	var plots []template.HTML
	add := func(plot template.HTML, err error) error {
		if plot != "" {
			plots = append(plots, plot)
		}
		return err
	}
	if err := add(drawGoodput("Requests that met their latency objective, over time", goodputs)); err != nil {
		return nil, err
	}
	if err := add(drawQuantiles("Latency quantiles", latencies)); err != nil {
		return nil, err
	}
	if err := add(drawUtilisation("Utilisation of each node", results)); err != nil {
		return nil, err
	}
	for i, r := range results {
		if err := add(drawHeatMap("Utilisation of the nodes over time, from blue (idle) to red (busy): "+names[i], r)); err != nil {
			return nil, err
		}
	}
	return plots, nil
}
