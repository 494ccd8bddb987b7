package hook

import (
	"os"
	"time"
)

// maxInstructions is the maximum number of instructions of a program.
const maxInstructions = 16 << 10

// Program is a compiled plug-in. It is immutable, so that any number of machines may run it concurrently.
type Program struct {
	File      string
	States    []State
	functions []bytecode
	constants []value
	hooks     map[string]int // indexes in functions, by kind of event
	zones     []*time.Location
}

// bytecode is a compiled function.
type bytecode struct {
	name         string
	parameters   int
	slots        int // number of variables, including parameters
	operands     int // maximum number of operands on the stack above the variables
	instructions []instruction
}

// HasHook reports whether a program has a hook for a kind of event.
func (p *Program) HasHook(kind string) bool {
	_, ok := p.hooks[kind]
	return ok
}

// Load reads and compiles a file. It returns the errors of os.ReadFile and Compile.
func Load(path string) (*Program, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Compile(path, string(source))
}

// Compile compiles the source of a program. The error is an *Error if the source cannot be parsed or the
// program is too large. Otherwise the error is of type Errors and contains the diagnostics.
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
