package peers

import (
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ProcessorLimit holds a process to a share of a core, as platforms do: once the process has used its share of the current period, it
// is stopped until the next period begins. It can also hold up the process for other reasons.
type ProcessorLimit struct {
	pid    int
	share  float64       // of a core
	period time.Duration // by which the share is accounted

	done  chan struct{}
	ended sync.WaitGroup

	mu          sync.Mutex
	heldUpUntil time.Time
	stopped     time.Duration // sum of the times for which the process was stopped
	stops       int
}

// processorSampleInterval is how often a ProcessorLimit looks at the used processor time.
const processorSampleInterval = 2 * time.Millisecond

// LimitProcessor holds a process to a share of a core until Close is called. The process may not end before.
func LimitProcessor(pid int, share float64, period time.Duration) *ProcessorLimit {
	limit := &ProcessorLimit{pid: pid, share: share, period: period, done: make(chan struct{})}
	limit.ended.Go(limit.run)
	return limit
}

// Close ends the limit; the process goes on.
func (limit *ProcessorLimit) Close() {
	close(limit.done)
	limit.ended.Wait()
}

// HoldUp stops the process for a time, whatever it has used. It does not block.
func (limit *ProcessorLimit) HoldUp(duration time.Duration) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	limit.heldUpUntil = time.Now().Add(duration)
}

// Stops returns how often and for how long in all the process was stopped.
func (limit *ProcessorLimit) Stops() (count int, total time.Duration) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	return limit.stops, limit.stopped
}

func (limit *ProcessorLimit) run() {
	ticker := time.NewTicker(processorSampleInterval)
	defer ticker.Stop()
	allowed := time.Duration(limit.share * float64(limit.period))
	periodAt, usedAtPeriod := time.Now(), ProcessorTime(limit.pid)
	var stoppedAt time.Time // zero while the process runs
	for {
		select {
		case <-limit.done:
			_ = syscall.Kill(limit.pid, syscall.SIGCONT)
			return
		case <-ticker.C:
		}
		now := time.Now()
		if now.Sub(periodAt) >= limit.period {
			periodAt, usedAtPeriod = now, ProcessorTime(limit.pid)
		}
		mustStop := ProcessorTime(limit.pid)-usedAtPeriod >= allowed || limit.isHeldUp(now)
		switch {
		case mustStop && stoppedAt.IsZero():
			_ = syscall.Kill(limit.pid, syscall.SIGSTOP)
			stoppedAt = now
		case !mustStop && !stoppedAt.IsZero():
			_ = syscall.Kill(limit.pid, syscall.SIGCONT)
			limit.recordStop(now.Sub(stoppedAt))
			stoppedAt = time.Time{}
		}
	}
}

func (limit *ProcessorLimit) isHeldUp(now time.Time) bool {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	return now.Before(limit.heldUpUntil)
}

func (limit *ProcessorLimit) recordStop(duration time.Duration) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	limit.stops++
	limit.stopped += duration
}

// ProcessorTime returns the processor time that a process has used; 0 if it has ended.
func ProcessorTime(pid int) time.Duration {
	const schedulerClock = 2 // CPUCLOCK_SCHED of the kernel's clock ids, see clock_getcpuclockid(3)
	var used unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|schedulerClock), &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
