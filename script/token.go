// Package script implements the language of the daemon's hooks. Programs are statically typed and always end within a budget of
// steps and memory. They can access only the hook's event and their declared state: no files, sockets or clocks.
// docs/operations/script.md is the users' guide; docs/design/script.md gives the reasons for a language of its own.
package script

import (
	"fmt"
	"strings"
	"time"
	"unicode/utf8"
)

// Pos is a position in a source file. Lines and columns count from 1, columns in octets.
type Pos struct{ Line, Column int }

// Error is one compilation error or warning.
type Error struct {
	File string
	Pos
	Message string
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", e.File, e.Line, e.Column, e.Message)
}

// Errors are the errors or warnings found in a program.
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
	tPunct // operators and brackets, distinguished by text
	tComment
)

type token struct {
	kind kind
	text string
	pos  Pos
	i    int64   // value of ints and durations
	f    float64 // value of floats
	s    string  // value of strings, text of patterns
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

// maxSourceOctets limits the size of a source file.
const maxSourceOctets = 1 << 18

type lexer struct {
	file      string
	src       string
	offset    int
	line      int
	lineStart int // offset of the current line
	errs      Errors
	tokens    []token
}

func (l *lexer) pos() Pos { return Pos{l.line, l.offset - l.lineStart + 1} }

func (l *lexer) errorAt(p Pos, format string, args ...any) {
	if len(l.errs) < maxErrors {
		l.errs = append(l.errs, &Error{l.file, p, fmt.Sprintf(format, args...)})
	}
}

// maxErrors limits the errors that are reported at once.
const maxErrors = 20

func lex(file, src string) ([]token, Errors) {
	l := &lexer{file: file, src: src, line: 1}
	if len(src) > maxSourceOctets {
		l.errorAt(Pos{1, 1}, "the file has %d octets; the limit is %d", len(src), maxSourceOctets)
		return nil, l.errs
	}
	for l.offset < len(src) {
		l.lexToken()
	}
	p := l.pos()
	l.tokens = append(l.tokens, token{kind: tNewline, pos: p}, token{kind: tEOF, pos: p})
	return l.tokens, l.errs
}

func isLetter(c byte) bool { return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }
func isDigit(c byte) bool  { return c >= '0' && c <= '9' }

// durationUnits are the suffixes of duration literals.
var durationUnits = map[string]time.Duration{"ms": time.Millisecond, "s": time.Second, "m": time.Minute, "h": time.Hour}

// lexToken reads a token, white space or a comment.
func (l *lexer) lexToken() {
	c, p, start := l.src[l.offset], l.pos(), l.offset
	emit := func(t token) {
		t.pos, t.text = p, l.src[start:l.offset]
		l.tokens = append(l.tokens, t)
	}
	switch {
	case c == '\n':
		l.offset++
		emit(token{kind: tNewline})
		l.line, l.lineStart = l.line+1, l.offset
	case c == ' ' || c == '\t' || c == '\r':
		l.offset++
	case c == '#':
		for l.offset < len(l.src) && l.src[l.offset] != '\n' {
			l.offset++
		}
		emit(token{kind: tComment})
	case isLetter(c):
		for l.offset < len(l.src) && (isLetter(l.src[l.offset]) || isDigit(l.src[l.offset])) {
			l.offset++
		}
		emit(token{kind: tName})
	case isDigit(c) || c == '?':
		l.number(emit)
	case c == '"':
		l.text(emit)
	default:
		for _, op := range []string{"==", "!=", "<=", ">=", "->", ".."} {
			if strings.HasPrefix(l.src[l.offset:], op) {
				l.offset += 2
				emit(token{kind: tPunct})
				return
			}
		}
		if strings.IndexByte("+-*/%<>=(){}[],.:@", c) >= 0 {
			l.offset++
			emit(token{kind: tPunct})
			return
		}
		_, n := utf8.DecodeRuneInString(l.src[l.offset:])
		l.offset += n
		l.errorAt(p, "%q means nothing here", l.src[start:l.offset])
	}
}

// number reads a literal: an int, a float, a duration such as 1.5s, or a pattern of digits such as 82?1*.
func (l *lexer) number(emit func(token)) {
	p, start := l.pos(), l.offset
	for l.offset < len(l.src) && (isDigit(l.src[l.offset]) || l.src[l.offset] == '?') {
		l.offset++
	}
	digits := l.src[start:l.offset]
	// Digits followed directly by a star are a pattern unless an operand follows the star directly: 82* is one, 82*3 is a product.
	star := l.offset < len(l.src) && l.src[l.offset] == '*' && (l.offset+1 == len(l.src) || !isDigit(l.src[l.offset+1]) && !isLetter(l.src[l.offset+1]) && l.src[l.offset+1] != '(')
	if star || strings.Contains(digits, "?") {
		if l.offset < len(l.src) && l.src[l.offset] == '*' {
			l.offset++
		}
		if len(digits) > 24 {
			l.errorAt(p, "a pattern of %d digits; the limit is 24", len(digits))
		}
		emit(token{kind: tPattern, s: l.src[start:l.offset]})
		return
	}
	intPart, fracPart := digits, ""
	if l.offset+1 < len(l.src) && l.src[l.offset] == '.' && isDigit(l.src[l.offset+1]) {
		l.offset++
		from := l.offset
		for l.offset < len(l.src) && isDigit(l.src[l.offset]) {
			l.offset++
		}
		fracPart = l.src[from:l.offset]
	}
	from := l.offset
	for l.offset < len(l.src) && isLetter(l.src[l.offset]) {
		l.offset++
	}
	unit := l.src[from:l.offset]
	if len(intPart) > 18 || len(fracPart) > 18 {
		l.errorAt(p, "a number of %d digits; the limit is 18", len(intPart)+len(fracPart))
		intPart, fracPart = "0", ""
	}
	var value int64
	for _, c := range intPart {
		value = value*10 + int64(c-'0')
	}
	f := float64(value)
	scale := 1.0
	for _, c := range fracPart {
		scale /= 10
		f += float64(c-'0') * scale
	}
	switch d, ok := durationUnits[unit]; {
	case ok:
		if f*float64(d) > float64(1<<62) {
			l.errorAt(p, "duration too large")
			f = 0
		}
		emit(token{kind: tDuration, i: int64(f*float64(d) + 0.5)})
	case unit != "":
		l.errorAt(p, "%q is no unit of time; the units are ms, s, m and h", unit)
		emit(token{kind: tInt, i: value})
	case fracPart != "":
		emit(token{kind: tFloat, f: f})
	default:
		emit(token{kind: tInt, i: value})
	}
}

// text reads a string literal.
func (l *lexer) text(emit func(token)) {
	p := l.pos()
	var b strings.Builder
	for l.offset++; ; l.offset++ {
		if l.offset >= len(l.src) || l.src[l.offset] == '\n' {
			l.errorAt(p, "the string has no end on its line")
			break
		}
		c := l.src[l.offset]
		if c == '"' {
			l.offset++
			break
		}
		if c == '\\' && l.offset+1 < len(l.src) {
			l.offset++
			switch e := l.src[l.offset]; e {
			case 'n':
				c = '\n'
			case 't':
				c = '\t'
			case '"', '\\':
				c = e
			default:
				l.errorAt(l.pos(), "\\%c is no escape sequence; those are \\n, \\t, \\\" and \\\\", e)
				continue
			}
		}
		b.WriteByte(c)
	}
	if !utf8.ValidString(b.String()) {
		l.errorAt(p, "the string is not UTF-8")
	}
	emit(token{kind: tString, s: strings.ToValidUTF8(b.String(), "?")})
}
