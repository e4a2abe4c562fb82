package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/check"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
	"github.com/umbergauge/umbergauge/scenario"
	"github.com/umbergauge/umbergauge/scenario/baseline"
)

// Scheduling delays occur when all controllers of a scenario run on one machine: the checker tolerates delays up to checkSlack,
// and the controllers wait guardMargin longer than the guard that the rule demands.
const (
	checkSlack  = 75 * time.Millisecond
	guardMargin = 50 * time.Millisecond
)

// dayCommand returns the subcommand day, which runs a scenario and reports on it.
func dayCommand() *cobra.Command {
	var seed uint64
	var asJSON, generate, useBaseline, verbose, noRinging bool
	var kind, trace string
	var scripts []string
	c := &cobra.Command{
		Use:   "day [FILE|NAME]",
		Short: "Play a scripted day through real controllers on loopback and judge it; without FILE the built-in bad day",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			selected, err := selectScenario(args, generate, seed, kind)
			if err != nil {
				return err
			}
			if cmd.Flags().Changed("seed") {
				selected.Seed = seed
			}
			if generate && len(args) == 0 && !cmd.Flags().Changed("play") {
				b, err := yaml.Marshal(selected)
				if err != nil {
					return err
				}
				_, err = cmd.OutOrStdout().Write(b)
				return err
			}
			opt := scenario.Options{Log: zerolog.Nop(), Slack: checkSlack, GuardMargin: guardMargin}
			if verbose {
				opt.Log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, TimeFormat: time.StampMilli}).With().Timestamp().Logger()
			}
			if opt.Hooks, err = readScripts(scripts); err != nil {
				return err
			}
			if noRinging {
				selected = selected.WithoutRinging()
			}
			if useBaseline {
				opt.Engine = baseline.New
			}
			if !asJSON {
				fmt.Fprintf(cmd.ErrOrStderr(), "playing %s, seed %d: %d exchanges, %v, %d troubles\n", selected.Name, selected.Seed, selected.Network.Exchanges, selected.Length, len(selected.Faults))
			}
			res, err := scenario.Run(cmd.Context(), selected, opt)
			if err != nil {
				return resultError{err}
			}
			if trace != "" {
				traceCall(cmd.ErrOrStderr(), res.Record, trace)
			}
			if asJSON {
				encoder := json.NewEncoder(cmd.OutOrStdout())
				encoder.SetIndent("", "  ")
				if err := encoder.Encode(res); err != nil {
					return err
				}
			} else {
				printReport(cmd.OutOrStdout(), res)
			}
			if violations := len(res.Report.Violations); violations > 0 {
				return resultErrorf("%d rule violations", violations)
			}
			return nil
		},
	}
	f := c.Flags()
	f.Uint64Var(&seed, "seed", 1, "seed of the day")
	f.BoolVar(&asJSON, "json", false, "print the verdict as JSON")
	f.BoolVar(&generate, "draw", false, "draw a day from the seed and print it (with --play: play it)")
	f.StringVar(&kind, "kind", "trouble", "kind of the drawn day: quiet, trouble, overload or only:KIND")
	f.Bool("play", false, "play the drawn day")
	f.BoolVar(&useBaseline, "plain", false, "play it with plain direct-only routing, for comparison")
	f.BoolVar(&noRinging, "no-ringing", false, "numbers answer at once and there are no thin faults")
	f.BoolVarP(&verbose, "verbose", "v", false, "show the controllers' logs")
	f.StringSliceVar(&scripts, "hooks", nil, "scripts that every controller runs")
	f.StringVar(&trace, "trace", "", "show the frames of the call REF (as findings name it)")
	return c
}

// selectScenario returns a scenario generated from the seed, a built-in one by its name, or that of a file.
func selectScenario(args []string, generate bool, seed uint64, kind string) (*scenario.Scenario, error) {
	if generate {
		if len(args) > 0 {
			return nil, fmt.Errorf("--draw takes no file")
		}
		return scenario.Generate(seed, kind)
	}
	if len(args) == 0 {
		return scenario.OverlappingFaults(), nil
	}
	if selected := scenario.Builtin(args[0]); selected != nil {
		return selected, nil
	}
	selected, err := scenario.Load(args[0])
	if err != nil {
		return nil, resultError{err}
	}
	return selected, nil
}

// traceCall prints the IAMs of a call and all messages on their circuits.
func traceCall(w io.Writer, rec record.Recording, call string) {
	type circuit struct {
		a, b uint32
		cic  uint16
	}
	selected := map[circuit]bool{}
	check.Trace(io.Discard, rec, func(_ record.Link, m *m3ua.Message, u *isup.Message) bool {
		if u != nil && u.Type == isup.IAM && fmt.Sprintf("%d.%d", u.Ref.PC, u.Ref.ID) == call {
			selected[circuit{m.Data.OPC, m.Data.DPC, u.CIC}] = true
			selected[circuit{m.Data.DPC, m.Data.OPC, u.CIC}] = true
		}
		return false
	})
	check.Trace(w, rec, func(_ record.Link, m *m3ua.Message, u *isup.Message) bool {
		return u != nil && selected[circuit{m.Data.OPC, m.Data.DPC, u.CIC}]
	})
}

func printReport(w io.Writer, res scenario.Result) {
	r := res.Report
	fmt.Fprintf(w, "%s, seed %d (on loopback, with stand-in switches and clients)\n\n", res.Name, res.Seed)
	fmt.Fprintf(w, "service         %6.3f of %d calls' worth\n", r.Whole.Share, r.Whole.Calls)
	fmt.Fprintf(w, "worst 10 s      %6.3f from %v on\n", r.WorstWindow.Share, r.WorstFrom.Round(time.Second))
	for _, name := range res.Classes() {
		mark := ""
		if name == r.WorstClass {
			mark = "  (worst)"
		}
		fmt.Fprintf(w, "  %-13s %6.3f of %d calls%s\n", name, r.Classes[name].Share, r.Classes[name].Calls, mark)
	}
	if len(r.Faults) > 0 {
		fmt.Fprintln(w, "\ncalls offered during")
		for _, t := range r.Faults {
			fmt.Fprintf(w, "  %-18s %6.3f of %4d calls, %v from %v on\n", t.Name, t.Service.Share, t.Service.Calls, t.Span, t.From.Round(100*time.Millisecond))
		}
	}
	fmt.Fprintf(w, "\ntries %d: stood %d, refused or failed %d, given up %d, cut %d\n", r.Tries, r.Answered, r.Refused, r.Abandoned, r.Cut)
	fmt.Fprintf(w, "attempts %d, of them by tandem %d; dual seizures %d; frames %d\n", r.Attempts, r.Tandem, r.Dual, r.Frames)
	fmt.Fprintf(w, "set-up time to ACM p50 %.0f ms, p99 %.0f ms, longest %.0f ms; to the answer p50 %.0f ms, p99 %.0f ms\n",
		r.DelaysMS[0], r.DelaysMS[1], r.DelaysMS[2], r.AnswersMS[0], r.AnswersMS[1])
	fmt.Fprintf(w, "rang %d; nobody answered %d callers (in no service); service if the aim ran to the answer %.3f\n", r.Alerted, r.NoAnswer, r.ToAnswer.Share)
	fmt.Fprintf(w, "\nrules broken: %d\n", len(r.Violations))
	for i, f := range r.Violations {
		if i == 20 {
			fmt.Fprintf(w, "  ... and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %v\n", f)
	}
}
