package wire

import (
	"encoding/binary"
	"math"
	"time"
)

const replyHeaderSize = 12 // u32 batch number, u32 body size, u32 records

// Reply builds the frame that responds to a batch. Call Begin, then one method for each action, in the order
// of the actions, then Bytes. The zero value is ready to use. A Reply is not safe for concurrent use.
type Reply struct {
	frame   []byte
	records uint32
}

// Begin discards the content of the reply and starts the reply to the batch with the given number.
func (r *Reply) Begin(batch uint32) {
	r.frame = append(r.frame[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(r.frame, batch)
	r.records = 0
}

// Bytes completes the frame and returns it. The returned slice is valid until the next Begin.
func (r *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(r.frame[4:], uint32(len(r.frame)-replyHeaderSize))
	binary.LittleEndian.PutUint32(r.frame[8:], r.records)
	return r.frame
}

// beginRecord writes a record's header and its first field, the instance. The caller then writes the other
// fields and passes start to endRecord.
func (r *Reply) beginRecord(code ActionCode, instance uint32) (start int) {
	start = len(r.frame)
	r.records++
	r.u16(uint16(code))
	r.u32(0) // placeholder for the size, which endRecord sets
	r.u32(instance)
	return start
}

// endRecord sets the size of the record that begins at start.
func (r *Reply) endRecord(start int) {
	size := len(r.frame) - start - recordHeaderSize
	binary.LittleEndian.PutUint32(r.frame[start+2:], uint32(size))
}

func (r *Reply) u8(v uint8)    { r.frame = append(r.frame, v) }
func (r *Reply) u16(v uint16)  { r.frame = binary.LittleEndian.AppendUint16(r.frame, v) }
func (r *Reply) u32(v uint32)  { r.frame = binary.LittleEndian.AppendUint32(r.frame, v) }
func (r *Reply) u64(v uint64)  { r.frame = binary.LittleEndian.AppendUint64(r.frame, v) }
func (r *Reply) f64(v float64) { r.u64(math.Float64bits(v)) }

// duration writes d in milliseconds. It is the inverse of settings.Millis.
func (r *Reply) duration(d time.Duration) { r.f64(float64(d) / 1e6) }

func (r *Reply) endpoint(endpoint Endpoint) {
	for range endpointSize {
		r.u8(byte(endpoint))
		endpoint >>= 8
	}
}

// text writes the length of a text and the text, truncated to the largest length that a u16 can hold.
func (r *Reply) text(text string) {
	text = text[:min(len(text), math.MaxUint16)]
	r.u16(uint16(len(text)))
	r.frame = append(r.frame, text...)
}
