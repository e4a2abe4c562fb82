package script

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// init fixes the seed, so that every run draws the same cases. For others: go test -args -rapid.seed=N -rapid.checks=N.
func init() { flag.Set("rapid.seed", "1") }

// mustCompile compiles a program that has no errors.
func mustCompile(t testing.TB, src string) *Program {
	t.Helper()
	p, err := Compile("t.ug", src)
	if err != nil {
		t.Fatalf("%v\n%s", err, src)
	}
	return p
}

// callEvent is an event that every hook can run on: a call, and the fields of attempt_end and final.
var callEvent = Event{N: [eventInts]int64{10, 0, 102, 1, int64(20 * time.Millisecond), 47, 103, 1, int64(time.Second)},
	S: [eventStrings]string{"820112345", "9012000", "map-tile", "city", "stands"}}

// runOnCallEvent compiles a program and runs its first hook on callEvent.
func runOnCallEvent(t testing.TB, src string) (Result, error) {
	t.Helper()
	p := mustCompile(t, src)
	var res Result
	err := NewVM().Run(p, 0, &callEvent, p.NewState(nil, nil), time.Hour, &res)
	return res, err
}

// Guards against wrong code for an operator, conversion, index or short-circuit: each expression is logged as text and compared.
func TestExpressionValues(t *testing.T) {
	for x, want := range map[string]string{
		"1 + 2 * 3 - 4 / 2 % 3":                    "5",
		"-(3 - 5)":                                 "2",
		"2.5 * 2.0 + float(1)":                     "6",
		"7 / 2":                                    "3",
		"1s + 500ms * 3":                           "2.5s",
		"10s / 3s":                                 "3",
		`"a" + "b" + text(1)`:                      "ab1",
		"true and not false":                       "true",
		"1 < 2 or 1 / 0 == 1":                      "true",
		"1 > 2 and 1 / 0 == 1":                     "false",
		`"abc" < "abd"`:                            "true",
		"3 in [1, 2, 3]":                           "true",
		`"x" in ["y"]`:                             "false",
		`"k" in {"k": 1}`:                          "true",
		`{"a": 5, "b": 6}["b"]`:                    "6",
		"[[1, 2], [3]][0][1]":                      "2",
		"len([1, 2]) + len(\"abc\")":               "5",
		"call.called matches 82?1*":                "true",
		"call.called matches 8202*":                "false",
		`substr(call.called, 4, 99)`:               "12345",
		"min(3, max(1, 2))":                        "2",
		"int(2.9)":                                 "2",
		"seconds(1500ms)":                          "1.5",
		"1.5 >= 1.5":                               "true",
		"1ms != 1ms":                               "false",
		"not (1 == 2)":                             "true",
		"len(keys({\"a\": 1, \"b\": 2}))":          "2",
		"call.class == \"map-tile\"":               "true",
		"9223372036 * 1000000000 / -1 < 0":         "true",
		"result.after > 500ms or result.via == 99": "false",
	} {
		res, err := runOnCallEvent(t, fmt.Sprintf("on final {\n\tlog(\"x\", text(%s))\n}", x))
		if err != nil || len(res.Logs) != 1 || res.Logs[0].Value != want {
			t.Errorf("%s is %v, %v; want %s", x, res.Logs, err, want)
		}
	}
}

