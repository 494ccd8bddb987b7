// Package wire speaks the simulator's binary protocol: frames, records,
// server lists and the settings that come with each instance.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"time"

	"mothridge/internal/settings"
	"mothridge/policy"
)

// Event codes.
const (
	EvCheckResult  = 1000
	EvManifest     = 1010
	EvCrashNow     = 1020
	EvHeaders      = 1030
	EvHeard        = 1040
	EvFleet        = 1050
	EvFinished     = 1060
	EvWake         = 1070
	EvAsk          = 1080
	EvClientLeft   = 1090
	EvOpenInstance = 1100
)

// Action codes.
const (
	ActCallOut  = 1000
	ActPushBack = 1010
	ActLose     = 1020
	ActRecall   = 1030
	ActSetAlarm = 1040
	ActInspect  = 1050
	ActWriteLog = 1080
	ActDie      = 1090
	ActTail     = 1100
)

// Outcome codes.
const (
	EndServed       = 100
	EndErrored      = 301
	EndTurnedAway   = 302
	EndTimedOut     = 303
	EndNoConnection = 304
	EndBroken       = 305
	EndCancelled    = 306
	EndNotSent      = 307
)

// Kinds of a Fleet event.
const (
	FleetFull   = 1
	FleetDelta  = 2
	FleetCached = 3
	FleetFailed = 4
)

// Bits of an Ask event.
const (
	BitHint   = 1
	BitRepeat = 2
)

// States of a list entry.
const (
	StateGone     = 0
	StateReady    = 1
	StateDraining = 2
)

const (
	batchHeaderLen = 20
	replyHeaderLen = 12
	recordHeadLen  = 6
	entryLen       = 23
	// maxFrame bounds what one frame may claim to hold. Real batches run to
	// megabytes; a claim beyond this is a broken stream, not a batch.
	maxFrame = 1 << 28
	// chunk is how much of a claimed length is taken on trust at a time.
	chunk = 1 << 20
)

// ToMillis is the inverse of settings.Millis.
func ToMillis(d time.Duration) float64 { return float64(d) / 1e6 }

// Batch is one frame of events.
type Batch struct {
	Number  uint32
	Records uint32
	Clock   time.Duration
	Body    []byte // valid until the next ReadBatch
}

// Reader reads batches from a stream.
type Reader struct {
	r    io.Reader
	head [batchHeaderLen]byte
	buf  []byte
}

// NewReader returns a Reader of r, which should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// ReadBatch reads the next frame. It returns io.EOF at a clean end of input.
func (r *Reader) ReadBatch() (Batch, error) {
	if _, err := io.ReadFull(r.r, r.head[:]); err != nil {
		if errors.Is(err, io.EOF) {
			return Batch{}, io.EOF
		}
		return Batch{}, fmt.Errorf("read batch header: %w", err)
	}
	le := binary.LittleEndian
	b := Batch{Number: le.Uint32(r.head[0:]), Records: le.Uint32(r.head[4:])}
	size := le.Uint32(r.head[8:])
	clock := math.Float64frombits(le.Uint64(r.head[12:]))
	if math.IsNaN(clock) || math.IsInf(clock, 0) {
		return Batch{}, fmt.Errorf("batch %d: clock is not a number", b.Number)
	}
	b.Clock = settings.Millis(clock)
	if size > maxFrame {
		return Batch{}, fmt.Errorf("batch %d: %d bytes claimed, at most %d are taken", b.Number, size, maxFrame)
	}
	if uint64(b.Records)*recordHeadLen > uint64(size) {
		return Batch{}, fmt.Errorf("batch %d: %d records cannot fit into %d bytes", b.Number, b.Records, size)
	}
	// The buffer grows with what really arrives, so that a wrong length in a
	// short stream does not make a large allocation.
	r.buf = r.buf[:0]
	for left := int(size); left > 0; {
		n := min(left, max(chunk, cap(r.buf)-len(r.buf)))
		at := len(r.buf)
		if cap(r.buf)-at < n {
			r.buf = append(r.buf, make([]byte, n)...)
		} else {
			r.buf = r.buf[:at+n]
		}
		if _, err := io.ReadFull(r.r, r.buf[at:at+n]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return Batch{}, fmt.Errorf("batch %d: read body: %w", b.Number, err)
		}
		left -= n
	}
	b.Body = r.buf
	return b, nil
}

// Record is one record of a batch: its code and its fields.
type Record struct {
	Code   uint16
	Fields []byte
}

// Next cuts the next record off body and returns the rest.
func Next(body []byte) (Record, []byte, error) {
	if len(body) < recordHeadLen {
		return Record{}, nil, fmt.Errorf("record header cut off: %d bytes left", len(body))
	}
	n := binary.LittleEndian.Uint32(body[2:])
	rec := Record{Code: binary.LittleEndian.Uint16(body)}
	body = body[recordHeadLen:]
	if uint64(n) > uint64(len(body)) {
		return Record{}, nil, fmt.Errorf("record %d: %d bytes claimed, %d left", rec.Code, n, len(body))
	}
	rec.Fields = body[:n]
	return rec, body[n:], nil
}

