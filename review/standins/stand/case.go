package stand

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// timeLimit is how long a case may run. A case that takes longer could not run.
const timeLimit = 110 * time.Second

// running holds the sidecars that a case has started and that have not ended.
var running = struct {
	sync.Mutex
	sidecars map[*Sidecar]bool
}{sidecars: make(map[*Sidecar]bool)}

// endEarly ends all sidecars and the case when it is told to end or takes too long.
func endEarly(record *Record, dir string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	reason := "it took too long"
	select {
	case s := <-signals:
		reason = s.String()
	case <-time.After(timeLimit):
	}
	record.Say("could not run: %s", reason)
	running.Lock() // not unlocked: no further sidecar is started
	for sidecar := range running.sidecars {
		_ = sidecar.command.Process.Kill()
	}
	os.RemoveAll(dir)
	os.Exit(CouldNotRun)
}

// Folder returns the root of the repository and the folder of the case, which are the arguments of a
// case's program.
func Folder() (root, folder string) {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM ROOT FOLDER")
		os.Exit(CouldNotRun)
	}
	root, _ = filepath.Abs(os.Args[1])
	folder, _ = filepath.Abs(os.Args[2])
	return root, folder
}

// Main runs a case in a temporary folder and exits with its status.
func Main(run func(record *Record, root, dir string) (broken bool, err error)) {
	os.Exit(runCase(run))
}

func runCase(run func(record *Record, root, dir string) (broken bool, err error)) int {
	root, folder := Folder()
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return CouldNotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Say("could not run: %v", err)
		return CouldNotRun
	}
	defer os.RemoveAll(dir)
	go endEarly(record, dir)
	record.Say("disruption: %v", Trouble())
	broken, err := run(record, root, dir)
	switch {
	case err != nil:
		record.Say("could not run: %v", err)
		return CouldNotRun
	case broken:
		record.Say("RULE BROKEN")
		return Broken
	}
	record.Say("rule held")
	return Held
}
