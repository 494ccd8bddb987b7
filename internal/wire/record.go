package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"mothridge/internal/settings"
)

// Record is one record of a batch. For each kind of event there is a method that decodes its fields; the
// caller chooses the method by Code. Fields that a later version of the protocol appends are ignored.
type Record struct {
	Code   EventCode
	Fields []byte // valid as long as the Batch
}

// NextRecord returns the first record of a body and the rest of the body.
func NextRecord(body []byte) (Record, []byte, error) {
	if len(body) < recordHeaderSize {
		return Record{}, nil, fmt.Errorf("record header is truncated: only %d bytes remain", len(body))
	}
	record := Record{Code: EventCode(binary.LittleEndian.Uint16(body))}
	size := binary.LittleEndian.Uint32(body[2:])
	body = body[recordHeaderSize:]
	if uint64(size) > uint64(len(body)) {
		return Record{}, nil, fmt.Errorf("record %d: size is %d bytes, but %d remain", record.Code, size, len(body))
	}
	record.Fields = body[:size]
	return record, body[size:], nil
}

// fieldReader reads the fields of a record in order. After a truncated field, every further field is zero.
type fieldReader struct {
	rest      []byte
	offset    int // offset of the next field from the first field, in bytes
	truncated bool
}

// fields returns a reader that starts at the record's first field.
func (r Record) fields() fieldReader { return fieldReader{rest: r.Fields} }

// instanceFields returns a reader that starts after the instance number, which is the first field of most
// records.
func (r Record) instanceFields() fieldReader {
	f := r.fields()
	f.u32()
	return f
}

func (f *fieldReader) readBytes(size int) []byte {
	if f.truncated || size < 0 || size > len(f.rest) {
		f.truncated = true
		return nil
	}
	field := f.rest[:size]
	f.rest = f.rest[size:]
	f.offset += size
	return field
}

func (f *fieldReader) u8() uint8 {
	if field := f.readBytes(1); field != nil {
		return field[0]
	}
	return 0
}

func (f *fieldReader) u16() uint16 {
	if field := f.readBytes(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

func (f *fieldReader) u32() uint32 {
	if field := f.readBytes(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (f *fieldReader) u64() uint64 {
	if field := f.readBytes(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

func (f *fieldReader) f32() float32 { return math.Float32frombits(f.u32()) }

func (f *fieldReader) f64() float64 { return math.Float64frombits(f.u64()) }

func (f *fieldReader) duration() time.Duration { return settings.Millis(f.f64()) }

func (f *fieldReader) endpoint() Endpoint {
	field := f.readBytes(endpointSize)
	if field == nil {
		return 0
	}
	var padded [8]byte
	copy(padded[:], field)
	return Endpoint(binary.LittleEndian.Uint64(padded[:]))
}

// loadReport reads the number of values and the values, and keeps the first maxLoadValues values.
func (f *fieldReader) loadReport() LoadReport {
	var report LoadReport
	count := int(f.u8())
	field := f.readBytes(4 * count)
	if field == nil {
		return report
	}
	report.Count = min(count, maxLoadValues)
	for i := range report.Count {
		report.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(field[4*i:]))
	}
	return report
}

// err returns an error with the offset of the truncated field, or nil if no field was truncated. As in the
// protocol, the offset is counted from the start of the record, including its header.
func (f *fieldReader) err(code EventCode) error {
	if f.truncated {
		return fmt.Errorf("record %d: the field at byte %d is truncated", code, recordHeaderSize+f.offset)
	}
	return nil
}
