package hook

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
	_ "time/tzdata" // the same calendar on every machine

	"github.com/alecthomas/participle/v2/lexer"
)

// The checked program: every name is resolved and every type known. The code is
// made from it.

type exprOp uint8

const (
	exConst exprOp = iota
	exLocal        // n: slot
	exField        // n: number
	exAnd
	exOr
	exNot
	exNeg
	exArith // sign
	exCompare
	exIn
	exIndex
	exCall    // n: function
	exBuiltin // n: number
	exState   // n: state; sign: value, add or forget
	exList
	exMap
)

type expr struct {
	op   exprOp
	t    *typ
	sign string
	n    int
	args []*expr
	v    value
	pos  lexer.Position
}

type stmtOp uint8

const (
	stSet   stmtOp = iota // n: slot, a: value
	stIndex               // a[b] = c
	stIf                  // a, body, other
	stWhile               // a, body
	stRange               // n: slot (and the bound's after it), a to b, body
	stEach                // n: slot (and the list's and the place's after it), a, body
	stReturn
	stBreak
	stContinue
	stDo // a
)

type stmt struct {
	op          stmtOp
	n           int
	a, b, c     *expr
	body, other []*stmt
	pos         lexer.Position
}

// function is a function, or a hook, which takes nothing and gives nothing.
type function struct {
	name   string
	params []*typ
	result *typ
	slots  int
	body   []*stmt
	hook   string // its kind of event; "": a function
	uses   map[string]lexer.Position
}

// State is what a program keeps from one run to the next.
type State struct {
	Name string
	Most int           // entries of a map; 0: it is a counter
	Age  time.Duration // of an entry that nothing was added to
}

// Bounds of a program's state. Together they keep a map to some 3 MB.
const (
	MostStates  = 16
	MostEntries = 10_000
	MostAge     = 30 * 24 * time.Hour
	MaxKey      = 128 // bytes
)

// checked is a program that is right.
type checked struct {
	functions []*function
	hooks     map[string]int
	states    []State
	zones     []*time.Location
}

type variable struct {
	slot  int
	t     *typ
	fixed bool
}

type checker struct {
	file, source string
	errors       Errors
	out          *checked
	consts       map[string]*expr
	byName       map[string]int // functions
	states       map[string]int
	zones        map[string]int

	f      *function
	scopes []map[string]variable
	loops  int
}

func (c *checker) fail(at lexer.Position, format string, args ...any) {
	if len(c.errors) < maxDiagnostics {
		c.errors = append(c.errors, newError(c.file, c.source, at, format, args...))
	}
}

// check resolves and types a program.
func check(file, source string, tree *fileNode) (*checked, error) {
	c := &checker{
		file: file, source: source, out: &checked{hooks: make(map[string]int)}, consts: make(map[string]*expr),
		byName: make(map[string]int), states: make(map[string]int), zones: make(map[string]int),
	}
	var bodies []*blockNode
	for _, d := range tree.Decls {
		bodies = c.declare(d, bodies)
	}
	for i, b := range bodies {
		c.body(c.out.functions[i], b, tree.Decls)
	}
	if len(c.out.hooks) == 0 && len(c.errors) == 0 {
		c.fail(lexer.Position{Line: 1, Column: 1}, "the program has no hook: \"on request { ... }\", outcome or member is meant")
	}
	c.spread()
	if len(c.errors) > 0 {
		sort.SliceStable(c.errors, func(i, j int) bool { return c.errors[i].Line < c.errors[j].Line })
		return nil, c.errors
	}
	return c.out, nil
}

// free complains of a name that has a meaning already.
func (c *checker) free(at lexer.Position, name string) {
	_, isConst := c.consts[name]
	_, isFunc := c.byName[name]
	_, isState := c.states[name]
	isBuiltin := slices.ContainsFunc(builtins[:], func(b builtin) bool { return b.name == name }) || name == "add" || name == "value" || name == "forget" || name == "event"
	switch {
	case keywords[name]:
		c.fail(at, "%q is a word of the language and no name", name)
	case isBuiltin || named[name] != nil:
		c.fail(at, "%q is the language's own", name)
	case isConst || isFunc || isState:
		c.fail(at, "%q is declared already", name)
	}
}

