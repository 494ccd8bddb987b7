package membership

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDelta measures a delta of one instance. Its cost must not grow with the length of the
// source's list.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			set, list := newBenchSet(b, n)
			b.ReportAllocs()
			for i := range b.N {
				instance := list[i%n]
				instance.LastDirty, instance.Status = int64(2+i), Status(i/n%2)*OutOfService
				set.ApplyDelta(time.Hour+time.Duration(i)*time.Second, 0, "r1", []Delta{{Put, instance}})
			}
		})
	}
}

// BenchmarkReplaceList measures a complete list that equals the previous one.
func BenchmarkReplaceList(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			set, list := newBenchSet(b, n)
			b.ReportAllocs()
			for i := range b.N {
				if _, err := set.ReplaceList(time.Hour+time.Duration(i)*time.Second, 0, "r1", list); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// newBenchSet returns a Set with one source that lists n instances, and the list.
func newBenchSet(b *testing.B, n int) (*Set, []Instance) {
	set, err := New(Config{}, Source{Name: "eureka", Polled: true})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Instance, n)
	for i := range list {
		list[i] = testInstance(i, Up, 1)
		list[i].Addr = fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255)
	}
	if _, err := set.ReplaceList(time.Hour, 0, "r1", list); err != nil {
		b.Fatal(err)
	}
	return set, list
}
