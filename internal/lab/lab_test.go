package lab

import (
	"bytes"
	"context"
	"errors"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"mothridge/internal/fleet"
)

const baseScenario = `
duration = "2s"
nodes = 3
sidecars = 2
load = 0.5
attempts = 2
[node]
cores = 1
speed = 1.0
[clients]
tries = 1
[[class]]
name = "read"
share = 1.0
work = "10ms"
aim = "100ms"
deadline = "1s"
effect = "safe"
`

const testExperiment = `
name = "two by two"
base = "base.toml"
[set]
"list.lag" = "1s"
[[factor]]
path = "policy"
levels = ["mothridge", "random"]
[[factor]]
name = "size"
levels = [{label = "small", nodes = 2}, {label = "large", nodes = 4, sidecars = 3}]
[seeds]
least = 3
most = 7
[stop]
measure = "p50"
within = 0.5
`

// writeFiles writes files, given as pairs of name and content, to a temporary folder and returns the path of the first.
func writeFiles(t *testing.T, contents ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i := 0; i < len(contents); i += 2 {
		if err := os.WriteFile(filepath.Join(dir, contents[i]), []byte(contents[i+1]), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, contents[0])
}

// loadExperiment writes an experiment file next to baseScenario and loads it.
func loadExperiment(t *testing.T, text string) (*Experiment, error) {
	t.Helper()
	return LoadExperiment(writeFiles(t, "x.toml", text, "base.toml", baseScenario))
}

// TestRepositoryFilesLoad guards against scenario and experiment files under lab/ that no longer load.
func TestRepositoryFilesLoad(t *testing.T) {
	found := 0
	err := filepath.WalkDir("../../lab", func(path string, d os.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".toml" {
			return err
		}
		found++
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if bytes.Contains(text, []byte("[[factor]]")) {
			_, err = LoadExperiment(path)
		} else {
			_, err = LoadScenario(path)
		}
		if err != nil {
			t.Error(err)
		}
		return nil
	})
	if err != nil || found < 10 {
		t.Errorf("got %d files and error %v, want at least 10 files and none", found, err)
	}
}

// TestScenarioRoundTrip guards against settings that are lost or changed when a scenario is written and read again.
func TestScenarioRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		s := fleet.RandomScenario(seed)
		s.RecordedArrivals = []fleet.Arrival{{At: time.Second, Class: 1}}
		var b bytes.Buffer
		if err := WriteScenario(&b, s); err != nil {
			t.Fatal(err)
		}
		got, err := LoadScenario(writeFiles(t, "s.toml", b.String()))
		if err != nil || !reflect.DeepEqual(got, s) {
			t.Fatalf("seed %d: got error %v and scenario\n%+v\nwant\n%+v\nfile:\n%s", seed, err, got, s, &b)
		}
	}
}

// TestInvalidFiles guards against invalid files that load, and errors that do not name the cause.
func TestInvalidFiles(t *testing.T) {
	for _, test := range []struct{ from, to, want string }{
		{`path = "policy"`, `path = "polcy"`, `factor "polcy", level "mothridge": "polcy": unknown scenario setting "polcy", want one of`},
		{`nodes = 2}`, `"node.coers" = 2}`, `unknown scenario setting "node.coers", want one of choke, cold_from`},
		{`nodes = 2}`, `"class.7.share" = 2}`, `must have an index from 0 and below 1, got "7"`},
		{`nodes = 2}`, `"nodes.x" = 2}`, `no setting exists below "nodes"`},
		{`nodes = 2}`, `nodes = 2.5}`, `must be a whole number, got 2.5`},
		{`nodes = 2}`, `"node.choke.after" = 30}`, `must be a duration such as "30s" or "5ms", got 30`},
		{`nodes = 2}`, `nodes = 0}`, `cell mothridge, small: `},
		{`"random"]`, `"mothridge"]`, `duplicate level "mothridge"`},
		{`measure = "p50"`, `measure = "p51"`, `unknown measure "p51"`},
		{`least = 3`, `least = 1`, `got least 1`},
		{`name = "two by two"`, `nam = "x"`, `nam`},
		{`name = "size"`, `nmae = "size"`, `nmae`},
		{`base = "base.toml"`, `base = "none.toml"`, `none.toml`},
		{`[seeds]`, `[seeds`, `x.toml:`},
		{`"list.lag" = "1s"`, `"list.lga" = "1s"`, `set "list.lga"`},
	} {
		if _, err := loadExperiment(t, strings.Replace(testExperiment, test.from, test.to, 1)); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want one that contains %q", test.to, err, test.want)
		}
	}
	_, err := LoadScenario(writeFiles(t, "s.toml", "replay = \"r.csv\"\n"+strings.Replace(baseScenario, "load = 0.5", "", 1), "r.csv", "0.1,read,0,\n0.2,wrong,0,5\n"))
	if err == nil || !strings.Contains(err.Error(), `r.csv:2: class must be one of ["read"] or an index from 0, got "wrong"`) {
		t.Errorf("unknown class in recorded requests: got error %v, want one that names line, class and known classes", err)
	}
}

