package eureka

import (
	"bytes"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"mothridge/internal/peers"
)

// benchTimeMs is the time of every instance in the benchmarks, in Unix ms as in the registry's responses.
const benchTimeMs = 1796120688812

// listResponse returns the registry's JSON response with a complete list of n instances.
func listResponse(b *testing.B, n int) []byte {
	b.Helper()
	var instances []map[string]any
	for i := range n {
		instances = append(instances, map[string]any{
			"instanceId":           fmt.Sprint("records-", i),
			"hostName":             "127.0.0.1",
			"app":                  "RECORDS",
			"ipAddr":               "127.0.0.1",
			"status":               "UP",
			"overriddenStatus":     "UNKNOWN",
			"port":                 map[string]any{"$": 8080, "@enabled": "true"},
			"lastUpdatedTimestamp": fmt.Sprint(benchTimeMs),
			"lastDirtyTimestamp":   fmt.Sprint(benchTimeMs),
			"metadata":             map[string]string{"zone": "a", "weight": "1"},
			"leaseInfo": map[string]any{
				"renewalIntervalInSecs": 30, "durationInSecs": 90, "serviceUpTimestamp": benchTimeMs,
			},
		})
	}
	response, err := json.Marshal(map[string]any{"applications": map[string]any{
		"versions__delta": "1",
		"apps__hashcode":  fmt.Sprintf("UP_%d_", n),
		"application":     []any{map[string]any{"name": "RECORDS", "instance": instances}},
	}})
	if err != nil {
		b.Fatal(err)
	}
	return response
}

// newBenchClient returns a Client whose Run is not started, so that it sends a request only when poll is called.
func newBenchClient(b *testing.B, replica string) *Client {
	b.Helper()
	client, err := NewClient(Config{Replicas: []string{replica}}, func(Update) {})
	if err != nil {
		b.Fatal(err)
	}
	return client
}

func parseResponse(b *testing.B, response []byte) *Applications {
	b.Helper()
	applications, err := Parse(bytes.NewReader(response), nil)
	if err != nil {
		b.Fatal(err)
	}
	return applications
}

// BenchmarkList parses and applies a complete list. wire-B is the size of the response before gzip; heap-B is
// the memory that the client retains for the list.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			response := listResponse(b, n)
			client := newBenchClient(b, "http://127.0.0.1:1")
			b.ReportAllocs()
			for range b.N {
				client.applyList(parseResponse(b, response))
			}
			b.StopTimer()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			client.list = nil
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(before.HeapAlloc)-float64(after.HeapAlloc), "heap-B")
			b.ReportMetric(float64(len(response)), "wire-B")
		})
	}
}

// BenchmarkDelta applies a delta of one instance. The cost must not grow with the length of the list.
func BenchmarkDelta(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			client := newBenchClient(b, "http://127.0.0.1:1")
			client.applyList(parseResponse(b, listResponse(b, n)))
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				modified := Instance{ID: fmt.Sprint("records-", i%n), Status: "UP", Action: "MODIFIED", LastDirty: benchTimeMs}
				modified.LastUpdated = benchTimeMs + 1 + int64(i)
				if !client.applyDelta(&Applications{Instances: []Instance{modified}}) {
					b.Fatal("got a hash mismatch after a delta, want the delta applied")
				}
			}
		})
	}
}

// BenchmarkPoll polls a registry without changes over the loopback interface. first-B is the size of the first
// poll and poll-B the mean size of the later polls, in bytes before gzip.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{100, 1000} {
		b.Run(fmt.Sprint("nodes=", n), func(b *testing.B) {
			registry, err := peers.StartEureka("")
			if err != nil {
				b.Fatal(err)
			}
			defer registry.Close()
			for i := range n {
				registry.Register(peers.EurekaInstance{
					ID: fmt.Sprint("i", i), App: "A", Host: "127.0.0.1", IP: "127.0.0.1", Port: 1 + i, Status: "UP",
				})
			}
			registry.ClearDelta()
			client := newBenchClient(b, registry.URL())
			defer client.http.CloseIdleConnections()
			if err := client.poll(b.Context()); err != nil {
				b.Fatal(err)
			}
			firstPollBytes := registry.FetchedBytes()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if err := client.poll(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(firstPollBytes), "first-B")
			b.ReportMetric(float64(registry.FetchedBytes()-firstPollBytes)/float64(b.N), "poll-B")
		})
	}
}
