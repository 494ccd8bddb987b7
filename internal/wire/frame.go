// Package wire encodes and decodes the simulator's binary protocol. The simulator sends a frame of events,
// called Batch. The program responds with a frame of actions, called Reply. Both consist of records.
//
// All numbers are little-endian, without padding. On the wire, times are milliseconds as f64; the functions
// of this package return and accept durations. names.go lists the simulator's names next to the program's
// names.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"mothridge/internal/settings"
)

const (
	batchHeaderSize  = 20 // u32 number, u32 records, u32 body size, f64 clock
	recordHeaderSize = 6  // u16 code, u32 size of the fields
	// maxBodySize is the maximum size of a batch's body in bytes. Real bodies have up to several megabytes, so a
	// size above this maximum indicates a corrupt stream.
	maxBodySize = 1 << 28
	// readChunkSize is how many bytes of a body are allocated before they arrive.
	readChunkSize = 1 << 20
)

// Batch is one frame of events. All its events happen at the time Clock.
type Batch struct {
	Number  uint32
	Records uint32
	Clock   time.Duration
	Body    []byte // the encoded records, to be read with NextRecord; valid until the next ReadBatch
}

// Reader reads batches from a stream. It is not safe for concurrent use.
type Reader struct {
	stream io.Reader
	header [batchHeaderSize]byte
	body   []byte // reused for each batch
}

// NewReader returns a Reader that reads from stream. The stream should be buffered.
func NewReader(stream io.Reader) *Reader { return &Reader{stream: stream} }

// ReadBatch reads the next frame. It blocks until the whole frame has arrived. ReadBatch returns io.EOF if
// the stream ends between two frames, and a different error if a frame is truncated.
func (r *Reader) ReadBatch() (Batch, error) {
	if _, err := io.ReadFull(r.stream, r.header[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("read batch header: %w", err)
	}
	batch, size, err := parseBatchHeader(r.header)
	if err != nil {
		return Batch{}, err
	}
	if err := r.readBody(int(size)); err != nil {
		return Batch{}, fmt.Errorf("batch %d: read body: %w", batch.Number, err)
	}
	batch.Body = r.body
	return batch, nil
}

// parseBatchHeader returns a batch without its body, and the body's size.
func parseBatchHeader(header [batchHeaderSize]byte) (Batch, uint32, error) {
	number := binary.LittleEndian.Uint32(header[0:])
	records := binary.LittleEndian.Uint32(header[4:])
	size := binary.LittleEndian.Uint32(header[8:])
	clock := math.Float64frombits(binary.LittleEndian.Uint64(header[12:]))
	switch {
	case math.IsNaN(clock) || math.IsInf(clock, 0):
		return Batch{}, 0, fmt.Errorf("batch %d: clock must be a finite number", number)
	case size > maxBodySize:
		return Batch{}, 0, fmt.Errorf("batch %[1]d: body size must be at most %[3]d bytes, got %[2]d", number, size, maxBodySize)
	case uint64(records)*recordHeaderSize > uint64(size):
		return Batch{}, 0, fmt.Errorf("batch %d: %d records do not fit into a body of %d bytes", number, records, size)
	}
	return Batch{Number: number, Records: records, Clock: settings.Millis(clock)}, size, nil
}

// readBody fills r.body with size bytes. The buffer grows as the bytes arrive, so that a wrong size in a
// short stream does not cause a large allocation.
func (r *Reader) readBody(size int) error {
	r.body = r.body[:0]
	for len(r.body) < size {
		start := len(r.body)
		unused := cap(r.body) - start
		n := min(size-start, max(readChunkSize, unused))
		if unused < n {
			r.body = append(r.body, make([]byte, n)...)
		} else {
			r.body = r.body[:start+n]
		}
		if _, err := io.ReadFull(r.stream, r.body[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}
