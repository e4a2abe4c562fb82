package scenario

import (
	"context"
	"flag"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/controller"
	"github.com/umbergauge/umbergauge/daemon"
	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/script"
)

// loadPeak is a scenario at 120% of the planned load with a peak of 1.3 times that.
func loadPeak() *Scenario {
	scenario := Default()
	scenario.Name, scenario.Length, scenario.Seed = "hooks", 20*time.Second, 5
	scenario.Traffic.Load = 1.2
	scenario.Faults = []Fault{{Kind: LoadJump, At: 8 * time.Second, For: 4 * time.Second, Size: 1.3}}
	return &scenario
}

func hookCounters(res Result) (c controller.Counters) {
	for _, x := range res.Counters {
		c.HookAsked += x.HookAsked
		c.HookLate += x.HookLate
		c.HookBusy += x.HookBusy
		c.HookRefused += x.HookRefused
	}
	return c
}

func withHooks(texts ...string) func(*Options) {
	var sources []hooks.Source
	for i, text := range texts {
		sources = append(sources, hooks.Source{Name: fmt.Sprintf("h%d.ug", i), Text: text})
	}
	return func(o *Options) { o.Hooks = sources }
}

// misbehavingHooks use up their step, time or memory budget, fail, or give harmful advice.
var misbehavingHooks = map[string]string{
	"endless loop":                     "on arrival {\n\tfor i in 0..1000000000 {\n\t\tlet _x = i\n\t}\n}\non attempt_end {\n\tfor i in 0..1000000000 {\n\t\tlet _x = i\n\t}\n}\n",
	"always fails":                     "on arrival {\n\tfail \"storm\"\n}\non attempt_end {\n\tfail \"storm\"\n}\non final {\n\tfail \"storm\"\n}\n",
	"fails at the load peak":           "rate all(window 2s)\non arrival {\n\tall.add(\"x\")\n\tif all.per_second(\"x\") > 12.0 {\n\t\tfail \"peak\"\n\t}\n}\n",
	"allocates without limit":          "on arrival {\n\tlet s = \"xxxxxxxxxxxxxxxx\"\n\tfor _i in 0..1000 {\n\t\ts = s + s\n\t}\n}\n",
	"just under the step budget":       "@steps(4000)\non arrival {\n\tfor i in 0..1300 {\n\t\tlet _x = i * 2\n\t}\n}\n",
	"turns every failure into a retry": "on attempt_end {\n\ttreat_as(34)\n}\n",
	"excludes many exchanges":          "on route {\n\tfor i in 150..182 {\n\t\texclude(i)\n\t}\n}\n",
	"long patterns":                    "on arrival {\n\tfor _i in 0..200 {\n\t\tif call.called matches ??????????????????????? {\n\t\t\tfail \"long\"\n\t\t}\n\t}\n}\n",
}

// A hook that misbehaves on all controllers during a load peak must neither make them break a rule nor cost more service
// than the random difference between two runs, at most 0.05.
func TestMisbehavingHooksCostNoService(t *testing.T) {
	withoutHook := runScenario(t, loadPeak())
	for name, text := range misbehavingHooks {
		t.Run(name, func(t *testing.T) {
			res := runScenario(t, loadPeak(), withHooks(text))
			if difference := res.Report.Whole.Share - withoutHook.Report.Whole.Share; difference < -0.05 {
				t.Errorf("service %.3f, without the hook %.3f", res.Report.Whole.Share, withoutHook.Report.Whole.Share)
			}
			if hookCounters(res).HookAsked == 0 {
				t.Error("the hook was never called")
			}
		})
	}
	t.Run("fifty hooks", func(t *testing.T) {
		var texts []string
		for range 50 {
			texts = append(texts, "on arrival {\n\ttag(\"x\")\n}\non final {\n\tlog(\"a\", 1)\n}\n")
		}
		runScenario(t, loadPeak(), withHooks(texts...))
	})
	t.Run("hooks on every second controller", func(t *testing.T) {
		runScenario(t, loadPeak(), func(o *Options) {
			o.HooksFor = func(i int) []hooks.Source {
				if i%2 == 0 {
					return nil
				}
				return []hooks.Source{{Name: "odd.ug", Text: "on arrival {\n\tif call.class == \"map-tile\" {\n\t\ttag(\"odd\")\n\t}\n}\n"}}
			}
		})
	})
}

// A refusal by a hook is final: a class that a hook refuses has no service, and another class keeps its own.
func TestRefusingHookRefusesItsClass(t *testing.T) {
	res := runScenario(t, loadPeak(), withHooks("on arrival {\n\tif call.class == \"map-tile\" {\n\t\trefuse(21)\n\t}\n}\n"))
	if res.Report.Classes["map-tile"].Share != 0 || res.Report.Classes["storm-tile"].Share < 0.9 {
		t.Errorf("service by class %+v, want 0 for map-tile and at least 0.9 for storm-tile", res.Report.Classes)
	}
}

