package hook

import (
	"math"
	"os"

	"github.com/alecthomas/participle/v2/lexer"
)

func floatBits(f float64) int64 { return int64(math.Float64bits(f)) }
func bitsFloat(n int64) float64 { return math.Float64frombits(uint64(n)) }

// maxCode is how many instructions a program may have.
const maxCode = 16 << 10

// opcode is an instruction of the machine. The stack holds a frame's variables
// and, above them, what expressions have so far.
type opcode uint8

const (
	opConst       opcode = iota // push constant a
	opLoad                      // push variable a
	opStore                     // pop into variable a
	opField                     // push number a of the event: a text
	opFieldNumber               // the same: a number
	opPop
	opJump          // to a
	opJumpIfFalse   // pop; to a
	opJumpKeepFalse // to a if the top is false, else pop
	opJumpKeepTrue
	opNot
	opNegInt
	opNegFloat
	opAddInt
	opSubInt
	opMulInt
	opDivInt
	opModInt
	opAddFloat
	opSubFloat
	opMulFloat
	opDivFloat
	opRatio // duration / duration
	opAddText
	opCompareInt // a: which
	opCompareFloat
	opCompareText
	opInText
	opInMap
	opInList // a: 1 where its entries are texts, 2 where they are floats
	opListAt
	opMapAt
	opListSet
	opMapSet
	opNewList // of the a on top
	opNewMap
	opCall   // function a
	opReturn // nothing
	opReturnValue
	opBuiltin // number a, of the types b
	opValue   // state a
	opValueAt
	opAdd
	opAddAt
	opForget
	opRangeTest // variables a (place) and a+1 (bound): push whether the place is below
	opEachNext  // variables a, a+1 (list), a+2 (place): push whether there is one more, and set a to it
	opIncrement // variable a
)

// How opCompare and its kind compare.
var comparisons = []string{"==", "!=", "<", "<=", ">", ">="}

type instr struct {
	op   opcode
	b    uint8
	a    int32
	line int32
}

// code is a function's.
type code struct {
	name   string
	params int
	slots  int
	most   int // of the stack above the frame's variables
	instrs []instr
}

// Program is a compiled plug-in. It does not change: any number of machines may
// run it at once.
type Program struct {
	File   string
	States []State
	codes  []code
	consts []value
	hooks  map[string]int
	zones  []zone
}

// Hooks says whether a program has a hook of a kind: request, outcome or member.
func (p *Program) Hooks(kind string) bool { _, ok := p.hooks[kind]; return ok }

// Load reads and compiles a file.
func Load(path string) (*Program, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Compile(path, string(b))
}

// Compile makes a program of a source. All that is wrong with it is told, as Errors
// or, where it cannot be parsed, the first as *Error.
func Compile(file, source string) (*Program, error) {
	tree, err := parse(file, source)
	if err != nil {
		return nil, err
	}
	c, err := check(file, source, tree)
	if err != nil {
		return nil, err
	}
	return assemble(file, c)
}

// assemble makes code of a checked program.
func assemble(file string, c *checked) (*Program, error) {
	g := &generator{p: &Program{File: file, States: c.states, hooks: c.hooks}, consts: make(map[any]int32)}
	for _, l := range c.zones {
		g.p.zones = append(g.p.zones, zone{l})
	}
	total := 0
	for _, f := range c.functions {
		g.function(f)
		total += len(g.instrs)
	}
	if total > maxCode {
		return nil, &Error{File: file, Text: "the program is too large"}
	}
	return g.p, nil
}

// generator makes code of the checked program.
type generator struct {
	p      *Program
	consts map[any]int32

	instrs    []instr
	depth     int
	most      int
	breaks    [][]int
	continues [][]int
}

func (g *generator) function(f *function) {
	g.instrs, g.depth, g.most = nil, 0, 0
	g.block(f.body)
	g.emit(opReturn, 0, 0, lexer.Position{}, 0)
	g.p.codes = append(g.p.codes, code{f.name, len(f.params), f.slots, g.most, g.instrs})
}

