// Command sidecar runs beside one application process and carries its requests to the
// upstreams. Without arguments it runs as the platform starts it; its commands are for
// the operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"mothridge/internal/logsink"
	"mothridge/internal/operator"
	"mothridge/internal/sidecar"
)

func main() { os.Exit(execute()) }

// execute runs the program and returns its exit status.
func execute() int {
	if len(os.Args) == 1 || os.Args[1] == "run" {
		// Unhandled, the signal that says 'read your configuration again' would end the program.
		signal.Notify(reloads, syscall.SIGHUP)
	}
	// A log that cannot be written must not end the program.
	signal.Ignore(syscall.SIGPIPE)
	slog.SetDefault(slog.New(slog.NewTextHandler(standardError, nil)))
	defer standardError.Flush(logFlushTimeout)
	var err error
	if len(os.Args) == 1 {
		err = run("") // the platform's way: nothing of the command line is set up
	} else {
		err = command(os.Args[1:])
	}
	if err == nil {
		return 0
	}
	var mistakes *operator.FileError
	if errors.As(err, &mistakes) {
		fmt.Fprintln(standardError, mistakes) // each begins with its place
	} else {
		fmt.Fprintln(standardError, "mothridge:", err)
	}
	return 1
}

// logFlushTimeout bounds the wait for the last lines of the log as the program ends.
const logFlushTimeout = 100 * time.Millisecond

// standardError takes the log, and what a failed command says.
var standardError = logsink.New(os.Stderr, logsink.DefaultLimit, func(lines uint64) {
	slog.Warn("log lines lost", "lines", lines)
})

// reloads holds a reload that came before there was anything to reload, and one of those
// that come while another is carried out: the file is read once more for all of them.
var reloads = make(chan os.Signal, 1)

// run runs the sidecar until SIGTERM. operators names their file; empty: there is none.
func run(operators string) error {
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer done()
	c, err := configure(operators)
	if err != nil {
		return err
	}
	applyLimits(c.Limits)
	c.LogLost = standardError.Lost
	return sidecar.Run(stop, reloads, c)
}

// configure reads the platform's configuration and the operators' file, or the
// latter alone where there is no platform.
func configure(operators string) (*sidecar.Config, error) {
	if operators == "" {
		return sidecar.LoadConfig(os.Getenv)
	}
	f, err := operator.Load(operators)
	if err != nil {
		return nil, err
	}
	if os.Getenv("ROUTER_CONFIG") == "" {
		return sidecar.FromOperator(f)
	}
	if f.Sidecar != nil {
		return nil, fmt.Errorf("%s has a [sidecar] table and ROUTER_CONFIG is set: one of the two says what this sidecar is", operators)
	}
	c, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return nil, err
	}
	c.Operator = *f
	return c, nil
}

// nonHeapBytes is what the process takes beside the runtime's own memory: the program's
// text, above all, and what the runtime exceeds its limit by while it collects.
const nonHeapBytes = 13 << 20

// gcPercent lets a small heap grow to five times its size before it is collected.
const gcPercent = 400

// applyLimits keeps the runtime within the platform's limits. Its memory limit is three
// quarters of the platform's, or what nonHeapBytes leaves where that is less, and a
// quarter at least.
func applyLimits(l sidecar.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	if l.MemoryMB > 0 {
		limit := l.MemoryMB << 20
		debug.SetMemoryLimit(max(limit/4, min(limit/4*3, limit-nonHeapBytes)))
		debug.SetGCPercent(gcPercent)
	}
}
