package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"mothridge/internal/msgrpc"
	"mothridge/internal/peers"
)

const (
	// crowdClients is how many clients send requests that are never complete, again as soon as they are closed.
	crowdClients = 300
	// crowdFor is how long they go on.
	crowdFor = 4 * time.Second
	// crowdedTimeout is how long the other clients wait, and crowdedSlack how much later an answer may come.
	crowdedTimeout = 308 * time.Millisecond
	crowdedSlack   = 500 * time.Millisecond
)

// crowdRequests are texts of requests that are never complete or never valid, by protocol and kind.
var crowdRequests = map[string]map[string]func(id int) string{
	"http": {
		"half a body": func(id int) string {
			return requestHead(fmt.Sprint("crowd-", id)) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 30000)
		},
		"20,000 fields": func(id int) string {
			return requestHead(fmt.Sprint("crowd-", id)) + strings.Repeat("A:b\r\n", 20000)
		},
	},
	"msgpack-rpc": {
		"half a body": func(id int) string {
			encoded := encodeCall(fmt.Sprint("crowd-", id), time.Second, 60000)
			return string(encoded[:len(encoded)/2])
		},
		"20,000 fields": func(int) string {
			call := msgp.AppendArrayHeader(msgrpc.AppendRequest(nil, 1, msgrpc.MethodCall), 1)
			call = msgp.AppendMapHeader(call, 1)
			call = msgp.AppendString(call, "fields")
			call = msgp.AppendMapHeader(call, 20000)
			return string(call) + strings.Repeat("\xa1a\x91\xa1b", 10000) // the other half never comes
		},
	},
}

// Guards against clients that stop in the middle of a request and stay, by hundreds: the requests of other clients
// waited behind theirs to be accepted until nobody waited for them any more.
func TestUnfinishedRequestsDoNotDelayOthers(t *testing.T) {
	program := buildProgram(t)
	for protocol, kinds := range crowdRequests {
		for kind, text := range kinds {
			t.Run(protocol+", "+kind, func(t *testing.T) { testCrowd(t, program, protocol, text, sendAndStay) })
		}
	}
}

// Guards against clients that write their requests slowly, by hundreds, and so delay the requests of other clients
// beyond their time.
func TestSlowRequestsDoNotDelayOthers(t *testing.T) {
	program := buildProgram(t)
	for protocol, text := range slowRequests {
		t.Run(protocol, func(t *testing.T) { testCrowd(t, program, protocol, text, sendSlowly) })
	}
}

// slowRequests are whole requests with a large body, by protocol.
var slowRequests = map[string]func(id int) string{
	"http": func(id int) string {
		return requestHead(fmt.Sprint("slow-", id)) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("b", 60000)
	},
	"msgpack-rpc": func(id int) string {
		return string(encodeCall(fmt.Sprint("slow-", id), time.Second, 60000))
	},
}

// sendSlowly sends a text at 64 kB a second.
func sendSlowly(address, text string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(time.Millisecond)
		return
	}
	defer conn.Close()
	for len(text) > 0 {
		part := min(len(text), 3200)
		if _, err := io.WriteString(conn, text[:part]); err != nil {
			return
		}
		text = text[part:]
		time.Sleep(50 * time.Millisecond)
	}
}

// testCrowd has a crowd send texts, and fails if a request of another client has no answer in time.
func testCrowd(t *testing.T, program, protocol string, text func(id int) string, send func(address, text string)) {
	t.Helper()
	started := startPausable(t, program, 256)
	address := started.addresses[protocol]
	var done atomic.Bool
	var crowd sync.WaitGroup
	for client := range crowdClients {
		crowd.Go(func() {
			for try := 0; !done.Load(); try++ {
				send(address, text(client*1000+try))
			}
		})
	}
	unanswered, total := sendBesideCrowd(t, peers.Protocol(protocol), address)
	done.Store(true)
	crowd.Wait()
	if unanswered > 0 {
		t.Errorf("got %d of %d other clients' requests without an answer in time, want 0", unanswered, total)
	}
}

// sendAndStay sends a text and waits until the program closes the connection.
func sendAndStay(address, text string) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(time.Millisecond)
		return
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(crowdFor))
	io.WriteString(conn, text)
	io.Copy(io.Discard, conn)
}

// sendBesideCrowd sends requests for crowdFor, one in four on a connection of its own. It returns how many have no answer
// crowdedSlack after their time. While connections are at their bound, a new one on which nothing has been sent for
// some time may be closed unread, as when this process is slow to write; the request is then sent once more, with
// the time that is left.
func sendBesideCrowd(t *testing.T, protocol peers.Protocol, address string) (unanswered, total int64) {
	t.Helper()
	kept := peers.NewClient(protocol, address)
	defer kept.Close()
	var lost atomic.Int64
	var sending sync.WaitGroup
	for end := time.Now().Add(crowdFor); time.Now().Before(end); total++ {
		call := peers.Call{ID: fmt.Sprint("other-", total), Class: "a", NotIdempotent: true, Timeout: crowdedTimeout, Body: []byte("{}")}
		isNew, number, startedAt := total%4 == 0, total, time.Now()
		sending.Go(func() {
			client := kept
			if isNew {
				client = peers.NewClient(protocol, address)
				defer client.Close()
			}
			ctx, cancel := context.WithTimeout(context.Background(), crowdedTimeout+crowdedSlack)
			defer cancel()
			got := client.Do(ctx, call)
			if got.Outcome == peers.Lost && ctx.Err() == nil { // closed unread: see sendBesideCrowd
				retry := peers.NewClient(protocol, address)
				defer retry.Close()
				got = retry.Do(ctx, call)
			}
			if got.Outcome == peers.Lost {
				lost.Add(1)
				t.Logf("request %d, on a new connection: %v, after %v: %v", number, isNew, time.Since(startedAt), got.Err)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	sending.Wait()
	return lost.Load(), total
}
