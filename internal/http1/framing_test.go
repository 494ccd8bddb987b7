package http1

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
)

// randomRequests returns concatenated requests of all supported forms and, for each request,
// whether its length is unambiguous. The bodies contain text that looks like a request head.
func randomRequests(rng *rand.Rand) (text string, unambiguous []bool) {
	var b strings.Builder
	for range 1 + rng.IntN(6) {
		unambiguous = append(unambiguous, writeRandomRequest(&b, rng))
	}
	return b.String(), unambiguous
}

// writeRandomRequest writes one request and reports whether its length is unambiguous.
func writeRandomRequest(b *strings.Builder, rng *rand.Rand) bool {
	body := strings.Repeat("POST /x HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", rng.IntN(4))
	b.WriteString("POST /api HTTP/1.1\r\nHost: x\r\nX-Content-Length: 7\r\n")
	names := []string{"Content-Length", "content-length", "CONTENT-LENGTH"}
	chunked, withLength := rng.IntN(2) == 0, rng.IntN(8) == 0
	if !chunked || withLength {
		fmt.Fprintf(b, "%s: %d\r\n", names[rng.IntN(3)], len(body))
	}
	if chunked {
		b.WriteString("Transfer-Encoding:  chunked\r\n")
	}
	folded := []string{"", "\r\n Content-Length: 9", "\r\n\tTransfer-Encoding: chunked", "\r\n b"}
	b.WriteString("Via: a" + folded[rng.IntN(4)] + "\r\n\r\n")
	for chunked && body != "" {
		n := 1 + rng.IntN(len(body))
		fmt.Fprintf(b, "%x%s\r\n%s\r\n", n, []string{"", ";a=b", " "}[rng.IntN(3)], body[:n])
		body = body[n:]
	}
	if chunked {
		b.WriteString("0\r\n" + []string{"", "X-Sum: 1\r\n"}[rng.IntN(2)] + "\r\n")
	} else {
		b.WriteString(body)
	}
	return !chunked || !withLength
}

// TestFramingFollowsNetHTTP guards against request smuggling: Framing must classify each head in
// order, up to the first with an ambiguous length, and must find the same message ends as net/http,
// regardless of how the bytes are split between reads.
func TestFramingFollowsNetHTTP(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 0))
		text, unambiguous := randomRequests(rng)
		var framing Framing
		for rest := text; rest != ""; {
			n := 1 + rng.IntN(min(len(rest), 1+rng.IntN(200)))
			framing.Observe([]byte(rest[:n]))
			rest = rest[n:]
		}
		reader := bufio.NewReader(strings.NewReader(text))
		for i, want := range unambiguous {
			request, err := http.ReadRequest(reader)
			if err != nil {
				t.Fatalf("seed %d: net/http failed to read request %d: %v", seed, i, err)
			}
			if got := framing.NextHead().Unambiguous(); got != want {
				t.Fatalf("seed %d: request %d of %q: got unambiguous %v, want the opposite", seed, i, text, got)
			}
			if !want {
				break // Framing records no head after an ambiguous one
			}
			io.Copy(io.Discard, request.Body)
		}
		if framing.NextHead().Unambiguous() {
			t.Fatalf("seed %d: got a further unambiguous head in %q, want none", seed, text)
		}
	}
}

// The size of the head that is being read, or of the last one, regardless of how the bytes are split.
func TestHeadSize(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nA: b\r\nContent-Length: 3\r\n\r\n"
	var framing Framing
	for i := range head {
		framing.Observe([]byte(head[i : i+1]))
		if bytes, lines := framing.HeadSize(); bytes < i || bytes > i+1 || lines != strings.Count(head[:i+1], "\n") {
			t.Fatalf("after %d bytes: got %d bytes and %d lines", i+1, bytes, lines)
		}
	}
	framing.Observe([]byte("abc"))
	if bytes, lines := framing.HeadSize(); bytes < len(head)-4 || lines != 4 {
		t.Errorf("after the body: got %d bytes and %d lines, want those of the head", bytes, lines)
	}
	framing.Observe([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("x", 20_000)))
	if bytes, lines := framing.HeadSize(); bytes < 20_000 || lines != 1 || cap(framing.line) > 2*keptLineBytes {
		t.Errorf("long line: got %d bytes, %d lines and %d bytes kept", bytes, lines, cap(framing.line))
	}
}

// For any input: if net/http reads a request with a Transfer-Encoding and Framing reports its head
// as unambiguous, the head must not contain a Content-Length.
func FuzzFraming(f *testing.F) {
	for seed := range uint64(20) {
		text, _ := randomRequests(rand.New(rand.NewPCG(seed, 1)))
		f.Add([]byte(text), uint8(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte, cut uint8) {
		var framing Framing
		split := min(int(cut), len(data))
		framing.Observe(data[:split])
		framing.Observe(data[split:])
		text := string(data)
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil || !framing.NextHead().Unambiguous() || len(request.TransferEncoding) == 0 {
			return
		}
		head, _, _ := strings.Cut(strings.ReplaceAll(text, "\r\n", "\n"), "\n\n")
		for _, line := range strings.Split(head, "\n")[1:] {
			isFolded := strings.HasPrefix(line, " ") || strings.HasPrefix(line, "\t") // a part of the field before
			if name, _, ok := strings.Cut(line, ":"); ok && !isFolded && strings.EqualFold(strings.TrimSpace(name), "Content-Length") {
				t.Fatalf("head with both length fields was reported as unambiguous: %q", head)
			}
		}
	})
}