// declare notes what a declaration names; the bodies come after all are known.
func (c *checker) declare(d *declNode, bodies []*blockNode) []*blockNode {
	switch {
	case d.Const != nil:
		c.free(d.Pos, d.Const.Name)
		c.f, c.scopes = &function{uses: make(map[string]lexer.Position)}, nil
		v := c.expr(d.Const.Value)
		if v.op != exConst && v.t != nil {
			c.fail(d.Const.Value.Pos, "a constant is a plain value that is known beforehand")
		}
		c.consts[d.Const.Name] = v
	case d.State != nil:
		c.free(d.Pos, d.State.Name)
		s := State{Name: d.State.Name}
		if !d.State.Counter {
			s.Most, _ = strconv.Atoi(*d.State.Most)
			s.Age, _ = duration(*d.State.Age)
			if s.Most < 1 || s.Most > MostEntries || s.Age <= 0 || s.Age > MostAge {
				c.fail(d.Pos, "a map of %s entries for %s: 1 to %d entries, and an age of up to 30d, are meant", *d.State.Most, *d.State.Age, MostEntries)
			}
		}
		if len(c.out.states) == MostStates {
			c.fail(d.Pos, "more than %d states", MostStates)
		}
		c.states[s.Name] = len(c.out.states)
		c.out.states = append(c.out.states, s)
	case d.Func != nil:
		c.free(d.Pos, d.Func.Name)
		f := &function{name: d.Func.Name, result: typeNone, uses: make(map[string]lexer.Position)}
		for _, p := range d.Func.Params {
			f.params = append(f.params, c.typ(p.Type))
		}
		if d.Func.Result != nil {
			f.result = c.typ(d.Func.Result)
		}
		c.byName[f.name] = len(c.out.functions)
		c.out.functions = append(c.out.functions, f)
		return append(bodies, d.Func.Body)
	case d.Hook != nil:
		if _, known := fields[d.Hook.Name]; !known {
			c.fail(d.Pos, "there is no hook %q: request, outcome or member is meant", d.Hook.Name)
		}
		if _, twice := c.out.hooks[d.Hook.Name]; twice {
			c.fail(d.Pos, "there are two hooks %q", d.Hook.Name)
		}
		c.out.hooks[d.Hook.Name] = len(c.out.functions)
		c.out.functions = append(c.out.functions, &function{name: "on " + d.Hook.Name, hook: d.Hook.Name, result: typeNone, uses: make(map[string]lexer.Position)})
		return append(bodies, d.Hook.Body)
	}
	return bodies
}

func (c *checker) typ(n *typeNode) *typ {
	switch {
	case n.List != nil:
		return &typ{kind: kindList, of: c.typ(n.List)}
	case n.Map != nil:
		return &typ{kind: kindMap, of: c.typ(n.Map)}
	}
	if t := named[n.Name]; t != nil {
		return t
	}
	c.fail(n.Pos, "there is no type %q: bool, int, float, text, duration, time, list[...] or map[...] is meant", n.Name)
	return typeInt
}

// body checks a function's body.
func (c *checker) body(f *function, b *blockNode, decls []*declNode) {
	c.f, c.loops = f, 0
	c.scopes = []map[string]variable{make(map[string]variable)}
	for _, d := range decls {
		if d.Func != nil && d.Func.Body == b {
			for i, p := range d.Func.Params {
				c.local(p.Pos, p.Name, f.params[i], false)
			}
		}
	}
	f.body = c.block(b)
	if f.result != typeNone && !returns(f.body) {
		c.fail(b.EndPos, "%s may end without a value: a return of %s is needed on every way", f.name, f.result)
	}
}

// returns says whether every way through ends in a return.
func returns(body []*stmt) bool {
	for _, s := range body {
		if s.op == stReturn || s.op == stIf && s.other != nil && returns(s.body) && returns(s.other) {
			return true
		}
	}
	return false
}

