// Package logsink writes log lines to a file without ever blocking its callers. A caller can be the
// event loop or hold a lock that requests need, while a write to standard error may block or fail:
// it may be a pipe without a reader, a full disk or a closed terminal.
package logsink

import (
	"io"
	"sync"
	"time"
)

// DefaultMaxQueuedBytes is the default for the maximum number of queued bytes. Lines beyond it are lost.
const DefaultMaxQueuedBytes = 64 << 10

// Sink is an io.Writer that queues lines. A goroutine that New starts writes them to the file and
// runs until the process exits. A Sink is safe for concurrent use.
type Sink struct {
	out    io.Writer
	limit  int
	onLoss func(lines uint64)
	wake   chan struct{} // contains a token while the queue may have lines

	mu               sync.Mutex
	queue            [][]byte
	size             int           // bytes in queue and in the line being written
	unreportedLosses uint64        // lines lost since the last call of onLoss
	totalLosses      uint64        // lines lost since the start
	partial          bool          // the last line was written partially
	flushed          chan struct{} // closed and replaced when all queued lines have been written or lost
	writing          bool          // a line was removed from queue and the queue is not finished
}

// New returns a Sink that writes to out and starts its goroutine. At most limit bytes are queued; a
// line beyond the limit is lost, and so is a line whose write fails. When the queue is empty again
// and its last write succeeded, the goroutine calls onLoss with the number of lines lost since the
// previous call, if there were any. onLoss may be nil; it may write to the Sink.
func New(out io.Writer, limit int, onLoss func(lines uint64)) *Sink {
	s := &Sink{out: out, limit: limit, onLoss: onLoss, wake: make(chan struct{}, 1), flushed: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of a line. It never blocks on the file and always returns a nil error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	if s.size+len(line) > s.limit {
		s.countLossLocked()
	} else {
		s.queue = append(s.queue, append([]byte(nil), line...))
		s.size += len(line)
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// LostLines returns the number of lines lost since the Sink was created.
func (s *Sink) LostLines() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalLosses
}

// Flush waits until all queued lines have been written or lost, at most for timeout. It reports
// whether all of them have been.
func (s *Sink) Flush(timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		done, flushed := len(s.queue) == 0 && !s.writing, s.flushed
		s.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-flushed:
		case <-timer.C:
			return false
		}
	}
}

// countLossLocked counts a lost line. The caller holds s.mu.
func (s *Sink) countLossLocked() {
	s.unreportedLosses++
	s.totalLosses++
}

// run writes the queue each time that wake has a token. It never returns.
func (s *Sink) run() {
	for range s.wake {
		lastWritten := false
		for line := s.next(); line != nil; line = s.next() {
			lastWritten = s.write(line)
		}
		if lost := s.finishQueue(lastWritten); lost > 0 && s.onLoss != nil {
			s.onLoss(lost)
		}
	}
}

// next removes and returns the first line of the queue, or nil if the queue is empty.
func (s *Sink) next() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return nil
	}
	line := s.queue[0]
	if s.queue = s.queue[1:]; len(s.queue) == 0 {
		s.queue = nil
	}
	s.writing = true
	return line
}

// write writes a line and reports whether the write succeeded. The line counts in s.size until
// the write returns, because a write may block forever. After a partially written line, a line
// break is written first.
func (s *Sink) write(line []byte) bool {
	if s.partial {
		line = append([]byte{'\n'}, line...)
	}
	n, err := s.out.Write(line)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size -= len(line)
	if s.partial { // the inserted line break was not counted in s.size
		s.size++
	}
	if err == nil {
		s.partial = false
		return true
	}
	s.partial = s.partial || n > 0
	s.countLossLocked()
	return false
}

// finishQueue marks the queue as written, unless it has new lines. It returns the number of lost
// lines to report, or 0 if the last write failed.
func (s *Sink) finishQueue(lastWritten bool) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		return 0 // Write has put a token into wake, so run continues
	}
	s.writing = false
	close(s.flushed)
	s.flushed = make(chan struct{})
	if !lastWritten {
		return 0
	}
	unreportedLosses := s.unreportedLosses
	s.unreportedLosses = 0
	return unreportedLosses
}