// Guards against wrong code for statements and function calls, and against a constant list that a program can modify: changes to
// the copies c, d and e must not show in codes and nested.
func TestStatementsAndFunctions(t *testing.T) {
	res, err := runOnCallEvent(t, `
const weights = {"a": 1, "b": 2}
const codes = [101, 102]
const nested = [[1, 2], [3]]

fn stormy(n: string) bool {
	match n {
		8201*, 8203* -> return true
		else -> return false
	}
}

fn sum(l: list[int]) int {
	let total = 0
	for x in l {
		if x == 3 {
			continue
		}
		if x > 100 {
			break
		}
		total = total + x
	}
	return total
}

fn swap(a: bool, b: bool) bool {
	return b and a
}

on final {
	let l = [1, 2, 3, 4]
	append(l, 1000)
	append(l, 5)
	log("sum", sum(l))
	l[0] = 10
	log("first", l[0])
	let m = {"x": 1}
	m["y"] = 2
	for i in 0..20 {
		m["k" + text(i)] = i
	}
	log("len", len(m))
	log("k7", m["k7"])
	log("storm", stormy(call.called))
	let c = codes
	c[0] = 7
	let d = nested[0]
	d[0] = 9
	for e in nested {
		e[0] = 8
	}
	log("codes", codes[0] + nested[0][0])
	match result.cause {
		0 -> log("m", "zero")
		16, 40..50 -> log("m", "some")
		else -> log("m", "none")
	}
	let x = false
	x = true and not x
	log("x", x)
	log("swap", swap(true, false))
	if call.attempts > 5 { tag("many") } else if call.attempts == 1 { tag("one") } else { tag("few") }
	log("w", weights["b"])
}
`[1:])
	if err != nil {
		t.Fatal(err)
	}
	want := "[{sum 7} {first 10} {len 22} {k7 7} {storm true} {codes 102} {m some} {x true} {swap false} {w 2}]"
	if got := fmt.Sprint(res.Logs); got != want || fmt.Sprint(res.Tags) != "[one]" {
		t.Errorf("%s %v\nwant %s", got, res.Tags, want)
	}
}

// Guards against invalid programs that compile, and errors without position or without the suggestion for a misspelt name.
func TestCompileErrorsGivePositionAndSuggestion(t *testing.T) {
	for src, want := range map[string]string{
		"on arival {\n}":                                                   `t.ug:1:1: "arival" is no hook; arrival?`,
		"on arrival {\n\trefus(1)\n}":                                      "t.ug:2:2: there is no function refus; refuse?",
		"on arrival {\n\ttag(call.caled)\n}":                               "t.ug:2:6: call has no caled; called?",
		"on arrival {\n\tlet x = 1 + 2.0\n}":                               "t.ug:2:12: int + float cannot be; float() makes the int one",
		"on arrival {\n\tlet x = 1 + \"a\"\n}":                             "int + string cannot be",
		"on arrival {\n\tif 1 {\n\t}\n}":                                   "t.ug:2:5: the condition is int, not bool",
		"on arrival {\n\texclude(1)\n}":                                    "exclude can only be used in route hooks",
		"on arrival {\n\trefuse(200)\n}":                                   "refuse(200) cannot be",
		"on attempt_end {\n\ttreat_as(16)\n}":                              "treat_as(16) cannot be",
		"fn f(a: int) int {\n\treturn f(a)\n}":                             "f calls itself",
		"fn f() int {\n\treturn g()\n}\nfn g() int {\n\treturn f()\n}":     "calls itself",
		"fn f() int {\n\tif true {\n\t\treturn 1\n\t}\n}":                  "f can end here without its int",
		"var x = 1\non arrival {\n\tx = 2\n}":                              "a variable is set in every and list_change hooks only",
		"const x = [1]\nevery 5s {\n\tx[0] = 2\n}":                         "part of a constant",
		"const x = [[1]]\nevery 5s {\n\tappend(x[0], 2)\n}":                "part of a constant",
		"const x = 1\nconst x = 2":                                         "t.ug:2:7: x is declared on line 1 already",
		"on arrival {\n\tbreak\n}":                                         "there is no loop around this",
		"on arrival {\n\t1 + 2\n}":                                         "this does nothing",
		"on arrival {\n\tlet x = []\n}":                                    "an empty list has no type",
		"on arrival {\n\tlet x = y\n}":                                     "y is not known here",
		"on arrival {\n\ttag(\"abc)\n}":                                    "t.ug:2:6: the string has no end on its line",
		"on arrival {\n":                                                   "this block has no end",
		"arrival {\n}":                                                     `"arrival" begins no declaration`,
		"every 10ms {\n}":                                                  "1s is the least",
		"@steps(0) on arrival {\n}":                                        "@steps(0) cannot be",
		"@failure(refuse)\non final {\n}":                                  "only an arrival can be refused",
		"rate r(window 10s, kees 5)":                                       `"kees" is nothing that a rate can have`,
		"rate r(window 1ms)":                                               "a window of 1ms; 1s to 1h can be",
		"on arrival {\n\tr.add(call.called)\n}":                            "there is no rate, top or counter r",
		"counter c\non arrival {\n\tc.most(1)\n}":                          "a counter has no most; add, value can be",
		"on arrival {\n\tlet x = 5q\n}":                                    `"q" is no unit of time`,
		"on arrival {\n\tlet x = 1 $ 2\n}":                                 `"$" means nothing here`,
		"const x = 1 / 0":                                                  "division by zero",
		"const a = b\nconst b = 1":                                         "a",
		"on arrival {\n\tmatch call.called {\n\t\t1 -> tag(\"x\")\n\t}\n}": "this is int, the matched value string",
		"on arrival {\n\tlet call2 = " + strings.Repeat("(", 100) + "1" + strings.Repeat(")", 100) + "\n}": "nested deeper than 64",
	} {
		_, err := Compile("t.ug", src)
		var e Errors
		if !errors.As(err, &e) || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\nerror %v\nwant %s", src, err, want)
		}
	}
}

