package frontend

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"
)

// OutOfMemoryText informs a client that its request has found no memory.
const OutOfMemoryText = "too many large requests at once"

const (
	// freeBytesPerConnection is the memory of each connection's requests that is not charged, so that small
	// requests never wait for memory. It is part of the memory that every connection costs.
	freeBytesPerConnection = 8 << 10
	// FieldOverheadBytes is the memory of a header field in addition to its bytes: its entry in the map of the header, its
	// slice of values and their headers.
	FieldOverheadBytes = 128
	// MemoryWaitTimeout is the longest time for which a request waits for memory before it is rejected.
	MemoryWaitTimeout = 500 * time.Millisecond
)

// RequestMemory bounds the memory that the requests of all connections hold together, from their first bytes to
// their responses. Its methods may be called concurrently. A nil RequestMemory has no bound.
type RequestMemory struct {
	budget *semaphore.Weighted
	waits  waitCounter
}

// Waits returns how often requests have waited for memory, and for how long in all.
func (memory *RequestMemory) Waits() (count int, total time.Duration) {
	if memory == nil {
		return 0, 0
	}
	return int(memory.waits.count.Load()), time.Duration(memory.waits.total.Load())
}

// NewRequestMemory returns a RequestMemory of a size in bytes, in addition to freeBytesPerConnection for each connection.
func NewRequestMemory(bytes int64) *RequestMemory {
	return &RequestMemory{budget: semaphore.NewWeighted(bytes)}
}

// MemoryAccount is the memory of the requests on one connection. Its methods may be called concurrently, except that at most
// one goroutine at a time may wait in Add. A nil MemoryAccount has no bound.
type MemoryAccount struct {
	memory *RequestMemory

	mu         sync.Mutex
	used       int64              // bytes added and not removed
	reserved   int64              // bytes taken from the budget: those of used above freeBytesPerConnection
	closed     bool               // Close was called
	cancelWait context.CancelFunc // set while Add waits
}

// NewAccount returns an account without bytes, nil if memory is nil. Close must be called when the connection has ended.
func (memory *RequestMemory) NewAccount() *MemoryAccount {
	if memory == nil {
		return nil
	}
	return &MemoryAccount{memory: memory}
}

// Add charges bytes. If they are not available, it blocks for at most timeout; if they still are not, or Close is called
// meanwhile, it charges nothing and returns false.
func (account *MemoryAccount) Add(bytes int64, timeout time.Duration) bool {
	if account == nil || bytes == 0 {
		return true
	}
	account.mu.Lock()
	defer account.mu.Unlock()
	if account.closed {
		return false
	}
	missing := max(0, account.used+bytes-freeBytesPerConnection-account.reserved)
	if !account.acquireLocked(missing, timeout) {
		return false
	}
	account.used += bytes
	account.reserved += missing
	account.releaseSurplusLocked() // Remove may have been called during the wait
	return true
}

// acquireLocked takes bytes from the budget. It unlocks the account while it waits.
func (account *MemoryAccount) acquireLocked(bytes int64, timeout time.Duration) bool {
	budget := account.memory.budget
	switch {
	case bytes == 0: // TryAcquire would fail while others wait
		return true
	case budget.TryAcquire(bytes):
		return true
	case timeout <= 0:
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	account.cancelWait = cancel
	account.mu.Unlock()
	startedAt := time.Now()
	err := budget.Acquire(ctx, bytes)
	account.memory.waits.record(time.Since(startedAt))
	account.mu.Lock()
	account.cancelWait = nil
	if err == nil && account.closed {
		budget.Release(bytes)
	}
	return err == nil && !account.closed
}

// EndWait ends a wait of Add, if there is one, as its timeout does.
func (account *MemoryAccount) EndWait() {
	if account == nil {
		return
	}
	account.mu.Lock()
	defer account.mu.Unlock()
	if account.cancelWait != nil {
		account.cancelWait()
	}
}

// Remove takes back a charge of bytes.
func (account *MemoryAccount) Remove(bytes int64) {
	if account == nil || bytes == 0 {
		return
	}
	account.mu.Lock()
	defer account.mu.Unlock()
	account.used -= bytes
	account.releaseSurplusLocked()
}

// releaseSurplusLocked returns to the budget what is reserved beyond the bytes in use.
func (account *MemoryAccount) releaseSurplusLocked() {
	surplus := account.reserved - max(0, account.used-freeBytesPerConnection)
	if surplus > 0 && !account.closed {
		account.reserved -= surplus
		account.memory.budget.Release(surplus)
	}
}

// Close takes back all charges and ends a wait of Add. It may be called more than once.
func (account *MemoryAccount) Close() {
	if account == nil {
		return
	}
	account.mu.Lock()
	defer account.mu.Unlock()
	if account.closed {
		return
	}
	account.closed = true
	account.memory.budget.Release(account.reserved)
	account.reserved = 0
	if account.cancelWait != nil {
		account.cancelWait()
	}
}
