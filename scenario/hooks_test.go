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

// busy is a day at 120% of the planned load with a storm peak.
func busy() *Scenario {
	d := Default()
	d.Name, d.Length, d.Seed = "hooks", 20*time.Second, 5
	d.Traffic.Load = 1.2
	d.Faults = []Fault{{Kind: LoadJump, At: 8 * time.Second, For: 4 * time.Second, Size: 1.3}}
	return &d
}

func sum(res Result) (c controller.Counters) {
	for _, x := range res.Counters {
		c.HookAsked += x.HookAsked
		c.HookLate += x.HookLate
		c.HookBusy += x.HookBusy
		c.HookRefused += x.HookRefused
	}
	return c
}

func with(texts ...string) func(*Options) {
	var src []hooks.Source
	for i, x := range texts {
		src = append(src, hooks.Source{Name: fmt.Sprintf("h%d.ug", i), Text: x})
	}
	return func(o *Options) { o.Hooks = src }
}

// Bad holds the misbehaving hooks of the menu and more; each is run on all controllers through the peak.
var bad = map[string]string{
	"loops for ever":     "on arrival {\n\tfor i in 0..1000000000 {\n\t\tlet _x = i\n\t}\n}\non attempt_end {\n\tfor i in 0..1000000000 {\n\t\tlet _x = i\n\t}\n}\n",
	"throws":             "on arrival {\n\tfail \"storm\"\n}\non attempt_end {\n\tfail \"storm\"\n}\non final {\n\tfail \"storm\"\n}\n",
	"throws at the peak": "rate all(window 2s)\non arrival {\n\tall.add(\"x\")\n\tif all.per_second(\"x\") > 12.0 {\n\t\tfail \"peak\"\n\t}\n}\n",
	"allocates":          "on arrival {\n\tlet s = \"xxxxxxxxxxxxxxxx\"\n\tfor _i in 0..1000 {\n\t\ts = s + s\n\t}\n}\n",
	"just under budget":  "@steps(4000)\non arrival {\n\tfor i in 0..1300 {\n\t\tlet _x = i * 2\n\t}\n}\n",
	"tries again":        "on attempt_end {\n\ttreat_as(34)\n}\n",
	"excludes much":      "on route {\n\tfor i in 150..182 {\n\t\texclude(i)\n\t}\n}\n",
	"long patterns":      "on arrival {\n\tfor _i in 0..200 {\n\t\tif call.called matches ??????????????????????? {\n\t\t\tfail \"long\"\n\t\t}\n\t}\n}\n",
}

// No misbehaving hook breaks a rule or costs service beyond what chance makes between two runs of one script.
func TestMisbehavingHooks(t *testing.T) {
	plain := play(t, busy())
	for name, text := range bad {
		t.Run(name, func(t *testing.T) {
			res := play(t, busy(), with(text))
			if d := res.Report.Whole.Share - plain.Report.Whole.Share; d < -0.05 {
				t.Errorf("service %.3f, without the hook %.3f", res.Report.Whole.Share, plain.Report.Whole.Share)
			}
			if sum(res).HookAsked == 0 {
				t.Error("the hook was never asked")
			}
		})
	}
	t.Run("fifty at once", func(t *testing.T) {
		var texts []string
		for range 50 {
			texts = append(texts, "on arrival {\n\ttag(\"x\")\n}\non final {\n\tlog(\"a\", 1)\n}\n")
		}
		play(t, busy(), with(texts...))
	})
	t.Run("one a controller", func(t *testing.T) {
		play(t, busy(), func(o *Options) {
			o.HooksOf = func(i int) []hooks.Source {
				if i%2 == 0 {
					return nil
				}
				return []hooks.Source{{Name: "odd.ug", Text: "on arrival {\n\tif call.class == \"map-tile\" {\n\t\ttag(\"odd\")\n\t}\n}\n"}}
			}
		})
	})
}

