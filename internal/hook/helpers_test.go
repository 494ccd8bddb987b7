package hook

import (
	"fmt"
	"testing"
	"time"
)

// memory is a Store without bounds.
type memory map[string]int64

func (m memory) Value(s int, key string) int64 { return m[fmt.Sprint(s, key)] }
func (m memory) Add(s int, key string, n int64) int64 {
	m[fmt.Sprint(s, key)] += n
	return m[fmt.Sprint(s, key)]
}
func (m memory) Forget(s int, key string) { delete(m, fmt.Sprint(s, key)) }

type headers map[string]string

func (h headers) Header(name string) string { return h[name] }

var generous = Limits{Fuel: 1 << 20, Memory: 1 << 20}

func run(t testing.TB, source string, l Limits) (Result, error) {
	t.Helper()
	p, err := Compile("test.hook", source)
	if err != nil {
		t.Fatalf("%v\n%s", err, source)
	}
	e := &Event{Kind: "request", Now: time.Date(2026, 6, 1, 0, 30, 0, 0, time.UTC), Headers: headers{"Apiary": "ridge-7"}}
	e.Text[RequestClass], e.Text[RequestTenant], e.Int[RequestSize], e.Int[RequestLeft], e.Int[RequestRetry] = "weight-reading", "downs", 42, int64(time.Second), 1
	var m Machine
	return m.Run(p, e, memory{}, l)
}
