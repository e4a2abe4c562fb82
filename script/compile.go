package script

import (
	"fmt"
	"slices"
	"time"
)

// op is an instruction's operation. a, b and c are registers unless said otherwise; N and R name the two banks: numbers
// (ints, floats, bools, durations as 64 bits) and references (strings, lists, maps).
type op uint16

const (
	opNop op = iota
	opMoveN
	opMoveR
	opKN // a = number constant b
	opKR // a = string constant b
	opGN // a = declared constant or variable b
	opGR
	opVN // a = variable b
	opVR
	opSetVN // variable a = b
	opSetVR
	opFieldN // a = event field b
	opFieldR
	opCopy // a = a copy of the list or map b

	opAddI
	opSubI
	opMulI
	opDivI
	opModI
	opNegI
	opAddF
	opSubF
	opMulF
	opDivF
	opNegF
	opNot
	opCat
	opLtI
	opLeI
	opEqN
	opLtF
	opLeF
	opEqF
	opLtS
	opLeS
	opEqS
	opMatch // N a = string R b matches pattern c
	opInN
	opInR
	opInMap

	opJump // to a
	opJumpF
	opJumpT
	opJNLtI // to c unless a < b
	opJNLeI
	opJNEqN
	opJEqN
	opJNEqS
	opJEqS
	opJNMatch // to c unless string R a matches pattern b

	opListN // R a = list of c numbers from N b on
	opListR
	opMapN // R a = map; keys from R c on in pairs is made by opMapSet
	opIndexN
	opIndexR
	opSetN // list R a at N b = N c
	opSetR
	opMapGetN
	opMapGetR
	opMapSetN
	opMapSetR
	opLenS
	opLenO
	opNextN // loop over a list: N a the place, R b the list, N c the element; skips the next jump while there is one
	opNextR
	opLoop // to c while N a < N b, counting a up first

	opCall // function a, its windows begin at N b and R c
	opReturn
	opFail

	opTextI
	opTextF
	opTextB
	opTextD
	opFtoI
	opItoF
	opSeconds
	opMinI
	opMaxI
	opSubstr
	opAppend // picks N or R by c
	opKeys

	// Actions and state; a is the first argument's register.
	opRefuse
	opSetClass
	opSetTenant
	opRewrite
	opExclude
	opTreat
	opTag
	opLog // key R a, text R b
	opRateAdd
	opRateGet
	opTopAdd
	opTopCount
	opTopMost
	opCountAdd
	opCountGet
	// Names of the table of builtins that become others by type.
	opLen
	opText
)

type instr struct {
	op      op
	a, b, c uint16
}

// function is compiled code.
type function struct {
	name   string
	code   []instr
	lines  []uint16
	nN, nR int // registers
}

// Hook is one compiled hook of a program.
type Hook struct {
	Kind   string
	Every  time.Duration // of every
	Refuse bool          // the call is refused when the hook fails
	Steps  int
	Memory int
	Line   int
	Cost   int // steps in the worst case by the compiler's count; -1: not bounded by its own text, only by Steps
	fn     int
}

// Program is a compiled, checked set of declarations and hooks. It does not change.
type Program struct {
	Name     string
	Hooks    []Hook
	fns      []*function
	constN   []int64
	constS   []string
	patterns []string
	globalN  []int64 // declared constants
	globalR  []ref
	varN     []int64 // first values of variables
	varR     []string
	varWide  []bool
	varNames []string
	states   []*stateDecl
	stackN   int
	stackR   int
	Warnings Errors
}

// Compile checks and compiles a program. The error is Errors.
func Compile(name, src string) (*Program, error) {
	f, errs := parse(name, src)
	if len(errs) > 0 {
		return nil, errs
	}
	c, errs := check(f)
	if len(errs) > 0 {
		return nil, errs
	}
	g := &gen{p: &Program{Name: name}, c: c, globals: map[*constDecl]int{}}
	if err := g.program(f); err != nil {
		return nil, err
	}
	g.p.Warnings = append(c.warns, g.lint(f)...)
	return g.p, nil
}

