package plugin

import (
	"fmt"
	"os"
	"strings"

	"mothridge/internal/hook"
)

// Case is an event with the expected effects of a program.
type Case struct {
	Name    string    `json:"name"`
	Event   EventJSON `json:"event"`
	Repeat  int       `json:"repeat"`  // runs, of which the last one's effects are compared; 0: one
	Effects []string  `json:"effects"` // as Describe returns them
	Error   string    `json:"error"`   // a part of the expected error; "": the run succeeds
}

// CasesFile returns the path of a program's cases, which stand beside it.
func CasesFile(program string) string { return strings.TrimSuffix(program, ".hook") + ".cases.json" }

// Test runs the cases of a program, each with a state of its own, and calls report with each case's
// difference, "" if there is none. The error is that of reading the files, or counts the cases that
// differ; a file without a case is an error too.
func Test(path string, report func(name string, diff string)) error {
	program, err := hook.Load(path)
	if err != nil {
		return err
	}
	file := CasesFile(path)
	cases, err := readCases(file)
	if err != nil {
		return err
	}
	differing := 0
	for i := range cases {
		diff := cases[i].run(program)
		if diff != "" {
			differing++
		}
		report(cases[i].Name, diff)
	}
	if differing > 0 {
		return fmt.Errorf("%s: %d of %d cases went otherwise", file, differing, len(cases))
	}
	if len(cases) == 0 {
		return fmt.Errorf("%s: there is no case", file)
	}
	return nil
}

func readCases(file string) ([]Case, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var cases []Case
	if err := decodeStrictly(data, &cases); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return cases, nil
}

// run runs a case and returns the difference line by line, "" if there is none.
func (c *Case) run(program *hook.Program) string {
	effects, err := c.lastEffects(program)
	switch {
	case err != nil && c.Error == "":
		return "  failed: " + err.Error()
	case c.Error != "" && !c.expects(err):
		return fmt.Sprintf("- an error with %q\n+ %v", c.Error, err)
	}
	return difference(c.Effects, effects)
}

func (c *Case) expects(err error) bool {
	return err != nil && strings.Contains(err.Error(), c.Error)
}

// lastEffects runs the program as often as the case says, and returns the last run's effects and error.
func (c *Case) lastEffects(program *hook.Program) (effects []string, err error) {
	trial := NewTrial(program, hook.Limits{})
	for range max(1, c.Repeat) {
		var result hook.Result
		result, err = trial.Run(&c.Event)
		effects = effects[:0]
		for _, e := range result.Effects {
			effects = append(effects, Describe(e))
		}
	}
	return effects, err
}

// difference compares two lists entry by entry: "- " is before what is missing, "+ " before what is
// not expected, "  " before what is in both.
func difference(want, got []string) string {
	var out strings.Builder
	isSame := true
	for i := range max(len(want), len(got)) {
		if i < len(want) && i < len(got) && want[i] == got[i] {
			fmt.Fprintln(&out, "  "+want[i])
			continue
		}
		isSame = false
		if i < len(want) {
			fmt.Fprintln(&out, "- "+want[i])
		}
		if i < len(got) {
			fmt.Fprintln(&out, "+ "+got[i])
		}
	}
	if isSame {
		return ""
	}
	return strings.TrimSuffix(out.String(), "\n")
}
