package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mothridge/policy"
)

// startDiscovery follows a fake registry and hands out what is delivered.
func startDiscovery(t *testing.T, g *registry, known *listing) <-chan listing {
	t.Helper()
	news := make(chan listing, 10)
	d := newDiscovery(g.addr, known, func(l listing) { news <- l })
	go d.follow(t.Context())
	return news
}

func TestWatchBringsChangesInOrder(t *testing.T) {
	g := newRegistry(t)
	news := startDiscovery(t, g, &listing{Seq: 41, Whole: true})
	w := await(t, "the watch", g.watches)
	if w.from != "41" {
		t.Errorf("from %s, want 41", w.from)
	}
	up, drain := hostText("s-1", "127.0.0.1:7", "up", 0), hostText("s-1", "127.0.0.1:7", "draining", 0)
	w.lines <- listText(43, false, up)
	w.lines <- ""
	w.lines <- listText(43, false, up) // had already
	w.lines <- listText(47, false, drain)
	for i, want := range []struct {
		seq    uint64
		hosts  int
		health string
	}{{43, 1, "up"}, {43, 0, ""}, {47, 1, "draining"}} {
		l := await(t, "a change", news)
		if l.Seq != want.seq || len(l.Hosts) != want.hosts || (want.hosts > 0 && l.Hosts[0].Health != want.health) {
			t.Errorf("change %d is %+v, want %+v", i, l, want)
		}
	}
	close(w.lines) // the watch ends
	if w := await(t, "the next watch", g.watches); w.from != "47" {
		t.Errorf("the next watch is from %s, want 47", w.from)
	}
}

