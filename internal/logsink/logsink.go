// Package logsink writes log lines to a file without ever blocking its callers, among
// them the event loop and holders of locks that requests need. Standard error may be a
// pipe without a reader, a full disk or a closed terminal.
package logsink

import (
	"io"
	"sync"
	"time"
)

// DefaultLimit is how many bytes wait to be written before further lines are lost.
const DefaultLimit = 64 << 10

// Sink is an io.Writer that queues lines for a goroutine of its own, which New starts and
// which lasts as long as the process. It is safe for concurrent use.
type Sink struct {
	out    io.Writer
	limit  int
	onLoss func(lines uint64)
	wake   chan struct{} // holds a token while there may be something to write

	mu      sync.Mutex
	queue   [][]byte
	size    int           // bytes in queue
	lost    uint64        // lines lost since the last report
	total   uint64        // lines lost since the start
	torn    bool          // the last line was written in part
	drained chan struct{} // closed and replaced whenever the queue has been written
	writing bool
}

// New returns a Sink that writes to out. At most limit bytes wait; a line beyond is
// lost, and so is one whose write fails. Once a write has succeeded again and nothing
// waits, onLoss gets the number of lines lost since its last call; it may log.
func New(out io.Writer, limit int, onLoss func(lines uint64)) *Sink {
	s := &Sink{out: out, limit: limit, onLoss: onLoss, wake: make(chan struct{}, 1), drained: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line. It never blocks on the file and never fails.
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

// Lost returns how many lines were lost since the start.
func (s *Sink) Lost() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Flush waits until all that was queued has been written or lost, for the given time
// at most, and says whether it has been.
func (s *Sink) Flush(within time.Duration) bool {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		s.mu.Lock()
		done, drained := len(s.queue) == 0 && !s.writing, s.drained
		s.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-drained:
		case <-timer.C:
			return false
		}
	}
}

// countLossLocked counts a lost line; s.mu is held.
func (s *Sink) countLossLocked() {
	s.lost++
	s.total++
}

func (s *Sink) run() {
	for range s.wake {
		written := false
		for line := s.next(); line != nil; line = s.next() {
			written = s.write(line)
		}
		if lost := s.finishQueue(written); lost > 0 && s.onLoss != nil {
			s.onLoss(lost)
		}
	}
}

// next removes the first line of the queue; nil where it is empty.
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

// write writes a line and reports whether all of it was written. Until then the line
// counts in the queue's size, as a write may block for ever.
func (s *Sink) write(line []byte) bool {
	if s.torn {
		line = append([]byte{'\n'}, line...)
	}
	n, err := s.out.Write(line)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.size -= len(line)
	if s.torn { // the line break was none of it
		s.size++
	}
	if err == nil {
		s.torn = false
		return true
	}
	s.torn = s.torn || n > 0
	s.countLossLocked()
	return false
}

// finishQueue marks the queue as written, and returns the losses to report, if the file
// accepts lines again.
func (s *Sink) finishQueue(written bool) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		return 0 // and its token is there
	}
	s.writing = false
	close(s.drained)
	s.drained = make(chan struct{})
	if !written {
		return 0
	}
	lost := s.lost
	s.lost = 0
	return lost
}
