package plugin

import (
	"fmt"
	"os"
	"strings"

	"mothridge/internal/hook"
)

// Case is an event and the effects that a program is expected to have on it.
type Case struct {
	Name    string    `json:"name"`
	Event   EventJSON `json:"event"`
	Repeat  int       `json:"repeat"`  // number of runs; the effects of the last run are compared; 0 means 1
	Effects []string  `json:"effects"` // expected effects, in the format of Describe
	Error   string    `json:"error"`   // substring of the expected error; empty if the run must succeed
}

// CasesFile returns the path of the file with a program's cases, which is in the program's folder.
func CasesFile(program string) string { return strings.TrimSuffix(program, ".hook") + ".cases.json" }

// Test runs the cases of the program at path, each with its own empty state. For each case it calls
// report with the difference between the expected and the actual effects, which is empty if they are
// equal. It returns an error if a file cannot be read, if there are no cases or if a case differs.
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
		return fmt.Errorf("%s: %d of %d cases failed", file, differing, len(cases))
	}
	if len(cases) == 0 {
		return fmt.Errorf("%s: no cases found", file)
	}
	return nil
}

// readCases reads a file of cases. An error names the file and the line.
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

// run runs a case and returns the difference line by line. It is empty if there is none.
func (c *Case) run(program *hook.Program) string {
	effects, err := c.lastEffects(program)
	switch {
	case err != nil && c.Error == "":
		return "  failed: " + err.Error()
	case c.Error != "" && !c.matchesError(err):
		return fmt.Sprintf("- an error with %q\n+ %v", c.Error, err)
	}
	return difference(c.Effects, effects)
}

// matchesError reports whether err is the error that the case expects.
func (c *Case) matchesError(err error) bool {
	return err != nil && strings.Contains(err.Error(), c.Error)
}

// lastEffects runs the program Repeat times, at least once, and returns the effects and the error of the
// last run.
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

// difference compares two lists entry by entry. In the result, the prefix "- " marks a missing entry,
// "+ " an unexpected entry, and "  " an entry of both lists. It returns "" if the lists are equal.
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
