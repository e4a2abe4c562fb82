package script

import (
	"fmt"
	"slices"
	"time"
)

// op is the operation code of an instruction. Its operands a, b and c are registers unless noted otherwise; a is the result
// unless noted otherwise. There are two banks of registers: N for numbers (ints, floats, bools and durations as 64 bits) and R for
// references (strings, lists and maps). The suffixes I, F and S stand for int, float and string.
type op uint16

const (
	opNop op = iota
	opMoveN
	opMoveR
	opConstN  // a = number constant b
	opConstR  // a = string constant b
	opGlobalN // a = declared constant b
	opGlobalR
	opVarN // a = variable b
	opVarR
	opSetVarN // variable a = b
	opSetVarR
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
	opConcat
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

	opJump      // to a
	opJumpFalse // to b if a is false
	opJumpTrue
	opJumpNotLtI // to c unless a < b
	opJumpNotLeI
	opJumpNotEqN
	opJumpEqN
	opJumpNotEqS
	opJumpEqS
	opJumpNotMatch // to c unless string R a matches pattern b

	opListN // R a = list of the c numbers from N b on
	opListR
	opNewMap // R a = empty map, of references if b is 1; opMapSetN and opMapSetR add the keys
	opIndexN
	opIndexR
	opSetIndexN // list R a at N b = N c
	opSetIndexR
	opMapGetN
	opMapGetR
	opMapSetN
	opMapSetR
	opLenS
	opLenObject
	opNextN // loop over a list: N a index, R b list, c element; skips the next instruction, a jump, while an element is left
	opNextR
	opLoop // increments N a, then jumps to c if N a < N b

	opCall // function a, whose register windows begin at N b and R c
	opReturn
	opFail

	opIntToText
	opFloatToText
	opBoolToText
	opDurationToText
	opFloatToInt
	opIntToFloat
	opSeconds
	opMinI
	opMaxI
	opSubstr
	opAppend // to list R a the element b, of bank R if c is 1
	opKeys

	// Actions; a is the argument.
	opRefuse
	opSetClass
	opSetTenant
	opRewrite
	opExclude
	opTreatAs
	opTag
	opLog // key R a, value R b
	// Declared state, by its slot.
	opRateAdd    // rate a, key R b
	opRateGet    // a = rate c of key R b
	opTopAdd     // top a, key R b
	opTopCount   // a = count of key R b in top c
	opTopMost    // a = list of the N b first keys of top c
	opCounterAdd // counter a, number N b
	opCounterGet // a = counter b
	// Used in the table of built-ins only; compiled to other operations by the argument's type.
	opLen
	opText
)

// instruction is one operation with its operands.
type instruction struct {
	op      op
	a, b, c uint16
}

// function is the compiled code of a function or hook.
type function struct {
	name         string
	code         []instruction
	lines        []uint16 // source line of each instruction
	regsN, regsR int      // registers of each bank
}

// Hook is one compiled hook of a program.
type Hook struct {
	Kind            string
	Every           time.Duration // interval of an every hook
	RefuseOnFailure bool          // @failure(refuse): a failure of the hook refuses the call
	Steps           int
	Memory          int
	Line            int
	Cost            int // worst-case steps, estimated by the compiler; -1: depends on values, limited by Steps only
	fn              int
}

// Program is a checked and compiled source file. It is immutable.
type Program struct {
	Name     string
	Hooks    []Hook
	fns      []*function
	constN   []int64
	constS   []string
	patterns []string
	globalN  []int64 // declared constants; each has an entry in both banks
	globalR  []ref
	varN     []int64 // initial values of variables; each has an entry in both banks
	varR     []string
	varIsRef []bool // the value is in varR
	varNames []string
	states   []*stateDecl
	stackN   int // registers needed by the deepest chain of calls
	stackR   int
	Warnings Errors
}

// Compile checks and compiles a program. The error has type Errors.
func Compile(name, src string) (*Program, error) {
	f, errs := parse(name, src)
	if len(errs) > 0 {
		return nil, errs
	}
	checked, errs := check(f)
	if len(errs) > 0 {
		return nil, errs
	}
	g := &generator{p: &Program{Name: name}, checked: checked, globals: map[*constDecl]int{}}
	if err := g.compileProgram(f); err != nil {
		return nil, err
	}
	g.p.Warnings = append(checked.warnings, g.lint(f)...)
	return g.p, nil
}

