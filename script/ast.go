package script

import "time"

// Type is a type of the language.
type Type struct {
	kind typeKind
	elem *Type // element type of lists and maps; nil: any
}

type typeKind uint8

const (
	kNone typeKind = iota // no value, or an expression with a reported error
	kInt
	kFloat
	kBool
	kDuration
	kString
	kPattern
	kList
	kMap
)

var (
	tyNone     = Type{}
	tyInt      = Type{kind: kInt}
	tyFloat    = Type{kind: kFloat}
	tyBool     = Type{kind: kBool}
	tyDuration = Type{kind: kDuration}
	tyString   = Type{kind: kString}
	tyPattern  = Type{kind: kPattern}
)

func listOf(t Type) Type { return Type{kList, &t} }
func mapOf(t Type) Type  { return Type{kMap, &t} }

func (t Type) String() string {
	switch t.kind {
	case kList:
		return "list[" + t.elem.String() + "]"
	case kMap:
		return "map[" + t.elem.String() + "]"
	}
	return [...]string{"nothing", "int", "float", "bool", "duration", "string", "pattern"}[t.kind]
}

// compatibleWith reports whether two types are equal; a list or map without an element type equals all of its kind.
func (t Type) compatibleWith(u Type) bool {
	if t.kind != u.kind {
		return false
	}
	return t.elem == nil || u.elem == nil || t.elem.compatibleWith(*u.elem)
}

// isRef reports whether values of the type are kept in the bank of references.
func (t Type) isRef() bool { return t.kind >= kString }

// file is the syntax tree of a source file.
type file struct {
	name     string
	decls    []decl
	comments []token
}

type decl interface{ at() Pos }

type (
	constDecl struct {
		pos  Pos
		name string
		x    expr
		used bool
		ty   Type
	}
	varDecl struct {
		pos  Pos
		name string
		x    expr
		ty   Type
		used bool
		slot int
	}
	// stateDecl declares a rate, a top or a counter.
	stateDecl struct {
		pos     Pos
		keyword string
		name    string
		window  time.Duration
		keys    int
		used    bool
		slot    int
	}
	param struct {
		pos  Pos
		name string
		ty   Type
	}
	fnDecl struct {
		pos    Pos
		name   string
		params []param
		result Type
		body   *block
		used   bool
		index  int
		calls  map[*fnDecl]Pos
		locals []*local // one for each parameter
	}
	attr struct {
		pos   Pos
		name  string
		value token
	}
	hookDecl struct {
		pos             Pos
		attrs           []attr
		hook            string // one of HookNames
		every           time.Duration
		body            *block
		calls           map[*fnDecl]Pos
		refuseOnFailure bool
		steps           int
		memory          int
	}
)

func (d *constDecl) at() Pos { return d.pos }
func (d *varDecl) at() Pos   { return d.pos }
func (d *stateDecl) at() Pos { return d.pos }
func (d *fnDecl) at() Pos    { return d.pos }
func (d *hookDecl) at() Pos  { return d.pos }

type block struct {
	pos, end Pos
	stmts    []stmt
}

type stmt interface{ at() Pos }

type (
	letStmt struct {
		pos  Pos
		name string
		x    expr
		v    *local
	}
	assignStmt struct {
		pos Pos
		to  expr // a name or an index
		x   expr
	}
	ifStmt struct {
		pos  Pos
		cond expr
		then *block
		els  stmt // *block, *ifStmt or nil
	}
	forStmt struct {
		pos      Pos
		name     string
		from, to expr // to is nil unless the loop is over a range
		body     *block
		v        *local
	}
	arm struct {
		pos       Pos
		values    []expr // empty for else
		rangeEnds []expr // for each value the end of its range, or nil
		body      *block
	}
	matchStmt struct {
		pos  Pos
		x    expr
		arms []arm
	}
	returnStmt struct {
		pos Pos
		x   expr
	}
	breakStmt struct {
		pos        Pos
		isContinue bool // it is a continue statement
	}
	failStmt struct {
		pos Pos
		x   expr
	}
	exprStmt struct {
		pos Pos
		x   expr
	}
)

func (s *block) at() Pos      { return s.pos }
func (s *letStmt) at() Pos    { return s.pos }
func (s *assignStmt) at() Pos { return s.pos }
func (s *ifStmt) at() Pos     { return s.pos }
func (s *forStmt) at() Pos    { return s.pos }
func (s *matchStmt) at() Pos  { return s.pos }
func (s *returnStmt) at() Pos { return s.pos }
func (s *breakStmt) at() Pos  { return s.pos }
func (s *failStmt) at() Pos   { return s.pos }
func (s *exprStmt) at() Pos   { return s.pos }

type expr interface {
	at() Pos
	typ() Type
}

// typed is the part common to all expressions: position and type. The checker sets the type.
type typed struct {
	pos Pos
	ty  Type
}

func (t *typed) at() Pos   { return t.pos }
func (t *typed) typ() Type { return t.ty }

type (
	litExpr struct {
		typed
		tok token
	}
	nameExpr struct {
		typed
		name string
		ref  any // *local, *constDecl or *varDecl; set by the checker
	}
	fieldExpr struct {
		typed
		object, name string
		slot         int
	}
	unaryExpr struct {
		typed
		op string
		x  expr
	}
	binaryExpr struct {
		typed
		op   string
		x, y expr
	}
	indexExpr struct {
		typed
		x, i expr
	}
	listExpr struct {
		typed
		elems []expr
	}
	mapExpr struct {
		typed
		keys, values []expr
	}
	callExpr struct {
		typed
		object      string // rate, top or counter of a method call, else empty
		name        string
		args        []expr
		fn          *fnDecl
		builtinFunc *builtin
		state       *stateDecl
	}
)

// local is a local variable or parameter of a function or hook.
type local struct {
	name     string
	pos      Pos
	ty       Type
	used     bool
	readOnly bool // a loop variable, which cannot be assigned
	reg      int
}
