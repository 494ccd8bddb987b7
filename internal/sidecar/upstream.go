package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mothridge/policy"
)

// maxBody is what a request may hold.
const maxBody = 64 << 10

// What is read for one answer is bounded. Upstreams send bodies of several times
// what the protocol names; 1 MiB of them can be held for as many as are out.
const (
	maxAnswerHead = 128 << 10 // interim answers included
	maxAnswerBody = 1 << 20
)

// trusted is how much is set aside for a body on the word of its length alone.
const trusted = 8 << 10

// maxReport bounds the body of a probe's answer that is looked at.
const maxReport = 4 << 10

// attempt is one try of a request at one upstream. The event loop makes it; a
// goroutine of its own carries it out and reports its end once.
type attempt struct {
	req    *request
	number int
	to     *peer
	ctx    context.Context // ends when the attempt is given up
	cancel context.CancelFunc
}

// answer is what a client gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	pause  time.Duration // refused: how long to stay away
}

// upstreams carries out attempts and probes over one pool of connections.
type upstreams struct {
	pool      *pool
	loadField string
	statsPath string
}

// try carries an attempt out. What it returns follows the protocol's table: as
// long as the request's last byte has not been written, it never ran.
func (u *upstreams) try(a *attempt) (policy.Ending, *answer) {
	defer a.cancel()
	var resp *http.Response
	var body []byte
	wrote := false
	c, err := u.pool.get(a.ctx, a.to)
	if err == nil {
		resp, body, wrote, err = u.exchange(a.ctx, c, a.req.outgoing(a.ctx))
	}
	switch {
	case err != nil && !wrote && errors.Is(a.ctx.Err(), context.Canceled):
		return policy.NotSent, nil // no word against the upstream: nobody waited for it any more
	case err != nil && !wrote:
		return policy.NoConnection, nil
	case err != nil && errors.Is(a.ctx.Err(), context.Canceled):
		return policy.Cancelled, nil
	case err != nil && errors.Is(a.ctx.Err(), context.DeadlineExceeded):
		return policy.TimedOut, nil
	case err != nil:
		return policy.Broken, nil
	case resp.StatusCode == http.StatusOK:
		return policy.Served, &answer{status: http.StatusOK, header: resp.Header, body: body}
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Not-Started") == "1":
		return policy.TurnedAway, nil
	}
	return policy.Errored, nil
}

// exchange writes one request and reads the whole answer. It takes the
// connection over: back to the pool where it can be used again, closed where
// not, and closed at once when ctx ends. wrote tells whether the request's last
// byte was written; only then can an upstream have begun it.
func (u *upstreams) exchange(ctx context.Context, c *conn, req *http.Request) (
	resp *http.Response, body []byte, wrote bool, err error,
) {
	c.limit.N = maxAnswerHead
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		// If stop comes too late the connection is closed, or about to be.
		if stop() && err == nil && !resp.Close && c.r.Buffered() == 0 {
			u.pool.put(c)
		} else {
			u.pool.drop(c)
		}
	}()
	c.out.Reset()
	if err := req.Write(&c.out); err != nil {
		return nil, nil, false, fmt.Errorf("build request: %w", err)
	}
	// An attempt that was called off by now must write nothing.
	if err := ctx.Err(); err != nil {
		return nil, nil, false, err
	}
	if n, err := c.Write(c.out.Bytes()); n < c.out.Len() {
		return nil, nil, false, fmt.Errorf("write request: %w", err)
	}
	for informational := 0; ; informational++ {
		if resp, err = http.ReadResponse(c.r, req); err != nil {
			return nil, nil, true, fmt.Errorf("read answer: %w", err)
		}
		if resp.StatusCode >= 200 {
			break
		}
		if informational == 5 || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, true, fmt.Errorf("read answer: unexpected status %d", resp.StatusCode)
		}
	}
	c.limit.N = maxAnswerBody
	// The body is not closed: that would read on in one that is too large. What
	// is not read to its end ends with its connection.
	if body, err = readBody(resp); err != nil {
		return nil, nil, true, fmt.Errorf("read answer: %w", err)
	}
	return resp, body, true, nil
}

// readBody reads an answer's body if the answer proves to be whole: by one
// valid length of its own. net/http drops a Content-Length beside a
// Transfer-Encoding, and the two may name different ends; a body that ends with
// its connection may have been cut anywhere.
func readBody(resp *http.Response) ([]byte, error) {
	switch n := resp.ContentLength; {
	case len(resp.TransferEncoding) > 0 || n < 0:
		return nil, errors.New("no length")
	case n > maxAnswerBody:
		return nil, errors.New("body too large")
	}
	return readExactly(resp.Body, resp.ContentLength)
}

// readExactly reads n bytes. A length that somebody claims takes little memory
// before bytes have come, and their rest is set aside at once: growing step by
// step would copy a large body over and over.
func readExactly(r io.Reader, n int64) ([]byte, error) {
	b := make([]byte, min(n, trusted))
	if _, err := io.ReadFull(r, b); err != nil || n <= trusted {
		return b, err
	}
	b = append(make([]byte, 0, n), b...)[:n]
	_, err := io.ReadFull(r, b[trusted:])
	return b, err
}

// outgoing is the client's request as it goes to an upstream: unchanged, but for
// how long the sidecar will wait.
func (r *request) outgoing(ctx context.Context) *http.Request {
	out := &http.Request{
		Method: r.method, URL: r.url, Host: r.host, Header: maps.Clone(r.header),
		ContentLength: int64(len(r.body)),
	}
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	if until, ok := ctx.Deadline(); ok {
		left := max(time.Until(until), time.Millisecond)
		out.Header["Request-Timeout"] = []string{seconds(left)}
	}
	return out
}

// seconds writes a duration as seconds with decimals.
func seconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }

// probe asks an upstream for a sign of life and its load. Without any answer in
// the time that a connection may take to come up, it has failed.
func (u *upstreams) probe(ctx context.Context, to *peer) (ok bool, load policy.Load) {
	load.InFlight = -1
	ctx, cancel := context.WithTimeout(ctx, u.pool.dialTimeout)
	defer cancel()
	c, err := u.pool.get(ctx, to)
	if err != nil {
		return false, load
	}
	req := &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: u.statsPath}, Host: to.addr,
		Header: http.Header{"User-Agent": {""}},
	}
	resp, body, _, err := u.exchange(ctx, c, req)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false, load
	}
	report := resp.Header.Get("Server-Load")
	if report == "" {
		report = string(body[:min(len(body), maxReport)])
	}
	return true, policy.Load{InFlight: u.inFlight(report)}
}

// inFlight takes the number of requests held out of a report of the form
// 'TEXT name=value, name=value'; it is negative where the report lacks it.
func (u *upstreams) inFlight(report string) float64 {
	report, _ = strings.CutPrefix(strings.TrimSpace(report), "TEXT ")
	for field := range strings.SplitSeq(report, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if name != u.loadField || name == "" {
			continue
		}
		if n, err := strconv.ParseFloat(value, 64); err == nil && n >= 0 && !math.IsInf(n, 0) {
			return n
		}
	}
	return -1
}
