package hook

import (
	"fmt"
	"testing"
	"time"
)

// memoryStore is a Store without a limit on entries or their age.
type memoryStore map[string]int64

func (s memoryStore) Value(state int, key string) int64 { return s[fmt.Sprint(state, key)] }

func (s memoryStore) Add(state int, key string, n int64) int64 {
	s[fmt.Sprint(state, key)] += n
	return s[fmt.Sprint(state, key)]
}

func (s memoryStore) Forget(state int, key string) { delete(s, fmt.Sprint(state, key)) }

// headerMap contains the headers of a request; it implements Headers.
type headerMap map[string]string

func (h headerMap) Header(name string) string { return h[name] }

// ampleLimits are limits that no terminating program of the tests reaches.
var ampleLimits = Limits{Fuel: 1 << 20, Memory: 1 << 20}

// runProgram compiles a program and runs its request hook. It fails the test if the program does not compile.
func runProgram(t testing.TB, source string, limits Limits) (Result, error) {
	t.Helper()
	program, err := Compile("test.hook", source)
	if err != nil {
		t.Fatalf("got error %v, want none; source:\n%s", err, source)
	}
	event := &Event{
		Kind:    KindRequest,
		Now:     time.Date(2026, 6, 1, 0, 30, 0, 0, time.UTC),
		Headers: headerMap{"Apiary": "ridge-7"},
	}
	event.Text[RequestClass] = "weight-reading"
	event.Text[RequestTenant] = "downs"
	event.Int[RequestSize] = 42
	event.Int[RequestTimeLeft] = int64(time.Second)
	event.Int[RequestRetry] = 1
	var machine Machine
	return machine.Run(program, event, memoryStore{}, limits)
}
