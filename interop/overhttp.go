package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// classes are the request classes of the sidecar's configuration, with the requests that
// clients send. The workers alternate between them.
var classes = []struct{ name, method, body string }{{"read", "GET", ""}, {"entry", "POST", `{"kg":21}`}}

const (
	workers           = 8
	requestsPerWorker = 500
)

// httpOutcome returns the outcome of the request with the given id, from its HTTP response.
func httpOutcome(status int, retryAfter, body, id string) outcome {
	switch {
	case status == 200 && body == "for "+id:
		return served
	case (status == 429 || status == 503) && retryAfter != "":
		return rejected
	case status == 502 || status == 504:
		return requestFailed
	case status >= 400 && status < 500 && body != "":
		return invalidRequest
	}
	return lost
}

// runNetHTTP uses the standard library's client. It sends requests that are served, too
// many slow requests at once, requests that it abandons and requests without a required header.
func runNetHTTP(ctx context.Context, env *environment, t *tally) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 200}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	send := func(ctx context.Context, id string, class int, changeHeader func(http.Header)) {
		t.add(sent)
		c := classes[class]
		req, err := http.NewRequestWithContext(ctx, c.method, "http://"+env.httpAddr+"/api", strings.NewReader(c.body))
		if c.body == "" {
			req, err = http.NewRequestWithContext(ctx, c.method, "http://"+env.httpAddr+"/api", nil)
		}
		if err != nil {
			t.add(lost)
			return
		}
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Class", c.name)
		req.Header.Set("Request-Timeout", "1.5")
		if changeHeader != nil {
			changeHeader(req.Header)
		}
		resp, err := client.Do(req)
		if err != nil {
			if ctx.Err() != nil {
				t.add(abandoned)
			} else {
				t.addLost(err)
			}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.add(lost)
			return
		}
		t.add(httpOutcome(resp.StatusCode, resp.Header.Get("Retry-After"), string(body), id))
	}
	runWorkers(workers, requestsPerWorker, func(_, i int) { send(ctx, env.newRequestID(), i%2, nil) })
	runWorkers(200, 1, func(int, int) { send(ctx, slowPrefix+env.newRequestID(), 0, nil) })
	runWorkers(workers, 10, func(int, int) {
		requestCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		send(requestCtx, slowPrefix+env.newRequestID(), 1, nil)
	})
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout"} {
		send(ctx, env.newRequestID(), 0, func(h http.Header) { h.Del(name) })
	}
	return firstError(
		t.requireAtLeast(served, "served", workers*requestsPerWorker),
		t.requireAtLeast(rejected, "refused", 1),
		t.requireAtLeast(abandoned, "abandoned", workers*10),
		t.requireAtLeast(invalidRequest, "rejected", 3))
}

// runFastHTTP uses an HTTP client that is not based on the standard library's.
func runFastHTTP(_ context.Context, env *environment, t *tally) error {
	// The client retries a request if its reused connection was closed before the first
	// byte of the response, as HTTP expects of clients: the sidecar closes idle connections.
	client := &fasthttp.Client{MaxConnsPerHost: 300}
	defer client.CloseIdleConnections()
	send := func(id string, class int) {
		t.add(sent)
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		c := classes[class]
		req.SetRequestURI("http://" + env.httpAddr + "/api")
		req.Header.SetMethod(c.method)
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Class", c.name)
		req.Header.Set("Request-Timeout", "1.5")
		req.SetBodyString(c.body)
		if err := client.Do(req, resp); err != nil {
			t.addLost(err)
			return
		}
		t.add(httpOutcome(resp.StatusCode(), string(resp.Header.Peek("Retry-After")), string(resp.Body()), id))
	}
	runWorkers(workers, requestsPerWorker, func(_, i int) { send(env.newRequestID(), i%2) })
	runWorkers(200, 1, func(int, int) { send(slowPrefix+env.newRequestID(), 0) })
	return firstError(t.requireAtLeast(served, "served", workers*requestsPerWorker), t.requireAtLeast(rejected, "refused", 1))
}

// runWorkers calls f n times in each of workerCount goroutines and waits for all of them.
func runWorkers(workerCount, n int, f func(worker, i int)) {
	var wg sync.WaitGroup
	for worker := range workerCount {
		wg.Go(func() {
			for i := range n {
				f(worker, i)
			}
		})
	}
	wg.Wait()
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// errorUnless returns an error with the formatted text if ok is false.
func errorUnless(ok bool, format string, args ...any) error {
	if ok {
		return nil
	}
	return fmt.Errorf(format, args...)
}
