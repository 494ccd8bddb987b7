// Package rpcfront takes the application's requests by MessagePack-RPC, many at
// once on one connection, answered in any order.
package rpcfront

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/sockets"
	"mothridge/policy"
)

// Handler takes the requests.
type Handler interface {
	Submit(*core.Request)
	Abandon(*core.Request)
	Ready() bool
}

// Config is what a Front keeps to. Zeros take the defaults.
type Config struct {
	Classes                  []string // names by number
	Idempotency              []policy.Idempotency
	Tenants                  []string                      // empty: there is one, and requests need not name it
	MaxConnections           int                           // the most that are open at once
	MaxRequestsInFlight      int                           // requests of one connection that are taken and not answered; more are refused
	MaxBufferedResponseBytes int                           // bytes of answers that wait for one client to read; beyond, its new requests are refused
	EarliestArrival          func(now time.Time) time.Time // when bytes that were read just now may have come at the earliest; nil: now
	ErrorsAsText             bool                          // errors are written as texts, for codecs that read no maps there
}

// The defaults of Config.
const (
	DefaultMaxRequestsInFlight      = 64
	DefaultMaxBufferedResponseBytes = 1 << 20
)

const (
	// wholeIn is how long a message may take from its first byte to its last.
	wholeIn = 2500 * time.Millisecond
	// stallIn is how long a client may leave its answers unread.
	stallIn = time.Second
	// floodPause is what a client that asks for too much at once is told to wait.
	floodPause = 100 * time.Millisecond
	// lookEvery is how often a front that ends looks at connections that say nothing, and
	// speakIn how old one is before that is held to be so.
	lookEvery      = 10 * time.Millisecond
	firstByteGrace = 50 * time.Millisecond
	// maxMalformedMessages is how many messages that are none a connection may send.
	maxMalformedMessages = 16
)

// Counters tell what came on the connections.
type Counters struct {
	Connections uint64 // accepted
	Taken       uint64 // requests that were given to the core
	Rejected    uint64 // requests that were wrong
	Flooded     uint64 // requests refused as too many were open on their connection
	Repeated    uint64 // requests under a msgid that was open: passed over
	Malformed   uint64 // messages that could not be read
	Stalled     uint64 // connections closed because their client did not read
	Failed      uint64 // accepts that failed
}

// Front is the MessagePack-RPC side towards the application.
type Front struct {
	handler  Handler
	config   Config
	classes  map[string]int
	tenants  map[string]int
	listener *sockets.RetryingListener

	mu       sync.Mutex
	conns    map[*clientConn]struct{}
	draining bool
	closed   bool
	served   chan struct{} // closed when Serve has returned
	changed  chan struct{} // closed and made anew when a connection ends

	connections, taken, rejected, flooded, repeated, malformed, stalled atomic.Uint64
}

// New makes a Front on a listener; Serve starts it.
func New(c Config, k Handler, ln net.Listener) *Front {
	if c.MaxRequestsInFlight == 0 {
		c.MaxRequestsInFlight = DefaultMaxRequestsInFlight
	}
	if c.MaxBufferedResponseBytes == 0 {
		c.MaxBufferedResponseBytes = DefaultMaxBufferedResponseBytes
	}
	return &Front{
		handler: k, config: c, classes: core.IndexByName(c.Classes), tenants: core.IndexByName(c.Tenants), listener: sockets.NewRetryingListener(ln),
		conns: make(map[*clientConn]struct{}), changed: make(chan struct{}), served: make(chan struct{}),
	}
}

// Counters returns what was counted so far.
func (f *Front) Counters() Counters {
	return Counters{
		f.connections.Load(), f.taken.Load(), f.rejected.Load(), f.flooded.Load(), f.repeated.Load(), f.malformed.Load(), f.stalled.Load(),
		f.listener.Failures(),
	}
}

// Serve serves until Shutdown, or returns an error once its listener was closed by another.
func (f *Front) Serve() error {
	defer close(f.served)
	for {
		nc, err := f.listener.Accept()
		if err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.closed {
				return nil
			}
			return err
		}
		f.connections.Add(1)
		f.makeRoom() // only now: nobody is sent away for one who does not come
		c := newConn(f, nc)
		f.mu.Lock()
		f.conns[c] = struct{}{}
		if f.draining {
			c.drain()
		}
		f.mu.Unlock()
		go c.write()
		go c.read()
	}
}

