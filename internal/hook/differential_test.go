package hook

import (
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// differentialLimits bound the random programs: they end by themselves, but texts may double in loops.
var differentialLimits = Limits{Fuel: 1 << 24, Memory: 1 << 22}

// checkSource parses and checks a program that must be right.
func checkSource(t *testing.T, source string) *checkedProgram {
	t.Helper()
	tree, err := parse("x", source)
	if err != nil {
		t.Fatalf("%v\n%s", err, source)
	}
	checked, err := check("x", source, tree)
	if err != nil {
		t.Fatalf("%v\n%s", err, source)
	}
	return checked
}

// differentialEvent returns the event for which the random programs run.
func differentialEvent() *Event {
	event := &Event{Kind: KindRequest, Now: time.Unix(0, 0), Headers: headerMap{"Apiary": "ridge-7"}}
	event.Text[RequestClass] = "weight-reading"
	event.Int[RequestSize] = 42
	event.Int[RequestRetry] = 1
	return event
}

// The machine gives the same result as the tree walker, on random programs.
func TestMachineAgainstTree(t *testing.T) {
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
			t.Fatalf("seed %d: the machine gives %v %v, the tree %v %v\n%s",
				seed, result.Effects, err, wantEffects, wantErr, source)
		}
		if err != nil {
			failed++
		} else if len(result.Effects) > 0 {
			withEffects++
		}
	}
	if failed < 20 || withEffects < 60 {
		t.Errorf("%d runs failed and %d had effects: that shows little", failed, withEffects)
	}
}
