package hook

import (
	"errors"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// The machine does what the tree says, on random programs.
func TestMachineAgainstTree(t *testing.T) {
	failed, withEffects := 0, 0
	for seed := range uint64(400) {
		source := generate(rand.New(rand.NewPCG(seed, 2)))
		tree, err := parse("x", source)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, source)
		}
		c, err := check("x", source, tree)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, source)
		}
		e := &Event{Kind: "request", Now: time.Unix(0, 0), Headers: headers{"Apiary": "ridge-7"}}
		e.Text[RequestClass], e.Int[RequestSize], e.Int[RequestRetry] = "weight-reading", 42, 1
		w := &walker{p: c, e: e, state: make(map[string]int64)}
		var want error
		func() {
			defer func() {
				switch v := recover().(type) {
				case nil:
				case badValue:
					want = ErrValue
				case error:
					want = v
				default:
					panic(v)
				}
			}()
			w.call(c.hooks["request"], nil)
		}()
		p, err := compile("x", c)
		if err != nil {
			t.Fatal(err)
		}
		var m Machine
		r, err := m.Run(p, e, memory{}, Limits{Fuel: 1 << 24, Memory: 1 << 22})
		if want == ErrMemory || errors.Is(err, ErrMemory) {
			continue
		}
		if !errors.Is(err, want) || want == nil && (len(r.Effects)+len(w.effects) > 0 && !reflect.DeepEqual(r.Effects, w.effects)) {
			t.Fatalf("seed %d: the machine gives %v %v, the tree %v %v\n%s", seed, r.Effects, err, w.effects, want, source)
		}
		if err != nil {
			failed++
		} else if len(r.Effects) > 0 {
			withEffects++
		}
	}
	if failed < 20 || withEffects < 60 {
		t.Errorf("%d runs failed and %d had effects: that shows little", failed, withEffects)
	}
}
