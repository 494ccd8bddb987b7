package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"mothridge/internal/hook"
	"mothridge/internal/operator"
	"mothridge/internal/peers"
	"mothridge/internal/try"
)

// commands holds the operators' commands. kong derives the names of commands and flags from the
// names of fields.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run the sidecar with the platform's configuration (ROUTER_CONFIG and other variables) or with an operators' file that has a [sidecar] table."`
	Check   checkCommand   `cmd:"" help:"Check an operators' file and summarise its settings."`
	Try     tryCommand     `cmd:"" help:"Run a short demo in this process, over loopback, and check the four rules."`
	Members membersCommand `cmd:"" help:"Print the merged endpoint list of a running sidecar, with the reason for each state."`
	Plugin  pluginCommand  `cmd:"" help:"Check, run, test, format and time plug-in programs."`
	Quota   quotaCommand   `cmd:"" help:"Print the quotas of a running sidecar: use, loans, debts and the last rejection."`
	Standin standinCommand `cmd:"" help:"Run a stand-in for an external system, for trials."`
}

type runCommand struct {
	Operator  string `placeholder:"FILE" help:"The operators' file, such as deploy/mothridge.toml."`
	LogFormat string `enum:"text,json" default:"text" help:"Format of the log, one line per entry: text or json."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"Lowest level that is logged: debug, info, warn or error."`
}

// Run sets up the log and runs the sidecar.
func (c *runCommand) Run() error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return err
	}
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(standardError, options)
	if c.LogFormat == "json" {
		handler = slog.NewJSONHandler(standardError, options)
	}
	slog.SetDefault(slog.New(handler))
	return run(c.Operator)
}

type checkCommand struct {
	File string `arg:"" help:"The file to check."`
}

// Run checks an operators' file and the programs of its plug-ins.
func (c *checkCommand) Run() error {
	f, err := operator.Load(c.File)
	if err != nil {
		return err
	}
	for i := range f.Plugins {
		if _, err := hook.Load(f.Plugins[i].File); err != nil {
			return err
		}
	}
	fmt.Printf("%s is valid: %s\n", c.File, f.Summary())
	return nil
}

type tryCommand struct {
	Protocol string        `enum:"http,rpc" default:"http" help:"Protocol of clients and upstreams: http or rpc (MessagePack-RPC)."`
	Registry string        `enum:"platform,eureka" default:"platform" help:"Source of the endpoint list: platform or eureka (a stand-in registry)."`
	Duration time.Duration `default:"15s" help:"Duration of the demo, at least 4s."`
	Rate     int           `default:"200" help:"Requests per second."`
	Seed     uint64        `default:"1" help:"Seed of the load. The same seed gives the same requests."`
}

// Run checks the flags and runs the demo until it ends or a signal stops it.
func (c *tryCommand) Run() error {
	if c.Rate < 1 || c.Rate > 5000 {
		return fmt.Errorf("--rate must be between 1 and 5000 requests per second, got %d", c.Rate)
	}
	if c.Duration < try.MinDuration || c.Duration > time.Hour {
		return fmt.Errorf("--duration must be between %[2]v and 1h, got %[1]v", c.Duration, try.MinDuration)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	options := try.Options{Protocol: peers.HTTP, Duration: c.Duration, Rate: c.Rate, Seed: c.Seed, Out: os.Stdout}
	options.Eureka = c.Registry == "eureka"
	if c.Protocol == "rpc" {
		options.Protocol = peers.RPC
	}
	if info, err := os.Stdout.Stat(); err == nil {
		options.Live = info.Mode()&os.ModeCharDevice != 0
	}
	return try.Run(ctx, options)
}

// runCommandLine parses the arguments and runs the command that they name.
func runCommandLine(args []string) error {
	parser, err := kong.New(new(commands), kong.Name("sidecar"),
		kong.Description("The mothridge sidecar. Without a command it runs with the platform's configuration."))
	if err != nil {
		return err
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return err
	}
	return parsed.Run()
}