// spread complains of what a hook uses, by way of functions too, though its
// event does not have it.
func (c *checker) spread() {
	uses := make([]map[string]lexer.Position, len(c.out.functions))
	var visit func(i int, seen map[int]bool) map[string]lexer.Position
	visit = func(i int, seen map[int]bool) map[string]lexer.Position {
		if uses[i] != nil || seen[i] {
			return uses[i]
		}
		seen[i] = true
		all := make(map[string]lexer.Position)
		for use, at := range c.out.functions[i].uses {
			if name, ok := strings.CutPrefix(use, "fn "); ok {
				for u, p := range visit(c.byName[name], seen) {
					all[u] = p
				}
			} else {
				all[use] = at
			}
		}
		return all
	}
	for i, f := range c.out.functions {
		if f.hook == "" {
			continue
		}
		for use, at := range visit(i, make(map[int]bool)) {
			if !slices.Contains(strings.Split(use, "|")[1:], f.hook) {
				c.fail(at, "%s is of no use in \"on %s\"", strings.Split(use, "|")[0], f.hook)
			}
		}
	}
}

func (c *checker) local(at lexer.Position, name string, t *typ, isFixed bool) int {
	c.free(at, name)
	top := c.scopes[len(c.scopes)-1]
	if _, twice := top[name]; twice {
		c.fail(at, "%q is declared already", name)
	}
	slot := c.f.slots
	c.f.slots++
	top[name] = variable{slot, t, isFixed}
	return slot
}

func (c *checker) find(name string) (variable, bool) {
	for i := len(c.scopes) - 1; i >= 0; i-- {
		if v, ok := c.scopes[i][name]; ok {
			return v, true
		}
	}
	return variable{}, false
}

func (c *checker) block(b *blockNode) []*stmt {
	c.scopes = append(c.scopes, make(map[string]variable))
	out := make([]*stmt, 0, len(b.Stmts))
	for i, s := range b.Stmts {
		x := c.stmt(s)
		if x == nil {
			continue
		}
		out = append(out, x)
		if (x.op == stReturn || x.op == stBreak || x.op == stContinue) && i < len(b.Stmts)-1 {
			c.fail(b.Stmts[i+1].Pos, "this is never reached")
			break
		}
	}
	c.scopes = c.scopes[:len(c.scopes)-1]
	return out
}

func (c *checker) want(e *expr, t *typ, what string) *expr {
	if e.t != nil && !e.t.same(t) {
		c.fail(e.pos, "%s is %s; %s is meant", what, e.t, t)
	}
	return e
}

func (c *checker) stmt(s *stmtNode) *stmt {
	switch {
	case s.Let != nil:
		v := c.expr(s.Let.Value)
		if s.Let.Type != nil {
			c.want(v, c.typ(s.Let.Type), "the value")
		}
		t := v.t
		if t == typeNone {
			c.fail(v.pos, "this has no value")
		}
		if t == nil {
			t = typeInt // an error was told
		}
		return &stmt{op: stSet, n: c.local(s.Pos, s.Let.Name, t, !s.Let.Var), a: v, pos: s.Pos}
	case s.If != nil:
		return c.ifStmt(s.If)
	case s.While != nil:
		x := &stmt{op: stWhile, a: c.want(c.expr(s.While.Cond), typeBool, "the condition"), pos: s.Pos}
		x.body = c.loop(s.While.Body)
		return x
	case s.For != nil:
		return c.forStmt(s)
	case s.Return != nil:
		return c.returnStmt(s)
	case s.Break, s.Continue:
		if c.loops == 0 {
			c.fail(s.Pos, "there is no loop around this")
		}
		op := stBreak
		if s.Continue {
			op = stContinue
		}
		return &stmt{op: op, pos: s.Pos}
	}
	return c.simple(s)
}

func (c *checker) loop(b *blockNode) []*stmt {
	c.loops++
	defer func() { c.loops-- }()
	return c.block(b)
}

func (c *checker) ifStmt(n *ifNode) *stmt {
	x := &stmt{op: stIf, a: c.want(c.expr(n.Cond), typeBool, "the condition"), pos: n.Pos}
	x.body = c.block(n.Then)
	switch {
	case n.ElseIf != nil:
		x.other = []*stmt{c.ifStmt(n.ElseIf)}
	case n.Else != nil:
		x.other = c.block(n.Else)
	}
	return x
}

