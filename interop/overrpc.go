package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/ugorji/go/codec"
	"github.com/vmihailenco/msgpack/v5"
)

// params are a call's.
func params(id string, class int) map[string]any {
	p := map[string]any{"id": id, "class": classes[class].name, "left_ms": 1500}
	if body := classes[class].body; body != "" {
		p["body"] = []byte(body)
	}
	return p
}

// result is a good answer.
type result struct {
	Body []byte `codec:"body" msgpack:"body"`
}

// ofText is what an error as a text means.
func ofText(s string) ending {
	kind, _, _ := strings.Cut(s, ":")
	kind, pause, _ := strings.Cut(kind, " ")
	switch {
	case kind == "refused" && strings.HasPrefix(pause, "pause_ms="):
		return refused
	case kind == "failed" || kind == "timeout":
		return failedOnce
	case kind == "rejected":
		return rejected
	case kind == "cancelled":
		return abandoned
	}
	return lost
}

// ugorji asks by the standard library's RPC client over a codec that reads no
// error but a text: interleaved, refused, rejected, and abandoned by closing.
func ugorji(ctx context.Context, w *world, t *tally) error {
	dial := func() (*rpc.Client, error) {
		nc, err := new(net.Dialer).DialContext(ctx, "tcp", w.texts)
		if err != nil {
			return nil, err
		}
		h := new(codec.MsgpackHandle)
		h.WriteExt = true // bytes as bytes, not as texts
		return rpc.NewClientWithCodec(codec.MsgpackSpecRpc.ClientCodec(nc, h)), nil
	}
	client, err := dial()
	if err != nil {
		return err
	}
	defer client.Close()
	ended := func(err error, r *result, id string) ending {
		var told rpc.ServerError
		switch {
		case err == nil && string(r.Body) == "for "+id:
			return served
		case errors.As(err, &told):
			return ofText(string(told))
		}
		return lost
	}
	ask := func(id string, class int) {
		t.add(asked)
		var r result
		t.add(ended(client.Call("call", params(id, class), &r), &r, id))
	}
	var ready bool
	if err := client.Call("ready", codec.MsgpackSpecRpcMultiArgs{}, &ready); err != nil || !ready {
		return fmt.Errorf("ready: %v, %w", ready, err)
	}
	together(workers, each, func(_, i int) { ask(w.id(), i%2) })
	together(200, 1, func(int, int) { ask(slow+w.id(), 0) })
	t.add(asked)
	var r result
	t.add(ended(client.Call("call", map[string]any{"id": "x", "class": "none", "left_ms": 100}, &r), &r, "x"))
	ask(w.id(), 0) // the connection has outlived refusals and a rejection
	leaving, err := dial()
	if err != nil {
		return err
	}
	var calls []*rpc.Call
	for range 20 {
		t.add(asked)
		calls = append(calls, leaving.Go("call", params(slow+w.id(), 1), new(result), nil))
	}
	time.Sleep(30 * time.Millisecond)
	leaving.Close()
	for _, c := range calls {
		var told rpc.ServerError
		if <-c.Done; c.Error == nil || errors.As(c.Error, &told) {
			t.add(lost) // answered after 30 ms, though its node takes ten times that
		} else {
			t.add(abandoned)
		}
	}
	return firstOf(t.want(served, "served", workers*each+1), t.want(refused, "refused", 1), t.want(rejected, "rejected", 1), t.want(abandoned, "abandoned", 20))
}

func vmihailencoMaps(ctx context.Context, w *world, t *tally) error {
	return vmihailenco(ctx, w.maps, w, t)
}

func vmihailencoTexts(ctx context.Context, w *world, t *tally) error {
	return vmihailenco(ctx, w.texts, w, t)
}

// response is one, as the codec reads it: an error is any object.
type response struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Kind     int
	ID       uint32
	Error    any
	Result   *result
}

// rpcClient is a client over a codec alone; its loop is the specification's.
type rpcClient struct {
	nc  net.Conn
	mu  sync.Mutex
	enc *msgpack.Encoder
	out *bufio.Writer

	last uint32
	open map[uint32]chan *response
}

func (c *rpcClient) send(message ...any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.enc.Encode(message); err != nil {
		return err
	}
	return c.out.Flush()
}

// read hands answers to those who wait for them, until the connection ends.
func (c *rpcClient) read() {
	d := msgpack.NewDecoder(bufio.NewReader(c.nc))
	for {
		r := new(response)
		err := d.Decode(r)
		c.mu.Lock()
		if err != nil {
			for _, done := range c.open {
				close(done)
			}
			c.open = nil
			c.mu.Unlock()
			return
		}
		done := c.open[r.ID]
		delete(c.open, r.ID)
		c.mu.Unlock()
		if done != nil {
			done <- r
		}
	}
}

// begin sends a call; its answer comes on the channel, which closes where none can.
func (c *rpcClient) begin(params any) (uint32, <-chan *response, error) {
	done := make(chan *response, 1)
	c.mu.Lock()
	if c.open == nil {
		c.mu.Unlock()
		return 0, nil, net.ErrClosed
	}
	c.last++
	id := c.last
	c.open[id] = done
	c.mu.Unlock()
	return id, done, c.send(0, id, "call", []any{params})
}

// vmihailenco asks by another author's codec: interleaved, refused, rejected and
// cancelled.
func vmihailenco(ctx context.Context, addr string, w *world, t *tally) error {
	nc, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer nc.Close()
	out := bufio.NewWriter(nc)
	c := &rpcClient{nc: nc, enc: msgpack.NewEncoder(out), out: out, open: make(map[uint32]chan *response)}
	go c.read()
	end := func(r *response, id string) ending {
		if r == nil {
			return lost
		}
		switch e := r.Error.(type) {
		case nil:
			if r.Result != nil && string(r.Result.Body) == "for "+id {
				return served
			}
		case string:
			return ofText(e)
		case map[string]any:
			s := fmt.Sprint(e["kind"])
			if e["pause_ms"] != nil {
				s += fmt.Sprint(" pause_ms=", e["pause_ms"])
			}
			return ofText(s)
		}
		return lost
	}
	ask := func(id string, p map[string]any) {
		t.add(asked)
		_, done, err := c.begin(p)
		if err != nil {
			t.add(lost)
			return
		}
		t.add(end(<-done, id))
	}
	call := func(id string, class int) { ask(id, params(id, class)) }
	together(workers, each, func(_, i int) { call(w.id(), i%2) })
	together(200, 1, func(int, int) { call(slow+w.id(), 0) })
	ask("x", map[string]any{"id": "x", "class": "none", "left_ms": 100})
	together(20, 1, func(int, int) {
		t.add(asked)
		id := slow + w.id()
		msgid, done, err := c.begin(params(id, 1))
		if err == nil {
			time.Sleep(30 * time.Millisecond)
			err = c.send(2, "cancel", []any{msgid})
		}
		if err != nil {
			t.add(lost)
			return
		}
		t.add(end(<-done, id))
	})
	call(w.id(), 0)
	return firstOf(t.want(served, "served", workers*each+1), t.want(refused, "refused", 1), t.want(rejected, "rejected", 1), t.want(abandoned, "abandoned", 20))
}
