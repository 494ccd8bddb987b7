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

// Experiment specifies which settings to vary, and how precisely to measure the result.
type Experiment struct {
	Name    string   `toml:"name"`
	Why     string   `toml:"why"`
	Base    string   `toml:"base"` // path of a scenario file, relative to the experiment file
	Set     tree     `toml:"set"`  // settings that override the base's, by path
	Factors []Factor `toml:"factor"`
	Seeds   Seeds    `toml:"seeds"`
	Stop    Stop     `toml:"stop"`
	Show    []string `toml:"show"` // measures in the report; default: good, p50, p99, refused, failed

	Cells []Cell `toml:"-"` // all combinations of levels; the last factor's level changes fastest
	Hash  string `toml:"-"` // of everything that determines the results
}

// Factor is a setting, or several settings that change together, with the values to try.
type Factor struct {
	Name   string `toml:"name"`
	Path   string `toml:"path"` // of the setting; if empty, each level is a table with a value for each path
	Levels []any  `toml:"levels"`
	Labels []string
}

// Seeds specifies the seeds of each cell's runs: consecutive numbers from First.
type Seeds struct {
	First uint64 `toml:"first"`
	Min   int    `toml:"least"`
	Max   int    `toml:"most"`
}

// Stop specifies when a cell has enough runs: when the confidence interval of the measure's mean extends at most Within
// to either side.
type Stop struct {
	Measure    string  `toml:"measure"`
	Within     float64 `toml:"within"`
	Confidence float64 `toml:"confidence"`
}

// Cell is one combination of levels.
type Cell struct {
	Levels   []string // label of the level of each factor
	Scenario fleet.Scenario
}

// Label returns the cell's name, which lists its levels.
func (c *Cell) Label() string { return strings.Join(c.Levels, ", ") }

// maxCells is the maximum number of cells in an experiment.
const maxCells = 10_000

// LoadExperiment reads an experiment file and builds its cells. An error names the file, and the factor and level if it
// lies in one.
func LoadExperiment(path string) (*Experiment, error) {
	document, err := readTree(path)
	if err != nil {
		return nil, err
	}
	e := &Experiment{Seeds: Seeds{First: 1, Min: 5, Max: 30}, Stop: Stop{Measure: "good", Within: 0.005, Confidence: 0.95}}
	if err := decode(document, e); err != nil {
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
		if err := setValue(base, p, e.Set[p]); err != nil {
			return nil, fmt.Errorf("%s: set %w", path, err)
		}
	}
	if err := e.buildCells(path, basePath, base); err != nil {
		return nil, err
	}
	h := fnv.New64a()
	fmt.Fprint(h, e.Seeds.First, Measures)
	for _, cell := range e.Cells {
		fmt.Fprint(h, cell.Levels, encode(reflect.ValueOf(cell.Scenario)))
	}
	e.Hash = fmt.Sprintf("%016x", h.Sum64())
	return e, nil
}

// check validates the experiment and sets the default of Show.
func (e *Experiment) check() error {
	switch {
	case e.Name == "" || e.Base == "":
		return fmt.Errorf("name and base are required, got name %q and base %q", e.Name, e.Base)
	case len(e.Factors) == 0:
		return fmt.Errorf("at least one [[factor]] is required")
	case e.Seeds.Min < 2 || e.Seeds.Max < e.Seeds.Min:
		return fmt.Errorf("seeds: least must be at least 2 and not above most, got least %d and most %d", e.Seeds.Min, e.Seeds.Max)
	case !(e.Stop.Within >= 0) || !(e.Stop.Confidence > 0 && e.Stop.Confidence < 1):
		return fmt.Errorf("stop: within must be at least 0 and confidence between 0 and 1, got within %v and confidence %v",
			e.Stop.Within, e.Stop.Confidence)
	}
	for _, measure := range append([]string{e.Stop.Measure}, e.Show...) {
		if _, err := MeasureIndex(measure); err != nil {
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

// check validates the factor and sets its default name and the labels of its levels.
func (f *Factor) check() error {
	if f.Name == "" {
		f.Name = f.Path
	}
	if f.Name == "" || len(f.Levels) == 0 {
		return fmt.Errorf("a name or a path, and at least one level, are required")
	}
	for i, level := range f.Levels {
		table, isTable := level.(tree)
		label := fmt.Sprint(level)
		switch {
		case f.Path == "" && !isTable:
			return fmt.Errorf("level %d: must be a table of paths if the factor has no path, got %v", i, level)
		case isTable && f.Path == "":
			if text, ok := table["label"].(string); ok {
				label = text
				table = maps.Clone(table)
				delete(table, "label")
				f.Levels[i] = table
				break
			}
			var parts []string
			for _, setting := range slices.Sorted(maps.Keys(table)) {
				parts = append(parts, fmt.Sprintf("%s=%v", setting, table[setting]))
			}
			label = strings.Join(parts, " ")
		}
		if slices.Contains(f.Labels, label) {
			return fmt.Errorf("duplicate level %q", label)
		}
		f.Labels = append(f.Labels, label)
	}
	return nil
}

// buildCells adds a cell for each combination of levels. The path of the experiment's file appears in errors. The path
// of the base file does too, and the files that the base names are relative to its folder.
func (e *Experiment) buildCells(path, basePath string, base tree) error {
	count := 1
	for _, f := range e.Factors {
		if count *= len(f.Levels); count > maxCells {
			return fmt.Errorf("%s: must have at most %d combinations of levels", path, maxCells)
		}
	}
	for n := range count {
		document, cell, remainder := copyTree(base), Cell{Levels: make([]string, len(e.Factors))}, n
		for i := len(e.Factors) - 1; i >= 0; i-- {
			f := &e.Factors[i]
			level := remainder % len(f.Levels)
			remainder /= len(f.Levels)
			cell.Levels[i] = f.Labels[level]
			values := tree{f.Path: f.Levels[level]}
			if f.Path == "" {
				values = f.Levels[level].(tree)
			}
			for _, setting := range slices.Sorted(maps.Keys(values)) {
				if err := setValue(document, setting, values[setting]); err != nil {
					return fmt.Errorf("%s: factor %q, level %q: %w", path, f.Name, f.Labels[level], err)
				}
			}
		}
		var err error
		if cell.Scenario, err = decodeScenario(basePath, document); err != nil {
			return fmt.Errorf("%s: cell %s: %w", path, cell.Label(), err)
		}
		e.Cells = append(e.Cells, cell)
	}
	return nil
}
