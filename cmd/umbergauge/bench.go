package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/bench"
)

func benchCommand() *cobra.Command {
	c := &cobra.Command{Use: "bench", Short: "Measure the program on this machine, on loopback with plain responders"}
	var o bench.Options
	var asJSON bool
	path := &cobra.Command{
		Use:   "path",
		Short: "Calls a second and added delay of the full path, beside a bare relay",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if o.Exchanges < 2 || o.Exchanges > 200 || o.Window < 1 || o.Window > 4000 || o.Rate <= 0 || o.Rate > 1e5 || o.Span <= 0 {
				return fmt.Errorf("2 to 200 exchanges, a window of 1 to 4000, a rate of up to 100000 and a positive span can be")
			}
			var err error
			if o.Program, err = os.Executable(); err != nil {
				return err
			}
			res, err := bench.Run(cmd.Context(), o)
			if err != nil {
				return short{err}
			}
			w := cmd.OutOrStdout()
			if asJSON {
				return json.NewEncoder(w).Encode(res)
			}
			fmt.Fprintf(w, "%d exchanges, %d cores, loopback with plain responders\n", res.Exchanges, res.Cores)
			for _, x := range []struct {
				name string
				f    bench.Figures
			}{{"relay", res.Relay}, {"controller", res.Controller}} {
				fmt.Fprintf(w, "%-11s %8.0f calls/s (refused %d), IAM to IAM p50 %.0f p99 %.0f p99.9 %.0f max %.0f us, CPU %.1f us a call, RSS %.0f MiB\n", x.name,
					x.f.CallsPerSecond, x.f.Refused, x.f.DelayMicros[0], x.f.DelayMicros[1], x.f.DelayMicros[2], x.f.DelayMicros[3], x.f.CPUPerCall, x.f.RSSMiB)
			}
			fmt.Fprintf(w, "ratio %.2f; added delay p50 %.0f p99 %.0f p99.9 %.0f us at %.0f calls/s\n", res.Ratio, res.AddedUS[0], res.AddedUS[1], res.AddedUS[2], o.Rate)
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
	c.AddCommand(path, relay)
	return c
}
