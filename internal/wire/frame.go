// Package wire encodes and decodes the simulator's binary protocol. A frame of events, a
// Batch, is answered by a frame of actions, a Reply; both consist of records.
//
// All numbers are little-endian, without padding. Times are milliseconds as f64; this
// package gives and takes durations. names.go lists the simulator's names beside the
// program's.
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
	// maxBodySize bounds the body of a batch. Real ones run to megabytes; a larger size
	// is that of a broken stream.
	maxBodySize = 1 << 28
	// readChunkSize is how much of a body is allocated before its bytes arrive.
	readChunkSize = 1 << 20
)

// Batch is one frame of events, which all happen at its clock's time.
type Batch struct {
	Number  uint32
	Records uint32
	Clock   time.Duration
	Body    []byte // the records, for Next; valid until the next ReadBatch
}

// Reader reads batches from a stream. It is not safe for concurrent use.
type Reader struct {
	stream io.Reader
	header [batchHeaderSize]byte
	body   []byte // reused by each batch
}

// NewReader returns a Reader of a stream, which should be buffered.
func NewReader(stream io.Reader) *Reader { return &Reader{stream: stream} }

// ReadBatch reads the next frame. It blocks until the frame is there. It returns io.EOF
// where the stream ends between two frames; a frame that is cut off is another error.
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
		return Batch{}, 0, fmt.Errorf("batch %d: clock is not a number", number)
	case size > maxBodySize:
		return Batch{}, 0, fmt.Errorf("batch %d: %d bytes claimed, at most %d are taken", number, size, maxBodySize)
	case uint64(records)*recordHeaderSize > uint64(size):
		return Batch{}, 0, fmt.Errorf("batch %d: %d records cannot fit into %d bytes", number, records, size)
	}
	return Batch{Number: number, Records: records, Clock: settings.Millis(clock)}, size, nil
}

// readBody fills r.body with size bytes. The buffer grows with what really arrives, so
// that a wrong size in a short stream does not cause a large allocation.
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