// cursor takes fields off a record. After a short read bad is set and every
// further field is zero. Bytes left over are allowed: fields may be added.
type cursor struct {
	b   []byte
	at  int // where the next field begins in its record, as the protocol counts, less the record's head
	bad bool
}

func (c *cursor) take(n int) []byte {
	if c.bad || n < 0 || n > len(c.b) {
		c.bad = true
		return nil
	}
	f := c.b[:n]
	c.b, c.at = c.b[n:], c.at+n
	return f
}

func (c *cursor) u8() uint8 {
	if f := c.take(1); f != nil {
		return f[0]
	}
	return 0
}

func (c *cursor) u16() uint16 {
	if f := c.take(2); f != nil {
		return binary.LittleEndian.Uint16(f)
	}
	return 0
}

func (c *cursor) u32() uint32 {
	if f := c.take(4); f != nil {
		return binary.LittleEndian.Uint32(f)
	}
	return 0
}

func (c *cursor) u64() uint64 {
	if f := c.take(8); f != nil {
		return binary.LittleEndian.Uint64(f)
	}
	return 0
}

func (c *cursor) f64() float64 { return math.Float64frombits(c.u64()) }

func (c *cursor) addr() Upstream {
	f := c.take(6)
	if f == nil {
		return 0
	}
	var b [8]byte
	copy(b[:], f)
	return Upstream(binary.LittleEndian.Uint64(b[:]))
}

func (c *cursor) report() Report {
	var r Report
	n := int(c.u8())
	f := c.take(4 * n)
	if f == nil {
		return r
	}
	r.N = min(n, len(r.Values))
	for i := range r.N {
		r.Values[i] = math.Float32frombits(binary.LittleEndian.Uint32(f[4*i:]))
	}
	return r
}

func (c *cursor) done(code uint16) error {
	if c.bad {
		return fmt.Errorf("record %d: the field at byte %d is cut off", code, recordHeadLen+c.at)
	}
	return nil
}

// Upstream is an address and port: the six bytes of the wire, first byte lowest.
type Upstream uint64

// Report is a load report: up to four values in the order of the settings.
type Report struct {
	N      int
	Values [4]float32
}

// Load takes the number of requests held out of that column; it is negative where absent.
func (r Report) Load(column int) policy.LoadReport {
	if column < 0 || column >= r.N {
		return policy.LoadReport{InFlight: -1}
	}
	return policy.LoadReport{InFlight: float64(r.Values[column])}
}

// Entry is one line of a server list.
type Entry struct {
	Upstream Upstream
	Area     uint8
	Family   uint8
	Cohort   uint16
	Status   uint8
	Rating   float64
	Boot     time.Duration
}

// Instance reads the instance that a record is for; a Manifest has none.
func (r Record) Instance() (uint32, error) {
	c := cursor{b: r.Fields}
	i := c.u32()
	return i, c.done(r.Code)
}

// Manifest reads a numbered server list.
func (r Record) Manifest() (page uint16, entries []Entry, err error) {
	c := cursor{b: r.Fields}
	page = c.u16()
	n := c.u32()
	if c.bad || uint64(n)*entryLen > uint64(len(c.b)) {
		return 0, nil, fmt.Errorf("record %d: %d list lines claimed, %d bytes left", r.Code, n, len(c.b))
	}
	entries = make([]Entry, n)
	for i := range entries {
		e := Entry{Upstream: c.addr(), Area: c.u8(), Family: c.u8(), Cohort: c.u16(), Status: c.u8()}
		e.Rating = float64(math.Float32frombits(c.u32()))
		e.Boot = settings.Millis(c.f64())
		entries[i] = e
	}
	return page, entries, c.done(r.Code)
}

// OpenInstance reads the start of an instance; info is only valid as long as the batch.
func (r Record) OpenInstance() (seed uint64, info []byte, err error) {
	c := cursor{b: r.Fields}
	c.u32()
	seed = c.u64()
	info = c.take(int(c.u32()))
	return seed, info, c.done(r.Code)
}

// Fleet reads the news about a server list.
func (r Record) Fleet() (kind uint8, version uint32, page uint16, err error) {
	c := cursor{b: r.Fields}
	c.u32()
	kind, version, page = c.u8(), c.u32(), c.u16()
	return kind, version, page, c.done(r.Code)
}

// Ask is a client request.
type Ask struct {
	Job    uint32
	Bits   uint16
	Key    uint64
	Tenant uint32
	Left   time.Duration
	Hint   time.Duration
	Kind   uint8
}

// Ask reads a client request.
func (r Record) Ask() (Ask, error) {
	c := cursor{b: r.Fields}
	c.u32()
	a := Ask{Job: c.u32(), Bits: c.u16(), Key: c.u64(), Tenant: c.u32()}
	a.Left, a.Hint, a.Kind = settings.Millis(c.f64()), settings.Millis(c.f64()), c.u8()
	return a, c.done(r.Code)
}