// A hook that refuses does refuse, at once and finally.
func TestRefusingHook(t *testing.T) {
	res := play(t, busy(), with("on arrival {\n\tif call.class == \"map-tile\" {\n\t\trefuse(21)\n\t}\n}\n"))
	if res.Report.Classes["map-tile"].Share != 0 || res.Report.Classes["storm-tile"].Share < 0.9 {
		t.Errorf("%+v", res.Report.Classes)
	}
}

// Scripts are swapped every half second through a burst: no call is lost or answered twice.
func TestSwapDuringABurst(t *testing.T) {
	swaps := 0
	res := play(t, busy(), with("on arrival {\n\ttag(\"v0\")\n}\n"), func(o *Options) {
		o.During = func(ctx context.Context, ds []*daemon.Daemon) {
			for i := 1; i < 30; i++ {
				if !sleep(ctx, 500*time.Millisecond) {
					return
				}
				for _, d := range ds {
					text := fmt.Sprintf("counter n\non arrival {\n\tn.add(1)\n\ttag(\"v%d\")\n}\non attempt_end {\n\tif end.cause == 47 {\n\t\ttreat_as(34)\n\t}\n}\n", i)
					if err := d.SwapHooks(ctx, []hooks.Source{{Name: "h0.ug", Text: text}}); err == nil {
						swaps++
					}
				}
			}
		}
	})
	if swaps < 100 {
		t.Errorf("%d swaps", swaps)
	}
	if c := sum(res); c.HookAsked == 0 {
		t.Errorf("%+v", c)
	}
}

// What a day's staff would write; docs/operations/script.md explains them.
func TestExamplesOfThePage(t *testing.T) {
	var texts []string
	for _, e := range pageHooks(t) {
		texts = append(texts, e)
	}
	if len(texts) < 6 {
		t.Fatalf("%d hooks on the page", len(texts))
	}
	play(t, busy(), with(texts...))

}

// pageHooks are the programs of the operators' page: its indented blocks that begin with a declaration, put together where
// no heading or sentence stands between.
func pageHooks(t *testing.T) []string {
	b, err := os.ReadFile("../docs/operations/script.md")
	if err != nil {
		t.Fatal(err)
	}
	text := string(b)
	from, to := strings.Index(text, "## Six hooks"), strings.Index(text, "## Using them")
	var out []string
	cur := ""
	for _, l := range strings.Split(text[from:to], "\n") {
		switch {
		case strings.HasPrefix(l, "    "):
			cur += l[4:] + "\n"
		case l == "":
			cur += "\n"
		default:
			if strings.TrimSpace(cur) != "" {
				out = append(out, strings.TrimSpace(cur)+"\n")
			}
			cur = ""
		}
	}
	return append(out, strings.TrimSpace(cur)+"\n")
}

var hookDays = flag.Int("hookdays", 0, "seeds over which TestHookService compares hooks; 0: it is left out")

// TestHookService is a measurement: mean service at 120% of the planned load without hooks, with a good one and with bad
// ones, over the same seeds.
func TestHookService(t *testing.T) {
	if *hookDays == 0 {
		t.Skip("a measurement: go test ./day -run HookService -v -args -hookdays 40")
	}
	good := "rate dialled(window 10s, keys 5000)\ntop talkers(keys 200)\non arrival {\n\tdialled.add(call.called)\n\ttalkers.add(call.calling)\n\tmatch call.called {\n\t\t820100* -> tag(\"storm desk\")\n\t}\n}\non attempt_end {\n\tif end.cause == 47 {\n\t\ttreat_as(42)\n\t}\n}\n"
	kinds := []struct{ name, text string }{{"no hook", ""}, {"no hook, again", ""}, {"good", good}, {"loops for ever", bad["loops for ever"]}, {"throws", bad["throws"]}, {"allocates", bad["allocates"]}}
	for _, k := range kinds {
		var sum, squares, p99 float64
		for seed := range *hookDays {
			d := busy()
			d.Seed = uint64(seed + 1)
			var res Result
			if k.text == "" {
				res = play(t, d)
			} else {
				res = play(t, d, with(k.text))
			}
			s := res.Report.Whole.Share
			sum += s
			squares += s * s
			p99 += res.Report.DelaysMS[1]
		}
		n := float64(*hookDays)
		mean := sum / n
		t.Logf("%-16s service %.4f (standard error %.4f), p99 of set-up %.0f ms", k.name, mean, math.Sqrt(max(0, squares/n-mean*mean)/n), p99/n)
	}
}

