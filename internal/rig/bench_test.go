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

// processorTime is what this process used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sendAll sends requests from a number of clients, each one request at a time, and
// returns how many were not served.
func sendAll(client peers.Client, clients, requests int, prefix string) int64 {
	var running sync.WaitGroup
	var unserved, next atomic.Int64
	for range clients {
		running.Go(func() {
			for i := next.Add(1); i <= int64(requests); i = next.Add(1) {
				call := Request(Read, fmt.Sprintf("%s%d", prefix, i), Tenant(int(i)))
				if got := client.Do(context.Background(), call); got.Outcome != peers.Served {
					unserved.Add(1)
				}
			}
		})
	}
	running.Wait()
	return unserved.Load()
}

// benchmarkRequests sends b.N requests from a number of clients.
func benchmarkRequests(b *testing.B, address string, protocol peers.Protocol, clients int) {
	b.Helper()
	shared := peers.NewClient(protocol, address)
	defer shared.Close()
	sendAll(shared, clients, 20*clients, "warm-") // connections are open, and the sidecar knows its nodes' latency
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime()
	unserved := sendAll(shared, clients, b.N, "b")
	b.StopTimer()
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(unserved)/float64(b.N), "unserved/op")
}

// BenchmarkPath compares the ways to a stand-in node that responds at once, with
// client and node in the same process: direct, through the plain alternative,
// and through the sidecar by each pairing. Run with -cpu 2, or 1.
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
					Front: pair.front, Nodes: pair.nodes, Number: 1, Slots: 1024, Open: 512, Sockets: 4096,
				})
				benchmarkRequests(b, rig.Addr, rig.Front, clients)
			})
		}
	}
}

func startNode(b *testing.B, protocol peers.Protocol) *peers.Upstream {
	b.Helper()
	node, err := peers.StartUpstream(protocol, "n", peers.NewLedger(false), peers.ServeAll)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { node.Close() })
	return node
}

// startReverseProxy runs the reverse proxy of Go's library and returns its address.
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

// BenchmarkDefaultSlots shows what the slots derived by default reject when 64
// clients send at once, by the number of nodes that respond at once.
func BenchmarkDefaultSlots(b *testing.B) {
	log.SetOutput(io.Discard)
	for _, nodes := range []int{1, 8} {
		for _, slots := range []int{0, 64, 128} {
			b.Run(fmt.Sprintf("nodes=%d/slots=%d", nodes, slots), func(b *testing.B) {
				rig := start(b, Options{Number: nodes, Slots: slots, Sockets: 4096})
				benchmarkRequests(b, rig.Addr, rig.Front, 64)
			})
		}
	}
}
