package hook

import (
	"fmt"
	"regexp"
	"sync"

	"github.com/alecthomas/participle/v2"
)

// MaxSourceBytes is the size of the largest program, in bytes.
const MaxSourceBytes = 64 << 10

// parserLookahead is how many tokens the grammar needs to choose an alternative.
const parserLookahead = 3

// parser is built when the first program is read, like tokenRules.
var parser = sync.OnceValue(func() *participle.Parser[fileNode] {
	return participle.MustBuild[fileNode](
		participle.Lexer(tokenRules()),
		participle.Elide(tokenComment, tokenSpace),
		participle.UseLookahead(parserLookahead),
	)
})

// parse makes the syntax tree of a source. An error is an *Error: the first one in the source.
func parse(file, source string) (*fileNode, error) {
	if len(source) > MaxSourceBytes {
		text := fmt.Sprintf("%d bytes: a program has %d at the most", len(source), MaxSourceBytes)
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

// nodeType matches the names of the syntax tree's types.
var nodeType = regexp.MustCompile(`([A-Z][a-z]+)Node\b`)

// Grammar returns the language's grammar in EBNF.
func Grammar() string { return nodeType.ReplaceAllString(parser().String(), "$1") }