// generator compiles a checked file into a program. usedN and usedR are the registers in use at this point of the function.
type generator struct {
	p       *Program
	checked *checker
	fn      *function
	usedN   int
	usedR   int
	globals map[*constDecl]int
	loops   []*loopJumps
	line    int
	err     *Error
}

// loopJumps are the jumps of a loop's break and continue statements, whose targets are patched later.
type loopJumps struct{ breaks, continues []int }

func (g *generator) errorAt(p Pos, format string, args ...any) {
	if g.err == nil {
		g.err = &Error{g.p.Name, p, fmt.Sprintf(format, args...)}
	}
}

func (g *generator) compileProgram(f *file) error {
	// Constants and initial values are evaluated once, by running their compiled code.
	init := &function{name: "constants"}
	g.fn = init
	for _, d := range f.decls {
		switch d := d.(type) {
		case *constDecl:
			g.usedN, g.usedR = 0, 0
			g.globals[d] = len(g.p.globalN)
			r := g.value(d.x)
			v, err := g.evaluateConstant(d.pos, r, d.ty)
			if err != nil {
				return Errors{err}
			}
			if obj := v.r.obj; d.ty.kind == kList && d.ty.elem.kind == kString && len(obj.r) > maxLinearKeys {
				obj.positions = make(map[string]int, len(obj.r))
				for i, x := range obj.r {
					obj.positions[x.s] = i
				}
			}
			g.p.globalN, g.p.globalR = append(g.p.globalN, v.n), append(g.p.globalR, v.r)
		case *varDecl:
			g.usedN, g.usedR = 0, 0
			v, err := g.evaluateConstant(d.pos, g.value(d.x), d.ty)
			if err != nil {
				return Errors{err}
			}
			g.p.varN, g.p.varR = append(g.p.varN, v.n), append(g.p.varR, v.r.s)
			g.p.varIsRef = append(g.p.varIsRef, d.ty.isRef())
			g.p.varNames = append(g.p.varNames, d.name)
		case *stateDecl:
			g.p.states = append(g.p.states, d)
		}
	}
	order := make([]*fnDecl, len(g.checked.fns))
	for _, d := range g.checked.fns {
		order[d.index] = d
		g.p.fns = append(g.p.fns, nil)
	}
	for i, d := range order {
		g.beginFunction(d.name)
		for _, v := range d.locals {
			v.reg = g.reg(v.ty)
		}
		g.block(d.body)
		g.emit(opReturn, 0, 0, 0)
		g.p.fns[i] = g.fn
	}
	for _, d := range g.checked.hooks {
		g.beginFunction(d.hook)
		g.block(d.body)
		g.emit(opReturn, 0, 0, 0)
		g.p.Hooks = append(g.p.Hooks, Hook{Kind: d.hook, Every: d.every, RefuseOnFailure: d.refuseOnFailure, Steps: d.steps, Memory: d.memory, Line: d.pos.Line, fn: len(g.p.fns)})
		g.p.fns = append(g.p.fns, g.fn)
	}
	if g.err != nil {
		return Errors{g.err}
	}
	g.computeStackSizes(order)
	g.computeCosts(order)
	return nil
}

// computeStackSizes computes how many registers the deepest chain of calls needs. The checker has excluded recursion.
func (g *generator) computeStackSizes(order []*fnDecl) {
	type size struct{ n, r int }
	known := map[*fnDecl]size{}
	var stackSize func(f *function, calls map[*fnDecl]Pos) size
	stackSize = func(f *function, calls map[*fnDecl]Pos) size {
		deepest := size{}
		for _, d := range sortedCalls(calls) {
			s, ok := known[d]
			if !ok {
				s = stackSize(g.p.fns[d.index], d.calls)
				known[d] = s
			}
			deepest.n, deepest.r = max(deepest.n, s.n), max(deepest.r, s.r)
		}
		return size{f.regsN + deepest.n, f.regsR + deepest.r}
	}
	for i, d := range g.checked.hooks {
		s := stackSize(g.p.fns[len(order)+i], d.calls)
		g.p.stackN, g.p.stackR = max(g.p.stackN, s.n+1), max(g.p.stackR, s.r+1)
	}
}

func (g *generator) beginFunction(name string) {
	g.fn = &function{name: name}
	g.usedN, g.usedR, g.loops = 0, 0, nil
}