func (c *checker) forStmt(s *stmtNode) *stmt {
	from := c.expr(s.For.From)
	c.scopes = append(c.scopes, make(map[string]variable))
	defer func() { c.scopes = c.scopes[:len(c.scopes)-1] }()
	x := &stmt{op: stRange, a: from, pos: s.Pos}
	if s.For.To != nil {
		c.want(from, typeInt, "the beginning")
		x.b = c.want(c.expr(s.For.To), typeInt, "the end")
		x.n = c.local(s.Pos, s.For.Name, typeInt, true)
		c.f.slots++ // the bound
	} else {
		of := typeInt
		switch {
		case from.t == nil:
		case from.t.kind == kindList:
			of = from.t.of
		default:
			c.fail(from.pos, "this is %s; a list, or FROM..TO, is meant", from.t)
		}
		x.op = stEach
		x.n = c.local(s.Pos, s.For.Name, of, true)
		c.f.slots += 2 // the list and the place in it
	}
	x.body = c.loop(s.For.Body)
	return x
}

func (c *checker) returnStmt(s *stmtNode) *stmt {
	x := &stmt{op: stReturn, pos: s.Pos}
	switch {
	case s.Return.Value != nil && c.f.result == typeNone:
		c.expr(s.Return.Value)
		c.fail(s.Return.Value.Pos, "%s gives no value", c.f.name)
	case s.Return.Value != nil:
		x.a = c.want(c.expr(s.Return.Value), c.f.result, "the value")
	case c.f.result != typeNone:
		c.fail(s.Pos, "%s gives %s: a value is needed", c.f.name, c.f.result)
	}
	return x
}

func (c *checker) simple(s *stmtNode) *stmt {
	n := s.Simple
	if n.Value == nil {
		e := c.postfix(n.Left)
		if e.op != exCall && e.op != exBuiltin && e.op != exState && e.t != nil {
			c.fail(s.Pos, "this does nothing: a call or an assignment is meant")
		}
		return &stmt{op: stDo, a: e, pos: s.Pos}
	}
	if len(n.Left.Rest) > 0 {
		left := c.postfix(n.Left)
		v := c.expr(n.Value)
		if left.t == nil {
			return nil
		}
		if left.op != exIndex || left.args[0].t.kind == kindText {
			c.fail(s.Pos, "nothing can be set here")
			return nil
		}
		return &stmt{op: stIndex, a: left.args[0], b: left.args[1], c: c.want(v, left.t, "the value"), pos: s.Pos}
	}
	v := c.expr(n.Value)
	name := n.Left.Value.Name
	x, ok := c.find(name)
	switch {
	case name == "":
		c.fail(s.Pos, "nothing can be set here")
	case !ok:
		c.fail(s.Pos, "there is no variable %q here: \"var %s = ...\" declares one", name, name)
	case x.fixed:
		c.fail(s.Pos, "%q does not change: it was declared by let or for, and not by var", name)
	default:
		return &stmt{op: stSet, n: x.slot, a: c.want(v, x.t, "the value"), pos: s.Pos}
	}
	return nil
}

// unknown is an expression of which an error was told.
func unknown(at lexer.Position) *expr { return &expr{pos: at} }

func (c *checker) expr(n *exprNode) *expr {
	e := c.and(n.Left)
	for _, r := range n.Rest {
		e = &expr{op: exOr, t: typeBool, args: []*expr{c.want(e, typeBool, "the left side of or"), c.want(c.and(r), typeBool, "the right side of or")}, pos: e.pos}
	}
	return e
}

func (c *checker) and(n *andNode) *expr {
	e := c.not(n.Left)
	for _, r := range n.Rest {
		e = &expr{op: exAnd, t: typeBool, args: []*expr{c.want(e, typeBool, "the left side of and"), c.want(c.not(r), typeBool, "the right side of and")}, pos: e.pos}
	}
	return e
}

func (c *checker) not(n *notNode) *expr {
	if n.Not != nil {
		return &expr{op: exNot, t: typeBool, args: []*expr{c.want(c.not(n.Not), typeBool, "what not takes")}, pos: n.Pos}
	}
	return c.compare(n.Comp)
}

func (c *checker) compare(n *compareNode) *expr {
	a := c.sum(n.Left)
	if n.Op == "" {
		return a
	}
	b := c.sum(n.Right)
	if a.t == nil || b.t == nil {
		return unknown(n.Pos)
	}
	e := &expr{op: exCompare, t: typeBool, sign: n.Op, args: []*expr{a, b}, pos: n.Pos}
	ok := a.t.same(b.t) && a.t.plain()
	switch n.Op {
	case "in":
		e.op = exIn
		ok = a.t == typeText && (b.t == typeText || b.t.kind == kindMap) || b.t.kind == kindList && b.t.of.same(a.t) && a.t.plain()
	case "==", "!=":
	default:
		ok = ok && a.t.ordered()
	}
	if !ok {
		c.fail(n.Pos, "%s %s %s: two values of one type that can be compared are meant", a.t, n.Op, b.t)
		return unknown(n.Pos)
	}
	return e
}