// Guards against a parser or checker that stops at the first error.
func TestAllCompileErrorsAreReportedAtOnce(t *testing.T) {
	_, err := Compile("t.ug", "on arival {\n}\n\nfn f( {\n}\n\non arrival {\n\trefus(1)\n\tlet a = b\n}\n")
	var e Errors
	if !errors.As(err, &e) || len(e) < 1 {
		t.Fatal(err)
	}
	_, err = Compile("t.ug", "on arrival {\n\trefus(1)\n\tlet _a = b\n\texclude(1)\n}\n")
	if !errors.As(err, &e) || len(e) != 3 {
		t.Errorf("%v", err)
	}
}

// Guards against missing warnings: unused declarations, unreachable code, and hooks that may exceed their step budget.
func TestLinterWarnings(t *testing.T) {
	p := mustCompile(t, "const c = 1\nvar v = 1\ncounter k\nfn f() {\n}\non arrival {\n\tlet x = 1\n\treturn\n\ttag(\"a\")\n}\n@steps(10)\non final {\n\tfor i in 0..100 {\n\t\ttag(text(i))\n\t}\n}\non route {\n\tfor i in 0..call.to {\n\t\texclude(i)\n\t}\n}\n")
	all := p.Warnings.Error()
	for _, want := range []string{"c is never used", "v is never used", "k is never used", "f is never called", "x is never used", "never reached", "may take", "depends on values"} {
		if !strings.Contains(all, want) {
			t.Errorf("missing warning: %s\ngot:\n%s", want, all)
		}
	}
}

