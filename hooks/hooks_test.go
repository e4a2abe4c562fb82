package hooks

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/script"
)

var names = Names{Classes: []string{"map", "storm"}, Tenants: []string{"city"}}

func compileSet(t testing.TB, earlier *Set, texts ...string) *Set {
	t.Helper()
	var src []Source
	for i, x := range texts {
		src = append(src, Source{fmt.Sprintf("f%d.ug", i), x})
	}
	s, err := Compile(src, names, earlier)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

var testCall = script.CallEvent(script.Call{Called: "820112345", Calling: "9012", Class: "map", Category: 10, To: 102})

func runHooks(s *Set, kind string, now time.Duration) Advice {
	var a Advice
	NewRunner().Run(s, kind, &testCall, now, &a)
	return a
}

// The results of several hooks are merged: the first class and tenant are kept, exclusions and tags accumulate, and a hook
// that fails, or sets an unknown class, contributes nothing.
func TestResultsOfHooksAreMerged(t *testing.T) {
	s := compileSet(t, nil,
		"on arrival {\n\tset_class(\"storm\")\n\ttag(\"a\")\n}\non route {\n\texclude(1)\n\texclude(2)\n}\n",
		"on arrival {\n\tset_class(\"map\")\n\tset_tenant(\"city\")\n\ttag(\"b\")\n}\non route {\n\texclude(2)\n\texclude(3)\n}\n",
		"on arrival {\n\trefuse(21)\n\tfail \"no\"\n}\n",
		"on arrival {\n\tset_class(\"moon\")\n}\n")
	a := runHooks(s, script.Arrival, 1)
	if a.Class != "storm" || a.Tenant != "city" || fmt.Sprint(a.Tags) != "[a b]" || a.Refuse != 0 || len(a.Failed) != 2 {
		t.Errorf("advice on arrival: %+v", a)
	}
	if a := runHooks(s, script.Route, 1); fmt.Sprint(a.Exclude) != "[1 2 3]" {
		t.Errorf("advice on route: %+v, want exclusions [1 2 3]", a)
	}
}

// A hook with @failure(refuse) refuses calls when it fails and while its breaker is open. Guards against calls that
// continue without a hook that is meant to be mandatory.
func TestFailureRefuseHoldsWhileBreakerIsOpen(t *testing.T) {
	s := compileSet(t, nil, "@failure(refuse)\non arrival {\n\tfail \"no\"\n}\n")
	for i := range 20 { // first by the failure, then because the breaker is open
		if a := runHooks(s, script.Arrival, time.Duration(i)*time.Millisecond); a.Refuse != 42 {
			t.Fatalf("run %d: advice %+v, want refusal with cause 42", i, a)
		}
	}
	if !s.RefusesOnTimeout(script.Arrival) || s.RefusesOnTimeout(script.Route) {
		t.Error("RefusesOnTimeout must be true for arrival and false for route")
	}
}

// The breaker of a failing hook opens, allows a probe run after 1 s, then after twice the span for each failed probe, and
// closes when a probe succeeds.
func TestBreakerOpensProbesAndCloses(t *testing.T) {
	s := compileSet(t, nil, "var bad = true\nevery 1s {\n\tbad = system.open > 0\n}\non arrival {\n\tif bad {\n\t\tfail \"bad\"\n\t}\n}\n")
	now := time.Hour
	runs := func() uint64 { return s.byKind[script.Arrival][0].stats.Runs }
	var notes []string
	for range 100 {
		notes = append(notes, runHooks(s, script.Arrival, now).BreakerNotes...)
	}
	if runs() != maxConsecutiveFailures || len(notes) != 1 {
		t.Fatalf("%d runs before the breaker opened, notes %v; want one note", runs(), notes)
	}
	for _, c := range []struct {
		after time.Duration
		runs  uint64
	}{{999 * time.Millisecond, 5}, {time.Second, 6}, {1900 * time.Millisecond, 6}, {3 * time.Second, 7}, {6 * time.Second, 7}, {7 * time.Second, 8}} {
		runHooks(s, script.Arrival, now+c.after)
		if runs() != c.runs {
			t.Errorf("after %v: %d runs, want %d", c.after, runs(), c.runs)
		}
	}
	var a Advice
	r := NewRunner()
	ev := script.EveryEvent(0, 0, 0, 0, 0, 0)
	r.RunDue(s, &ev, now, &a)
	r.RunDue(s, &ev, now+time.Minute, &a)
	if a := runHooks(s, script.Arrival, now+time.Minute); len(a.BreakerNotes) != 1 {
		t.Errorf("the breaker did not close: %+v", a)
	}
	if v := s.Views(now + time.Minute); v[1].State != "in use" && v[0].State != "in use" {
		t.Errorf("views after the breaker closed: %+v", v)
	}
}

// Guards against a breaker that opens for a hook which fails only now and then: it must open when more than half of the
// runs fail.
func TestBreakerOpensAboveHalfOfRunsFailed(t *testing.T) {
	for _, c := range []struct {
		every int
		open  bool
	}{{4, false}, {3, false}, {1, true}} {
		var b breaker
		for i := range 200 {
			if b.allow(time.Hour) {
				b.recordRun(time.Hour, i%c.every == 0, 1)
			}
		}
		if (b.openSpan > 0) != c.open {
			t.Errorf("one of %d runs fails: breaker open %v", c.every, b.openSpan > 0)
		}
	}
	var b breaker
	for i := range 200 {
		if b.allow(time.Hour) {
			b.recordRun(time.Hour, i%4 != 0, 1)
		}
	}
	if b.openSpan == 0 {
		t.Error("three of four runs fail: the breaker is closed")
	}
}

// Guards against a hook that stays just under its step limit in every call and yet uses up the processor in total.
func TestStepsPerSecondAreLimited(t *testing.T) {
	var b breaker
	n := 0
	for b.allow(time.Hour) {
		b.recordRun(time.Hour, false, 900_000)
		n++
	}
	if n < 20 || n > 25 {
		t.Errorf("%d runs of 900,000 steps allowed within one second, want 20 to 25", n)
	}
	if !b.allow(time.Hour + time.Second) {
		t.Error("no run was allowed in the next second")
	}
}

// A set that does not compile or does not pass its examples is rejected with the position of the error. State carries over
// from version to version, and a rollback makes the previous version live.
func TestInvalidSetsAreRejectedAndVersionsRollBack(t *testing.T) {
	text := "counter seen\non arrival {\n\tseen.add(1)\n\tif call.called matches 8201* {\n\t\tset_class(\"storm\")\n\t}\n\tif seen.value() > 1 {\n\t\ttag(\"again\")\n\t}\n}\n"
	ex, err := ParseExamples("e.yaml", []byte("- hook: arrival\n  event: {call.called: \"820155\"}\n  want: {class: storm}\n"))
	if err != nil {
		t.Fatal(err)
	}
	var registry Registry
	first := compileSet(t, nil, text)
	if err := first.Check(ex); err != nil {
		t.Fatal(err)
	}
	registry.Activate(first)
	runHooks(first, script.Arrival, 1)
	second := compileSet(t, first, strings.Replace(text, "8201*", "8202*", 1))
	if err := second.Check(ex); err == nil || !strings.Contains(err.Error(), "example 1 (arrival)") {
		t.Errorf("error for an example with another result: %v", err)
	}
	if a := runHooks(second, script.Arrival, 1); fmt.Sprint(a.Tags) != "[again]" {
		t.Errorf("the counter was not carried over: %+v", a)
	}
	registry.Activate(second)
	if registry.Live().Version != 2 || registry.RollBack() != nil || registry.Live() != first || registry.RollBack() == nil {
		t.Error("Live or RollBack returned a wrong version")
	}
	if _, err := Compile([]Source{{"x.ug", "on arrival {\n\trefus(1)\n}"}}, names, first); err == nil || !strings.HasPrefix(err.Error(), "x.ug:2:2: ") {
		t.Errorf("error %v, want one at x.ug:2:2", err)
	}
	for _, bad := range []string{"- hook: arrival\n  event: {call.caled: \"1\"}\n", "- hook: moon\n  event: {}\n", "- hook: arrival\n  event: {call.category: \"x\"}\n"} {
		ex, err := ParseExamples("e.yaml", []byte(bad))
		if err == nil && first.Check(ex) == nil {
			t.Errorf("invalid example %q was accepted", bad)
		}
	}
	if _, err := ParseExamples("e.yaml", []byte("- hok: arrival\n")); err == nil {
		t.Error("an example with an unknown key was accepted")
	}
}

// The report counts the events on which shadow and live advice differ, and shows the differences.
func TestReportShowsShadowDifferences(t *testing.T) {
	var registry Registry
	live, shadow := compileSet(t, nil, "on arrival {\n\tset_class(\"map\")\n}\n"), compileSet(t, nil, "on arrival {\n\tset_class(\"storm\")\n}\n")
	registry.Activate(live)
	registry.SetShadow(shadow)
	x, y := runHooks(live, script.Arrival, 1), runHooks(shadow, script.Arrival, 1)
	registry.AddComparison(script.Arrival, Diff(&x, &y))
	registry.AddComparison(script.Arrival, Diff(&x, &x))
	if r := strings.Join(registry.Report(1), "\n"); !strings.Contains(r, "2 runs, 1 differ") || !strings.Contains(r, "Class:storm") {
		t.Error(r)
	}
}

// Periodic hooks run once per period, and only once after a jump of the clock over many periods.
func TestPeriodicHooksDoNotCatchUpAfterClockJump(t *testing.T) {
	s := compileSet(t, nil, "counter n\nevery 5s {\n\tn.add(1)\n}\nevery 7s {\n\tn.add(100)\n}\n")
	r := NewRunner()
	var a Advice
	ev := script.EveryEvent(0, 0, 0, 0, 0, 0)
	for now := time.Hour; now <= time.Hour+35*time.Second; now += time.Second {
		r.RunDue(s, &ev, now, &a)
	}
	r.RunDue(s, &ev, 100*time.Hour, &a)
	var res script.Result
	p, err := script.Compile("f0.ug", "counter n\nevery 5s {\n\tlog(\"n\", n.value())\n}\n")
	if err != nil {
		t.Fatal(err)
	}
	st := p.NewState(s.states[0], s.programs[0])
	if err := script.NewVM().Run(p, 0, &ev, st, 0, &res); err != nil || res.Logs[0].Value != "608" {
		t.Errorf("logs %v, error %v; want 8 runs of the 5 s hook and 6 of the 7 s hook", res.Logs, err)
	}
}

// The errors of all files are returned at once.
func TestCompileReturnsErrorsOfAllFiles(t *testing.T) {
	_, err := Compile([]Source{{"a.ug", "on"}, {"b.ug", "fn"}}, names, nil)
	var e script.Errors
	if !errors.As(err, &e) || len(e) < 2 {
		t.Errorf("error %v, want the errors of both files", err)
	}
}
