package hook

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mothridge/internal/golden"
)

// goldenRandomPrograms is the number of random programs, and of random programs with a mistake.
const goldenRandomPrograms = 400

// goldenProgram is a program of the corpus; its name is in testdata/runs.golden.
type goldenProgram struct{ name, source string }

// goldenCorpus returns the deployed plug-ins, the programs of the other tests, random programs,
// and random programs in which a token is missing or wrong.
func goldenCorpus(t *testing.T) []goldenProgram {
	t.Helper()
	var corpus []goldenProgram
	add := func(group string, number int, source string) {
		corpus = append(corpus, goldenProgram{fmt.Sprintf("%s/%03d", group, number), source})
	}
	files, err := filepath.Glob("../../deploy/plugins/*.hook")
	if err != nil || len(files) == 0 {
		t.Fatalf("no plug-ins: %v", err)
	}
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		corpus = append(corpus, goldenProgram{filepath.Base(file), string(source)})
	}
	for i, expression := range slices.Sorted(maps.Keys(expressionCases)) {
		add("expression", i, "on request {\n\ttag(text("+expression+"))\n}")
	}
	for i, x := range programCases {
		add("program", i, x.source)
	}
	for i, x := range mistakeCases {
		add("mistake", i, x.source)
	}
	for i, x := range limitCases {
		add("limit", i, x.source)
	}
	for seed := range goldenRandomPrograms {
		random := rand.New(rand.NewPCG(uint64(seed), 2))
		source := generate(random)
		add("random", seed, source)
		add("random mistake", seed, mutate(random, source))
	}
	return corpus
}

// mutate replaces or deletes one word of a program.
func mutate(random *rand.Rand, source string) string {
	words := strings.SplitAfter(source, " ")
	i := random.IntN(len(words))
	words[i] = ""
	if random.IntN(2) == 0 {
		words[i] = words[random.IntN(len(words))]
	}
	return strings.Join(words, "")
}

// goldenEvent returns an event with all fields of its kind set.
func goldenEvent(kind string) *Event {
	e := &Event{Kind: kind, Now: time.Date(2026, 9, 1, 5, 30, 0, 0, time.UTC), Headers: headerMap{"Apiary": "ridge-7", "Tags": "a,b"}}
	for i := range e.Text {
		e.Text[i] = fmt.Sprintf("text-%d", i)
	}
	e.Text[0] = "weight-reading"
	e.Int[RequestSize], e.Int[RequestLeft], e.Int[RequestRetry] = 42, int64(time.Second), 1
	if kind == "outcome" {
		e.Int[OutcomeTook] = int64(30 * time.Millisecond)
	}
	return e
}

// goldenRuns runs a program within limits, three times with one store, and adds what came of it.
func goldenRuns(digest golden.Digest, p *Program, kind string, limits Limits) (first Result, firstErr error) {
	var machine Machine
	store := memoryStore{}
	for run := range 3 {
		result, err := machine.Run(p, goldenEvent(kind), store, limits)
		digest.Numbers('r', result.Fuel, result.Memory, int64(len(result.Effects)))
		digest.Text('e', fmt.Sprint(err))
		for _, e := range result.Effects {
			digest.Numbers('k', int64(e.Kind), int64(e.Pause))
			digest.Text('n', e.Name)
			digest.Text('t', e.Text)
		}
		for _, key := range slices.Sorted(maps.Keys(store)) {
			digest.Text('s', key)
			digest.Numbers('v', store[key])
		}
		if run == 0 {
			first, firstErr = result, err
		}
	}
	return first, firstErr
}

// goldenLine describes a program's runs for a kind of event: fuel and memory of the first run
// and its error; the digest holds effects, state and the same with less fuel and memory.
func goldenLine(name string, p *Program, kind string) string {
	digest := golden.NewDigest()
	limits := Limits{Fuel: 1 << 14, Memory: 1 << 16}
	first, err := goldenRuns(digest, p, kind, limits)
	for _, part := range []int64{1, 2, 3, 5, 8} {
		goldenRuns(digest, p, kind, Limits{Fuel: (first.Fuel - 1) / part, Memory: limits.Memory})
		goldenRuns(digest, p, kind, Limits{Fuel: limits.Fuel, Memory: (first.Memory - 1) / part})
	}
	return fmt.Sprintf("%s on %s: fuel %d, memory %d, %v, %s\n", name, kind, first.Fuel, first.Memory, err, digest)
}

// goldenLines describes a program: whether it compiles, a digest of its formatted text and its
// diagnostics, and its runs.
func goldenLines(program goldenProgram) string {
	digest := golden.NewDigest()
	formatted, err := Format("golden.hook", program.source)
	digest.Text('f', formatted)
	digest.Text('e', fmt.Sprint(err))
	compiled, err := Compile("golden.hook", program.source)
	digest.Text('c', fmt.Sprint(err))
	lines := fmt.Sprintf("%s: %v, %s\n", program.name, err == nil, digest)
	if err != nil {
		return lines
	}
	for _, kind := range hookKinds {
		if compiled.HasHook(kind) {
			lines += goldenLine(program.name, compiled, kind)
		}
	}
	return lines
}

// Results, effects, costs, diagnostics and formatted sources are those that were recorded.
func TestGolden(t *testing.T) {
	corpus := goldenCorpus(t)
	lines := make([]string, len(corpus))
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(corpus)); i = next.Add(1) - 1 {
				lines[i] = goldenLines(corpus[i])
			}
		})
	}
	workers.Wait()
	golden.Check(t, "runs", strings.Join(lines, ""))
}
