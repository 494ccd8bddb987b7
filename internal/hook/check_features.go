package hook

import (
	"slices"

	"github.com/alecthomas/participle/v2/lexer"
)

// hookSet is a set of kinds of events: bit i is hookKinds[i].
type hookSet uint8

func hookSetOf(kinds ...string) hookSet {
	var set hookSet
	for _, kind := range kinds {
		set |= 1 << slices.Index(hookKinds, kind)
	}
	return set
}

// has reports whether a kind is in the set; one that does not exist is not.
func (s hookSet) has(kind string) bool {
	bit := slices.Index(hookKinds, kind)
	return bit >= 0 && s&(1<<bit) != 0
}

// feature is an event's field or a built-in function that not every hook has, or a call of another
// function, whose features the caller needs too.
type feature struct {
	name   string
	hooks  hookSet
	isCall bool
}

// featureUses holds the features that a function uses, each with its last position.
type featureUses map[feature]lexer.Position

// checkFeatureUses reports a diagnostic for each feature that a hook uses, directly or through the
// functions that it calls, and does not have.
func (c *checker) checkFeatureUses() {
	for number, f := range c.program.functions {
		if f.hook == "" {
			continue
		}
		uses := make(featureUses)
		c.collectFeatures(number, uses, make(map[int]bool))
		for used, at := range uses {
			if !used.hooks.has(f.hook) {
				c.fail(at, "%s is of no use in \"on %s\"", used.name, f.hook)
			}
		}
	}
}

// collectFeatures adds the features of a function and of those that it calls. Functions that were
// visited are left out, as calls may be recursive.
func (c *checker) collectFeatures(number int, uses featureUses, visited map[int]bool) {
	if visited[number] {
		return
	}
	visited[number] = true
	for used, at := range c.program.functions[number].uses {
		if used.isCall {
			c.collectFeatures(c.functionNumbers[used.name], uses, visited)
		} else {
			uses[used] = at
		}
	}
}
