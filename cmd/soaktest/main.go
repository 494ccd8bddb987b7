// Command soaktest runs real sidecar processes on loopback, injects overlapping faults and reports
// which invariants were violated: see docs/operate/soak.md.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"mothridge/internal/soak"
)

func main() {
	program := flag.String("program", "bin/sidecar", "path of the sidecar binary")
	sidecars := flag.Int("sidecars", 24, "number of sidecar processes")
	nodes := flag.Int("nodes", 10, "number of stand-in nodes")
	clients := flag.Int("workers", 4, "number of clients for each sidecar, each with one connection")
	pause := flag.Duration("pause", 200*time.Millisecond, "mean pause of a client between two requests")
	length := flag.Duration("length", time.Minute, "how long the soak of each seed lasts")
	seed := flag.Uint64("seed", 1, "the first seed")
	seeds := flag.Int("seeds", 1, "number of consecutive seeds to run, one after the other")
	dir := flag.String("dir", "", "directory for configurations and logs; empty: a temporary one, removed at the end")
	verbose := flag.Bool("v", false, "print each fault when it is injected")
	flag.Parse()
	if err := run(*program, *dir, *seed, *seeds, *verbose, soak.Config{
		Sidecars: *sidecars, Nodes: *nodes, ClientsPerSidecar: *clients, MeanPause: *pause, Length: *length, SocketLimit: 256,
	}); err != nil {
		fmt.Fprintln(os.Stderr, "soaktest:", err)
		os.Exit(1)
	}
}

func run(program, dir string, seed uint64, seeds int, verbose bool, cfg soak.Config) error {
	var err error
	if cfg.Program, err = filepath.Abs(program); err != nil {
		return err
	}
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soaktest"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }() // a temporary directory that cannot be removed does no harm
	}
	violations := 0
	for i := range seeds {
		cfg.Seed, cfg.Dir = seed+uint64(i), filepath.Join(dir, fmt.Sprint("seed-", seed+uint64(i)))
		if verbose {
			cfg.FaultLog = os.Stdout
		}
		result, err := soak.Run(cfg)
		if err != nil {
			return fmt.Errorf("seed %d: %w", cfg.Seed, err)
		}
		fmt.Printf("seed %d: %d requests, responses %v, faults %v, %d violations\n",
			cfg.Seed, result.Requests, result.StatusCounts, result.FaultCounts, len(result.Violations))
		for _, v := range result.Violations {
			fmt.Println(" ", v)
		}
		violations += len(result.Violations)
	}
	if violations > 0 {
		return fmt.Errorf("%d violations", violations)
	}
	return nil
}
