package platform

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"mothridge/resolver"
)

// answer is how a call ended or, without an error, how its answer began.
type answer struct {
	id   resolver.CallID
	body io.ReadCloser
	err  error
}

// calls are those that wait for the same answer. Each has a connection of its own, so
// that giving one up frees what it held at once.
type calls struct {
	ctx     context.Context
	url     string
	answers chan answer
	cancels map[resolver.CallID]context.CancelFunc
}

// open calls discovery as the schedule says until a call begins to answer 200. Its error
// is that of the last call that was waited for.
func (d *Discovery) open(ctx context.Context, url string) (io.ReadCloser, error) {
	c := &calls{ctx: ctx, url: url, answers: make(chan answer), cancels: make(map[resolver.CallID]context.CancelFunc)}
	d.schedule.SetHasList(d.listed)
	defer d.schedule.CancelAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			step := d.schedule.Next(time.Since(d.began))
			for _, id := range step.Cancel {
				c.giveUp(id)
			}
			if step.Start {
				c.start(step.Call)
			}
			timer.Reset(step.Wait)
		case a := <-c.answers:
			if a.err == nil {
				d.schedule.CallAnswered(time.Since(d.began), a.id)
				c.keep(a.id)
				return a.body, nil
			}
			c.giveUp(a.id)
			if !d.schedule.CallFailed(a.id) {
				return nil, a.err
			}
		case <-ctx.Done():
			c.keep(0)
			return nil, ctx.Err()
		}
	}
}

// start makes a call in the background.
func (c *calls) start(id resolver.CallID) {
	ctx, cancel := context.WithCancel(c.ctx)
	c.cancels[id] = cancel
	go func() {
		body, err := call(ctx, cancel, c.url)
		select {
		case c.answers <- answer{id, body, err}:
		case <-ctx.Done(): // given up: nobody takes it
			if err == nil {
				body.Close()
			}
		}
	}()
}

// giveUp ends a call.
func (c *calls) giveUp(id resolver.CallID) {
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
		delete(c.cancels, id)
	}
}

// keep ends all calls but one, which lasts as long as its body is open.
func (c *calls) keep(id resolver.CallID) {
	for other, cancel := range c.cancels {
		if other != id {
			cancel()
		}
	}
}

// body is the body of an answer; closing it ends its connection.
type body struct {
	io.ReadCloser
	end func()
}

func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

// call makes one call, over a connection of its own that ends with the context.
func call(ctx context.Context, cancel context.CancelFunc, url string) (io.ReadCloser, error) {
	dialer := &net.Dialer{KeepAlive: -1}
	transport := &http.Transport{
		// net/http would let a connection come up for whoever calls next.
		DialContext: func(_ context.Context, network, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		DisableCompression: true,
	}
	end := func() {
		cancel()
		transport.CloseIdleConnections()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		end()
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	return &body{resp.Body, end}, nil
}
