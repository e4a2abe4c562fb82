// Command umbergauge is a call router: it sets up calls over trunk groups. README.md has its commands.
package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

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
		Version:       version(),
		Args:          cobra.NoArgs,
		// Without a Run of its own cobra shows help and calls an unknown command good.
		RunE: func(cmd *cobra.Command, _ []string) error {
			return errors.New("a command is missing; --help lists them")
		},
	}
	c.AddCommand(runCommand(), checkCommand(), dayCommand(), scriptCommand(), loadCommand(), switchCommand(), captureCommand(), benchCommand())
	for _, sub := range c.Commands() { // groups of commands too
		if sub.HasSubCommands() && !sub.Runnable() {
			sub.Args = cobra.NoArgs
			sub.RunE = func(cmd *cobra.Command, _ []string) error {
				return fmt.Errorf("%s: a command is missing; --help lists them", cmd.Name())
			}
		}
	}
	return c
}

// version is the commit and the Go version that the program was built from, as far as the build noted them.
func version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	commit, changed := "unknown commit", ""
	for _, s := range b.Settings {
		switch {
		case s.Key == "vcs.revision":
			commit = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = " with changes"
		}
	}
	return fmt.Sprintf("%s%s, %s", commit, changed, b.GoVersion)
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
