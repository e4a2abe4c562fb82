package compare

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cel.dev/cel-go/cel"
	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"
	lua "github.com/yuin/gopher-lua"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"github.com/umbergauge/umbergauge/script"
)

// blocked are the called numbers that the hook "refuse" refuses.
var blocked = func() []string {
	var s []string
	for i := range 20 {
		s = append(s, fmt.Sprintf("8202%05d", i*37))
	}
	return s
}()

// The call that the hooks run on.
var (
	called   = "820100703"
	category = 10
	attempts = 2
	to       = 104
)

// quoted returns the blocked numbers as the elements of a list literal.
func quoted() string { return `"` + strings.Join(blocked, `", "`) + `"` }

// hooks are the same four programs in each language: the class of a call by its prefix, a refusal by a list of numbers, a tag made of
// fields, and a sum over a list. The result of each is a string: the class, the cause or the tag.
var hooks = []struct{ name, umbergauge, starlarkSource, expr, cel, lua string }{
	{"class",
		"on arrival {\n\tmatch call.called {\n\t\t8201*, 8203* -> set_class(\"storm-tile\")\n\t\t82?9* -> set_class(\"map-tile\")\n\t\telse -> set_class(\"other\")\n\t}\n}\n",
		"def hook(called, category, attempts, to):\n  if called.startswith('8201') or called.startswith('8203'):\n    return 'storm-tile'\n  if called.startswith('82') and called[3] == '9':\n    return 'map-tile'\n  return 'other'\n",
		"called startsWith '8201' or called startsWith '8203' ? 'storm-tile' : called startsWith '82' and called[3:4] == '9' ? 'map-tile' : 'other'",
		"called.startsWith('8201') || called.startsWith('8203') ? 'storm-tile' : called.startsWith('82') && called.substring(3, 4) == '9' ? 'map-tile' : 'other'",
		"function hook(called, category, attempts, to)\n  local p = string.sub(called, 1, 4)\n  if p == '8201' or p == '8203' then return 'storm-tile' end\n  if string.sub(called, 1, 2) == '82' and string.sub(called, 4, 4) == '9' then return 'map-tile' end\n  return 'other'\nend\n"},
	{"refuse",
		"const blocked = [" + quoted() + "]\n\non arrival {\n\tif call.category == 10 and call.called in blocked {\n\t\trefuse(21)\n\t}\n}\n",
		"blocked = [" + quoted() + "]\ndef hook(called, category, attempts, to):\n  if category == 10 and called in blocked:\n    return '21'\n  return ''\n",
		"category == 10 and called in [" + quoted() + "] ? '21' : ''",
		"category == 10 && called in [" + quoted() + "] ? '21' : ''",
		"local blocked = {" + quoted() + "}\nfunction hook(called, category, attempts, to)\n  if category == 10 then\n    for i = 1, #blocked do if blocked[i] == called then return '21' end end\n  end\n  return ''\nend\n"},
	{"tag",
		"on arrival {\n\ttag(\"to \" + text(call.to) + \" try \" + text(call.attempts))\n}\n",
		"def hook(called, category, attempts, to):\n  return 'to ' + str(to) + ' try ' + str(attempts)\n",
		"'to ' + string(to) + ' try ' + string(attempts)",
		"'to ' + string(to) + ' try ' + string(attempts)",
		"function hook(called, category, attempts, to)\n  return 'to ' .. to .. ' try ' .. attempts\nend\n"},
	{"sum",
		"const weights = [3, 1, 4, 1, 5, 9, 2, 6, 5, 3]\n\non arrival {\n\tlet sum = 0\n\tfor w in weights {\n\t\tsum = sum + w * call.attempts\n\t}\n\tif sum > 50 {\n\t\ttag(\"heavy\")\n\t}\n}\n",
		"weights = [3, 1, 4, 1, 5, 9, 2, 6, 5, 3]\ndef hook(called, category, attempts, to):\n  sum = 0\n  for w in weights:\n    sum += w * attempts\n  return 'heavy' if sum > 50 else ''\n",
		"reduce([3, 1, 4, 1, 5, 9, 2, 6, 5, 3], #acc + # * attempts, 0) > 50 ? 'heavy' : ''",
		"", // CEL has no fold over a list in its standard library
		"local weights = {3, 1, 4, 1, 5, 9, 2, 6, 5, 3}\nfunction hook(called, category, attempts, to)\n  local sum = 0\n  for i = 1, #weights do sum = sum + weights[i] * attempts end\n  if sum > 50 then return 'heavy' end\n  return ''\nend\n"},
}