// Guards against hooks that use more steps or memory than their budget, and runtime errors without cause or line.
func TestFailingRunsEndWithinTheirBudgets(t *testing.T) {
	for name, c := range map[string]struct {
		src     string
		wantErr error
		message string
	}{
		"too long a loop":           {"on arrival {\n\tfor i in 0..1000000000000 {\n\t}\n}", ErrSteps, ""},
		"nested loops":              {"on arrival {\n\tfor i in 0..1000000 {\n\t\tfor j in 0..1000000 {\n\t\t\tlet _x = i * j\n\t\t}\n\t}\n}", ErrSteps, ""},
		"string doubled in a loop":  {"on arrival {\n\tlet s = \"xxxxxxxxxxxxxxxx\"\n\tfor _i in 0..100 {\n\t\ts = s + s\n\t}\n}", ErrMemory, ""},
		"list rebuilt in a loop":    {"@steps(1000000)\non arrival {\n\tlet l = [\"x\"]\n\tfor _i in 0..1000000 {\n\t\tl = [l[0] + \"xxxxxxxxxxxxxxxx\"]\n\t}\n}", ErrMemory, ""},
		"list too long":             {"@steps(1000000) @memory(1000000)\non arrival {\n\tlet l = [1]\n\tfor _i in 0..1000000 {\n\t\tappend(l, 1)\n\t}\n}", nil, "more than 1024"},
		"constant copied in a loop": {"const c = [[1, 2, 3], [1, 2, 3]]\non arrival {\n\tfor _i in 0..100000 {\n\t\tlet _d = c\n\t}\n}", ErrMemory, ""},
		"fail statement":            {"on arrival {\n\tif true {\n\t\tfail \"out of \" + \"sorts\"\n\t}\n}", nil, "t.ug:3: out of sorts"},
		"index out of range":        {"on arrival {\n\tlet l = [1]\n\tlet _x = l[call.category]\n}", nil, "t.ug:3: index 10 of a list of 1"},
		"missing key":               {"on arrival {\n\tlet m = {\"a\": 1}\n\ttag(text(m[call.called]))\n}", nil, "no key"},
		"division by zero":          {"on arrival {\n\tlet _x = 1 / (call.attempts - 1)\n}", nil, "division by zero"},
		"invalid cause":             {"on arrival {\n\trefuse(call.to * 100)\n}", nil, "cause values are 1 to 127"},
		"invalid number":            {"on arrival {\n\trewrite(\"12a\")\n}", nil, "1 to 24 digits are wanted"},
		"too many tags":             {"on arrival {\n\tfor i in 0..1000 {\n\t\ttag(text(i))\n\t}\n}", nil, "more than 16 tags"},
		"too many exclusions":       {"on route {\n\tfor i in 0..1000 {\n\t\texclude(i)\n\t}\n}", nil, "more than 32"},
	} {
		res, err := runOnCallEvent(t, c.src)
		var f *RuntimeError
		if !errors.As(err, &f) || c.wantErr != nil && !errors.Is(err, c.wantErr) || !strings.Contains(err.Error(), c.message) {
			t.Errorf("%s: %v", name, err)
		}
		if res.Memory > maxMemoryOctets+1<<16 || res.Steps > maxSteps+1000 {
			t.Errorf("%s: used %d steps and %d octets", name, res.Steps, res.Memory)
		}
	}
}

// Guards against backtracking in patterns, which would let one instruction take unbounded time: a match costs one pass.
func TestPatternMatchingIsLinear(t *testing.T) {
	if !matchesPattern("82"+strings.Repeat("1", 22), strings.Repeat("?", 23)+"*") || matchesPattern("82", "???*") || !matchesPattern("", "*") || !matchesPattern("12", "12*") || matchesPattern("123", "12") {
		t.Error("wrong result of a pattern match")
	}
	res, err := runOnCallEvent(t, "on final {\n\tlet n = 0\n\tfor _i in 0..100 {\n\t\tif call.called matches ????????????????????????* {\n\t\t\tn = n + 1\n\t\t}\n\t}\n\tlog(\"n\", n)\n}")
	if err != nil || res.Steps > 700 {
		t.Errorf("%d steps, %v", res.Steps, err)
	}
}

// Guards against a failed run that leaves some variables written: an every hook writes them all at its end or, if it fails, none.
// A new version of the program keeps a variable of the same name only if its type uses the same register bank.
func TestVariablesAreWrittenByASuccessfulRunOnly(t *testing.T) {
	p := mustCompile(t, "var storm = false\nvar word = \"calm\"\nevery 5s {\n\tstorm = system.waiting > 5\n\tword = \"storm\"\n\tif system.open > 99 {\n\t\tfail \"too many\"\n\t}\n}\non arrival {\n\tif storm {\n\t\ttag(word)\n\t}\n}")
	st, vm := p.NewState(nil, nil), NewVM()
	tags := func() string {
		var res Result
		if err := vm.Run(p, 1, &callEvent, st, 0, &res); err != nil {
			t.Fatal(err)
		}
		return strings.Join(res.Tags, ",")
	}
	runEvery := func(waiting, open int64) error {
		var res Result
		return vm.Run(p, 0, &Event{N: [eventInts]int64{waiting, open}}, st, 0, &res)
	}
	if tags() != "" {
		t.Error("a tag before the first run of the every hook")
	}
	if runEvery(6, 100) == nil || tags() != "" {
		t.Error("the every hook did not fail, or its failed run has written a variable")
	}
	if runEvery(6, 1) != nil || tags() != "storm" {
		t.Error("variables not written by a successful run")
	}
	q := mustCompile(t, "var word = \"new\"\nvar storm = 5\non arrival {\n\ttag(word)\n\ttag(text(storm))\n}")
	var res Result
	if err := vm.Run(q, 0, &callEvent, q.NewState(st, p), 0, &res); err != nil || fmt.Sprint(res.Tags) != "[storm 1]" {
		t.Errorf("tags from the new version's variables: %v, error %v", res.Tags, err)
	}
}

