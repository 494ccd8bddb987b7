package msgrpc

import (
	"errors"
	"fmt"
)

// MaxDepth bounds how deep arrays and maps may be nested. The mapping needs four; what is
// deeper is rejected before anything recurses into it.
const MaxDepth = 16

// Errors of a stream that cannot be read on: where the next message starts is not known,
// so the connection has to be closed.
var (
	ErrTooLarge  = errors.New("message is larger than allowed")
	ErrTooDeep   = fmt.Errorf("more than %d arrays and maps in one another", MaxDepth)
	ErrExtension = errors.New("extension type: the mapping has none")
	ErrReserved  = errors.New("byte 0xc1, which MessagePack never uses")
	ErrNotArray  = errors.New("a message is an array")
)

// scanner finds the end of one MessagePack value in bytes that come in pieces. It scans
// each byte once, does not allocate and does not recurse. The zero scanner is at a
// value's start.
type scanner struct {
	position  int              // bytes scanned
	skip      int              // bytes of a text or of a number that are to be skipped
	depth     int              // arrays and maps that are open
	remaining [MaxDepth]uint32 // values to come in each of them
	started   bool
}

// advance scans data, which starts where the value does, and reports whether the value is
// complete; it then ends at position. maxBytes bounds the value's size.
func (scanner *scanner) advance(data []byte, maxBytes int) (complete bool, err error) {
	for {
		if !scanner.skipContent(len(data)) {
			return false, nil
		}
		scanner.closeContainers()
		if scanner.started && scanner.depth == 0 {
			return true, nil
		}
		if scanner.position >= len(data) {
			return false, nil
		}
		header, err := parseHeader(data[scanner.position])
		if err != nil {
			return false, err
		}
		if !scanner.started && !header.isArray {
			return false, ErrNotArray
		}
		contentStart := scanner.position + 1 + header.lengthBytes
		if len(data) < contentStart {
			return false, nil
		}
		size := header.contentSize(data[scanner.position+1 : contentStart])
		scanner.position = contentStart
		if err := scanner.enter(header, size, maxBytes); err != nil {
			return false, err
		}
	}
}

// skipContent skips content up to length, the number of bytes that have come; it reports
// whether all of the content has been skipped.
func (scanner *scanner) skipContent(length int) bool {
	count := min(scanner.skip, length-scanner.position)
	scanner.position += count
	scanner.skip -= count
	return scanner.skip == 0
}

// closeContainers closes the arrays and maps that are complete.
func (scanner *scanner) closeContainers() {
	for scanner.depth > 0 && scanner.remaining[scanner.depth-1] == 0 {
		scanner.depth--
	}
}

// enter starts a value whose header was scanned: it opens an array or a map, or has the
// content skipped.
func (scanner *scanner) enter(header valueHeader, size uint64, maxBytes int) error {
	if scanner.depth > 0 {
		scanner.remaining[scanner.depth-1]--
	}
	scanner.started = true
	if header.valuesPerEntry > 0 {
		size *= uint64(header.valuesPerEntry) // each value takes one byte at least
	}
	if size > uint64(max(0, maxBytes-scanner.position)) {
		return ErrTooLarge
	}
	if header.valuesPerEntry == 0 {
		scanner.skip = int(size)
		return nil
	}
	if scanner.depth == MaxDepth {
		return ErrTooDeep
	}
	scanner.remaining[scanner.depth] = uint32(size)
	scanner.depth++
	return nil
}

// valueHeader is what the first byte of a value says.
type valueHeader struct {
	size           int // of the content: bytes, or entries of an array or a map; where lengthBytes is 0
	lengthBytes    int // bytes of the content's size that follow, big-endian
	valuesPerEntry int // 1 for an array, 2 for a map, else 0
	isArray        bool
}

// contentSize returns the size of the content; length are the bytes that follow the first.
func (header valueHeader) contentSize(length []byte) uint64 {
	size := uint64(header.size)
	for _, digit := range length {
		size = size<<8 | uint64(digit)
	}
	return size
}

func parseHeader(first byte) (valueHeader, error) {
	switch {
	case first < 0x80 || first >= 0xe0: // fixint
		return valueHeader{}, nil
	case first < 0x90: // fixmap
		return valueHeader{size: int(first & 0x0f), valuesPerEntry: 2}, nil
	case first < 0xa0: // fixarray
		return valueHeader{size: int(first & 0x0f), valuesPerEntry: 1, isArray: true}, nil
	case first < 0xc0: // fixstr
		return valueHeader{size: int(first & 0x1f)}, nil
	}
	return parseLongHeader(first)
}

// parseLongHeader parses the first bytes from 0xc0 to 0xdf, which hold no size.
func parseLongHeader(first byte) (valueHeader, error) {
	switch first {
	case 0xc0, 0xc2, 0xc3: // nil, false, true
		return valueHeader{}, nil
	case 0xc4, 0xd9: // bin 8, str 8
		return valueHeader{lengthBytes: 1}, nil
	case 0xc5, 0xda: // bin 16, str 16
		return valueHeader{lengthBytes: 2}, nil
	case 0xc6, 0xdb: // bin 32, str 32
		return valueHeader{lengthBytes: 4}, nil
	case 0xcc, 0xd0: // uint 8, int 8
		return valueHeader{size: 1}, nil
	case 0xcd, 0xd1: // uint 16, int 16
		return valueHeader{size: 2}, nil
	case 0xca, 0xce, 0xd2: // float 32, uint 32, int 32
		return valueHeader{size: 4}, nil
	case 0xcb, 0xcf, 0xd3: // float 64, uint 64, int 64
		return valueHeader{size: 8}, nil
	case 0xdc: // array 16
		return valueHeader{lengthBytes: 2, valuesPerEntry: 1, isArray: true}, nil
	case 0xdd: // array 32
		return valueHeader{lengthBytes: 4, valuesPerEntry: 1, isArray: true}, nil
	case 0xde: // map 16
		return valueHeader{lengthBytes: 2, valuesPerEntry: 2}, nil
	case 0xdf: // map 32
		return valueHeader{lengthBytes: 4, valuesPerEntry: 2}, nil
	case 0xc1:
		return valueHeader{}, ErrReserved
	}
	return valueHeader{}, ErrExtension
}
