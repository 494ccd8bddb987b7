// Command sidecar runs as a separate process next to one application process and forwards the
// application's requests to the upstreams. Without arguments it runs with the platform's
// configuration; its commands are for operators.
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
		// SIGHUP requests a reload. Without a handler it would end the program.
		signal.Notify(reloads, syscall.SIGHUP)
	}
	// A log that cannot be written must not end the program.
	signal.Ignore(syscall.SIGPIPE)
	slog.SetDefault(slog.New(slog.NewTextHandler(standardError, nil)))
	defer standardError.Flush(logFlushTimeout)
	var err error
	if len(os.Args) == 1 {
		err = run("") // started by the platform: there is no command line to parse
	} else {
		err = runCommandLine(os.Args[1:])
	}
	if err == nil {
		return 0
	}
	var fileError *operator.FileError
	if errors.As(err, &fileError) {
		fmt.Fprintln(standardError, fileError) // each problem begins with its position
	} else {
		fmt.Fprintln(standardError, "mothridge:", err)
	}
	return 1
}

// logFlushTimeout bounds the wait for the last lines of the log when the program ends.
const logFlushTimeout = 100 * time.Millisecond

// standardError receives the log and the error of a failed command.
var standardError = logsink.New(os.Stderr, logsink.DefaultMaxQueuedBytes, func(lines uint64) {
	slog.Warn("log lines could not be written and were dropped", "lines", lines)
})

// reloads receives the signals that request a reload. Its buffer of one keeps a signal that
// arrives before the sidecar can reload. All signals that arrive during a reload together cause
// one further reload.
var reloads = make(chan os.Signal, 1)

// run runs the sidecar until SIGTERM or SIGINT. An empty path means that there is no operators'
// file.
func run(operatorFile string) error {
	stopped, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	c, err := configure(operatorFile)
	if err != nil {
		return err
	}
	applyLimits(c.Limits)
	c.LostLogLines = standardError.LostLines
	return sidecar.Run(stopped, reloads, c)
}

// configure reads the platform's configuration and the operators' file, or the operators' file
// alone if ROUTER_CONFIG is not set.
func configure(operatorFile string) (*sidecar.Config, error) {
	if operatorFile == "" {
		return sidecar.LoadConfig(os.Getenv)
	}
	f, err := operator.Load(operatorFile)
	if err != nil {
		return nil, err
	}
	if os.Getenv("ROUTER_CONFIG") == "" {
		return sidecar.FromOperator(f)
	}
	if f.Sidecar != nil {
		return nil, fmt.Errorf("%s has a [sidecar] table and ROUTER_CONFIG is set: only one of them may configure the sidecar",
			operatorFile)
	}
	c, err := sidecar.LoadConfig(os.Getenv)
	if err != nil {
		return nil, err
	}
	c.Operator = *f
	return c, nil
}

// gcPercent lets a small heap grow to five times its size before a garbage collection.
const gcPercent = 400

// applyLimits keeps the runtime within the limits of the configuration.
func applyLimits(l sidecar.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.RuntimeBytes())
		debug.SetGCPercent(gcPercent)
	}
}
