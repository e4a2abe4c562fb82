package script

import (
	"fmt"
	"time"
)

// maxNesting limits the nesting of blocks and expressions, and so the recursion of the parser and of all later passes.
const maxNesting = 64

type parser struct {
	name  string
	toks  []token
	index int
	errs  Errors
	depth int
	file  *file
}

// abortDecl is the panic value that ends the parsing of a declaration after an error.
type abortDecl struct{}

func parse(name, src string) (*file, Errors) {
	toks, errs := lex(name, src)
	p := &parser{name: name, errs: errs, file: &file{name: name}}
	for _, t := range toks {
		if t.kind == tComment {
			p.file.comments = append(p.file.comments, t)
		} else {
			p.toks = append(p.toks, t)
		}
	}
	if len(p.toks) == 0 {
		return p.file, p.errs
	}
	for p.skipNewlines(); p.peek().kind != tEOF && len(p.errs) < maxErrors; p.skipNewlines() {
		p.withRecovery(func() { p.file.decls = append(p.file.decls, p.decl()) })
	}
	return p.file, p.errs
}

// withRecovery parses one declaration; after an error it skips to the next line that can begin one.
func (p *parser) withRecovery(f func()) {
	defer func() {
		switch r := recover().(type) {
		case nil:
		case abortDecl:
			p.depth = 0
			for p.peek().kind != tEOF {
				if t := p.peek(); t.pos.Column == 1 {
					switch t.text {
					case "const", "var", "rate", "top", "counter", "fn", "on", "every", "@":
						return
					}
				}
				p.index++
			}
		default:
			panic(r)
		}
	}()
	f()
}

func (p *parser) peek() token { return p.toks[min(p.index, len(p.toks)-1)] }

func (p *parser) next() token {
	t := p.peek()
	p.index++
	return t
}

func (p *parser) errorAt(pos Pos, format string, args ...any) {
	p.errs = append(p.errs, &Error{p.name, pos, fmt.Sprintf(format, args...)})
	panic(abortDecl{})
}

func (p *parser) skipNewlines() {
	for p.peek().kind == tNewline {
		p.index++
	}
}

func (p *parser) nextIs(text string) bool {
	t := p.peek()
	return (t.kind == tPunct || t.kind == tName) && t.text == text
}

func (p *parser) accept(text string) bool {
	if p.nextIs(text) {
		p.index++
		return true
	}
	return false
}

func (p *parser) expect(text, where string) token {
	if !p.nextIs(text) {
		p.errorAt(p.peek().pos, "%s instead of %q %s", p.peek(), text, where)
	}
	return p.next()
}

func (p *parser) ident(what string) token {
	t := p.next()
	if t.kind != tName || keywords[t.text] {
		if t.kind == tName {
			p.errorAt(t.pos, "%q is a keyword and cannot be the name of %s", t.text, what)
		}
		p.errorAt(t.pos, "%s instead of the name of %s", t, what)
	}
	return t
}

func (p *parser) endLine(after string) {
	if t := p.peek(); t.kind != tNewline && t.kind != tEOF && !p.nextIs("}") {
		p.errorAt(t.pos, "%s after %s; a line has one statement", t, after)
	}
}

func (p *parser) decl() decl {
	var attrs []attr
	for p.nextIs("@") {
		pos := p.next().pos
		n := p.ident("an attribute")
		p.expect("(", "after an attribute")
		attrs = append(attrs, attr{pos, n.text, p.next()})
		p.expect(")", "after an attribute's value")
		p.skipNewlines()
	}
	t := p.next()
	if len(attrs) > 0 && t.text != "on" && t.text != "every" {
		p.errorAt(attrs[0].pos, "an attribute must be followed by a hook")
	}
	switch t.text {
	case "const":
		n := p.ident("a constant")
		p.expect("=", "after the name")
		d := &constDecl{pos: n.pos, name: n.text, x: p.expr()}
		p.endLine("a constant")
		return d
	case "var":
		n := p.ident("a variable")
		p.expect("=", "after the name; a variable needs an initial value")
		d := &varDecl{pos: n.pos, name: n.text, x: p.expr()}
		p.endLine("a variable")
		return d
	case "rate", "top", "counter":
		return p.state(t)
	case "fn":
		return p.fn()
	case "on":
		n := p.next()
		return &hookDecl{pos: t.pos, attrs: attrs, hook: n.text, body: p.block()}
	case "every":
		n := p.next()
		if n.kind != tDuration {
			p.errorAt(n.pos, "%s instead of a duration after every", n)
		}
		return &hookDecl{pos: t.pos, attrs: attrs, hook: "every", every: time.Duration(n.i), body: p.block()}
	}
	p.errorAt(t.pos, "%s begins no declaration; those begin with const, var, rate, top, counter, fn, on or every", t)
	return nil
}