// makeRoom waits until one more connection may be open. The one that was idle
// longest makes way; where every one has a request open, new ones wait to be accepted.
func (f *Front) makeRoom() {
	for {
		f.mu.Lock()
		if len(f.conns) < f.config.MaxConnections || f.closed {
			f.mu.Unlock()
			return
		}
		changed := f.changed
		var oldest *clientConn
		var since time.Time
		for c := range f.conns {
			if s, idle := c.idleSince(); idle && (oldest == nil || s.Before(since)) {
				oldest, since = c, s
			}
		}
		f.mu.Unlock()
		if oldest != nil {
			oldest.closeIdle()
		}
		// A connection that becomes idle is not told of; it is looked for now and then.
		t := time.NewTimer(20 * time.Millisecond)
		select {
		case <-changed:
		case <-t.C:
		}
		t.Stop()
	}
}

func (f *Front) forget(c *clientConn) {
	f.mu.Lock()
	delete(f.conns, c)
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
}

// Drain asks every client, and those that still come, to send nothing new.
func (f *Front) Drain() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.draining = true
	for c := range f.conns {
		c.drain()
	}
}

// Shutdown closes the listener and each connection as soon as all that was
// taken on it is answered and written, or ctx ends. What crosses the drain is taken:
// connections that wait to be accepted are, and a message that has begun is read on.
func (f *Front) Shutdown(ctx context.Context) error {
	f.listener.DrainBacklog(ctx)
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	err := f.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	select {
	case <-f.served: // it takes no further connection
	case <-ctx.Done():
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		f.mu.Lock()
		changed, left := f.changed, len(f.conns)
		for c := range f.conns {
			c.finishUp(time.Now())
		}
		f.mu.Unlock()
		if left == 0 {
			return err
		}
		select {
		case <-changed:
		case <-look.C: // a connection on which nothing was said so far
		case <-ctx.Done():
			f.mu.Lock()
			for c := range f.conns {
				c.nc.Close()
			}
			f.mu.Unlock()
			return err
		}
	}
}

// request makes a call the core's, or returns what the client is told instead.
func (f *Front) request(call *msgrpc.Call, arrival time.Time) (*core.Request, *msgrpc.Fault) {
	wrong := func(text string) (*core.Request, *msgrpc.Fault) {
		return nil, &msgrpc.Fault{Kind: msgrpc.KindRejected, Text: text}
	}
	class, ok := f.classes[call.Class]
	if !ok {
		return wrong("class: the settings have none of that name")
	}
	tenant := 0
	if len(f.tenants) > 0 {
		if tenant, ok = f.tenants[call.Tenant]; !ok {
			return wrong("tenant: the settings have none of that name")
		}
	}
	if strings.ContainsFunc(call.ID, unprintable) {
		return wrong("id: printable ASCII is meant")
	}
	if strings.ContainsFunc(call.Target, unprintable) || strings.ContainsFunc(call.Host, unprintable) {
		return wrong("target and host: printable ASCII is meant")
	}
	effect := f.config.Idempotency[class]
	switch {
	case effect == policy.IdempotentByKey && call.Key == "":
		return wrong("key is missing: without it a repeat could not be told from a new request")
	case effect != policy.IdempotentByKey && call.Key != "":
		return wrong("key: requests of this class have none")
	case effect == policy.Idempotent && len(call.Body) > 0:
		return wrong("body: requests of a class that is safe to repeat have none")
	}
	method := "POST"
	if effect == policy.Idempotent {
		method = "GET"
	}
	host := call.Host
	if host == "" {
		host = defaultHost
	}
	return &core.Request{
		ID: call.ID, Class: class, Tenant: tenant, ClientRetry: call.Retry, ExpectedWork: call.Work,
		Deadline: arrival.Add(max(0, call.Left-core.AnswerMargin)),
		Message:  core.Message{Method: method, Target: call.Target, Host: host, Fields: call.HTTPFields(), Body: call.Body, RequiresLength: true},
	}, nil
}

// defaultHost stands where a client names none and an HTTP/1.1 node must have one.
const defaultHost = "service.internal"

func unprintable(r rune) bool { return r <= ' ' || r > '~' }

func (f *Front) isDraining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}
