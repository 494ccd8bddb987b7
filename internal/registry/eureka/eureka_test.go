package eureka

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers"
	"mothridge/internal/peers/peertest"
)

func startRegistry(t *testing.T) *peers.Eureka {
	t.Helper()
	e, err := peers.StartEureka("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func instance(n int, status string) peers.EurekaInstance {
	return peers.EurekaInstance{
		ID: fmt.Sprint("records-", n, ":80"), App: "RECORDS", Host: "127.0.0.1", IP: "127.0.0.1", Port: 7000 + n, VIP: "records",
		Status: status, Metadata: map[string]string{"zone": "a"},
	}
}

// follow polls by hand.
type follow struct {
	*Client
	news []News
}

func newFollow(t *testing.T, c Config, registries ...*peers.Eureka) *follow {
	t.Helper()
	for _, r := range registries {
		c.Replicas = append(c.Replicas, r.URL())
	}
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
	f := new(follow)
	var err error
	if f.Client, err = NewClient(c, func(n News) { f.news = append(f.news, n) }); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.http.CloseIdleConnections)
	return f
}

func (f *follow) next(t *testing.T) News {
	t.Helper()
	f.news = nil
	if err := f.poll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if len(f.news) != 1 {
		t.Fatalf("%d pieces of news by one poll", len(f.news))
	}
	return f.news[0]
}

// words gives the news in a short form.
func words(n News) string {
	var all []string
	for _, i := range n.Instances {
		word := strings.TrimSuffix(strings.TrimPrefix(i.ID, "records-"), ":80") + " " + i.Status
		if !n.Whole {
			word = i.Action + " " + word
		}
		all = append(all, word)
	}
	return strings.Join(all, ", ")
}

func TestWholeThenDeltas(t *testing.T) {
	for _, asXML := range []bool{false, true} {
		t.Run(fmt.Sprint("xml=", asXML), func(t *testing.T) {
			e := startRegistry(t)
			e.Register(instance(1, "UP"))
			f := newFollow(t, Config{XML: asXML}, e)
			n := f.next(t)
			if !n.Whole || words(n) != "1 UP" {
				t.Fatalf("first %+v", n)
			}
			if i := n.Instances[0]; i.Port != 7001 || i.SecurePort != 0 || i.IP != "127.0.0.1" || i.Metadata["zone"] != "a" || i.Dirty == 0 ||
				i.Updated == 0 || i.App != "RECORDS" || i.VIP != "records" || i.Override != "UNKNOWN" || i.ServiceUp == 0 {
				t.Errorf("instance %+v", i)
			}
			for _, step := range []struct {
				do   func()
				want string
			}{
				{func() {}, ""},
				{func() { e.Register(instance(2, "UP")) }, "ADDED 2 UP"},
				{func() { e.Override("records-2:80", "OUT_OF_SERVICE") }, "MODIFIED 2 OUT_OF_SERVICE"},
				{func() { e.Override("records-2:80", "DOWN"); e.Override("records-2:80", "") }, "MODIFIED 2 DOWN, MODIFIED 2 UP"},
				{func() { e.Cancel("records-1:80") }, "DELETED 1 UP"},
				{func() { e.Register(instance(1, "STARTING")) }, "ADDED 1 STARTING"},
				{func() {}, ""},
			} {
				step.do()
				if n := f.next(t); n.Whole || words(n) != step.want {
					t.Errorf("got %v %q, want %q", n.Whole, words(n), step.want)
				}
			}
			if e.Calls("/apps") != 1 {
				t.Errorf("the whole list was fetched %d times", e.Calls("/apps"))
			}
		})
	}
}

// A delta that does not add up brings the whole list.
func TestHashMismatchFetchesTheWhole(t *testing.T) {
	e := startRegistry(t)
	e.Register(instance(1, "UP"))
	f := newFollow(t, Config{}, e)
	f.next(t)
	f.count["UP"] = 7 // as if a change had been missed
	e.Register(instance(2, "UP"))
	if n := f.next(t); !n.Whole || words(n) != "1 UP, 2 UP" {
		t.Errorf("got %v %q", n.Whole, words(n))
	}
	e.Fault(peers.WrongHash)
	if err := f.poll(t.Context()); err == nil || !strings.Contains(err.Error(), "adds up") {
		t.Errorf("a whole list that does not add up either: %v", err)
	}
	e.Fault(peers.NoFault)
	if n := f.next(t); !n.Whole || words(n) != "1 UP, 2 UP" {
		t.Errorf("after it %v %q", n.Whole, words(n))
	}
}

// Each fault of a registry is an error, or news that membership guards against;
// the next good fetch goes on.
func TestFaults(t *testing.T) {
	for name, fault := range map[string]peers.EurekaFault{
		"fails": peers.ServerFail, "cut": peers.CutBody, "garbage": peers.Garbage, "silent": peers.Silent,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := startRegistry(t)
			e.Register(instance(1, "UP"))
			f := newFollow(t, Config{Timeout: 200 * time.Millisecond}, e)
			f.next(t)
			e.Fault(fault)
			for range 2 {
				if err := f.poll(t.Context()); err == nil || strings.Contains(err.Error(), "\n") {
					t.Errorf("error %v", err)
				}
			}
			if len(f.news) != 1 {
				t.Errorf("%d pieces of news came of it", len(f.news)-1)
			}
			e.Fault(peers.NoFault)
			f.Client.cfg.Timeout = time.Second
			if n := f.next(t); n.Whole || len(n.Instances) != 0 {
				t.Errorf("after it %+v", n)
			}
		})
	}
}

