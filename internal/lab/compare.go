package lab

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Side is one of the two that are compared: rows of a results file, by level of
// some factors.
type Side struct {
	Path   string
	Levels map[string]string // by factor
}

// ParseSide reads FILE or FILE:factor=level,factor=level.
func ParseSide(text string) (Side, error) {
	path, levels, some := strings.Cut(text, ":")
	s := Side{Path: path, Levels: make(map[string]string)}
	if !some {
		return s, nil
	}
	for _, part := range strings.Split(levels, ",") {
		factor, level, ok := strings.Cut(part, "=")
		if !ok {
			return s, fmt.Errorf("%q: %q is no factor=level", text, part)
		}
		s.Levels[factor] = level
	}
	return s, nil
}

// rows gives a side's rows by the levels of its other factors, and then by seed.
func (s Side) rows() (*Results, map[string]map[uint64][]float64, []string, error) {
	r, err := LoadResults(s.Path)
	if err != nil {
		return nil, nil, nil, err
	}
	for factor, level := range s.Levels {
		i := slices.Index(r.Factors, factor)
		if i < 0 {
			return nil, nil, nil, fmt.Errorf("%s: there is no factor %q; there are %q", s.Path, factor, r.Factors)
		}
		if !slices.ContainsFunc(r.Rows, func(x Row) bool { return x.Levels[i] == level }) {
			return nil, nil, nil, fmt.Errorf("%s: factor %q has no level %q", s.Path, factor, level)
		}
	}
	by := make(map[string]map[uint64][]float64)
	var order []string
rows:
	for _, row := range r.Rows {
		var rest []string
		for i, level := range row.Levels {
			want, fixed := s.Levels[r.Factors[i]]
			if !fixed {
				rest = append(rest, r.Factors[i]+"="+level)
			} else if want != level {
				continue rows
			}
		}
		key := strings.Join(rest, ", ")
		if by[key] == nil {
			by[key] = make(map[uint64][]float64)
			order = append(order, key)
		}
		by[key][row.Seed] = row.Values
	}
	return r, by, order, nil
}

// Difference is what B has more than A of a measure, over the seeds that both have.
type Difference struct {
	Cell    string // the levels that both sides have
	Measure string
	A, B    float64 // means
	By      Interval
}

// Compare pairs two sides' runs by cell and seed, so that what a seed brings to
// both falls out of the difference. Measures are those to compare.
func Compare(a, b Side, measures []string, confidence float64) ([]Difference, error) {
	ra, rowsA, order, err := a.rows()
	if err != nil {
		return nil, err
	}
	rb, rowsB, _, err := b.rows()
	if err != nil {
		return nil, err
	}
	var out []Difference
	for _, cell := range order {
		for _, m := range measures {
			ia, ib := slices.Index(ra.Measures, m), slices.Index(rb.Measures, m)
			if ia < 0 || ib < 0 {
				return nil, fmt.Errorf("measure %q is not known; there are %q", m, ra.Measures)
			}
			d := Difference{Cell: cell, Measure: m}
			var by []float64
			for seed, values := range rowsA[cell] {
				if other := rowsB[cell][seed]; other != nil {
					d.A, d.B = d.A+values[ia], d.B+other[ib]
					by = append(by, other[ib]-values[ia])
				}
			}
			if len(by) == 0 {
				continue
			}
			slices.Sort(by) // sums of floats must not depend on a map's order
			d.A, d.B, d.By = d.A/float64(len(by)), d.B/float64(len(by)), Estimate(by, confidence)
			out = append(out, d)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s and %s have no cell and seed in common", a.Path, b.Path)
	}
	return out, nil
}

// WriteDifferences writes a table that says where a difference shows.
func WriteDifferences(out io.Writer, ds []Difference) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "measure\tA\tB\tB - A\tpairs\t\tcell")
	for _, d := range ds {
		word := "no difference shows"
		if d.By.Shows() {
			word = "B is more"
			if d.By.Mean < 0 {
				word = "B is less"
			}
		}
		fmt.Fprintf(w, "%s\t%.4g\t%.4g\t%v\t%d\t%s\t%s\n", d.Measure, d.A, d.B, d.By, d.By.N, word, d.Cell)
	}
	return w.Flush()
}
