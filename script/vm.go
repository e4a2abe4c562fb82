package script

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// ref is a value of the reference bank: a string, or a list or map.
type ref struct {
	s   string
	obj *object
}

// object is a list or a map. Its values are numbers (n) or references (r); those of a map are in the order of its keys.
type object struct {
	n         []int64
	r         []ref
	keys      []string
	positions map[string]int // index of each key, or of each element of a constant list of strings; nil up to maxLinearKeys
	holdsRefs bool
}

func (o *object) len() int {
	if o.holdsRefs {
		return len(o.r)
	}
	return len(o.n)
}

// maxLinearKeys is the number of keys or strings up to which a search is linear.
const maxLinearKeys = 8

func (o *object) find(k string) int {
	if o.positions != nil {
		if i, ok := o.positions[k]; ok {
			return i
		}
		return -1
	}
	for i, x := range o.keys {
		if x == k {
			return i
		}
	}
	return -1
}

func floatToBits(f float64) int64 { return int64(math.Float64bits(f)) }
func bitsToFloat(n int64) float64 { return math.Float64frombits(uint64(n)) }

// Errors of a run that has used up its budget.
var (
	ErrSteps  = errors.New("out of steps")
	ErrMemory = errors.New("out of memory")
)

// RuntimeError reports a failed run: a fail statement, an index out of range, a missing key, a division by zero, or a value that
// an action does not accept. Err is ErrSteps or ErrMemory if the budget is used up, else nil.
type RuntimeError struct {
	Program string
	Line    int
	Message string
	Err     error
}

func (e *RuntimeError) Error() string { return fmt.Sprintf("%s:%d: %s", e.Program, e.Line, e.Message) }

func (e *RuntimeError) Unwrap() error { return e.Err }

// Event is the input of a hook: numbers and strings, at the slots that hookFields assigns.
type Event struct {
	N [eventInts]int64 // ints, bools (0 or 1) and durations in nanoseconds
	S [eventStrings]string
}

// Limits of a Result; lengths are in octets.
const (
	maxTags      = 16
	maxTagOctets = 64
	maxExcludes  = 32
	maxLogFields = 16
)

// LogField is a field that a hook adds to the log line.
type LogField struct{ Key, Value string }

// Result holds the actions that a hook requested, and what the run used. The zero Result requests nothing.
type Result struct {
	Refuse  int // cause value of Q.850; 0: not refused
	Class   string
	Tenant  string
	Rewrite string
	TreatAs int
	Tags    []string
	Exclude []int
	Logs    []LogField
	Steps   int // steps used
	Memory  int // octets used
}

// Reset clears a Result for the next run and keeps its slices' capacity.
func (r *Result) Reset() {
	*r = Result{Tags: r.Tags[:0], Exclude: r.Exclude[:0], Logs: r.Logs[:0]}
}

// VM runs programs, one at a time. It reuses its registers between runs.
type VM struct {
	n         []int64
	r         []ref
	frames    []frame
	varWrites []varWrite
}

// varWrite is a pending assignment to a variable.
type varWrite struct {
	slot int
	n    int64
	s    string
}

// frame is the caller's position and register windows.
type frame struct {
	fn   *function
	pc   int
	n, r int
}

// NewVM returns a VM.
func NewVM() *VM { return &VM{frames: make([]frame, 0, maxCallDepth+2)} }

