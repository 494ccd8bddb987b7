package http1

import (
	"bytes"
	"strconv"
	"sync"
)

// Framing follows the bytes of a connection's requests and notes of each whether
// its head names one length or two: a Content-Length beside a Transfer-Encoding.
// Two readers of such a request may see it end in two places, and what stands
// between them is the next request to one of the two. net/http drops the
// Content-Length of such a head and does not tell. Its methods may be called
// concurrently.
type Framing struct {
	mu    sync.Mutex
	heads []Head // those read and not asked for yet
	at    part
	line  []byte // what there is of the line under way
	left  int64  // bytes of the body or the chunk that are to come
	begun bool   // the head's first line has been read
	sized bool   // the head under way has a Content-Length
	coded bool   // it has a Transfer-Encoding
}

// Head is what a message's head says of its length.
type Head struct {
	Seen  bool // its end was seen
	Sized bool // it has a Content-Length
	Coded bool // it has a Transfer-Encoding, also where net/http passes that over
}

// Certain says whether every reader of the message sees the same length: one was named
// at the most.
func (h Head) Certain() bool { return h.Seen && !(h.Sized && h.Coded) }

type part int

const (
	inHead part = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	lost // where a request ends is not known: nothing behind it counts
)

// lineMost bounds a line that is followed; net/http takes no larger head.
const lineMost = 32 << 10

// Feed takes the next bytes of the connection.
func (f *Framing) Feed(b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(b) > 0 && f.at != lost {
		if f.at == inBody || f.at == inChunk {
			n := min(f.left, int64(len(b)))
			b, f.left = b[n:], f.left-n
			if f.left == 0 && f.at == inBody {
				f.at = inHead
			} else if f.left == 0 {
				f.at = inChunkSize
			}
			continue
		}
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if f.line = append(f.line, b...); len(f.line) > lineMost {
				f.at = lost
			}
			return
		}
		f.line = append(f.line, b[:end]...)
		f.take(bytes.TrimSuffix(f.line, []byte{'\r'}))
		f.line, b = f.line[:0], b[end+1:]
	}
}

// take handles a whole line.
func (f *Framing) take(line []byte) {
	switch f.at {
	case inHead:
		f.head(line)
	case inChunkSize:
		size, _, _ := bytes.Cut(line, []byte{';'})
		n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 62)
		switch {
		case err != nil:
			f.at = lost
		case n == 0:
			f.at = inTrailer
		default:
			f.at, f.left = inChunk, int64(n)+2 // the line break behind it
		}
	case inTrailer:
		if len(line) == 0 {
			f.at = inHead
		}
	}
}

func (f *Framing) head(line []byte) {
	switch {
	case !f.begun:
		f.begun = true
		if len(line) == 0 {
			f.at = lost // no request begins so
		}
	case len(line) > 0:
		name, value, _ := bytes.Cut(line, []byte{':'})
		switch name = bytes.TrimSpace(name); {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			f.coded = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
			if err != nil || f.sized && int64(n) != f.left {
				f.at = lost
			}
			f.sized, f.left = true, int64(n)
		}
	default:
		f.heads = append(f.heads, Head{Seen: true, Sized: f.sized, Coded: f.coded})
		switch {
		case f.sized && f.coded:
			f.at = lost
		case f.coded:
			f.at = inChunkSize
		case f.left > 0:
			f.at = inBody
		}
		f.begun, f.sized, f.coded = false, false, false
	}
}

// Pending says whether bytes have come of a request whose head was not asked for yet.
func (f *Framing) Pending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.heads) > 0 || f.begun || len(f.line) > 0 || f.at != inHead
}

// Next returns what the head says of its message's length that was read next; the
// zero Head where none was seen to end.
func (f *Framing) Next() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.heads) == 0 {
		return Head{}
	}
	head := f.heads[0]
	if f.heads = f.heads[1:]; len(f.heads) == 0 {
		f.heads = nil
	}
	return head
}