func TestGapBringsTheWholeList(t *testing.T) {
	for name, line := range map[string]string{
		"unreadable": `{"seq":42,"whole":false,"hosts":[{"ho`, "backwards": listText(30, false), "no list": `{"seq":42,"hosts":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := newRegistry(t)
			news := startDiscovery(t, g, &listing{Seq: 41, Whole: true})
			w := await(t, "the watch", g.watches)
			w.lines <- line
			await(t, "the call for the whole list", g.asked)
			g.whole <- listText(45, true, hostText("s-1", "127.0.0.1:7", "up", 0))
			if l := await(t, "the list", news); l.Seq != 45 || !l.Whole || len(l.Hosts) != 1 {
				t.Errorf("delivered %+v", l)
			}
			if w := await(t, "the next watch", g.watches); w.from != "45" {
				t.Errorf("the next watch is from %s, want 45", w.from)
			}
		})
	}
}

func TestSilentWatchIsReopened(t *testing.T) {
	g := newRegistry(t)
	startDiscovery(t, g, &listing{Seq: 1, Whole: true})
	w := await(t, "the watch", g.watches)
	start := time.Now()
	w2 := await(t, "the next watch", g.watches)
	if took := time.Since(start); took < silence/2 || w2.from != "1" {
		t.Errorf("reopened after %v from %s", took, w2.from)
	}
	await(t, "the end of the silent one", w.ended)
}

// A new address counts at once, its whole list first: its versions may have
// nothing to do with the old one's, whose news must not come after it.
func TestMovedDiscovery(t *testing.T) {
	for name, held := range map[string]*listing{"watching": {Seq: 41, Whole: true}, "waiting for a list": nil} {
		t.Run(name, func(t *testing.T) {
			old, fresh := newRegistry(t), newRegistry(t)
			news := make(chan listing, 10)
			d := newDiscovery(old.addr, held, func(l listing) { news <- l })
			go d.follow(t.Context())
			if held == nil {
				await(t, "the call to the old one", old.asked)
			} else {
				w := await(t, "the old watch", old.watches)
				defer await(t, "the old watch's end", w.ended)
			}
			d.move("127.0.0.1:1") // and at once on: the last one counts
			d.move(fresh.addr)
			await(t, "the call for the new list", fresh.asked)
			fresh.whole <- listText(7, true, hostText("s-1", "127.0.0.1:7", "up", 0))
			if l := await(t, "the list", news); l.Seq != 7 || !l.Whole || len(l.Hosts) != 1 {
				t.Errorf("delivered %+v", l)
			}
			if w := await(t, "the new watch", fresh.watches); w.from != "7" {
				t.Errorf("the new watch is from %s, want 7", w.from)
			}
			if len(news) > 0 {
				t.Errorf("more came: %+v", <-news)
			}
		})
	}
}

// Where the module asks for the list, a move needs no asking, and what goes
// wrong at the new address is told as ever.
func TestMovedDiscoveryThatIsAsked(t *testing.T) {
	old, fresh := newRegistry(t), newRegistry(t)
	asks, failed, news := make(chan struct{}, 1), make(chan struct{}, 1), make(chan listing, 10)
	d := newDiscovery(old.addr, &listing{Seq: 3, Whole: true}, func(l listing) { news <- l })
	d.asks, d.failed = asks, func() { failed <- struct{}{} }
	go d.follow(t.Context())
	asks <- struct{}{}
	await(t, "the old watch", old.watches)
	d.move(fresh.addr)
	await(t, "the call for the new list", fresh.asked)
	fresh.whole <- listText(1, true)
	if l := await(t, "the list", news); l.Seq != 1 || !l.Whole {
		t.Errorf("delivered %+v", l)
	}
	close(await(t, "the new watch", fresh.watches).lines)
	await(t, "word of its end", failed)
}

// Where the list is asked for, the module asks, and hears of success and failure.
func TestAskedListIsTheModulesToAsk(t *testing.T) {
	g := newRegistry(t)
	asks, failed, news := make(chan struct{}, 1), make(chan struct{}, 1), make(chan listing, 10)
	d := newDiscovery(g.addr, &listing{Seq: 3, Whole: true}, func(l listing) { news <- l })
	d.asks, d.failed = asks, func() { failed <- struct{}{} }
	go d.follow(t.Context())
	asks <- struct{}{}
	w := await(t, "the watch", g.watches)
	w.lines <- "" // nothing has changed: the call went well all the same
	if l := await(t, "word of it", news); l.Seq != 3 || l.Whole || len(l.Hosts) != 0 {
		t.Errorf("delivered %+v", l)
	}
	close(w.lines)
	await(t, "word of the failure", failed)
	select {
	case <-g.watches:
		t.Error("asked again unbidden")
	default:
	}
	asks <- struct{}{}
	await(t, "the second watch", g.watches)
}

// A module that asks gets its watch again after a failure, through the whole program.
func TestAskingSidecarWatches(t *testing.T) {
	g := newRegistry(t)
	u := newUpstream(t, always(answer200("ok")))
	addr, _, _ := startSidecar(t, testConfig(t, options{ask: true}, g.addr, hostText("s-0", "127.0.0.1:1", "draining", 0)))
	close(await(t, "the watch", g.watches).lines)
	w := await(t, "the next watch", g.watches)
	w.lines <- listText(2, false, hostText("s-1", u.addr, "up", 0))
	serveSoon(t, addr)
}

// serveSoon sends requests until one is served: news of the list is on its way.
func serveSoon(t *testing.T, addr string) {
	t.Helper()
	for i, deadline := 0, time.Now().Add(patience); ; i++ {
		if got := (call{class: "once", id: fmt.Sprint("soon-", i)}).do(t, addr); got.status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("never served")
		}
	}
}

func newTestLoop(t *testing.T, hosts ...string) *loop {
	t.Helper()
	c := testConfig(t, options{}, "127.0.0.1:1", hosts...)
	l, err := newLoop(c, &upstreams{pool: testPool(4)})
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestWrongEntriesArePassedOver(t *testing.T) {
	good := hostText("s-1", "127.0.0.1:7", "up", 0)
	text := valid(t, listText(1, true, `{"host":7,"dial":"127.0.0.1:7","health":"up"}`, `"nonsense"`, `{"dial":"127.0.0.1:7","health":"up"}`,
		hostText("s-2", "nowhere", "up", 0), good, `{"host":"s-3","dial":"127.0.0.1:8","health":"up","later":{"x":1}}`))
	known := parseKnown([]byte(text))
	if known == nil {
		t.Fatal("the list was thrown away")
	}
	l := newTestLoop(t)
	l.list(policy.ListFull, *known)
	if len(l.hosts) != 2 || l.hosts["s-1"] == nil || l.hosts["s-3"] == nil {
		t.Errorf("hosts %v, want s-1 and s-3", l.hosts)
	}
	if parseKnown([]byte(`{"seq":"x"}`)) != nil || parseKnown([]byte("null")) != nil {
		t.Error("an unreadable known list is held")
	}
}

func TestEntriesBecomeServers(t *testing.T) {
	l := newTestLoop(t)
	enter := func(e entry) policy.Server {
		s, ok := l.enter(e)
		if !ok {
			t.Fatalf("%+v was passed over", e)
		}
		return s
	}
	cell := 3
	e := entry{Host: "s-1", Dial: "127.0.0.1:7", Site: "a", Block: &cell, Health: "up", Share: 1.5}
	s := enter(e)
	if s.State != policy.Ready || s.Weight != 1.5 || s.Cell != 3 || s.Zone != 0 || s.Started != 0 {
		t.Errorf("server %+v", s)
	}
	e.Dial, e.Health = "127.0.0.1:8", "draining"
	if d := enter(e); d.ID != s.ID || d.State != policy.Draining || l.hosts["s-1"].entry.Dial != e.Dial {
		t.Errorf("at another address it is %+v, was %+v", d, s)
	}
	e.Health = "a later word"
	if d := enter(e); d.State != policy.Draining {
		t.Errorf("unknown health gives %v", d.State)
	}
	e.Health, e.Dial = "removed", ""
	if d := enter(e); d.ID != s.ID || d.State != policy.Gone {
		t.Errorf("removed without an address gives %+v", d)
	}
	other := enter(entry{Host: "s-2", Dial: "127.0.0.1:9", Site: "elsewhere", Health: "up"})
	third := enter(entry{Host: "s-3", Dial: "127.0.0.1:9", Site: "elsewhere", Health: "up"})
	if other.ID == s.ID || other.Zone == 0 || other.Zone != third.Zone || other.Cell == third.Cell {
		t.Errorf("servers %+v and %+v", other, third)
	}
}

// An upstream that started shortly before this process is cold: its start must
// be a positive time on the module's clock, whatever the module's clock is at.
func TestEarlierStartIsNotLongAgo(t *testing.T) {
	l := newTestLoop(t)
	born := time.Now().Add(-2 * time.Second).UnixMilli()
	s, ok := l.enter(entry{Host: "s-1", Dial: "127.0.0.1:7", Health: "up", BornMS: float64(born)})
	if age := l.clock() - s.Started; !ok || s.Started <= 0 || age < time.Second || age > patience {
		t.Errorf("started at %v, %v ago by the module's clock", s.Started, age)
	}
	ahead := entry{Host: "s-2", Dial: "127.0.0.1:7", Health: "up", BornMS: float64(time.Now().Add(time.Hour).UnixMilli())}
	first, _ := l.enter(ahead)
	l.now = l.clock() + time.Second
	if again, _ := l.enter(ahead); first.Started > l.now || again.Started != first.Started {
		t.Errorf("a start ahead of the clock is %v and then %v", first.Started, again.Started)
	}
}

func TestDrainActsAtOnce(t *testing.T) {
	g := newRegistry(t)
	a, b := newUpstream(t, always(answer200("a"))), newUpstream(t, always(answer200("b")))
	addr, _, _ := startSidecar(t, testConfig(t, options{}, g.addr, hostText("s-1", a.addr, "up", 0)))
	w := await(t, "the watch", g.watches)
	serveSoon(t, addr)
	await(t, "a request", a.requests)
	w.lines <- listText(2, false, hostText("s-1", a.addr, "draining", 0), hostText("s-2", b.addr, "up", 0))
	for i := range 1000 { // until the news has arrived; from then on everything goes to the other
		if got := (call{class: "once", id: fmt.Sprint(i)}).do(t, addr); got.body == "b" {
			break
		}
	}
	clear := len(a.requests)
	for i := range 20 {
		if got := (call{class: "once", id: fmt.Sprint("later-", i)}).do(t, addr); got.body != "b" {
			t.Errorf("got %+v", got)
		}
	}
	if len(a.requests) != clear {
		t.Error("a request went to a draining upstream")
	}
}
