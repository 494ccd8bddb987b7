package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
)

// operators writes an operators' file with plug-ins and gives what sets it, and
// a function that writes other programs in their place.
func operators(t testing.TB, manifests string, programs ...string) (set func(*operator.File), rewrite func(i int, program string)) {
	t.Helper()
	dir := t.TempDir()
	rewrite = func(i int, program string) {
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("%d.hook", i)), []byte(program), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for i, p := range programs {
		rewrite(i, p)
	}
	path := filepath.Join(dir, "mothridge.toml")
	if err := os.WriteFile(path, []byte(manifests), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(f *operator.File) {
		own, err := operator.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		limits, listeners, pools := f.Limits, f.Listeners, f.Pools
		*f = *own
		f.Limits, f.Listeners, f.Pools = limits, listeners, pools
	}, rewrite
}

const manifests = `
[[plugin]]
name = "season"
file = "0.hook"
may_refuse = true
refuse_classes = ["harvest-entry"]
[[plugin]]
name = "tags"
file = "1.hook"
headers = ["X-*"]
`

// Over either protocol: what a plug-in refuses is answered at once with the time
// to come back and why, reaches no node and is a refusal; what it tags reaches
// the node so; one that fails follows the rule of the class; a reload takes other
// programs, or none where one of them is wrong.
func TestPlugins(t *testing.T) {
	for p, pair := range pairings {
		if pair.front != pair.nodes {
			continue
		}
		t.Run(pairing(p), func(t *testing.T) {
			set, rewrite := operators(t, manifests,
				`on request { if event.class == "keyed-entry" { refuse("closed", 1s) } else if event.class == "harvest-entry" { while true { } } }`,
				`on request { tag("one")  set_header("X-Was", event.class) }`)
			var mu sync.Mutex
			var seen []string
			reload := make(chan os.Signal)
			r := start(t, Options{Front: pair.front, Nodes: pair.nodes, Operators: set, Reload: reload, Script: func(c peers.Call) peers.Response {
				mu.Lock()
				seen = append(seen, c.ID+" "+c.Field("Request-Tags")+" "+c.Field("X-Was"))
				mu.Unlock()
				return peers.Response{}
			}})
			client := r.Client()
			defer client.Close()
			nodes := func() string {
				mu.Lock()
				defer mu.Unlock()
				s := strings.Join(seen, "; ")
				seen = nil
				return s
			}
			if got := client.Do(t.Context(), Request(Entry, "a", Tenant(0))); got.Outcome != peers.Rejected || got.RetryAfter != time.Second {
				t.Errorf("out of season: %+v", got)
			}
			if got := client.Do(t.Context(), Request(Once, "b", Tenant(0))); got.Outcome != peers.Rejected || got.RetryAfter <= 0 {
				t.Errorf("a failure, of a class that is refused then: %+v", got)
			}
			c := Request(Read, "c", Tenant(0))
			c.Fields = map[string]string{"Request-Tags": "forged"}
			if got := client.Do(t.Context(), c); got.Outcome != peers.Served {
				t.Errorf("%+v", got)
			}
			if got := nodes(); got != "c one read" {
				t.Errorf("the nodes saw %q", got)
			}
			rewrite(0, `on request { }`)
			rewrite(1, `on request { tag(2) }`)
			reload <- syscall.SIGHUP
			reload <- syscall.SIGHUP // the first has been handled when the second is taken
			if got := client.Do(t.Context(), Request(Entry, "d", Tenant(0))); got.Outcome != peers.Rejected {
				t.Errorf("after a reload to a broken program: %+v", got)
			}
			rewrite(1, `on request { tag("two") }`)
			reload <- syscall.SIGHUP
			reload <- syscall.SIGHUP
			if got := client.Do(t.Context(), Request(Entry, "e", Tenant(0))); got.Outcome != peers.Served {
				t.Errorf("after a reload: %+v", got)
			}
			if got := nodes(); got != "e two " {
				t.Errorf("after a reload the nodes saw %q", got)
			}
		})
	}
}

// A reload with requests under way: each has one answer, by one of the two sets.
func TestPluginsReloadUnderLoad(t *testing.T) {
	set, rewrite := operators(t, "[[plugin]]\nname = \"p\"\nfile = \"0.hook\"\nheaders = [\"X-*\"]\n", `on request { set_header("X-A", "1")  set_header("X-B", "1") }`)
	reload := make(chan os.Signal)
	r := start(t, Options{Operators: set, Reload: reload, Slots: 64, Script: func(c peers.Call) peers.Response {
		if a, b := c.Field("X-A"), c.Field("X-B"); a != b || a == "" {
			return peers.Response{Action: peers.Error} // of two sets, or of none
		}
		return peers.Response{}
	}})
	client := r.Client()
	defer client.Close()
	var wg sync.WaitGroup
	done := make(chan struct{})
	for n := range 4 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				if got := client.Do(context.Background(), Request(Read, fmt.Sprintf("%d-%d", n, i), Tenant(0))); got.Outcome != peers.Served {
					t.Errorf("%+v", got)
					return
				}
			}
		})
	}
	for i := range 20 {
		rewrite(0, fmt.Sprintf(`on request { set_header("X-A", "%d")  set_header("X-B", "%d") }`, i, i))
		reload <- syscall.SIGHUP
	}
	close(done)
	wg.Wait()
}

