// Command fleetsim simulates fleets in which every sidecar uses the real decision packages, and runs the same scenarios
// with real sidecars on real sockets. The sidecar program links none of this code.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// commands defines the command line.
type commands struct {
	Sim      simCommand      `cmd:"" help:"Simulate a scenario with one or more seeds and print the outcomes of its requests."`
	Run      runCommand      `cmd:"" help:"Run an experiment: every combination of its factors' levels, with as many seeds as its precision requires. An interrupted run can be continued."`
	Compare  compareCommand  `cmd:"" help:"Compare two sets of results, paired by seed."`
	Report   reportCommand   `cmd:"" help:"Print a table of an experiment's results, and write a CSV file or one HTML page with plots."`
	Cell     cellCommand     `cmd:"" help:"Print one cell of an experiment as a scenario file."`
	Explain  explainCommand  `cmd:"" help:"Print what happened to one request of a scenario."`
	Shrink   shrinkCommand   `cmd:"" help:"Find a smaller scenario that still reproduces a fault."`
	Farm     farmCommand     `cmd:"" help:"Simulate random small scenarios and check the four rules in each."`
	Load     loadCommand     `cmd:"" help:"Send a scenario's requests to sidecars over sockets, in an open loop."`
	Node     nodeCommand     `cmd:"" help:"Run one node of the model on a loopback socket."`
	Validate validateCommand `cmd:"" help:"Run scenarios in the model and over real sockets with real sidecars, and print both results for comparison."`
}

func main() {
	// The first signal cancels ctx for an orderly end; a second one terminates the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	if err := run(ctx, os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(1)
	}
}

// output holds the writers for a command's result (out) and its progress (log).
type output struct{ out, log io.Writer }

// run parses a command line and runs its command.
func run(ctx context.Context, args []string, out, log io.Writer) error {
	parser, err := kong.New(new(commands), kong.Name("fleetsim"), kong.Writers(out, log),
		kong.Description("Simulates fleets with the real decision module."), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(output{out, log}))
	if err != nil {
		return err
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	command, err := parser.Parse(args)
	if err != nil {
		return err
	}
	err = command.Run()
	if errors.Is(err, context.Canceled) {
		return errors.New("interrupted")
	}
	return err
}