// evaluateConstant runs the code generated so far, returns the value of a register and begins new code.
func (g *generator) evaluateConstant(pos Pos, reg int, t Type) (v struct {
	n int64
	r ref
}, e *Error) {
	if g.err != nil {
		return v, g.err
	}
	g.emit(opReturn, 0, 0, 0)
	p := *g.p
	vm := NewVM()
	vm.n, vm.r = make([]int64, g.fn.regsN+1), make([]ref, g.fn.regsR+1)
	var res Result
	if line, message, err := vm.run(&p, g.fn, &Event{}, nil, nil, 0, &res, maxSteps, maxMemoryOctets); err != nil {
		return v, &Error{g.p.Name, pos, err.Error()}
	} else if message != "" {
		return v, &Error{g.p.Name, Pos{line, pos.Column}, message}
	}
	if t.isRef() {
		v.r = vm.r[reg]
	} else {
		v.n = vm.n[reg]
	}
	g.beginFunction("constants")
	return v, nil
}

func (g *generator) emit(o op, a, b, c int) int {
	if len(g.fn.code) >= 1<<16-1 || a > 1<<16-1 || b > 1<<16-1 || c > 1<<16-1 {
		g.errorAt(Pos{g.line, 1}, "the function is too large")
		return 0
	}
	g.fn.code = append(g.fn.code, instruction{o, uint16(a), uint16(b), uint16(c)})
	g.fn.lines = append(g.fn.lines, uint16(min(g.line, 1<<16-1)))
	return len(g.fn.code) - 1
}

func (g *generator) nextPC() int { return len(g.fn.code) }

// patchJump sets the target of a jump instruction to the next instruction.
func (g *generator) patchJump(jump int) {
	if jump >= len(g.fn.code) {
		return
	}
	ins := &g.fn.code[jump]
	switch ins.op {
	case opJump, opJumpFalse, opJumpTrue:
		if ins.op == opJump {
			ins.a = uint16(g.nextPC())
		} else {
			ins.b = uint16(g.nextPC())
		}
	default:
		ins.c = uint16(g.nextPC())
	}
}

func (g *generator) newN() int {
	g.usedN++
	g.fn.regsN = max(g.fn.regsN, g.usedN)
	return g.usedN - 1
}

func (g *generator) newR() int {
	g.usedR++
	g.fn.regsR = max(g.fn.regsR, g.usedR)
	return g.usedR - 1
}

func (g *generator) reg(t Type) int {
	if t.isRef() {
		return g.newR()
	}
	return g.newN()
}

func (g *generator) numConst(v int64) int {
	i := slices.Index(g.p.constN, v)
	if i < 0 {
		i = len(g.p.constN)
		g.p.constN = append(g.p.constN, v)
	}
	return i
}

func (g *generator) stringConst(s string) int {
	i := slices.Index(g.p.constS, s)
	if i < 0 {
		i = len(g.p.constS)
		g.p.constS = append(g.p.constS, s)
	}
	return i
}

func (g *generator) block(b *block) {
	outerN, outerR := g.usedN, g.usedR
	for _, s := range b.stmts {
		g.line = s.at().Line
		savedN, savedR := g.usedN, g.usedR
		g.stmt(s)
		if _, let := s.(*letStmt); !let { // release the statement's temporary registers
			g.usedN, g.usedR = savedN, savedR
		}
	}
	g.usedN, g.usedR = outerN, outerR
}

func (g *generator) stmt(s stmt) {
	switch s := s.(type) {
	case *block:
		g.block(s)
	case *letStmt:
		reg := g.reg(s.v.ty)
		savedN, savedR := g.usedN, g.usedR
		g.exprInto(s.x, reg)
		g.usedN, g.usedR = savedN, savedR
		s.v.reg = reg
	case *assignStmt:
		g.assign(s)
	case *ifStmt:
		falseJumps := g.jumpsIfFalse(s.cond)
		g.block(s.then)
		if s.els == nil {
			g.patchJumps(falseJumps)
			return
		}
		endJump := g.emit(opJump, 0, 0, 0)
		g.patchJumps(falseJumps)
		g.stmt(s.els)
		g.patchJump(endJump)
	case *forStmt:
		g.loop(s)
	case *matchStmt:
		g.match(s)
	case *returnStmt:
		if s.x != nil {
			g.exprInto(s.x, 0)
		}
		g.emit(opReturn, 0, 0, 0)
	case *breakStmt:
		jumps := g.loops[len(g.loops)-1]
		jump := g.emit(opJump, 0, 0, 0)
		if s.isContinue {
			jumps.continues = append(jumps.continues, jump)
		} else {
			jumps.breaks = append(jumps.breaks, jump)
		}
	case *failStmt:
		g.emit(opFail, g.value(s.x), 0, 0)
	case *exprStmt:
		g.value(s.x)
	}
}

