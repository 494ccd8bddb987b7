// Package hook implements the language of plug-ins. The language is small, statically typed and
// compiled to bytecode for a virtual machine that limits the fuel and memory of each run. A program can
// read only its event and its declared state, so that the result and the cost of a run are a pure
// function of these two. docs/plugins/language.md describes the language.
//
// Compile translates the source of a program to bytecode; a Machine runs the bytecode. The files of the
// compiler:
//
//	scanner.go             tokens, keywords, maximum nesting
//	ast.go                 abstract syntax tree; its struct tags are the grammar
//	parser.go              parser: from tokens to the syntax tree; the grammar in EBNF
//	check.go               type checker: from the syntax tree to the typed tree
//	check_declarations.go  constants, states, functions and hooks
//	check_statements.go    statements
//	check_expressions.go   operators
//	check_primary.go       literals, names, fields, indexes, lists
//	check_calls.go         calls of functions, functions of the state, time zones
//	check_features.go      fields and functions that only some hooks may use, directly or through calls
//	scope.go               variables and their scopes, names that are already in use
//	typed_tree.go          the typed tree
//	diagnostic.go          errors with their position
//	compile.go             code generator: from the typed tree to bytecode
//	compile_statements.go  jumps and loops
//	compile_expressions.go operators and calls
//	program.go             Program: Load, Compile, bytecode
//
// The files of a run:
//
//	machine.go             Machine: Run, calls and their frames
//	machine_loop.go        the loop that executes instructions
//	machine_stack.go       operand stack, jumps, loops, state
//	machine_arithmetic.go  arithmetic and comparisons
//	machine_collection.go  texts, lists and maps
//	limits.go              limits of fuel and memory, errors of a run
//	event.go, effect.go    input and output of a run
//	state.go               declared state
//
// Tables that the compiler and the machine share:
//
//	types.go               types of values
//	value.go               values at run time
//	opcode.go              instruction set
//	builtins.go            built-in functions: signature, hooks, cost, implementation
//	signature.go           signatures of functions, including generic functions
//	builtins_*.go          implementations of the built-in functions
//
// format.go formats the source of a program in its canonical form.
package hook
