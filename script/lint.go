package script

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// manyTimes is how often a loop over a list of unknown length is counted for Cost.
const manyTimes = maxList

// costs computes what each hook costs at the worst by its text: loops by their literal bounds or the longest list.
func (g *gen) costs(order []*fnDecl) {
	known := map[*fnDecl]int{}
	var fn func(d *fnDecl) int
	fn = func(d *fnDecl) int {
		if k, ok := known[d]; ok {
			return k
		}
		known[d] = cost(d.body, fn)
		return known[d]
	}
	for i, d := range g.c.hooks {
		g.p.Hooks[i].Cost = cost(d.body, fn)
	}
	_ = order
}

const unbounded = -1

// add adds costs; unbounded stays so.
func add(a, b int) int {
	if a == unbounded || b == unbounded || a+b > 1<<40 {
		return unbounded
	}
	return a + b
}

func times(a, n int) int {
	if a == unbounded || n == unbounded || n > 0 && a > 1<<40/n {
		return unbounded
	}
	return a * n
}

func cost(b *block, fn func(*fnDecl) int) int {
	sum := 1
	for _, s := range b.stmts {
		switch s := s.(type) {
		case *block:
			sum = add(sum, cost(s, fn))
		case *letStmt:
			sum = add(sum, costOf(s.x, fn))
		case *assignStmt:
			sum = add(sum, add(costOf(s.to, fn), costOf(s.x, fn)))
		case *ifStmt:
			most := cost(s.then, fn)
			if s.els != nil {
				if e := cost(&block{stmts: []stmt{s.els}}, fn); e == unbounded || most != unbounded && e > most {
					most = e
				}
			}
			sum = add(sum, add(costOf(s.cond, fn), most))
		case *forStmt:
			n := manyTimes
			if s.to != nil {
				from, ok1 := literal(s.from)
				to, ok2 := literal(s.to)
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
			sum = add(sum, add(costOf(s.from, fn), times(add(2, cost(s.body, fn)), n)))
		case *matchStmt:
			sum = add(sum, costOf(s.x, fn))
			most := 0
			for _, a := range s.arms {
				for _, v := range a.values {
					sum = add(sum, add(1, costOf(v, fn)))
				}
				if k := cost(a.body, fn); k == unbounded || most != unbounded && k > most {
					most = k
				}
			}
			sum = add(sum, most)
		case *returnStmt:
			if s.x != nil {
				sum = add(sum, costOf(s.x, fn))
			}
		case *failStmt:
			sum = add(sum, costOf(s.x, fn))
		case *exprStmt:
			sum = add(sum, costOf(s.x, fn))
		}
		sum = add(sum, 2)
	}
	return sum
}

func literal(x expr) (int64, bool) {
	switch x := x.(type) {
	case *litExpr:
		return x.tok.i, x.tok.kind == tInt
	case *nameExpr:
		if d, ok := x.ref.(*constDecl); ok {
			return literal(d.x)
		}
	}
	return 0, false
}

func costOf(x expr, fn func(*fnDecl) int) int {
	sum := 1
	switch x := x.(type) {
	case *unaryExpr:
		sum = add(sum, costOf(x.x, fn))
	case *binaryExpr:
		sum = add(sum, add(costOf(x.x, fn), costOf(x.y, fn)))
		if x.op == "in" {
			sum = add(sum, manyTimes)
		}
	case *indexExpr:
		sum = add(sum, add(costOf(x.x, fn), costOf(x.i, fn)))
	case *listExpr:
		for _, e := range x.elems {
			sum = add(sum, costOf(e, fn))
		}
	case *mapExpr:
		for i := range x.keys {
			sum = add(sum, add(costOf(x.keys[i], fn), costOf(x.values[i], fn)))
		}
	case *callExpr:
		for _, a := range x.args {
			sum = add(sum, costOf(a, fn))
		}
		if x.fn != nil {
			sum = add(sum, fn(x.fn))
		} else {
			sum = add(sum, 8)
		}
	}
	return sum
}

// lint finds what is allowed and most likely wrong: declared and never used, and hooks that may need more than their steps.
func (g *gen) lint(f *file) Errors {
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
	for i, d := range g.c.hooks {
		switch h := g.p.Hooks[i]; {
		case h.Cost == unbounded:
			warn(d.pos, "how many steps this hook takes depends on values; it is stopped after %d", h.Steps)
		case h.Cost > h.Steps:
			warn(d.pos, "this hook may take %d steps; it is stopped after %d", h.Cost, h.Steps)
		}
	}
	slices.SortStableFunc(out, func(a, b *Error) int { return cmp.Compare(a.Line, b.Line) })
	return out
}
