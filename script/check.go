package script

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Limits of a program.
const (
	maxVars             = 64
	maxStates           = 32
	maxFunctions        = 128
	maxHooks            = 64
	maxLocals           = 200 // of one function or hook
	maxCallDepth        = 16  // length of a chain of calls
	defaultSteps        = 5000
	maxSteps            = 1_000_000
	defaultMemoryOctets = 32 << 10 // @memory of a hook without one
	maxMemoryOctets     = 1 << 20
	maxListLen          = 1024
)

// checker checks the types of a program. It continues after an error, so that all errors are reported at once.
type checker struct {
	f        *file
	errs     Errors
	consts   map[string]*constDecl
	vars     map[string]*varDecl
	states   map[string]*stateDecl
	fns      map[string]*fnDecl
	hooks    []*hookDecl
	declared map[string]Pos // position of each declaration with a name

	scopes    []map[string]*local // the innermost last
	locals    int                 // declared so far in the function or hook
	fn        *fnDecl
	hook      *hookDecl
	loopDepth int
	warnings  Errors
}

func (c *checker) errorAt(p Pos, format string, args ...any) {
	if len(c.errs) < maxErrors {
		c.errs = append(c.errs, &Error{c.f.name, p, fmt.Sprintf(format, args...)})
	}
}

func (c *checker) warnAt(p Pos, format string, args ...any) {
	c.warnings = append(c.warnings, &Error{c.f.name, p, fmt.Sprintf(format, args...)})
}

