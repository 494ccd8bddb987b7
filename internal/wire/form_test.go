package wire

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"
	"time"
)

// Covers records for which the protocol page has no example.
func TestDecodeStartAndStop(t *testing.T) {
	record := firstRecord(t, `4c04 15000000 03000000 efcdab8967452301 05000000 613d310a62`)
	seed, settings, err := record.InstanceStarted()
	if err != nil || record.Code != EventInstanceStarted || seed != 0x0123456789abcdef || string(settings) != "a=1\nb" {
		t.Errorf("got code %d, seed %x, settings %q, error %v; want 1100, 123456789abcdef, \"a=1\\nb\", no error",
			record.Code, seed, settings, err)
	}
	record = firstRecord(t, `fc03 04000000 07000000`)
	if instance, err := record.Instance(); err != nil || record.Code != EventInstanceStopped || instance != 7 {
		t.Errorf("got code %d, instance %d, error %v; want code 1020, instance 7, no error", record.Code, instance, err)
	}
	record = firstRecord(t, `0604 17000000 03000000 c4913a5d 0000000000005440 01 0a124a07 931f`)
	if id, err := record.RequestID(); err != nil || record.Code != EventResponseStarted || id != 0x5d3a91c4 {
		t.Errorf("got code %d, request %x, error %v; want code 1030, request 5d3a91c4, no error", record.Code, id, err)
	}
}

func TestDecodeRequestFlags(t *testing.T) {
	record := firstRecord(t,
		`3804 27000000 03000000 c4913a5d 0600 640ad2557c3bf091 02000000 0000000000006e40 0000000000000000 05`)
	request, err := record.RequestReceived()
	want := Request{
		ID: 0x5d3a91c4, Flags: 6, AffinityKey: 0x91f03b7c55d20a64, Tenant: 2, Timeout: 240 * time.Millisecond, Class: 5,
	}
	if err != nil || request != want {
		t.Errorf("got request %+v, error %v; want %+v, no error", request, err, want)
	}
	if request.Flags&FlagClientRetry == 0 || request.Flags&FlagExpectedWork != 0 {
		t.Errorf("got flags %b, want FlagClientRetry set and FlagExpectedWork not set", request.Flags)
	}
}

func TestEventCodes(t *testing.T) {
	for code, want := range map[EventCode]uint16{
		EventProbeEnded: 1000, EventEndpointList: 1010, EventInstanceStopped: 1020, EventResponseStarted: 1030,
		EventPeerMessage: 1040, EventEndpointUpdate: 1050, EventAttemptEnded: 1060, EventTimerFired: 1070,
		EventRequestReceived: 1080, EventClientDisconnected: 1090, EventInstanceStarted: 1100,
	} {
		if uint16(code) != want {
			t.Errorf("got event code %d, want %d", code, want)
		}
	}
}

// Covers durations that are 0 or negative, all six bytes of an endpoint, an Endpoint whose two highest bytes
// must not be written, and a text that is truncated because its length is written in two bytes.
func TestEncodeBoundsOfFields(t *testing.T) {
	var reply Reply
	reply.Begin(0xfffffffe)
	reply.Send(1, 2, 0x0605_04030201, 0)
	reply.Send(1, 2, 0xffff_06050403_0201, -time.Microsecond)
	reply.Watch(1, false)
	reply.Cancel(1, 0xffffffff, 255)
	const want = `feffffff 52000000 04000000
		e803 16000000 01000000 02000000 010203040506 0000000000000000
		e803 16000000 01000000 02000000 010203040506 fca9f1d24d6250bf
		4c04 05000000 01000000 00
		0604 09000000 01000000 ffffffff ff`
	if got := reply.Bytes(); !bytes.Equal(got, decodeHex(t, want)) {
		t.Errorf("got reply %s, which differs from the expected frame", hex.EncodeToString(got))
	}
	reply.Begin(1)
	reply.Log(1, strings.Repeat("x", 70_000))
	got := reply.Bytes()
	if head := got[12:24]; len(got) != 24+65535 || !bytes.Equal(head, decodeHex(t, "3804 05000100 01000000 ffff")) {
		t.Errorf("long text: got %d bytes, record starts with %x; want 65559 bytes, record size 65541",
			len(got), head)
	}
}
