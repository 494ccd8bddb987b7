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

// processor is the processor time that this process used so far.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// load runs b.N requests from a number of clients, each one request at a time.
func load(b *testing.B, addr string, p peers.Protocol, clients int) {
	shared := peers.NewClient(p, addr)
	defer shared.Close()
	var unserved, next atomic.Int64
	run := func(n int, prefix string) {
		var wg sync.WaitGroup
		next.Store(0)
		for range clients {
			wg.Go(func() {
				for {
					i := next.Add(1)
					if i > int64(n) {
						return
					}
					if r := shared.Do(context.Background(), Request(Read, fmt.Sprintf("%s%d", prefix, i), Tenant(int(i)))); r.Outcome != peers.Served {
						unserved.Add(1)
					}
				}
			})
		}
		wg.Wait()
	}
	run(20*clients, "warm-") // connections are open, and the sidecar knows its nodes' pace
	unserved.Store(0)
	b.ReportAllocs()
	b.ResetTimer()
	began := processor()
	run(b.N, "b")
	b.StopTimer()
	b.ReportMetric(float64(processor()-began)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(unserved.Load())/float64(b.N), "unserved/op")
}

// BenchmarkPath compares the ways to a stand-in node that answers at once, with
// client and node in the same process: direct, behind the plain alternative,
// and behind the sidecar by each pairing. Run with -cpu 2, or 1.
func BenchmarkPath(b *testing.B) {
	log.SetOutput(io.Discard)
	for _, clients := range []int{1, 2, 8, 16, 64, 256} {
		for _, p := range []peers.Protocol{peers.HTTP, peers.RPC} {
			b.Run(fmt.Sprintf("direct/%s/clients=%d", p, clients), func(b *testing.B) {
				n, err := peers.StartUpstream(p, "n", peers.NewLedger(false), peers.ServeAll)
				if err != nil {
					b.Fatal(err)
				}
				defer n.Close()
				load(b, n.Addr(), p, clients)
			})
		}
		b.Run(fmt.Sprintf("reverseproxy/http/clients=%d", clients), func(b *testing.B) {
			n, err := peers.StartUpstream(peers.HTTP, "n", peers.NewLedger(false), peers.ServeAll)
			if err != nil {
				b.Fatal(err)
			}
			defer n.Close()
			proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: n.Addr()})
			proxy.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: proxy}
			go server.Serve(ln)
			defer server.Close()
			load(b, ln.Addr().String(), peers.HTTP, clients)
		})
		for i, p := range pairings {
			b.Run(fmt.Sprintf("sidecar/%s-%s/clients=%d", p.front, p.nodes, clients), func(b *testing.B) {
				r := start(b, Options{Front: pairings[i].front, Nodes: pairings[i].nodes, Number: 1, Slots: 1024, Open: 512, Sockets: 4096})
				load(b, r.Addr, r.Front, clients)
			})
		}
	}
}

// BenchmarkDefaultSlots shows what the slots derived by default refuse when 64
// clients ask at once, by the number of nodes that answer at once.
func BenchmarkDefaultSlots(b *testing.B) {
	log.SetOutput(io.Discard)
	for _, nodes := range []int{1, 8} {
		for _, slots := range []int{0, 64, 128} {
			b.Run(fmt.Sprintf("nodes=%d/slots=%d", nodes, slots), func(b *testing.B) {
				r := start(b, Options{Number: nodes, Slots: slots, Sockets: 4096})
				load(b, r.Addr, r.Front, 64)
			})
		}
	}
}
