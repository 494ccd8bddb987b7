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

// classes take turns.
var classes = []struct{ name, method, body string }{{"read", "GET", ""}, {"entry", "POST", `{"kg":21}`}}

const (
	workers = 8
	each    = 500
)

// outcome is what an HTTP answer means.
func outcome(status int, retryAfter, body, id string) ending {
	switch {
	case status == 200 && body == "for "+id:
		return served
	case (status == 429 || status == 503) && retryAfter != "":
		return refused
	case status == 502 || status == 504:
		return failedOnce
	case status >= 400 && status < 500 && body != "":
		return rejected
	}
	return lost
}

// netHTTP asks by the standard library's client: served ones, too many at once,
// abandoned ones and wrong ones.
func netHTTP(ctx context.Context, w *world, t *tally) error {
	transport := &http.Transport{MaxIdleConnsPerHost: 200}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	ask := func(ctx context.Context, id string, class int, change func(http.Header)) {
		t.add(asked)
		c := classes[class]
		req, err := http.NewRequestWithContext(ctx, c.method, "http://"+w.http+"/api", strings.NewReader(c.body))
		if c.body == "" {
			req, err = http.NewRequestWithContext(ctx, c.method, "http://"+w.http+"/api", nil)
		}
		if err != nil {
			t.add(lost)
			return
		}
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Class", c.name)
		req.Header.Set("Request-Timeout", "1.5")
		if change != nil {
			change(req.Header)
		}
		resp, err := client.Do(req)
		if err != nil {
			if ctx.Err() != nil {
				t.add(abandoned)
			} else {
				t.lose(err)
			}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.add(lost)
			return
		}
		t.add(outcome(resp.StatusCode, resp.Header.Get("Retry-After"), string(body), id))
	}
	together(workers, each, func(_, i int) { ask(ctx, w.id(), i%2, nil) })
	together(200, 1, func(int, int) { ask(ctx, slow+w.id(), 0, nil) })
	together(workers, 10, func(int, int) {
		left, leave := context.WithTimeout(ctx, 50*time.Millisecond)
		defer leave()
		ask(left, slow+w.id(), 1, nil)
	})
	for _, name := range []string{"Request-Id", "Request-Class", "Request-Timeout"} {
		ask(ctx, w.id(), 0, func(h http.Header) { h.Del(name) })
	}
	return firstOf(t.want(served, "served", workers*each), t.want(refused, "refused", 1), t.want(abandoned, "abandoned", workers*10), t.want(rejected, "rejected", 3))
}

// fastHTTP asks by a client that is not the standard library's.
func fastHTTP(_ context.Context, w *world, t *tally) error {
	// It tries again where a kept connection was closed before a byte came back, as
	// the protocol asks of clients: the sidecar closes what is idle.
	client := &fasthttp.Client{MaxConnsPerHost: 300}
	defer client.CloseIdleConnections()
	ask := func(id string, class int) {
		t.add(asked)
		req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		defer fasthttp.ReleaseRequest(req)
		defer fasthttp.ReleaseResponse(resp)
		c := classes[class]
		req.SetRequestURI("http://" + w.http + "/api")
		req.Header.SetMethod(c.method)
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Class", c.name)
		req.Header.Set("Request-Timeout", "1.5")
		req.SetBodyString(c.body)
		if err := client.Do(req, resp); err != nil {
			t.lose(err)
			return
		}
		t.add(outcome(resp.StatusCode(), string(resp.Header.Peek("Retry-After")), string(resp.Body()), id))
	}
	together(workers, each, func(_, i int) { ask(w.id(), i%2) })
	together(200, 1, func(int, int) { ask(slow+w.id(), 0) })
	return firstOf(t.want(served, "served", workers*each), t.want(refused, "refused", 1))
}

// together calls f n times by each of so many workers.
func together(workers, n int, f func(worker, i int)) {
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := range n {
				f(worker, i)
			}
		})
	}
	wg.Wait()
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// must makes an error of what is not so.
func must(is bool, format string, args ...any) error {
	if is {
		return nil
	}
	return fmt.Errorf(format, args...)
}