func (c *checker) sum(n *sumNode) *expr {
	e := c.product(n.Left)
	for _, r := range n.Rest {
		e = c.arith(r.Pos, r.Op, e, c.product(r.Right))
	}
	return e
}

func (c *checker) product(n *productNode) *expr {
	e := c.unary(n.Left)
	for _, r := range n.Rest {
		e = c.arith(r.Pos, r.Op, e, c.unary(r.Right))
	}
	return e
}

// arithmetic is what may be added, and so on, and what comes of it.
var arithmetic = map[string]*typ{
	"int+int": typeInt, "int-int": typeInt, "int*int": typeInt, "int/int": typeInt, "int%int": typeInt,
	"float+float": typeFloat, "float-float": typeFloat, "float*float": typeFloat, "float/float": typeFloat,
	"text+text": typeText, "duration+duration": typeDuration, "duration-duration": typeDuration, "duration*int": typeDuration, "int*duration": typeDuration,
	"duration/int": typeDuration, "duration/duration": typeFloat, "time+duration": typeTime, "time-duration": typeTime, "time-time": typeDuration,
}

func (c *checker) arith(at lexer.Position, sign string, a, b *expr) *expr {
	if a.t == nil || b.t == nil {
		return unknown(at)
	}
	t := arithmetic[a.t.String()+sign+b.t.String()]
	if t == nil {
		hint := ""
		if a.t == typeInt && b.t == typeFloat || a.t == typeFloat && b.t == typeInt {
			hint = "; float(...) makes a float of an int"
		}
		c.fail(at, "%s %s %s has no meaning%s", a.t, sign, b.t, hint)
		return unknown(at)
	}
	return &expr{op: exArith, t: t, sign: sign, args: []*expr{a, b}, pos: a.pos}
}

func (c *checker) unary(n *unaryNode) *expr {
	if n.Minus == nil {
		return c.postfix(n.Value)
	}
	e := c.unary(n.Minus)
	switch {
	case e.t == nil:
		return e
	case e.t != typeInt && e.t != typeFloat && e.t != typeDuration:
		c.fail(n.Pos, "-%s has no meaning", e.t)
		return unknown(n.Pos)
	case e.op == exConst && e.t == typeFloat:
		return &expr{op: exConst, t: e.t, v: value{n: floatBits(-bitsFloat(e.v.n))}, pos: n.Pos}
	case e.op == exConst:
		return &expr{op: exConst, t: e.t, v: value{n: -e.v.n}, pos: n.Pos}
	}
	return &expr{op: exNeg, t: e.t, args: []*expr{e}, pos: n.Pos}
}

func (c *checker) postfix(n *postfixNode) *expr {
	if n.Value.Name == "event" {
		if len(n.Rest) != 1 || n.Rest[0].Field == "" {
			c.fail(n.Pos, "event has fields alone, such as event.class")
			return unknown(n.Pos)
		}
		return c.field(n.Rest[0])
	}
	e := c.primary(n.Value)
	for _, r := range n.Rest {
		if e.t == nil {
			return e
		}
		if r.Field != "" {
			c.fail(r.Pos, "%s has no fields: event alone has", e.t)
			return unknown(r.Pos)
		}
		i := c.expr(r.Index)
		switch e.t.kind {
		case kindList:
			e = &expr{op: exIndex, t: e.t.of, args: []*expr{e, c.want(i, typeInt, "a list's place")}, pos: r.Pos}
		case kindMap:
			e = &expr{op: exIndex, t: e.t.of, args: []*expr{e, c.want(i, typeText, "a map's key")}, pos: r.Pos}
		default:
			c.fail(r.Pos, "%s has no places: a list or a map is meant", e.t)
			return unknown(r.Pos)
		}
	}
	return e
}

