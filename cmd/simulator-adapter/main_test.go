package main

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"slices"
	"strings"
	"testing"

	"mothridge/internal/wire"
)

const testSettings = `balancers=2
caps.may_cancel=true
caps.most_tries=3
classes.count=1
classes.0.aim_ms=500
classes.0.hard_limit_ms=1000
classes.0.semantics=free
discovery=ask
rules.ask_within_ms=10000
period_ms=5
`

// encodeRecord encodes one event with the given fields.
func encodeRecord(code wire.EventCode, fields ...any) []byte {
	var encoded bytes.Buffer
	for _, field := range fields {
		if text, ok := field.(string); ok {
			field = []byte(text)
		}
		if err := binary.Write(&encoded, binary.LittleEndian, field); err != nil {
			panic(err)
		}
	}
	header := binary.LittleEndian.AppendUint16(nil, uint16(code))
	header = binary.LittleEndian.AppendUint32(header, uint32(encoded.Len()))
	return append(header, encoded.Bytes()...)
}

func instanceStarted(instance uint32, seed uint64) []byte {
	return encodeRecord(wire.EventInstanceStarted, instance, seed, uint32(len(testSettings)), testSettings)
}

func instanceStopped(instance uint32) []byte {
	return encodeRecord(wire.EventInstanceStopped, instance)
}

// endpointAddress returns the encoded address 10.0.0.last with port 80.
func endpointAddress(last byte) []byte { return []byte{10, 0, 0, last, 80, 0} }

// endpointList encodes a list of ready endpoints with the addresses 10.0.0.N for each N in addresses.
func endpointList(number uint16, addresses ...byte) []byte {
	fields := []any{number, uint32(len(addresses))}
	for _, last := range addresses {
		fields = append(fields, endpointAddress(last),
			uint8(0), uint8(0), uint16(0), wire.HealthReady, float32(1), float64(0))
	}
	return encodeRecord(wire.EventEndpointList, fields...)
}

func endpointUpdate(instance uint32, kind wire.UpdateKind, list uint16) []byte {
	return encodeRecord(wire.EventEndpointUpdate, instance, kind, uint32(1), list)
}

func requestReceived(instance, id uint32) []byte {
	const timeout, expectedWork = 800.0, 0.0 // milliseconds
	return encodeRecord(wire.EventRequestReceived, instance, id,
		uint16(0), uint64(0), uint32(0), timeout, expectedWork, uint8(0))
}

// attemptServed encodes the event that an attempt at endpoint 10.0.0.last was served after 5 ms.
func attemptServed(instance, id uint32, attempt, last byte) []byte {
	const elapsed = 5.0 // milliseconds
	return encodeRecord(wire.EventAttemptEnded, instance, id, attempt,
		endpointAddress(last), wire.ResultServed, elapsed, uint8(1), uint8(0))
}

// encodeBatch encodes a batch whose events happen at the time clock, in milliseconds.
func encodeBatch(number uint32, clock float64, records ...[]byte) []byte {
	body := slices.Concat(records...)
	encoded := binary.LittleEndian.AppendUint32(nil, number)
	encoded = binary.LittleEndian.AppendUint32(encoded, uint32(len(records)))
	encoded = binary.LittleEndian.AppendUint32(encoded, uint32(len(body)))
	encoded = binary.LittleEndian.AppendUint64(encoded, math.Float64bits(clock))
	return append(encoded, body...)
}

const replyHeaderSize = 12 // bytes; the size of the body is at byte offset 4

// action is one action of a reply.
type action struct {
	code     wire.ActionCode
	instance uint32
	fields   string // the fields after the instance
}

// replyActions passes a stream of batches to serve and returns the actions of all replies.
func replyActions(t *testing.T, in []byte) []action {
	t.Helper()
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	var all []action
	for replies := out.Bytes(); len(replies) > 0; {
		end := replyHeaderSize + binary.LittleEndian.Uint32(replies[4:])
		for body := replies[replyHeaderSize:end]; len(body) > 0; {
			record, rest, err := wire.NextRecord(body)
			if err != nil {
				t.Fatal(err)
			}
			instance, _ := record.Instance()
			all = append(all, action{wire.ActionCode(record.Code), instance, string(record.Fields[4:])})
			body = rest
		}
		replies = replies[end:]
	}
	return all
}

// filterActions returns the actions with the given code and instance.
func filterActions(all []action, code wire.ActionCode, instance uint32) []action {
	return slices.DeleteFunc(slices.Clone(all), func(a action) bool {
		return a.code != code || a.instance != instance
	})
}

func TestEmptyBatchesAndEndOfInput(t *testing.T) {
	var out bytes.Buffer
	err := serve(bytes.NewReader(slices.Concat(encodeBatch(1, 0), encodeBatch(2, 5))), &out)
	if err != nil || out.Len() != 2*replyHeaderSize {
		t.Fatalf("got %d bytes, error %v; want two empty replies, no error", out.Len(), err)
	}
}

// Two lists in the same batch may have the same number. An update must use the list that was sent last before
// the update.
func TestListIsResolvedInEventOrder(t *testing.T) {
	all := replyActions(t, encodeBatch(1, 0,
		instanceStarted(1, 5), endpointList(3, 77), endpointUpdate(1, wire.UpdateCached, 3), requestReceived(1, 100),
		instanceStarted(2, 6), endpointList(3, 88), endpointUpdate(2, wire.UpdateCached, 3), requestReceived(2, 200)))
	for instance, want := range map[uint32]byte{1: 77, 2: 88} {
		sends := filterActions(all, wire.ActionSend, instance)
		if len(sends) != 1 || sends[0].fields[7] != want {
			t.Errorf("instance %d: got sends %v, want one to 10.0.0.%d", instance, sends, want)
		}
		if len(filterActions(all, wire.ActionWatch, instance)) != 1 {
			t.Errorf("instance %d: got no watch of the endpoint list or several, want exactly one", instance)
		}
	}
}