// checkResult fails the benchmark if a hook's result is not the expected one.
func checkResult(t testing.TB, name, got string) {
	t.Helper()
	if w := map[string]string{"class": "storm-tile", "refuse": "", "tag": "to 104 try 2", "sum": "heavy"}[name]; got != w {
		t.Fatalf("%s gives %q, want %q", name, got, w)
	}
}

// BenchmarkHook measures one run of each hook in each language.
func BenchmarkHook(b *testing.B) {
	for _, h := range hooks {
		b.Run(h.name+"/umbergauge", func(b *testing.B) {
			p, err := script.Compile(h.name, h.umbergauge)
			if err != nil {
				b.Fatal(err)
			}
			m, st := script.NewVM(), p.NewState(nil, nil)
			var res script.Result
			var ev script.Event
			b.ReportAllocs()
			for b.Loop() {
				ev.S[0], ev.N[0], ev.N[2], ev.N[3] = called, int64(category), int64(to), int64(attempts)
				res.Reset()
				if err := m.Run(p, 0, &ev, st, time.Hour, &res); err != nil {
					b.Fatal(err)
				}
			}
			got := res.Class
			if len(res.Tags) > 0 {
				got = res.Tags[0]
			}
			checkResult(b, h.name, got)
		})
		b.Run(h.name+"/starlark", func(b *testing.B) {
			g, err := starlark.ExecFileOptions(&syntax.FileOptions{}, &starlark.Thread{}, "hook", h.starlarkSource, nil)
			if err != nil {
				b.Fatal(err)
			}
			g.Freeze()
			f := g["hook"]
			var v starlark.Value
			b.ReportAllocs()
			for b.Loop() {
				t := &starlark.Thread{}
				t.SetMaxExecutionSteps(5000)
				if v, err = starlark.Call(t, f, starlark.Tuple{starlark.String(called), starlark.MakeInt(category), starlark.MakeInt(attempts), starlark.MakeInt(to)}, nil); err != nil {
					b.Fatal(err)
				}
			}
			checkResult(b, h.name, string(v.(starlark.String)))
		})
		b.Run(h.name+"/expr", func(b *testing.B) {
			type env struct {
				Called   string `expr:"called"`
				Category int    `expr:"category"`
				Attempts int    `expr:"attempts"`
				To       int    `expr:"to"`
			}
			p, err := expr.Compile(h.expr, expr.Env(env{}))
			if err != nil {
				b.Fatal(err)
			}
			var m vm.VM
			var v any
			b.ReportAllocs()
			for b.Loop() {
				if v, err = m.Run(p, env{called, category, attempts, to}); err != nil {
					b.Fatal(err)
				}
			}
			checkResult(b, h.name, v.(string))
		})
		if h.cel != "" {
			b.Run(h.name+"/cel", func(b *testing.B) {
				e, err := cel.NewEnv(cel.Variable("called", cel.StringType), cel.Variable("category", cel.IntType), cel.Variable("attempts", cel.IntType), cel.Variable("to", cel.IntType), stringsExt())
				if err != nil {
					b.Fatal(err)
				}
				ast, iss := e.Compile(h.cel)
				if iss.Err() != nil {
					b.Fatal(iss.Err())
				}
				p, err := e.Program(ast, cel.EvalOptions(cel.OptOptimize))
				if err != nil {
					b.Fatal(err)
				}
				got := ""
				b.ReportAllocs()
				for b.Loop() {
					v, _, err := p.Eval(map[string]any{"called": called, "category": category, "attempts": attempts, "to": to})
					if err != nil {
						b.Fatal(err)
					}
					got = v.Value().(string)
				}
				checkResult(b, h.name, got)
			})
		}
		b.Run(h.name+"/lua", func(b *testing.B) {
			l := lua.NewState()
			defer l.Close()
			if err := l.DoString(h.lua); err != nil {
				b.Fatal(err)
			}
			f := l.GetGlobal("hook")
			got := ""
			b.ReportAllocs()
			for b.Loop() {
				if err := l.CallByParam(lua.P{Fn: f, NRet: 1, Protect: true}, lua.LString(called), lua.LNumber(category), lua.LNumber(attempts), lua.LNumber(to)); err != nil {
					b.Fatal(err)
				}
				got = l.Get(-1).String()
				l.Pop(1)
			}
			checkResult(b, h.name, got)
		})
	}
}