func (p *parser) state(t token) decl {
	n := p.ident("a " + t.text)
	d := &stateDecl{pos: n.pos, keyword: t.text, name: n.text, keys: 1000, window: 10 * time.Second}
	if t.text != "counter" {
		p.expect("(", "after the name")
		for !p.nextIs(")") {
			o := p.next()
			v := p.next()
			switch {
			case o.text == "keys" && v.kind == tInt:
				if v.i < 1 || v.i > 1<<16 {
					p.errorAt(v.pos, "%d keys; must be 1 to %d", v.i, 1<<16)
				}
				d.keys = int(v.i)
			case o.text == "window" && v.kind == tDuration && t.text == "rate":
				if v.i < int64(time.Second) || v.i > int64(time.Hour) {
					p.errorAt(v.pos, "a window of %v; 1s to 1h can be", time.Duration(v.i))
				}
				d.window = time.Duration(v.i)
			default:
				p.errorAt(o.pos, "%s is nothing that a %s can have; valid are keys N%s", o, t.text, map[bool]string{true: " and window DURATION"}[t.text == "rate"])
			}
			if !p.accept(",") {
				break
			}
		}
		p.expect(")", "at the end")
	}
	p.endLine("a " + t.text)
	return d
}

func (p *parser) typ() Type {
	t := p.next()
	switch t.text {
	case "int":
		return tyInt
	case "float":
		return tyFloat
	case "bool":
		return tyBool
	case "duration":
		return tyDuration
	case "string":
		return tyString
	case "pattern":
		return tyPattern
	case "list", "map":
		p.enter(t.pos)
		defer p.leave()
		p.expect("[", "after "+t.text)
		e := p.typ()
		p.expect("]", "after the type of the elements")
		if t.text == "list" {
			return listOf(e)
		}
		return mapOf(e)
	}
	p.errorAt(t.pos, "%s is not a type; the types are int, float, bool, duration, string, pattern, list[T] and map[T]", t)
	return tyNone
}

func (p *parser) fn() decl {
	n := p.ident("a function")
	d := &fnDecl{pos: n.pos, name: n.text}
	p.expect("(", "after the name")
	for !p.nextIs(")") {
		a := p.ident("a parameter")
		p.expect(":", "after the parameter; its type follows")
		d.params = append(d.params, param{a.pos, a.text, p.typ()})
		if !p.accept(",") {
			break
		}
	}
	p.expect(")", "after the parameters")
	if !p.nextIs("{") {
		d.result = p.typ()
	}
	d.body = p.block()
	return d
}

func (p *parser) enter(pos Pos) {
	if p.depth++; p.depth > maxNesting {
		p.errorAt(pos, "nested deeper than %d", maxNesting)
	}
}

func (p *parser) leave() { p.depth-- }

func (p *parser) block() *block {
	t := p.expect("{", "to begin a block")
	p.enter(t.pos)
	defer p.leave()
	b := &block{pos: t.pos}
	for p.skipNewlines(); !p.nextIs("}"); p.skipNewlines() {
		if p.peek().kind == tEOF {
			p.errorAt(t.pos, "this block has no end")
		}
		b.stmts = append(b.stmts, p.stmt())
	}
	b.end = p.next().pos
	return b
}

func (p *parser) stmt() stmt {
	t := p.peek()
	if t.kind == tName {
		switch t.text {
		case "let":
			p.next()
			n := p.ident("a value")
			p.expect("=", "after the name")
			s := &letStmt{pos: n.pos, name: n.text, x: p.expr()}
			p.endLine("let")
			return s
		case "if":
			return p.ifStmt()
		case "for":
			p.next()
			n := p.ident("the loop's value")
			p.expect("in", "after the loop's value")
			s := &forStmt{pos: n.pos, name: n.text, from: p.expr()}
			if p.accept("..") {
				s.to = p.expr()
			}
			s.body = p.block()
			return s
		case "match":
			return p.matchStmt()
		case "return":
			p.next()
			s := &returnStmt{pos: t.pos}
			if k := p.peek(); k.kind != tNewline && !p.nextIs("}") {
				s.x = p.expr()
			}
			p.endLine("return")
			return s
		case "break", "continue":
			p.next()
			p.endLine(t.text)
			return &breakStmt{t.pos, t.text == "continue"}
		case "fail":
			p.next()
			s := &failStmt{t.pos, p.expr()}
			p.endLine("fail")
			return s
		}
	}
	x := p.expr()
	if p.accept("=") {
		s := &assignStmt{pos: t.pos, to: x, x: p.expr()}
		p.endLine("an assignment")
		return s
	}
	p.endLine("a statement")
	return &exprStmt{t.pos, x}
}

func (p *parser) ifStmt() stmt {
	t := p.expect("if", "")
	p.enter(t.pos)
	defer p.leave()
	s := &ifStmt{pos: t.pos, cond: p.expr()}
	s.then = p.block()
	if p.accept("else") {
		if p.nextIs("if") {
			s.els = p.ifStmt()
		} else {
			s.els = p.block()
		}
	}
	return s
}