// An instance that is stopped and started in the same batch must ignore the events in between, and the result
// of an attempt from before the restart.
func TestRestartInOneBatch(t *testing.T) {
	update := endpointUpdate(1, wire.UpdateCached, 0)
	all := replyActions(t, slices.Concat(
		encodeBatch(1, 0, instanceStarted(1, 5), endpointList(0, 7), update, requestReceived(1, 100)),
		encodeBatch(2, 5, instanceStopped(1), requestReceived(1, 101),
			instanceStarted(1, 6), update, requestReceived(1, 102)),
		encodeBatch(3, 10, attemptServed(1, 100, 0, 7)),
		encodeBatch(4, 15, instanceStopped(1), requestReceived(1, 103))))
	sends := filterActions(all, wire.ActionSend, 1)
	if len(sends) != 2 {
		t.Fatalf("got %d sends, want one before and one after the restart, none while stopped", len(sends))
	}
}

// Instances in one process share the reply and the lists. An instance must perform the same actions as in a
// process of its own.
func TestInstancesAreIndependent(t *testing.T) {
	inSharedProcess := replyActions(t, steadyLoad(1, 2))
	for _, instance := range []uint32{1, 2} {
		inOwnProcess := replyActions(t, steadyLoad(instance))
		own := slices.DeleteFunc(slices.Clone(inSharedProcess), func(a action) bool { return a.instance != instance })
		if !slices.Equal(inOwnProcess, own) || len(own) < 60 {
			t.Fatalf("instance %d: got %d actions in a shared process and %d alone; want the same actions, at least 60",
				instance, len(own), len(inOwnProcess))
		}
	}
}

// steadyLoad encodes 60 batches at intervals of 10 ms. Each batch has a request for each instance, whose client
// disconnects four batches later.
func steadyLoad(instances ...uint32) []byte {
	var stream []byte
	for n := range uint32(60) {
		var records [][]byte
		for _, i := range instances {
			list := uint16(i)
			if n == 0 {
				records = append(records, instanceStarted(i, uint64(i)), endpointList(list, 1, 2, 3, 4),
					endpointUpdate(i, wire.UpdateFull, list))
			}
			records = append(records, requestReceived(i, 1000*i+n), encodeRecord(wire.EventTimerFired, i, uint64(0)))
			if n > 4 {
				records = append(records, encodeRecord(wire.EventClientDisconnected, i, 1000*i+n-4))
			}
		}
		stream = append(stream, encodeBatch(n, float64(10*n), records...)...)
	}
	return stream
}

// Events and update kinds of a later protocol version, and events for an unknown instance, must not end the
// program or cause an action.
func TestUnknownRecordsAreIgnored(t *testing.T) {
	all := replyActions(t, encodeBatch(1, 0, encodeRecord(4711, uint32(9), "anything"), instanceStarted(1, 5),
		encodeRecord(wire.EventPeerMessage, uint32(1), uint32(2), uint16(0)), endpointList(0, 7),
		endpointUpdate(1, 99, 0), endpointUpdate(1, wire.UpdateCached, 0),
		requestReceived(1, 100), requestReceived(44, 100)))
	unknownInstance := func(a action) bool { return a.instance == 44 }
	if len(filterActions(all, wire.ActionSend, 1)) != 1 || slices.ContainsFunc(all, unknownInstance) {
		t.Fatalf("got actions %v, want one send by instance 1 and no action by instance 44", all)
	}
}

// A malformed batch must end serve with an error that is a single line.
func TestMalformedInputReturnsError(t *testing.T) {
	started := instanceStarted(1, 5)
	withSettings := func(text string) []byte {
		return encodeBatch(1, 0, encodeRecord(wire.EventInstanceStarted, uint32(1), uint64(1), uint32(len(text)), text))
	}
	for name, in := range map[string][]byte{
		"truncated batch":    encodeBatch(1, 0, started)[:30],
		"list never sent":    encodeBatch(1, 0, started, endpointUpdate(1, wire.UpdateFull, 9)),
		"truncated record":   encodeBatch(1, 0, started, encodeRecord(wire.EventRequestReceived, uint32(1), uint32(3))),
		"invalid settings":   withSettings("balancers=0"),
		"settings without =": withSettings("abc"),
		"bytes after the last record": append(
			binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, 1), 3), 0, 0, 0, 0, 1, 2, 3),
	} {
		err := serve(bytes.NewReader(in), io.Discard)
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want an error of one line", name, err)
		}
	}
}

func TestPanicIsReportedAsFault(t *testing.T) {
	h := newHost()
	h.reply.Begin(1)
	i := &instance{host: h, number: 4}
	if err := i.reportPanic(func() error { panic("index out of range") }); err != nil {
		t.Fatal(err)
	}
	record, _, err := wire.NextRecord(h.reply.Bytes()[replyHeaderSize:])
	if err != nil || wire.ActionCode(record.Code) != wire.ActionFault ||
		!strings.Contains(string(record.Fields), "index out of range") {
		t.Fatalf("got record %+v, error %v; want ActionFault with the panic's text, no error", record, err)
	}
}
