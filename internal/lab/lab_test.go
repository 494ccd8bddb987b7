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

const base = `
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

const experiment = `
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

// files writes files into a folder of the test's own, and gives the path of the first.
func files(t *testing.T, contents ...string) string {
	t.Helper()
	dir := t.TempDir()
	for i := 0; i < len(contents); i += 2 {
		if err := os.WriteFile(filepath.Join(dir, contents[i]), []byte(contents[i+1]), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return filepath.Join(dir, contents[0])
}

func load(t *testing.T, text string) (*Experiment, error) {
	t.Helper()
	return LoadExperiment(files(t, "x.toml", text, "base.toml", base))
}

// Every file of the laboratory loads.
func TestOwnFiles(t *testing.T) {
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
		t.Errorf("%d files, %v", found, err)
	}
}

// A scenario is the same after it was written and read.
func TestScenarioRoundTrip(t *testing.T) {
	for seed := range uint64(50) {
		s := fleet.RandomScenario(seed)
		s.RecordedArrivals = []fleet.Arrival{{At: time.Second, Class: 1}}
		var b bytes.Buffer
		if err := WriteScenario(&b, s); err != nil {
			t.Fatal(err)
		}
		got, err := LoadScenario(files(t, "s.toml", b.String()))
		if err != nil || !reflect.DeepEqual(got, s) {
			t.Fatalf("seed %d: %v\n%+v\n%+v\n%s", seed, err, got, s, &b)
		}
	}
}

// Files that are wrong, each with what the error must name.
func TestWrongFiles(t *testing.T) {
	for _, x := range []struct{ from, to, want string }{
		{`path = "policy"`, `path = "polcy"`, `factor "polcy", level "mothridge": "polcy": a scenario has no setting "polcy"; there are`},
		{`nodes = 2}`, `"node.coers" = 2}`, `a scenario has no setting "node.coers"; there are choke, cold_from`},
		{`nodes = 2}`, `"class.7.share" = 2}`, `"7" is none of the 1 there are`},
		{`nodes = 2}`, `"nodes.x" = 2}`, `there is nothing below "nodes"`},
		{`nodes = 2}`, `nodes = 2.5}`, `2.5 is no count`},
		{`nodes = 2}`, `"node.choke.after" = 30}`, `30 is no time: one such as "30s"`},
		{`nodes = 2}`, `nodes = 0}`, `the cell mothridge, small: `},
		{`"random"]`, `"mothridge"]`, `level "mothridge" is there twice`},
		{`measure = "p50"`, `measure = "p51"`, `measure "p51" is not known`},
		{`least = 3`, `least = 1`, `least 1`},
		{`name = "two by two"`, `nam = "x"`, `nam`},
		{`name = "size"`, `nmae = "size"`, `nmae`},
		{`base = "base.toml"`, `base = "none.toml"`, `none.toml`},
		{`[seeds]`, `[seeds`, `x.toml:`},
		{`"list.lag" = "1s"`, `"list.lga" = "1s"`, `set "list.lga"`},
	} {
		if _, err := load(t, strings.Replace(experiment, x.from, x.to, 1)); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s: %v, want %q", x.to, err, x.want)
		}
	}
	_, err := LoadScenario(files(t, "s.toml", "replay = \"r.csv\"\n"+strings.Replace(base, "load = 0.5", "", 1), "r.csv", "0.1,read,0,\n0.2,wrong,0,5\n"))
	if err == nil || !strings.Contains(err.Error(), `r.csv:2: class "wrong": one of ["read"]`) {
		t.Errorf("a recorded class that is not there: %v", err)
	}
}

func TestRecordedRequests(t *testing.T) {
	s, err := LoadScenario(files(t, "s.toml", "replay = \"r.csv\"\n"+strings.Replace(base, "load = 0.5", "", 1), "r.csv", "# seconds,class,tenant,ms\n0.1,read,0,\n0.2,0,0,5.5\n"))
	want := []fleet.Arrival{{At: 100 * time.Millisecond}, {At: 200 * time.Millisecond, Work: 5500 * time.Microsecond}}
	if err != nil || !reflect.DeepEqual(s.RecordedArrivals, want) {
		t.Errorf("%v, %v", s.RecordedArrivals, err)
	}
}