// Each hook of the page does what the sentence above it says, and leaves other calls alone.
func TestEachHookOfThePage(t *testing.T) {
	page := pageHooks(t)
	if len(page) != 6 {
		t.Fatalf("%d hooks on the page", len(page))
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
			t.Errorf("hook %d fails: %v", i, a.Failed)
		}
		return a
	}
	call := script.Call{Called: "820200001", Calling: "9001", Class: "map-tile", Category: 10, To: 102}
	with := func(f func(*script.Call)) script.Event {
		c := call
		f(&c)
		return script.CallEvent(c)
	}
	plain := script.CallEvent(call)
	for _, n := range []string{"820100001", "8203712"} {
		if a := run(0, script.Arrival, with(func(c *script.Call) { c.Called = n })); a.Class != "storm-tile" || len(a.Tags) != 1 {
			t.Errorf("storm desk %s: %+v", n, a)
		}
	}
	if a := run(0, script.Arrival, plain); a.Class != "" {
		t.Errorf("not the storm desk: %+v", a)
	}
	refused := 0
	for range 200 {
		if run(1, script.Arrival, plain).Refuse == 42 {
			refused++
		}
	}
	if refused < 90 || refused > 110 { // ten a second over ten seconds
		t.Errorf("%d of 200 calls to one number refused", refused)
	}
	if a := run(1, script.Arrival, with(func(c *script.Call) { c.Called = "820299999" })); a.Refuse != 0 {
		t.Errorf("another number: %+v", a)
	}
	if a := run(1, script.Arrival, with(func(c *script.Call) { c.Class = "storm-tile" })); a.Refuse != 0 {
		t.Errorf("a storm call to the hot number: %+v", a)
	}
	if a := run(2, script.Route, plain); len(a.Exclude) != 1 || a.Exclude[0] != 104 {
		t.Errorf("%+v", a)
	}
	if a := run(2, script.Route, with(func(c *script.Call) { c.Class = "storm-tile" })); len(a.Exclude) != 0 {
		t.Errorf("%+v", a)
	}
	for _, x := range []struct{ cause, exchange, want int }{{47, 103, 42}, {47, 102, 0}, {34, 103, 0}} {
		if a := run(3, script.AttemptEnd, script.AttemptEndEvent(call, x.cause, x.exchange, true, time.Second)); a.TreatAs != x.want {
			t.Errorf("cause %d of %d is read as %d", x.cause, x.exchange, a.TreatAs)
		}
	}
	second := with(func(c *script.Call) { c.Category = 12 })
	for _, x := range []struct{ waiting, want int }{{10, 0}, {300, 42}, {10, 0}} {
		var a hooks.Advice
		ev := script.EveryEvent(x.waiting, 0, 0, 0, 0, 0)
		r.Run(sets[4], script.Every, &ev, time.Hour, &a)
		if got := run(4, script.Arrival, second).Refuse; got != x.want {
			t.Errorf("with %d waiting: %d", x.waiting, got)
		}
		if run(4, script.Arrival, plain).Refuse != 0 {
			t.Error("an ordinary call is refused")
		}
	}
	for range 3 {
		run(5, script.Arrival, plain)
	}
	if a := run(5, script.Every, script.EveryEvent(0, 0, 0, 0, 0, 0)); len(a.Logs) != 1 || a.Logs[0].Value != "9001 3" {
		t.Errorf("%+v", a)
	}
	if a := run(5, script.Final, script.FinalEvent(call, "failed", 102, 103, time.Second)); len(a.Logs) != 1 || a.Logs[0].Value != "103" {
		t.Errorf("%+v", a)
	}
	if a := run(5, script.Final, script.FinalEvent(call, "stands", 0, 103, time.Second)); len(a.Logs) != 0 {
		t.Errorf("%+v", a)
	}
}
