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

// commands are the operators' commands.
type commands struct {
	Run     runCommand     `cmd:"" help:"Run the sidecar, by the platform's variables (ROUTER_CONFIG and others) or by an operators' file that says it all."`
	Check   checkCommand   `cmd:"" help:"Check an operators' file and say what it sets."`
	Try     tryCommand     `cmd:"" help:"Play a short day in this process, over loopback, and check the four rules."`
	Members membersCommand `cmd:"" help:"Ask a running sidecar for its merged list of nodes, with the reason for each state."`
	Plugin  pluginCommand  `cmd:"" help:"Check, run, test, format and time programs of the hook language."`
	Quota   quotaCommand   `cmd:"" help:"Ask a running sidecar how its quotas stand: used, lent, owed, and why the last refusal was."`
	Standin standinCommand `cmd:"" help:"Run a stand-in for an outside system, to play with."`
}

type runCommand struct {
	Operator  string `placeholder:"FILE" help:"The operators' file, such as deploy/mothridge.toml."`
	LogFormat string `enum:"text,json" default:"text" help:"How the log is written: text or json, a line each."`
	LogLevel  string `enum:"debug,info,warn,error" default:"info" help:"What is logged at least: debug, info, warn or error."`
}

// Run runs the sidecar.
func (c *runCommand) Run() error {
	var level slog.Level
	if err := level.UnmarshalText([]byte(c.LogLevel)); err != nil {
		return err
	}
	o := &slog.HandlerOptions{Level: level}
	var h slog.Handler = slog.NewTextHandler(standardError, o)
	if c.LogFormat == "json" {
		h = slog.NewJSONHandler(standardError, o)
	}
	slog.SetDefault(slog.New(h))
	return run(c.Operator)
}

type checkCommand struct {
	File string `arg:"" help:"The file to check."`
}

// Run checks a file.
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
	Protocol string        `enum:"http,rpc" default:"http" help:"What clients and nodes speak: http or rpc (MessagePack-RPC)."`
	Registry string        `enum:"platform,eureka" default:"platform" help:"Where the list comes from: platform or eureka (a stand-in registry)."`
	Duration time.Duration `default:"15s" help:"How long the day lasts, at least 4s."`
	Rate     int           `default:"200" help:"Requests a second."`
	Seed     uint64        `default:"1" help:"The same seed asks the same requests."`
}

// Run plays a day.
func (c *tryCommand) Run() error {
	if c.Rate < 1 || c.Rate > 5000 {
		return fmt.Errorf("--rate is %d: 1 to 5000 requests a second are meant", c.Rate)
	}
	if c.Duration < try.Shortest || c.Duration > time.Hour {
		return fmt.Errorf("--duration is %v: %v to 1h is meant", c.Duration, try.Shortest)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	o := try.Options{Protocol: peers.HTTP, Duration: c.Duration, Rate: c.Rate, Seed: c.Seed, Out: os.Stdout}
	o.Eureka = c.Registry == "eureka"
	if c.Protocol == "rpc" {
		o.Protocol = peers.RPC
	}
	if s, err := os.Stdout.Stat(); err == nil {
		o.Live = s.Mode()&os.ModeCharDevice != 0
	}
	return try.Run(ctx, o)
}

// command runs one of the commands.
func command(args []string) error {
	k, err := kong.New(new(commands), kong.Name("sidecar"),
		kong.Description("The sidecar. Without a command it runs as the platform starts it."))
	if err != nil {
		return err
	}
	c, err := k.Parse(args)
	if err != nil {
		return err
	}
	return c.Run()
}