// Guards against the eviction of a busy key by many rare ones: the table must keep the key with the highest rate.
func TestRateOfABusyKeyAmongManyKeys(t *testing.T) {
	r := NewRates(10*time.Second, 64)
	now := time.Hour
	for i := range 300 {
		r.add("hot", now+time.Duration(i)*33*time.Millisecond)
		r.add(fmt.Sprint("cold", i), now+time.Duration(i)*33*time.Millisecond) // far more keys than entries
	}
	now += 300 * 33 * time.Millisecond
	if v := r.perSecond("hot", now); v < 25 || v > 36 {
		t.Errorf("rate %.1f/s, want about 30/s", v)
	}
	if v := r.perSecond("hot", now+30*time.Second); v != 0 {
		t.Errorf("rate %.1f/s 30 s after the last event, want 0", v)
	}
	if v := r.perSecond("never", now); v != 0 {
		t.Errorf("rate %.1f/s of a key without events, want 0", v)
	}
}

// Guards against a rate that drops at the end of a fixed window: events count in full up to it, then in proportion.
func TestRateCoversTheWholeWindow(t *testing.T) {
	r := NewRates(10*time.Second, 64)
	for range 50 {
		r.add("x", time.Hour)
	}
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 5}, {9 * time.Second, 5}, {15 * time.Second, 2.5}, {20 * time.Second, 0}} {
		if v := r.perSecond("x", time.Hour+c.after); v != c.want {
			t.Errorf("after %v: %v a second, want %v", c.after, v, c.want)
		}
	}
}

// Guards against counts outside the bounds of Space-Saving: never too low, and too high by at most all events / kept keys.
func TestTopCountsWithinSpaceSavingBounds(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(rng, 1.2, 1, 5000)
	top, exact := NewTop(100), map[string]int64{}
	const n = 20000
	for range n {
		k := fmt.Sprint(zipf.Uint64())
		top.Add(k)
		exact[k]++
	}
	for _, k := range top.Most(100) {
		if c := top.Count(k); c < exact[k] || c > exact[k]+n/100 {
			t.Errorf("count of %s is %d, exact count %d", k, c, exact[k])
		}
	}
	if m := top.Most(1); m[0] != "0" {
		t.Errorf("most frequent key is %v, want 0", m)
	}
}

// Guards against examples on the reference page that do not compile, fail, or are not in the standard layout.
func TestBuiltinExamplesRunAndAreFormatted(t *testing.T) {
	for _, b := range builtins {
		p := mustCompile(t, b.example)
		var res Result
		if err := NewVM().Run(p, 0, &callEvent, p.NewState(nil, nil), time.Hour, &res); err != nil {
			t.Errorf("%s: %v", b.name, err)
		}
		if f, err := Format("t.ug", b.example); err != nil || f != b.example+"\n" {
			t.Errorf("example of %s is formatted as\n%s error %v", b.name, f, err)
		}
	}
}

// Guards against a reference page that is older than the tables of fields and built-ins.
func TestReferencePageIsUpToDate(t *testing.T) {
	b, err := os.ReadFile("../docs/operations/script-reference.md")
	if err != nil || string(b) != Reference() {
		t.Errorf("the page is out of date; run umbergauge script reference > docs/operations/script-reference.md (%v)", err)
	}
}

