package platform

import (
	"bytes"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
)

// startDiscovery follows a fake registry and hands out what is delivered.
func startDiscovery(t *testing.T, g *peertest.Registry, known *Listing) <-chan core.EndpointUpdate {
	t.Helper()
	news := make(chan core.EndpointUpdate, 10)
	d := New(g.Addr, known, func(l core.EndpointUpdate) { news <- l })
	go d.Run(t.Context())
	return news
}

func TestWatchBringsChangesInOrder(t *testing.T) {
	g := peertest.NewRegistry(t)
	news := startDiscovery(t, g, &Listing{Seq: 41, Whole: true})
	w := peertest.Await(t, "the watch", g.Watches)
	if w.From != "41" {
		t.Errorf("from %s, want 41", w.From)
	}
	up, drain := peertest.HostText("s-1", "127.0.0.1:7", "up", 0), peertest.HostText("s-1", "127.0.0.1:7", "draining", 0)
	w.Lines <- peertest.ListText(43, false, up)
	w.Lines <- ""
	w.Lines <- peertest.ListText(43, false, up) // had already
	w.Lines <- peertest.ListText(47, false, drain)
	for i, want := range []struct {
		seq    uint64
		hosts  int
		health core.Health
	}{{43, 1, core.Up}, {43, 0, 0}, {47, 1, core.Draining}} {
		l := peertest.Await(t, "a change", news)
		if l.Version != want.seq || len(l.Endpoints) != want.hosts || (want.hosts > 0 && l.Endpoints[0].Health != want.health) {
			t.Errorf("change %d is %+v, want %+v", i, l, want)
		}
	}
	close(w.Lines) // the watch ends
	if w := peertest.Await(t, "the next watch", g.Watches); w.From != "47" {
		t.Errorf("the next watch is from %s, want 47", w.From)
	}
}

func TestGapBringsTheWholeList(t *testing.T) {
	for name, line := range map[string]string{
		"unreadable": `{"seq":42,"whole":false,"hosts":[{"ho`, "backwards": peertest.ListText(30, false), "no list": `{"seq":42,"hosts":7}`,
	} {
		t.Run(name, func(t *testing.T) {
			g := peertest.NewRegistry(t)
			news := startDiscovery(t, g, &Listing{Seq: 41, Whole: true})
			w := peertest.Await(t, "the watch", g.Watches)
			w.Lines <- line
			peertest.Await(t, "the call for the whole list", g.Asked)
			g.Whole <- peertest.ListText(45, true, peertest.HostText("s-1", "127.0.0.1:7", "up", 0))
			if l := peertest.Await(t, "the list", news); l.Version != 45 || !l.Complete || len(l.Endpoints) != 1 {
				t.Errorf("delivered %+v", l)
			}
			if w := peertest.Await(t, "the next watch", g.Watches); w.From != "45" {
				t.Errorf("the next watch is from %s, want 45", w.From)
			}
		})
	}
}

func TestSilentWatchIsReopened(t *testing.T) {
	g := peertest.NewRegistry(t)
	startDiscovery(t, g, &Listing{Seq: 1, Whole: true})
	w := peertest.Await(t, "the watch", g.Watches)
	start := time.Now()
	w2 := peertest.Await(t, "the next watch", g.Watches)
	if took := time.Since(start); took < silence/2 || w2.From != "1" {
		t.Errorf("reopened after %v from %s", took, w2.From)
	}
	peertest.Await(t, "the end of the silent one", w.Ended)
}