func (g *generator) patchJumps(jumps []int) {
	for _, jump := range jumps {
		g.patchJump(jump)
	}
}

func (g *generator) assign(s *assignStmt) {
	switch to := s.to.(type) {
	case *nameExpr:
		switch r := to.ref.(type) {
		case *local:
			g.exprInto(s.x, r.reg)
		case *varDecl:
			if v := g.value(s.x); to.ty.isRef() {
				g.emit(opSetVarR, r.slot, v, 0)
			} else {
				g.emit(opSetVarN, r.slot, v, 0)
			}
		}
	case *indexExpr:
		l, i := g.sharedValue(to.x), g.value(to.i)
		v := g.value(s.x)
		o := opSetIndexN
		switch isRef := to.ty.isRef(); {
		case to.x.typ().kind == kMap && isRef:
			o = opMapSetR
		case to.x.typ().kind == kMap:
			o = opMapSetN
		case isRef:
			o = opSetIndexR
		}
		g.emit(o, l, i, v)
	}
}

func (g *generator) loop(s *forStmt) {
	jumps := &loopJumps{}
	g.loops = append(g.loops, jumps)
	defer func() { g.loops = g.loops[:len(g.loops)-1] }()
	if s.to != nil { // i in a..b: from a, up to but without b
		i, end := g.newN(), g.newN()
		g.exprInto(s.from, i)
		g.exprInto(s.to, end)
		s.v.reg = g.newN()
		exitJump := g.emit(opJumpNotLtI, i, end, 0)
		start := g.nextPC()
		g.emit(opMoveN, s.v.reg, i, 0)
		g.block(s.body)
		g.patchJumps(jumps.continues)
		g.emit(opLoop, i, end, start)
		g.patchJump(exitJump)
		g.patchJumps(jumps.breaks)
		return
	}
	list, index := g.newR(), g.newN()
	if r := g.sharedValue(s.from); r != list {
		g.emit(opMoveR, list, r, 0)
	}
	g.emit(opConstN, index, g.numConst(0), 0)
	s.v.reg = g.reg(s.v.ty)
	start := g.nextPC()
	o := opNextN
	if s.v.ty.isRef() {
		o = opNextR
	}
	g.emit(o, index, list, s.v.reg)
	exitJump := g.emit(opJump, 0, 0, 0)
	if k := s.v.ty.kind; (k == kList || k == kMap) && inConstant(s.from) {
		g.emit(opCopy, s.v.reg, s.v.reg, 0)
	}
	g.block(s.body)
	g.patchJumps(jumps.continues)
	g.emit(opJump, start, 0, 0)
	g.patchJump(exitJump)
	g.patchJumps(jumps.breaks)
}

func (g *generator) match(s *matchStmt) {
	x := g.value(s.x)
	t := s.x.typ()
	var endJumps []int
	for i, a := range s.arms {
		g.line = a.pos.Line
		var bodyJumps, nextArmJumps []int
		for j, v := range a.values {
			last := j == len(a.values)-1
			switch {
			case a.rangeEnds[j] != nil: // both ends are included
				low := g.emit(opJumpNotLeI, g.value(v), x, 0)
				high := g.emit(opJumpNotLeI, x, g.value(a.rangeEnds[j]), 0)
				if last {
					nextArmJumps = append(nextArmJumps, low, high)
				} else {
					bodyJumps = append(bodyJumps, g.emit(opJump, 0, 0, 0))
					g.patchJump(low)
					g.patchJump(high)
				}
			case v.typ().kind == kPattern:
				n := g.emit(opJumpNotMatch, x, g.pattern(v), 0)
				if last {
					nextArmJumps = append(nextArmJumps, n)
				} else {
					bodyJumps = append(bodyJumps, g.emit(opJump, 0, 0, 0))
					g.patchJump(n)
				}
			default:
				eq, ne := opJumpEqN, opJumpNotEqN
				if t.kind == kString {
					eq, ne = opJumpEqS, opJumpNotEqS
				}
				if last {
					nextArmJumps = append(nextArmJumps, g.emit(ne, x, g.value(v), 0))
				} else {
					bodyJumps = append(bodyJumps, g.emit(eq, x, g.value(v), 0))
				}
			}
		}
		g.patchJumps(bodyJumps)
		g.block(a.body)
		if i < len(s.arms)-1 {
			endJumps = append(endJumps, g.emit(opJump, 0, 0, 0))
		}
		g.patchJumps(nextArmJumps)
	}
	g.patchJumps(endJumps)
}

