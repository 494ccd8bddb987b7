package hook

import (
	"os"
	"time"
)

// maxInstructions is how many instructions a program may have.
const maxInstructions = 16 << 10

// Program is a compiled plug-in. It is immutable: any number of machines may run it at once.
type Program struct {
	File      string
	States    []State
	functions []bytecode
	constants []value
	hooks     map[string]int // index in functions by kind of event
	zones     []*time.Location
}

// bytecode is a compiled function.
type bytecode struct {
	name         string
	parameters   int
	slots        int // variables, parameters included
	operands     int // the most that are on the stack above the variables
	instructions []instruction
}

// HasHook reports whether a program has a hook for a kind of event.
func (p *Program) HasHook(kind string) bool {
	_, ok := p.hooks[kind]
	return ok
}

// Load reads and compiles a file. Errors are those of os.ReadFile and Compile.
func Load(path string) (*Program, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Compile(path, string(source))
}

// Compile makes a program of a source. The error is an *Error if the source cannot be parsed or the
// program is too large, else Errors with all diagnostics.
func Compile(file, source string) (*Program, error) {
	tree, err := parse(file, source)
	if err != nil {
		return nil, err
	}
	checked, err := check(file, source, tree)
	if err != nil {
		return nil, err
	}
	return compile(file, checked)
}
