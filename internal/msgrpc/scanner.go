package msgrpc

import (
	"errors"
	"fmt"
)

// MaxDepth is the maximum nesting depth of arrays and maps. The mapping needs four levels. A message that is
// nested more deeply is rejected before any code processes it recursively.
const MaxDepth = 16

// Errors after which no more messages can be read from the stream. The start of the next message is
// unknown, so that the connection must be closed.
var (
	ErrTooLarge  = errors.New("message exceeds the maximum size")
	ErrTooDeep   = fmt.Errorf("arrays and maps must be nested at most %d levels deep", MaxDepth)
	ErrExtension = errors.New("extension types are not supported")
	ErrReserved  = errors.New("invalid byte 0xc1, which MessagePack never uses")
	ErrNotArray  = errors.New("message must be an array")
)

// scanner finds the end of one MessagePack value in bytes that arrive in several reads. It scans each byte
// once, does not allocate and does not recurse. The zero scanner is at the start of a value.
type scanner struct {
	position  int              // number of bytes scanned
	skip      int              // remaining bytes of a string, binary or number value to skip
	depth     int              // number of open arrays and maps
	remaining [MaxDepth]uint32 // remaining values of each open array or map
	started   bool
}

// advance scans data and reports whether the value is complete. data must begin with the first byte of the
// value. A complete value ends at position. maxBytes is the maximum size of the value.
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

// skipContent skips the content of a value, up to length, the number of bytes received. It reports whether
// the whole content has been skipped.
func (scanner *scanner) skipContent(length int) bool {
	count := min(scanner.skip, length-scanner.position)
	scanner.position += count
	scanner.skip -= count
	return scanner.skip == 0
}

// closeContainers closes the innermost arrays and maps that are complete.
func (scanner *scanner) closeContainers() {
	for scanner.depth > 0 && scanner.remaining[scanner.depth-1] == 0 {
		scanner.depth--
	}
}

// enter starts a value after its header was scanned. It opens an array or a map; for any other value, it sets
// the number of content bytes to skip.
func (scanner *scanner) enter(header valueHeader, size uint64, maxBytes int) error {
	if scanner.depth > 0 {
		scanner.remaining[scanner.depth-1]--
	}
	scanner.started = true
	if header.valuesPerEntry > 0 {
		size *= uint64(header.valuesPerEntry) // each value takes at least one byte
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

// valueHeader is the information in the first byte of a value.
type valueHeader struct {
	size           int // content size if lengthBytes is 0: in bytes, or in entries of an array or a map
	lengthBytes    int // number of following bytes that contain the content size, big-endian
	valuesPerEntry int // 1 for an array, 2 for a map, 0 for any other value
	isArray        bool
}

// contentSize returns the size of the content. length contains the lengthBytes bytes after the first byte.
func (header valueHeader) contentSize(length []byte) uint64 {
	size := uint64(header.size)
	for _, digit := range length {
		size = size<<8 | uint64(digit)
	}
	return size
}

// parseHeader parses the first byte of a value.
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

// parseLongHeader parses a first byte from 0xc0 to 0xdf. These bytes contain no content size.
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