// pattern returns the index of a pattern, which must be a literal or a constant.
func (g *generator) pattern(x expr) int {
	s := ""
	switch x := x.(type) {
	case *litExpr:
		s = x.tok.s
	case *nameExpr:
		if d, ok := x.ref.(*constDecl); ok {
			s = g.p.globalR[g.globals[d]].s
		} else {
			g.errorAt(x.pos, "a pattern must be a literal or a constant")
		}
	default:
		g.errorAt(x.at(), "a pattern must be a literal or a constant")
	}
	i := slices.Index(g.p.patterns, s)
	if i < 0 {
		i = len(g.p.patterns)
		g.p.patterns = append(g.p.patterns, s)
	}
	return i
}

// jumpsIfFalse compiles a condition and returns the jumps that are taken if it is false.
func (g *generator) jumpsIfFalse(x expr) []int {
	switch x := x.(type) {
	case *unaryExpr:
		if x.op == "not" {
			return []int{g.emit(opJumpTrue, g.value(x.x), 0, 0)}
		}
	case *binaryExpr:
		k := x.x.typ().kind
		isNum := k == kInt || k == kDuration
		switch {
		case x.op == "and":
			falseJumps := g.jumpsIfFalse(x.x)
			return append(falseJumps, g.jumpsIfFalse(x.y)...)
		case x.op == "or":
			falseJumps := g.jumpsIfFalse(x.x)
			trueJump := g.emit(opJump, 0, 0, 0)
			g.patchJumps(falseJumps)
			falseJumps = g.jumpsIfFalse(x.y)
			g.patchJump(trueJump)
			return falseJumps
		case x.op == "<" && isNum:
			return []int{g.emit(opJumpNotLtI, g.value(x.x), g.value(x.y), 0)}
		case x.op == ">" && isNum:
			a, b := g.value(x.x), g.value(x.y)
			return []int{g.emit(opJumpNotLtI, b, a, 0)}
		case x.op == "<=" && isNum:
			return []int{g.emit(opJumpNotLeI, g.value(x.x), g.value(x.y), 0)}
		case x.op == ">=" && isNum:
			a, b := g.value(x.x), g.value(x.y)
			return []int{g.emit(opJumpNotLeI, b, a, 0)}
		case x.op == "==" && (isNum || k == kBool):
			return []int{g.emit(opJumpNotEqN, g.value(x.x), g.value(x.y), 0)}
		case x.op == "!=" && (isNum || k == kBool):
			return []int{g.emit(opJumpEqN, g.value(x.x), g.value(x.y), 0)}
		case x.op == "==" && k == kString:
			return []int{g.emit(opJumpNotEqS, g.value(x.x), g.value(x.y), 0)}
		case x.op == "!=" && k == kString:
			return []int{g.emit(opJumpEqS, g.value(x.x), g.value(x.y), 0)}
		case x.op == "matches":
			return []int{g.emit(opJumpNotMatch, g.value(x.x), g.pattern(x.y), 0)}
		}
	}
	return []int{g.emit(opJumpFalse, g.value(x), 0, 0)}
}

// inConstant reports whether a value is part of a declared constant, which programs must not modify.
func inConstant(x expr) bool {
	switch x := x.(type) {
	case *nameExpr:
		_, ok := x.ref.(*constDecl)
		return ok
	case *indexExpr:
		return inConstant(x.x)
	}
	return false
}

// value compiles an expression and returns the register of its value.
func (g *generator) value(x expr) int {
	if n, ok := x.(*nameExpr); ok {
		if v, ok := n.ref.(*local); ok {
			return v.reg
		}
	}
	reg := g.reg(x.typ())
	g.exprInto(x, reg)
	return reg
}

