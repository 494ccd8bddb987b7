package logsink

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// file is an output whose writes block or fail as the test configures.
type file struct {
	mu      sync.Mutex
	text    strings.Builder
	limit   int           // bytes that each write accepts before it fails; negative: writes succeed
	unblock chan struct{} // writes block until it is closed; nil: writes do not block
}

func (f *file) Write(b []byte) (int, error) {
	if f.unblock != nil {
		<-f.unblock
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.limit >= 0 {
		n := min(f.limit, len(b))
		f.text.Write(b[:n])
		return n, errors.New("no space left on device")
	}
	f.text.Write(b)
	return len(b), nil
}

func (f *file) setLimit(limit int) {
	f.mu.Lock()
	f.limit = limit
	f.mu.Unlock()
}

func (f *file) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text.String()
}

// While a write to the file blocks, lines are queued up to the limit and lost beyond it, and Write
// must not block. When the write returns, the loss must be reported.
func TestWrite_NeverBlocks(t *testing.T) {
	f := &file{limit: -1, unblock: make(chan struct{})}
	losses := make(chan uint64, 1)
	s := New(f, 100, func(n uint64) { losses <- n })
	line := []byte("0123456789\n")
	for range 50 {
		s.Write(line)
	}
	if s.Flush(time.Millisecond) {
		t.Error("Flush: got true while the write is blocked, want false")
	}
	close(f.unblock)
	if n := peertest.Await(t, "the loss", losses); n != 41 || s.LostLines() != n {
		t.Errorf("got %d reported losses and %d in total, want 41", n, s.LostLines())
	}
	if !s.Flush(peertest.WaitTimeout) || f.String() != strings.Repeat(string(line), 9) {
		t.Errorf("got %q written, want 9 lines", f)
	}
	for i := range 100 { // the queue has room again
		s.Write(fmt.Appendf(nil, "%d\n", i))
		s.Flush(peertest.WaitTimeout)
	}
	if s.LostLines() != 41 {
		t.Errorf("got %d later losses, want none", s.LostLines()-41)
	}
}

// A failed write loses its own line and no other line. After a partially written line, the next
// line must start on a new line.
func TestWrite_FailureLosesOneLine(t *testing.T) {
	f := &file{limit: 3}
	losses := make(chan uint64, 1)
	s := New(f, DefaultMaxQueuedBytes, func(n uint64) { losses <- n })
	s.Write([]byte("first\n"))
	s.Flush(peertest.WaitTimeout)
	f.setLimit(0)
	s.Write([]byte("second\n"))
	s.Flush(peertest.WaitTimeout)
	f.setLimit(-1)
	s.Write([]byte("third\n"))
	if n := peertest.Await(t, "the loss", losses); n != 2 {
		t.Errorf("got %d reported losses, want 2", n)
	}
	if got := f.String(); got != "fir\nthird\n" {
		t.Errorf("got %q written, want the start of the first line and the third line", got)
	}
}
