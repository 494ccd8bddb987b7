package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"mothridge/internal/hook"
	"mothridge/internal/plugin"
)

// pluginCommand is for those who write plug-ins.
type pluginCommand struct {
	Check pluginCheck `cmd:"" help:"Compile programs and tell all that is wrong with them."`
	Run   pluginRun   `cmd:"" help:"Run a program for one event and print what it asks for and what it spent."`
	Test  pluginTest  `cmd:"" help:"Run the cases beside a program (NAME.cases.json) and show what went otherwise."`
	Fmt   pluginFmt   `cmd:"" help:"Set programs in the one form."`
	Bench pluginBench `cmd:"" help:"Time a program for one event."`
}

type pluginCheck struct {
	Files []string `arg:"" help:"Programs." type:"path"`
}

// Run compiles each.
func (c *pluginCheck) Run() error {
	wrong := 0
	for _, f := range c.Files {
		p, err := hook.Load(f)
		if err != nil {
			wrong++
			fmt.Println(err)
			continue
		}
		var hooks []string
		for _, kind := range []string{"request", "outcome", "member"} {
			if p.HasHook(kind) {
				hooks = append(hooks, "on "+kind)
			}
		}
		fmt.Printf("%s: %s; %d states\n", f, strings.Join(hooks, ", "), len(p.States))
	}
	if wrong > 0 {
		return fmt.Errorf("%d of %d programs are wrong", wrong, len(c.Files))
	}
	return nil
}

// trialFlags name a program, an event and the limits of a run.
type trialFlags struct {
	File     string `arg:"" help:"Program." type:"path"`
	Event    string `arg:"" help:"Event, a JSON file; - reads standard input."`
	Fuel     int64  `help:"Fuel of a run; the default of the operators' file where it is not set."`
	MemoryKB int64  `help:"Memory of a run."`
}

func (f *trialFlags) load() (*plugin.Trial, *plugin.EventJSON, error) {
	p, err := hook.Load(f.File)
	if err != nil {
		return nil, nil, err
	}
	var b []byte
	if f.Event == "-" {
		b, err = io.ReadAll(io.LimitReader(os.Stdin, 1<<20))
	} else {
		b, err = os.ReadFile(f.Event)
	}
	if err != nil {
		return nil, nil, err
	}
	e, err := plugin.ReadEvent(b)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", f.Event, err)
	}
	return plugin.NewTrial(p, hook.Limits{Fuel: f.Fuel, Memory: f.MemoryKB << 10}), e, nil
}

type pluginRun struct{ trialFlags }

// Run runs it once.
func (c *pluginRun) Run() error {
	t, e, err := c.load()
	if err != nil {
		return err
	}
	r, err := t.Run(e)
	for _, x := range r.Effects {
		fmt.Println(plugin.Describe(x))
	}
	fmt.Printf("fuel %d, memory %d bytes\n", r.Fuel, r.Memory)
	return err
}

type pluginTest struct {
	Files []string `arg:"" help:"Programs." type:"path"`
}

// Run runs the cases of each.
func (c *pluginTest) Run() error {
	wrong := 0
	for _, f := range c.Files {
		err := plugin.Test(f, func(name, diff string) {
			if diff == "" {
				fmt.Printf("ok    %s: %s\n", f, name)
			} else {
				fmt.Printf("WRONG %s: %s\n%s\n", f, name, diff)
			}
		})
		if err != nil {
			wrong++
			fmt.Println(err)
		}
	}
	if wrong > 0 {
		return fmt.Errorf("%d of %d programs do otherwise than their cases say", wrong, len(c.Files))
	}
	return nil
}

type pluginFmt struct {
	Files []string `arg:"" help:"Programs." type:"path"`
	Write bool     `short:"w" help:"Write them back; else those that would change are named."`
}

// Run formats each.
func (c *pluginFmt) Run() error {
	changed := 0
	for _, f := range c.Files {
		b, err := os.ReadFile(f)
		if err != nil {
			return err
		}
		text, err := hook.Format(f, string(b))
		switch {
		case err != nil:
			return err
		case text == string(b):
		case c.Write:
			if err := os.WriteFile(f, []byte(text), 0o644); err != nil {
				return err
			}
		default:
			changed++
			fmt.Println(f)
		}
	}
	if changed > 0 {
		return fmt.Errorf("%d of %d programs are not in the one form: --write sets them in it", changed, len(c.Files))
	}
	return nil
}

type pluginBench struct {
	trialFlags
	Runs int `default:"200000" help:"How many runs."`
}

// Run times it.
func (c *pluginBench) Run() error {
	t, e, err := c.load()
	if err != nil {
		return err
	}
	if c.Runs < 1 || c.Runs > 100_000_000 {
		return fmt.Errorf("--runs %d: 1 to 100000000 is meant", c.Runs)
	}
	r, err := t.Run(e)
	if err != nil {
		return err
	}
	took, err := t.Bench(e, c.Runs)
	if err != nil {
		return err
	}
	fmt.Printf("%v a run, fuel %d, memory %d bytes\n", took, r.Fuel, r.Memory)
	return nil
}
