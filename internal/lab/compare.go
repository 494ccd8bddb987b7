package lab

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Side is one of the two sides of a comparison: the rows of a results file that have given levels of some factors.
type Side struct {
	Path   string            // path of the results file
	Levels map[string]string // level by factor; other factors are not restricted
}

// ParseSide parses a side of the form FILE or FILE:factor=level,factor=level.
func ParseSide(text string) (Side, error) {
	path, levels, hasLevels := strings.Cut(text, ":")
	s := Side{Path: path, Levels: make(map[string]string)}
	if !hasLevels {
		return s, nil
	}
	for _, part := range strings.Split(levels, ",") {
		factor, level, ok := strings.Cut(part, "=")
		if !ok {
			return s, fmt.Errorf("%q: must have the form factor=level, got %q", text, part)
		}
		s.Levels[factor] = level
	}
	return s, nil
}

// rows reads a side's results file and returns the values of the side's rows by cell and seed. A cell is named by the
// levels of the factors that the side does not fix. The cells are also returned in the order of their first rows.
func (s Side) rows() (*Results, map[string]map[uint64][]float64, []string, error) {
	r, err := LoadResults(s.Path)
	if err != nil {
		return nil, nil, nil, err
	}
	for factor, level := range s.Levels {
		i := slices.Index(r.Factors, factor)
		if i < 0 {
			return nil, nil, nil, fmt.Errorf("%s: unknown factor %q, want one of %q", s.Path, factor, r.Factors)
		}
		if !slices.ContainsFunc(r.Rows, func(row Row) bool { return row.Levels[i] == level }) {
			return nil, nil, nil, fmt.Errorf("%s: factor %q has no level %q", s.Path, factor, level)
		}
	}
	valuesByCell := make(map[string]map[uint64][]float64)
	var cells []string
rows:
	for _, row := range r.Rows {
		var otherLevels []string
		for i, level := range row.Levels {
			want, fixed := s.Levels[r.Factors[i]]
			if !fixed {
				otherLevels = append(otherLevels, r.Factors[i]+"="+level)
			} else if want != level {
				continue rows
			}
		}
		cell := strings.Join(otherLevels, ", ")
		if valuesByCell[cell] == nil {
			valuesByCell[cell] = make(map[uint64][]float64)
			cells = append(cells, cell)
		}
		valuesByCell[cell][row.Seed] = row.Values
	}
	return r, valuesByCell, cells, nil
}

// Difference is the difference B - A of a measure in one cell, over the seeds that both sides have.
type Difference struct {
	Cell    string // the levels that both sides share
	Measure string
	A, B    float64 // means
	Delta   Interval
}

// Compare pairs the runs of two sides by cell and seed, so that the part of a value that depends only on the seed
// cancels out. It returns the differences of the given measures, with intervals at the given confidence level.
// It returns an error if a measure is unknown or if the sides share no cell and seed.
func Compare(a, b Side, measures []string, confidence float64) ([]Difference, error) {
	resultsA, rowsA, cells, err := a.rows()
	if err != nil {
		return nil, err
	}
	resultsB, rowsB, _, err := b.rows()
	if err != nil {
		return nil, err
	}
	var differences []Difference
	for _, cell := range cells {
		for _, measure := range measures {
			indexA, indexB := slices.Index(resultsA.Measures, measure), slices.Index(resultsB.Measures, measure)
			if indexA < 0 || indexB < 0 {
				return nil, fmt.Errorf("unknown measure %q, want one of %q", measure, resultsA.Measures)
			}
			d := Difference{Cell: cell, Measure: measure}
			var deltas []float64
			for seed, valuesA := range rowsA[cell] {
				if valuesB := rowsB[cell][seed]; valuesB != nil {
					d.A, d.B = d.A+valuesA[indexA], d.B+valuesB[indexB]
					deltas = append(deltas, valuesB[indexB]-valuesA[indexA])
				}
			}
			if len(deltas) == 0 {
				continue
			}
			slices.Sort(deltas) // the sum of floats must not depend on the map's iteration order
			d.A, d.B, d.Delta = d.A/float64(len(deltas)), d.B/float64(len(deltas)), Estimate(deltas, confidence)
			differences = append(differences, d)
		}
	}
	if len(differences) == 0 {
		return nil, fmt.Errorf("%s and %s have no cell and seed in common", a.Path, b.Path)
	}
	return differences, nil
}

// WriteDifferences writes a table of differences. It states for each whether its confidence interval excludes 0.
func WriteDifferences(out io.Writer, differences []Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "measure\tA\tB\tB - A\tpairs\t\tcell")
	for _, d := range differences {
		verdict := "no significant difference"
		if d.Delta.ExcludesZero() {
			verdict = "B is greater"
			if d.Delta.Mean < 0 {
				verdict = "B is smaller"
			}
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%v\t%d\t%s\t%s\n", d.Measure, d.A, d.B, d.Delta, d.Delta.N, verdict, d.Cell)
	}
	return w.Flush()
}
