// Package hook is the language of plug-ins: small, statically typed, and compiled to bytecode for a
// virtual machine that meters each run. A program sees its event and its declared state and nothing
// else, so that a run and its cost are a pure function of the two. docs/plugins/language.md
// describes the language.
//
// Compile takes a program from text to bytecode; a Machine runs it:
//
//	scanner.go             tokens, keywords, the bound of nesting
//	ast.go                 abstract syntax tree, whose tags are the grammar
//	parser.go              from tokens to the syntax tree; the grammar in EBNF
//	check.go               from the syntax tree to the typed tree: type checker
//	check_declarations.go  constants, states, functions and hooks
//	check_statements.go    statements
//	check_expressions.go   operators
//	check_primary.go       literals, names, fields, indexes, lists
//	check_calls.go         calls, of the state and time zones too
//	check_features.go      what not every hook has, by way of functions too
//	scope.go               variables and their scopes, names that are taken
//	typed_tree.go          the typed tree
//	diagnostic.go          errors with their position
//	compile.go             from the typed tree to bytecode
//	compile_statements.go  jumps and loops
//	compile_expressions.go operators and calls
//	program.go             Program: Load, Compile, bytecode
//
// What a run needs:
//
//	machine.go             Machine: Run, calls and their frames
//	machine_loop.go        the loop that executes instructions
//	machine_stack.go       operand stack, jumps, loops, state
//	machine_arithmetic.go  arithmetic and comparisons
//	machine_collection.go  texts, lists and maps
//	limits.go              fuel and memory, why a run failed
//	event.go, effect.go    input and output of a run
//	state.go               declared state
//
// Tables that several of them use:
//
//	types.go               types of values
//	value.go               values at run time
//	opcode.go              instruction set
//	builtins.go            built-in functions: signature, hooks, cost, function
//	signature.go           signatures, generic ones too
//	builtins_*.go          what the built-in functions do
//
// format.go sets a program in its canonical form.
package hook