// Run runs a hook of a program on an event. state is the program's state, now the time for rates. The requested actions are in
// res, which is valid only if the error is nil. The error is a *RuntimeError. Variables are written only if the run succeeds.
func (vm *VM) Run(p *Program, hookIndex int, event *Event, state *State, now time.Duration, res *Result) error {
	hook := &p.Hooks[hookIndex]
	fn := p.fns[hook.fn]
	if len(vm.n) < p.stackN {
		vm.n = make([]int64, p.stackN)
	}
	if len(vm.r) < p.stackR {
		vm.r = make([]ref, p.stackR)
	}
	vm.frames, vm.varWrites = vm.frames[:0], vm.varWrites[:0]
	var vars *varSet
	if state != nil {
		vars = state.vars.Load()
	}
	line, message, err := vm.run(p, fn, event, state, vars, now, res, hook.Steps, hook.Memory)
	clear(vm.r[:p.stackR]) // drop references to this run's strings and lists
	if err == nil && message == "" {
		if len(vm.varWrites) > 0 {
			state.commitVars(p, vm.varWrites)
		}
		return nil
	}
	if message == "" {
		message = err.Error()
	}
	return &RuntimeError{p.Name, line, message, err}
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// matchesPattern reports whether digits match a pattern: ? is any one digit, * at the end any digits or none.
func matchesPattern(s, pattern string) bool {
	prefixOnly := false
	if n := len(pattern); n > 0 && pattern[n-1] == '*' {
		prefixOnly, pattern = true, pattern[:n-1]
	}
	if len(s) < len(pattern) || !prefixOnly && len(s) != len(pattern) {
		return false
	}
	for i := range len(pattern) {
		if c := pattern[i]; c != s[i] && c != '?' {
			return false
		}
	}
	return true
}

// run is the interpreter. Every instruction costs one step; work on lists, strings, rates and tops costs further steps by its
// size, such as one for 16 elements or 64 octets, so that the step budget bounds the time. New values cost memory, in octets
// roughly 48 for a list, 8 for a number and 24 for a reference. The run has succeeded if message is empty and err is nil.
func (vm *VM) run(p *Program, fn *function, event *Event, state *State, vars *varSet, now time.Duration, res *Result, stepsLeft, memoryLeft int) (line int, message string, err error) {
	stepBudget, memoryBudget := stepsLeft, memoryLeft
	pc, baseN, baseR := 0, 0, 0
	code := fn.code
	n, r := vm.n, vm.r
	defer func() { res.Steps, res.Memory = stepBudget-stepsLeft, memoryBudget-memoryLeft }()
	currentLine := func() int { return int(fn.lines[min(max(pc-1, 0), len(fn.lines)-1)]) }
	for {
		if stepsLeft <= 0 {
			return currentLine(), "", ErrSteps
		}
		stepsLeft--
		i := &code[pc]
		pc++
		a, b, c := int(i.a), int(i.b), int(i.c)
		switch i.op {
		case opNop:
		case opMoveN:
			n[baseN+a] = n[baseN+b]
		case opMoveR:
			r[baseR+a] = r[baseR+b]
		case opConstN:
			n[baseN+a] = p.constN[b]
		case opConstR:
			r[baseR+a] = ref{s: p.constS[b]}
		case opGlobalN:
			n[baseN+a] = p.globalN[b]
		case opGlobalR:
			r[baseR+a] = p.globalR[b]
		case opVarN:
			n[baseN+a] = vars.n[b]
		case opVarR:
			r[baseR+a] = ref{s: vars.s[b]}
		case opSetVarN:
			vm.varWrites = append(vm.varWrites, varWrite{a, n[baseN+b], ""})
			vars = vars.withWrite(varWrite{a, n[baseN+b], ""})
			if memoryLeft -= 16 * len(vars.n); memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
		case opSetVarR:
			s := strings.Clone(r[baseR+b].s)
			vm.varWrites = append(vm.varWrites, varWrite{a, 0, s})
			vars = vars.withWrite(varWrite{a, 0, s})
			if memoryLeft -= 16*len(vars.n) + len(s); memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
		case opFieldN:
			n[baseN+a] = event.N[b]
		case opFieldR:
			r[baseR+a] = ref{s: event.S[b]}
		case opCopy:
			obj, size := deepCopy(r[baseR+b].obj)
			if memoryLeft -= size; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			stepsLeft -= size / 64
			r[baseR+a] = ref{obj: obj}

		case opAddI:
			n[baseN+a] = n[baseN+b] + n[baseN+c]
		case opSubI:
			n[baseN+a] = n[baseN+b] - n[baseN+c]
		case opMulI:
			n[baseN+a] = n[baseN+b] * n[baseN+c]
		case opDivI, opModI:
			d := n[baseN+c]
			if d == 0 {
				return currentLine(), "division by zero", nil
			}
			if d == -1 { // the least int divided by -1 overflows: negate, which wraps around
				n[baseN+a] = -n[baseN+b]
				if i.op == opModI {
					n[baseN+a] = 0
				}
			} else if i.op == opDivI {
				n[baseN+a] = n[baseN+b] / d
			} else {
				n[baseN+a] = n[baseN+b] % d
			}
		case opNegI:
			n[baseN+a] = -n[baseN+b]
		case opAddF:
			n[baseN+a] = floatToBits(bitsToFloat(n[baseN+b]) + bitsToFloat(n[baseN+c]))
		case opSubF:
			n[baseN+a] = floatToBits(bitsToFloat(n[baseN+b]) - bitsToFloat(n[baseN+c]))
		case opMulF:
			n[baseN+a] = floatToBits(bitsToFloat(n[baseN+b]) * bitsToFloat(n[baseN+c]))
		case opDivF:
			if bitsToFloat(n[baseN+c]) == 0 {
				return currentLine(), "division by zero", nil
			}
			n[baseN+a] = floatToBits(bitsToFloat(n[baseN+b]) / bitsToFloat(n[baseN+c]))
		case opNegF:
			n[baseN+a] = floatToBits(-bitsToFloat(n[baseN+b]))
		case opNot:
			n[baseN+a] = 1 - n[baseN+b]
		case opConcat:
			x, y := r[baseR+b].s, r[baseR+c].s
			size := len(x) + len(y)
			if memoryLeft -= size; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			stepsLeft -= size / 64
			r[baseR+a] = ref{s: x + y}
		case opLtI:
			n[baseN+a] = boolToInt(n[baseN+b] < n[baseN+c])
		case opLeI:
			n[baseN+a] = boolToInt(n[baseN+b] <= n[baseN+c])
		case opEqN:
			n[baseN+a] = boolToInt(n[baseN+b] == n[baseN+c])
		case opLtF:
			n[baseN+a] = boolToInt(bitsToFloat(n[baseN+b]) < bitsToFloat(n[baseN+c]))
		case opLeF:
			n[baseN+a] = boolToInt(bitsToFloat(n[baseN+b]) <= bitsToFloat(n[baseN+c]))
		case opEqF:
			n[baseN+a] = boolToInt(bitsToFloat(n[baseN+b]) == bitsToFloat(n[baseN+c]))
		case opLtS:
			stepsLeft -= min(len(r[baseR+b].s), len(r[baseR+c].s)) / 64
			n[baseN+a] = boolToInt(r[baseR+b].s < r[baseR+c].s)
		case opLeS:
			stepsLeft -= min(len(r[baseR+b].s), len(r[baseR+c].s)) / 64
			n[baseN+a] = boolToInt(r[baseR+b].s <= r[baseR+c].s)
		case opEqS:
			stepsLeft -= min(len(r[baseR+b].s), len(r[baseR+c].s)) / 64
			n[baseN+a] = boolToInt(r[baseR+b].s == r[baseR+c].s)
		case opMatch:
			n[baseN+a] = boolToInt(matchesPattern(r[baseR+b].s, p.patterns[c]))
		case opInN:
			l, x := r[baseR+c].obj, n[baseN+b]
			found := int64(0)
			for _, v := range l.n {
				if v == x {
					found = 1
					break
				}
			}
			stepsLeft -= len(l.n) / 16
			n[baseN+a] = found
		case opInR:
			l, x := r[baseR+c].obj, r[baseR+b].s
			found := int64(0)
			if l.positions != nil { // a declared constant list has an index
				_, ok := l.positions[x]
				n[baseN+a] = boolToInt(ok)
				break
			}
			for _, v := range l.r {
				stepsLeft -= 1 + min(len(v.s), len(x))/64
				if v.s == x {
					found = 1
					break
				}
			}
			n[baseN+a] = found
		case opInMap:
			n[baseN+a] = boolToInt(r[baseR+c].obj.find(r[baseR+b].s) >= 0)

		case opJump:
			pc = a
		case opJumpFalse:
			if n[baseN+a] == 0 {
				pc = b
			}
		case opJumpTrue:
			if n[baseN+a] != 0 {
				pc = b
			}
		case opJumpNotLtI:
			if n[baseN+a] >= n[baseN+b] {
				pc = c
			}
		case opJumpNotLeI:
			if n[baseN+a] > n[baseN+b] {
				pc = c
			}
		case opJumpNotEqN:
			if n[baseN+a] != n[baseN+b] {
				pc = c
			}
		case opJumpEqN:
			if n[baseN+a] == n[baseN+b] {
				pc = c
			}
		case opJumpNotEqS:
			stepsLeft -= min(len(r[baseR+a].s), len(r[baseR+b].s)) / 64
			if r[baseR+a].s != r[baseR+b].s {
				pc = c
			}
		case opJumpEqS:
			stepsLeft -= min(len(r[baseR+a].s), len(r[baseR+b].s)) / 64
			if r[baseR+a].s == r[baseR+b].s {
				pc = c
			}
		case opJumpNotMatch:
			if !matchesPattern(r[baseR+a].s, p.patterns[b]) {
				pc = c
			}
		case opLoop:
			n[baseN+a]++
			if n[baseN+a] < n[baseN+b] {
				pc = c
			}

		case opListN:
			if memoryLeft -= 48 + 8*c; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			stepsLeft -= c / 16
			r[baseR+a] = ref{obj: &object{n: append([]int64(nil), n[baseN+b:baseN+b+c]...)}}
		case opListR:
			if memoryLeft -= 48 + 24*c; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			stepsLeft -= c / 16
			r[baseR+a] = ref{obj: &object{r: append([]ref(nil), r[baseR+b:baseR+b+c]...), holdsRefs: true}}
		case opNewMap:
			if memoryLeft -= 96; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			r[baseR+a] = ref{obj: &object{holdsRefs: b == 1}}
		case opIndexN, opIndexR:
			obj, k := r[baseR+b].obj, n[baseN+c]
			if k < 0 || k >= int64(obj.len()) {
				return currentLine(), fmt.Sprintf("index %d of a list of %d", k, obj.len()), nil
			}
			if i.op == opIndexN {
				n[baseN+a] = obj.n[k]
			} else {
				r[baseR+a] = obj.r[k]
			}
		case opSetIndexN, opSetIndexR:
			obj, k := r[baseR+a].obj, n[baseN+b]
			if k < 0 || k >= int64(obj.len()) {
				return currentLine(), fmt.Sprintf("index %d of a list of %d", k, obj.len()), nil
			}
			if i.op == opSetIndexN {
				obj.n[k] = n[baseN+c]
			} else {
				obj.r[k] = r[baseR+c]
			}
		case opMapGetN, opMapGetR:
			obj, k := r[baseR+b].obj, r[baseR+c].s
			x := obj.find(k)
			if x < 0 {
				return currentLine(), fmt.Sprintf("no key %q", truncate(k)), nil
			}
			if i.op == opMapGetN {
				n[baseN+a] = obj.n[x]
			} else {
				r[baseR+a] = obj.r[x]
			}
		case opMapSetN, opMapSetR:
			obj, k := r[baseR+a].obj, r[baseR+b].s
			x := obj.find(k)
			if x < 0 {
				if len(obj.keys) >= maxListLen {
					return currentLine(), fmt.Sprintf("a map of more than %d keys", maxListLen), nil
				}
				if memoryLeft -= 64; memoryLeft < 0 {
					return currentLine(), "", ErrMemory
				}
				x = len(obj.keys)
				obj.keys = append(obj.keys, k)
				if obj.holdsRefs {
					obj.r = append(obj.r, ref{})
				} else {
					obj.n = append(obj.n, 0)
				}
				if len(obj.keys) > maxLinearKeys {
					if obj.positions == nil {
						obj.positions = make(map[string]int, 2*maxLinearKeys)
						for i, k := range obj.keys {
							obj.positions[k] = i
						}
					}
					obj.positions[k] = x
				}
			}
			if i.op == opMapSetN {
				obj.n[x] = n[baseN+c]
			} else {
				obj.r[x] = r[baseR+c]
			}
		case opLenS:
			n[baseN+a] = int64(len(r[baseR+b].s))
		case opLenObject:
			n[baseN+a] = int64(r[baseR+b].obj.len())
		case opNextN:
			if obj, k := r[baseR+b].obj, n[baseN+a]; k < int64(len(obj.n)) {
				n[baseN+c] = obj.n[k]
				n[baseN+a]++
				pc++
			}
		case opNextR:
			if obj, k := r[baseR+b].obj, n[baseN+a]; k < int64(len(obj.r)) {
				r[baseR+c] = obj.r[k]
				n[baseN+a]++
				pc++
			}

		case opCall:
			vm.frames = append(vm.frames, frame{fn, pc, baseN, baseR})
			fn = p.fns[a]
			code, pc = fn.code, 0
			baseN, baseR = baseN+b, baseR+c
		case opReturn:
			if len(vm.frames) == 0 {
				return 0, "", nil
			}
			f := vm.frames[len(vm.frames)-1]
			vm.frames = vm.frames[:len(vm.frames)-1]
			fn, pc, baseN, baseR = f.fn, f.pc, f.n, f.r
			code = fn.code
		case opFail:
			return currentLine(), truncate(r[baseR+a].s), nil

		case opIntToText, opFloatToText, opBoolToText, opDurationToText:
			if memoryLeft -= 24; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			v, s := n[baseN+b], ""
			switch i.op {
			case opIntToText:
				s = strconv.FormatInt(v, 10)
			case opFloatToText:
				s = strconv.FormatFloat(bitsToFloat(v), 'g', -1, 64)
			case opBoolToText:
				s = strconv.FormatBool(v != 0)
			default:
				s = time.Duration(v).String()
			}
			r[baseR+a] = ref{s: s}
		case opFloatToInt:
			f := bitsToFloat(n[baseN+b])
			if math.IsNaN(f) || f >= 1<<63 || f < -1<<63 {
				return currentLine(), "float out of the range of int", nil
			}
			n[baseN+a] = int64(f)
		case opIntToFloat:
			n[baseN+a] = floatToBits(float64(n[baseN+b]))
		case opSeconds:
			n[baseN+a] = floatToBits(time.Duration(n[baseN+b]).Seconds())
		case opMinI:
			n[baseN+a] = min(n[baseN+b], n[baseN+c])
		case opMaxI:
			n[baseN+a] = max(n[baseN+b], n[baseN+c])
		case opSubstr:
			s := r[baseR+b].s
			from := min(max(n[baseN+c], 0), int64(len(s)))
			to := min(max(n[baseN+c+1], from), int64(len(s)))
			r[baseR+a] = ref{s: s[from:to]}
		case opAppend:
			obj := r[baseR+a].obj
			if obj.len() >= maxListLen {
				return currentLine(), fmt.Sprintf("a list of more than %d elements", maxListLen), nil
			}
			if memoryLeft -= 24; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			if c == 1 {
				obj.r = append(obj.r, r[baseR+b])
			} else {
				obj.n = append(obj.n, n[baseN+b])
			}
		case opKeys:
			obj := r[baseR+b].obj
			if memoryLeft -= 48 + 24*len(obj.keys); memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			stepsLeft -= len(obj.keys) / 16
			l := &object{holdsRefs: true, r: make([]ref, len(obj.keys))}
			for i, k := range obj.keys {
				l.r[i].s = k
			}
			r[baseR+a] = ref{obj: l}

		case opRefuse:
			v := n[baseN+a]
			if v < 1 || v > 127 {
				return currentLine(), fmt.Sprintf("refuse(%d): cause values are 1 to 127", v), nil
			}
			res.Refuse = int(v)
		case opSetClass:
			res.Class = r[baseR+a].s
		case opSetTenant:
			res.Tenant = r[baseR+a].s
		case opRewrite:
			s := r[baseR+a].s
			if len(s) < 1 || len(s) > 24 || strings.Trim(s, "0123456789") != "" {
				return currentLine(), fmt.Sprintf("rewrite(%q): 1 to 24 digits are wanted", truncate(s)), nil
			}
			res.Rewrite = s
		case opExclude:
			if len(res.Exclude) >= maxExcludes {
				return currentLine(), fmt.Sprintf("more than %d exchanges excluded", maxExcludes), nil
			}
			res.Exclude = append(res.Exclude, int(n[baseN+a]))
		case opTreatAs:
			if v := n[baseN+a]; !ValidTreatAs(v) {
				return currentLine(), fmt.Sprintf("treat_as(%d): cause must be 17, 34, 41 or 42", v), nil
			} else {
				res.TreatAs = int(v)
			}
		case opTag:
			s := r[baseR+a].s
			if len(res.Tags) >= maxTags || len(s) > maxTagOctets {
				return currentLine(), fmt.Sprintf("more than %d tags, or one of more than %d octets", maxTags, maxTagOctets), nil
			}
			res.Tags = append(res.Tags, s)
		case opLog:
			k, v := r[baseR+a].s, r[baseR+b].s
			if len(res.Logs) >= maxLogFields || len(k) > maxTagOctets || len(v) > 256 {
				return currentLine(), fmt.Sprintf("more than %d log fields, or one of more than 256 octets", maxLogFields), nil
			}
			res.Logs = append(res.Logs, LogField{k, v})
		case opRateAdd:
			stepsLeft -= 4
			state.rates[a].add(r[baseR+b].s, now)
		case opRateGet:
			stepsLeft -= 4
			n[baseN+a] = floatToBits(state.rates[c].perSecond(r[baseR+b].s, now))
		case opTopAdd:
			stepsLeft -= 8
			state.tops[a].Add(r[baseR+b].s)
		case opTopCount:
			stepsLeft -= 4
			n[baseN+a] = state.tops[c].Count(r[baseR+b].s)
		case opTopMost:
			want := int(min(max(n[baseN+b], 0), 100))
			stepsLeft -= 64 + state.tops[c].size/4
			if memoryLeft -= 48 + 64*want; memoryLeft < 0 {
				return currentLine(), "", ErrMemory
			}
			l := &object{holdsRefs: true}
			for _, k := range state.tops[c].Most(want) {
				l.r = append(l.r, ref{s: k})
			}
			r[baseR+a] = ref{obj: l}
		case opCounterAdd:
			state.counters[a].Add(n[baseN+b])
		case opCounterGet:
			n[baseN+a] = state.counters[b].Load()
		default:
			return currentLine(), fmt.Sprintf("unknown instruction %d", i.op), nil
		}
	}
}

// truncate shortens a string for an error message.
func truncate(s string) string {
	if len(s) > 200 {
		return s[:200] + "..."
	}
	return s
}

// deepCopy copies a list or map with all nested ones and returns the size of the copy in octets.
func deepCopy(obj *object) (*object, int) {
	clone := &object{holdsRefs: obj.holdsRefs, n: append([]int64(nil), obj.n...), keys: append([]string(nil), obj.keys...)}
	size := 48 + 8*len(obj.n) + 24*len(obj.r) + 24*len(obj.keys)
	if obj.r != nil {
		clone.r = make([]ref, len(obj.r))
		for i, x := range obj.r {
			clone.r[i] = x
			if x.obj != nil {
				var nestedSize int
				clone.r[i].obj, nestedSize = deepCopy(x.obj)
				size += nestedSize
			}
		}
	}
	if obj.positions != nil && obj.keys != nil { // a map's index; that of a constant list is dropped, as the copy can change
		clone.positions = make(map[string]int, len(obj.positions))
		for k, v := range obj.positions {
			clone.positions[k] = v
		}
	}
	return clone, size
}
