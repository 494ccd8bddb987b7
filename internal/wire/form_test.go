package wire

import (
	"bytes"
	"encoding/hex"
	"strings"
	"testing"
	"time"
)

// Records that the protocol page shows no example of.
func TestReadsStartAndStop(t *testing.T) {
	rec, _, err := Next(unhex(t, `4c04 15000000 03000000 efcdab8967452301 05000000 613d310a62`))
	if err != nil {
		t.Fatal(err)
	}
	seed, info, err := rec.OpenInstance()
	if err != nil || rec.Code != EvOpenInstance || seed != 0x0123456789abcdef || string(info) != "a=1\nb" {
		t.Errorf("code %d, seed %x, settings %q, error %v", rec.Code, seed, info, err)
	}
	rec, _, _ = Next(unhex(t, `fc03 04000000 07000000`))
	if inst, err := rec.Instance(); err != nil || rec.Code != EvCrashNow || inst != 7 {
		t.Errorf("code %d, instance %d, error %v", rec.Code, inst, err)
	}
	rec, _, _ = Next(unhex(t, `0604 17000000 03000000 c4913a5d 0000000000005440 01 0a124a07 931f`))
	if job, err := rec.Job(); err != nil || rec.Code != EvHeaders || job != 0x5d3a91c4 {
		t.Errorf("code %d, request %x, error %v", rec.Code, job, err)
	}
	rec, _, _ = Next(unhex(t, `3804 27000000 03000000 c4913a5d 0600 640ad2557c3bf091 02000000 0000000000006e40 0000000000000000 05`))
	a, err := rec.Ask()
	want := Ask{Job: 0x5d3a91c4, Bits: 6, Key: 0x91f03b7c55d20a64, Tenant: 2, Left: 240 * time.Millisecond, Kind: 5}
	if err != nil || a != want || a.Bits&BitRepeat == 0 || a.Bits&BitHint != 0 {
		t.Errorf("request %+v, error %v, want %+v", a, err, want)
	}
	for code, want := range map[uint16]uint16{
		EvCheckResult: 1000, EvManifest: 1010, EvCrashNow: 1020, EvHeaders: 1030, EvHeard: 1040, EvFleet: 1050,
		EvFinished: 1060, EvWake: 1070, EvAsk: 1080, EvClientLeft: 1090, EvOpenInstance: 1100,
	} {
		if code != want {
			t.Errorf("event code %d, want %d", code, want)
		}
	}
}

// Durations of every kind, and texts that are cut to their length's two bytes.
func TestWritesBoundsOfFields(t *testing.T) {
	var p Reply
	p.Begin(0xfffffffe)
	p.CallOut(1, 2, 0x0605_04030201, 0)
	p.CallOut(1, 2, 0xffff_06050403_0201, -time.Microsecond)
	p.Tail(1, false)
	p.Recall(1, 0xffffffff, 255)
	const want = `feffffff 52000000 04000000
		e803 16000000 01000000 02000000 010203040506 0000000000000000
		e803 16000000 01000000 02000000 010203040506 fca9f1d24d6250bf
		4c04 05000000 01000000 00
		0604 09000000 01000000 ffffffff ff`
	if got := p.Bytes(); !bytes.Equal(got, unhex(t, want)) {
		t.Errorf("reply %s", hex.EncodeToString(got))
	}
	p.Begin(1)
	p.WriteLog(1, strings.Repeat("x", 70_000))
	got := p.Bytes()
	if head := got[12:24]; len(got) != 24+65535 || !bytes.Equal(head, unhex(t, "3804 05000100 01000000 ffff")) {
		t.Errorf("long text: %d bytes, %x", len(got), head)
	}
}