// sharedValue is value without the copy of a constant list or map, for operands that are only read or are modified in place.
func (g *generator) sharedValue(x expr) int {
	if !inConstant(x) {
		return g.value(x)
	}
	reg := g.reg(x.typ())
	g.sharedExprInto(x, reg)
	return reg
}

// exprInto compiles an expression into a register. A list or map of a constant is copied.
func (g *generator) exprInto(x expr, to int) {
	g.sharedExprInto(x, to)
	if k := x.typ().kind; (k == kList || k == kMap) && inConstant(x) {
		g.emit(opCopy, to, to, 0)
	}
}

// byBank returns n or r by the bank of the value.
func byBank(isRef bool, n, r op) op {
	if isRef {
		return r
	}
	return n
}

// sharedExprInto is exprInto without the copy.
func (g *generator) sharedExprInto(x expr, to int) {
	switch x := x.(type) {
	case *litExpr:
		switch x.tok.kind {
		case tString, tPattern:
			g.emit(opConstR, to, g.stringConst(x.tok.s), 0)
		case tFloat:
			g.emit(opConstN, to, g.numConst(floatToBits(x.tok.f)), 0)
		case tInt, tDuration:
			g.emit(opConstN, to, g.numConst(x.tok.i), 0)
		default:
			v := int64(0)
			if x.tok.text == "true" {
				v = 1
			}
			g.emit(opConstN, to, g.numConst(v), 0)
		}
	case *nameExpr:
		isRef := x.ty.isRef()
		switch r := x.ref.(type) {
		case *local:
			if r.reg != to {
				g.emit(byBank(isRef, opMoveN, opMoveR), to, r.reg, 0)
			}
		case *constDecl:
			g.emit(byBank(isRef, opGlobalN, opGlobalR), to, g.globals[r], 0)
		case *varDecl:
			g.emit(byBank(isRef, opVarN, opVarR), to, r.slot, 0)
		}
	case *fieldExpr:
		g.emit(byBank(x.ty.isRef(), opFieldN, opFieldR), to, x.slot, 0)
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
		l, i := g.sharedValue(x.x), g.value(x.i)
		o := byBank(x.ty.isRef(), opIndexN, opIndexR)
		if x.x.typ().kind == kMap {
			o = byBank(x.ty.isRef(), opMapGetN, opMapGetR)
		}
		g.emit(o, to, l, i)
	case *listExpr:
		isRef := x.ty.elem.isRef()
		first := g.usedN
		if isRef {
			first = g.usedR
		}
		for range x.elems {
			g.reg(*x.ty.elem)
		}
		for i, e := range x.elems {
			g.exprInto(e, first+i)
		}
		g.emit(byBank(isRef, opListN, opListR), to, first, len(x.elems))
	case *mapExpr:
		isRef := x.ty.elem.isRef()
		m := g.newR()
		holdsRefs := 0
		if isRef {
			holdsRefs = 1
		}
		g.emit(opNewMap, m, holdsRefs, 0)
		for i := range x.keys {
			savedN, savedR := g.usedN, g.usedR
			k, v := g.value(x.keys[i]), g.value(x.values[i])
			g.emit(byBank(isRef, opMapSetN, opMapSetR), m, k, v)
			g.usedN, g.usedR = savedN, savedR
		}
		g.emit(opMoveR, to, m, 0)
	case *callExpr:
		g.call(x, to)
	}
}

