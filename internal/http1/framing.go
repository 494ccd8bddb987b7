package http1

import (
	"bytes"
	"strconv"
	"sync"
)

// Framing follows the bytes of a connection's messages and records of each which
// lengths its head names. A Content-Length beside a Transfer-Encoding is a smuggling
// risk: two readers may see the message end at two positions, and the bytes between
// them are the next message to one of the two. net/http drops the Content-Length of
// such a head without an error, so that only the bytes show it.
//
// The zero Framing is ready to use. Its methods may be called concurrently.
type Framing struct {
	mu    sync.Mutex
	heads []Head // complete and not returned by NextHead yet
	state framingState
	line  []byte // the received part of an incomplete line
	// remaining is in bytes: of the body or the chunk that is read; while a head is
	// read, its Content-Length.
	remaining   int64
	headStarted bool // the first line of the head has been read
	current     Head // the head that is read; never Complete
}

// Head is what the head of a message says of the message's length.
type Head struct {
	Complete            bool // its end was read
	HasContentLength    bool
	HasTransferEncoding bool // also where net/http ignores it
}

// Unambiguous reports whether every reader of the message sees the same length: its
// head names one at most.
func (head Head) Unambiguous() bool {
	return head.Complete && (!head.HasContentLength || !head.HasTransferEncoding)
}

// framingState is the part of a message that the next byte belongs to.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	// unframed is final: where a message ends is not known, and no later head is recorded.
	unframed
)

// maxLineBytes bounds a line; net/http accepts no larger head.
const maxLineBytes = 32 << 10

// chunkLineBreakBytes is the length of the line break after a chunk's data.
const chunkLineBreakBytes = 2

// Observe takes the next bytes of the connection. It does not keep data.
func (framing *Framing) Observe(data []byte) {
	framing.mu.Lock()
	defer framing.mu.Unlock()
	for len(data) > 0 && framing.state != unframed {
		if framing.state == inBody || framing.state == inChunk {
			data = framing.skipContent(data)
		} else {
			data = framing.readLine(data)
		}
	}
}

// skipContent consumes bytes of a body or a chunk and returns the rest.
func (framing *Framing) skipContent(data []byte) []byte {
	count := min(framing.remaining, int64(len(data)))
	framing.remaining -= count
	if framing.remaining == 0 {
		if framing.state == inBody {
			framing.state = inHead
		} else {
			framing.state = inChunkSize
		}
	}
	return data[count:]
}

// readLine consumes bytes up to the end of a line and returns the rest.
func (framing *Framing) readLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		framing.line = append(framing.line, data...)
		if len(framing.line) > maxLineBytes {
			framing.state = unframed
		}
		return nil
	}
	framing.line = append(framing.line, data[:end]...)
	framing.onLine(bytes.TrimSuffix(framing.line, []byte{'\r'}))
	framing.line = framing.line[:0]
	return data[end+1:]
}

// onLine handles a complete line, without its line break.
func (framing *Framing) onLine(line []byte) {
	switch framing.state {
	case inHead:
		framing.onHeadLine(line)
	case inChunkSize:
		framing.onChunkSize(line)
	case inTrailer:
		if len(line) == 0 {
			framing.state = inHead
		}
	default: // bodies and chunks are not read by the line
	}
}

func (framing *Framing) onChunkSize(line []byte) {
	sizeText, _, _ := bytes.Cut(line, []byte{';'})
	size, err := strconv.ParseUint(string(bytes.TrimSpace(sizeText)), 16, 62)
	switch {
	case err != nil:
		framing.state = unframed
	case size == 0:
		framing.state = inTrailer
	default:
		framing.state = inChunk
		framing.remaining = int64(size) + chunkLineBreakBytes
	}
}

func (framing *Framing) onHeadLine(line []byte) {
	switch {
	case !framing.headStarted:
		framing.headStarted = true
		if len(line) == 0 { // no message starts with an empty line
			framing.state = unframed
		}
	case len(line) > 0:
		framing.onHeaderField(line)
	default:
		framing.onHeadEnd()
	}
}

func (framing *Framing) onHeaderField(line []byte) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	name = bytes.TrimSpace(name)
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		framing.current.HasTransferEncoding = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		framing.onContentLength(value)
	}
}

func (framing *Framing) onContentLength(value []byte) {
	length, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
	differs := framing.current.HasContentLength && int64(length) != framing.remaining
	if err != nil || differs {
		framing.state = unframed
	}
	framing.current.HasContentLength = true
	framing.remaining = int64(length)
}

// onHeadEnd records the head and moves on to what follows it.
func (framing *Framing) onHeadEnd() {
	head := framing.current
	head.Complete = true
	framing.heads = append(framing.heads, head)
	switch {
	case !head.Unambiguous():
		framing.state = unframed
	case head.HasTransferEncoding:
		framing.state = inChunkSize
	case framing.remaining > 0:
		framing.state = inBody
	}
	framing.headStarted = false
	framing.current = Head{}
}

// Pending reports whether bytes have come of a message whose head was not returned by
// NextHead yet.
func (framing *Framing) Pending() bool {
	framing.mu.Lock()
	defer framing.mu.Unlock()
	headRead := len(framing.heads) > 0
	headIncomplete := framing.headStarted || len(framing.line) > 0
	return headRead || headIncomplete || framing.state != inHead
}

// NextHead returns the heads in the order of their messages, each once; the zero Head
// where no further one is complete.
func (framing *Framing) NextHead() Head {
	framing.mu.Lock()
	defer framing.mu.Unlock()
	if len(framing.heads) == 0 {
		return Head{}
	}
	head := framing.heads[0]
	framing.heads = framing.heads[1:]
	if len(framing.heads) == 0 {
		framing.heads = nil
	}
	return head
}
