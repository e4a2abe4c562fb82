package script

import (
	"fmt"
	"strings"
)

// Reference returns the reference page in Markdown: all fields, and all built-ins with an example that the tests compile and run.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Reference of the hooks' language\n\nMade by `umbergauge script reference`; every example is compiled and run by the tests.\n\n## Fields\n\n| hook | field | type | is |\n| --- | --- | --- | --- |\n")
	for _, h := range HookNames {
		for _, f := range hookFields[h] {
			if f.object == "call" && h != Arrival {
				continue
			}
			where := h
			if f.object == "call" {
				where = "arrival, route, attempt_end, final"
			}
			fmt.Fprintf(&b, "| %s | `%s.%s` | %v | %s |\n", where, f.object, f.name, f.ty, f.doc)
		}
	}
	b.WriteString("\n## Functions and actions\n")
	for _, x := range builtins {
		name, hooks := x.name, "any hook"
		if x.object != "" {
			name = x.object + "." + x.name
		}
		if len(x.hooks) > 0 {
			hooks = strings.Join(x.hooks, ", ")
		}
		var args []string
		for _, a := range x.args {
			switch {
			case a.kind == kNone:
				args = append(args, "any")
			case a.elem == nil && a.kind == kList:
				args = append(args, "list")
			case a.elem == nil && a.kind == kMap:
				args = append(args, "map")
			default:
				args = append(args, a.String())
			}
		}
		result := ""
		if x.result.kind != kNone {
			result = " " + x.result.String()
		}
		fmt.Fprintf(&b, "\n### %s(%s)%s\n\n%s In: %s.\n\n", name, strings.Join(args, ", "), result, x.doc, hooks)
		for _, l := range strings.Split(x.example, "\n") {
			fmt.Fprintf(&b, "    %s\n", strings.ReplaceAll(l, "\t", "    "))
		}
	}
	return b.String()
}
