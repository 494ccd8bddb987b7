package wire

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"mothridge/internal/settings"
)

// Record is one record of a batch. A method for each kind of event decodes its fields;
// the caller chooses it by Code. Fields that a later version added at the end are
// ignored.
type Record struct {
	Code   EventCode
	Fields []byte // valid as long as the Batch
}

// Next cuts the next record off a body and returns what is left of it.
func Next(body []byte) (Record, []byte, error) {
	if len(body) < recordHeaderSize {
		return Record{}, nil, fmt.Errorf("record header cut off: %d bytes left", len(body))
	}
	record := Record{Code: EventCode(binary.LittleEndian.Uint16(body))}
	size := binary.LittleEndian.Uint32(body[2:])
	body = body[recordHeaderSize:]
	if uint64(size) > uint64(len(body)) {
		return Record{}, nil, fmt.Errorf("record %d: %d bytes claimed, %d left", record.Code, size, len(body))
	}
	record.Fields = body[:size]
	return record, body[size:], nil
}

// fieldReader takes the fields off a record in their order. After a field that is cut off
// every further one is zero.
type fieldReader struct {
	rest   []byte
	offset int // of the next field, from the first one
	cutOff bool
}

// fields starts at a record's first field.
func (r Record) fields() fieldReader { return fieldReader{rest: r.Fields} }

// instanceFields starts after the instance, the first field of most records.
func (r Record) instanceFields() fieldReader {
	f := r.fields()
	f.u32()
	return f
}

func (f *fieldReader) take(size int) []byte {
	if f.cutOff || size < 0 || size > len(f.rest) {
		f.cutOff = true
		return nil
	}
	field := f.rest[:size]
	f.rest = f.rest[size:]
	f.offset += size
	return field
}

func (f *fieldReader) u8() uint8 {
	if field := f.take(1); field != nil {
		return field[0]
	}
	return 0
}

func (f *fieldReader) u16() uint16 {
	if field := f.take(2); field != nil {
		return binary.LittleEndian.Uint16(field)
	}
	return 0
}

func (f *fieldReader) u32() uint32 {
	if field := f.take(4); field != nil {
		return binary.LittleEndian.Uint32(field)
	}
	return 0
}

func (f *fieldReader) u64() uint64 {
	if field := f.take(8); field != nil {
		return binary.LittleEndian.Uint64(field)
	}
	return 0
}

func (f *fieldReader) f32() float32 { return math.Float32frombits(f.u32()) }

func (f *fieldReader) f64() float64 { return math.Float64frombits(f.u64()) }

func (f *fieldReader) duration() time.Duration { return settings.Millis(f.f64()) }

func (f *fieldReader) endpoint() Endpoint {
	field := f.take(endpointSize)
	if field == nil {
		return 0
	}
	var padded [8]byte
	copy(padded[:], field)
	return Endpoint(binary.LittleEndian.Uint64(padded[:]))
}

// loadReport reads a count and that many values, and keeps the first maxLoadValues.
func (f *fieldReader) loadReport() LoadReport {
	var report LoadReport
	count := int(f.u8())
	field := f.take(4 * count)
	if field == nil {
		return report
	}
	report.Count = min(count, maxLoadValues)
	for i := range report.Count {
		report.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(field[4*i:]))
	}
	return report
}

// err names the field that was cut off by its offset in the record, as the protocol
// counts; nil if there is none.
func (f *fieldReader) err(code EventCode) error {
	if f.cutOff {
		return fmt.Errorf("record %d: the field at byte %d is cut off", code, recordHeaderSize+f.offset)
	}
	return nil
}