// Guards against changes of the standard layout: indentation, spaces, empty lines and comments.
func TestFormatLayout(t *testing.T) {
	src := "const  m={\"a\":1 ,\"b\":-2}\n\n\n\n# on top\non   arrival{   # here\nif call.called matches 82* and not(1<-2){tag( \"x\" )}\nlet l=[1,2 , -3][0]\nfor i in 0 .. 3{\n# inside\n\nexclude2(i)\n\n}\n}\n"
	src = strings.ReplaceAll(src, "exclude2(i)", "tag(text(i))")
	want := "const m = {\"a\": 1, \"b\": -2}\n\n# on top\non arrival { # here\n\tif call.called matches 82* and not (1 < -2) { tag(\"x\") }\n\tlet l = [1, 2, -3][0]\n\tfor i in 0..3 {\n\t\t# inside\n\n\t\ttag(text(i))\n\t}\n}\n"
	got, err := Format("t.ug", src)
	if err != nil || got != want {
		t.Fatalf("%v\n%s\nwant\n%s", err, got, want)
	}
}

// programGenerator draws well-typed programs.
type programGenerator struct {
	t         *rapid.T
	depth     int
	vars      map[string][]string // variables in scope, by type
	nameCount int
}

func (d *programGenerator) intn(n int) int { return rapid.IntRange(0, n-1).Draw(d.t, "p") }

func (d *programGenerator) expr(ty string) string {
	d.depth++
	defer func() { d.depth-- }()
	if vs := d.vars[ty]; len(vs) > 0 && d.intn(3) == 0 {
		return vs[d.intn(len(vs))]
	}
	leaf := d.depth > 4
	switch ty {
	case "int":
		if leaf || d.intn(3) == 0 {
			return []string{"0", "1", "7", "1000", "call.attempts", "call.to", "-3"}[d.intn(7)]
		}
		switch d.intn(4) {
		case 0:
			return "len(" + d.expr("string") + ")"
		case 1:
			return "int(" + d.expr("float") + ")"
		case 2:
			return "min(" + d.expr("int") + ", " + d.expr("int") + ")"
		}
		return "(" + d.expr("int") + []string{" + ", " - ", " * ", " / ", " % "}[d.intn(5)] + d.expr("int") + ")"
	case "float":
		if leaf || d.intn(3) == 0 {
			return []string{"0.5", "2.0", "float(3)"}[d.intn(3)]
		}
		return "(" + d.expr("float") + []string{" + ", " - ", " * ", " / "}[d.intn(4)] + d.expr("float") + ")"
	case "bool":
		if leaf || d.intn(4) == 0 {
			return []string{"true", "false", "call.transit", "call.called matches 82?1*"}[d.intn(4)]
		}
		switch d.intn(5) {
		case 0:
			return "not " + d.expr("bool")
		case 1:
			return "(" + d.expr("bool") + []string{" and ", " or "}[d.intn(2)] + d.expr("bool") + ")"
		case 2:
			return "(" + d.expr("string") + []string{" == ", " != ", " < ", " <= "}[d.intn(4)] + d.expr("string") + ")"
		case 3:
			return "(" + d.expr("int") + " in " + d.expr("list") + ")"
		}
		return "(" + d.expr("int") + []string{" == ", " != ", " < ", " <= ", " > ", " >= "}[d.intn(6)] + d.expr("int") + ")"
	case "list":
		if leaf || d.intn(2) == 0 {
			return "[1, 2, 3]"
		}
		return "[" + d.expr("int") + ", " + d.expr("int") + "]"
	}
	if leaf || d.intn(3) == 0 {
		return []string{`""`, `"a"`, "call.called", "call.class"}[d.intn(4)]
	}
	switch d.intn(3) {
	case 0:
		return "text(" + d.expr("int") + ")"
	case 1:
		return "substr(" + d.expr("string") + ", " + d.expr("int") + ", " + d.expr("int") + ")"
	}
	return "(" + d.expr("string") + " + " + d.expr("string") + ")"
}

