package lab

import (
	"fmt"
	"hash/fnv"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"strings"

	"mothridge/internal/fleet"
)

// Experiment is what to vary, and how surely its outcome is to be known.
type Experiment struct {
	Name    string   `toml:"name"`
	Why     string   `toml:"why"`
	Base    string   `toml:"base"` // a scenario file, by a path from the experiment's
	Set     tree     `toml:"set"`  // put over it, by path
	Factors []Factor `toml:"factor"`
	Seeds   Seeds    `toml:"seeds"`
	Stop    Stop     `toml:"stop"`
	Show    []string `toml:"show"` // measures that the report shows; none: good, p50, p99, refused, failed

	Cells []Cell `toml:"-"` // all combinations of levels, the last factor's changing fastest
	Hash  string `toml:"-"` // of all that its results follow from
}

// Factor is a setting, or several together, with the values to try.
type Factor struct {
	Name   string `toml:"name"`
	Path   string `toml:"path"` // of the setting; none: each level is a table of paths
	Levels []any  `toml:"levels"`
	Labels []string
}

// Seeds are those that each cell is played from.
type Seeds struct {
	First uint64 `toml:"first"`
	Least int    `toml:"least"`
	Most  int    `toml:"most"`
}

// Stop is when a cell has been played often enough: when the confidence
// interval of a measure's mean reaches no further than Within to either side.
type Stop struct {
	Measure    string  `toml:"measure"`
	Within     float64 `toml:"within"`
	Confidence float64 `toml:"confidence"`
}

// Cell is one combination of levels.
type Cell struct {
	Levels   []string // labels, by factor
	Scenario fleet.Scenario
}

// Label names a cell by its levels.
func (c *Cell) Label() string { return strings.Join(c.Levels, ", ") }

// mostCells bounds an experiment.
const mostCells = 10_000

// LoadExperiment reads an experiment file and works out its cells. The error
// names the file, and the factor and level where it lies in one.
func LoadExperiment(path string) (*Experiment, error) {
	t, err := readTree(path)
	if err != nil {
		return nil, err
	}
	e := &Experiment{Seeds: Seeds{First: 1, Least: 5, Most: 30}, Stop: Stop{Measure: "good", Within: 0.005, Confidence: 0.95}}
	if err := decode(t, e); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := e.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	basePath := filepath.Join(filepath.Dir(path), e.Base)
	base, err := readTree(basePath)
	if err != nil {
		return nil, fmt.Errorf("%s: base: %w", path, err)
	}
	for _, p := range slices.Sorted(maps.Keys(e.Set)) {
		if err := set(base, p, e.Set[p]); err != nil {
			return nil, fmt.Errorf("%s: set %w", path, err)
		}
	}
	if err := e.cross(path, basePath, base); err != nil {
		return nil, err
	}
	h := fnv.New64a()
	fmt.Fprint(h, e.Seeds.First, Measures)
	for _, c := range e.Cells {
		fmt.Fprint(h, c.Levels, encode(reflect.ValueOf(c.Scenario)))
	}
	e.Hash = fmt.Sprintf("%016x", h.Sum64())
	return e, nil
}

func (e *Experiment) check() error {
	switch {
	case e.Name == "" || e.Base == "":
		return fmt.Errorf("name %q and base %q: both are needed", e.Name, e.Base)
	case len(e.Factors) == 0:
		return fmt.Errorf("no [[factor]]: at least one is needed")
	case e.Seeds.Least < 2 || e.Seeds.Most < e.Seeds.Least:
		return fmt.Errorf("seeds: least %d and most %d: at least 2, and no more at least than at most, are needed", e.Seeds.Least, e.Seeds.Most)
	case !(e.Stop.Within >= 0) || !(e.Stop.Confidence > 0 && e.Stop.Confidence < 1):
		return fmt.Errorf("stop: within %v at a confidence of %v: 0 or more, and a share, are needed", e.Stop.Within, e.Stop.Confidence)
	}
	for _, m := range append([]string{e.Stop.Measure}, e.Show...) {
		if _, err := MeasureNumber(m); err != nil {
			return err
		}
	}
	if len(e.Show) == 0 {
		e.Show = []string{"good", "p50", "p99", "refused", "failed"}
	}
	for i := range e.Factors {
		if err := e.Factors[i].check(); err != nil {
			return fmt.Errorf("factor %q: %w", e.Factors[i].Name, err)
		}
	}
	return nil
}

// check also finds the levels' labels.
func (f *Factor) check() error {
	if f.Name == "" {
		f.Name = f.Path
	}
	if f.Name == "" || len(f.Levels) == 0 {
		return fmt.Errorf("a name or a path, and levels, are needed")
	}
	for i, l := range f.Levels {
		table, isTable := l.(tree)
		label := fmt.Sprint(l)
		switch {
		case f.Path == "" && !isTable:
			return fmt.Errorf("level %d: %v: without a path each level is a table of paths", i, l)
		case isTable && f.Path == "":
			if text, ok := table["label"].(string); ok {
				label = text
				table = maps.Clone(table)
				delete(table, "label")
				f.Levels[i] = table
				break
			}
			var parts []string
			for _, p := range slices.Sorted(maps.Keys(table)) {
				parts = append(parts, fmt.Sprintf("%s=%v", p, table[p]))
			}
			label = strings.Join(parts, " ")
		}
		if slices.Contains(f.Labels, label) {
			return fmt.Errorf("level %q is there twice", label)
		}
		f.Labels = append(f.Labels, label)
	}
	return nil
}

// cross makes a cell of each combination of levels.
func (e *Experiment) cross(path, basePath string, base tree) error {
	number := 1
	for _, f := range e.Factors {
		if number *= len(f.Levels); number > mostCells {
			return fmt.Errorf("%s: more than %d combinations of levels", path, mostCells)
		}
	}
	for n := range number {
		t, c, rest := copyTree(base), Cell{Levels: make([]string, len(e.Factors))}, n
		for i := len(e.Factors) - 1; i >= 0; i-- {
			f := &e.Factors[i]
			at := rest % len(f.Levels)
			rest /= len(f.Levels)
			c.Levels[i] = f.Labels[at]
			values := tree{f.Path: f.Levels[at]}
			if f.Path == "" {
				values = f.Levels[at].(tree)
			}
			for _, p := range slices.Sorted(maps.Keys(values)) {
				if err := set(t, p, values[p]); err != nil {
					return fmt.Errorf("%s: factor %q, level %q: %w", path, f.Name, f.Labels[at], err)
				}
			}
		}
		var err error
		if c.Scenario, err = scenario(basePath, t); err != nil {
			return fmt.Errorf("%s: the cell %s: %w", path, c.Label(), err)
		}
		e.Cells = append(e.Cells, c)
	}
	return nil
}