// Finished is the outcome of an attempt.
type Finished struct {
	Job      uint32
	Hop      uint8
	Upstream Upstream
	Ending   uint16
	Took     time.Duration
	Settled  bool
	Pressure Report
}

// Finished reads the outcome of an attempt.
func (r Record) Finished() (Finished, error) {
	c := cursor{b: r.Fields}
	c.u32()
	f := Finished{Job: c.u32(), Hop: c.u8(), Upstream: c.addr(), Ending: c.u16()}
	f.Took, f.Settled, f.Pressure = settings.Millis(c.f64()), c.u8() != 0, c.report()
	return f, c.done(r.Code)
}

// CheckResult reads the result of a probe.
func (r Record) CheckResult() (up Upstream, ending uint16, report Report, err error) {
	c := cursor{b: r.Fields}
	c.u32()
	up, ending = c.addr(), c.u16()
	c.f64()
	report = c.report()
	return up, ending, report, c.done(r.Code)
}

// Job reads the request that a ClientLeft or Headers record names.
func (r Record) Job() (uint32, error) {
	c := cursor{b: r.Fields}
	c.u32()
	job := c.u32()
	return job, c.done(r.Code)
}

// Cookie reads the cookie of a Wake record.
func (r Record) Cookie() (uint64, error) {
	c := cursor{b: r.Fields}
	c.u32()
	v := c.u64()
	return v, c.done(r.Code)
}

// Reply gathers the actions that answer one batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Begin empties the reply and starts one for the batch of that number.
func (p *Reply) Begin(number uint32) {
	p.buf = append(p.buf[:0], make([]byte, replyHeaderLen)...)
	binary.LittleEndian.PutUint32(p.buf, number)
	p.count = 0
}

// Bytes completes the frame; it stays valid until the next Begin.
func (p *Reply) Bytes() []byte {
	binary.LittleEndian.PutUint32(p.buf[4:], uint32(len(p.buf)-replyHeaderLen))
	binary.LittleEndian.PutUint32(p.buf[8:], p.count)
	return p.buf
}

func (p *Reply) head(code uint16, size int, inst uint32) {
	p.count++
	p.buf = binary.LittleEndian.AppendUint16(p.buf, code)
	p.buf = binary.LittleEndian.AppendUint32(p.buf, uint32(size))
	p.u32(inst)
}

func (p *Reply) u32(v uint32)  { p.buf = binary.LittleEndian.AppendUint32(p.buf, v) }
func (p *Reply) u64(v uint64)  { p.buf = binary.LittleEndian.AppendUint64(p.buf, v) }
func (p *Reply) f64(v float64) { p.u64(math.Float64bits(v)) }

func (p *Reply) addr(u Upstream) {
	for range 6 {
		p.buf = append(p.buf, byte(u))
		u >>= 8
	}
}

func (p *Reply) text(code uint16, inst uint32, s string) {
	s = s[:min(len(s), math.MaxUint16)]
	p.head(code, 6+len(s), inst)
	p.buf = binary.LittleEndian.AppendUint16(p.buf, uint16(len(s)))
	p.buf = append(p.buf, s...)
}

// CallOut starts an attempt.
func (p *Reply) CallOut(inst, job uint32, to Upstream, patience time.Duration) {
	p.head(ActCallOut, 22, inst)
	p.u32(job)
	p.addr(to)
	p.f64(ToMillis(patience))
}

// SetAlarm asks for a Wake.
func (p *Reply) SetAlarm(inst uint32, after time.Duration, cookie uint64) {
	p.head(ActSetAlarm, 20, inst)
	p.f64(ToMillis(after))
	p.u64(cookie)
}

// Inspect probes an upstream.
func (p *Reply) Inspect(inst uint32, to Upstream) {
	p.head(ActInspect, 10, inst)
	p.addr(to)
}

// PushBack refuses a request.
func (p *Reply) PushBack(inst, job uint32, pause time.Duration) {
	p.head(ActPushBack, 16, inst)
	p.u32(job)
	p.f64(ToMillis(pause))
}

// Lose fails a request.
func (p *Reply) Lose(inst, job uint32) {
	p.head(ActLose, 8, inst)
	p.u32(job)
}

// Recall calls an attempt off.
func (p *Reply) Recall(inst, job uint32, hop uint8) {
	p.head(ActRecall, 9, inst)
	p.u32(job)
	p.buf = append(p.buf, hop)
}

// Tail subscribes to the server list, or ends the subscription.
func (p *Reply) Tail(inst uint32, on bool) {
	p.head(ActTail, 5, inst)
	b := byte(0)
	if on {
		b = 1
	}
	p.buf = append(p.buf, b)
}

// WriteLog writes a line for the report.
func (p *Reply) WriteLog(inst uint32, line string) { p.text(ActWriteLog, inst, line) }

// Die says that the decision code has failed.
func (p *Reply) Die(inst uint32, note string) { p.text(ActDie, inst, note) }