type gen struct {
	p       *Program
	c       *checker
	fn      *function
	topN    int
	topR    int
	globals map[*constDecl]int
	loops   []*loopCode
	line    int
	err     *Error
}

type loopCode struct{ breaks, nexts []int }

func (g *gen) fail(p Pos, format string, args ...any) {
	if g.err == nil {
		g.err = &Error{g.p.Name, p, fmt.Sprintf(format, args...)}
	}
}

func (g *gen) program(f *file) error {
	// Constants and first values are computed once, by code like any other.
	init := &function{name: "constants"}
	g.fn = init
	for _, d := range f.decls {
		switch d := d.(type) {
		case *constDecl:
			g.topN, g.topR = 0, 0
			g.globals[d] = len(g.p.globalN)
			r := g.value(d.x)
			v, err := g.evaluate(d.pos, r, d.ty)
			if err != nil {
				return Errors{err}
			}
			if o := v.r.o; d.ty.kind == kList && d.ty.elem.kind == kString && len(o.r) > fewKeys {
				o.at = make(map[string]int, len(o.r))
				for i, x := range o.r {
					o.at[x.s] = i
				}
			}
			g.p.globalN, g.p.globalR = append(g.p.globalN, v.n), append(g.p.globalR, v.r)
		case *varDecl:
			g.topN, g.topR = 0, 0
			v, err := g.evaluate(d.pos, g.value(d.x), d.ty)
			if err != nil {
				return Errors{err}
			}
			g.p.varN, g.p.varR = append(g.p.varN, v.n), append(g.p.varR, v.r.s)
			g.p.varWide = append(g.p.varWide, d.ty.wide())
			g.p.varNames = append(g.p.varNames, d.name)
		case *stateDecl:
			g.p.states = append(g.p.states, d)
		}
	}
	order := make([]*fnDecl, len(g.c.fns))
	for _, d := range g.c.fns {
		order[d.index] = d
		g.p.fns = append(g.p.fns, nil)
	}
	for i, d := range order {
		g.begin(d.name)
		for _, v := range d.locals {
			v.reg = g.reg(v.ty)
		}
		g.block(d.body)
		g.emit(opReturn, 0, 0, 0)
		g.p.fns[i] = g.fn
	}
	for _, d := range g.c.hooks {
		g.begin(d.hook)
		g.block(d.body)
		g.emit(opReturn, 0, 0, 0)
		g.p.Hooks = append(g.p.Hooks, Hook{Kind: d.hook, Every: d.every, Refuse: d.refuse, Steps: d.steps, Memory: d.memory, Line: d.pos.Line, fn: len(g.p.fns)})
		g.p.fns = append(g.p.fns, g.fn)
	}
	if g.err != nil {
		return Errors{g.err}
	}
	g.stacks(order)
	g.costs(order)
	return nil
}

// stacks computes how many registers the deepest chain of calls needs; there is no recursion.
func (g *gen) stacks(order []*fnDecl) {
	type size struct{ n, r int }
	known := map[*fnDecl]size{}
	var need func(f *function, calls map[*fnDecl]Pos) size
	need = func(f *function, calls map[*fnDecl]Pos) size {
		most := size{}
		for _, d := range sortedCalls(calls) {
			s, ok := known[d]
			if !ok {
				s = need(g.p.fns[d.index], d.calls)
				known[d] = s
			}
			most.n, most.r = max(most.n, s.n), max(most.r, s.r)
		}
		return size{f.nN + most.n, f.nR + most.r}
	}
	for i, d := range g.c.hooks {
		s := need(g.p.fns[len(order)+i], d.calls)
		g.p.stackN, g.p.stackR = max(g.p.stackN, s.n+1), max(g.p.stackR, s.r+1)
	}
}

func (g *gen) begin(name string) {
	g.fn = &function{name: name}
	g.topN, g.topR, g.loops = 0, 0, nil
}

