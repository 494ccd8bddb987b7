package hook

import (
	"os"
	"testing"
)

// TestGrammar checks that docs/plugins/grammar.ebnf is the grammar of the parser, so that the published grammar
// cannot become outdated.
func TestGrammar(t *testing.T) {
	content, err := os.ReadFile("../../docs/plugins/grammar.ebnf")
	if err != nil || string(content) != Grammar()+"\n" {
		t.Errorf("docs/plugins/grammar.ebnf differs from the grammar of the parser: error %v, want\n%s", err, Grammar())
	}
}
