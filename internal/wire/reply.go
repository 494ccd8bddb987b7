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
func (p *Reply) Begin(batch uint32) {
	p.frame = append(p.frame[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(p.frame, batch)
	p.records = 0
}

// Bytes completes the frame and returns it. The returned slice is valid until the next Begin.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.frame[4:], uint32(len(p.frame)-replyHeaderSize))
	binary.LittleEndian.PutUint32(p.frame[8:], p.records)
	return p.frame
}

// beginRecord writes a record's header and its first field, the instance. The caller then writes the other
// fields and passes start to endRecord.
func (p *Reply) beginRecord(code ActionCode, instance uint32) (start int) {
	start = len(p.frame)
	p.records++
	p.u16(uint16(code))
	p.u32(0) // placeholder for the size, which endRecord sets
	p.u32(instance)
	return start
}

// endRecord sets the size of the record that begins at start.
func (p *Reply) endRecord(start int) {
	size := len(p.frame) - start - recordHeaderSize
	binary.LittleEndian.PutUint32(p.frame[start+2:], uint32(size))
}

func (p *Reply) u8(v uint8)    { p.frame = append(p.frame, v) }
func (p *Reply) u16(v uint16)  { p.frame = binary.LittleEndian.AppendUint16(p.frame, v) }
func (p *Reply) u32(v uint32)  { p.frame = binary.LittleEndian.AppendUint32(p.frame, v) }
func (p *Reply) u64(v uint64)  { p.frame = binary.LittleEndian.AppendUint64(p.frame, v) }
func (p *Reply) f64(v float64) { p.u64(math.Float64bits(v)) }

// duration writes d in milliseconds. It is the inverse of settings.Millis.
func (p *Reply) duration(d time.Duration) { p.f64(float64(d) / 1e6) }

func (p *Reply) endpoint(endpoint Endpoint) {
	for range endpointSize {
		p.u8(byte(endpoint))
		endpoint >>= 8
	}
}

// text writes the length of a text and the text, truncated to the largest length that a u16 can hold.
func (p *Reply) text(text string) {
	text = text[:min(len(text), math.MaxUint16)]
	p.u16(uint16(len(text)))
	p.frame = append(p.frame, text...)
}
