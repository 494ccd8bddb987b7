package hook

import (
	"fmt"
	"regexp"
	"sync"

	"github.com/alecthomas/participle/v2"
)

// MaxSourceBytes is the maximum size of the source of a program, in bytes.
const MaxSourceBytes = 64 << 10

// parserLookahead is the number of tokens that the grammar needs to choose an alternative.
const parserLookahead = 3

// parser returns the parser. Like tokenRules, it is built when the first program is read.
var parser = sync.OnceValue(func() *participle.Parser[fileNode] {
	return participle.MustBuild[fileNode](
		participle.Lexer(tokenRules()),
		participle.Elide(tokenComment, tokenSpace),
		participle.UseLookahead(parserLookahead),
	)
})

// parse returns the syntax tree of a source. If the source is invalid, the error is an *Error for its first syntax error.
func parse(file, source string) (*fileNode, error) {
	if len(source) > MaxSourceBytes {
		text := fmt.Sprintf("the program has %d bytes; at most %d are allowed", len(source), MaxSourceBytes)
		return nil, &Error{File: file, Text: text}
	}
	if err := checkNesting(file, source); err != nil {
		return nil, err
	}
	tree, err := parser().ParseString(file, source)
	if err != nil {
		return nil, syntaxError(file, source, err)
	}
	return tree, nil
}

// nodeType matches the names of the types of the syntax tree. Its group is the name without Node.
var nodeType = regexp.MustCompile(`([A-Z][a-z]+)Node\b`)

// Grammar returns the grammar of the language in EBNF.
func Grammar() string { return nodeType.ReplaceAllString(parser().String(), "$1") }