// emit adds an instruction that changes the stack's height by grow.
func (g *generator) emit(op opcode, a int, b uint8, at lexer.Position, grow int) int {
	g.instrs = append(g.instrs, instr{op, b, int32(a), int32(at.Line)})
	g.depth += grow
	g.most = max(g.most, g.depth)
	return len(g.instrs) - 1
}

// land lets jumps go to where the code is now.
func (g *generator) land(jumps ...int) {
	for _, j := range jumps {
		g.instrs[j].a = int32(len(g.instrs))
	}
}

func (g *generator) constant(t *typ, v value) int {
	key := any(v.n)
	if t == typeText {
		key = v.s
	}
	if i, ok := g.consts[key]; ok {
		return int(i)
	}
	g.consts[key] = int32(len(g.p.consts))
	g.p.consts = append(g.p.consts, v)
	return len(g.p.consts) - 1
}

func (g *generator) block(body []*stmt) {
	for _, s := range body {
		g.stmt(s)
	}
}

func (g *generator) stmt(s *stmt) {
	switch s.op {
	case stSet:
		g.expr(s.a)
		g.emit(opStore, s.n, 0, s.pos, -1)
	case stIndex:
		g.expr(s.a)
		g.expr(s.b)
		g.expr(s.c)
		op := opListSet
		if s.a.t.kind == kindMap {
			op = opMapSet
		}
		g.emit(op, 0, 0, s.pos, -3)
	case stIf:
		g.expr(s.a)
		no := g.emit(opJumpIfFalse, 0, 0, s.pos, -1)
		g.block(s.body)
		if len(s.other) == 0 {
			g.land(no)
			return
		}
		end := g.emit(opJump, 0, 0, s.pos, 0)
		g.land(no)
		g.block(s.other)
		g.land(end)
	case stWhile:
		top := len(g.instrs)
		g.expr(s.a)
		g.loop(s, top, g.emit(opJumpIfFalse, 0, 0, s.pos, -1), -1)
	case stRange:
		g.expr(s.a)
		g.emit(opStore, s.n, 0, s.pos, -1)
		g.expr(s.b)
		g.emit(opStore, s.n+1, 0, s.pos, -1)
		top := len(g.instrs)
		g.emit(opRangeTest, s.n, 0, s.pos, 1)
		g.loop(s, top, g.emit(opJumpIfFalse, 0, 0, s.pos, -1), s.n)
	case stEach:
		g.expr(s.a)
		g.emit(opStore, s.n+1, 0, s.pos, -1)
		g.emit(opConst, g.constant(typeInt, value{}), 0, s.pos, 1)
		g.emit(opStore, s.n+2, 0, s.pos, -1)
		top := len(g.instrs)
		g.emit(opEachNext, s.n, 0, s.pos, 1)
		g.loop(s, top, g.emit(opJumpIfFalse, 0, 0, s.pos, -1), -1)
	case stReturn:
		if s.a == nil {
			g.emit(opReturn, 0, 0, s.pos, 0)
			return
		}
		g.expr(s.a)
		g.emit(opReturnValue, 0, 0, s.pos, -1)
	case stBreak:
		last := len(g.breaks) - 1
		g.breaks[last] = append(g.breaks[last], g.emit(opJump, 0, 0, s.pos, 0))
	case stContinue:
		last := len(g.continues) - 1
		g.continues[last] = append(g.continues[last], g.emit(opJump, 0, 0, s.pos, 0))
	case stDo:
		g.expr(s.a)
		if s.a.t != typeNone {
			g.emit(opPop, 0, 0, s.pos, -1)
		}
	}
}

// loop is a body and the way back to the top; what leads out is the jump out.
// Count is a variable to increment on the way; -1: none.
func (g *generator) loop(s *stmt, top, out, count int) {
	g.breaks, g.continues = append(g.breaks, nil), append(g.continues, nil)
	g.block(s.body)
	last := len(g.breaks) - 1
	g.land(g.continues[last]...)
	if count >= 0 {
		g.emit(opIncrement, count, 0, s.pos, 0)
	}
	g.emit(opJump, top, 0, s.pos, 0)
	g.land(append(g.breaks[last], out)...)
	g.breaks, g.continues = g.breaks[:last], g.continues[:last]
}

