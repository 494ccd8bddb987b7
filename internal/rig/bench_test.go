package rig

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers"
)

// cpuTime returns the CPU time that this process has used, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sendAll sends requests from a number of concurrent clients, each of which sends one request at a time.
// It returns how many requests were not served.
func sendAll(client peers.Client, clients, requests int, prefix string) int64 {
	var wg sync.WaitGroup
	var unserved, next atomic.Int64
	for range clients {
		wg.Go(func() {
			for i := next.Add(1); i <= int64(requests); i = next.Add(1) {
				call := Request(Read, fmt.Sprintf("%s%d", prefix, i), Tenant(int(i)))
				if got := client.Do(context.Background(), call); got.Outcome != peers.Served {
					unserved.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return unserved.Load()
}

// benchmarkRequests sends b.N requests from a number of concurrent clients and reports the CPU time and
// the share of unserved requests.
func benchmarkRequests(b *testing.B, address string, protocol peers.Protocol, clients int) {
	b.Helper()
	shared := peers.NewClient(protocol, address)
	defer shared.Close()
	sendAll(shared, clients, 20*clients, "warm-") // opens connections and gives the sidecar latencies of its nodes
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime()
	unserved := sendAll(shared, clients, b.N, "b")
	b.StopTimer()
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(unserved)/float64(b.N), "unserved/op")
}

// BenchmarkPath compares the paths from a client to a stand-in node that responds immediately: direct,
// through the reverse proxy of Go's library, and through the sidecar with each pairing of protocols.
// Client and node run in the benchmark's process. Run the benchmark with -cpu 2 or -cpu 1.
func BenchmarkPath(b *testing.B) {
	log.SetOutput(io.Discard)
	for _, clients := range []int{1, 2, 8, 16, 64, 256} {
		for _, protocol := range []peers.Protocol{peers.HTTP, peers.RPC} {
			b.Run(fmt.Sprintf("direct/%s/clients=%d", protocol, clients), func(b *testing.B) {
				node := startNode(b, protocol)
				benchmarkRequests(b, node.Addr(), protocol, clients)
			})
		}
		b.Run(fmt.Sprintf("reverseproxy/http/clients=%d", clients), func(b *testing.B) {
			node := startNode(b, peers.HTTP)
			benchmarkRequests(b, startReverseProxy(b, node.Addr()), peers.HTTP, clients)
		})
		for _, pair := range pairings {
			b.Run(fmt.Sprintf("sidecar/%s-%s/clients=%d", pair.front, pair.nodes, clients), func(b *testing.B) {
				rig := start(b, Options{
					ClientProtocol: pair.front, NodeProtocol: pair.nodes, NodeCount: 1, Slots: 1024, MaxInFlightPerConn: 512, SocketLimit: 4096,
				})
				benchmarkRequests(b, rig.Addr, rig.Front, clients)
			})
		}
	}
}

// startNode starts a node that serves each request immediately.
func startNode(b *testing.B, protocol peers.Protocol) *peers.Upstream {
	b.Helper()
	node, err := peers.StartUpstream(protocol, "n", peers.NewLedger(false), peers.ServeAll)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { node.Close() })
	return node
}

// startReverseProxy starts the reverse proxy of Go's library and returns its address.
func startReverseProxy(b *testing.B, upstream string) string {
	b.Helper()
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: upstream})
	proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: proxy}
	go server.Serve(listener)
	b.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// BenchmarkDefaultSlots shows how many requests are rejected when 64 clients send concurrently, by the
// number of nodes and of slots. 0 slots stands for the derived default. All nodes respond immediately.
func BenchmarkDefaultSlots(b *testing.B) {
	log.SetOutput(io.Discard)
	for _, nodes := range []int{1, 8} {
		for _, slots := range []int{0, 64, 128} {
			b.Run(fmt.Sprintf("nodes=%d/slots=%d", nodes, slots), func(b *testing.B) {
				rig := start(b, Options{NodeCount: nodes, Slots: slots, SocketLimit: 4096})
				benchmarkRequests(b, rig.Addr, rig.Front, 64)
			})
		}
	}
}