// Replacing scripts every half second during a load peak must not lose a call or answer one twice.
func TestHookSwapDuringLoadPeakBreaksNoRule(t *testing.T) {
	swaps := 0
	res := runScenario(t, loadPeak(), withHooks("on arrival {\n\ttag(\"v0\")\n}\n"), func(o *Options) {
		o.During = func(ctx context.Context, daemons []*daemon.Daemon) {
			for i := 1; i < 30; i++ {
				if !sleep(ctx, 500*time.Millisecond) {
					return
				}
				for _, d := range daemons {
					text := fmt.Sprintf("counter n\non arrival {\n\tn.add(1)\n\ttag(\"v%d\")\n}\non attempt_end {\n\tif end.cause == 47 {\n\t\ttreat_as(34)\n\t}\n}\n", i)
					if err := d.SwapHooks(ctx, []hooks.Source{{Name: "h0.ug", Text: text}}); err == nil {
						swaps++
					}
				}
			}
		}
	})
	if swaps < 100 {
		t.Errorf("%d hook swaps, want at least 100", swaps)
	}
	if c := hookCounters(res); c.HookAsked == 0 {
		t.Errorf("the hooks were never called: %+v", c)
	}
}

// The example hooks of docs/operations/script.md, all at once during a load peak, must not make controllers break a rule.
func TestDocumentedHooksBreakNoRule(t *testing.T) {
	var texts []string
	for _, e := range documentedHooks(t) {
		texts = append(texts, e)
	}
	if len(texts) < 6 {
		t.Fatalf("%d hooks on the page, want at least 6", len(texts))
	}
	runScenario(t, loadPeak(), withHooks(texts...))
}

