package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/script"
)

func readScripts(files []string) ([]hooks.Source, error) {
	var out []hooks.Source
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, resultError{err}
		}
		out = append(out, hooks.Source{Name: f, Text: string(b)})
	}
	return out, nil
}

// compileScripts compiles files into a set. Scripts may set the classes and tenants of the settings in configFile; if it is
// empty there are none, and a hook that sets one fails when it runs.
func compileScripts(files []string, configFile string) (*hooks.Set, error) {
	src, err := readScripts(files)
	if err != nil {
		return nil, err
	}
	var names hooks.Names
	if configFile != "" {
		cfg, err := config.Load(configFile)
		if err != nil {
			return nil, resultError{err}
		}
		for _, x := range cfg.Classes {
			names.Classes = append(names.Classes, x.Name)
		}
		for _, x := range cfg.Tenants {
			names.Tenants = append(names.Tenants, x.Name)
		}
	}
	s, err := hooks.Compile(src, names, nil)
	if err != nil {
		return nil, resultError{err}
	}
	return s, nil
}

func scriptCommand() *cobra.Command {
	c := &cobra.Command{Use: "script", Short: "Check, lay out, try and time hooks"}
	var configFile string
	check := &cobra.Command{
		Use: "check FILE...", Short: "Say what is wrong with scripts, and what looks wrong", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := compileScripts(args, configFile)
			if err != nil {
				return err
			}
			for _, w := range s.Warnings() {
				fmt.Fprintf(cmd.OutOrStdout(), "warning: %v\n", w)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "good:", s)
			return nil
		},
	}
	check.Flags().StringVarP(&configFile, "config", "c", "", "settings, for the names of classes and tenants")

	var write bool
	format := &cobra.Command{
		Use: "fmt FILE...", Short: "Lay scripts out in the one way", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := readScripts(args)
			if err != nil {
				return err
			}
			for _, x := range src {
				text, err := script.Format(x.Name, x.Text)
				switch {
				case err != nil:
					return resultError{err}
				case !write:
					fmt.Fprint(cmd.OutOrStdout(), text)
				case text != x.Text:
					if err := os.WriteFile(x.Name, []byte(text), 0o644); err != nil {
						return resultError{err}
					}
				}
			}
			return nil
		},
	}
	format.Flags().BoolVarP(&write, "write", "w", false, "write the files instead of printing them")

	var examples string
	run := &cobra.Command{
		Use: "run FILE... -e EXAMPLES", Short: "Run scripts on the events of a file of examples", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := compileScripts(args, configFile)
			if err != nil {
				return err
			}
			b, err := os.ReadFile(examples)
			if err != nil {
				return resultError{err}
			}
			parsed, err := hooks.ParseExamples(examples, b)
			if err != nil {
				return resultError{err}
			}
			r := hooks.NewRunner()
			for i, x := range parsed {
				ev, err := script.ParseEvent(x.Hook, x.Event)
				if err != nil {
					return resultError{fmt.Errorf("example %d: %w", i+1, err)}
				}
				var a hooks.Advice
				r.Run(s, x.Hook, &ev, time.Hour, &a)
				fmt.Fprintf(cmd.OutOrStdout(), "%d %s: refuse %d, class %q, tenant %q, rewrite %q, exclude %v, treat_as %d, tags %q, logs %v, failed %v\n",
					i+1, x.Hook, a.Refuse, a.Class, a.Tenant, a.Rewrite, a.Exclude, a.TreatAs, a.Tags, a.Logs, a.Failed)
			}
			if err := s.Check(parsed); err != nil {
				return resultError{err}
			}
			return nil
		},
	}
	run.Flags().StringVarP(&examples, "examples", "e", "", "file of examples")
	run.Flags().StringVarP(&configFile, "config", "c", "", "settings, for the names of classes and tenants")
	run.MarkFlagRequired("examples")

	bench := &cobra.Command{
		Use: "bench FILE...", Short: "Time each hook on an ordinary call", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := readScripts(args)
			if err != nil {
				return err
			}
			for _, x := range src {
				p, err := script.Compile(filepath.Base(x.Name), x.Text)
				if err != nil {
					return resultError{err}
				}
				state, vm := p.NewState(nil, nil), script.NewVM()
				ev := script.FinalEvent(script.Call{Called: "820112345", Calling: "9012345", Class: "map-tile", Category: 10, To: 102, Attempts: 1}, "stands", 16, 102, time.Second)
				for i, h := range p.Hooks {
					var res script.Result
					var failure error
					r := testing.Benchmark(func(b *testing.B) {
						b.ReportAllocs()
						for b.Loop() {
							res.Reset()
							if err := vm.Run(p, i, &ev, state, time.Hour, &res); err != nil {
								failure = err
							}
						}
					})
					fmt.Fprintf(cmd.OutOrStdout(), "%s:%d on %s: %d ns, %d steps of %d, %d octets of %d, %d allocations", p.Name, h.Line, h.Kind, r.NsPerOp(), res.Steps, h.Steps, res.Memory, h.Memory, r.AllocsPerOp())
					if failure != nil {
						fmt.Fprintf(cmd.OutOrStdout(), "; it fails: %v", failure)
					}
					fmt.Fprintln(cmd.OutOrStdout())
				}
			}
			return nil
		},
	}
	reference := &cobra.Command{
		Use: "reference", Short: "Print the page of fields and functions", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprint(cmd.OutOrStdout(), script.Reference())
			return err
		},
	}
	c.AddCommand(check, format, run, bench, reference)
	return c
}