// field is event.NAME. Where a function uses it, every hook that calls the
// function must have it, with one type and number.
func (c *checker) field(s *suffix) *expr {
	var e *expr
	var hooks []string
	for _, hook := range []string{"request", "outcome", "member"} {
		for i, f := range fields[hook] {
			if f.name != s.Field || c.f.hook != "" && c.f.hook != hook {
				continue
			}
			if e == nil {
				e = &expr{op: exField, t: f.t, n: i, pos: s.Pos}
			}
			if e.n == i && e.t == f.t {
				hooks = append(hooks, hook)
			}
		}
	}
	if e == nil {
		var names []string
		for hook, fs := range fields {
			for _, f := range fs {
				if (c.f.hook == "" || c.f.hook == hook) && !slices.Contains(names, f.name) {
					names = append(names, f.name)
				}
			}
		}
		slices.Sort(names)
		c.fail(s.Pos, "an event has no %q here; there are %s", s.Field, strings.Join(names, ", "))
		return unknown(s.Pos)
	}
	c.f.uses["event."+s.Field+"|"+strings.Join(hooks, "|")] = s.Pos
	return e
}

func duration(text string) (time.Duration, error) {
	if days, ok := strings.CutSuffix(text, "d"); ok {
		n, err := strconv.ParseInt(days, 10, 64)
		if err != nil || n > math.MaxInt64/int64(24*time.Hour) {
			return 0, fmt.Errorf("%s is too long", text)
		}
		return time.Duration(n) * 24 * time.Hour, nil
	}
	return time.ParseDuration(text)
}

func (c *checker) primary(n *primaryNode) *expr {
	e := &expr{op: exConst, pos: n.Pos}
	var err error
	switch {
	case n.Duration != nil:
		var d time.Duration
		d, err = duration(*n.Duration)
		e.t, e.v.n = typeDuration, int64(d)
	case n.Float != nil:
		var f float64
		f, err = strconv.ParseFloat(*n.Float, 64)
		e.t, e.v.n = typeFloat, floatBits(f)
	case n.Int != nil:
		e.t = typeInt
		e.v.n, err = strconv.ParseInt(*n.Int, 10, 64)
	case n.Text != nil:
		e.t = typeText
		e.v.s, err = strconv.Unquote(*n.Text)
	case n.True, n.False:
		e.t = typeBool
		if n.True {
			e.v.n = 1
		}
	case n.List != nil:
		return c.list(n.List)
	case n.Map != nil:
		return &expr{op: exMap, t: &typ{kind: kindMap, of: c.typ(n.Map.Type)}, pos: n.Pos}
	case n.Call != nil:
		return c.call(n.Call)
	case n.Paren != nil:
		return c.expr(n.Paren)
	default:
		return c.name(n)
	}
	if err != nil {
		c.fail(n.Pos, "this cannot be held: %v", err)
		return unknown(n.Pos)
	}
	return e
}

func (c *checker) name(n *primaryNode) *expr {
	if v, ok := c.find(n.Name); ok {
		return &expr{op: exLocal, t: v.t, n: v.slot, pos: n.Pos}
	}
	if v, ok := c.consts[n.Name]; ok {
		copied := *v
		copied.pos = n.Pos
		return &copied
	}
	switch _, isState := c.states[n.Name]; {
	case isState:
		c.fail(n.Pos, "%q is a state: value(%s), or value(%s, key) of a map, is meant", n.Name, n.Name, n.Name)
	case keywords[n.Name]:
		c.fail(n.Pos, "%q is a word of the language and no value", n.Name)
	default:
		c.fail(n.Pos, "there is no %q here", n.Name)
	}
	return unknown(n.Pos)
}

func (c *checker) list(n *listNode) *expr {
	if n.Type != nil {
		return &expr{op: exList, t: &typ{kind: kindList, of: c.typ(n.Type)}, pos: n.Pos}
	}
	e := &expr{op: exList, pos: n.Pos}
	var of *typ
	for i, item := range n.Items {
		x := c.expr(item)
		if i == 0 {
			of = x.t
		} else if of != nil {
			c.want(x, of, "a list's entry")
		}
		e.args = append(e.args, x)
	}
	if of == nil || of == typeNone {
		if of == typeNone {
			c.fail(n.Pos, "this has no value")
		}
		return unknown(n.Pos)
	}
	e.t = &typ{kind: kindList, of: of}
	return e
}

