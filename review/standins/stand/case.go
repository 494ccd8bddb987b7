package stand

import (
	"fmt"
	"os"
	"path/filepath"
)

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
