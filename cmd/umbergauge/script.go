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

func sources(files []string) ([]hooks.Source, error) {
	var out []hooks.Source
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			return nil, short{err}
		}
		out = append(out, hooks.Source{Name: f, Text: string(b)})
	}
	return out, nil
}

// scriptSet compiles files by the names of a settings file, or by those that the files themselves use if there is none.
func scriptSet(files []string, settings string) (*hooks.Set, error) {
	src, err := sources(files)
	if err != nil {
		return nil, err
	}
	var names hooks.Names
	if settings != "" {
		c, err := config.Load(settings)
		if err != nil {
			return nil, short{err}
		}
		for _, x := range c.Classes {
			names.Classes = append(names.Classes, x.Name)
		}
		for _, x := range c.Tenants {
			names.Tenants = append(names.Tenants, x.Name)
		}
	}
	s, err := hooks.Compile(src, names, nil)
	if err != nil {
		return nil, short{err}
	}
	return s, nil
}

func scriptCommand() *cobra.Command {
	c := &cobra.Command{Use: "script", Short: "Check, lay out, try and time hooks"}
	var settings string
	check := &cobra.Command{
		Use: "check FILE...", Short: "Say what is wrong with scripts, and what looks wrong", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := scriptSet(args, settings)
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
	check.Flags().StringVarP(&settings, "config", "c", "", "settings, for the names of classes and tenants")

	var write bool
	format := &cobra.Command{
		Use: "fmt FILE...", Short: "Lay scripts out in the one way", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := sources(args)
			if err != nil {
				return err
			}
			for _, x := range src {
				text, err := script.Format(x.Name, x.Text)
				switch {
				case err != nil:
					return short{err}
				case !write:
					fmt.Fprint(cmd.OutOrStdout(), text)
				case text != x.Text:
					if err := os.WriteFile(x.Name, []byte(text), 0o644); err != nil {
						return short{err}
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
			s, err := scriptSet(args, settings)
			if err != nil {
				return err
			}
			b, err := os.ReadFile(examples)
			if err != nil {
				return short{err}
			}
			list, err := hooks.ParseExamples(examples, b)
			if err != nil {
				return short{err}
			}
			r := hooks.NewRunner()
			for i, x := range list {
				ev, err := script.ParseEvent(x.Hook, x.Event)
				if err != nil {
					return short{fmt.Errorf("example %d: %w", i+1, err)}
				}
				var a hooks.Advice
				r.Run(s, x.Hook, &ev, time.Hour, &a)
				fmt.Fprintf(cmd.OutOrStdout(), "%d %s: refuse %d, class %q, tenant %q, rewrite %q, exclude %v, treat_as %d, tags %q, logs %v, failed %v\n",
					i+1, x.Hook, a.Refuse, a.Class, a.Tenant, a.Rewrite, a.Exclude, a.TreatAs, a.Tags, a.Logs, a.Failed)
			}
			if err := s.Check(list); err != nil {
				return short{err}
			}
			return nil
		},
	}
	run.Flags().StringVarP(&examples, "examples", "e", "", "file of examples")
	run.Flags().StringVarP(&settings, "config", "c", "", "settings, for the names of classes and tenants")
	run.MarkFlagRequired("examples")

	bench := &cobra.Command{
		Use: "bench FILE...", Short: "Time each hook on an ordinary call", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := sources(args)
			if err != nil {
				return err
			}
			for _, x := range src {
				p, err := script.Compile(filepath.Base(x.Name), x.Text)
				if err != nil {
					return short{err}
				}
				st, vm := p.NewState(nil, nil), script.NewVM()
				ev := script.FinalEvent(script.Call{Called: "820112345", Calling: "9012345", Class: "map-tile", Category: 10, To: 102, Attempts: 1}, "stands", 16, 102, time.Second)
				for i, h := range p.Hooks {
					var res script.Result
					var fault error
					r := testing.Benchmark(func(b *testing.B) {
						b.ReportAllocs()
						for b.Loop() {
							res.Reset()
							if err := vm.Run(p, i, &ev, st, time.Hour, &res); err != nil {
								fault = err
							}
						}
					})
					fmt.Fprintf(cmd.OutOrStdout(), "%s:%d on %s: %d ns, %d steps of %d, %d octets of %d, %d allocations", p.Name, h.Line, h.Kind, r.NsPerOp(), res.Steps, h.Steps, res.Memory, h.Memory, r.AllocsPerOp())
					if fault != nil {
						fmt.Fprintf(cmd.OutOrStdout(), "; it fails: %v", fault)
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