// evaluate runs the code so far and takes the value of a register.
func (g *gen) evaluate(pos Pos, reg int, t Type) (v struct {
	n int64
	r ref
}, e *Error) {
	if g.err != nil {
		return v, g.err
	}
	g.emit(opReturn, 0, 0, 0)
	p := *g.p
	vm := NewVM()
	vm.n, vm.r = make([]int64, g.fn.nN+1), make([]ref, g.fn.nR+1)
	var res Result
	if line, what, err := vm.run(&p, g.fn, &Event{}, nil, nil, 0, &res, maxSteps, maxMemory); err != nil {
		return v, &Error{g.p.Name, pos, err.Error()}
	} else if what != "" {
		return v, &Error{g.p.Name, Pos{line, pos.Column}, what}
	}
	if t.wide() {
		v.r = vm.r[reg]
	} else {
		v.n = vm.n[reg]
	}
	g.begin("constants")
	return v, nil
}

func (g *gen) emit(o op, a, b, c int) int {
	if len(g.fn.code) >= 1<<16-1 || a > 1<<16-1 || b > 1<<16-1 || c > 1<<16-1 {
		g.fail(Pos{g.line, 1}, "the function is too large")
		return 0
	}
	g.fn.code = append(g.fn.code, instr{o, uint16(a), uint16(b), uint16(c)})
	g.fn.lines = append(g.fn.lines, uint16(min(g.line, 1<<16-1)))
	return len(g.fn.code) - 1
}

func (g *gen) here() int { return len(g.fn.code) }

// land lets the jump at an instruction lead here.
func (g *gen) land(at int) {
	if at >= len(g.fn.code) {
		return
	}
	i := &g.fn.code[at]
	switch i.op {
	case opJump, opJumpF, opJumpT:
		if i.op == opJump {
			i.a = uint16(g.here())
		} else {
			i.b = uint16(g.here())
		}
	default:
		i.c = uint16(g.here())
	}
}

func (g *gen) newN() int {
	g.topN++
	g.fn.nN = max(g.fn.nN, g.topN)
	return g.topN - 1
}

func (g *gen) newR() int {
	g.topR++
	g.fn.nR = max(g.fn.nR, g.topR)
	return g.topR - 1
}

func (g *gen) reg(t Type) int {
	if t.wide() {
		return g.newR()
	}
	return g.newN()
}

func (g *gen) numK(v int64) int {
	i := slices.Index(g.p.constN, v)
	if i < 0 {
		i = len(g.p.constN)
		g.p.constN = append(g.p.constN, v)
	}
	return i
}

func (g *gen) strK(s string) int {
	i := slices.Index(g.p.constS, s)
	if i < 0 {
		i = len(g.p.constS)
		g.p.constS = append(g.p.constS, s)
	}
	return i
}

func (g *gen) block(b *block) {
	n, r := g.topN, g.topR
	for _, s := range b.stmts {
		g.line = s.at().Line
		tn, tr := g.topN, g.topR
		g.stmt(s)
		if _, let := s.(*letStmt); !let { // temporaries end with their statement
			g.topN, g.topR = tn, tr
		}
	}
	g.topN, g.topR = n, r
}

func (g *gen) stmt(s stmt) {
	switch s := s.(type) {
	case *block:
		g.block(s)
	case *letStmt:
		reg := g.reg(s.v.ty)
		tn, tr := g.topN, g.topR
		g.into(s.x, reg)
		g.topN, g.topR = tn, tr
		s.v.reg = reg
	case *assignStmt:
		g.assign(s)
	case *ifStmt:
		no := g.unless(s.cond)
		g.block(s.then)
		if s.els == nil {
			g.landAll(no)
			return
		}
		end := g.emit(opJump, 0, 0, 0)
		g.landAll(no)
		g.stmt(s.els)
		g.land(end)
	case *forStmt:
		g.loop(s)
	case *matchStmt:
		g.match(s)
	case *returnStmt:
		if s.x != nil {
			g.into(s.x, 0)
		}
		g.emit(opReturn, 0, 0, 0)
	case *breakStmt:
		l := g.loops[len(g.loops)-1]
		j := g.emit(opJump, 0, 0, 0)
		if s.next {
			l.nexts = append(l.nexts, j)
		} else {
			l.breaks = append(l.breaks, j)
		}
	case *failStmt:
		g.emit(opFail, g.value(s.x), 0, 0)
	case *exprStmt:
		g.value(s.x)
	}
}