func (d *programGenerator) block(b *strings.Builder, indent int) {
	tab := strings.Repeat("\t", indent)
	saved := map[string]int{}
	for k, v := range d.vars {
		saved[k] = len(v)
	}
	for range d.intn(4) + 1 {
		kinds := 8
		if indent > 4 {
			kinds = 4
		}
		switch d.intn(kinds) {
		case 0, 1:
			ty := []string{"int", "float", "bool", "string", "list"}[d.intn(5)]
			d.nameCount++
			name := fmt.Sprint("_v", d.nameCount)
			fmt.Fprintf(b, "%slet %s = %s\n", tab, name, d.expr(ty))
			d.vars[ty] = append(d.vars[ty], name)
		case 2:
			fmt.Fprintf(b, "%stag(substr(%s, 0, 60))\n", tab, d.expr("string"))
		case 3:
			if vs := d.vars["list"]; len(vs) > 0 {
				fmt.Fprintf(b, "%sappend(%s, %s)\n", tab, vs[d.intn(len(vs))], d.expr("int"))
			}
		case 4:
			fmt.Fprintf(b, "%sif %s {\n", tab, d.expr("bool"))
			d.block(b, indent+1)
			fmt.Fprintf(b, "%s} else {\n", tab)
			d.block(b, indent+1)
			fmt.Fprintf(b, "%s}\n", tab)
		case 5:
			d.nameCount++
			fmt.Fprintf(b, "%sfor _i%d in %s..%s {\n", tab, d.nameCount, d.expr("int"), d.expr("int"))
			d.block(b, indent+1)
			fmt.Fprintf(b, "%s}\n", tab)
		case 6:
			d.nameCount++
			name := fmt.Sprint("_e", d.nameCount)
			fmt.Fprintf(b, "%sfor %s in %s {\n", tab, name, d.expr("list"))
			old := d.vars["int"]
			d.vars["int"] = append(append([]string(nil), old...), name)
			d.block(b, indent+1)
			d.vars["int"] = old
			fmt.Fprintf(b, "%s}\n", tab)
		case 7:
			fmt.Fprintf(b, "%smatch %s {\n%s\t1, 5..9 -> tag(\"x\")\n%s\telse -> {\n", tab, d.expr("int"), tab, tab)
			d.block(b, indent+2)
			fmt.Fprintf(b, "%s\t}\n%s}\n", tab, tab)
		}
	}
	for k := range d.vars {
		d.vars[k] = d.vars[k][:min(len(d.vars[k]), saved[k])]
	}
}

// Guards against well-typed programs that do not compile, exceed their budgets, hit an unknown instruction, or change their code
// when formatted.
func TestGeneratedProgramsStayWithinTheirBudgets(t *testing.T) {
	vm := NewVM()
	rapid.Check(t, func(t *rapid.T) {
		d := &programGenerator{t: t, vars: map[string][]string{}}
		var b strings.Builder
		b.WriteString("@steps(3000) @memory(20000)\non arrival {\n")
		d.block(&b, 1)
		b.WriteString("}\n")
		p, err := Compile("t.ug", b.String())
		if err != nil {
			t.Fatalf("%v\n%s", err, b.String())
		}
		var res Result
		err = vm.Run(p, 0, &callEvent, p.NewState(nil, nil), 0, &res)
		if res.Steps > 3000+200 || res.Memory > 20000+1<<16 {
			t.Fatalf("%d steps, %d octets\n%s", res.Steps, res.Memory, b.String())
		}
		var f *RuntimeError
		if err != nil && (!errors.As(err, &f) || strings.Contains(f.Message, "unknown")) {
			t.Fatalf("%v\n%s", err, b.String())
		}
		once, err := Format("t.ug", b.String())
		if err != nil {
			t.Fatal(err)
		}
		twice, err := Format("t.ug", once)
		if err != nil || once != twice {
			t.Fatalf("%v\n%s\nthen\n%s", err, once, twice)
		}
		q, err := Compile("t.ug", once)
		if err != nil {
			t.Fatalf("%v\n%s", err, once)
		}
		if fmt.Sprint(p.fns[0].code) != fmt.Sprint(q.fns[0].code) {
			t.Fatalf("formatting changes the compiled code:\n%s\n%s", b.String(), once)
		}
	})
}