// suggest returns a suffix for an error message with the known name closest to a misspelt one, or nothing.
func suggest(name string, known []string) string {
	best, bestDistance := "", 3
	for _, k := range known {
		if dist := levenshtein(name, k); dist < bestDistance && dist < len(name) {
			best, bestDistance = k, dist
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; %s?", best)
}

// levenshtein returns the Levenshtein distance of two words of up to 32 octets, and 99 for longer ones.
func levenshtein(a, b string) int {
	if len(a) > 32 || len(b) > 32 {
		return 99
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}

func check(f *file) (*checker, Errors) {
	c := &checker{f: f, consts: map[string]*constDecl{}, vars: map[string]*varDecl{}, states: map[string]*stateDecl{},
		fns: map[string]*fnDecl{}, declared: map[string]Pos{}}
	for _, d := range f.decls {
		c.declare(d)
	}
	for _, d := range f.decls { // in source order, as a constant can use earlier ones
		switch d := d.(type) {
		case *constDecl:
			d.ty = c.constant(d.x, "a constant")
		case *varDecl:
			d.ty = c.constant(d.x, "the initial value of a variable")
			if d.ty.kind == kList || d.ty.kind == kMap || d.ty.kind == kPattern {
				c.errorAt(d.pos, "a variable can hold an int, float, bool, duration or string, not %v", d.ty)
			}
		}
	}
	for _, d := range f.decls {
		switch d := d.(type) {
		case *fnDecl:
			c.function(d)
		case *hookDecl:
			c.hookBody(d)
		}
	}
	c.checkRecursion()
	return c, c.errs
}

func (c *checker) declare(d decl) {
	name := ""
	switch d := d.(type) {
	case *constDecl:
		name, c.consts[d.name] = d.name, d
	case *varDecl:
		d.slot = len(c.vars)
		name, c.vars[d.name] = d.name, d
	case *stateDecl:
		d.slot = len(c.states)
		name, c.states[d.name] = d.name, d
	case *fnDecl:
		d.index, d.calls = len(c.fns), map[*fnDecl]Pos{}
		name, c.fns[d.name] = d.name, d
		for _, b := range builtins {
			if b.object == "" && b.name == d.name {
				c.errorAt(d.pos, "%s is already a built-in function", d.name)
			}
		}
	case *hookDecl:
		d.calls = map[*fnDecl]Pos{}
		c.hooks = append(c.hooks, d)
		c.attributes(d)
		return
	}
	if p, twice := c.declared[name]; twice {
		c.errorAt(d.at(), "%s is declared on line %d already", name, p.Line)
	}
	c.declared[name] = d.at()
	if len(c.vars) > maxVars || len(c.states) > maxStates || len(c.fns) > maxFunctions || len(c.hooks) > maxHooks {
		c.errorAt(d.at(), "too many declarations; the limits are %d variables, %d rates, tops and counters, %d functions and %d hooks", maxVars, maxStates, maxFunctions, maxHooks)
	}
}

func (c *checker) attributes(d *hookDecl) {
	if !slices.Contains(HookNames, d.hook) {
		c.errorAt(d.pos, "%q is no hook%s; the hooks are %s", d.hook, suggest(d.hook, HookNames), strings.Join(HookNames[:5], ", "))
	}
	if d.hook == Every && d.every < 1e9 {
		c.errorAt(d.pos, "every %v; 1s is the least", d.every)
	}
	d.steps, d.memory = defaultSteps, defaultMemoryOctets
	for _, attribute := range d.attrs {
		switch v := attribute.value; {
		case attribute.name == "failure" && v.kind == tName && (v.text == "refuse" || v.text == "default"):
			d.refuseOnFailure = v.text == "refuse"
			if d.refuseOnFailure && d.hook != Arrival {
				c.errorAt(attribute.pos, "only an arrival can be refused when its hook fails")
			}
		case attribute.name == "steps" && v.kind == tInt && v.i >= 1 && v.i <= maxSteps:
			d.steps = int(v.i)
		case attribute.name == "memory" && v.kind == tInt && v.i >= 0 && v.i <= maxMemoryOctets:
			d.memory = int(v.i)
		default:
			c.errorAt(attribute.pos, "@%s(%s) cannot be; valid are @failure(default or refuse), @steps(1 to %d) and @memory(0 to %d)", attribute.name, v.text, maxSteps, maxMemoryOctets)
		}
	}
}

// constant checks an expression that may contain literals and earlier constants only, and returns its type.
func (c *checker) constant(x expr, what string) Type {
	c.scopes = []map[string]*local{{}}
	t := c.expr(x)
	var walk func(x expr)
	walk = func(x expr) {
		switch x := x.(type) {
		case *litExpr:
		case *nameExpr:
			if _, ok := x.ref.(*constDecl); !ok && x.ref != nil {
				c.errorAt(x.pos, "%s can only use literals and constants", what)
			}
		case *listExpr:
			for _, e := range x.elems {
				walk(e)
			}
		case *mapExpr:
			for i := range x.keys {
				walk(x.keys[i])
				walk(x.values[i])
			}
		case *unaryExpr:
			walk(x.x)
		case *binaryExpr:
			walk(x.x)
			walk(x.y)
		default:
			c.errorAt(x.at(), "%s can only use literals and constants", what)
		}
	}
	walk(x)
	c.scopes = nil
	return t
}

func (c *checker) function(d *fnDecl) {
	c.fn, c.hook, c.locals, c.loopDepth = d, nil, 0, 0
	c.scopes = []map[string]*local{{}}
	for _, p := range d.params {
		v := c.declareLocal(p.name, p.pos, p.ty)
		v.used = true
		d.locals = append(d.locals, v)
	}
	c.block(d.body)
	if d.result.kind != kNone && !alwaysReturns(d.body) {
		c.errorAt(d.body.end, "%s can end here without its %v", d.name, d.result)
	}
	c.fn, c.scopes = nil, nil
}

func (c *checker) hookBody(d *hookDecl) {
	c.hook, c.locals, c.loopDepth = d, 0, 0
	c.scopes = []map[string]*local{{}}
	c.block(d.body)
	c.hook, c.scopes = nil, nil
}

// alwaysReturns reports whether every path through a block ends in return or fail.
func alwaysReturns(b *block) bool {
	for _, s := range b.stmts {
		switch s := s.(type) {
		case *returnStmt, *failStmt:
			return true
		case *block:
			if alwaysReturns(s) {
				return true
			}
		case *ifStmt:
			if alwaysReturns(s.then) && s.els != nil && alwaysReturns(&block{stmts: []stmt{s.els}}) {
				return true
			}
		case *matchStmt:
			allReturn, hasElse := true, false
			for _, a := range s.arms {
				allReturn = allReturn && alwaysReturns(a.body)
				hasElse = hasElse || len(a.values) == 0
			}
			if allReturn && hasElse {
				return true
			}
		}
	}
	return false
}

func (c *checker) declareLocal(name string, pos Pos, t Type) *local {
	for _, s := range c.scopes {
		if o, ok := s[name]; ok {
			c.errorAt(pos, "%s is declared on line %d already", name, o.pos.Line)
		}
	}
	if p, ok := c.declared[name]; ok {
		c.errorAt(pos, "%s is declared on line %d already", name, p.Line)
	}
	v := &local{name: name, pos: pos, ty: t}
	c.scopes[len(c.scopes)-1][name] = v
	if c.locals++; c.locals > maxLocals {
		c.errorAt(pos, "more than %d local variables in one function", maxLocals)
	}
	return v
}

func (c *checker) block(b *block) {
	c.scopes = append(c.scopes, map[string]*local{})
	ended := false
	for _, s := range b.stmts {
		if ended {
			c.warnAt(s.at(), "this is never reached")
			ended = false
		}
		c.stmt(s)
		switch s.(type) {
		case *returnStmt, *failStmt, *breakStmt:
			ended = true
		}
	}
	for _, v := range c.scopes[len(c.scopes)-1] {
		if !v.used && !strings.HasPrefix(v.name, "_") {
			c.warnAt(v.pos, "%s is never used", v.name)
		}
	}
	c.scopes = c.scopes[:len(c.scopes)-1]
}

func (c *checker) expectType(x expr, t Type, what string) {
	if got := c.expr(x); got.kind != kNone && !got.compatibleWith(t) {
		c.errorAt(x.at(), "%s is %v, not %v", what, got, t)
	}
}

func (c *checker) stmt(s stmt) {
	switch s := s.(type) {
	case *block:
		c.block(s)
	case *letStmt:
		t := c.expr(s.x)
		if t.kind == kNone && !c.hasErrors() {
			c.errorAt(s.x.at(), "this expression has no value")
		}
		s.v = c.declareLocal(s.name, s.pos, t)
	case *assignStmt:
		c.assign(s)
	case *ifStmt:
		c.expectType(s.cond, tyBool, "the condition")
		c.block(s.then)
		if s.els != nil {
			c.stmt(s.els)
		}
	case *forStmt:
		var t Type
		if s.to != nil {
			c.expectType(s.from, tyInt, "the start of the range")
			c.expectType(s.to, tyInt, "the end of the range")
			t = tyInt
		} else {
			l := c.expr(s.from)
			if l.kind == kList && l.elem != nil {
				t = *l.elem
			} else if l.kind != kNone {
				c.errorAt(s.from.at(), "a loop goes over a range or a list, not over %v", l)
			}
		}
		c.scopes = append(c.scopes, map[string]*local{})
		s.v = c.declareLocal(s.name, s.pos, t)
		s.v.readOnly, s.v.used = true, true
		c.loopDepth++
		c.block(s.body)
		c.loopDepth--
		c.scopes = c.scopes[:len(c.scopes)-1]
	case *matchStmt:
		c.match(s)
	case *returnStmt:
		switch {
		case c.fn == nil && s.x != nil:
			c.errorAt(s.pos, "a hook returns nothing")
			c.expr(s.x)
		case c.fn != nil && s.x == nil && c.fn.result.kind != kNone:
			c.errorAt(s.pos, "%s must return %v", c.fn.name, c.fn.result)
		case c.fn != nil && s.x != nil && c.fn.result.kind == kNone:
			c.errorAt(s.pos, "%s returns nothing", c.fn.name)
		case s.x != nil:
			c.expectType(s.x, c.fn.result, "the returned value")
		}
	case *breakStmt:
		if c.loopDepth == 0 {
			c.errorAt(s.pos, "there is no loop around this")
		}
	case *failStmt:
		c.expectType(s.x, tyString, "the reason")
	case *exprStmt:
		if _, call := s.x.(*callExpr); !call {
			c.errorAt(s.pos, "this does nothing; a statement is a call, an assignment, let, if, for, match, return, break, continue or fail")
		}
		c.expr(s.x)
	}
}

func (c *checker) hasErrors() bool { return len(c.errs) > 0 }

func (c *checker) assign(s *assignStmt) {
	switch to := s.to.(type) {
	case *nameExpr:
		t := c.expr(to)
		switch r := to.ref.(type) {
		case *local:
			if r.readOnly {
				c.errorAt(s.pos, "%s is a loop variable and cannot be assigned", to.name)
			}
		case *varDecl:
			if c.fn != nil || c.hook != nil && c.hook.hook != Every && c.hook.hook != ListChange {
				c.errorAt(s.pos, "a variable is set in every and list_change hooks only; use rate, top or counter between calls")
			}
		case *constDecl:
			c.errorAt(s.pos, "%s is a constant", to.name)
		}
		c.expectType(s.x, t, "the assigned value")
	case *indexExpr:
		t := c.expr(to)
		if inConstant(to.x) {
			c.errorAt(s.pos, "this is part of a constant")
		}
		c.expectType(s.x, t, "the assigned value")
	default:
		c.errorAt(s.pos, "only a name or an element can be assigned")
		c.expr(s.x)
	}
}

func (c *checker) match(s *matchStmt) {
	t := c.expr(s.x)
	switch t.kind {
	case kInt, kString, kDuration, kNone, kBool:
	default:
		c.errorAt(s.x.at(), "match needs an int, bool, duration or string, not %v", t)
	}
	if len(s.arms) == 0 {
		c.errorAt(s.pos, "this match has no arms")
	}
	for i, a := range s.arms {
		if len(a.values) == 0 && i < len(s.arms)-1 {
			c.errorAt(a.pos, "else must be the last arm")
		}
		for j, v := range a.values {
			got := c.expr(v)
			if a.rangeEnds[j] != nil {
				c.expectType(a.rangeEnds[j], t, "the end of the range")
				if t.kind != kInt && t.kind != kDuration && t.kind != kNone {
					c.errorAt(v.at(), "match has no ranges of %v, only of int and duration", t)
				}
			}
			if t.kind == kString && got.kind == kPattern {
				continue
			}
			if got.kind != kNone && !got.compatibleWith(t) {
				c.errorAt(v.at(), "this is %v, the matched value %v", got, t)
			}
		}
		c.block(a.body)
	}
}

func (c *checker) expr(x expr) Type {
	switch x := x.(type) {
	case *litExpr:
		switch x.tok.kind {
		case tInt:
			x.ty = tyInt
		case tFloat:
			x.ty = tyFloat
		case tString:
			x.ty = tyString
		case tDuration:
			x.ty = tyDuration
		case tPattern:
			x.ty = tyPattern
		default:
			x.ty = tyBool
		}
	case *nameExpr:
		x.ty = c.name(x)
	case *fieldExpr:
		x.ty = c.field(x)
	case *unaryExpr:
		t := c.expr(x.x)
		switch {
		case t.kind == kNone:
		case x.op == "not" && t.kind != kBool, x.op == "-" && t.kind != kInt && t.kind != kFloat && t.kind != kDuration:
			c.errorAt(x.pos, "%s cannot be used on %v", x.op, t)
		default:
			x.ty = t
		}
	case *binaryExpr:
		x.ty = c.binary(x)
	case *indexExpr:
		t := c.expr(x.x)
		switch t.kind {
		case kList:
			c.expectType(x.i, tyInt, "the index")
		case kMap:
			c.expectType(x.i, tyString, "the key")
		default:
			if t.kind != kNone {
				c.errorAt(x.pos, "%v has no elements", t)
			}
			c.expr(x.i)
			return x.ty
		}
		if t.elem != nil {
			x.ty = *t.elem
		}
	case *listExpr:
		var e Type
		for i, y := range x.elems {
			t := c.expr(y)
			if i == 0 {
				e = t
			} else if t.kind != kNone && !t.compatibleWith(e) {
				c.errorAt(y.at(), "an element of %v in a list of %v", t, e)
			}
		}
		if len(x.elems) == 0 {
			c.errorAt(x.pos, "an empty list has no type; begin with one element")
		}
		if len(x.elems) > maxListLen {
			c.errorAt(x.pos, "a list of %d elements; the limit is %d", len(x.elems), maxListLen)
		}
		x.ty = listOf(e)
	case *mapExpr:
		var e Type
		for i := range x.keys {
			c.expectType(x.keys[i], tyString, "a key")
			t := c.expr(x.values[i])
			if i == 0 {
				e = t
			} else if t.kind != kNone && !t.compatibleWith(e) {
				c.errorAt(x.values[i].at(), "a value of %v in a map of %v", t, e)
			}
		}
		if len(x.keys) == 0 {
			c.errorAt(x.pos, "an empty map has no type; begin with one element")
		}
		x.ty = mapOf(e)
	case *callExpr:
		x.ty = c.call(x)
	}
	return x.typ()
}

func (c *checker) name(x *nameExpr) Type {
	for i := len(c.scopes) - 1; i >= 0; i-- {
		if v, ok := c.scopes[i][x.name]; ok {
			v.used = true
			x.ref = v
			return v.ty
		}
	}
	if d, ok := c.consts[x.name]; ok {
		if d.ty.kind == kNone && !c.hasErrors() {
			c.errorAt(x.pos, "%s is declared further down, on line %d", x.name, d.pos.Line)
		}
		d.used = true
		x.ref = d
		return d.ty
	}
	if d, ok := c.vars[x.name]; ok {
		d.used = true
		x.ref = d
		return d.ty
	}
	var known []string
	for _, s := range c.scopes {
		known = append(known, slices.Collect(maps.Keys(s))...)
	}
	known = append(append(known, slices.Collect(maps.Keys(c.consts))...), slices.Collect(maps.Keys(c.vars))...)
	slices.Sort(known)
	c.errorAt(x.pos, "%s is not known here%s", x.name, suggest(x.name, known))
	return tyNone
}

func (c *checker) field(x *fieldExpr) Type {
	if c.hook == nil {
		c.errorAt(x.pos, "%s.%s can only be read in a hook; pass it to the function as an argument", x.object, x.name)
		return tyNone
	}
	var names, objects []string
	for _, f := range hookFields[c.hook.hook] {
		if f.object == x.object && f.name == x.name {
			x.slot = f.slot
			return f.ty
		}
		objects = append(objects, f.object)
		if f.object == x.object {
			names = append(names, f.name)
		}
	}
	if len(names) == 0 {
		c.errorAt(x.pos, "%s is not available in %s hooks%s", x.object, c.hook.hook, suggest(x.object, objects))
	} else {
		c.errorAt(x.pos, "%s has no %s%s", x.object, x.name, suggest(x.name, names))
	}
	return tyNone
}

func (c *checker) binary(x *binaryExpr) Type {
	a, b := c.expr(x.x), c.expr(x.y)
	if a.kind == kNone || b.kind == kNone {
		switch x.op {
		case "==", "!=", "<", "<=", ">", ">=", "in", "matches", "and", "or":
			return tyBool
		}
		return tyNone
	}
	same := a.compatibleWith(b)
	num := a.kind == kInt || a.kind == kFloat || a.kind == kDuration
	switch x.op {
	case "and", "or":
		if a.kind == kBool && b.kind == kBool {
			return tyBool
		}
	case "==", "!=":
		if same && (num || a.kind == kBool || a.kind == kString) {
			return tyBool
		}
	case "<", "<=", ">", ">=":
		if same && (num || a.kind == kString) {
			return tyBool
		}
	case "matches":
		if a.kind == kString && b.kind == kPattern {
			return tyBool
		}
	case "in":
		if b.kind == kMap && a.kind == kString || b.kind == kList && b.elem != nil && a.compatibleWith(*b.elem) && (num || a.kind == kString || a.kind == kBool) {
			return tyBool
		}
	case "+":
		if same && (num || a.kind == kString) {
			return a
		}
	case "-":
		if same && num {
			return a
		}
	case "*":
		if same && (a.kind == kInt || a.kind == kFloat) || a.kind == kDuration && b.kind == kInt {
			return a
		}
	case "/":
		if same && (a.kind == kInt || a.kind == kFloat) || a.kind == kDuration && b.kind == kInt {
			return a
		}
		if a.kind == kDuration && b.kind == kDuration {
			return tyInt
		}
	case "%":
		if same && a.kind == kInt {
			return a
		}
	}
	hint := ""
	if a.kind == kInt && b.kind == kFloat || a.kind == kFloat && b.kind == kInt {
		hint = "; float() makes the int one"
	}
	c.errorAt(x.pos, "%v %s %v cannot be%s", a, x.op, b, hint)
	return tyNone
}

func (c *checker) call(x *callExpr) Type {
	if x.object != "" {
		return c.method(x)
	}
	if d, ok := c.fns[x.name]; ok {
		x.fn = d
		d.used = true
		if c.fn != nil {
			c.fn.calls[d] = x.pos
		} else if c.hook != nil {
			c.hook.calls[d] = x.pos
		}
		if len(x.args) != len(d.params) {
			c.errorAt(x.pos, "%s takes %d arguments, not %d", x.name, len(d.params), len(x.args))
		}
		for i, a := range x.args {
			if i < len(d.params) {
				c.expectType(a, d.params[i].ty, d.params[i].name)
			} else {
				c.expr(a)
			}
		}
		return d.result
	}
	known := slices.Collect(maps.Keys(c.fns))
	for _, b := range builtins {
		if b.object != "" {
			continue
		}
		known = append(known, b.name)
		if b.name == x.name {
			return c.builtin(x, b)
		}
	}
	slices.Sort(known)
	c.errorAt(x.pos, "there is no function %s%s", x.name, suggest(x.name, known))
	for _, a := range x.args {
		c.expr(a)
	}
	return tyNone
}

func (c *checker) method(x *callExpr) Type {
	d, ok := c.states[x.object]
	if !ok {
		c.errorAt(x.pos, "there is no rate, top or counter %s%s", x.object, suggest(x.object, slices.Sorted(maps.Keys(c.states))))
		return tyNone
	}
	d.used = true
	x.state = d
	var known []string
	for _, b := range builtins {
		if b.object == d.keyword {
			if b.name == x.name {
				return c.builtin(x, b)
			}
			known = append(known, b.name)
		}
	}
	c.errorAt(x.pos, "a %s has no %s; %s can be", d.keyword, x.name, strings.Join(known, ", "))
	return tyNone
}

func (c *checker) builtin(x *callExpr, b *builtin) Type {
	x.builtinFunc = b
	if len(b.hooks) > 0 && (c.hook == nil || !slices.Contains(b.hooks, c.hook.hook)) {
		c.errorAt(x.pos, "%s can only be used in %s hooks", b.name, strings.Join(b.hooks, " and "))
	}
	if len(x.args) != len(b.args) {
		c.errorAt(x.pos, "%s takes %d arguments, not %d", b.name, len(b.args), len(x.args))
	}
	var types []Type
	for i, a := range x.args {
		t := c.expr(a)
		types = append(types, t)
		if i >= len(b.args) || t.kind == kNone {
			continue
		}
		w := b.args[i]
		if w.kind == kNone || (w.kind == kList || w.kind == kMap) && w.elem == nil && t.kind == w.kind {
			continue
		}
		if !t.compatibleWith(w) {
			c.errorAt(a.at(), "%s takes %v, not %v", b.name, w, t)
		}
	}
	if len(types) != len(b.args) {
		return b.result
	}
	switch b.op {
	case opLen:
		if t := types[0].kind; t != kString && t != kList && t != kMap && t != kNone {
			c.errorAt(x.pos, "%v has no length", types[0])
		}
	case opAppend:
		if l := types[0]; l.elem != nil && types[1].kind != kNone && !types[1].compatibleWith(*l.elem) {
			c.errorAt(x.pos, "an element of %v in a list of %v", types[1], *l.elem)
		}
		if inConstant(x.args[0]) {
			c.errorAt(x.pos, "this is part of a constant")
		}
	case opText, opLog:
		if t := types[len(types)-1]; t.kind >= kPattern {
			c.errorAt(x.pos, "%v has no text", t)
		}
	case opTreatAs, opRefuse:
		if l, ok := x.args[0].(*litExpr); ok {
			if b.op == opTreatAs && !ValidTreatAs(l.tok.i) || b.op == opRefuse && (l.tok.i < 1 || l.tok.i > 127) {
				c.errorAt(l.pos, "%s(%d) cannot be", b.name, l.tok.i)
			}
		}
	}
	return b.result
}

// ValidTreatAs reports whether a cause value is allowed in treat_as: user busy (17), no circuit available (34), temporary failure
// (41) and switching equipment congestion (42).
func ValidTreatAs(cause int64) bool { return cause == 17 || cause == 34 || cause == 41 || cause == 42 }

// checkRecursion reports functions that call themselves, directly or not, and chains of calls longer than maxCallDepth.
func (c *checker) checkRecursion() {
	depth := map[*fnDecl]int{}
	const visiting = -1
	var walk func(d *fnDecl) int
	walk = func(d *fnDecl) int {
		if known, seen := depth[d]; seen {
			if known == visiting {
				c.errorAt(d.pos, "%s calls itself, directly or through other functions; recursion is not allowed", d.name)
				return 0
			}
			return known
		}
		depth[d] = visiting
		deepest := 0
		for _, e := range sortedCalls(d.calls) {
			deepest = max(deepest, walk(e))
		}
		depth[d] = deepest + 1
		if depth[d] == maxCallDepth+1 {
			c.errorAt(d.pos, "a chain of more than %d function calls", maxCallDepth)
		}
		return depth[d]
	}
	for _, d := range c.f.decls {
		if f, ok := d.(*fnDecl); ok {
			walk(f)
		}
	}
}

// sortedCalls returns the called functions in source order.
func sortedCalls(m map[*fnDecl]Pos) []*fnDecl {
	return slices.SortedFunc(maps.Keys(m), func(a, b *fnDecl) int { return a.index - b.index })
}
