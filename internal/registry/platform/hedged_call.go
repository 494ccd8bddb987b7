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

// MaxConnections is the maximum number of connections that a Discovery has at a time: one for a
// call and one for its hedge.
const MaxConnections = 2

// call sends a GET request for url to discovery, hedged as the schedule decides, until a call is
// answered with status 200. It returns the body of that response; closing the body ends the call.
// If all running calls have failed, it returns the error of the last one; if ctx is done, the
// error of ctx.
func (d *Discovery) call(ctx context.Context, url string) (io.ReadCloser, error) {
	calls := &hedgedCall{
		url:     url,
		results: make(chan callResult),
		cancels: make(map[resolver.CallID]context.CancelFunc),
	}
	d.schedule.SetHasList(d.hasList)
	defer d.schedule.CancelAll()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			step := d.schedule.Next(time.Since(d.startedAt))
			calls.apply(ctx, step)
			timer.Reset(step.Wait)
		case result := <-calls.results:
			if result.err == nil {
				d.schedule.CallResponded(time.Since(d.startedAt), result.id)
				calls.cancelAllBut(result.id)
				return result.body, nil
			}
			calls.cancel(result.id)
			if anotherRunning := d.schedule.CallFailed(result.id); !anotherRunning {
				return nil, result.err
			}
		case <-ctx.Done():
			calls.cancelAllBut(noCallID)
			return nil, ctx.Err()
		}
	}
}

// noCallID is an ID that a schedule never assigns to a call.
const noCallID resolver.CallID = 0

// hedgedCall is a set of calls for the same URL, of which the first successful response is used.
// Each call has its own connection, so that canceling the call frees its resources immediately.
// Only the goroutine of Discovery.call uses a hedgedCall. Each call runs in its own goroutine,
// which ends once its result has been received or the call has been canceled.
type hedgedCall struct {
	url     string
	results chan callResult
	cancels map[resolver.CallID]context.CancelFunc
}

// callResult is the outcome of a call: its error, or the body of its response.
type callResult struct {
	id   resolver.CallID
	body io.ReadCloser
	err  error
}

// apply cancels and starts the calls that the schedule decided to cancel and start.
func (c *hedgedCall) apply(ctx context.Context, step resolver.Step) {
	for _, id := range step.Cancel {
		c.cancel(id)
	}
	if step.Start {
		c.start(ctx, step.Call)
	}
}

func (c *hedgedCall) start(ctx context.Context, id resolver.CallID) {
	ctx, cancel := context.WithCancel(ctx)
	c.cancels[id] = cancel
	go func() {
		body, err := get(ctx, cancel, c.url)
		select {
		case c.results <- callResult{id: id, body: body, err: err}:
		case <-ctx.Done():
			if err == nil {
				body.Close()
			}
		}
	}()
}

func (c *hedgedCall) cancel(id resolver.CallID) {
	if cancel := c.cancels[id]; cancel != nil {
		cancel()
		delete(c.cancels, id)
	}
}

// cancelAllBut cancels all calls except the call id. That call lasts until its body is closed.
func (c *hedgedCall) cancelAllBut(id resolver.CallID) {
	for other, cancel := range c.cancels {
		if other != id {
			cancel()
		}
	}
}

// statusError is the error for a response with a status other than 200.
type statusError int

// Error returns a text with the status code.
func (status statusError) Error() string { return fmt.Sprintf("unexpected status %d", int(status)) }

// get makes one call on its own connection, which is closed when ctx is done, and returns the
// body of the response. Closing the body calls cancel.
func get(ctx context.Context, cancel context.CancelFunc, url string) (io.ReadCloser, error) {
	transport := newTransport(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, errors.Join(err, context.Cause(ctx))
	}
	endCall := func() {
		cancel()
		transport.CloseIdleConnections()
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		endCall()
		return nil, statusError(response.StatusCode)
	}
	return &responseBody{ReadCloser: response.Body, endCall: endCall}, nil
}

// newTransport returns a transport for one call. It dials with the context of the call, because
// net/http would otherwise continue to dial after the end of the call, to keep the connection
// for a later call.
func newTransport(ctx context.Context) *http.Transport {
	dialer := &net.Dialer{KeepAlive: -1}
	return &http.Transport{
		DialContext: func(_ context.Context, network, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		DisableCompression: true,
	}
}

// responseBody is a response body whose Close also ends the call.
type responseBody struct {
	io.ReadCloser
	endCall func()
}

// Close closes the body and ends the call and its connection.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.endCall()
	return err
}
