// Package stand contains the stand-ins that the cases of the review share: the platform that starts a
// sidecar, discovery, nodes and clients. Everything is on loopback addresses and the real clock.
package stand

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	Held        = 0
	Broken      = 1
	CouldNotRun = 2
)

// Record is the file record.txt of a case: what was sent, answered and run.
type Record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

// NewRecord creates record.txt in the folder of a case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, startedAt: time.Now()}, nil
}

// Line writes a line with the seconds since the start.
func (r *Record) Line(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, values ...any) {
	r.Line(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Trouble reports whether the disruption is played: it is not with TROUBLE=0.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
