// Command umbergauge is a call router: it sets up calls over trunk groups. README.md has its commands.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitGood  = 0
	exitShort = 1 // the thing checked or played fell short
	exitUse   = 2 // wrong use
)

// short is an error about the thing checked or played, not about the command line.
type short struct{ error }

func fellShort(format string, args ...any) error { return short{fmt.Errorf(format, args...)} }

func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "umbergauge",
		Short:         "A call router that sets up calls over trunk groups",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
	}
	c.AddCommand(runCommand(), checkCommand(), dayCommand(), scriptCommand(), loadCommand(), captureCommand(), benchCommand())
	return c
}

func main() {
	err := root().Execute()
	if err == nil {
		os.Exit(exitGood)
	}
	fmt.Fprintln(os.Stderr, "umbergauge:", err)
	var s short
	if errors.As(err, &s) {
		os.Exit(exitShort)
	}
	os.Exit(exitUse)
}