// TestRecordedArrivals guards against recorded requests that are read with a wrong time, class, tenant or work.
func TestRecordedArrivals(t *testing.T) {
	s, err := LoadScenario(writeFiles(t, "s.toml", "replay = \"r.csv\"\n"+strings.Replace(baseScenario, "load = 0.5", "", 1), "r.csv", "# seconds,class,tenant,ms\n0.1,read,0,\n0.2,0,0,5.5\n"))
	want := []fleet.Arrival{{At: 100 * time.Millisecond}, {At: 200 * time.Millisecond, Work: 5500 * time.Microsecond}}
	if err != nil || !reflect.DeepEqual(s.RecordedArrivals, want) {
		t.Errorf("got %v and error %v, want %v", s.RecordedArrivals, err, want)
	}
}

// TestResultsAreReproducible guards against results files that depend on the number of workers or on an interruption at
// any point, with or without a truncated last line: the files must be identical to the byte. It also guards against
// writing to a file that was changed or that belongs to another experiment.
func TestResultsAreReproducible(t *testing.T) {
	e, err := loadExperiment(t, testExperiment)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	notices := 0
	runToFile := func(name string, workers int) []byte {
		path := filepath.Join(dir, name)
		if _, err := Run(context.Background(), e, RunOptions{ResultsPath: path, Workers: workers, Notice: func(string) { notices++ }}); err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	want := runToFile("one", 1)
	if got := runToFile("four", 4); !bytes.Equal(want, got) {
		t.Errorf("results with one worker:\n%s\nwith four workers:\n%s\nwant them equal", want, got)
	}
	rows := bytes.Count(want, []byte("\n")) - 1
	if rows < 12 || rows > 28 {
		t.Errorf("4 cells with 3 to 7 seeds: got %d rows, want 12 to 28", rows)
	}
	for _, length := range []int{0, 5, bytes.IndexByte(want, '\n') + 1, len(want) / 2, len(want) - 1} {
		name := "cut"
		if err := os.WriteFile(filepath.Join(dir, name), want[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		if got := runToFile(name, 3); !bytes.Equal(got, want) {
			t.Errorf("continued after %d bytes: got\n%s\nwant\n%s", length, got, want)
		}
		if wantNotice := length > 0 && want[length-1] != '\n'; (notices == 1) != wantNotice {
			t.Errorf("continued after %d bytes: got %d notices, want one notice: %v", length, notices, wantNotice)
		}
		notices = 0
	}
	changed := bytes.Clone(want)
	changed[len(changed)/2] ^= 1
	if err := os.WriteFile(filepath.Join(dir, "changed"), changed, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), e, RunOptions{ResultsPath: filepath.Join(dir, "changed"), Workers: 1}); err == nil || !strings.Contains(err.Error(), "the file was changed") {
		t.Errorf("changed results file: got error %v, want \"the file was changed\"", err)
	}
	other, err := loadExperiment(t, strings.Replace(testExperiment, "nodes = 4", "nodes = 5", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), other, RunOptions{ResultsPath: filepath.Join(dir, "one"), Workers: 1}); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Errorf("results file of another experiment: got error %v, want one that contains \"another experiment\"", err)
	}
}

// TestInterruption guards against an interrupted run that loses rows, and against two runs that write the same file.
func TestInterruption(t *testing.T) {
	e, err := loadExperiment(t, testExperiment)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "r")
	ctx, cancel := context.WithCancel(context.Background())
	var secondErr error
	// The number of rows at the interruption. It is above 4 if one of the first runs took longest, because rows are
	// written in order.
	done := 0
	_, err = Run(ctx, e, RunOptions{ResultsPath: path, Workers: 2, Progress: func(p Progress) {
		if secondErr == nil && p.Done >= 4 {
			done = p.Done
			_, secondErr = openStore(path, e)
			cancel()
		}
	}})
	r, loadErr := LoadResults(path)
	if !errors.Is(err, context.Canceled) || loadErr != nil || len(r.Rows) < done || len(r.Rows) > done+4 {
		t.Errorf("got run error %v, load error %v and results %+v; want context.Canceled, none and %d to %d rows",
			err, loadErr, r, done, done+4)
	}
	if secondErr == nil || !strings.Contains(secondErr.Error(), "another run is writing this file") {
		t.Errorf("second writer: got error %v, want \"another run is writing this file\"", secondErr)
	}
}

