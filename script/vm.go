package script

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// ref is a string, or a list or map.
type ref struct {
	s string
	o *object
}

// object is a list or a map: numbers or references, for a map in the order of its keys.
type object struct {
	n    []int64
	r    []ref
	keys []string
	at   map[string]int // of keys, once there are many
	wide bool
}

func (o *object) len() int {
	if o.wide {
		return len(o.r)
	}
	return len(o.n)
}

const fewKeys = 8

func (o *object) find(k string) int {
	if o.at != nil {
		if i, ok := o.at[k]; ok {
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

func bits(f float64) int64  { return int64(math.Float64bits(f)) }
func float(n int64) float64 { return math.Float64frombits(uint64(n)) }

// The ways in which a run ends before its end.
var (
	ErrSteps  = errors.New("out of steps")
	ErrMemory = errors.New("out of memory")
)

// RuntimeError is a run that failed: by fail, an index beyond a list, a missing key, a division by zero or a value that an action
// does not take; or, wrapped, ErrSteps or ErrMemory.
type RuntimeError struct {
	Program string
	Line    int
	What    string
	Err     error
}

func (f *RuntimeError) Error() string { return fmt.Sprintf("%s:%d: %s", f.Program, f.Line, f.What) }

func (f *RuntimeError) Unwrap() error { return f.Err }

// Event is what a hook is told: numbers and strings at the places that hookFields names.
type Event struct {
	N [eventInts]int64
	S [eventStrings]string
}

// Bounds of what a run can ask for.
const (
	maxTags     = 16
	maxTag      = 64
	maxExcludes = 32
	maxLogs     = 16
)

// LogField is a field for a log line.
type LogField struct{ Key, Value string }

// Result is what a hook asked for. The zero Result asks for nothing.
type Result struct {
	Refuse  int // cause value; 0: not refused
	Class   string
	Tenant  string
	Rewrite string
	TreatAs int
	Tags    []string
	Exclude []int
	Logs    []LogField
	Steps   int // used
	Memory  int
}

// Reset makes a Result ready for the next run; it keeps its memory.
func (r *Result) Reset() {
	*r = Result{Tags: r.Tags[:0], Exclude: r.Exclude[:0], Logs: r.Logs[:0]}
}

// VM runs programs, one at a time. It keeps its registers between runs.
type VM struct {
	n      []int64
	r      []ref
	frames []frame
	setN   []change
}

type change struct {
	slot int
	n    int64
	s    string
}

type frame struct {
	fn   *function
	pc   int
	n, r int
}

// NewVM makes a VM.
func NewVM() *VM { return &VM{frames: make([]frame, 0, maxCallDepth+2)} }

// Run runs a hook of a program on an event. st is the program's state, now the time that rates count by. What the hook
// asked for is in res, whose values count only when the error is nil: a failed run asks for nothing. The error is a *Fault.
func (vm *VM) Run(p *Program, hook int, ev *Event, st *State, now time.Duration, res *Result) error {
	h := &p.Hooks[hook]
	fn := p.fns[h.fn]
	if len(vm.n) < p.stackN {
		vm.n = make([]int64, p.stackN)
	}
	if len(vm.r) < p.stackR {
		vm.r = make([]ref, p.stackR)
	}
	vm.frames, vm.setN = vm.frames[:0], vm.setN[:0]
	var vars *varSet
	if st != nil {
		vars = st.vars.Load()
	}
	line, what, err := vm.run(p, fn, ev, st, vars, now, res, h.Steps, h.Memory)
	clear(vm.r[:p.stackR]) // nothing of a call stays for the next
	if err == nil && what == "" {
		if len(vm.setN) > 0 {
			st.setVars(p, vm.setN)
		}
		return nil
	}
	if what == "" {
		what = err.Error()
	}
	return &RuntimeError{p.Name, line, what, err}
}

func truth(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// matches tells whether digits match a pattern: ? is any one digit, a * at the end whatever follows.
func matches(s, pattern string) bool {
	rest := false
	if n := len(pattern); n > 0 && pattern[n-1] == '*' {
		rest, pattern = true, pattern[:n-1]
	}
	if len(s) < len(pattern) || !rest && len(s) != len(pattern) {
		return false
	}
	for i := range len(pattern) {
		if c := pattern[i]; c != s[i] && c != '?' {
			return false
		}
	}
	return true
}

// run is the interpreter. Every instruction costs a step, and what works through a list or string one more for each 16
// elements, so that steps bound the time.
func (vm *VM) run(p *Program, fn *function, ev *Event, st *State, vars *varSet, now time.Duration, res *Result, steps, memory int) (line int, what string, err error) {
	all, allMemory := steps, memory
	pc, baseN, baseR := 0, 0, 0
	code := fn.code
	n, r := vm.n, vm.r
	defer func() { res.Steps, res.Memory = all-steps, allMemory-memory }()
	at := func() int { return int(fn.lines[min(max(pc-1, 0), len(fn.lines)-1)]) }
	for {
		if steps <= 0 {
			return at(), "", ErrSteps
		}
		steps--
		i := &code[pc]
		pc++
		a, b, c := int(i.a), int(i.b), int(i.c)
		switch i.op {
		case opNop:
		case opMoveN:
			n[baseN+a] = n[baseN+b]
		case opMoveR:
			r[baseR+a] = r[baseR+b]
		case opKN:
			n[baseN+a] = p.constN[b]
		case opKR:
			r[baseR+a] = ref{s: p.constS[b]}
		case opGN:
			n[baseN+a] = p.globalN[b]
		case opGR:
			r[baseR+a] = p.globalR[b]
		case opVN:
			n[baseN+a] = vars.n[b]
		case opVR:
			r[baseR+a] = ref{s: vars.s[b]}
		case opSetVN:
			vm.setN = append(vm.setN, change{a, n[baseN+b], ""})
			vars = vars.with(change{a, n[baseN+b], ""})
			if memory -= 16 * len(vars.n); memory < 0 {
				return at(), "", ErrMemory
			}
		case opSetVR:
			s := strings.Clone(r[baseR+b].s)
			vm.setN = append(vm.setN, change{a, 0, s})
			vars = vars.with(change{a, 0, s})
			if memory -= 16*len(vars.n) + len(s); memory < 0 {
				return at(), "", ErrMemory
			}
		case opFieldN:
			n[baseN+a] = ev.N[b]
		case opFieldR:
			r[baseR+a] = ref{s: ev.S[b]}
		case opCopy:
			o, size := copyOf(r[baseR+b].o)
			if memory -= size; memory < 0 {
				return at(), "", ErrMemory
			}
			steps -= size / 64
			r[baseR+a] = ref{o: o}

		case opAddI:
			n[baseN+a] = n[baseN+b] + n[baseN+c]
		case opSubI:
			n[baseN+a] = n[baseN+b] - n[baseN+c]
		case opMulI:
			n[baseN+a] = n[baseN+b] * n[baseN+c]
		case opDivI, opModI:
			d := n[baseN+c]
			if d == 0 {
				return at(), "division by zero", nil
			}
			if d == -1 { // the least int divided by -1 has no place
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
			n[baseN+a] = bits(float(n[baseN+b]) + float(n[baseN+c]))
		case opSubF:
			n[baseN+a] = bits(float(n[baseN+b]) - float(n[baseN+c]))
		case opMulF:
			n[baseN+a] = bits(float(n[baseN+b]) * float(n[baseN+c]))
		case opDivF:
			if float(n[baseN+c]) == 0 {
				return at(), "division by zero", nil
			}
			n[baseN+a] = bits(float(n[baseN+b]) / float(n[baseN+c]))
		case opNegF:
			n[baseN+a] = bits(-float(n[baseN+b]))
		case opNot:
			n[baseN+a] = 1 - n[baseN+b]
		case opCat:
			x, y := r[baseR+b].s, r[baseR+c].s
			size := len(x) + len(y)
			if memory -= size; memory < 0 {
				return at(), "", ErrMemory
			}
			steps -= size / 64
			r[baseR+a] = ref{s: x + y}
		case opLtI:
			n[baseN+a] = truth(n[baseN+b] < n[baseN+c])
		case opLeI:
			n[baseN+a] = truth(n[baseN+b] <= n[baseN+c])
		case opEqN:
			n[baseN+a] = truth(n[baseN+b] == n[baseN+c])
		case opLtF:
			n[baseN+a] = truth(float(n[baseN+b]) < float(n[baseN+c]))
		case opLeF:
			n[baseN+a] = truth(float(n[baseN+b]) <= float(n[baseN+c]))
		case opEqF:
			n[baseN+a] = truth(float(n[baseN+b]) == float(n[baseN+c]))
		case opLtS:
			steps -= min(len(r[baseR+b].s), len(r[baseR+c].s)) / 64
			n[baseN+a] = truth(r[baseR+b].s < r[baseR+c].s)
		case opLeS:
			steps -= min(len(r[baseR+b].s), len(r[baseR+c].s)) / 64
			n[baseN+a] = truth(r[baseR+b].s <= r[baseR+c].s)
		case opEqS:
			steps -= min(len(r[baseR+b].s), len(r[baseR+c].s)) / 64
			n[baseN+a] = truth(r[baseR+b].s == r[baseR+c].s)
		case opMatch:
			n[baseN+a] = truth(matches(r[baseR+b].s, p.patterns[c]))
		case opInN:
			l, x := r[baseR+c].o, n[baseN+b]
			found := int64(0)
			for _, v := range l.n {
				if v == x {
					found = 1
					break
				}
			}
			steps -= len(l.n) / 16
			n[baseN+a] = found
		case opInR:
			l, x := r[baseR+c].o, r[baseR+b].s
			found := int64(0)
			if l.at != nil { // a declared constant of many
				_, ok := l.at[x]
				n[baseN+a] = truth(ok)
				break
			}
			for _, v := range l.r {
				steps -= 1 + min(len(v.s), len(x))/64
				if v.s == x {
					found = 1
					break
				}
			}
			n[baseN+a] = found
		case opInMap:
			n[baseN+a] = truth(r[baseR+c].o.find(r[baseR+b].s) >= 0)

		case opJump:
			pc = a
		case opJumpF:
			if n[baseN+a] == 0 {
				pc = b
			}
		case opJumpT:
			if n[baseN+a] != 0 {
				pc = b
			}
		case opJNLtI:
			if n[baseN+a] >= n[baseN+b] {
				pc = c
			}
		case opJNLeI:
			if n[baseN+a] > n[baseN+b] {
				pc = c
			}
		case opJNEqN:
			if n[baseN+a] != n[baseN+b] {
				pc = c
			}
		case opJEqN:
			if n[baseN+a] == n[baseN+b] {
				pc = c
			}
		case opJNEqS:
			steps -= min(len(r[baseR+a].s), len(r[baseR+b].s)) / 64
			if r[baseR+a].s != r[baseR+b].s {
				pc = c
			}
		case opJEqS:
			steps -= min(len(r[baseR+a].s), len(r[baseR+b].s)) / 64
			if r[baseR+a].s == r[baseR+b].s {
				pc = c
			}
		case opJNMatch:
			if !matches(r[baseR+a].s, p.patterns[b]) {
				pc = c
			}
		case opLoop:
			n[baseN+a]++
			if n[baseN+a] < n[baseN+b] {
				pc = c
			}

		case opListN:
			if memory -= 48 + 8*c; memory < 0 {
				return at(), "", ErrMemory
			}
			steps -= c / 16
			r[baseR+a] = ref{o: &object{n: append([]int64(nil), n[baseN+b:baseN+b+c]...)}}
		case opListR:
			if memory -= 48 + 24*c; memory < 0 {
				return at(), "", ErrMemory
			}
			steps -= c / 16
			r[baseR+a] = ref{o: &object{r: append([]ref(nil), r[baseR+b:baseR+b+c]...), wide: true}}
		case opMapN:
			if memory -= 96; memory < 0 {
				return at(), "", ErrMemory
			}
			r[baseR+a] = ref{o: &object{wide: b == 1}}
		case opIndexN, opIndexR:
			o, k := r[baseR+b].o, n[baseN+c]
			if k < 0 || k >= int64(o.len()) {
				return at(), fmt.Sprintf("index %d of a list of %d", k, o.len()), nil
			}
			if i.op == opIndexN {
				n[baseN+a] = o.n[k]
			} else {
				r[baseR+a] = o.r[k]
			}
		case opSetN, opSetR:
			o, k := r[baseR+a].o, n[baseN+b]
			if k < 0 || k >= int64(o.len()) {
				return at(), fmt.Sprintf("index %d of a list of %d", k, o.len()), nil
			}
			if i.op == opSetN {
				o.n[k] = n[baseN+c]
			} else {
				o.r[k] = r[baseR+c]
			}
		case opMapGetN, opMapGetR:
			o, k := r[baseR+b].o, r[baseR+c].s
			x := o.find(k)
			if x < 0 {
				return at(), fmt.Sprintf("no key %q", clip(k)), nil
			}
			if i.op == opMapGetN {
				n[baseN+a] = o.n[x]
			} else {
				r[baseR+a] = o.r[x]
			}
		case opMapSetN, opMapSetR:
			o, k := r[baseR+a].o, r[baseR+b].s
			x := o.find(k)
			if x < 0 {
				if len(o.keys) >= maxList {
					return at(), fmt.Sprintf("a map of more than %d keys", maxList), nil
				}
				if memory -= 64; memory < 0 {
					return at(), "", ErrMemory
				}
				x = len(o.keys)
				o.keys = append(o.keys, k)
				if o.wide {
					o.r = append(o.r, ref{})
				} else {
					o.n = append(o.n, 0)
				}
				if len(o.keys) > fewKeys {
					if o.at == nil {
						o.at = make(map[string]int, 2*fewKeys)
						for i, k := range o.keys {
							o.at[k] = i
						}
					}
					o.at[k] = x
				}
			}
			if i.op == opMapSetN {
				o.n[x] = n[baseN+c]
			} else {
				o.r[x] = r[baseR+c]
			}
		case opLenS:
			n[baseN+a] = int64(len(r[baseR+b].s))
		case opLenO:
			n[baseN+a] = int64(r[baseR+b].o.len())
		case opNextN:
			if o, k := r[baseR+b].o, n[baseN+a]; k < int64(len(o.n)) {
				n[baseN+c] = o.n[k]
				n[baseN+a]++
				pc++
			}
		case opNextR:
			if o, k := r[baseR+b].o, n[baseN+a]; k < int64(len(o.r)) {
				r[baseR+c] = o.r[k]
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
			return at(), clip(r[baseR+a].s), nil

		case opTextI, opTextF, opTextB, opTextD:
			if memory -= 24; memory < 0 {
				return at(), "", ErrMemory
			}
			v, s := n[baseN+b], ""
			switch i.op {
			case opTextI:
				s = strconv.FormatInt(v, 10)
			case opTextF:
				s = strconv.FormatFloat(float(v), 'g', -1, 64)
			case opTextB:
				s = strconv.FormatBool(v != 0)
			default:
				s = time.Duration(v).String()
			}
			r[baseR+a] = ref{s: s}
		case opFtoI:
			f := float(n[baseN+b])
			if math.IsNaN(f) || f >= 1<<63 || f < -1<<63 {
				return at(), "a float beyond the ints", nil
			}
			n[baseN+a] = int64(f)
		case opItoF:
			n[baseN+a] = bits(float64(n[baseN+b]))
		case opSeconds:
			n[baseN+a] = bits(time.Duration(n[baseN+b]).Seconds())
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
			o := r[baseR+a].o
			if o.len() >= maxList {
				return at(), fmt.Sprintf("a list of more than %d elements", maxList), nil
			}
			if memory -= 24; memory < 0 {
				return at(), "", ErrMemory
			}
			if c == 1 {
				o.r = append(o.r, r[baseR+b])
			} else {
				o.n = append(o.n, n[baseN+b])
			}
		case opKeys:
			o := r[baseR+b].o
			if memory -= 48 + 24*len(o.keys); memory < 0 {
				return at(), "", ErrMemory
			}
			steps -= len(o.keys) / 16
			l := &object{wide: true, r: make([]ref, len(o.keys))}
			for i, k := range o.keys {
				l.r[i].s = k
			}
			r[baseR+a] = ref{o: l}

		case opRefuse:
			v := n[baseN+a]
			if v < 1 || v > 127 {
				return at(), fmt.Sprintf("refuse(%d): cause values are 1 to 127", v), nil
			}
			res.Refuse = int(v)
		case opSetClass:
			res.Class = r[baseR+a].s
		case opSetTenant:
			res.Tenant = r[baseR+a].s
		case opRewrite:
			s := r[baseR+a].s
			if len(s) < 1 || len(s) > 24 || strings.Trim(s, "0123456789") != "" {
				return at(), fmt.Sprintf("rewrite(%q): 1 to 24 digits are wanted", clip(s)), nil
			}
			res.Rewrite = s
		case opExclude:
			if len(res.Exclude) >= maxExcludes {
				return at(), fmt.Sprintf("more than %d exchanges excluded", maxExcludes), nil
			}
			res.Exclude = append(res.Exclude, int(n[baseN+a]))
		case opTreat:
			if v := n[baseN+a]; !Treatable(v) {
				return at(), fmt.Sprintf("treat_as(%d): 17, 34, 41 and 42 can be", v), nil
			} else {
				res.TreatAs = int(v)
			}
		case opTag:
			s := r[baseR+a].s
			if len(res.Tags) >= maxTags || len(s) > maxTag {
				return at(), fmt.Sprintf("more than %d tags, or one of more than %d octets", maxTags, maxTag), nil
			}
			res.Tags = append(res.Tags, s)
		case opLog:
			k, v := r[baseR+a].s, r[baseR+b].s
			if len(res.Logs) >= maxLogs || len(k) > maxTag || len(v) > 256 {
				return at(), fmt.Sprintf("more than %d log fields, or one of more than 256 octets", maxLogs), nil
			}
			res.Logs = append(res.Logs, LogField{k, v})
		case opRateAdd:
			steps -= 4
			st.rates[a].add(r[baseR+b].s, now)
		case opRateGet:
			steps -= 4
			n[baseN+a] = bits(st.rates[c].perSecond(r[baseR+b].s, now))
		case opTopAdd:
			steps -= 8
			st.tops[a].Add(r[baseR+b].s)
		case opTopCount:
			steps -= 4
			n[baseN+a] = st.tops[c].Count(r[baseR+b].s)
		case opTopMost:
			want := int(min(max(n[baseN+b], 0), 100))
			steps -= 64 + st.tops[c].size/4
			if memory -= 48 + 64*want; memory < 0 {
				return at(), "", ErrMemory
			}
			l := &object{wide: true}
			for _, k := range st.tops[c].Most(want) {
				l.r = append(l.r, ref{s: k})
			}
			r[baseR+a] = ref{o: l}
		case opCountAdd:
			st.counts[a].Add(n[baseN+b])
		case opCountGet:
			n[baseN+a] = st.counts[b].Load()
		default:
			return at(), fmt.Sprintf("unknown instruction %d", i.op), nil
		}
	}
}

func clip(s string) string {
	if len(s) > 200 {
		return s[:200] + "..."
	}
	return s
}

// copyOf copies a list or map with all that it holds, and tells the octets.
func copyOf(o *object) (*object, int) {
	c := &object{wide: o.wide, n: append([]int64(nil), o.n...), keys: append([]string(nil), o.keys...)}
	size := 48 + 8*len(o.n) + 24*len(o.r) + 24*len(o.keys)
	if o.r != nil {
		c.r = make([]ref, len(o.r))
		for i, x := range o.r {
			c.r[i] = x
			if x.o != nil {
				var more int
				c.r[i].o, more = copyOf(x.o)
				size += more
			}
		}
	}
	if o.at != nil && o.keys != nil { // the index of a constant list is not that of a list that may change
		c.at = make(map[string]int, len(o.at))
		for k, v := range o.at {
			c.at[k] = v
		}
	}
	return c, size
}
