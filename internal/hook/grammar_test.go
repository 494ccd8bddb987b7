package hook

import (
	"os"
	"testing"
)

// The published grammar is the parser's.
func TestGrammar(t *testing.T) {
	b, err := os.ReadFile("../../docs/plugins/grammar.ebnf")
	if err != nil || string(b) != Grammar()+"\n" {
		t.Errorf("docs/plugins/grammar.ebnf is not the parser's: %v\n%s", err, Grammar())
	}
}