// TestEstimate guards against wrong means and confidence intervals, including those of too few or equal values.
func TestEstimate(t *testing.T) {
	for _, test := range []struct {
		values []float64
		want   Interval
	}{
		{nil, Interval{0, math.Inf(1), 0}},
		{[]float64{3}, Interval{3, math.Inf(1), 1}},
		{[]float64{2, 2, 2}, Interval{2, 0, 3}},                       // equal values: the half-width is 0, not infinite
		{[]float64{1, 2, 3, 4, 5}, Interval{3, 1.963243161477456, 5}}, // Student's t for 4 degrees of freedom at 0.975 is 2.776445
		{[]float64{0.1, 0.1, 0.1, 0.1}, Interval{0.1, 0, 4}},          // equal values whose sum is rounded
		{[]float64{10, 12}, Interval{11, 12.706204736432095, 2}},      // Student's t for 1 degree of freedom is 12.7062
	} {
		if got := Estimate(test.values, 0.95); math.Abs(got.Mean-test.want.Mean) > 1e-9 || got.N != test.want.N || !(math.Abs(got.HalfWidth-test.want.HalfWidth) < 1e-6 || got.HalfWidth == test.want.HalfWidth) {
			t.Errorf("%v: got %+v, want %+v", test.values, got, test.want)
		}
	}
}

// TestCompare guards against a comparison that pairs runs of different seeds, misses a significant difference or
// reports an insignificant one.
func TestCompare(t *testing.T) {
	write := func(name string, rows ...Row) string {
		var b bytes.Buffer
		headerLine, err := encodeLine(header{"x", "1", []string{"policy"}, []string{"good", "p50"}})
		b.Write(headerLine)
		for _, row := range rows {
			rowLine, rowErr := encodeLine(row)
			err = errors.Join(err, rowErr)
			b.Write(rowLine)
		}
		if err != nil {
			t.Fatal(err)
		}
		return writeFiles(t, name, b.String())
	}
	path := write("r",
		Row{[]string{"a"}, 1, []float64{0.5, 10}}, Row{[]string{"a"}, 2, []float64{0.9, 20}}, Row{[]string{"a"}, 3, []float64{0.7, 30}},
		Row{[]string{"b"}, 3, []float64{0.8, 28}}, Row{[]string{"b"}, 1, []float64{0.61, 13}}, Row{[]string{"b"}, 2, []float64{0.99, 20}}, Row{[]string{"b"}, 9, []float64{0, 0}})
	a, b := Side{path, map[string]string{"policy": "a"}}, Side{path, map[string]string{"policy": "b"}}
	differences, err := Compare(a, b, []string{"good", "p50"}, 0.95)
	if err != nil || len(differences) != 2 || differences[0].Delta.N != 3 || math.Abs(differences[0].Delta.Mean-0.1) > 1e-9 || !differences[0].Delta.ExcludesZero() || differences[1].Delta.ExcludesZero() {
		t.Errorf("got %+v and error %v, want differences of 3 pairs: 0.1, significant, for good, and an insignificant one for p50",
			differences, err)
	}
	var out strings.Builder
	if err := WriteDifferences(&out, differences); err != nil || !strings.Contains(out.String(), "B is greater") || !strings.Contains(out.String(), "no significant difference") {
		t.Errorf("got table\n%s\nand error %v, want the verdicts \"B is greater\" and \"no significant difference\"",
			&out, err)
	}
	if _, err := Compare(a, Side{path, map[string]string{"policy": "c"}}, []string{"good"}, 0.95); err == nil || !strings.Contains(err.Error(), `no level "c"`) {
		t.Error(err)
	}
	if _, err := Compare(Side{path, map[string]string{"size": "1"}}, b, []string{"good"}, 0.95); err == nil || !strings.Contains(err.Error(), `unknown factor "size"`) {
		t.Error(err)
	}
}

