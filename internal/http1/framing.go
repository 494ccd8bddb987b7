package http1

import (
	"bytes"
	"strconv"
	"sync"
)

// Framing parses the raw bytes of a connection's messages and records, for each message, which
// length fields the head contains. A head with both a Content-Length and a Transfer-Encoding
// allows request smuggling: two readers may disagree where the message ends, and one of them
// treats the bytes between the two positions as the next message. net/http silently drops the
// Content-Length of such a head, so the conflict can only be detected in the raw bytes.
//
// The zero Framing is ready to use. Its methods may be called concurrently.
type Framing struct {
	mu        sync.Mutex
	heads     []Head // complete heads that NextHead has not returned yet
	state     framingState
	line      []byte // the first keptLineBytes of the received part of an incomplete line
	lineBytes int    // length of the received part of an incomplete line
	// remaining is the number of bytes left in the current body or chunk. While a head is
	// being read, remaining is the Content-Length of that head.
	remaining            int64
	headStarted          bool // the first line of the current head has been read
	hasNoBody            bool // the current head is of a response that never has a body, whatever its fields say
	current              Head // the head that is being read; Complete is always false
	headBytes, headLines int  // size of the complete lines of the current or the last head
}

// Head records which fields of a message's head determine the length of the message.
type Head struct {
	Complete            bool // the end of the head has been read
	HasContentLength    bool
	HasTransferEncoding bool // also true if net/http ignores the field
}

// Unambiguous reports whether every reader derives the same message length: the head is complete
// and contains at most one of Content-Length and Transfer-Encoding.
func (head Head) Unambiguous() bool {
	return head.Complete && (!head.HasContentLength || !head.HasTransferEncoding)
}

// framingState is the part of a message to which the next byte belongs.
type framingState int

const (
	inHead framingState = iota
	inBody
	inChunkSize
	inChunk
	inTrailer
	// unframed is a final state: the end of the message is unknown, so no later head is recorded.
	unframed
)

// maxLineBytes is the maximum length of a line: no reader of this program accepts a larger head.
const maxLineBytes = 128 << 10

// keptLineBytes is the part of a line that is kept. It contains the name of a field and any length.
const keptLineBytes = 1 << 10

// chunkLineBreakBytes is the length of the line break after a chunk's data.
const chunkLineBreakBytes = 2

// Observe parses the next bytes of the connection. Observe does not keep a reference to data.
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

// skipContent skips bytes of a body or a chunk and returns the bytes that follow.
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

// readLine consumes bytes up to and including the end of a line and returns the bytes that follow.
func (framing *Framing) readLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		framing.appendToLine(data)
		if framing.lineBytes > maxLineBytes {
			framing.state = unframed
		}
		return nil
	}
	framing.appendToLine(data[:end])
	framing.onLine(bytes.TrimSuffix(framing.line, []byte{'\r'}))
	framing.line = framing.line[:0]
	framing.lineBytes = 0
	return data[end+1:]
}

func (framing *Framing) appendToLine(data []byte) {
	framing.lineBytes += len(data)
	free := keptLineBytes - len(framing.line)
	framing.line = append(framing.line, data[:min(free, len(data))]...)
}

// onLine handles a complete line, which is passed without its line break.
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
	default: // bodies and chunks are not read line by line
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
	defer framing.addHeadLine()
	switch {
	case !framing.headStarted:
		framing.headStarted = true
		framing.headBytes, framing.headLines = 0, 0
		framing.hasNoBody = isStatusWithoutBody(line)
		if len(line) == 0 { // a message must not start with an empty line
			framing.state = unframed
		}
	case len(line) == 0:
		framing.onHeadEnd()
	case line[0] == ' ' || line[0] == '\t': // continues the value of the field before (RFC 9112, section 5.2)
	default:
		framing.onHeaderField(line)
	}
}

func (framing *Framing) addHeadLine() {
	framing.headBytes += framing.lineBytes + len("\n")
	framing.headLines++
}

// HeadSize returns the number of bytes and of complete lines of the head that is being read, or of the last one.
func (framing *Framing) HeadSize() (bytes, lines int) {
	framing.mu.Lock()
	defer framing.mu.Unlock()
	if framing.state != inHead {
		return framing.headBytes, framing.headLines
	}
	if !framing.headStarted {
		return max(framing.headBytes, framing.lineBytes), framing.headLines
	}
	return framing.headBytes + framing.lineBytes, framing.headLines
}

// isStatusWithoutBody reports whether a line is the status line of a response that never has a body: an interim
// response, 204 or 304 (RFC 9112, section 6.3).
func isStatusWithoutBody(line []byte) bool {
	version, rest, _ := bytes.Cut(line, []byte{' '})
	if !bytes.HasPrefix(version, []byte("HTTP/")) {
		return false
	}
	return bytes.HasPrefix(rest, []byte{'1'}) || bytes.HasPrefix(rest, []byte("204")) || bytes.HasPrefix(rest, []byte("304"))
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

// onHeadEnd records the complete head and sets the state for the bytes that follow the head.
func (framing *Framing) onHeadEnd() {
	head := framing.current
	head.Complete = true
	framing.heads = append(framing.heads, head)
	switch {
	case framing.hasNoBody:
		framing.remaining = 0
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

// Pending reports whether bytes of an unfinished message have been received: NextHead has
// not returned its head yet, or its head or body is incomplete. Once the end of a message is
// unknown, Pending remains true.
func (framing *Framing) Pending() bool {
	framing.mu.Lock()
	defer framing.mu.Unlock()
	headRead := len(framing.heads) > 0
	headIncomplete := framing.headStarted || framing.lineBytes > 0
	return headRead || headIncomplete || framing.state != inHead
}

// NextHead returns the next complete head, in the order of the messages and each head once. It
// returns the zero Head if no further head is complete.
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