func (c *checker) call(n *callNode) *expr {
	if n.Name == "value" || n.Name == "add" || n.Name == "forget" {
		return c.state(n)
	}
	e := &expr{op: exCall, pos: n.Pos}
	var types []*typ
	known := true
	for _, a := range n.Args {
		x := c.expr(a)
		e.args = append(e.args, x)
		types = append(types, x.t)
		known = known && x.t != nil
	}
	if i, ok := c.byName[n.Name]; ok {
		f := c.out.functions[i]
		e.n, e.t = i, f.result
		c.f.uses["fn "+n.Name] = n.Pos
		if known && !slices.EqualFunc(types, f.params, func(a, b *typ) bool { return a.same(b) }) {
			c.fail(n.Pos, "%s takes %v; these are %v", n.Name, f.params, types)
		}
		return e
	}
	e.op, e.n = exBuiltin, slices.IndexFunc(builtins[:], func(b builtin) bool { return b.name == n.Name })
	if e.n < 0 {
		c.fail(n.Pos, "there is no function %q", n.Name)
		return unknown(n.Pos)
	}
	if !known {
		return unknown(n.Pos)
	}
	b := &builtins[e.n]
	t, takes := b.types(types)
	if t == nil {
		c.fail(n.Pos, "%s takes %s; these are %v", n.Name, takes, types)
		return unknown(n.Pos)
	}
	e.t = t
	if b.hooks != nil {
		c.f.uses[n.Name+"|"+strings.Join(b.hooks, "|")] = n.Pos
	}
	if b.place {
		c.zone(e)
	}
	return e
}

// zone resolves a time zone's name, which must be known beforehand: a run must
// not look for one.
func (c *checker) zone(e *expr) {
	last := e.args[len(e.args)-1]
	if last.op != exConst {
		c.fail(last.pos, "a time zone's name is meant that is known beforehand, such as \"Australia/Brisbane\"")
		return
	}
	i, known := c.zones[last.v.s]
	if !known {
		l, err := time.LoadLocation(last.v.s)
		if err != nil || last.v.s == "" || last.v.s == "Local" {
			c.fail(last.pos, "there is no time zone %q: one such as \"Australia/Brisbane\" or \"UTC\" is meant", last.v.s)
			return
		}
		i = len(c.out.zones)
		c.zones[last.v.s] = i
		c.out.zones = append(c.out.zones, l)
	}
	last.t, last.v = typeInt, value{n: int64(i)}
}

// state is value(s), value(m, key), add(s, n), add(m, key, n) or forget(m, key).
func (c *checker) state(n *callNode) *expr {
	number, ok := -1, false
	if len(n.Args) > 0 {
		if name := plainName(n.Args[0]); name != "" {
			number, ok = c.states[name]
		}
	}
	if !ok {
		c.fail(n.Pos, "%s takes a state first, as \"state NAME: counter\" declares one", n.Name)
		return unknown(n.Pos)
	}
	s := c.out.states[number]
	var want []*typ
	if s.Most > 0 {
		want = append(want, typeText)
	}
	e := &expr{op: exState, t: typeInt, n: number, sign: n.Name, pos: n.Pos}
	switch n.Name {
	case "add":
		want = append(want, typeInt)
	case "forget":
		e.t = typeNone
		if s.Most == 0 {
			c.fail(n.Pos, "%s is a counter and has no entries", s.Name)
			return unknown(n.Pos)
		}
	}
	for _, a := range n.Args[1:] {
		e.args = append(e.args, c.expr(a))
	}
	if len(e.args) != len(want) {
		c.fail(n.Pos, "%s of %s takes %d more, %v", n.Name, s.Name, len(want), want)
		return unknown(n.Pos)
	}
	for i, a := range e.args {
		c.want(a, want[i], "this")
	}
	return e
}

// plainName gives the name that an expression is, if it is nothing but one.
func plainName(n *exprNode) string {
	if len(n.Rest)+len(n.Left.Rest) > 0 || n.Left.Left.Not != nil {
		return ""
	}
	x := n.Left.Left.Comp
	if x.Op != "" || len(x.Left.Rest)+len(x.Left.Left.Rest) > 0 || x.Left.Left.Left.Minus != nil {
		return ""
	}
	p := x.Left.Left.Left.Value
	if len(p.Rest) > 0 {
		return ""
	}
	return p.Value.Name
}