func (g *generator) binary(x *binaryExpr, to int) {
	k := x.x.typ().kind
	switch x.op {
	case "and", "or":
		result := g.newN() // not into the target register, which the right side may still read
		g.exprInto(x.x, result)
		o := opJumpFalse
		if x.op == "or" {
			o = opJumpTrue
		}
		endJump := g.emit(o, result, 0, 0)
		g.exprInto(x.y, result)
		g.patchJump(endJump)
		g.emit(opMoveN, to, result, 0)
		return
	case "matches":
		g.emit(opMatch, to, g.value(x.x), g.pattern(x.y))
		return
	case "in":
		a, b := g.value(x.x), g.sharedValue(x.y)
		o := byBank(x.x.typ().isRef(), opInN, opInR)
		if x.y.typ().kind == kMap {
			o = opInMap
		}
		g.emit(o, to, a, b)
		return
	}
	a, b := g.value(x.x), g.value(x.y)
	isFloat, isString := k == kFloat, k == kString
	byType := func(intOp, floatOp, stringOp op) op {
		switch {
		case isFloat:
			return floatOp
		case isString:
			return stringOp
		}
		return intOp
	}
	switch x.op {
	case "+":
		g.emit(byType(opAddI, opAddF, opConcat), to, a, b)
	case "-":
		g.emit(byType(opSubI, opSubF, 0), to, a, b)
	case "*":
		g.emit(byType(opMulI, opMulF, 0), to, a, b)
	case "/":
		g.emit(byType(opDivI, opDivF, 0), to, a, b)
	case "%":
		g.emit(opModI, to, a, b)
	case "<":
		g.emit(byType(opLtI, opLtF, opLtS), to, a, b)
	case ">":
		g.emit(byType(opLtI, opLtF, opLtS), to, b, a)
	case "<=":
		g.emit(byType(opLeI, opLeF, opLeS), to, a, b)
	case ">=":
		g.emit(byType(opLeI, opLeF, opLeS), to, b, a)
	case "==", "!=":
		g.emit(byType(opEqN, opEqF, opEqS), to, a, b)
		if x.op == "!=" {
			g.emit(opNot, to, to, 0)
		}
	}
}

// text compiles a value of any type that has a text into a string.
func (g *generator) text(x expr, to int) {
	o := opIntToText
	switch x.typ().kind {
	case kString:
		g.exprInto(x, to)
		return
	case kFloat:
		o = opFloatToText
	case kBool:
		o = opBoolToText
	case kDuration:
		o = opDurationToText
	}
	g.emit(o, to, g.value(x), 0)
}

func (g *generator) call(x *callExpr, to int) {
	if x.fn != nil {
		firstN, firstR := g.usedN, g.usedR
		for _, p := range x.fn.params {
			g.reg(p.ty)
		}
		nextN, nextR := firstN, firstR
		for i, a := range x.args {
			if x.fn.params[i].ty.isRef() {
				g.exprInto(a, nextR)
				nextR++
			} else {
				g.exprInto(a, nextN)
				nextN++
			}
		}
		// The function returns its result in the first register of its window.
		g.fn.regsN, g.fn.regsR = max(g.fn.regsN, firstN+1), max(g.fn.regsR, firstR+1)
		g.emit(opCall, x.fn.index, firstN, firstR)
		if x.ty.kind != kNone {
			if x.ty.isRef() {
				g.emit(opMoveR, to, firstR, 0)
			} else {
				g.emit(opMoveN, to, firstN, 0)
			}
		}
		return
	}
	b := x.builtinFunc
	slot := 0
	if x.state != nil {
		slot = x.state.slot
	}
	switch b.op {
	case opLen:
		o := opLenObject
		if x.args[0].typ().kind == kString {
			o = opLenS
		}
		g.emit(o, to, g.sharedValue(x.args[0]), 0)
	case opText:
		g.text(x.args[0], to)
	case opLog:
		k, v := g.value(x.args[0]), g.newR()
		g.text(x.args[1], v)
		g.emit(opLog, k, v, 0)
	case opAppend:
		l, v := g.sharedValue(x.args[0]), g.value(x.args[1])
		holdsRefs := 0
		if x.args[1].typ().isRef() {
			holdsRefs = 1
		}
		g.emit(opAppend, l, v, holdsRefs)
	case opSubstr:
		s := g.value(x.args[0])
		from := g.newN()
		end := g.newN()
		g.exprInto(x.args[1], from)
		g.exprInto(x.args[2], end)
		g.emit(opSubstr, to, s, from)
	case opKeys:
		g.emit(opKeys, to, g.sharedValue(x.args[0]), 0)
	case opFloatToInt, opIntToFloat, opSeconds:
		g.emit(b.op, to, g.value(x.args[0]), 0)
	case opMinI, opMaxI:
		g.emit(b.op, to, g.value(x.args[0]), g.value(x.args[1]))
	case opRateAdd, opTopAdd, opCounterAdd:
		g.emit(b.op, slot, g.value(x.args[0]), 0)
	case opRateGet, opTopCount, opTopMost:
		g.emit(b.op, to, g.value(x.args[0]), slot)
	case opCounterGet:
		g.emit(b.op, to, slot, 0)
	default: // actions with one argument
		g.emit(b.op, g.value(x.args[0]), 0, 0)
	}
}
