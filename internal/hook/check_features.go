package hook

import (
	"slices"

	"github.com/alecthomas/participle/v2/lexer"
)

// hookSet is a set of kinds of events; bit i stands for hookKinds[i].
type hookSet uint8

func hookSetOf(kinds ...string) hookSet {
	var set hookSet
	for _, kind := range kinds {
		set |= 1 << slices.Index(hookKinds, kind)
	}
	return set
}

// has reports whether a kind is in the set. An unknown kind is in no set.
func (s hookSet) has(kind string) bool {
	bit := slices.Index(hookKinds, kind)
	return bit >= 0 && s&(1<<bit) != 0
}

// feature is a field of the event or a built-in function that only some hooks may use, or a call of
// another function of the program. A caller also uses the features of the functions that it calls.
type feature struct {
	name   string
	hooks  hookSet
	isCall bool
}

// featureUses maps each feature that a function uses to the position of its last use.
type featureUses map[feature]lexer.Position

// checkFeatureUses reports a diagnostic for each feature that a hook uses, directly or through the
// functions that it calls, but that is not available to the hook.
func (c *checker) checkFeatureUses() {
	for index, f := range c.program.functions {
		if f.hook == "" {
			continue
		}
		uses := make(featureUses)
		c.collectFeatures(index, uses, make(map[int]bool))
		for used, at := range uses {
			if !used.hooks.has(f.hook) {
				c.report(at, "%s is not available in \"on %s\"", used.name, f.hook)
			}
		}
	}
}

// collectFeatures adds to uses the features of a function and of the functions that it calls. It skips
// functions that are in visited, because calls may be recursive.
func (c *checker) collectFeatures(index int, uses featureUses, visited map[int]bool) {
	if visited[index] {
		return
	}
	visited[index] = true
	for used, at := range c.program.functions[index].uses {
		if used.isCall {
			c.collectFeatures(c.functionIndexes[used.name], uses, visited)
		} else {
			uses[used] = at
		}
	}
}
