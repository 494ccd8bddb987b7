package wire

import (
	"encoding/binary"
	"math"
	"time"
)

const replyHeaderSize = 12 // u32 batch number, u32 body size, u32 records

// Reply builds the frame that answers a batch. Begin comes first, then a method for each
// action in their order, then Bytes. The zero value is ready for Begin; it is not safe
// for concurrent use.
type Reply struct {
	frame   []byte
	records uint32
}

// Begin discards what the reply holds and starts the answer to the batch of that number.
func (p *Reply) Begin(batch uint32) {
	p.frame = append(p.frame[:0], make([]byte, replyHeaderSize)...)
	binary.LittleEndian.PutUint32(p.frame, batch)
	p.records = 0
}

// Bytes completes the frame and returns it; it is valid until the next Begin.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.frame[4:], uint32(len(p.frame)-replyHeaderSize))
	binary.LittleEndian.PutUint32(p.frame[8:], p.records)
	return p.frame
}

// beginRecord writes a record's header and its first field. The fields that follow are
// ended by endRecord, which takes the same start.
func (p *Reply) beginRecord(code ActionCode, instance uint32) (start int) {
	start = len(p.frame)
	p.records++
	p.u16(uint16(code))
	p.u32(0) // the size, which endRecord sets
	p.u32(instance)
	return start
}

func (p *Reply) endRecord(start int) {
	size := len(p.frame) - start - recordHeaderSize
	binary.LittleEndian.PutUint32(p.frame[start+2:], uint32(size))
}

func (p *Reply) u8(v uint8)    { p.frame = append(p.frame, v) }
func (p *Reply) u16(v uint16)  { p.frame = binary.LittleEndian.AppendUint16(p.frame, v) }
func (p *Reply) u32(v uint32)  { p.frame = binary.LittleEndian.AppendUint32(p.frame, v) }
func (p *Reply) u64(v uint64)  { p.frame = binary.LittleEndian.AppendUint64(p.frame, v) }
func (p *Reply) f64(v float64) { p.u64(math.Float64bits(v)) }

// duration writes milliseconds, as the inverse of settings.Millis.
func (p *Reply) duration(d time.Duration) { p.f64(float64(d) / 1e6) }

func (p *Reply) endpoint(endpoint Endpoint) {
	for range endpointSize {
		p.u8(byte(endpoint))
		endpoint >>= 8
	}
}

// text writes a text's length and as much of the text as the length can say.
func (p *Reply) text(text string) {
	text = text[:min(len(text), math.MaxUint16)]
	p.u16(uint16(len(text)))
	p.frame = append(p.frame, text...)
}