func (g *gen) landAll(js []int) {
	for _, j := range js {
		g.land(j)
	}
}

func (g *gen) assign(s *assignStmt) {
	switch to := s.to.(type) {
	case *nameExpr:
		switch r := to.ref.(type) {
		case *local:
			g.into(s.x, r.reg)
		case *varDecl:
			if v := g.value(s.x); to.ty.wide() {
				g.emit(opSetVR, r.slot, v, 0)
			} else {
				g.emit(opSetVN, r.slot, v, 0)
			}
		}
	case *indexExpr:
		l, i := g.raw(to.x), g.value(to.i)
		v := g.value(s.x)
		o := opSetN
		switch wide := to.ty.wide(); {
		case to.x.typ().kind == kMap && wide:
			o = opMapSetR
		case to.x.typ().kind == kMap:
			o = opMapSetN
		case wide:
			o = opSetR
		}
		g.emit(o, l, i, v)
	}
}

func (g *gen) loop(s *forStmt) {
	l := &loopCode{}
	g.loops = append(g.loops, l)
	defer func() { g.loops = g.loops[:len(g.loops)-1] }()
	if s.to != nil { // i in a..b: a first, b not
		i, end := g.newN(), g.newN()
		g.into(s.from, i)
		g.into(s.to, end)
		s.v.reg = g.newN()
		out := g.emit(opJNLtI, i, end, 0)
		top := g.here()
		g.emit(opMoveN, s.v.reg, i, 0)
		g.block(s.body)
		g.landAll(l.nexts)
		g.emit(opLoop, i, end, top)
		g.land(out)
		g.landAll(l.breaks)
		return
	}
	list, place := g.newR(), g.newN()
	if r := g.raw(s.from); r != list {
		g.emit(opMoveR, list, r, 0)
	}
	g.emit(opKN, place, g.numK(0), 0)
	s.v.reg = g.reg(s.v.ty)
	top := g.here()
	o := opNextN
	if s.v.ty.wide() {
		o = opNextR
	}
	g.emit(o, place, list, s.v.reg)
	out := g.emit(opJump, 0, 0, 0)
	if k := s.v.ty.kind; (k == kList || k == kMap) && constRoot(s.from) {
		g.emit(opCopy, s.v.reg, s.v.reg, 0)
	}
	g.block(s.body)
	g.landAll(l.nexts)
	g.emit(opJump, top, 0, 0)
	g.land(out)
	g.landAll(l.breaks)
}

func (g *gen) match(s *matchStmt) {
	x := g.value(s.x)
	t := s.x.typ()
	var ends []int
	for i, a := range s.arms {
		g.line = a.pos.Line
		var yes, no []int
		for j, v := range a.values {
			last := j == len(a.values)-1
			switch {
			case a.tops[j] != nil: // both ends belong to it
				low := g.emit(opJNLeI, g.value(v), x, 0)
				high := g.emit(opJNLeI, x, g.value(a.tops[j]), 0)
				if last {
					no = append(no, low, high)
				} else {
					yes = append(yes, g.emit(opJump, 0, 0, 0))
					g.land(low)
					g.land(high)
				}
			case v.typ().kind == kPattern:
				n := g.emit(opJNMatch, x, g.pattern(v), 0)
				if last {
					no = append(no, n)
				} else {
					yes = append(yes, g.emit(opJump, 0, 0, 0))
					g.land(n)
				}
			default:
				eq, ne := opJEqN, opJNEqN
				if t.kind == kString {
					eq, ne = opJEqS, opJNEqS
				}
				if last {
					no = append(no, g.emit(ne, x, g.value(v), 0))
				} else {
					yes = append(yes, g.emit(eq, x, g.value(v), 0))
				}
			}
		}
		g.landAll(yes)
		g.block(a.body)
		if i < len(s.arms)-1 {
			ends = append(ends, g.emit(opJump, 0, 0, 0))
		}
		g.landAll(no)
	}
	g.landAll(ends)
}

