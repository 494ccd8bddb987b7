// Command soaktest runs real sidecars on loopback under overlapping faults and says which
// invariants were broken: see docs/operate/soak.md.
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
	program := flag.String("program", "bin/sidecar", "the sidecar's program")
	sidecars := flag.Int("sidecars", 24, "how many sidecar processes")
	nodes := flag.Int("nodes", 10, "how many stand-in nodes")
	workers := flag.Int("workers", 4, "clients' connections for each sidecar")
	pause := flag.Duration("pause", 200*time.Millisecond, "mean pause of a client between two requests")
	length := flag.Duration("length", time.Minute, "how long each seed is played")
	seed := flag.Uint64("seed", 1, "the first seed")
	seeds := flag.Int("seeds", 1, "how many seeds, one after the other")
	dir := flag.String("dir", "", "where configurations and logs are kept; empty: nowhere")
	verbose := flag.Bool("v", false, "print the troubles as they come")
	flag.Parse()
	if err := run(*program, *dir, *seed, *seeds, *verbose, soak.Config{
		Sidecars: *sidecars, Nodes: *nodes, ClientsPerSidecar: *workers, MeanPause: *pause, Duration: *length, SocketLimit: 256,
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
		defer func() { _ = os.RemoveAll(dir) }() // a temporary folder that stays does no harm
	}
	broken := 0
	for i := range seeds {
		cfg.Seed, cfg.Dir = seed+uint64(i), filepath.Join(dir, fmt.Sprint("seed-", seed+uint64(i)))
		if verbose {
			cfg.FaultLog = os.Stdout
		}
		result, err := soak.Run(cfg)
		if err != nil {
			return fmt.Errorf("seed %d: %w", cfg.Seed, err)
		}
		fmt.Printf("seed %d: %d requests, answers %v, troubles %v, %d violations\n", cfg.Seed, result.Requests, result.StatusCounts, result.FaultCounts, len(result.Violations))
		for _, v := range result.Violations {
			fmt.Println(" ", v)
		}
		broken += len(result.Violations)
	}
	if broken > 0 {
		return fmt.Errorf("%d violations", broken)
	}
	return nil
}
