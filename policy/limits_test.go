package policy

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// The module is read by an auditor who charges by the page.
func TestModuleStaysWithinItsLimits(t *testing.T) {
	const mostLines, mostColumns = 550, 110
	text, err := os.ReadFile("policy.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for n, line := range strings.Split(string(text), "\n") {
		if strings.TrimSpace(line) != "" {
			lines++
		}
		if utf8.RuneCountInString(line) > mostColumns {
			t.Errorf("line %d has more than %d characters", n+1, mostColumns)
		}
	}
	if lines > mostLines {
		t.Errorf("%d lines that are not blank, at most %d", lines, mostLines)
	}
	if head, _, _ := strings.Cut(string(text), "\npackage "); !strings.Contains(head, "api.go") {
		t.Error("the top of the module does not name api.go")
	}
}