// TestShrink guards against Shrink returning a scenario that no longer shows the fault or that could be much smaller,
// and against invalid descriptions of faults that are accepted.
func TestShrink(t *testing.T) {
	s := fleet.RandomScenario(4)
	s.Nodes, s.Sidecars, s.OfferedLoad, s.Duration, s.Daily = 8, 4, 0.5, 20*time.Second, fleet.RateVariation{}
	s.Faults = []fleet.Fault{{Kind: fleet.Drain, Start: 2 * time.Second, Node: 1}, {Kind: fleet.Hang, Start: time.Second, NodeShare: 1}}
	fault, err := ParseFault("good<0.7")
	if err != nil {
		t.Fatal(err)
	}
	small, err := Shrink(s, fault, 300, nil)
	if err != nil {
		t.Fatal(err)
	}
	if r, err := fleet.Run(small); err != nil || !fault(r) {
		t.Errorf("smaller scenario: got error %v, want none and a result that shows the fault", err)
	}
	if small.Nodes > 1 || small.Sidecars > 1 || small.Duration > 3*time.Second || len(small.Classes) > 2 || len(small.Faults) > 1 || small.Faults[0].Kind != fleet.Hang {
		t.Errorf("got %+v, want at most 1 node, 1 sidecar, 3s, 2 classes and 1 fault, which is a hang", small)
	}
	if _, err := Shrink(s, func(*fleet.Result) bool { return false }, 10, nil); err == nil {
		t.Error("scenario without the fault: got no error, want one")
	}
	for _, text := range []string{"rules", "good=1", "goods<1", "good<x"} {
		if _, err := ParseFault(text); err == nil {
			t.Errorf("ParseFault(%q): got no error, want one", text)
		}
	}
}

// TestReport guards against reports that lack cells, rows or plots, and against an HTML page that loads other
// resources.
func TestReport(t *testing.T) {
	e, err := loadExperiment(t, testExperiment)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), e, RunOptions{ResultsPath: filepath.Join(t.TempDir(), "r"), Workers: 2})
	if err != nil {
		t.Fatal(err)
	}
	s := Summarize(e, r)
	var table, csvText, page strings.Builder
	if err := errors.Join(s.WriteTable(&table), s.WriteCSV(&csvText), s.WriteHTML(&page, 1, nil)); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(table.String(), "\n"); n != 5 {
		t.Errorf("table: got %d lines, want 5:\n%s", n, &table)
	}
	if n := strings.Count(csvText.String(), "\n"); n != len(r.Rows)+1 {
		t.Errorf("CSV: got %d lines, want one more than the %d rows", n, len(r.Rows))
	}
	// Plots of five measures and, for the first of two groups, two line plots, a bar chart and two heat maps.
	if n := strings.Count(page.String(), "<svg"); n != 10 || !strings.Contains(page.String(), "1 more combinations") {
		t.Errorf("page: got %d plots, want 10 and a note about 1 more combination", n)
	}
	for _, reference := range []string{"src=\"http", "href=\"http", "@import", "<script"} {
		if strings.Contains(page.String(), reference) {
			t.Errorf("page: got %s, want no reference to other resources", reference)
		}
	}
}

// FuzzRead guards against a reader that panics on invalid input, reports a valid length outside the input, or reads the
// valid part alone with another result.
func FuzzRead(f *testing.F) {
	headerLine, _ := encodeLine(header{"x", "1", []string{"policy"}, []string{"good"}})
	rowLine, _ := encodeLine(Row{[]string{"a"}, 1, []float64{1}})
	f.Add(append(headerLine, rowLine...))
	f.Add(append(headerLine, rowLine[:20]...))
	f.Add([]byte("00000000 {}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, validLength, err := readResults("f", bytes.NewReader(b))
		if validLength < 0 || validLength > int64(len(b)) {
			t.Fatalf("got a valid length of %d bytes, want 0 to %d", validLength, len(b))
		}
		if again, n, err2 := readResults("f", bytes.NewReader(b[:validLength])); err == nil && (err2 != nil || n != validLength || !reflect.DeepEqual(again, r)) {
			t.Errorf("reading only the valid part: got error %v, %d bytes and %+v; want none, %d bytes and %+v",
				err2, n, again, validLength, r)
		}
	})
}