// pattern is the place of a pattern, which is always a literal or a constant.
func (g *gen) pattern(x expr) int {
	s := ""
	switch x := x.(type) {
	case *litExpr:
		s = x.tok.s
	case *nameExpr:
		if d, ok := x.ref.(*constDecl); ok {
			s = g.p.globalR[g.globals[d]].s
		} else {
			g.fail(x.pos, "a pattern must be a literal or a constant")
		}
	default:
		g.fail(x.at(), "a pattern must be a literal or a constant")
	}
	i := slices.Index(g.p.patterns, s)
	if i < 0 {
		i = len(g.p.patterns)
		g.p.patterns = append(g.p.patterns, s)
	}
	return i
}

// unless compiles a condition and returns the jumps that are taken if it does not hold.
func (g *gen) unless(x expr) []int {
	switch x := x.(type) {
	case *unaryExpr:
		if x.op == "not" {
			return []int{g.emit(opJumpT, g.value(x.x), 0, 0)}
		}
	case *binaryExpr:
		k := x.x.typ().kind
		num := k == kInt || k == kDuration
		switch {
		case x.op == "and":
			no := g.unless(x.x)
			return append(no, g.unless(x.y)...)
		case x.op == "or":
			no := g.unless(x.x)
			yes := g.emit(opJump, 0, 0, 0)
			g.landAll(no)
			no = g.unless(x.y)
			g.land(yes)
			return no
		case x.op == "<" && num:
			return []int{g.emit(opJNLtI, g.value(x.x), g.value(x.y), 0)}
		case x.op == ">" && num:
			a, b := g.value(x.x), g.value(x.y)
			return []int{g.emit(opJNLtI, b, a, 0)}
		case x.op == "<=" && num:
			return []int{g.emit(opJNLeI, g.value(x.x), g.value(x.y), 0)}
		case x.op == ">=" && num:
			a, b := g.value(x.x), g.value(x.y)
			return []int{g.emit(opJNLeI, b, a, 0)}
		case x.op == "==" && (num || k == kBool):
			return []int{g.emit(opJNEqN, g.value(x.x), g.value(x.y), 0)}
		case x.op == "!=" && (num || k == kBool):
			return []int{g.emit(opJEqN, g.value(x.x), g.value(x.y), 0)}
		case x.op == "==" && k == kString:
			return []int{g.emit(opJNEqS, g.value(x.x), g.value(x.y), 0)}
		case x.op == "!=" && k == kString:
			return []int{g.emit(opJEqS, g.value(x.x), g.value(x.y), 0)}
		case x.op == "matches":
			return []int{g.emit(opJNMatch, g.value(x.x), g.pattern(x.y), 0)}
		}
	}
	return []int{g.emit(opJumpF, g.value(x), 0, 0)}
}

// constRoot tells that a value is part of a declared constant, which no call may change for the next.
func constRoot(x expr) bool {
	switch x := x.(type) {
	case *nameExpr:
		_, ok := x.ref.(*constDecl)
		return ok
	case *indexExpr:
		return constRoot(x.x)
	}
	return false
}

// value compiles an expression and returns the register that has it.
func (g *gen) value(x expr) int {
	if n, ok := x.(*nameExpr); ok {
		if v, ok := n.ref.(*local); ok {
			return v.reg
		}
	}
	reg := g.reg(x.typ())
	g.into(x, reg)
	return reg
}

// raw is value for what is only looked at, or changed where it is: constants are not copied.
func (g *gen) raw(x expr) int {
	if !constRoot(x) {
		return g.value(x)
	}
	reg := g.reg(x.typ())
	g.fetch(x, reg)
	return reg
}

