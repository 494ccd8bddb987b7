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

// callParams returns the parameters of a call of the method "call". The class is an index into classes.
func callParams(id string, class int) map[string]any {
	params := map[string]any{"id": id, "class": classes[class].name, "left_ms": 1500}
	if body := classes[class].body; body != "" {
		params["body"] = []byte(body)
	}
	return params
}

// result is the result of a successful call.
type result struct {
	Body []byte `codec:"body" msgpack:"body"`
}

// rpcErrorOutcome returns the outcome that the text of a MessagePack-RPC error describes.
func rpcErrorOutcome(text string) outcome {
	kind, _, _ := strings.Cut(text, ":")
	kind, pause, _ := strings.Cut(kind, " ")
	switch {
	case kind == "refused" && strings.HasPrefix(pause, "pause_ms="):
		return rejected
	case kind == "failed" || kind == "timeout":
		return requestFailed
	case kind == "rejected":
		return invalidRequest
	case kind == "cancelled":
		return abandoned
	}
	return lost
}

// runUgorji uses the standard library's RPC client over a codec that can decode an error
// only if it is a text. Its calls are interleaved on a connection; some are rejected, one is
// invalid, and some are abandoned by closing their connection.
func runUgorji(ctx context.Context, env *environment, t *tally) error {
	dial := func() (*rpc.Client, error) {
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", env.textErrorsAddr)
		if err != nil {
			return nil, err
		}
		handle := new(codec.MsgpackHandle)
		handle.WriteExt = true // encodes bytes as bin, not as str
		return rpc.NewClientWithCodec(codec.MsgpackSpecRpc.ClientCodec(conn, handle)), nil
	}
	client, err := dial()
	if err != nil {
		return err
	}
	defer client.Close()
	outcomeOf := func(err error, r *result, id string) outcome {
		var serverError rpc.ServerError
		switch {
		case err == nil && string(r.Body) == "for "+id:
			return served
		case errors.As(err, &serverError):
			return rpcErrorOutcome(string(serverError))
		}
		return lost
	}
	call := func(id string, class int) {
		t.add(sent)
		var r result
		t.add(outcomeOf(client.Call("call", callParams(id, class), &r), &r, id))
	}
	var ready bool
	if err := client.Call("ready", codec.MsgpackSpecRpcMultiArgs{}, &ready); err != nil || !ready {
		return fmt.Errorf("ready returned %v, want true: %w", ready, err)
	}
	runWorkers(workers, requestsPerWorker, func(_, i int) { call(env.newRequestID(), i%2) })
	runWorkers(200, 1, func(int, int) { call(slowPrefix+env.newRequestID(), 0) })
	t.add(sent)
	var r result
	t.add(outcomeOf(client.Call("call", map[string]any{"id": "x", "class": "none", "left_ms": 100}, &r), &r, "x"))
	call(env.newRequestID(), 0) // the connection must still work after rejected and invalid calls
	abandoningClient, err := dial()
	if err != nil {
		return err
	}
	var calls []*rpc.Call
	for range 20 {
		t.add(sent)
		calls = append(calls, abandoningClient.Go("call", callParams(slowPrefix+env.newRequestID(), 1), new(result), nil))
	}
	time.Sleep(30 * time.Millisecond)
	abandoningClient.Close()
	for _, c := range calls {
		var serverError rpc.ServerError
		if <-c.Done; c.Error == nil || errors.As(c.Error, &serverError) {
			t.add(lost) // the sidecar responded within 30 ms, although the node takes ten times as long
		} else {
			t.add(abandoned)
		}
	}
	return firstError(
		t.requireAtLeast(served, "served", workers*requestsPerWorker+1),
		t.requireAtLeast(rejected, "refused", 1),
		t.requireAtLeast(invalidRequest, "rejected", 1),
		t.requireAtLeast(abandoned, "abandoned", 20))
}

func runVmihailencoMaps(ctx context.Context, env *environment, t *tally) error {
	return runVmihailenco(ctx, env.mapErrorsAddr, env, t)
}

func runVmihailencoTexts(ctx context.Context, env *environment, t *tally) error {
	return runVmihailenco(ctx, env.textErrorsAddr, env, t)
}

