package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/load"
)

func loadCommand() *cobra.Command {
	var file string
	var asJSON, quiet bool
	var processes int
	var part string
	c := &cobra.Command{
		Use:   "load -c FILE",
		Short: "Offer calls to a running controller and print what became of them",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := load.Load(file)
			if err != nil {
				return resultError{err}
			}
			if part != "" {
				var i, n int
				if _, err := fmt.Sscanf(part, "%d/%d", &i, &n); err != nil {
					return fmt.Errorf("--part %q: want I/N, for example 0/4", part)
				}
				if cfg, err = cfg.Part(i, n); err != nil {
					return resultError{err}
				}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			o := load.Options{}
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			var report load.Report
			if processes > 1 {
				report, err = loadProcesses(ctx, cfg, file, processes)
			} else {
				report, err = load.Run(ctx, cfg, o)
			}
			if err != nil {
				return resultError{err}
			}
			if part == "" {
				report.Histograms = nil // only needed to merge the reports of parts
			}
			w := cmd.OutOrStdout()
			if asJSON {
				encoder := json.NewEncoder(w)
				encoder.SetIndent("", "  ")
				return encoder.Encode(report)
			}
			t := report.Totals
			fmt.Fprintf(w, "offered %d (%.1f a second), tries %d: rang %d, stood %d, refused %d, given up %d, left while it rang %d\n", t.Offered, report.OfferedPerSecond, t.Tries, t.Alerted, t.Answered, t.Refused, t.Abandoned, t.AbandonedRinging)
			fmt.Fprintf(w, "of those that stood: finished %d, cut %d; congestion told %d times; not connected %d, no circuit %d\n", t.Finished, t.Cut, t.CongestionReports, t.NotConnected, t.NoCircuit)
			for _, k := range slices.Sorted(maps.Keys(t.Causes)) {
				fmt.Fprintf(w, "  cause %-4s %d\n", k, t.Causes[k])
			}
			fmt.Fprintf(w, "set-up (to ACM) from when the call was due: p50 %d p90 %d p99 %d p99.9 %d max %d us\n", report.SetUpUS.P50, report.SetUpUS.P90, report.SetUpUS.P99, report.SetUpUS.P999, report.SetUpUS.Max)
			fmt.Fprintf(w, "answer from when the call was due: p50 %d p90 %d p99 %d us\n", report.AnswerUS.P50, report.AnswerUS.P90, report.AnswerUS.P99)
			fmt.Fprintf(w, "own lateness: p99 %d max %d us\n", report.LateUS.P99, report.LateUS.Max)
			return nil
		},
	}
	f := c.Flags()
	f.StringVarP(&file, "config", "c", "", "file of the load")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.IntVar(&processes, "processes", 1, "share the load among so many processes")
	f.StringVar(&part, "part", "", "offer part I/N of the load, from 0 on; with --json the report can be merged")
	f.BoolVarP(&quiet, "quiet", "q", false, "no progress")
	c.MarkFlagRequired("config")
	return c
}

// loadProcesses offers a load from n processes and merges their reports. If one fails, the others are stopped.
func loadProcesses(ctx context.Context, cfg *load.Config, file string, n int) (load.Report, error) {
	if _, err := cfg.Part(0, n); err != nil {
		return load.Report{}, err
	}
	self, err := os.Executable()
	if err != nil {
		return load.Report{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	parts, errs := make([]load.Report, n), make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cmd := exec.CommandContext(ctx, self, "load", "-c", file, "--part", fmt.Sprintf("%d/%d", i, n), "--json", "--quiet")
			cmd.Stderr, cmd.WaitDelay = os.Stderr, 5*time.Second
			cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
			out, err := cmd.Output()
			if err == nil {
				err = json.Unmarshal(out, &parts[i])
			}
			if err != nil {
				errs[i] = fmt.Errorf("part %d of %d: %w", i, n, err)
				cancel()
			}
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return load.Report{}, err
		}
	}
	return load.Merge(parts)
}