// Replicas in order, with fail-over and a whole list from each that is turned to.
func TestFailOver(t *testing.T) {
	a, b := startRegistry(t), startRegistry(t)
	for _, e := range []*peers.Eureka{a, b} {
		e.Register(instance(1, "UP"))
	}
	b.Register(instance(2, "UP"))
	news := make(chan News, 100)
	c, err := NewClient(Config{Replicas: []string{a.URL(), b.URL()}, Interval: 5 * time.Millisecond, Timeout: time.Second, Seed: 1}, func(n News) { news <- n })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		c.Follow(ctx)
		close(ended)
	}()
	if n := peertest.Await(t, "the first list", news); n.Replica != a.URL() || words(n) != "1 UP" {
		t.Errorf("got %+v", n)
	}
	a.Fault(peers.ServerFail)
	for {
		if n := peertest.Await(t, "the other replica's", news); n.Replica == b.URL() {
			if !n.Whole || words(n) != "1 UP, 2 UP" {
				t.Errorf("got %+v", n)
			}
			break
		}
	}
	b.Close()
	a.Fault(peers.NoFault)
	for {
		if n := peertest.Await(t, "the first replica's again", news); n.Replica == a.URL() {
			if !n.Whole {
				t.Errorf("got %+v", n)
			}
			break
		}
	}
	cancel()
	peertest.Await(t, "the end", ended)
	b.Fault(peers.NoFault)
}

// Only some apps or VIPs are watched; one that has no instance is no error.
func TestSome(t *testing.T) {
	e := startRegistry(t)
	e.Register(instance(1, "UP"))
	other := instance(2, "UP")
	other.App, other.VIP = "OTHER", "other"
	e.Register(other)
	third := instance(3, "UP")
	third.App = "THIRD"
	e.Register(third)
	f := newFollow(t, Config{Apps: []string{"records", "none"}, VIPs: []string{"records", "none"}}, e)
	if n := f.next(t); !n.Whole || words(n) != "1 UP, 3 UP" {
		t.Errorf("got %v %q", n.Whole, words(n))
	}
}

func TestHashCode(t *testing.T) {
	if got := HashCode(map[string]int{"UP": 3, "DOWN": 1, "STARTING": 0}); got != "DOWN_1_UP_3_" {
		t.Errorf("got %q", got)
	}
}

// An answer of 50 MB is refused by its bound, not read to its end.
func TestLargeAnswerIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write([]byte(`{"applications":{"application":[`))
		one := []byte(`{"name":"` + strings.Repeat("x", 1<<14) + `"},`)
		for range 50 << 6 {
			if _, err := w.Write(one); err != nil {
				return
			}
		}
		w.Write([]byte(`{}]}}`))
	}))
	defer server.Close()
	c, err := NewClient(Config{Replicas: []string{server.URL}, MostMB: 4, Timeout: 5 * time.Second}, func(News) { t.Error("it was delivered") })
	if err != nil {
		t.Fatal(err)
	}
	if err := c.poll(t.Context()); err == nil || !strings.Contains(err.Error(), "more than 4 MB") || c.fetched > 6<<20 {
		t.Errorf("error %v after %d bytes", err, c.fetched)
	}
	c.http.CloseIdleConnections()
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"applications":{"application":{"name":"A","instance":{"instanceId":"i","port":{"$":"1","@enabled":"true"},"metadata":{"k":1}}}}}`))
	f.Add([]byte(`{"application":{"instance":[{"instanceId":"i","status":3,"overriddenstatus":"DOWN"}]}}`))
	f.Add([]byte(`<applications><application><instance><instanceId>i</instanceId><port enabled="true">1</port><metadata><a>b</a></metadata></instance></application></applications>`))
	f.Add([]byte(`{"applications":null}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := Parse(bytes.NewReader(text), nil)
		if err != nil {
			return
		}
		for _, i := range a.Instances {
			if i.ID == "" || strings.ContainsAny(i.ID+i.Status, "\n\x00") || i.Port < 0 || i.Port > 65535 || len(i.Metadata) > maxMetadata {
				t.Errorf("instance %+v", i)
			}
		}
	})
}

// A hundred thousand deltas in one answer: taken in bounded time where they fit
// the bounds, refused whole where they do not; what is held stays right.
func TestManyDeltas(t *testing.T) {
	f := newFollow(t, Config{Replicas: []string{"http://127.0.0.1:1"}})
	f.take(&Applications{Instances: []Instance{{ID: "i0", Status: "UP", Dirty: 1}}})
	f.news = nil
	a := &Applications{}
	for i := range maxInstances {
		a.Instances = append(a.Instances, Instance{ID: fmt.Sprint("i", i%1000), Status: "UP", Action: "MODIFIED", Dirty: int64(2 + i)})
	}
	a.Hash = "UP_1000_"
	if !f.apply(a) || len(f.news) != 1 || len(f.news[0].Instances) != maxInstances || len(f.held) != 1000 {
		t.Fatalf("%d pieces of news, %d held", len(f.news), len(f.held))
	}
	if !f.apply(a) || len(f.news[1].Instances) != 0 {
		t.Error("the same deltas again are news")
	}
	var text strings.Builder
	text.WriteString(`{"applications":{"application":{"name":"A","instance":[{"instanceId":"x"}`)
	for range maxInstances {
		text.WriteString(`,{"instanceId":"x"}`)
	}
	text.WriteString(`]}}}`)
	if _, err := Parse(strings.NewReader(text.String()), nil); err == nil || !strings.Contains(err.Error(), "more than 100000 instances") {
		t.Errorf("one more than the bound: %v", err)
	}
}
