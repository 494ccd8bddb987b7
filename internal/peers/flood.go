package peers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/msgrpc"
)

// Flood is a kind of client that sends at full speed. Its names and ids are ever new.
type Flood struct {
	Name     string
	Protocol Protocol
	// Sound says that the requests are valid, so that they may be forwarded.
	Sound bool
	// session connects and sends until ctx ends or the connection does. next returns a new number.
	session func(ctx context.Context, addr string, next func() int64)
}

// What floods send.
const (
	floodTenant  = "south" // of sound requests
	floodClass   = "entry"
	floodTimeout = 500 * time.Millisecond
	// floodBatch is how many requests a client writes at once that does not wait for answers.
	floodBatch = 50
	// floodBurst is how many requests a client sends that leaves after them.
	floodBurst = 200
)

// Floods are all kinds of floods.
var Floods = []Flood{
	{"sound, one at a time", HTTP, true, floodInTurn},
	{"sound, on new connections", HTTP, true, once(floodHTTP(floodTenant), true)},
	{"sound, without waiting", HTTP, true, floodWithoutWaiting(floodHTTP(floodTenant))},
	{"unknown names, on new connections", HTTP, false, once(floodHTTP(""), true)},
	{"unknown names, without waiting", HTTP, false, floodWithoutWaiting(floodHTTP(""))},
	{"noise", HTTP, false, once(func(int64) []byte { return []byte("\x01\x02\x03 noise\r\n\r\n") }, true)},
	{"200 and leave", HTTP, true, once(burst(floodHTTP(floodTenant)), false)},
	{"connect and leave", HTTP, false, once(func(int64) []byte { return nil }, false)},
	{"sound, without waiting", RPC, true, floodWithoutWaiting(floodRPC(floodTenant))},
	{"sound, on new connections", RPC, true, once(floodRPC(floodTenant), true)},
	{"unknown names, without waiting", RPC, false, floodWithoutWaiting(floodRPC(""))},
	{"unknown names, on new connections", RPC, false, once(floodRPC(""), true)},
	{"ready, without waiting", RPC, false, floodWithoutWaiting(func(n int64) []byte {
		return msgrpc.AppendRequest(nil, uint32(n), msgrpc.MethodReady)
	})},
	{"cancels, without waiting", RPC, false, floodWithoutWaiting(func(n int64) []byte { return msgrpc.AppendCancel(nil, uint32(n)) })},
	{"noise", RPC, false, once(func(int64) []byte { return []byte("\xc1 noise") }, true)},
	{"200 and leave", RPC, true, once(burst(floodRPC(floodTenant)), false)},
}

// Crowds are kinds of clients that send a part of a request and stay, again as soon as they are closed.
var Crowds = []Flood{
	{"400 kB of a body of 1 MB", HTTP, false, once(func(number int64) []byte {
		head := fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: x\r\nRequest-Id: crowd-%d\r\nRequest-Class: %s\r\nTenant: %s\r\n"+
			"Request-Timeout: 1\r\nContent-Length: 1000000\r\n\r\n", number, floodClass, floodTenant)
		return append(head, make([]byte, 400_000)...)
	}, true)},
	{"half a head", HTTP, false, once(func(int64) []byte { return []byte("POST /api HTTP/1.1\r\nHost: x\r\nReq") }, true)},
	{"silent", HTTP, false, once(func(int64) []byte { return nil }, true)},
	{"half a call", RPC, false, once(func(number int64) []byte {
		call := floodRPC(floodTenant)(number)
		return call[:len(call)/2]
	}, true)},
}

// Run has a number of clients send to an address until ctx ends. It returns how many requests were written.
func (flood *Flood) Run(ctx context.Context, addr string, clients int) (written int64) {
	var count atomic.Int64
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for ctx.Err() == nil {
				flood.session(ctx, addr, func() int64 { return count.Add(1) })
			}
		})
	}
	running.Wait()
	return count.Load()
}

