// Package script is the small language of the daemon's hooks. Programs are typed, end within a budget of steps and memory
// whatever they do, and reach nothing but what the hook's event and the declared state give them: no files, sockets or
// clocks. docs/operations/script.md is the page for its readers, docs/design/script.md says why it is its own language.
package script

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// Pos is a place in a file; lines and columns count from 1, columns in octets.
type Pos struct{ Line, Column int }

// Error is one fault of a program.
type Error struct {
	File string
	Pos
	What string
}

func (e *Error) Error() string { return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.What) }

// Errors are all faults found, by place.
type Errors []*Error

func (e Errors) Error() string {
	var b strings.Builder
	for i, x := range e {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(x.Error())
	}
	return b.String()
}

type kind uint8

const (
	tEOF kind = iota
	tNewline
	tName
	tInt
	tFloat
	tString
	tDuration
	tPattern
	tPunct // operators and brackets, by text
	tComment
)

type token struct {
	kind kind
	text string
	pos  Pos
	i    int64   // of ints and durations
	f    float64 // of floats
	s    string  // of strings
}

func (t token) String() string {
	switch t.kind {
	case tEOF:
		return "the end of the file"
	case tNewline:
		return "the end of the line"
	}
	return fmt.Sprintf("%q", t.text)
}

var keywords = map[string]bool{"const": true, "var": true, "rate": true, "top": true, "counter": true, "fn": true, "on": true,
	"every": true, "let": true, "if": true, "else": true, "for": true, "in": true, "match": true, "return": true, "break": true,
	"continue": true, "fail": true, "and": true, "or": true, "not": true, "matches": true, "true": true, "false": true}

// maxSource bounds a file in octets.
const maxSource = 1 << 18

type lexer struct {
	file string
	src  string
	at   int
	line int
	from int // of the line
	errs Errors
	out  []token
}

func (l *lexer) pos() Pos { return Pos{l.line, l.at - l.from + 1} }

func (l *lexer) fail(p Pos, format string, args ...any) {
	if len(l.errs) < maxErrors {
		l.errs = append(l.errs, &Error{l.file, p, fmt.Sprintf(format, args...)})
	}
}

// maxErrors bounds the faults that are told at once.
const maxErrors = 20

func lex(file, src string) ([]token, Errors) {
	l := &lexer{file: file, src: src, line: 1}
	if len(src) > maxSource {
		l.fail(Pos{1, 1}, "the file has %d octets; %d can be", len(src), maxSource)
		return nil, l.errs
	}
	for l.at < len(src) {
		l.one()
	}
	p := l.pos()
	l.out = append(l.out, token{kind: tNewline, pos: p}, token{kind: tEOF, pos: p})
	return l.out, l.errs
}

