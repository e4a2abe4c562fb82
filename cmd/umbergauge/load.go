package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os/signal"
	"slices"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/load"
)

func loadCommand() *cobra.Command {
	var file string
	var asJSON, quiet bool
	c := &cobra.Command{
		Use:   "load -c FILE",
		Short: "Offer calls to a running controller and print what became of them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load.Load(file)
			if err != nil {
				return short{err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			o := load.Options{}
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			rep, err := load.Run(ctx, cfg, o)
			if err != nil {
				return short{err}
			}
			w := cmd.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(w)
				e.SetIndent("", "  ")
				return e.Encode(rep)
			}
			t := rep.Totals
			fmt.Fprintf(w, "offered %d (%.1f a second), tries %d: rang %d, stood %d, refused %d, given up %d, left while it rang %d\n", t.Offered, rep.Reached, t.Tries, t.Rang, t.Stood, t.Refused, t.GivenUp, t.RangOut)
			fmt.Fprintf(w, "of those that stood: finished %d, cut %d; congestion told %d times; not connected %d, no circuit %d\n", t.Finished, t.Cut, t.CongestionTold, t.NotConnected, t.NoCircuit)
			for _, k := range slices.Sorted(maps.Keys(t.Causes)) {
				fmt.Fprintf(w, "  cause %-4s %d\n", k, t.Causes[k])
			}
			fmt.Fprintf(w, "set-up (to ACM) from when the call was due: p50 %d p90 %d p99 %d p99.9 %d max %d us\n", rep.SetUpUS.P50, rep.SetUpUS.P90, rep.SetUpUS.P99, rep.SetUpUS.P999, rep.SetUpUS.Max)
			fmt.Fprintf(w, "answer from when the call was due: p50 %d p90 %d p99 %d us\n", rep.AnswerUS.P50, rep.AnswerUS.P90, rep.AnswerUS.P99)
			fmt.Fprintf(w, "own lateness: p99 %d max %d us\n", rep.LateUS.P99, rep.LateUS.Max)
			return nil
		},
	}
	f := c.Flags()
	f.StringVarP(&file, "config", "c", "", "file of the load")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.BoolVarP(&quiet, "quiet", "q", false, "no progress")
	c.MarkFlagRequired("config")
	return c
}
