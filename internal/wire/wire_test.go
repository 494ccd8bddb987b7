package wire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"
)

func decodeHex(t testing.TB, text string) []byte {
	t.Helper()
	decoded, err := hex.DecodeString(strings.NewReplacer(" ", "", "\n", "", "\t", "").Replace(text))
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// firstRecord returns the first record of a body that is given in hexadecimal.
func firstRecord(t testing.TB, text string) Record {
	t.Helper()
	record, _, err := NextRecord(decodeHex(t, text))
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// The records are the examples of the protocol page.
func TestReadBatch(t *testing.T) {
	reader := NewReader(bytes.NewReader(decodeHex(t, `0c000000 03000000 4d000000 00000000206ec040
		3804 27000000 03000000 c4913a5d 0100 640ad2557c3bf091 00000000 0000000000006e40 0000000000002840 00
		2e04 0c000000 03000000 4d00000000000000
		4204 08000000 05000000 192b6f0e`)))
	batch, err := reader.ReadBatch()
	if err != nil || batch.Number != 12 || batch.Records != 3 || batch.Clock != 8412250*time.Microsecond {
		t.Fatalf("got batch %+v, error %v; want batch 12 with 3 records at 8412.25 ms, no error", batch, err)
	}
	record, rest, err := NextRecord(batch.Body)
	if err != nil {
		t.Fatal(err)
	}
	request, err := record.RequestReceived()
	want := Request{
		ID: 0x5d3a91c4, Flags: FlagExpectedWork, AffinityKey: 0x91f03b7c55d20a64,
		Timeout: 240 * time.Millisecond, ExpectedWork: 12 * time.Millisecond,
	}
	if err != nil || request != want {
		t.Fatalf("got request %+v, error %v; want %+v, no error", request, err, want)
	}
	record, rest, _ = NextRecord(rest)
	if token, err := record.TimerToken(); err != nil || token != 77 {
		t.Fatalf("got token %d, error %v; want 77, no error", token, err)
	}
	record, rest, _ = NextRecord(rest)
	id, err := record.RequestID()
	if instance, _ := record.Instance(); err != nil || id != 0x0e6f2b19 || instance != 5 || len(rest) != 0 {
		t.Fatalf("got request %x of instance %d, error %v, %d bytes left; want e6f2b19 of 5, no error, 0 bytes",
			id, instance, err, len(rest))
	}
	if _, err := reader.ReadBatch(); !errors.Is(err, io.EOF) {
		t.Fatalf("end of input: got error %v, want io.EOF", err)
	}
}

func TestDecodeListsAndResults(t *testing.T) {
	number, entries, err := firstRecord(t, `f203 34000000 0000 02000000
		0a124a07 931f 00 00 0000 01 0000803f 0000000000000000
		0a9011f2 bc1f 00 00 0000 01 0000c03f 0000000000d4b740`).EndpointList()
	if err != nil || number != 0 || len(entries) != 2 {
		t.Fatalf("got list %d, %d entries, error %v; want list 0, 2 entries, no error", number, len(entries), err)
	}
	if e := entries[1]; e.Health != HealthReady || e.Weight != 1.5 || e.StartedAt != 6100*time.Millisecond {
		t.Fatalf("got entry %+v, want a ready entry with weight 1.5, started at 6.1 s", e)
	}
	ended, err := firstRecord(t,
		"2404 1b000000 03000000 c4913a5d 00 0a124a07 931f 6400 0000000000803240 01 00").AttemptEnded()
	if err != nil || ended.Result != ResultServed || !ended.Completed || ended.Elapsed != 18500*time.Microsecond ||
		ended.Endpoint != entries[0].Endpoint {
		t.Fatalf("got attempt %+v, error %v; want it served, completed, 18.5 ms, at the first endpoint", ended, err)
	}
	probe, err := firstRecord(t, `e803 25000000 03000000 0a9011f2 bc1f 6400 666666666666f63f
		04 0000003f0000684100000c430000e040`).ProbeEnded()
	if err != nil || probe.Endpoint != entries[1].Endpoint || probe.Result != ResultServed {
		t.Fatalf("got probe %+v, error %v; want it served by the second entry's endpoint", probe, err)
	}
	report := probe.LoadReport
	if report.Count != 4 || report.Values[3] != 7 || report.ToPolicy(3).InFlight != 7 {
		t.Fatalf("got load report %+v, want 4 values, the last one 7 requests in flight", report)
	}
	if report.ToPolicy(-1).InFlight != -1 || (LoadReport{}).ToPolicy(3).InFlight != -1 {
		t.Fatal("load report without a number of requests in flight: InFlight is not -1")
	}
	update, err := firstRecord(t, "1a04 0b000000 03000000 03 29000000 0700").EndpointUpdate()
	if want := (EndpointUpdate{Kind: UpdateCached, Version: 41, List: 7}); err != nil || update != want {
		t.Fatalf("got update %+v, error %v; want %+v, no error", update, err, want)
	}
}

func TestEncodeActions(t *testing.T) {
	fields := firstRecord(t, "1a04 0a000000 03000000 0a124a07 931f").instanceFields()
	to := fields.endpoint()
	var reply Reply
	reply.Begin(12)
	reply.Send(3, 0x5d3a91c4, to, 80*time.Millisecond)
	reply.SetTimer(3, 500*time.Millisecond, 77)
	reply.Log(3, "two servers known")
	reply.Reject(3, 0x0e6f2b19, 250*time.Millisecond)
	reply.Fail(3, 0x0e6f2b19)
	reply.Cancel(3, 0x5d3a91c4, 0)
	reply.Watch(3, true)
	reply.Probe(3, to)
	reply.Fault(3, "index out of range")
	want := decodeHex(t, `0c000000 bf000000 09000000
		e803 16000000 03000000 c4913a5d 0a124a07 931f 0000000000005440
		1004 14000000 03000000 0000000000407f40 4d00000000000000
		3804 17000000 03000000 1100 74776f2073657276657273206b6e6f776e
		f203 10000000 03000000 192b6f0e 0000000000406f40
		fc03 08000000 03000000 192b6f0e
		0604 09000000 03000000 c4913a5d 00
		4c04 05000000 03000000 01
		1a04 0a000000 03000000 0a124a07 931f
		4204 18000000 03000000 1200 696e646578206f7574206f662072616e6765`)
	if got := reply.Bytes(); !bytes.Equal(got, want) {
		t.Fatalf("got reply\n%x\nwant\n%x", got, want)
	}
	reply.Begin(1)
	if got := reply.Bytes(); !bytes.Equal(got, decodeHex(t, "01000000 00000000 00000000")) {
		t.Fatalf("got empty reply %x, want 010000000000000000000000", got)
	}
}

// encodeBatch encodes a batch whose header may contradict its body.
func encodeBatch(records, size uint32, clock float64, body string) []byte {
	encoded := binary.LittleEndian.AppendUint32(nil, 1)
	encoded = binary.LittleEndian.AppendUint32(encoded, records)
	encoded = binary.LittleEndian.AppendUint32(encoded, size)
	encoded = binary.LittleEndian.AppendUint64(encoded, math.Float64bits(clock))
	return append(encoded, body...)
}

func TestMalformedFrames(t *testing.T) {
	for name, input := range map[string][]byte{
		"truncated header":      {1, 2, 3},
		"truncated body":        encodeBatch(1, 100, 0, "short"),
		"oversized":             encodeBatch(1, 1<<31, 0, ""),
		"large and truncated":   encodeBatch(1, maxBodySize, 0, "short"),
		"more records than fit": encodeBatch(100, 6, 0, "abcdef"),
		"clock not a number":    encodeBatch(0, 0, math.NaN(), ""),
	} {
		if _, err := NewReader(bytes.NewReader(input)).ReadBatch(); err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: got error %v, want an error other than io.EOF", name, err)
		}
	}
}

// A wrong size or count in a record must cause an error, not a panic or a large allocation. A field that a later
// version of the protocol has appended must be ignored.
func TestMalformedRecords(t *testing.T) {
	for name, input := range map[string]string{
		"truncated record header": "e803",
		"size beyond the body":    "e803 ff000000 03000000",
	} {
		if _, _, err := NextRecord(decodeHex(t, input)); err == nil {
			t.Errorf("%s: got no error, want an error", name)
		}
	}
	short := Record{Code: EventRequestReceived, Fields: []byte{1, 0, 0, 0, 9}}
	if _, err := short.RequestReceived(); err == nil {
		t.Error("truncated fields: got no error, want an error")
	}
	huge := Record{Code: EventEndpointList, Fields: []byte{0, 0, 255, 255, 255, 255}}
	if _, _, err := huge.EndpointList(); err == nil {
		t.Error("list of 4,294,967,295 entries: got no error, want an error")
	}
	longer := Record{Code: EventTimerFired, Fields: append(make([]byte, 12), "a field of a later version"...)}
	if _, err := longer.TimerToken(); err != nil {
		t.Errorf("appended field: got error %v, want none", err)
	}
}

func TestTruncatedFieldErrorContainsOffset(t *testing.T) {
	for size, want := range map[int]string{2: "byte 6 ", 6: "byte 10 ", 9: "byte 14 "} {
		_, err := Record{Code: EventRequestReceived, Fields: make([]byte, size)}.RequestReceived()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%d bytes of fields: got error %v, want an error that contains %q", size, err, want)
		}
	}
}

func FuzzReader(f *testing.F) {
	f.Add(encodeBatch(1, 10, 1, "\x2e\x04\x04\x00\x00\x00\x01\x00\x00\x00"))
	f.Add(encodeBatch(0, 0, 0, ""))
	f.Fuzz(func(t *testing.T, data []byte) {
		batch, err := NewReader(bytes.NewReader(data)).ReadBatch()
		if err != nil {
			return
		}
		for body := batch.Body; len(body) > 0; {
			record, rest, err := NextRecord(body)
			if err != nil {
				return
			}
			body = rest
			record.Instance()
			record.EndpointList()
			record.InstanceStarted()
			record.EndpointUpdate()
			record.RequestReceived()
			record.AttemptEnded()
			record.ProbeEnded()
			record.RequestID()
			record.TimerToken()
		}
	})
}
