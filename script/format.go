package script

import "strings"

// Format returns a program in its standard layout: one tab for each open bracket, at most one space between tokens and at most one
// empty line. Line breaks and comments stay in place. The error has type Errors.
func Format(name, src string) (string, error) {
	if _, errs := parse(name, src); len(errs) > 0 {
		return "", errs
	}
	toks, _ := lex(name, src)
	var b strings.Builder
	var line []token
	depth, empty := 0, 0
	var openBlocks []bool // one for each open bracket; true: the brace of a block
	for _, t := range toks {
		if t.kind != tNewline && t.kind != tEOF {
			line = append(line, t)
			continue
		}
		if len(line) == 0 {
			empty++
			continue
		}
		if empty > 0 && b.Len() > 0 && !strings.HasSuffix(b.String(), "{\n") && !isClosingBracket(line[0]) {
			b.WriteByte('\n')
		}
		empty = 0
		indent := depth
		for i := 0; i < len(line) && isClosingBracket(line[i]); i++ {
			indent--
		}
		b.WriteString(strings.Repeat("\t", max(0, indent)))
		for i, t := range line {
			if i > 0 && spaceBefore(line, i, openBlocks) {
				b.WriteByte(' ')
			}
			if t.kind == tComment {
				b.WriteString(strings.TrimRight(t.text, " \t\r"))
			} else {
				b.WriteString(t.text)
			}
			if t.kind == tPunct {
				switch t.text {
				case "{", "(", "[":
					depth++
					openBlocks = append(openBlocks, t.text == "{" && !beginsMap(line, i))
				case "}", ")", "]":
					depth--
					openBlocks = openBlocks[:max(0, len(openBlocks)-1)]
				}
			}
		}
		b.WriteByte('\n')
		line = line[:0]
	}
	return b.String(), nil
}

func isClosingBracket(t token) bool {
	return t.kind == tPunct && (t.text == "}" || t.text == ")" || t.text == "]")
}

// beginsMap reports whether a brace begins a map and not a block: it follows a token after which a value is expected.
func beginsMap(line []token, i int) bool {
	if i == 0 {
		return false
	}
	p := line[i-1]
	if p.kind == tName {
		return p.text == "return" || p.text == "in" || p.text == "and" || p.text == "or"
	}
	return p.kind == tPunct && p.text != ")" && p.text != "]" && p.text != "->" && p.text != "}"
}

// spaceBefore reports whether a space belongs before token i of a line. openBlocks are the brackets open at that token.
func spaceBefore(line []token, i int, openBlocks []bool) bool {
	a, b := line[i-1], line[i]
	if b.kind == tComment {
		return true
	}
	punct := func(t token, any string) bool {
		return t.kind == tPunct && strings.Contains(any, " "+t.text+" ")
	}
	switch {
	case punct(a, " ( [ . @ "), punct(b, " ) ] , . : "):
		return false
	case punct(a, " .. "), punct(b, " .. "):
		return false
	case punct(a, " - ") && isUnaryMinus(line, i-1):
		return false
	case punct(b, " ( "):
		// No space between the name of a call or declaration and its bracket; a space before a grouping bracket.
		return !(a.kind == tName && (!keywords[a.text] || a.text == "rate" || a.text == "top")) && !punct(a, " ] ")
	case punct(b, " [ "):
		return !(a.kind == tName && !keywords[a.text] || punct(a, " ] ) "))
	case punct(a, " { "):
		return !beginsMap(line, i-1)
	case punct(b, " } "):
		return len(openBlocks) == 0 || openBlocks[len(openBlocks)-1]
	}
	return true
}

// isUnaryMinus reports whether the minus at i has no left operand.
func isUnaryMinus(line []token, i int) bool {
	if i == 0 {
		return true
	}
	p := line[i-1]
	return p.kind == tName && keywords[p.text] && p.text != "true" && p.text != "false" || p.kind == tPunct && p.text != ")" && p.text != "]" && p.text != "}"
}
