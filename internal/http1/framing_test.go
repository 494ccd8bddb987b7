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

// randomRequests returns requests in all their forms, concatenated, and of each whether its
// length is unambiguous. Bodies look like requests.
func randomRequests(rng *rand.Rand) (text string, unambiguous []bool) {
	var b strings.Builder
	for range 1 + rng.IntN(6) {
		unambiguous = append(unambiguous, writeRandomRequest(&b, rng))
	}
	return b.String(), unambiguous
}

// writeRandomRequest writes one request and returns whether its length is unambiguous.
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
	b.WriteString("Via: a\r\n\r\n")
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

// However the bytes are cut, each head is judged in order, up to the first whose length
// is ambiguous; the ends that are found agree with net/http.
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
				t.Fatalf("seed %d: net/http reads no request %d: %v", seed, i, err)
			}
			if got := framing.NextHead().Unambiguous(); got != want {
				t.Fatalf("seed %d: request %d of %q: unambiguous is %v", seed, i, text, got)
			}
			if !want {
				break // no later head is recorded
			}
			io.Copy(io.Discard, request.Body)
		}
		if framing.NextHead().Unambiguous() {
			t.Fatalf("seed %d: one more is unambiguous in %q", seed, text)
		}
	}
}

// A request that net/http reads with a Transfer-Encoding is unambiguous only where its
// head has no Content-Length, whatever the bytes.
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
			if name, _, ok := strings.Cut(line, ":"); ok && strings.EqualFold(strings.TrimSpace(name), "Content-Length") {
				t.Fatalf("an unambiguous request has both: %q", head)
			}
		}
	})
}
