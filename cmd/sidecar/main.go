// Mothridge is the sidecar: it runs beside one application process and carries
// its requests to the upstreams. Without arguments it runs as the platform
// starts it; its commands are for the operators.
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

func main() {
	if len(os.Args) == 1 || os.Args[1] == "run" {
		// Unhandled, the signal that says 'read your configuration again' would end the program.
		signal.Notify(reloads, syscall.SIGHUP)
	}
	// A log that cannot be written must not end the program.
	signal.Ignore(syscall.SIGPIPE)
	slog.SetDefault(slog.New(slog.NewTextHandler(standardError, nil)))
	defer standardError.Flush(lastLinesIn)
	var err error
	if len(os.Args) == 1 {
		err = run("") // the platform's way: nothing of the command line is set up
	} else {
		err = command(os.Args[1:])
	}
	if err == nil {
		return
	}
	var mistakes *operator.Mistakes
	if errors.As(err, &mistakes) {
		fmt.Fprintln(standardError, mistakes) // each begins with its place
	} else {
		fmt.Fprintln(standardError, "mothridge:", err)
	}
	standardError.Flush(lastLinesIn)
	os.Exit(1)
}

// lastLinesIn is how long the last lines of the log may take as the program ends.
const lastLinesIn = 100 * time.Millisecond

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
	fit(c.Limits)
	c.LogLost = standardError.Lost
	return sidecar.Run(stop, reloads, c)
}

// configure takes what the platform tells and what the operators set, or the
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

// outside is what the process takes beside the runtime's own memory: the
// program's text, above all, and what the runtime goes over its limit while it
// collects. It counts where the limit is small.
const outside = 13 << 20

// fit keeps the runtime within the platform's limits. The heap is small, so it
// is collected rarely, but the memory limit is kept to with a quarter to spare,
// or with what lies outside of the runtime where that is more.
func fit(l sidecar.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(max(1, int(l.Cores)))
	}
	if l.MemoryMB > 0 {
		limit := l.MemoryMB << 20
		debug.SetMemoryLimit(max(limit/4, min(limit/4*3, limit-outside)))
		debug.SetGCPercent(400)
	}
}
