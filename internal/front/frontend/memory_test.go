package frontend

import (
	"sync"
	"testing"
	"time"
)

// Guards against small requests that wait for large ones, and against charges that are lost or taken back twice.
func TestMemoryAccounts(t *testing.T) {
	const size = 10 << 10
	memory := NewRequestMemory(size)
	large, other, small := memory.NewAccount(), memory.NewAccount(), memory.NewAccount()
	if !large.Add(freeBytesPerConnection+size, 0) {
		t.Fatal("got false for the whole memory, want true")
	}
	if other.Add(freeBytesPerConnection+1, time.Millisecond) {
		t.Error("got true for a byte more, want false")
	}
	waiting := make(chan bool)
	go func() { waiting <- other.Add(freeBytesPerConnection+size, time.Minute) }()
	for range 100 {
		if !small.Add(freeBytesPerConnection/100, 0) {
			t.Fatal("got false for a small request while a large one waits, want true")
		}
	}
	large.Remove(1)
	select {
	case <-waiting:
		t.Fatal("the wait ended while one byte was available, want it to go on")
	case <-time.After(20 * time.Millisecond):
	}
	large.Remove(freeBytesPerConnection + size - 1)
	if !<-waiting {
		t.Error("got false after the memory was free, want true")
	}
	go func() { waiting <- large.Add(freeBytesPerConnection+size, time.Minute) }()
	time.Sleep(5 * time.Millisecond)
	large.Close()
	if <-waiting || large.Add(1, 0) {
		t.Error("got true after Close, want false")
	}
	other.Close()
	other.Close()
	if !memory.budget.TryAcquire(size) || memory.budget.TryAcquire(1) {
		t.Error("the memory is not free exactly once after all accounts were closed")
	}
}

// Guards against a charge that leaks when Remove or Close crosses a wait of Add.
func TestMemoryIsFreeAfterConcurrentUse(t *testing.T) {
	const size = 64 << 10
	memory := NewRequestMemory(size)
	var connections sync.WaitGroup
	for i := range 50 {
		connections.Go(func() {
			account := memory.NewAccount()
			for j := range 20 {
				bytes := int64(1 + (i*7919+j*104729)%(size/2))
				if account.Add(bytes, time.Duration(j%3)*time.Millisecond) {
					go account.Remove(bytes)
				}
			}
			if i%2 == 0 {
				time.AfterFunc(time.Millisecond, account.Close)
				account.Add(size, time.Second)
			}
			account.Close()
		})
	}
	connections.Wait()
	if !memory.budget.TryAcquire(size) {
		t.Error("the memory is not free after all accounts were closed")
	}
}

func TestNoMemoryBound(t *testing.T) {
	account := (*RequestMemory)(nil).NewAccount()
	if !account.Add(1<<40, 0) {
		t.Error("got false, want true")
	}
	account.Remove(1)
	account.Close()
}