// documentedHooks returns the example programs of docs/operations/script.md: the indented blocks between two of its
// headings. Blocks that only empty lines separate belong to one program.
func documentedHooks(t *testing.T) []string {
	b, err := os.ReadFile("../docs/operations/script.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(b)
	from, to := strings.Index(text, "## Six hooks"), strings.Index(text, "## Using them")
	var out []string
	program := ""
	for _, line := range strings.Split(text[from:to], "\n") {
		switch {
		case strings.HasPrefix(line, "    "):
			program += line[4:] + "\n"
		case line == "":
			program += "\n"
		default:
			if strings.TrimSpace(program) != "" {
				out = append(out, strings.TrimSpace(program)+"\n")
			}
			program = ""
		}
	}
	return append(out, strings.TrimSpace(program)+"\n")
}

var hookSeeds = flag.Int("hookdays", 0, "number of seeds over which TestHookService compares hooks; 0: the test is skipped")

// TestHookService is a measurement without bounds: mean service at 120% of the planned load without hooks, with a typical
// hook and with misbehaving ones, over the same seeds.
func TestHookService(t *testing.T) {
	if *hookSeeds == 0 {
		t.Skip("a measurement: go test ./scenario -run HookService -v -args -hookdays 40")
	}
	typicalHook := "rate dialled(window 10s, keys 5000)\ntop talkers(keys 200)\non arrival {\n\tdialled.add(call.called)\n\ttalkers.add(call.calling)\n\tmatch call.called {\n\t\t820100* -> tag(\"storm desk\")\n\t}\n}\non attempt_end {\n\tif end.cause == 47 {\n\t\ttreat_as(42)\n\t}\n}\n"
	kinds := []struct{ name, text string }{{"no hook", ""}, {"no hook, again", ""}, {"typical", typicalHook}, {"endless loop", misbehavingHooks["endless loop"]}, {"always fails", misbehavingHooks["always fails"]}, {"allocates without limit", misbehavingHooks["allocates without limit"]}}
	for _, k := range kinds {
		var sum, sumOfSquares, p99 float64
		for seed := range *hookSeeds {
			scenario := loadPeak()
			scenario.Seed = uint64(seed + 1)
			var res Result
			if k.text == "" {
				res = runScenario(t, scenario)
			} else {
				res = runScenario(t, scenario, withHooks(k.text))
			}
			s := res.Report.Whole.Share
			sum += s
			sumOfSquares += s * s
			p99 += res.Report.DelaysMS[1]
		}
		n := float64(*hookSeeds)
		mean := sum / n
		t.Logf("%-16s service %.4f (standard error %.4f), p99 of set-up %.0f ms", k.name, mean, math.Sqrt(max(0, sumOfSquares/n-mean*mean)/n), p99/n)
	}
}

// Each example hook of docs/operations/script.md must do what the page says of it, and only to the calls that it is for.
func TestDocumentedHooksDoAsDescribed(t *testing.T) {
	page := documentedHooks(t)
	if len(page) != 6 {
		t.Fatalf("%d hooks on the page, want 6", len(page))
	}
	names := hooks.Names{Classes: []string{"map-tile", "storm-tile"}}
	sets := make([]*hooks.Set, len(page))
	for i, text := range page {
		var err error
		if sets[i], err = hooks.Compile([]hooks.Source{{Name: "page.ug", Text: text}}, names, nil); err != nil {
			t.Fatal(err)
		}
	}
	r := hooks.NewRunner()
	run := func(i int, kind string, ev script.Event) (a hooks.Advice) {
		r.Run(sets[i], kind, &ev, time.Hour, &a)
		if len(a.Failed) > 0 {
			t.Errorf("hook %d failed: %v", i, a.Failed)
		}
		return a
	}
	call := script.Call{Called: "820200001", Calling: "9001", Class: "map-tile", Category: 10, To: 102}
	with := func(f func(*script.Call)) script.Event {
		c := call
		f(&c)
		return script.CallEvent(c)
	}
	ordinaryCall := script.CallEvent(call)
	for _, n := range []string{"820100001", "8203712"} {
		if a := run(0, script.Arrival, with(func(c *script.Call) { c.Called = n })); a.Class != "storm-tile" || len(a.Tags) != 1 {
			t.Errorf("call to storm desk number %s: %+v", n, a)
		}
	}
	if a := run(0, script.Arrival, ordinaryCall); a.Class != "" {
		t.Errorf("call to another number: %+v", a)
	}
	refused := 0
	for range 200 {
		if run(1, script.Arrival, ordinaryCall).Refuse == 42 {
			refused++
		}
	}
	if refused < 90 || refused > 110 { // ten a second over ten seconds
		t.Errorf("%d of 200 calls to one number refused, want about 100", refused)
	}
	if a := run(1, script.Arrival, with(func(c *script.Call) { c.Called = "820299999" })); a.Refuse != 0 {
		t.Errorf("call to a number under the limit: %+v", a)
	}
	if a := run(1, script.Arrival, with(func(c *script.Call) { c.Class = "storm-tile" })); a.Refuse != 0 {
		t.Errorf("storm call to a number over the limit: %+v", a)
	}
	if a := run(2, script.Route, ordinaryCall); len(a.Exclude) != 1 || a.Exclude[0] != 104 {
		t.Errorf("map-tile call: %+v, want exchange 104 excluded", a)
	}
	if a := run(2, script.Route, with(func(c *script.Call) { c.Class = "storm-tile" })); len(a.Exclude) != 0 {
		t.Errorf("storm-tile call: %+v, want no exchange excluded", a)
	}
	for _, x := range []struct{ cause, exchange, want int }{{47, 103, 42}, {47, 102, 0}, {34, 103, 0}} {
		if a := run(3, script.AttemptEnd, script.AttemptEndEvent(call, x.cause, x.exchange, true, time.Second)); a.TreatAs != x.want {
			t.Errorf("cause %d from exchange %d treated as %d", x.cause, x.exchange, a.TreatAs)
		}
	}
	category12Call := with(func(c *script.Call) { c.Category = 12 })
	for _, x := range []struct{ waiting, want int }{{10, 0}, {300, 42}, {10, 0}} {
		var a hooks.Advice
		ev := script.EveryEvent(x.waiting, 0, 0, 0, 0, 0)
		r.Run(sets[4], script.Every, &ev, time.Hour, &a)
		if got := run(4, script.Arrival, category12Call).Refuse; got != x.want {
			t.Errorf("with %d calls waiting: refused with %d", x.waiting, got)
		}
		if run(4, script.Arrival, ordinaryCall).Refuse != 0 {
			t.Error("a call of another category is refused")
		}
	}
	for range 3 {
		run(5, script.Arrival, ordinaryCall)
	}
	if a := run(5, script.Every, script.EveryEvent(0, 0, 0, 0, 0, 0)); len(a.Logs) != 1 || a.Logs[0].Value != "9001 3" {
		t.Errorf("every hook: %+v, want 9001 3 in the log", a)
	}
	if a := run(5, script.Final, script.FinalEvent(call, "failed", 102, 103, time.Second)); len(a.Logs) != 1 || a.Logs[0].Value != "103" {
		t.Errorf("failed call: %+v, want 103 in the log", a)
	}
	if a := run(5, script.Final, script.FinalEvent(call, "stands", 0, 103, time.Second)); len(a.Logs) != 0 {
		t.Errorf("established call: %+v, want nothing in the log", a)
	}
}
