package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"mothridge/internal/hook"
	"mothridge/internal/plugin"
)

// pluginCommand holds the commands for authors of plug-ins.
type pluginCommand struct {
	Check pluginCheck `cmd:"" help:"Compile programs and print all of their errors."`
	Run   pluginRun   `cmd:"" help:"Run a program for one event and print its effects and the fuel and memory that it used."`
	Test  pluginTest  `cmd:"" help:"Run the test cases of programs (NAME.cases.json) and print the differences."`
	Fmt   pluginFmt   `cmd:"" help:"Format programs in the standard style."`
	Bench pluginBench `cmd:"" help:"Measure the time of a program for one event."`
}

type pluginCheck struct {
	Files []string `arg:"" help:"Programs." type:"path"`
}

// Run compiles each program, and prints its hooks or its errors.
func (c *pluginCheck) Run() error {
	invalid := 0
	for _, file := range c.Files {
		program, err := hook.Load(file)
		if err != nil {
			invalid++
			fmt.Println(err)
			continue
		}
		var hooks []string
		for _, kind := range []string{"request", "outcome", "member"} {
			if program.HasHook(kind) {
				hooks = append(hooks, "on "+kind)
			}
		}
		fmt.Printf("%s: %s; %d states\n", file, strings.Join(hooks, ", "), len(program.States))
	}
	if invalid > 0 {
		return fmt.Errorf("%d of %d programs are invalid", invalid, len(c.Files))
	}
	return nil
}

// trialFlags are the program, the event and the limits of a trial run.
type trialFlags struct {
	File     string `arg:"" help:"Program." type:"path"`
	Event    string `arg:"" help:"JSON file with the event; - reads standard input."`
	Fuel     int64  `help:"Fuel of a run. Without it the default of operators' files applies."`
	MemoryKB int64  `help:"Memory limit of a run, in KiB. Without it the default of operators' files applies."`
}

// load reads the program and the event.
func (f *trialFlags) load() (*plugin.Trial, *plugin.EventJSON, error) {
	program, err := hook.Load(f.File)
	if err != nil {
		return nil, nil, err
	}
	var data []byte
	if f.Event == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, 1<<20))
	} else {
		data, err = os.ReadFile(f.Event)
	}
	if err != nil {
		return nil, nil, err
	}
	event, err := plugin.ReadEvent(data)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.Event, err)
	}
	return plugin.NewTrial(program, hook.Limits{Fuel: f.Fuel, Memory: f.MemoryKB << 10}), event, nil
}

type pluginRun struct{ trialFlags }

// Run runs the program once, and prints its effects and the fuel and memory that it used, also if
// the run fails.
func (c *pluginRun) Run() error {
	trial, event, err := c.load()
	if err != nil {
		return err
	}
	result, err := trial.Run(event)
	for _, effect := range result.Effects {
		fmt.Println(plugin.Describe(effect))
	}
	fmt.Printf("fuel %d, memory %d bytes\n", result.Fuel, result.Memory)
	return err
}

type pluginTest struct {
	Files []string `arg:"" help:"Programs." type:"path"`
}

// Run runs the test cases of each program, and prints a line for each case with its difference.
func (c *pluginTest) Run() error {
	failed := 0
	for _, file := range c.Files {
		err := plugin.Test(file, func(name, diff string) {
			if diff == "" {
				fmt.Printf("ok    %s: %s\n", file, name)
			} else {
				fmt.Printf("WRONG %s: %s\n%s\n", file, name, diff)
			}
		})
		if err != nil {
			failed++
			fmt.Println(err)
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d programs failed their test cases", failed, len(c.Files))
	}
	return nil
}

type pluginFmt struct {
	Files []string `arg:"" help:"Programs." type:"path"`
	Write bool     `short:"w" help:"Write the formatted programs back. Without it the names of files that would change are printed."`
}

// Run formats each program, and prints the name of a file that is not formatted or rewrites it.
func (c *pluginFmt) Run() error {
	unformatted := 0
	for _, file := range c.Files {
		source, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		formatted, err := hook.Format(file, string(source))
		switch {
		case err != nil:
			return err
		case formatted == string(source):
		case c.Write:
			if err := os.WriteFile(file, []byte(formatted), 0o644); err != nil {
				return err
			}
		default:
			unformatted++
			fmt.Println(file)
		}
	}
	if unformatted > 0 {
		return fmt.Errorf("%d of %d programs are not formatted: use --write to format them", unformatted, len(c.Files))
	}
	return nil
}

type pluginBench struct {
	trialFlags
	Runs int `default:"200000" help:"Number of runs."`
}

// Run measures the mean time of a run, after one run that must succeed.
func (c *pluginBench) Run() error {
	trial, event, err := c.load()
	if err != nil {
		return err
	}
	if c.Runs < 1 || c.Runs > 100_000_000 {
		return fmt.Errorf("--runs must be between 1 and 100000000, got %d", c.Runs)
	}
	result, err := trial.Run(event)
	if err != nil {
		return err
	}
	mean, err := trial.Bench(event, c.Runs)
	if err != nil {
		return err
	}
	fmt.Printf("%v a run, fuel %d, memory %d bytes\n", mean, result.Fuel, result.Memory)
	return nil
}