// into compiles an expression into a register.
func (g *gen) into(x expr, to int) {
	g.fetch(x, to)
	if k := x.typ().kind; (k == kList || k == kMap) && constRoot(x) {
		g.emit(opCopy, to, to, 0)
	}
}

func pick(wide bool, n, r op) op {
	if wide {
		return r
	}
	return n
}

func (g *gen) fetch(x expr, to int) {
	switch x := x.(type) {
	case *litExpr:
		switch x.tok.kind {
		case tString, tPattern:
			g.emit(opKR, to, g.strK(x.tok.s), 0)
		case tFloat:
			g.emit(opKN, to, g.numK(bits(x.tok.f)), 0)
		case tInt, tDuration:
			g.emit(opKN, to, g.numK(x.tok.i), 0)
		default:
			v := int64(0)
			if x.tok.text == "true" {
				v = 1
			}
			g.emit(opKN, to, g.numK(v), 0)
		}
	case *nameExpr:
		wide := x.ty.wide()
		switch r := x.ref.(type) {
		case *local:
			if r.reg != to {
				g.emit(pick(wide, opMoveN, opMoveR), to, r.reg, 0)
			}
		case *constDecl:
			g.emit(pick(wide, opGN, opGR), to, g.globals[r], 0)
		case *varDecl:
			g.emit(pick(wide, opVN, opVR), to, r.slot, 0)
		}
	case *fieldExpr:
		g.emit(pick(x.ty.wide(), opFieldN, opFieldR), to, x.slot, 0)
	case *unaryExpr:
		v := g.value(x.x)
		switch {
		case x.op == "not":
			g.emit(opNot, to, v, 0)
		case x.ty.kind == kFloat:
			g.emit(opNegF, to, v, 0)
		default:
			g.emit(opNegI, to, v, 0)
		}
	case *binaryExpr:
		g.binary(x, to)
	case *indexExpr:
		l, i := g.raw(x.x), g.value(x.i)
		o := pick(x.ty.wide(), opIndexN, opIndexR)
		if x.x.typ().kind == kMap {
			o = pick(x.ty.wide(), opMapGetN, opMapGetR)
		}
		g.emit(o, to, l, i)
	case *listExpr:
		wide := x.ty.elem.wide()
		first := g.topN
		if wide {
			first = g.topR
		}
		for range x.elems {
			g.reg(*x.ty.elem)
		}
		for i, e := range x.elems {
			g.into(e, first+i)
		}
		g.emit(pick(wide, opListN, opListR), to, first, len(x.elems))
	case *mapExpr:
		wide := x.ty.elem.wide()
		m := g.newR()
		w := 0
		if wide {
			w = 1
		}
		g.emit(opMapN, m, w, 0)
		for i := range x.keys {
			tn, tr := g.topN, g.topR
			k, v := g.value(x.keys[i]), g.value(x.values[i])
			g.emit(pick(wide, opMapSetN, opMapSetR), m, k, v)
			g.topN, g.topR = tn, tr
		}
		g.emit(opMoveR, to, m, 0)
	case *callExpr:
		g.call(x, to)
	}
}

