package script

import "strings"

// Format lays a program out in the one way: a tab for each open bracket, one space where the language has one, no more than
// one empty line. Comments stay where they are. The error is Errors.
func Format(name, src string) (string, error) {
	if _, errs := parse(name, src); len(errs) > 0 {
		return "", errs
	}
	toks, _ := lex(name, src)
	var b strings.Builder
	var line []token
	depth, empty := 0, 0
	var openBlocks []bool // brackets that are open; true: a block's brace
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

// mapBrace tells that a brace begins a map and not a block: it stands where a value does.
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

// spaced tells whether a space stands before the token at i of a line. open are the brackets open there.
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
		// A call or a declaration has its bracket right behind its name; a group stands apart.
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

// unaryAt tells that the minus at i has no left side.
func isUnaryMinus(line []token, i int) bool {
	if i == 0 {
		return true
	}
	p := line[i-1]
	return p.kind == tName && keywords[p.text] && p.text != "true" && p.text != "false" || p.kind == tPunct && p.text != ")" && p.text != "]" && p.text != "}"
}
