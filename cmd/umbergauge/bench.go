package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/bench"
)

func benchCommand() *cobra.Command {
	c := &cobra.Command{Use: "bench", Short: "Measure the program on this machine, on loopback with plain responders"}
	var stop context.CancelFunc
	// The context ends on a signal, so that an interrupted measurement also stops the controller that it started.
	c.PersistentPreRun = func(cmd *cobra.Command, _ []string) {
		var ctx context.Context
		ctx, stop = signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
		cmd.SetContext(ctx)
	}
	c.PersistentPostRun = func(*cobra.Command, []string) { stop() }
	var o bench.Options
	var asJSON bool
	path := &cobra.Command{
		Use:   "path",
		Short: "Calls a second and added delay of the full path, beside a bare relay",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Exchanges < 2 || o.Exchanges > 200 || o.Window < 1 || o.Window > 4000 || o.Rate <= 0 || o.Rate > 1e5 || o.Span <= 0 {
				return fmt.Errorf("flags out of range: want 2 to 200 exchanges, a window of 1 to 4000, a rate above 0 and up to 100000, and a span above 0")
			}
			var err error
			if o.Program, err = os.Executable(); err != nil {
				return err
			}
			res, err := bench.Run(cmd.Context(), o)
			if err != nil {
				return resultError{err}
			}
			w := cmd.OutOrStdout()
			if asJSON {
				return json.NewEncoder(w).Encode(res)
			}
			fmt.Fprintf(w, "%d exchanges, %d cores, loopback with plain responders\n", res.Exchanges, res.Cores)
			for _, x := range []struct {
				name string
				f    bench.Figures
			}{{"relay", res.Relay}, {"controller", res.Controller}, {"unbounded", res.Unbounded}, {"bounded", res.Bounded}} {
				fmt.Fprintf(w, "%-11s %8.0f calls/s (refused %d), IAM to IAM p50 %.0f p99 %.0f p99.9 %.0f max %.0f us, CPU %.1f us a call, RSS %.0f MiB\n", x.name,
					x.f.CallsPerSecond, x.f.Refused, x.f.DelayMicros[0], x.f.DelayMicros[1], x.f.DelayMicros[2], x.f.DelayMicros[3], x.f.CPUPerCall, x.f.RSSMiB)
			}
			fmt.Fprintf(w, "controller's calls out %.1f; ratio %.2f to the relay with as many calls under way, %.2f unbounded, %.2f bounded to the calls out\n",
				res.Controller.Out, res.Ratio, res.RatioUnbounded, res.RatioBounded)
			fmt.Fprintf(w, "added delay p50 %.0f p99 %.0f p99.9 %.0f us at %.0f calls/s\n", res.AddedUS[0], res.AddedUS[1], res.AddedUS[2], o.Rate)
			return nil
		},
	}
	f := path.Flags()
	f.IntVar(&o.Exchanges, "exchanges", 6, "exchanges, the own one included")
	f.IntVar(&o.Window, "window", 64, "calls under way at once")
	f.Float64Var(&o.Rate, "rate", 2000, "calls a second when delay is measured")
	f.DurationVar(&o.Span, "span", 5*time.Second, "of each measurement")
	f.DurationVar(&o.WarmUp, "warm-up", 3*time.Second, "before them")
	f.StringVar(&o.Profile, "cpuprofile", "", "write the controller's CPU profile to this file")
	f.StringSliceVar(&o.Hooks, "hooks", nil, "scripts that the controller runs")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	relay := &cobra.Command{
		Use: "relay LISTEN SWITCH...", Hidden: true, Args: cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error { return bench.Relay(cmd.Context(), args[0], args[1:]) },
	}
	var soakOptions bench.SoakOptions
	soak := &cobra.Command{
		Use:   "soak",
		Short: "Run a controller under load with faults around it and sample its process",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if soakOptions.Exchanges < 3 || soakOptions.Exchanges > 100 || soakOptions.Rate <= 0 || soakOptions.Rate > 10000 || soakOptions.Span < 30*time.Second || soakOptions.Span > 24*time.Hour || soakOptions.Every < time.Second {
				return fmt.Errorf("flags out of range: want 3 to 100 exchanges, a rate above 0 and up to 10000, a span of 30s to 24h and samples at least 1s apart")
			}
			var err error
			if soakOptions.Program, err = os.Executable(); err != nil {
				return err
			}
			res, err := bench.Soak(cmd.Context(), soakOptions, cmd.ErrOrStderr())
			if err != nil {
				return resultError{err}
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(res)
			}
			t := res.Load.Totals
			fmt.Fprintf(cmd.OutOrStdout(), "%d faults; offered %d, tries %d: stood %d, refused %d, given up %d, cut %d\n", res.Faults, t.Offered, t.Tries, t.Answered, t.Refused, t.Abandoned, t.Cut)
			setUp := res.Load.SetUpUS
			fmt.Fprintf(cmd.OutOrStdout(), "set-up from when a call was due, stand-in switch included: p50 %d p99 %d p99.9 %d us\n", setUp.P50, setUp.P99, setUp.P999)
			return nil
		},
	}
	f = soak.Flags()
	f.DurationVar(&soakOptions.Span, "span", time.Hour, "how long")
	f.DurationVar(&soakOptions.Every, "every", time.Minute, "between samples")
	f.Float64Var(&soakOptions.Rate, "rate", 200, "calls a second")
	f.IntVar(&soakOptions.Exchanges, "exchanges", 6, "exchanges, the own one included")
	f.BoolVar(&soakOptions.NoFaults, "calm", false, "make no faults")
	f.Uint64Var(&soakOptions.Seed, "seed", 1, "of load and faults")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	var span time.Duration
	var rate float64
	var matrix bool
	var program, only string
	open := &cobra.Command{
		Use:   "open",
		Short: "What one controller carries in front of far exchanges that are well, ringing and thin faults included",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if span < 8*time.Second || span > 10*time.Minute || rate <= 0 || rate > 10000 {
				return fmt.Errorf("flags out of range: want a span of 8s to 10m and a rate above 0 and up to 10000")
			}
			if program == "" {
				var err error
				if program, err = os.Executable(); err != nil {
					return err
				}
			}
			cases := bench.OpenTable(span)
			if matrix {
				cases = bench.OpenMatrix(span, rate)
			}
			w := cmd.OutOrStdout()
			var all []bench.OpenResult
			for _, x := range cases {
				if !strings.Contains(x.Name, only) {
					continue
				}
				res, err := bench.Open(cmd.Context(), program, x, cmd.ErrOrStderr())
				if err != nil {
					return resultError{err}
				}
				all = append(all, res)
				if !asJSON {
					opened := "never"
					if res.OpenIn >= 0 {
						opened = fmt.Sprintf("%2.0f s", res.OpenIn.Seconds())
					}
					fmt.Fprintf(w, "%-26s offered %6d: stood %.3f, after 5 s %.3f of %.3f that circuits and processors leave; open within %s; set-up p50 %.1f p99 %.1f ms; %.2f cores\n",
						x.Name, res.Load.Offered, res.Share, res.Settled, res.Bound, opened, float64(res.SetUpUS.P50)/1000, float64(res.SetUpUS.P99)/1000, res.CPU)
				}
			}
			if asJSON {
				return json.NewEncoder(w).Encode(all)
			}
			return nil
		},
	}
	f = open.Flags()
	f.DurationVar(&span, "span", 20*time.Second, "of each case; ringing comes on top")
	f.Float64Var(&rate, "rate", 600, "calls a second of the matrix")
	f.BoolVar(&matrix, "matrix", false, "1, 3 and 76 far exchanges by answer times and ringing, in place of the table")
	f.StringVar(&only, "only", "", "cases whose name holds this")
	f.StringVar(&program, "program", "", "another build that is run as the controller")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	c.AddCommand(path, open, soak, relay)
	return c
}
