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

// goldenRandomPrograms is the number of random programs, and also the number of random programs with a
// mistake.
const goldenRandomPrograms = 400

// goldenProgram is a program of the corpus. Its name appears in testdata/runs.golden.
type goldenProgram struct{ name, source string }

// goldenCorpus returns the deployed plug-ins, the programs of the other tests, random programs, and random
// programs in which one word is missing or replaced by another word of the program.
func goldenCorpus(t *testing.T) []goldenProgram {
	t.Helper()
	var corpus []goldenProgram
	add := func(group string, number int, source string) {
		corpus = append(corpus, goldenProgram{fmt.Sprintf("%s/%03d", group, number), source})
	}
	files, err := filepath.Glob("../../deploy/plugins/*.hook")
	if err != nil || len(files) == 0 {
		t.Fatalf("got no plug-ins in deploy/plugins, want at least one; error %v", err)
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
	for i, test := range programCases {
		add("program", i, test.source)
	}
	for i, test := range diagnosticCases {
		add("mistake", i, test.source)
	}
	for i, test := range runtimeErrorCases {
		add("limit", i, test.source)
	}
	for seed := range goldenRandomPrograms {
		random := rand.New(rand.NewPCG(uint64(seed), 2))
		source := generate(random)
		add("random", seed, source)
		add("random mistake", seed, mutate(random, source))
	}
	return corpus
}

// mutate deletes one word of a program or replaces it by another word of the program.
func mutate(random *rand.Rand, source string) string {
	words := strings.SplitAfter(source, " ")
	i := random.IntN(len(words))
	words[i] = ""
	if random.IntN(2) == 0 {
		words[i] = words[random.IntN(len(words))]
	}
	return strings.Join(words, "")
}

// goldenEvent returns an event of a kind with all its fields set.
func goldenEvent(kind string) *Event {
	event := &Event{Kind: kind, Now: time.Date(2026, 9, 1, 5, 30, 0, 0, time.UTC), Headers: headerMap{"Apiary": "ridge-7", "Tags": "a,b"}}
	for i := range event.Text {
		event.Text[i] = fmt.Sprintf("text-%d", i)
	}
	event.Text[0] = "weight-reading"
	event.Int[RequestSize], event.Int[RequestTimeLeft], event.Int[RequestRetry] = 42, int64(time.Second), 1
	if kind == "outcome" {
		event.Int[OutcomeDuration] = int64(30 * time.Millisecond)
	}
	return event
}

// goldenRuns runs a program three times with the same limits and store. It adds the results, effects, errors
// and states to the digest and returns the result and error of the first run.
func goldenRuns(digest golden.Digest, p *Program, kind string, limits Limits) (first Result, firstErr error) {
	var machine Machine
	store := memoryStore{}
	for run := range 3 {
		result, err := machine.Run(p, goldenEvent(kind), store, limits)
		digest.AddNumbers('r', result.Fuel, result.Memory, int64(len(result.Effects)))
		digest.AddText('e', fmt.Sprint(err))
		for _, effect := range result.Effects {
			digest.AddNumbers('k', int64(effect.Kind), int64(effect.RetryAfter))
			digest.AddText('n', effect.Name)
			digest.AddText('t', effect.Text)
		}
		for _, key := range slices.Sorted(maps.Keys(store)) {
			digest.AddText('s', key)
			digest.AddNumbers('v', store[key])
		}
		if run == 0 {
			first, firstErr = result, err
		}
	}
	return first, firstErr
}

// goldenLine describes the runs of a program for a kind of event. The line contains the fuel, memory and error
// of the first run, and a digest of the effects and states of all runs. The runs are repeated with fractions
// of the fuel and memory that the first run spent.
func goldenLine(name string, p *Program, kind string) string {
	digest := golden.NewDigest()
	limits := Limits{Fuel: 1 << 14, Memory: 1 << 16}
	first, err := goldenRuns(digest, p, kind, limits)
	for _, divisor := range []int64{1, 2, 3, 5, 8} {
		goldenRuns(digest, p, kind, Limits{Fuel: (first.Fuel - 1) / divisor, Memory: limits.Memory})
		goldenRuns(digest, p, kind, Limits{Fuel: limits.Fuel, Memory: (first.Memory - 1) / divisor})
	}
	return fmt.Sprintf("%s on %s: fuel %d, memory %d, %v, %s\n", name, kind, first.Fuel, first.Memory, err, digest)
}

// goldenLines describes a program: whether it compiles, a digest of its formatted source and of its
// diagnostics, and one line for the runs of each of its hooks.
func goldenLines(program goldenProgram) string {
	digest := golden.NewDigest()
	formatted, err := Format("golden.hook", program.source)
	digest.AddText('f', formatted)
	digest.AddText('e', fmt.Sprint(err))
	compiled, err := Compile("golden.hook", program.source)
	digest.AddText('c', fmt.Sprint(err))
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

// TestGolden checks that results, effects, costs, diagnostics and formatted sources are equal to those recorded
// in testdata/runs.golden. It guards against any unintended change of the language, its costs or its texts.
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
