package hook

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFormat checks that Format returns the canonical form, that formatting a formatted program again changes
// nothing, and that a formatted program runs like the original. The deployed plug-ins must be formatted
// already.
func TestFormat(t *testing.T) {
	unformatted := "on   request{ # why\nif event.class==\"a\"and not(1 <2){tag( \"x\" )\n\n\n\nlet l=[ 1,-2 ,3 ]\nfor i in 0 .. len( l ) {tag(text(-l[ i ]-1))}}}"
	want := "on request { # why\n\tif event.class == \"a\" and not (1 < 2) { tag(\"x\")\n\n\t\tlet l = [1, -2, 3]\n\t\tfor i in 0..len(l) { tag(text(-l[i] - 1)) } } }\n"
	got, err := Format("x", unformatted)
	if err != nil || got != want {
		t.Errorf("got error %v and\n%s\nwant\n%s", err, got, want)
	}
	files, _ := filepath.Glob("../../deploy/plugins/*.hook")
	for seed := range uint64(40) {
		files = append(files, generate(rand.New(rand.NewPCG(seed, 1))))
	}
	for _, f := range files {
		source := f
		if content, err := os.ReadFile(f); err == nil {
			source = string(content)
		}
		once, err := Format("x", source)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := Format("x", once)
		if err != nil || once != twice {
			t.Errorf("formatting twice: got error %v;\nfirst result\n%s\nsecond result\n%s", err, once, twice)
		}
		if strings.HasSuffix(f, ".hook") && once != source {
			t.Errorf("%s is not formatted:\n%s", f, once)
		}
		originalResult, originalErr := runProgram(t, source, ampleLimits)
		formattedResult, formattedErr := runProgram(t, once, ampleLimits)
		if fmt.Sprint(originalResult) != fmt.Sprint(formattedResult) || (originalErr == nil) != (formattedErr == nil) {
			t.Errorf("%s: the source got %v %v, the formatted source %v %v", source, originalResult, originalErr, formattedResult, formattedErr)
		}
	}
}