func (g *gen) binary(x *binaryExpr, to int) {
	k := x.x.typ().kind
	switch x.op {
	case "and", "or":
		t := g.newN() // not the target: the right side may still read that
		g.into(x.x, t)
		o := opJumpF
		if x.op == "or" {
			o = opJumpT
		}
		j := g.emit(o, t, 0, 0)
		g.into(x.y, t)
		g.land(j)
		g.emit(opMoveN, to, t, 0)
		return
	case "matches":
		g.emit(opMatch, to, g.value(x.x), g.pattern(x.y))
		return
	case "in":
		a, b := g.value(x.x), g.raw(x.y)
		o := pick(x.x.typ().wide(), opInN, opInR)
		if x.y.typ().kind == kMap {
			o = opInMap
		}
		g.emit(o, to, a, b)
		return
	}
	a, b := g.value(x.x), g.value(x.y)
	f, s := k == kFloat, k == kString
	three := func(i, fl, st op) op {
		switch {
		case f:
			return fl
		case s:
			return st
		}
		return i
	}
	switch x.op {
	case "+":
		g.emit(three(opAddI, opAddF, opCat), to, a, b)
	case "-":
		g.emit(three(opSubI, opSubF, 0), to, a, b)
	case "*":
		g.emit(three(opMulI, opMulF, 0), to, a, b)
	case "/":
		g.emit(three(opDivI, opDivF, 0), to, a, b)
	case "%":
		g.emit(opModI, to, a, b)
	case "<":
		g.emit(three(opLtI, opLtF, opLtS), to, a, b)
	case ">":
		g.emit(three(opLtI, opLtF, opLtS), to, b, a)
	case "<=":
		g.emit(three(opLeI, opLeF, opLeS), to, a, b)
	case ">=":
		g.emit(three(opLeI, opLeF, opLeS), to, b, a)
	case "==", "!=":
		g.emit(three(opEqN, opEqF, opEqS), to, a, b)
		if x.op == "!=" {
			g.emit(opNot, to, to, 0)
		}
	}
}

// text compiles a value of any kind into a string.
func (g *gen) text(x expr, to int) {
	o := opTextI
	switch x.typ().kind {
	case kString:
		g.into(x, to)
		return
	case kFloat:
		o = opTextF
	case kBool:
		o = opTextB
	case kDuration:
		o = opTextD
	}
	g.emit(o, to, g.value(x), 0)
}

func (g *gen) call(x *callExpr, to int) {
	if x.fn != nil {
		n, r := g.topN, g.topR
		for _, p := range x.fn.params {
			g.reg(p.ty)
		}
		atN, atR := n, r
		for i, a := range x.args {
			if x.fn.params[i].ty.wide() {
				g.into(a, atR)
				atR++
			} else {
				g.into(a, atN)
				atN++
			}
		}
		// The result comes back in the first register of its bank.
		g.fn.nN, g.fn.nR = max(g.fn.nN, n+1), max(g.fn.nR, r+1)
		g.emit(opCall, x.fn.index, n, r)
		if x.ty.kind != kNone {
			if x.ty.wide() {
				g.emit(opMoveR, to, r, 0)
			} else {
				g.emit(opMoveN, to, n, 0)
			}
		}
		return
	}
	b := x.built
	slot := 0
	if x.state != nil {
		slot = x.state.slot
	}
	switch b.op {
	case opLen:
		o := opLenO
		if x.args[0].typ().kind == kString {
			o = opLenS
		}
		g.emit(o, to, g.raw(x.args[0]), 0)
	case opText:
		g.text(x.args[0], to)
	case opLog:
		k, v := g.value(x.args[0]), g.newR()
		g.text(x.args[1], v)
		g.emit(opLog, k, v, 0)
	case opAppend:
		l, v := g.raw(x.args[0]), g.value(x.args[1])
		w := 0
		if x.args[1].typ().wide() {
			w = 1
		}
		g.emit(opAppend, l, v, w)
	case opSubstr:
		s := g.value(x.args[0])
		from := g.newN()
		end := g.newN()
		g.into(x.args[1], from)
		g.into(x.args[2], end)
		g.emit(opSubstr, to, s, from)
	case opKeys:
		g.emit(opKeys, to, g.raw(x.args[0]), 0)
	case opFtoI, opItoF, opSeconds:
		g.emit(b.op, to, g.value(x.args[0]), 0)
	case opMinI, opMaxI:
		g.emit(b.op, to, g.value(x.args[0]), g.value(x.args[1]))
	case opRateAdd, opTopAdd, opCountAdd:
		g.emit(b.op, slot, g.value(x.args[0]), 0)
	case opRateGet, opTopCount, opTopMost:
		g.emit(b.op, to, g.value(x.args[0]), slot)
	case opCountGet:
		g.emit(b.op, to, slot, 0)
	default: // actions of one argument
		g.emit(b.op, g.value(x.args[0]), 0, 0)
	}
}
