package peers

import (
	"net"
	"strings"
	"sync"
	"time"

	"mothridge/internal/msgrpc"
)

// serveRPC serves one connection of MessagePack-RPC. A request that is to be
// served at once is answered by the reader itself; others wait beside it.
func (n *Upstream) serveRPC(c net.Conn) {
	in := msgrpc.NewFramer(c, msgrpc.MaxRequestBytes, 10*time.Second)
	s := &rpcServing{node: n, conn: c, given: make(map[uint32]chan struct{}), over: make(chan struct{})}
	defer s.wg.Wait()
	defer close(s.over)
	for {
		frame, err := in.Next()
		if err != nil {
			return
		}
		m, err := msgrpc.Parse(frame)
		if err != nil {
			return
		}
		if !s.take(m) {
			return
		}
	}
}

type rpcServing struct {
	node *Upstream
	conn net.Conn
	over chan struct{} // the connection has ended
	wg   sync.WaitGroup

	mu    sync.Mutex
	given map[uint32]chan struct{} // closed when a request is cancelled
}

func (s *rpcServing) take(m msgrpc.Message) bool {
	n := s.node
	if m.Kind == msgrpc.Notification && string(m.Method) == msgrpc.MethodCancel {
		n.cancels.Add(1)
		if id, err := msgrpc.ParseCancel(m.Params); err == nil && !n.ignoreCancels.Load() {
			s.mu.Lock()
			if given := s.given[id]; given != nil {
				delete(s.given, id)
				close(given)
			}
			s.mu.Unlock()
		}
		return true
	}
	if m.Kind != msgrpc.Request {
		return true
	}
	id := m.ID
	if string(m.Method) == msgrpc.MethodProbe {
		r := msgrpc.Result{InFlight: float64(n.inFlight.Load())}
		return s.write(r.Append(nil, id))
	}
	c, err := msgrpc.ParseCall(m.Params)
	if err != nil {
		return s.write((&msgrpc.Fault{Kind: msgrpc.KindRejected, Text: err.Error()}).Append(nil, id))
	}
	call := Call{ID: c.ID, Class: c.Class, Tenant: c.Tenant, IdempotencyKey: c.IdempotencyKey, Timeout: c.Timeout, Body: c.Body, Field: func(name string) string { return strings.Join(c.Fields[name], ",") }}
	n.inFlight.Add(1)
	a := n.decide(call)
	if a.Action != Hang && a.Delay == 0 && a.Wait == nil {
		defer n.inFlight.Add(-1)
		return s.act(id, a)
	}
	given := make(chan struct{})
	s.mu.Lock()
	s.given[id] = given
	s.mu.Unlock()
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		defer n.inFlight.Add(-1)
		if a.Action == Hang {
			a.Delay = time.Hour
		}
		t := time.NewTimer(a.Delay)
		defer t.Stop()
		ready := t.C
		if a.Wait != nil {
			waited := make(chan time.Time, 1)
			ready = waited
			s.wg.Go(func() {
				a.Action = a.Wait(given)
				waited <- time.Time{}
			})
		}
		select {
		case <-ready:
			s.mu.Lock()
			delete(s.given, id)
			s.mu.Unlock()
			if !s.act(id, a) {
				s.conn.Close()
			}
		case <-given:
			s.write((&msgrpc.Fault{Kind: msgrpc.KindCancelled}).Append(nil, id))
		case <-s.over:
		case <-n.over:
		}
	}()
	return true
}

// act carries an action out; false ends the connection.
func (s *rpcServing) act(id uint32, a Response) bool {
	served := msgrpc.Result{Body: a.Body, InFlight: -1}
	switch a.Action {
	case Error:
		return s.write((&msgrpc.Fault{Kind: msgrpc.KindError}).Append(nil, id))
	case Reject:
		return s.write((&msgrpc.Fault{Kind: msgrpc.KindNotStarted}).Append(nil, id))
	case Reset:
		s.conn.(*net.TCPConn).SetLinger(0)
		return false
	case Truncate:
		b := served.Append(nil, id)
		s.write(b[:min(a.TruncateAt, len(b)-1)])
		return false
	case Duplicate:
		second := msgrpc.Result{Body: []byte("the second answer"), InFlight: -1}
		return s.write(second.Append(served.Append(nil, id), id))
	case Unsolicited:
		stray := msgrpc.Result{Body: []byte("to nobody"), InFlight: -1}
		return s.write(served.Append(stray.Append(nil, id+1000), id))
	case Malformed:
		s.write([]byte{0xc1, 0xc1, 0xc1})
		return false
	}
	s.node.served.Add(1)
	return s.write(served.Append(nil, id))
}

func (s *rpcServing) write(b []byte) bool {
	_, err := s.conn.Write(b) // one call: pieces of two answers do not mix
	return err == nil
}