var arithOps = map[string]map[kind]opcode{
	"+": {kindInt: opAddInt, kindDuration: opAddInt, kindTime: opAddInt, kindFloat: opAddFloat, kindText: opAddText},
	"-": {kindInt: opSubInt, kindDuration: opSubInt, kindTime: opSubInt, kindFloat: opSubFloat},
	"*": {kindInt: opMulInt, kindDuration: opMulInt, kindFloat: opMulFloat},
	"/": {kindInt: opDivInt, kindDuration: opDivInt, kindFloat: opDivFloat},
	"%": {kindInt: opModInt},
}

func (g *generator) expr(e *expr) {
	switch e.op {
	case exConst:
		g.emit(opConst, g.constant(e.t, e.v), 0, e.pos, 1)
		return
	case exLocal:
		g.emit(opLoad, e.n, 0, e.pos, 1)
		return
	case exField:
		op := opFieldNumber
		if e.t == typeText {
			op = opField
		}
		g.emit(op, e.n, 0, e.pos, 1)
		return
	case exAnd, exOr:
		op := opJumpKeepFalse
		if e.op == exOr {
			op = opJumpKeepTrue
		}
		g.expr(e.args[0])
		end := g.emit(op, 0, 0, e.pos, -1)
		g.expr(e.args[1])
		g.land(end)
		return
	}
	for _, a := range e.args {
		g.expr(a)
	}
	switch e.op {
	case exNot:
		g.emit(opNot, 0, 0, e.pos, 0)
	case exNeg:
		op := opNegInt
		if e.t == typeFloat {
			op = opNegFloat
		}
		g.emit(op, 0, 0, e.pos, 0)
	case exArith:
		op := arithOps[e.sign][e.t.kind]
		if e.t == typeFloat && e.args[0].t == typeDuration {
			op = opRatio
		}
		g.emit(op, 0, 0, e.pos, -1)
	case exCompare:
		op := opCompareInt
		switch e.args[0].t {
		case typeFloat:
			op = opCompareFloat
		case typeText:
			op = opCompareText
		}
		for i, sign := range comparisons {
			if sign == e.sign {
				g.emit(op, i, 0, e.pos, -1)
			}
		}
	case exIn:
		switch of := e.args[1].t; {
		case of.kind == kindText:
			g.emit(opInText, 0, 0, e.pos, -1)
		case of.kind == kindMap:
			g.emit(opInMap, 0, 0, e.pos, -1)
		default:
			g.emit(opInList, textOrFloat(of.of), 0, e.pos, -1)
		}
	case exIndex:
		op := opListAt
		if e.args[0].t.kind == kindMap {
			op = opMapAt
		}
		g.emit(op, 0, 0, e.pos, -1)
	case exCall:
		grow := -len(e.args)
		if e.t != typeNone {
			grow++
		}
		g.emit(opCall, e.n, 0, e.pos, grow)
	case exBuiltin:
		g.builtin(e)
	case exState:
		op := map[string][2]opcode{"value": {opValue, opValueAt}, "add": {opAdd, opAddAt}, "forget": {opForget, opForget}}[e.sign]
		at := 0
		if g.p.States[e.n].Most > 0 {
			at = 1
		}
		grow := 1 - len(e.args)
		if e.sign == "forget" {
			grow = -1
		}
		g.emit(op[at], e.n, 0, e.pos, grow)
	case exList:
		g.emit(opNewList, len(e.args), 0, e.pos, 1-len(e.args))
	case exMap:
		g.emit(opNewMap, 0, 0, e.pos, 1)
	}
}

func textOrFloat(t *typ) int {
	switch t {
	case typeText:
		return 1
	case typeFloat:
		return 2
	}
	return 0
}

func (g *generator) builtin(e *expr) {
	grow := -len(e.args)
	if e.t != typeNone {
		grow++
	}
	var b uint8
	if len(e.args) > 0 { // which of its ways a builtin of several goes
		b = uint8(e.args[0].t.kind)
	}
	g.emit(opBuiltin, e.n, b, e.pos, grow)
}
