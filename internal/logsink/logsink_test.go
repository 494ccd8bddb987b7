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

// file is one whose writes wait or fail as the test says.
type file struct {
	mu   sync.Mutex
	text strings.Builder
	take int           // bytes that the next write takes before it fails; negative: all
	hold chan struct{} // writes wait for it, where it is set
}

func (f *file) Write(b []byte) (int, error) {
	if f.hold != nil {
		<-f.hold
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.take >= 0 {
		n := min(f.take, len(b))
		f.text.Write(b[:n])
		return n, errors.New("no space left on device")
	}
	f.text.Write(b)
	return len(b), nil
}

func (f *file) set(take int) {
	f.mu.Lock()
	f.take = take
	f.mu.Unlock()
}

func (f *file) String() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.text.String()
}

// While a write waits lines are taken up to the bound and lost beyond it; once it goes
// on, the loss is reported.
func TestWrite_NeverBlocks(t *testing.T) {
	f := &file{take: -1, hold: make(chan struct{})}
	losses := make(chan uint64, 1)
	s := New(f, 100, func(n uint64) { losses <- n })
	line := []byte("0123456789\n")
	for range 50 {
		s.Write(line)
	}
	if s.Flush(time.Millisecond) {
		t.Error("flushed while nothing can be written")
	}
	close(f.hold)
	if n := peertest.Await(t, "the loss", losses); n != 41 || s.Lost() != n {
		t.Errorf("told of %d, %d in all, want 41", n, s.Lost())
	}
	if !s.Flush(peertest.WaitTimeout) || f.String() != strings.Repeat(string(line), 9) {
		t.Errorf("wrote %q", f)
	}
	for i := range 100 { // the queue is free again
		s.Write(fmt.Appendf(nil, "%d\n", i))
		s.Flush(peertest.WaitTimeout)
	}
	if s.Lost() != 41 {
		t.Errorf("%d lost later", s.Lost()-41)
	}
}

// A write that fails loses its line and no other; the next begins on a line of its own.
func TestWrite_FailureIsCounted(t *testing.T) {
	f := &file{take: 3}
	losses := make(chan uint64, 1)
	s := New(f, DefaultLimit, func(n uint64) { losses <- n })
	s.Write([]byte("first\n"))
	s.Flush(peertest.WaitTimeout)
	f.set(0)
	s.Write([]byte("second\n"))
	s.Flush(peertest.WaitTimeout)
	f.set(-1)
	s.Write([]byte("third\n"))
	if n := peertest.Await(t, "the loss", losses); n != 2 {
		t.Errorf("told of %d lines, want 2", n)
	}
	if got := f.String(); got != "fir\nthird\n" {
		t.Errorf("wrote %q", got)
	}
}