// FloodRequest returns a sound request of a flood with an id.
func FloodRequest(protocol Protocol, id string) []byte {
	return floodRequest(protocol, id, floodTenant)
}

func floodRequest(protocol Protocol, id, tenant string) []byte {
	if protocol == RPC {
		call := msgrpc.Call{ID: id, Class: floodClass, Tenant: tenant, Target: "/api", Timeout: floodTimeout}
		return call.Append(nil, rpcIDs.Add(1))
	}
	return fmt.Appendf(nil, "POST /api/%s HTTP/1.1\r\nHost: x\r\nRequest-Id: %[1]s\r\nRequest-Class: %s\r\nTenant: %s\r\n"+
		"Affinity-Key: key-%[1]s\r\nField-%[1]s: x\r\nRequest-Timeout: %.3[4]f\r\nContent-Length: 2\r\n\r\n{}",
		id, floodClass, tenant, floodTimeout.Seconds())
}

// rpcIDs counts the msgids of floods.
var rpcIDs atomic.Uint32

// floodHTTP returns HTTP/1.1 requests of a tenant, or of ever new ones if it is empty.
func floodHTTP(tenant string) func(number int64) []byte { return numberedRequests(HTTP, tenant) }

// floodRPC returns MessagePack-RPC calls of a tenant, or of ever new ones if it is empty.
func floodRPC(tenant string) func(number int64) []byte { return numberedRequests(RPC, tenant) }

func numberedRequests(protocol Protocol, tenant string) func(number int64) []byte {
	return func(number int64) []byte {
		name := tenant
		if name == "" {
			name = fmt.Sprint("tenant-", number)
		}
		return floodRequest(protocol, fmt.Sprint("flood-", number), name)
	}
}

// burst joins floodBurst requests.
func burst(request func(int64) []byte) func(int64) []byte {
	return func(number int64) []byte {
		var text []byte
		for i := range int64(floodBurst) {
			text = append(text, request(number*floodBurst+i)...)
		}
		return text
	}
}

// dialFlood connects. If that fails it waits for a moment and returns nil.
func dialFlood(ctx context.Context, addr string) net.Conn {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
		}
		return nil
	}
	return conn
}

// once returns a session of one message. If awaitAnswer is set, the client leaves when it has read something or was closed.
func once(message func(int64) []byte, awaitAnswer bool) func(context.Context, string, func() int64) {
	return func(ctx context.Context, addr string, next func() int64) {
		conn := dialFlood(ctx, addr)
		if conn == nil {
			return
		}
		defer conn.Close()
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		if _, err := conn.Write(message(next())); err == nil && awaitAnswer {
			_, _ = conn.Read(make([]byte, 512))
		}
	}
}

// floodInTurn sends sound HTTP/1.1 requests, the next one as soon as the answer to the last one was read.
func floodInTurn(ctx context.Context, addr string, next func() int64) {
	conn := dialFlood(ctx, addr)
	if conn == nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	reader := bufio.NewReader(conn)
	request := floodHTTP(floodTenant)
	for {
		if _, err := conn.Write(request(next())); err != nil {
			return
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.Close {
			return
		}
	}
}

// floodWithoutWaiting returns a session that sends on without an end, and reads and drops what it is sent.
func floodWithoutWaiting(message func(int64) []byte) func(context.Context, string, func() int64) {
	return func(ctx context.Context, addr string, next func() int64) {
		conn := dialFlood(ctx, addr)
		if conn == nil {
			return
		}
		defer context.AfterFunc(ctx, func() { conn.Close() })()
		var reading sync.WaitGroup
		reading.Go(func() {
			_, _ = io.Copy(io.Discard, bufio.NewReader(conn))
			conn.Close()
		})
		var text strings.Builder
		for {
			text.Reset()
			for range floodBatch {
				text.Write(message(next()))
			}
			if _, err := io.WriteString(conn, text.String()); err != nil {
				break
			}
		}
		conn.Close()
		reading.Wait()
	}
}
