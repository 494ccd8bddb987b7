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

// MaxConnections is how many connections a Discovery has at a time: a call and its hedge.
const MaxConnections = 2

// call calls discovery, with hedges as the schedule has them, until a call is answered with
// status 200. It returns that response's body; closing it ends the call. The error is that of
// the last call that failed, or of ctx.
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
				d.schedule.CallAnswered(time.Since(d.startedAt), result.id)
				calls.cancelAllBut(result.id)
				return result.body, nil
			}
			calls.cancel(result.id)
			if anotherRuns := d.schedule.CallFailed(result.id); !anotherRuns {
				return nil, result.err
			}
		case <-ctx.Done():
			calls.cancelAllBut(noCall)
			return nil, ctx.Err()
		}
	}
}

// noCall is the ID of no call of a schedule.
const noCall resolver.CallID = 0

// hedgedCall is a set of calls of which the first answer counts. Each call has a connection of
// its own, so that canceling it frees its resources at once. Discovery.call's goroutine alone
// uses it; each call runs in a goroutine, which ends once its result is taken or it is cancelled.
type hedgedCall struct {
	url     string
	results chan callResult
	cancels map[resolver.CallID]context.CancelFunc
}

// callResult is a call's error, or the body of its response.
type callResult struct {
	id   resolver.CallID
	body io.ReadCloser
	err  error
}

// apply does what the schedule decided.
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

// cancelAllBut cancels all calls but one, which lasts until its body is closed.
func (c *hedgedCall) cancelAllBut(id resolver.CallID) {
	for other, cancel := range c.cancels {
		if other != id {
			cancel()
		}
	}
}

// statusError is a response with a status other than 200.
type statusError int

// Error names the status.
func (status statusError) Error() string { return fmt.Sprintf("status %d", int(status)) }

// get makes one call on a connection of its own, which ends with ctx, and returns the body of
// the response. Closing that calls cancel.
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

// newTransport returns a transport for one call. It dials with the call's context: net/http
// would go on dialing after the call's end, for a later one.
func newTransport(ctx context.Context) *http.Transport {
	dialer := &net.Dialer{KeepAlive: -1}
	return &http.Transport{
		DialContext: func(_ context.Context, network, addr string) (net.Conn, error) {
			return dialer.DialContext(ctx, network, addr)
		},
		DisableCompression: true,
	}
}

// responseBody ends its call when it is closed.
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