// Guards against panics of the compiler, the interpreter and the formatter on any source, against runs beyond their steps, and against
// a layout that changes when formatted again.
func FuzzCompile(f *testing.F) {
	for _, b := range builtins {
		f.Add(b.example)
	}
	f.Add("fn f(a: list[int], b: map[string]) duration {\n\treturn 5s\n}\n")
	vm := NewVM()
	f.Fuzz(func(t *testing.T, src string) {
		p, err := Compile("t.ug", src)
		if err != nil {
			return
		}
		st := p.NewState(nil, nil)
		for i := range p.Hooks {
			var res Result
			err := vm.Run(p, i, &callEvent, st, time.Hour, &res)
			var runErr *RuntimeError
			if err != nil && !errors.As(err, &runErr) {
				t.Fatal(err)
			}
			if res.Steps > p.Hooks[i].Steps+20000 {
				t.Fatalf("%d steps of %d", res.Steps, p.Hooks[i].Steps)
			}
		}
		once, err := Format("t.ug", src)
		if err != nil {
			t.Fatal(err)
		}
		if twice, err := Format("t.ug", once); err != nil || twice != once {
			t.Fatalf("%v\n%q\n%q", err, once, twice)
		}
	})
}

// Compares Rates and Top with simple maps in time and memory: a million events over 100,000 keys in a Zipf distribution.
func BenchmarkState(b *testing.B) {
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 2)), 1.1, 1, 99_999)
	keys := make([]string, 1_000_000)
	for i := range keys {
		keys[i] = fmt.Sprint("82010", zipf.Uint64())
	}
	heapGrowth := func(f func()) float64 { // growth of the heap in octets while f runs
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		f()
		runtime.GC()
		runtime.ReadMemStats(&after)
		return float64(after.HeapAlloc - min(after.HeapAlloc, before.HeapAlloc))
	}
	const window = 10 * time.Second
	b.Run("rate", func(b *testing.B) {
		r := NewRates(window, 5000)
		h := heapGrowth(func() {
			for i, k := range keys {
				r.add(k, time.Duration(i)*10*time.Microsecond)
			}
		})
		for i := 0; b.Loop(); i++ {
			r.add(keys[i%len(keys)], window+time.Duration(i)*10*time.Microsecond)
		}
		b.ReportMetric(h, "B-held")
		runtime.KeepAlive(r)
	})
	b.Run("map of times", func(b *testing.B) {
		m := map[string][]time.Duration{}
		add := func(k string, now time.Duration) {
			l := m[k]
			for len(l) > 0 && l[0] < now-window {
				l = l[1:]
			}
			m[k] = append(l, now)
		}
		h := heapGrowth(func() {
			for i, k := range keys {
				add(k, time.Duration(i)*10*time.Microsecond)
			}
		})
		for i := 0; b.Loop(); i++ {
			add(keys[i%len(keys)], window+time.Duration(i)*10*time.Microsecond)
		}
		b.ReportMetric(h, "B-held")
		runtime.KeepAlive(m)
	})
	b.Run("top", func(b *testing.B) {
		t := NewTop(200)
		h := heapGrowth(func() {
			for _, k := range keys {
				t.Add(k)
			}
		})
		for i := 0; b.Loop(); i++ {
			t.Add(keys[i%len(keys)])
		}
		b.ReportMetric(h, "B-held")
		runtime.KeepAlive(t)
	})
	b.Run("map of counts", func(b *testing.B) {
		m := map[string]int64{}
		h := heapGrowth(func() {
			for _, k := range keys {
				m[k]++
			}
		})
		for i := 0; b.Loop(); i++ {
			m[keys[i%len(keys)]]++
		}
		b.ReportMetric(h, "B-held")
		runtime.KeepAlive(m)
	})
}