// BenchmarkRunaway shows what a plug-in that runs away, or nearly so, on one
// tenant's requests costs the other tenant's: the two phases change every 200 ms
// in one run, under one load.
func BenchmarkRunaway(b *testing.B) {
	for name, program := range map[string]string{
		"endless": `on request { if header("Spin") == "yes" { while true { } } }`,
		"doubles": `on request { if header("Spin") == "yes" { var s = "x"  while true { s = s + s } } }`,
		"nearly":  `on request { if header("Spin") == "yes" { for i in 0..1400 { } } }`, // just under its fuel: it is never suspended
	} {
		b.Run(name, func(b *testing.B) {
			set, _ := operators(b, "[[plugin]]\nname = \"p\"\nfile = \"0.hook\"\n", program)
			r := start(b, Options{Operators: set, Slots: 256, Sockets: 4096, Number: 4, Script: func(peers.Call) peers.Response { return peers.Response{Delay: 5 * time.Millisecond} }})
			client := r.Client()
			defer client.Close()
			var took [2]*hdrhistogram.Histogram
			for i := range took {
				took[i] = hdrhistogram.New(1, 10_000_000, 3)
			}
			var mu sync.Mutex
			var wg sync.WaitGroup
			answers, sent := 0, 0
			every := time.NewTicker(2 * time.Millisecond) // 500 a second, half of them of each tenant
			defer every.Stop()
			b.ResetTimer()
			began := time.Now()
			for i := range 1000 * b.N {
				<-every.C
				phase := int(time.Since(began)/(200*time.Millisecond)) % 2
				c := Request(Read, fmt.Sprint("r", i), Tenant(i%2))
				c.Fields = map[string]string{"Spin": map[bool]string{true: "yes", false: "no"}[phase == 1 && i%2 == 1]}
				sent++
				wg.Go(func() {
					at := time.Now()
					got := client.Do(context.Background(), c)
					mu.Lock()
					defer mu.Unlock()
					if got.Outcome == peers.Served {
						answers++
						if i%2 == 0 {
							took[phase].RecordValue(time.Since(at).Microseconds())
						}
					}
				})
			}
			wg.Wait()
			for phase, word := range []string{"calm", "runaway"} {
				b.ReportMetric(float64(took[phase].ValueAtQuantile(50)), word+"-p50-µs")
				b.ReportMetric(float64(took[phase].ValueAtQuantile(99)), word+"-p99-µs")
			}
			b.ReportMetric(float64(sent-answers), "unserved")
		})
	}
}

// BenchmarkPlugins is what a request costs through the real program, by how many
// plug-ins see it, each of which tags it.
func BenchmarkPlugins(b *testing.B) {
	for _, n := range []int{0, 1, 10} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			manifests, programs := "", []string{}
			for i := range n {
				manifests += fmt.Sprintf("[[plugin]]\nname = \"p%d\"\nfile = \"%d.hook\"\n", i, i)
				programs = append(programs, `on request { if event.class == "read" and has_prefix(event.target, "/") { tag("seen") } }`)
			}
			set, _ := operators(b, manifests, programs...)
			r := start(b, Options{Operators: set, Number: 1, Slots: 1024, Sockets: 4096})
			load(b, r.Addr, r.Front, 16)
		})
	}
}
