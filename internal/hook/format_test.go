package hook

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A formatted program is the same program, and formatting it again changes nothing.
func TestFormat(t *testing.T) {
	messy := "on   request{ # why\nif event.class==\"a\"and not(1 <2){tag( \"x\" )\n\n\n\nlet l=[ 1,-2 ,3 ]\nfor i in 0 .. len( l ) {tag(text(-l[ i ]-1))}}}"
	want := "on request { # why\n\tif event.class == \"a\" and not (1 < 2) { tag(\"x\")\n\n\t\tlet l = [1, -2, 3]\n\t\tfor i in 0..len(l) { tag(text(-l[i] - 1)) } } }\n"
	got, err := Format("x", messy)
	if err != nil || got != want {
		t.Errorf("%v\n%s\nwant\n%s", err, got, want)
	}
	files, _ := filepath.Glob("../../deploy/plugins/*.hook")
	for seed := range uint64(40) {
		files = append(files, generate(rand.New(rand.NewPCG(seed, 1))))
	}
	for _, f := range files {
		source := f
		if b, err := os.ReadFile(f); err == nil {
			source = string(b)
		}
		once, err := Format("x", source)
		if err != nil {
			t.Fatal(err)
		}
		twice, err := Format("x", once)
		if err != nil || once != twice {
			t.Errorf("%v\n%s\nthen\n%s", err, once, twice)
		}
		if strings.HasSuffix(f, ".hook") && once != source {
			t.Errorf("%s is not formatted:\n%s", f, once)
		}
		r1, err1 := runProgram(t, source, generous)
		r2, err2 := runProgram(t, once, generous)
		if fmt.Sprint(r1) != fmt.Sprint(r2) || (err1 == nil) != (err2 == nil) {
			t.Errorf("%s: %v %v, formatted %v %v", source, r1, err1, r2, err2)
		}
	}
}
