package script

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// assumedListLen is the length that cost estimates assume for a list of unknown length: the maximum.
const assumedListLen = maxListLen

// computeCosts estimates the worst-case steps of each hook from its source. Loops count as often as their literal bounds or the
// length of their list say.
func (g *generator) computeCosts(order []*fnDecl) {
	known := map[*fnDecl]int{}
	var fn func(d *fnDecl) int
	fn = func(d *fnDecl) int {
		if k, ok := known[d]; ok {
			return k
		}
		known[d] = blockCost(d.body, fn)
		return known[d]
	}
	for i, d := range g.checked.hooks {
		g.p.Hooks[i].Cost = blockCost(d.body, fn)
	}
	_ = order
}

// unbounded is the cost of code whose steps depend on values at run time.
const unbounded = -1

// addCost adds two costs; the sum is unbounded if one of them is.
func addCost(a, b int) int {
	if a == unbounded || b == unbounded || a+b > 1<<40 {
		return unbounded
	}
	return a + b
}

// multiplyCost returns the cost of n runs; it is unbounded if the cost or n is.
func multiplyCost(a, n int) int {
	if a == unbounded || n == unbounded || n > 0 && a > 1<<40/n {
		return unbounded
	}
	return a * n
}

// blockCost estimates the steps of a block; fn gives those of a declared function.
func blockCost(b *block, fn func(*fnDecl) int) int {
	sum := 1
	for _, s := range b.stmts {
		switch s := s.(type) {
		case *block:
			sum = addCost(sum, blockCost(s, fn))
		case *letStmt:
			sum = addCost(sum, exprCost(s.x, fn))
		case *assignStmt:
			sum = addCost(sum, addCost(exprCost(s.to, fn), exprCost(s.x, fn)))
		case *ifStmt:
			worst := blockCost(s.then, fn)
			if s.els != nil {
				if e := blockCost(&block{stmts: []stmt{s.els}}, fn); e == unbounded || worst != unbounded && e > worst {
					worst = e
				}
			}
			sum = addCost(sum, addCost(exprCost(s.cond, fn), worst))
		case *forStmt:
			n := assumedListLen
			if s.to != nil {
				from, ok1 := literalInt(s.from)
				to, ok2 := literalInt(s.to)
				if n = unbounded; ok1 && ok2 {
					n = int(max(0, to-from))
				}
			} else if l, ok := s.from.(*listExpr); ok {
				n = len(l.elems)
			} else if x, ok := s.from.(*nameExpr); ok {
				if d, ok := x.ref.(*constDecl); ok {
					if l, ok := d.x.(*listExpr); ok {
						n = len(l.elems)
					}
				}
			}
			sum = addCost(sum, addCost(exprCost(s.from, fn), multiplyCost(addCost(2, blockCost(s.body, fn)), n)))
		case *matchStmt:
			sum = addCost(sum, exprCost(s.x, fn))
			worst := 0
			for _, a := range s.arms {
				for _, v := range a.values {
					sum = addCost(sum, addCost(1, exprCost(v, fn)))
				}
				if k := blockCost(a.body, fn); k == unbounded || worst != unbounded && k > worst {
					worst = k
				}
			}
			sum = addCost(sum, worst)
		case *returnStmt:
			if s.x != nil {
				sum = addCost(sum, exprCost(s.x, fn))
			}
		case *failStmt:
			sum = addCost(sum, exprCost(s.x, fn))
		case *exprStmt:
			sum = addCost(sum, exprCost(s.x, fn))
		}
		sum = addCost(sum, 2)
	}
	return sum
}

// literalInt returns the value of an int literal or of a constant that is one.
func literalInt(x expr) (int64, bool) {
	switch x := x.(type) {
	case *litExpr:
		return x.tok.i, x.tok.kind == tInt
	case *nameExpr:
		if d, ok := x.ref.(*constDecl); ok {
			return literalInt(d.x)
		}
	}
	return 0, false
}

// exprCost estimates the steps of an expression.
func exprCost(x expr, fn func(*fnDecl) int) int {
	sum := 1
	switch x := x.(type) {
	case *unaryExpr:
		sum = addCost(sum, exprCost(x.x, fn))
	case *binaryExpr:
		sum = addCost(sum, addCost(exprCost(x.x, fn), exprCost(x.y, fn)))
		if x.op == "in" {
			sum = addCost(sum, assumedListLen)
		}
	case *indexExpr:
		sum = addCost(sum, addCost(exprCost(x.x, fn), exprCost(x.i, fn)))
	case *listExpr:
		for _, e := range x.elems {
			sum = addCost(sum, exprCost(e, fn))
		}
	case *mapExpr:
		for i := range x.keys {
			sum = addCost(sum, addCost(exprCost(x.keys[i], fn), exprCost(x.values[i], fn)))
		}
	case *callExpr:
		for _, a := range x.args {
			sum = addCost(sum, exprCost(a, fn))
		}
		if x.fn != nil {
			sum = addCost(sum, fn(x.fn))
		} else {
			sum = addCost(sum, 8)
		}
	}
	return sum
}

// lint returns warnings: unused declarations, and hooks that may exceed their step budget.
func (g *generator) lint(f *file) Errors {
	var out Errors
	warn := func(p Pos, format string, args ...any) {
		out = append(out, &Error{f.name, p, fmt.Sprintf(format, args...)})
	}
	for _, d := range f.decls {
		switch d := d.(type) {
		case *constDecl:
			if !d.used && !strings.HasPrefix(d.name, "_") {
				warn(d.pos, "%s is never used", d.name)
			}
		case *varDecl:
			if !d.used {
				warn(d.pos, "%s is never used", d.name)
			}
		case *stateDecl:
			if !d.used {
				warn(d.pos, "%s is never used", d.name)
			}
		case *fnDecl:
			if !d.used {
				warn(d.pos, "%s is never called", d.name)
			}
		}
	}
	for i, d := range g.checked.hooks {
		switch h := g.p.Hooks[i]; {
		case h.Cost == unbounded:
			warn(d.pos, "how many steps this hook takes depends on values; it is stopped after %d steps", h.Steps)
		case h.Cost > h.Steps:
			warn(d.pos, "this hook may take %d steps; it is stopped after %d", h.Cost, h.Steps)
		}
	}
	slices.SortStableFunc(out, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return out
}