// Results are the same to the byte on one worker and on four, and after an
// interruption at any point, with the last line cut or not.
func TestResultsAreTheSame(t *testing.T) {
	e, err := load(t, experiment)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	notices := 0
	play := func(name string, workers int) []byte {
		out := filepath.Join(dir, name)
		if _, err := Run(context.Background(), e, RunOptions{Out: out, Workers: workers, Notice: func(string) { notices++ }}); err != nil {
			t.Fatal(err)
		}
		b, err := os.ReadFile(out)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	whole := play("one", 1)
	if four := play("four", 4); !bytes.Equal(whole, four) {
		t.Errorf("one worker:\n%s\nfour:\n%s", whole, four)
	}
	rows := bytes.Count(whole, []byte("\n")) - 1
	if rows < 12 || rows > 28 {
		t.Errorf("%d rows of 4 cells from 3 to 7 seeds", rows)
	}
	for _, cut := range []int{0, 5, bytes.IndexByte(whole, '\n') + 1, len(whole) / 2, len(whole) - 1} {
		name := "cut"
		if err := os.WriteFile(filepath.Join(dir, name), whole[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		if got := play(name, 3); !bytes.Equal(got, whole) {
			t.Errorf("cut after %d bytes, it goes on to\n%s\nwant\n%s", cut, got, whole)
		}
		if want := cut > 0 && whole[cut-1] != '\n'; (notices == 1) != want {
			t.Errorf("cut after %d bytes: %d notices", cut, notices)
		}
		notices = 0
	}
	changed := bytes.Clone(whole)
	changed[len(changed)/2] ^= 1
	if err := os.WriteFile(filepath.Join(dir, "changed"), changed, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), e, RunOptions{Out: filepath.Join(dir, "changed"), Workers: 1}); err == nil || !strings.Contains(err.Error(), "the file was changed") {
		t.Errorf("a changed file: %v", err)
	}
	other, err := load(t, strings.Replace(experiment, "nodes = 4", "nodes = 5", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Run(context.Background(), other, RunOptions{Out: filepath.Join(dir, "one"), Workers: 1}); err == nil || !strings.Contains(err.Error(), "another experiment") {
		t.Errorf("another experiment's file: %v", err)
	}
}

// An interrupted run keeps what it played, and two do not write one file.
func TestInterruption(t *testing.T) {
	e, err := load(t, experiment)
	if err != nil {
		t.Fatal(err)
	}
	out := filepath.Join(t.TempDir(), "r")
	ctx, cancel := context.WithCancel(context.Background())
	var second error
	done := 0 // when it was interrupted: more than 4 where one of the first took longest, as rows go by their order
	_, err = Run(ctx, e, RunOptions{Out: out, Workers: 2, Progress: func(p Progress) {
		if second == nil && p.Done >= 4 {
			done = p.Done
			_, second = openStore(out, e)
			cancel()
		}
	}})
	r, lerr := LoadResults(out)
	if !errors.Is(err, context.Canceled) || lerr != nil || len(r.Rows) < done || len(r.Rows) > done+4 {
		t.Errorf("%v, %v, %+v", err, lerr, r)
	}
	if second == nil || !strings.Contains(second.Error(), "another run is writing it") {
		t.Errorf("a second writer: %v", second)
	}
}

func TestEstimate(t *testing.T) {
	for _, x := range []struct {
		values []float64
		want   Interval
	}{
		{nil, Interval{0, math.Inf(1), 0}},
		{[]float64{3}, Interval{3, math.Inf(1), 1}},
		{[]float64{2, 2, 2}, Interval{2, 0, 3}},                       // of no width, and not of none
		{[]float64{1, 2, 3, 4, 5}, Interval{3, 1.963243161477456, 5}}, // t of 4 degrees at 0.975 is 2.776445
		{[]float64{0.1, 0.1, 0.1, 0.1}, Interval{0.1, 0, 4}},          // also where the sum is rounded
		{[]float64{10, 12}, Interval{11, 12.706204736432095, 2}},      // t of 1 degree: 12.7062
	} {
		if got := Estimate(x.values, 0.95); math.Abs(got.Mean-x.want.Mean) > 1e-9 || got.N != x.want.N || !(math.Abs(got.Half-x.want.Half) < 1e-6 || got.Half == x.want.Half) {
			t.Errorf("%v: %+v, want %+v", x.values, got, x.want)
		}
	}
}

// A difference that is there shows, one that is not does not; pairs go by seed.
func TestCompare(t *testing.T) {
	write := func(name string, rows ...Row) string {
		var b bytes.Buffer
		l, err := line(header{"x", "1", []string{"policy"}, []string{"good", "p50"}})
		b.Write(l)
		for _, r := range rows {
			l, e := line(r)
			err = errors.Join(err, e)
			b.Write(l)
		}
		if err != nil {
			t.Fatal(err)
		}
		return files(t, name, b.String())
	}
	path := write("r",
		Row{[]string{"a"}, 1, []float64{0.5, 10}}, Row{[]string{"a"}, 2, []float64{0.9, 20}}, Row{[]string{"a"}, 3, []float64{0.7, 30}},
		Row{[]string{"b"}, 3, []float64{0.8, 28}}, Row{[]string{"b"}, 1, []float64{0.61, 13}}, Row{[]string{"b"}, 2, []float64{0.99, 20}}, Row{[]string{"b"}, 9, []float64{0, 0}})
	a, b := Side{path, map[string]string{"policy": "a"}}, Side{path, map[string]string{"policy": "b"}}
	ds, err := Compare(a, b, []string{"good", "p50"}, 0.95)
	if err != nil || len(ds) != 2 || ds[0].By.N != 3 || math.Abs(ds[0].By.Mean-0.1) > 1e-9 || !ds[0].By.Shows() || ds[1].By.Shows() {
		t.Errorf("%+v, %v", ds, err)
	}
	var out strings.Builder
	if err := WriteDifferences(&out, ds); err != nil || !strings.Contains(out.String(), "B is more") || !strings.Contains(out.String(), "no difference shows") {
		t.Errorf("%s, %v", &out, err)
	}
	if _, err := Compare(a, Side{path, map[string]string{"policy": "c"}}, []string{"good"}, 0.95); err == nil || !strings.Contains(err.Error(), `no level "c"`) {
		t.Error(err)
	}
	if _, err := Compare(Side{path, map[string]string{"size": "1"}}, b, []string{"good"}, 0.95); err == nil || !strings.Contains(err.Error(), `no factor "size"`) {
		t.Error(err)
	}
}

// What breaks a bound is found again in something much smaller.
func TestShrink(t *testing.T) {
	s := fleet.RandomScenario(4)
	s.Nodes, s.Sidecars, s.OfferedLoad, s.Duration, s.Daily = 8, 4, 0.5, 20*time.Second, fleet.Wave{}
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
		t.Errorf("the smaller one does not show the fault: %v", err)
	}
	if small.Nodes > 1 || small.Sidecars > 1 || small.Duration > 3*time.Second || len(small.Classes) > 2 || len(small.Faults) > 1 || small.Faults[0].Kind != fleet.Hang {
		t.Errorf("left is %+v", small)
	}
	if _, err := Shrink(s, func(*fleet.Result) bool { return false }, 10, nil); err == nil {
		t.Error("a fault that is not there is found")
	}
	for _, bad := range []string{"rules", "good=1", "goods<1", "good<x"} {
		if _, err := ParseFault(bad); err == nil {
			t.Errorf("%q is a fault", bad)
		}
	}
}

// The report holds every cell and needs nothing from elsewhere.
func TestReport(t *testing.T) {
	e, err := load(t, experiment)
	if err != nil {
		t.Fatal(err)
	}
	r, err := Run(context.Background(), e, RunOptions{Out: filepath.Join(t.TempDir(), "r"), Workers: 2})
	if err != nil {
		t.Fatal(err)
	}
	s := Summarize(e, r)
	var table, rows, page strings.Builder
	if err := errors.Join(s.WriteTable(&table), s.WriteCSV(&rows), s.WriteHTML(&page, 1, nil)); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(table.String(), "\n"); n != 5 {
		t.Errorf("the table has %d lines:\n%s", n, &table)
	}
	if n := strings.Count(rows.String(), "\n"); n != len(r.Rows)+1 {
		t.Errorf("the CSV has %d lines of %d rows", n, len(r.Rows))
	}
	// Five measures; of one group two lines, a bar chart and two heat maps; one group has no pictures.
	if n := strings.Count(page.String(), "<svg"); n != 10 || !strings.Contains(page.String(), "1 more combinations") {
		t.Errorf("%d pictures", n)
	}
	for _, from := range []string{"src=\"http", "href=\"http", "@import", "<script"} {
		if strings.Contains(page.String(), from) {
			t.Errorf("the page has %s", from)
		}
	}
}

func FuzzRead(f *testing.F) {
	l, _ := line(header{"x", "1", []string{"policy"}, []string{"good"}})
	row, _ := line(Row{[]string{"a"}, 1, []float64{1}})
	f.Add(append(l, row...))
	f.Add(append(l, row[:20]...))
	f.Add([]byte("00000000 {}\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, whole, err := read("f", bytes.NewReader(b))
		if whole < 0 || whole > int64(len(b)) {
			t.Fatalf("%d of %d bytes are whole", whole, len(b))
		}
		if again, n, err2 := read("f", bytes.NewReader(b[:whole])); err == nil && (err2 != nil || n != whole || !reflect.DeepEqual(again, r)) {
			t.Errorf("what is whole reads otherwise: %v", err2)
		}
	})
}
