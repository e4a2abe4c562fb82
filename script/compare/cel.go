// Package compare compares the run time of a hook in the project's language with Starlark, Expr, CEL and Lua. It is a module of its
// own, so that the daemon does not depend on their libraries. Run it with: cd script/compare && go test -bench .
package compare

import (
	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/ext"
)

// stringsExt returns CEL's extension library for strings.
func stringsExt() cel.EnvOption { return ext.Strings() }
