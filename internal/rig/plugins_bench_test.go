package rig

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/peers"
)

// runawayPhase is the duration of each calm phase and each runaway phase. The phases alternate.
const runawayPhase = 200 * time.Millisecond

// runawayLatencies records the latencies, by phase, of the tenant whose requests do not make the plug-in run
// away.
type runawayLatencies struct {
	mu      sync.Mutex
	byPhase [2]*hdrhistogram.Histogram // in microseconds; calm, runaway
	served  int                        // served requests of both tenants
}

func newRunawayLatencies() *runawayLatencies {
	latencies := new(runawayLatencies)
	for i := range latencies.byPhase {
		latencies.byPhase[i] = hdrhistogram.New(1, 10_000_000, 3)
	}
	return latencies
}

// add counts a served request and records the latency of tenant 0.
func (latencies *runawayLatencies) add(phase, tenant int, latency time.Duration) {
	latencies.mu.Lock()
	defer latencies.mu.Unlock()
	latencies.served++
	if tenant == 0 {
		latencies.byPhase[phase].RecordValue(latency.Microseconds())
	}
}

// report reports the quantiles by phase and the number of unserved requests.
func (latencies *runawayLatencies) report(b *testing.B, requests int) {
	b.Helper()
	for phase, name := range []string{"calm", "runaway"} {
		b.ReportMetric(float64(latencies.byPhase[phase].ValueAtQuantile(50)), name+"-p50-µs")
		b.ReportMetric(float64(latencies.byPhase[phase].ValueAtQuantile(99)), name+"-p99-µs")
	}
	b.ReportMetric(float64(requests-latencies.served), "unserved")
}

// BenchmarkRunaway measures how a plug-in that uses up its fuel, or almost all of it, on the requests of one
// tenant affects the latency of the other tenant. Calm and runaway phases alternate every 200 ms in the same
// run, under the same load.
func BenchmarkRunaway(b *testing.B) {
	for name, program := range map[string]string{
		"endless": `on request { if header("Spin") == "yes" { while true { } } }`,
		"doubles": `on request { if header("Spin") == "yes" { var s = "x"  while true { s = s + s } } }`,
		// Uses slightly less than its fuel, so that the plug-in is never suspended.
		"nearly": `on request { if header("Spin") == "yes" { for i in 0..1400 { } } }`,
	} {
		b.Run(name, func(b *testing.B) { benchmarkRunaway(b, program) })
	}
}

func benchmarkRunaway(b *testing.B, program string) {
	file := newOperatorsFile(b, "[[plugin]]\nname = \"p\"\nfile = \"0.hook\"\n", program)
	rig := start(b, Options{
		ConfigureOperator: file.load, Slots: 256, SocketLimit: 4096, NodeCount: 4, Script: delayed(5 * time.Millisecond),
	})
	client := startClient(b, rig)
	latencies := newRunawayLatencies()
	var wg sync.WaitGroup
	ticker := time.NewTicker(2 * time.Millisecond) // 500 requests per second, half of them from each tenant
	defer ticker.Stop()
	b.ResetTimer()
	requests, startedAt := 1000*b.N, time.Now()
	for i := range requests {
		<-ticker.C
		phase, tenant := int(time.Since(startedAt)/runawayPhase)%2, i%2
		call := Request(Read, fmt.Sprint("r", i), Tenant(tenant))
		call.HeaderFields = map[string]string{"Spin": "no"}
		if phase == 1 && tenant == 1 {
			call.HeaderFields["Spin"] = "yes"
		}
		wg.Go(func() {
			requestedAt := time.Now()
			if got := client.Do(context.Background(), call); got.Outcome == peers.Served {
				latencies.add(phase, tenant, time.Since(requestedAt))
			}
		})
	}
	wg.Wait()
	latencies.report(b, requests)
}

// BenchmarkPlugins measures the cost of a request through the whole sidecar, by the number of plug-ins. Each
// plug-in tags the request.
func BenchmarkPlugins(b *testing.B) {
	const program = `on request { if event.class == "read" and has_prefix(event.target, "/") { tag("seen") } }`
	for _, plugins := range []int{0, 1, 10} {
		b.Run(fmt.Sprint(plugins), func(b *testing.B) {
			text, programs := "", []string{}
			for i := range plugins {
				text += fmt.Sprintf("[[plugin]]\nname = \"p%d\"\nfile = \"%d.hook\"\n", i, i)
				programs = append(programs, program)
			}
			file := newOperatorsFile(b, text, programs...)
			rig := start(b, Options{ConfigureOperator: file.load, NodeCount: 1, Slots: 1024, SocketLimit: 4096})
			benchmarkRequests(b, rig.Addr, rig.Front, 16)
		})
	}
}
