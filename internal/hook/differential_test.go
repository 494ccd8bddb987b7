package hook

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// differentialLimits are the limits for the random programs. All of them terminate, but a text that doubles
// in a loop may become very long.
var differentialLimits = Limits{Fuel: 1 << 24, Memory: 1 << 22}

// checkSource parses and checks a program. It fails the test if the program is invalid.
func checkSource(t *testing.T, source string) *checkedProgram {
	t.Helper()
	tree, err := parse("x", source)
	if err != nil {
		t.Fatalf("got error %v, want none; source:\n%s", err, source)
	}
	checked, err := check("x", source, tree)
	if err != nil {
		t.Fatalf("got error %v, want none; source:\n%s", err, source)
	}
	return checked
}

// differentialEvent returns the event for the runs of the random programs.
func differentialEvent() *Event {
	event := &Event{Kind: KindRequest, Now: time.Unix(0, 0), Headers: headerMap{"Apiary": "ridge-7"}}
	event.Text[RequestClass] = "weight-reading"
	event.Int[RequestSize] = 42
	event.Int[RequestRetry] = 1
	return event
}

// TestMachineMatchesTreeWalker checks that the machine and the tree walker, a second implementation of the
// language, give the same effects and errors for random programs. It guards against faults of the compiler
// and the machine. Runs that exceed the memory limit are skipped, because the tree walker does not count
// memory.
func TestMachineMatchesTreeWalker(t *testing.T) {
	failed, withEffects := 0, 0
	for seed := range uint64(400) {
		source := generate(rand.New(rand.NewPCG(seed, 2)))
		checked := checkSource(t, source)
		event := differentialEvent()
		wantEffects, wantErr := walkTree(checked, event)
		program, err := compile("x", checked)
		if err != nil {
			t.Fatal(err)
		}
		var machine Machine
		result, err := machine.Run(program, event, memoryStore{}, differentialLimits)
		if errors.Is(wantErr, ErrMemory) || errors.Is(err, ErrMemory) {
			continue
		}
		sameEffects := wantErr != nil || slices.Equal(result.Effects, wantEffects)
		if !errors.Is(err, wantErr) || !sameEffects {
			t.Fatalf("seed %d: the machine got %v %v, the tree walker %v %v\n%s",
				seed, result.Effects, err, wantEffects, wantErr, source)
		}
		if err != nil {
			failed++
		} else if len(result.Effects) > 0 {
			withEffects++
		}
	}
	if failed < 20 || withEffects < 60 {
		t.Errorf("got %d failed runs and %d runs with effects, want at least 20 and 60", failed, withEffects)
	}
}