func letter(c byte) bool { return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func digit(c byte) bool  { return c >= '0' && c <= '9' }

var units = map[string]time.Duration{"ms": time.Millisecond, "s": time.Second, "m": time.Minute, "h": time.Hour}

func (l *lexer) one() {
	c, p, start := l.src[l.at], l.pos(), l.at
	emit := func(t token) {
		t.pos, t.text = p, l.src[start:l.at]
		l.out = append(l.out, t)
	}
	switch {
	case c == '\n':
		l.at++
		emit(token{kind: tNewline})
		l.line, l.from = l.line+1, l.at
	case c == ' ' || c == '\t' || c == '\r':
		l.at++
	case c == '#':
		for l.at < len(l.src) && l.src[l.at] != '\n' {
			l.at++
		}
		emit(token{kind: tComment})
	case letter(c):
		for l.at < len(l.src) && (letter(l.src[l.at]) || digit(l.src[l.at])) {
			l.at++
		}
		emit(token{kind: tName})
	case digit(c) || c == '?':
		l.number(emit)
	case c == '"':
		l.text(emit)
	default:
		for _, op := range []string{"==", "!=", "<=", ">=", "->", ".."} {
			if strings.HasPrefix(l.src[l.at:], op) {
				l.at += 2
				emit(token{kind: tPunct})
				return
			}
		}
		if strings.IndexByte("+-*/%<>=(){}[],.:@", c) >= 0 {
			l.at++
			emit(token{kind: tPunct})
			return
		}
		_, n := utf8.DecodeRuneInString(l.src[l.at:])
		l.at += n
		l.fail(p, "%q means nothing here", l.src[start:l.at])
	}
}

// number reads an int, a float, a duration such as 1.5s, or a pattern of digits such as 82?1*.
func (l *lexer) number(emit func(token)) {
	p, start := l.pos(), l.at
	for l.at < len(l.src) && (digit(l.src[l.at]) || l.src[l.at] == '?') {
		l.at++
	}
	digits := l.src[start:l.at]
	// Digits with a star right behind them and nothing to multiply with behind that are a pattern: 82* but not 82*3.
	star := l.at < len(l.src) && l.src[l.at] == '*' && (l.at+1 == len(l.src) || !digit(l.src[l.at+1]) && !letter(l.src[l.at+1]) && l.src[l.at+1] != '(')
	if star || strings.Contains(digits, "?") {
		if l.at < len(l.src) && l.src[l.at] == '*' {
			l.at++
		}
		if len(digits) > 24 {
			l.fail(p, "a pattern of %d digits; 24 can be", len(digits))
		}
		emit(token{kind: tPattern, s: l.src[start:l.at]})
		return
	}
	whole, frac := digits, ""
	if l.at+1 < len(l.src) && l.src[l.at] == '.' && digit(l.src[l.at+1]) {
		l.at++
		from := l.at
		for l.at < len(l.src) && digit(l.src[l.at]) {
			l.at++
		}
		frac = l.src[from:l.at]
	}
	from := l.at
	for l.at < len(l.src) && letter(l.src[l.at]) {
		l.at++
	}
	unit := l.src[from:l.at]
	if len(whole) > 18 || len(frac) > 18 {
		l.fail(p, "a number of %d digits; 18 can be", len(whole)+len(frac))
		whole, frac = "0", ""
	}
	var n int64
	for _, c := range whole {
		n = n*10 + int64(c-'0')
	}
	f := float64(n)
	scale := 1.0
	for _, c := range frac {
		scale /= 10
		f += float64(c-'0') * scale
	}
	switch d, ok := units[unit]; {
	case ok:
		if f*float64(d) > float64(1<<62) {
			l.fail(p, "a duration beyond all bounds")
			f = 0
		}
		emit(token{kind: tDuration, i: int64(f*float64(d) + 0.5)})
	case unit != "":
		l.fail(p, "%q is no unit of time; ms, s, m and h can be", unit)
		emit(token{kind: tInt, i: n})
	case frac != "":
		emit(token{kind: tFloat, f: f})
	default:
		emit(token{kind: tInt, i: n})
	}
}

func (l *lexer) text(emit func(token)) {
	p := l.pos()
	var b strings.Builder
	for l.at++; ; l.at++ {
		if l.at >= len(l.src) || l.src[l.at] == '\n' {
			l.fail(p, "the string has no end on its line")
			break
		}
		c := l.src[l.at]
		if c == '"' {
			l.at++
			break
		}
		if c == '\\' && l.at+1 < len(l.src) {
			l.at++
			switch e := l.src[l.at]; e {
			case 'n':
				c = '\n'
			case 't':
				c = '\t'
			case '"', '\\':
				c = e
			default:
				l.fail(l.pos(), "\\%c is no escape; \\n, \\t, \\\" and \\\\ can be", e)
				continue
			}
		}
		b.WriteByte(c)
	}
	if !utf8.ValidString(b.String()) {
		l.fail(p, "the string is not UTF-8")
	}
	emit(token{kind: tString, s: strings.ToValidUTF8(b.String(), "?")})
}
