package eureka

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"mothridge/internal/peers"
)

// list makes the answers of a registry with n instances: the whole, and a delta of one.
func list(b *testing.B, n int) (whole []byte, delta func(i int) *Applications) {
	b.Helper()
	var instances []map[string]any
	for i := range n {
		instances = append(instances, map[string]any{
			"instanceId": fmt.Sprint("records-", i), "hostName": "127.0.0.1", "app": "RECORDS", "ipAddr": "127.0.0.1", "status": "UP",
			"overriddenStatus": "UNKNOWN", "port": map[string]any{"$": 8080, "@enabled": "true"}, "lastUpdatedTimestamp": "1796120688812",
			"lastDirtyTimestamp": "1796120688812", "metadata": map[string]string{"zone": "a", "weight": "1"},
			"leaseInfo": map[string]any{"renewalIntervalInSecs": 30, "durationInSecs": 90, "serviceUpTimestamp": 1796120688812},
		})
	}
	whole, err := json.Marshal(map[string]any{"applications": map[string]any{
		"versions__delta": "1", "apps__hashcode": fmt.Sprintf("UP_%d_", n), "application": []any{map[string]any{"name": "RECORDS", "instance": instances}},
	}})
	if err != nil {
		b.Fatal(err)
	}
	return whole, func(i int) *Applications {
		return &Applications{Instances: []Instance{{
			ID: fmt.Sprint("records-", i%n), Status: "UP", Action: "MODIFIED", Dirty: 1796120688812, Updated: 1796120688813 + int64(i),
		}}}
	}
}

// BenchmarkWhole parses and takes over a whole list; bytes/op is what it weighs
// on the wire before gzip, heap-B what the client holds of it.
func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			whole, _ := list(b, n)
			c, err := NewClient(Config{Replicas: []string{"http://127.0.0.1:1"}}, func(News) {})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for range b.N {
				a, err := Parse(bytes.NewReader(whole), nil)
				if err != nil {
					b.Fatal(err)
				}
				c.take(a)
			}
			b.StopTimer()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c.held, c.count = nil, nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(before.HeapAlloc)-float64(after.HeapAlloc), "heap-B")
			b.ReportMetric(float64(len(whole)), "wire-B")
		})
	}
}

// BenchmarkDelta takes over a delta of one: its cost must not grow with the list.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			whole, delta := list(b, n)
			c, err := NewClient(Config{Replicas: []string{"http://127.0.0.1:1"}}, func(News) {})
			if err != nil {
				b.Fatal(err)
			}
			a, err := Parse(bytes.NewReader(whole), nil)
			if err != nil {
				b.Fatal(err)
			}
			c.take(a)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				if !c.apply(delta(i)) {
					b.Fatal("it does not add up")
				}
			}
		})
	}
}

// BenchmarkPoll counts what one poll with nothing new costs registry and
// sidecar, over loopback: bytes are before gzip.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			e, err := peers.StartEureka("")
			if err != nil {
				b.Fatal(err)
			}
			defer e.Close()
			for i := range n {
				e.Register(peers.EurekaInstance{ID: fmt.Sprint("i", i), App: "A", Host: "127.0.0.1", IP: "127.0.0.1", Port: 1 + i, Status: "UP"})
			}
			e.Forget()
			c, err := NewClient(Config{Replicas: []string{e.URL()}}, func(News) {})
			if err != nil {
				b.Fatal(err)
			}
			defer c.http.CloseIdleConnections()
			if err := c.poll(b.Context()); err != nil {
				b.Fatal(err)
			}
			first := e.Bytes()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if err := c.poll(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(first), "first-B")
			b.ReportMetric(float64(e.Bytes()-first)/float64(b.N), "poll-B")
		})
	}
}
