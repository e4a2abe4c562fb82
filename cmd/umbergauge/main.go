// Command umbergauge is a call router: it sets up calls over trunk groups. README.md lists its subcommands.
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
	exitOK     = 0
	exitFailed = 1 // the operation failed, or what was checked has faults
	exitUsage  = 2 // wrong command line
)

// resultError is an error of the operation itself, such as invalid settings or a violated rule, not of the command line.
type resultError struct{ error }

// resultErrorf returns a resultError with a formatted text.
func resultErrorf(format string, args ...any) error { return resultError{fmt.Errorf(format, args...)} }

func root() *cobra.Command {
	c := &cobra.Command{
		Use:           "umbergauge",
		Short:         "A call router that sets up calls over trunk groups",
		SilenceUsage:  true,
		SilenceErrors: true,
		Version:       version(),
		Args:          cobra.NoArgs,
		// Without a RunE, cobra prints help and returns no error for an unknown command.
		RunE: func(cmd *cobra.Command, _ []string) error {
			return errors.New("missing command; --help lists the commands")
		},
	}
	c.AddCommand(runCommand(), checkCommand(), dayCommand(), scriptCommand(), loadCommand(), switchCommand(), captureCommand(), benchCommand())
	for _, sub := range c.Commands() { // the same for groups of subcommands
		if sub.HasSubCommands() && !sub.Runnable() {
			sub.Args = cobra.NoArgs
			sub.RunE = func(cmd *cobra.Command, _ []string) error {
				return fmt.Errorf("%s: missing command; --help lists the commands", cmd.Name())
			}
		}
	}
	return c
}

// version returns the commit and the Go version of the build, as far as the build information has them.
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
		os.Exit(exitOK)
	}
	fmt.Fprintln(os.Stderr, "umbergauge:", err)
	var failed resultError
	if errors.As(err, &failed) {
		os.Exit(exitFailed)
	}
	os.Exit(exitUsage)
}
