package httpnode

import (
	"io"
	"strings"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
	"mothridge/policy"
)

// responseCase is a response of an upstream and the expected result of the attempt that receives it.
type responseCase struct {
	text  string
	close bool // the upstream closes the connection after the text
	want  policy.AttemptResult
}

var okResponse = peertest.Response200("honey")

// The result of an attempt for each kind of response that the protocol defines: whether the response
// is complete, and whether the request may have run. TestResponsesWithoutALength covers the other
// responses that end at the close of the connection.
func TestAttemptResults(t *testing.T) {
	const twoEqualLengths = statusOK + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhoney"
	for name, test := range map[string]responseCase{
		"served":                       {text: okResponse, want: policy.Served},
		"two equal lengths":            {text: twoEqualLengths, want: policy.Served},
		"followed by another response": {text: okResponse + peertest.Response200("again"), want: policy.Served},
		"no length, then closed":       {text: responseWithoutLength, close: true, want: policy.Served},
		"error":                        {text: "HTTP/1.1 500 x\r\n" + emptyBody, want: policy.ServerError},
		"rejected with 503":            {text: "HTTP/1.1 503 x\r\n" + notStartedField + emptyBody, want: policy.Rejected},
		"rejected with 504":            {text: "HTTP/1.1 504 x\r\n" + notStartedField + emptyBody, want: policy.Rejected},
		"503 may have run":             {text: "HTTP/1.1 503 x\r\n" + emptyBody, want: policy.ServerError},
		"504 with another value":       {text: "HTTP/1.1 504 x\r\nNot-Started: 0\r\n" + emptyBody, want: policy.ServerError},
		"500 with Not-Started":         {text: "HTTP/1.1 500 x\r\n" + notStartedField + emptyBody, want: policy.ServerError},
		"429 may have run":             {text: "HTTP/1.1 429 x\r\n" + emptyBody, want: policy.ServerError},
		"interim response":             {text: "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, want: policy.Served},
		"two interim responses": {
			text: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + okResponse,
			want: policy.Served,
		},
	} {
		t.Run(name, func(t *testing.T) { checkAttemptResult(t, test) })
	}
}

// A chunked response is complete only if its last chunk was received and its head specifies no other
// length.
func TestChunkedResponses(t *testing.T) {
	const (
		complete          = chunkedHead + firstChunk + lastChunk
		severalChunks     = "2;a=b\r\nho\r\n3\r\nney\r\n0\r\nX-Sum: 1\r\n\r\n"
		lengthAfterChunks = statusOK + "transfer-encoding: chunked\r\nCONTENT-LENGTH: 5\r\n\r\n"
		lengthFirst       = statusOK + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
	)
	tooLarge := "200000\r\n" + strings.Repeat("x", 0x200000) + "\r\n"
	for name, test := range map[string]responseCase{
		"one chunk":                    {text: complete, want: policy.Served},
		"several chunks and a trailer": {text: earlyHints + chunkedHead + severalChunks, want: policy.Served},
		"followed by another response": {text: complete + peertest.Response200("again"), want: policy.Served},
		"without the last chunk":       {text: chunkedHead + firstChunk, close: true, want: policy.ConnectionReset},
		"last chunk without its end":   {text: chunkedHead + firstChunk + "0\r\n", close: true, want: policy.ConnectionReset},
		"too large":                    {text: chunkedHead + tooLarge + lastChunk, want: policy.ConnectionReset},
		"chunked, then a length":       {text: lengthAfterChunks + firstChunk + lastChunk, want: policy.ConnectionReset},
		"a length, then chunked":       {text: lengthFirst + firstChunk + lastChunk, want: policy.ConnectionReset},
		"a blank before the colon":     {text: statusOK + "Content-Length : 3\r\nTransfer-Encoding: chunked\r\n\r\n" + firstChunk + lastChunk, want: policy.ConnectionReset},
		"a length before, misplaced": {
			text: "HTTP/1.1 100 x\r\nContent-Length: 5\r\n\r\n" + lengthFirst + firstChunk + lastChunk, want: policy.ConnectionReset,
		},
		"an interim response with a length": {text: "HTTP/1.1 103 x\r\nContent-Length: 5\r\n\r\n" + complete, want: policy.Served},
		"invalid chunk size":                {text: chunkedHead + firstChunk + "zz\r\n", want: policy.ConnectionReset},
		"truncated chunk":                   {text: chunkedHead + "5\r\nho", close: true, want: policy.ConnectionReset},
	} {
		t.Run(name, func(t *testing.T) { checkAttemptResult(t, test) })
	}
}

// An invalid, truncated or oversized response ends the attempt as a connection reset.
func TestInvalidResponses(t *testing.T) {
	const twoLengths = statusOK + "Content-Length: 3\r\nContent-Length: 5\r\n\r\nhoney"
	const withoutColon = statusOK + "no colon here\r\nContent-Length: 5\r\n\r\nhoney"
	tooLarge := peertest.Response200(strings.Repeat("x", maxResponseBodyBytes+1))
	endlessHead := statusOK + "X: " + strings.Repeat("x", 2*maxResponseHeadBytes)
	for name, test := range map[string]responseCase{
		"two lengths":            {text: twoLengths},
		"negative length":        {text: statusOK + "Content-Length: -1\r\n\r\nhoney"},
		"lengths with a blank":   {text: statusOK + "Content-Length : 3\r\nContent-Length: 5\r\n\r\nhoney"},
		"invalid status":         {text: "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nhoney"},
		"another protocol":       {text: "ICY 200 OK\r\nContent-Length: 5\r\n\r\nhoney"},
		"line without a colon":   {text: withoutColon},
		"Content-Length of 3 GB": {text: statusOK + "Content-Length: 3000000000\r\n\r\nhoney"},
		"no response":            {close: true},
		"truncated body":         {text: statusOK + "Content-Length: 10\r\n\r\nhoney", close: true},
		"not HTTP":               {text: "hello\r\n\r\n", close: true},
		"too large":              {text: tooLarge},
		"endless head":           {text: endlessHead},
	} {
		test.want = policy.ConnectionReset
		t.Run(name, func(t *testing.T) { checkAttemptResult(t, test) })
	}
}

// checkAttemptResult performs an attempt that gets the response of test, and checks the result.
func checkAttemptResult(t *testing.T, test responseCase) {
	t.Helper()
	server := peertest.NewUpstream(t, func(peertest.ReceivedRequest) (string, bool) { return test.text, test.close })
	got, response := roundTrip(t.Context(), newTestUpstream(newTestPool(2), server.Addr))
	if got != test.want {
		t.Errorf("got result %v, want %v", got, test.want)
	}
	if (response != nil) != (test.want == policy.Served) || response != nil && string(response.Body) != "honey" {
		t.Errorf("got response %+v, want the body honey if served, else none", response)
	}
	request := peertest.Await(t, "the request", server.Requests)
	if request.BodyText != "{}" || request.Header.Get("Request-Id") != "x" {
		t.Errorf("upstream: got header %v, body %q; want Request-Id x, body {}", request.Header, request.BodyText)
	}
}

// A response that is too large ends its attempt as soon as the limit is exceeded. The attempt must not
// wait for the rest of the body.
func TestTooLargeResponseEndsTheAttemptEarly(t *testing.T) {
	text := peertest.Response200(strings.Repeat("x", maxResponseBodyBytes+2))
	server := peertest.NewUpstream(t, peertest.RespondWith(text[:len(text)-1])) // the last byte is never sent
	if got, _ := roundTrip(t.Context(), newTestUpstream(newTestPool(2), server.Addr)); got != policy.ConnectionReset {
		t.Errorf("got result %v, want connection reset", got)
	}
	peertest.Await(t, "the connection to close", server.Closed)
}

// surplusWrite describes surplus bytes that an upstream writes some time after a response.
type surplusWrite struct {
	idleSince time.Time        // when the connection of the response became idle
	writtenAt <-chan time.Time // receives the time right after the write
}

// writeLater writes text on a request's connection, whose exchange has ended, after a pause of 5 ms or, on a busy machine, later.
func writeLater(upstream *httpUpstream, request peertest.ReceivedRequest, text string) *surplusWrite {
	upstream.meanExchangeTime = fastExchangeTime // the next attempt waits until the reuseDelay has passed
	writtenAt := make(chan time.Time, 1)
	time.AfterFunc(5*time.Millisecond, func() {
		io.WriteString(request.Conn, text)
		writtenAt <- time.Now()
	})
	return &surplusWrite{upstream.idle[len(upstream.idle)-1].idleSince, writtenAt}
}

// isLate reports whether the bytes may have been written after the reuseDelay, within which the transport notices them.
func (write *surplusWrite) isLate(t *testing.T) bool {
	t.Helper()
	lateness := peertest.Await(t, "the write of surplus bytes", write.writtenAt).Sub(write.idleSince)
	if lateness >= reuseDelay {
		t.Logf("surplus bytes were written %v after the response", lateness)
	}
	return lateness >= reuseDelay
}

// An upstream may send surplus bytes after a response, at once or some milliseconds later. These
// bytes must not be used as the response to the next request.
func TestSurplusBytesAreNotUsedAsResponse(t *testing.T) {
	surplus := peertest.Response200("stale")
	for name, sendSurplus := range map[string]func(*httpUpstream, peertest.ReceivedRequest) *surplusWrite{
		"in the same write": nil,
		"later": func(_ *httpUpstream, request peertest.ReceivedRequest) *surplusWrite {
			io.WriteString(request.Conn, surplus)
			return nil
		},
		"half a line": func(_ *httpUpstream, request peertest.ReceivedRequest) *surplusWrite {
			io.WriteString(request.Conn, "HTTP/1.1 2")
			return nil
		},
		"some milliseconds later": func(upstream *httpUpstream, request peertest.ReceivedRequest) *surplusWrite {
			return writeLater(upstream, request, surplus)
		},
	} {
		t.Run(name, func(t *testing.T) {
			text := peertest.Response200("good")
			if sendSurplus == nil {
				text += surplus
			}
			testSurplusBytes(t, text, sendSurplus)
		})
	}
}

// testSurplusBytes makes attempts one after the other. An attempt after bytes that a busy machine has written too late is not judged;
// another one is made in its place.
func testSurplusBytes(
	t *testing.T, text string, sendSurplus func(*httpUpstream, peertest.ReceivedRequest) *surplusWrite,
) {
	const attempts, maxAttempts = 20, 200
	server := peertest.NewUpstream(t, peertest.RespondWith(text))
	upstream := newTestUpstream(newTestPool(4), server.Addr)
	var write *surplusWrite // after the attempt before
	made, late := 0, 0
	for ; made < attempts+late; made++ {
		if made == maxAttempts {
			t.Fatalf("%d of %d attempts came after bytes that were written too late", late, made)
		}
		result, response := roundTrip(t.Context(), upstream)
		request := peertest.Await(t, "the request", server.Requests)
		if write != nil && write.isLate(t) {
			late++
			write = nil
			upstream = newTestUpstream(newTestPool(4), server.Addr)
			continue
		}
		if result != policy.Served || string(response.Body) != "good" {
			t.Fatalf("attempt %d: got result %v, response %+v; want served, body good", made, result, response)
		}
		if sendSurplus != nil {
			write = sendSurplus(upstream, request)
		}
	}
	if count := len(server.Accepted); count < made-late || count > made {
		t.Errorf("got %d connections for %d responses with surplus bytes, %d of them too late; want one for each", count, made, late)
	}
}

// A connection is reused after a chunked response. The framing of each response depends on its own
// head only, not on earlier responses on the connection.
func TestChunkedResponsesOnAReusedConnection(t *testing.T) {
	const chunks = "2\r\nho\r\n3\r\nney\r\n" + lastChunk
	const chunked = chunkedHead + chunks
	const lengthAndChunks = statusOK + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
	responses := []string{chunked, okResponse, chunked, earlyHints + chunked, lengthAndChunks}
	served := 0
	server := peertest.NewUpstream(t, func(peertest.ReceivedRequest) (string, bool) {
		served++
		return responses[served-1], false
	})
	upstream := newTestUpstream(newTestPool(2), server.Addr)
	for i := range responses {
		upstream.meanExchangeTime = fastExchangeTime // the attempt waits for the existing connection
		want := policy.Served
		if i == len(responses)-1 {
			want = policy.ConnectionReset
		}
		got, response := roundTrip(t.Context(), upstream)
		if got != want || (response != nil && string(response.Body) != "honey") {
			t.Errorf("response %d: got result %v, response %+v; want the body honey if served", i, got, response)
		}
	}
	if len(server.Accepted) != 1 {
		t.Errorf("got %d connections, want 1", len(server.Accepted))
	}
}