func (p *parser) matchStmt() stmt {
	t := p.next()
	s := &matchStmt{pos: t.pos, x: p.expr()}
	p.expect("{", "after the matched value")
	p.enter(t.pos)
	defer p.leave()
	for p.skipNewlines(); !p.nextIs("}"); p.skipNewlines() {
		if p.peek().kind == tEOF {
			p.errorAt(t.pos, "this match has no end")
		}
		a := arm{pos: p.peek().pos}
		if !p.accept("else") {
			for {
				a.values = append(a.values, p.expr())
				var rangeEnd expr
				if p.accept("..") {
					rangeEnd = p.expr()
				}
				a.rangeEnds = append(a.rangeEnds, rangeEnd)
				if !p.accept(",") {
					break
				}
				p.skipNewlines()
			}
		}
		p.expect("->", "after what is matched")
		if p.nextIs("{") {
			a.body = p.block()
		} else {
			st := p.stmt()
			a.body = &block{pos: st.at(), end: st.at(), stmts: []stmt{st}}
		}
		s.arms = append(s.arms, a)
	}
	p.next()
	return s
}

// precedence lists the binary operators by level, the loosest binding first.
var precedence = [][]string{{"or"}, {"and"}, {"==", "!=", "<", "<=", ">", ">=", "in", "matches"}, {"+", "-"}, {"*", "/", "%"}}

func (p *parser) expr() expr { return p.binary(0) }

func (p *parser) binary(level int) expr {
	if level == len(precedence) {
		return p.unary()
	}
	if level == 0 {
		p.enter(p.peek().pos)
		defer p.leave()
	}
	if t := p.peek(); level == 2 && p.accept("not") { // not binds more loosely than comparisons: "not a == b" is "not (a == b)"
		p.enter(t.pos)
		defer p.leave()
		return &unaryExpr{typed: typed{pos: t.pos}, op: "not", x: p.binary(2)}
	}
	x := p.binary(level + 1)
	for n := 0; ; n++ {
		op := ""
		for _, candidate := range precedence[level] {
			if p.nextIs(candidate) {
				op = candidate
			}
		}
		if op == "" {
			return x
		}
		if n == maxNesting {
			p.errorAt(p.peek().pos, "more than %d operators in a row", maxNesting)
		}
		t := p.next()
		p.skipNewlines() // a line can end after an operator
		x = &binaryExpr{typed: typed{pos: t.pos}, op: op, x: x, y: p.binary(level + 1)}
	}
}

func (p *parser) unary() expr {
	if t := p.peek(); p.accept("-") {
		p.enter(t.pos)
		defer p.leave()
		return &unaryExpr{typed: typed{pos: t.pos}, op: "-", x: p.unary()}
	}
	x := p.primary()
	for n := 0; p.nextIs("["); n++ {
		t := p.next()
		if n == maxNesting {
			p.errorAt(t.pos, "more than %d indexes in a row", maxNesting)
		}
		i := p.expr()
		p.expect("]", "after an index")
		x = &indexExpr{typed: typed{pos: t.pos}, x: x, i: i}
	}
	return x
}

func (p *parser) args() []expr {
	var out []expr
	for p.skipNewlines(); !p.nextIs(")"); p.skipNewlines() {
		out = append(out, p.expr())
		p.skipNewlines()
		if !p.accept(",") {
			break
		}
	}
	p.expect(")", "after the arguments")
	return out
}

func (p *parser) primary() expr {
	t := p.next()
	switch t.kind {
	case tInt, tFloat, tString, tDuration, tPattern:
		return &litExpr{typed{pos: t.pos}, t}
	case tName:
		if t.text == "true" || t.text == "false" {
			return &litExpr{typed{pos: t.pos}, t}
		}
		// The names of types are not keywords: int(x) and float(x) are calls of conversion functions.
		if keywords[t.text] {
			p.errorAt(t.pos, "%s is not a value", t)
		}
		if p.accept("(") {
			return &callExpr{typed: typed{pos: t.pos}, name: t.text, args: p.args()}
		}
		if p.accept(".") {
			n := p.next()
			if n.kind != tName {
				p.errorAt(n.pos, "%s instead of a field or method of %s", n, t.text)
			}
			if p.accept("(") {
				return &callExpr{typed: typed{pos: t.pos}, object: t.text, name: n.text, args: p.args()}
			}
			return &fieldExpr{typed: typed{pos: t.pos}, object: t.text, name: n.text}
		}
		return &nameExpr{typed: typed{pos: t.pos}, name: t.text}
	case tPunct:
		switch t.text {
		case "(":
			x := p.expr()
			p.expect(")", "to close the bracket")
			return x
		case "[":
			l := &listExpr{typed: typed{pos: t.pos}}
			for p.skipNewlines(); !p.nextIs("]"); p.skipNewlines() {
				l.elems = append(l.elems, p.expr())
				p.skipNewlines()
				if !p.accept(",") {
					break
				}
			}
			p.expect("]", "at the end of a list")
			return l
		case "{":
			m := &mapExpr{typed: typed{pos: t.pos}}
			for p.skipNewlines(); !p.nextIs("}"); p.skipNewlines() {
				m.keys = append(m.keys, p.expr())
				p.expect(":", "after a key")
				m.values = append(m.values, p.expr())
				p.skipNewlines()
				if !p.accept(",") {
					break
				}
			}
			p.expect("}", "at the end of a map")
			return m
		}
	}
	p.errorAt(t.pos, "%s is not a value", t)
	return nil
}