// response is a MessagePack-RPC response as the codec decodes it. Error may be of any type.
type response struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Kind     int
	ID       uint32
	Error    any
	Result   *result
}

// rpcClient is a MessagePack-RPC client over a codec that has no client of its own. It
// matches responses to calls as the MessagePack-RPC specification defines. It is safe for
// concurrent use; one goroutine has to run readResponses.
type rpcClient struct {
	conn    net.Conn
	mu      sync.Mutex // guards the fields below
	encoder *msgpack.Encoder
	writer  *bufio.Writer

	lastID  uint32
	pending map[uint32]chan *response // by message id; nil after the connection has ended
}

func (c *rpcClient) send(message ...any) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.encoder.Encode(message); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readResponses passes each response to the call that waits for it, until the connection ends.
func (c *rpcClient) readResponses() {
	decoder := msgpack.NewDecoder(bufio.NewReader(c.conn))
	for {
		r := new(response)
		err := decoder.Decode(r)
		c.mu.Lock()
		if err != nil {
			for _, done := range c.pending {
				close(done)
			}
			c.pending = nil
			c.mu.Unlock()
			return
		}
		done := c.pending[r.ID]
		delete(c.pending, r.ID)
		c.mu.Unlock()
		if done != nil {
			done <- r
		}
	}
}

// begin sends a call and returns its message id and a channel that receives its response.
// The channel is closed if the connection ends before the response.
func (c *rpcClient) begin(params any) (uint32, <-chan *response, error) {
	done := make(chan *response, 1)
	c.mu.Lock()
	if c.pending == nil {
		c.mu.Unlock()
		return 0, nil, net.ErrClosed
	}
	c.lastID++
	id := c.lastID
	c.pending[id] = done
	c.mu.Unlock()
	return id, done, c.send(0, id, "call", []any{params})
}

// runVmihailenco uses a codec of another author than runUgorji. Its calls are interleaved
// on a connection; some are rejected, one is invalid, and some are cancelled.
func runVmihailenco(ctx context.Context, addr string, env *environment, t *tally) error {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	writer := bufio.NewWriter(conn)
	client := &rpcClient{conn: conn, encoder: msgpack.NewEncoder(writer), writer: writer, pending: make(map[uint32]chan *response)}
	go client.readResponses()
	outcomeOf := func(r *response, id string) outcome {
		if r == nil {
			return lost
		}
		switch rpcError := r.Error.(type) {
		case nil:
			if r.Result != nil && string(r.Result.Body) == "for "+id {
				return served
			}
		case string:
			return rpcErrorOutcome(rpcError)
		case map[string]any:
			text := fmt.Sprint(rpcError["kind"])
			if rpcError["pause_ms"] != nil {
				text += fmt.Sprint(" pause_ms=", rpcError["pause_ms"])
			}
			return rpcErrorOutcome(text)
		}
		return lost
	}
	callWith := func(id string, params map[string]any) {
		t.add(sent)
		_, done, err := client.begin(params)
		if err != nil {
			t.add(lost)
			return
		}
		t.add(outcomeOf(<-done, id))
	}
	call := func(id string, class int) { callWith(id, callParams(id, class)) }
	runWorkers(workers, requestsPerWorker, func(_, i int) { call(env.newRequestID(), i%2) })
	runWorkers(200, 1, func(int, int) { call(slowPrefix+env.newRequestID(), 0) })
	callWith("x", map[string]any{"id": "x", "class": "none", "left_ms": 100})
	runWorkers(20, 1, func(int, int) {
		t.add(sent)
		id := slowPrefix + env.newRequestID()
		messageID, done, err := client.begin(callParams(id, 1))
		if err == nil {
			time.Sleep(30 * time.Millisecond)
			err = client.send(2, "cancel", []any{messageID})
		}
		if err != nil {
			t.add(lost)
			return
		}
		t.add(outcomeOf(<-done, id))
	})
	call(env.newRequestID(), 0)
	return firstError(
		t.requireAtLeast(served, "served", workers*requestsPerWorker+1),
		t.requireAtLeast(rejected, "refused", 1),
		t.requireAtLeast(invalidRequest, "rejected", 1),
		t.requireAtLeast(abandoned, "abandoned", 20))
}
