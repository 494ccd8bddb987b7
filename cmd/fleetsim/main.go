// Command fleetsim simulates fleets with the real decision packages in every sidecar, and
// runs the same scenarios with real sidecars on real sockets. The sidecar links none of it.
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

// commands are the command line.
type commands struct {
	Sim      simCommand      `cmd:"" help:"Play a scenario from one or more seeds and print what came of its requests."`
	Run      runCommand      `cmd:"" help:"Play an experiment: every combination of its factors' levels, from as many seeds as it takes. Can be interrupted and goes on where it was."`
	Compare  compareCommand  `cmd:"" help:"Compare two sides of results, paired by seed."`
	Report   reportCommand   `cmd:"" help:"Show an experiment's results: a table here, a CSV file, or one HTML page with pictures."`
	Cell     cellCommand     `cmd:"" help:"Print one cell of an experiment as a scenario file."`
	Explain  explainCommand  `cmd:"" help:"Tell what happened to one request of a scenario."`
	Shrink   shrinkCommand   `cmd:"" help:"Find a smaller scenario that still shows a fault."`
	Farm     farmCommand     `cmd:"" help:"Play random small scenarios and check the four rules in each."`
	Load     loadCommand     `cmd:"" help:"Send a scenario's requests to sidecars over sockets, in an open loop."`
	Node     nodeCommand     `cmd:"" help:"Serve as a node of the model on a loopback socket."`
	Validate validateCommand `cmd:"" help:"Play scenarios in the model and over real sockets with real sidecars, and put the two beside each other."`
}

func main() {
	// The first signal ends what is under way in order, the second at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop)
	if err := run(ctx, os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "fleetsim:", err)
		os.Exit(1)
	}
}

// output is where a command writes its result, and its progress.
type output struct{ out, log io.Writer }

func run(ctx context.Context, args []string, out, log io.Writer) error {
	k, err := kong.New(new(commands), kong.Name("fleetsim"), kong.Writers(out, log),
		kong.Description("Fleets in simulated time, with the real decision module."), kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(output{out, log}))
	if err != nil {
		return err
	}
	if len(args) == 0 {
		args = []string{"--help"}
	}
	c, err := k.Parse(args)
	if err != nil {
		return err
	}
	err = c.Run()
	if errors.Is(err, context.Canceled) {
		return errors.New("interrupted")
	}
	return err
}
