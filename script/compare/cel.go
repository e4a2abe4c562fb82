package compare

import (
	"cel.dev/cel-go/cel"
	"cel.dev/cel-go/ext"
)

func stringsExt() cel.EnvOption { return ext.Strings() }
