// Package msgrpc speaks MessagePack-RPC as its public specification has it
// (github.com/msgpack-rpc/msgpack-rpc, spec.md) and holds the project's mapping
// of requests and answers onto it, which docs/protocol/msgpack-rpc.md describes
// for those who write a client or a node.
//
// A stream carries one MessagePack array after the other. Framer finds where
// each ends, in bounded memory and without trusting a length; Parse takes the
// envelope apart; Call, Result and Fault are the mapping.
package msgrpc

import (
	"errors"
	"fmt"
	"net"
	"time"
)

// MaxDepth is how many arrays and maps may stand in one another. The mapping
// needs four; what is deeper is refused before anything recurses over it.
const MaxDepth = 16

// Errors of a stream that cannot be read on: where a message ends is not known
// any more, so the connection is of no use.
var (
	ErrTooLarge  = errors.New("message is larger than allowed")
	ErrTooDeep   = fmt.Errorf("more than %d arrays and maps in one another", MaxDepth)
	ErrExtension = errors.New("extension type: the mapping has none")
	ErrReserved  = errors.New("byte 0xc1, which MessagePack never uses")
	ErrNotArray  = errors.New("a message is an array")
)

// scan follows one MessagePack value over bytes that come in pieces. It never
// looks at a byte twice, takes no memory and does not recurse.
type scan struct {
	pos   int // bytes looked at
	skip  int // bytes of a string still to pass over
	depth int
	left  [MaxDepth]uint32 // values still to come in each open array or map
	begun bool
}

// advance scans b, which begins where the value does, and says whether the
// value is whole; it then ends at pos. most bounds its size in bytes.
func (s *scan) advance(b []byte, most int) (bool, error) {
	for {
		if s.skip > 0 {
			n := min(s.skip, len(b)-s.pos)
			s.pos += n
			if s.skip -= n; s.skip > 0 {
				return false, nil
			}
		}
		for s.depth > 0 && s.left[s.depth-1] == 0 {
			s.depth--
		}
		if s.begun && s.depth == 0 {
			return true, nil
		}
		if s.pos >= len(b) {
			return false, nil
		}
		h, err := header(b[s.pos])
		if err != nil {
			return false, err
		}
		if !s.begun && !h.array {
			return false, ErrNotArray
		}
		if len(b)-s.pos < 1+h.lengthBytes {
			return false, nil
		}
		n := uint64(h.size)
		for _, c := range b[s.pos+1 : s.pos+1+h.lengthBytes] {
			n = n<<8 | uint64(c)
		}
		s.pos += 1 + h.lengthBytes
		if s.depth > 0 {
			s.left[s.depth-1]--
		}
		s.begun = true
		if h.perEntry > 0 { // every value of it takes a byte at least
			if n *= uint64(h.perEntry); n > uint64(max(0, most-s.pos)) {
				return false, ErrTooLarge
			}
			if s.depth == MaxDepth {
				return false, ErrTooDeep
			}
			s.left[s.depth] = uint32(n)
			s.depth++
			continue
		}
		if n > uint64(max(0, most-s.pos)) {
			return false, ErrTooLarge
		}
		s.skip = int(n)
	}
}

// head is what a value's first byte tells.
type head struct {
	size        int // bytes that follow, or values of an array or map; where no length does
	lengthBytes int // bytes of the length, big-endian
	perEntry    int // 1 for an array, 2 for a map, 0 for what is no container
	array       bool
}

func header(c byte) (head, error) {
	switch {
	case c < 0x80 || c >= 0xe0: // small integers
		return head{}, nil
	case c < 0x90:
		return head{size: int(c & 0x0f), perEntry: 2}, nil
	case c < 0xa0:
		return head{size: int(c & 0x0f), perEntry: 1, array: true}, nil
	case c < 0xc0:
		return head{size: int(c & 0x1f)}, nil
	}
	switch c {
	case 0xc0, 0xc2, 0xc3: // nil, false, true
		return head{}, nil
	case 0xc4, 0xd9: // bin 8, str 8
		return head{lengthBytes: 1}, nil
	case 0xc5, 0xda:
		return head{lengthBytes: 2}, nil
	case 0xc6, 0xdb:
		return head{lengthBytes: 4}, nil
	case 0xcc, 0xd0: // 8 bits
		return head{size: 1}, nil
	case 0xcd, 0xd1:
		return head{size: 2}, nil
	case 0xca, 0xce, 0xd2:
		return head{size: 4}, nil
	case 0xcb, 0xcf, 0xd3:
		return head{size: 8}, nil
	case 0xdc:
		return head{lengthBytes: 2, perEntry: 1, array: true}, nil
	case 0xdd:
		return head{lengthBytes: 4, perEntry: 1, array: true}, nil
	case 0xde:
		return head{lengthBytes: 2, perEntry: 2}, nil
	case 0xdf:
		return head{lengthBytes: 4, perEntry: 2}, nil
	case 0xc1:
		return head{}, ErrReserved
	}
	return head{}, ErrExtension
}

// Framer reads messages off a connection, one at a time. What it holds is
// bounded by the largest message and grows only as bytes come.
type Framer struct {
	conn   net.Conn
	most   int
	within time.Duration
	buffer []byte
	begin  int // of the message under way
	end    int // of what was read
	scan   scan
}

const (
	initialBufferBytes = 4 << 10
	maxKeptBufferBytes = 16 << 10 // a larger one is let go once it is empty
)

// NewFramer reads messages of at most most bytes from conn. A message must be
// whole within the given time of its first byte, or Next returns the deadline's error.
func NewFramer(conn net.Conn, most int, within time.Duration) *Framer {
	return &Framer{conn: conn, most: most, within: within}
}

// Next returns the next message, which is good until the following call. After
// an error the stream is of no use. io.EOF stands for an end between messages.
func (f *Framer) Next() ([]byte, error) {
	late := false
	for {
		whole, err := f.scan.advance(f.buffer[f.begin:f.end], f.most)
		if err != nil {
			return nil, err
		}
		if whole {
			m := f.buffer[f.begin : f.begin+f.scan.pos]
			f.begin += f.scan.pos
			f.scan = scan{}
			if late {
				f.conn.SetReadDeadline(time.Time{})
			}
			return m, nil
		}
		if f.end-f.begin >= f.most {
			return nil, ErrTooLarge
		}
		if f.end > f.begin && !late {
			late = true
			f.conn.SetReadDeadline(time.Now().Add(f.within))
		}
		f.room()
		n, err := f.conn.Read(f.buffer[f.end:])
		if f.end += n; n == 0 && err != nil {
			if f.end > f.begin {
				return nil, fmt.Errorf("message cut after %d bytes: %w", f.end-f.begin, err)
			}
			return nil, err
		}
	}
}

// Buffered returns how many bytes were read behind the message that Next returned last.
func (f *Framer) Buffered() int { return f.end - f.begin }

// room makes room to read on.
func (f *Framer) room() {
	if f.begin == f.end {
		f.begin, f.end = 0, 0
		if len(f.buffer) > maxKeptBufferBytes {
			f.buffer = nil
		}
	}
	if f.buffer == nil {
		f.buffer = make([]byte, initialBufferBytes)
	}
	if f.end < len(f.buffer) {
		return
	}
	if f.begin > len(f.buffer)/2 {
		f.end = copy(f.buffer, f.buffer[f.begin:f.end])
		f.begin = 0
		return
	}
	grown := make([]byte, min(2*len(f.buffer), f.most+initialBufferBytes))
	f.end = copy(grown, f.buffer[f.begin:f.end])
	f.buffer, f.begin = grown, 0
}