// A new address counts at once, its whole list first: its versions may have
// nothing to do with the old one's, whose news must not come after it.
func TestMovedDiscovery(t *testing.T) {
	for name, held := range map[string]*Listing{"watching": {Seq: 41, Whole: true}, "waiting for a list": nil} {
		t.Run(name, func(t *testing.T) {
			old, fresh := peertest.NewRegistry(t), peertest.NewRegistry(t)
			news := make(chan core.EndpointUpdate, 10)
			d := New(old.Addr, held, func(l core.EndpointUpdate) { news <- l })
			go d.Run(t.Context())
			if held == nil {
				peertest.Await(t, "the call to the old one", old.Asked)
			} else {
				w := peertest.Await(t, "the old watch", old.Watches)
				defer peertest.Await(t, "the old watch's end", w.Ended)
			}
			d.SetAddress("127.0.0.1:1") // and at once on: the last one counts
			d.SetAddress(fresh.Addr)
			peertest.Await(t, "the call for the new list", fresh.Asked)
			fresh.Whole <- peertest.ListText(7, true, peertest.HostText("s-1", "127.0.0.1:7", "up", 0))
			if l := peertest.Await(t, "the list", news); l.Version != 7 || !l.Complete || len(l.Endpoints) != 1 {
				t.Errorf("delivered %+v", l)
			}
			if w := peertest.Await(t, "the new watch", fresh.Watches); w.From != "7" {
				t.Errorf("the new watch is from %s, want 7", w.From)
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
	old, fresh := peertest.NewRegistry(t), peertest.NewRegistry(t)
	asks, failed, news := make(chan struct{}, 1), make(chan struct{}, 1), make(chan core.EndpointUpdate, 10)
	d := New(old.Addr, &Listing{Seq: 3, Whole: true}, func(l core.EndpointUpdate) { news <- l })
	d.asks, d.failed = asks, func() { failed <- struct{}{} }
	go d.Run(t.Context())
	asks <- struct{}{}
	peertest.Await(t, "the old watch", old.Watches)
	d.SetAddress(fresh.Addr)
	peertest.Await(t, "the call for the new list", fresh.Asked)
	fresh.Whole <- peertest.ListText(1, true)
	if l := peertest.Await(t, "the list", news); l.Version != 1 || !l.Complete {
		t.Errorf("delivered %+v", l)
	}
	close(peertest.Await(t, "the new watch", fresh.Watches).Lines)
	peertest.Await(t, "word of its end", failed)
}

// Where the list is asked for, the module asks, and hears of success and failure.
func TestAskedListIsTheModulesToAsk(t *testing.T) {
	g := peertest.NewRegistry(t)
	asks, failed, news := make(chan struct{}, 1), make(chan struct{}, 1), make(chan core.EndpointUpdate, 10)
	d := New(g.Addr, &Listing{Seq: 3, Whole: true}, func(l core.EndpointUpdate) { news <- l })
	d.asks, d.failed = asks, func() { failed <- struct{}{} }
	go d.Run(t.Context())
	asks <- struct{}{}
	w := peertest.Await(t, "the watch", g.Watches)
	w.Lines <- "" // nothing has changed: the call went well all the same
	if l := peertest.Await(t, "word of it", news); l.Version != 3 || l.Complete || len(l.Endpoints) != 0 {
		t.Errorf("delivered %+v", l)
	}
	close(w.Lines)
	peertest.Await(t, "word of the failure", failed)
	select {
	case <-g.Watches:
		t.Error("asked again unbidden")
	default:
	}
	asks <- struct{}{}
	peertest.Await(t, "the second watch", g.Watches)
}

// Whatever form a message has on the wire, a drain in it is told once its last
// byte has come, on the watch that is open.
func TestMessagesInAllForms(t *testing.T) {
	up, drain := peertest.HostText("s-1", "127.0.0.1:7", "up", 0), peertest.HostText("s-1", "127.0.0.1:7", "draining", 0)
	other := peertest.HostText("s-2", "127.0.0.1:8", "up", 0)
	indented := func(text string) string {
		var b bytes.Buffer
		if err := json.Indent(&b, []byte(text), "", "\t"); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	change := peertest.ListText(43, false, drain)
	at := strings.Index(change, ",\"health\"") // between two fields
	for name, pieces := range map[string][]string{
		"a line":                    {change + "\n"},
		"no line break behind it":   {change},
		"indented":                  {indented(change) + "\n"},
		"carriage returns":          {strings.ReplaceAll(indented(change), "\n", "\r\n") + "\r\n\r\n"},
		"byte by byte":              strings.Split(change+"\n", ""),
		"indented, byte by byte":    strings.Split(indented(change), ""),
		"behind another":            {peertest.ListText(42, false, up) + "\n" + change + "\n"},
		"cut where another one was": {peertest.ListText(42, false, up) + change[:30], change[30:]},
		"blank lines in its middle": {change[:at], "\n", "\n", change[at:]},
		"the whole list without it": {peertest.ListText(43, true, other) + "\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := peertest.NewRegistry(t)
			news := startDiscovery(t, g, &Listing{Seq: 41, Whole: true})
			w := peertest.Await(t, "the watch", g.Watches)
			for _, p := range pieces {
				select {
				case w.Bytes <- p:
				case <-w.Ended:
					t.Fatal("the watch was ended")
				}
			}
			for {
				l := peertest.Await(t, "the change", news)
				if l.Version != 43 {
					continue
				}
				if gone := l.Complete && len(l.Endpoints) == 1 && l.Endpoints[0].Name == "s-2"; !gone && l.Endpoints[0].Health != core.Draining {
					t.Errorf("delivered %+v", l)
				}
				break
			}
			select {
			case w.Lines <- "": // it is the same watch, and still read
			case <-w.Ended:
				t.Error("the watch was ended")
			}
			if len(g.Watches) > 0 || len(g.Asked) > 0 {
				t.Error("another call was needed")
			}
		})
	}
}

// A message whose rest never comes is no sign of life, though blank lines go on
// behind it; nor does its first half count.
func TestHalfAMessageIsSilence(t *testing.T) {
	g := peertest.NewRegistry(t)
	news := startDiscovery(t, g, &Listing{Seq: 41, Whole: true})
	w := peertest.Await(t, "the watch", g.Watches)
	change := peertest.ListText(43, false, peertest.HostText("s-1", "127.0.0.1:7", "draining", 0))
	w.Bytes <- change[:strings.Index(change, ",\"health\"")]
	begun := time.Now()
	blank := time.NewTicker(silence / 10)
	defer blank.Stop()
	for {
		select {
		case <-blank.C:
			select {
			case w.Lines <- "":
			case <-w.Ended:
			}
			if time.Since(begun) > 2*silence {
				t.Fatal("blank lines kept a watch open whose message never ended")
			}
			continue
		case again := <-g.Watches:
			if again.From != "41" {
				t.Errorf("the next watch is from %s, want 41", again.From)
			}
		}
		break
	}
	if len(news) > 0 {
		t.Errorf("delivered %+v", <-news)
	}
}

// While discovery is down a pushed list's agent takes calls and says nothing.
// What it has at its return is heard well within the 2 s in which a drain is kept.
func TestReturnOfASilentAgentIsHeardInTime(t *testing.T) {
	ln := peertest.Listen(t)
	silent := make(chan net.Conn, 100)
	up := make(chan struct{})
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			select {
			case <-up: // it answers those that call from now on, and never those before
				text := peertest.ListText(43, false, peertest.HostText("s-1", "127.0.0.1:7", "draining", 0)) + "\n"
				go func() {
					c.Read(make([]byte, 4<<10))
					c.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + text))
				}()
			default:
				silent <- c
			}
		}
	}()
	news := make(chan core.EndpointUpdate, 10)
	d := New(ln.Addr().String(), &Listing{Seq: 41, Whole: true}, func(l core.EndpointUpdate) { news <- l })
	go d.Run(t.Context())
	peertest.Await(t, "a call", silent)
	peertest.Await(t, "a further call", silent)
	returned := time.Now()
	close(up)
	if l := peertest.Await(t, "the change", news); l.Version != 43 {
		t.Errorf("delivered %+v", l)
	}
	if took := time.Since(returned); took > 2*time.Second {
		t.Errorf("heard %v after the return", took)
	}
}
