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
				return short{err}
			}
			if part != "" {
				var i, n int
				if _, err := fmt.Sscanf(part, "%d/%d", &i, &n); err != nil {
					return fmt.Errorf("--part %q is not of the form 0/4", part)
				}
				if cfg, err = cfg.Part(i, n); err != nil {
					return short{err}
				}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			o := load.Options{}
			if !quiet {
				o.Progress = cmd.ErrOrStderr()
			}
			var rep load.Report
			if processes > 1 {
				rep, err = loadProcesses(ctx, cfg, file, processes)
			} else {
				rep, err = load.Run(ctx, cfg, o)
			}
			if err != nil {
				return short{err}
			}
			if part == "" {
				rep.Histograms = nil // only those who merge read them
			}
			w := cmd.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(w)
				e.SetIndent("", "  ")
				return e.Encode(rep)
			}
			t := rep.Totals
			fmt.Fprintf(w, "offered %d (%.1f a second), tries %d: rang %d, stood %d, refused %d, given up %d, left while it rang %d\n", t.Offered, rep.OfferedPerSecond, t.Tries, t.Alerted, t.Answered, t.Refused, t.Abandoned, t.AbandonedRinging)
			fmt.Fprintf(w, "of those that stood: finished %d, cut %d; congestion told %d times; not connected %d, no circuit %d\n", t.Finished, t.Cut, t.CongestionReports, t.NotConnected, t.NoCircuit)
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
	f.IntVar(&processes, "processes", 1, "share the load among so many processes")
	f.StringVar(&part, "part", "", "offer part I/N of the load, from 0 on; with --json the report can be merged")
	f.BoolVarP(&quiet, "quiet", "q", false, "no progress")
	c.MarkFlagRequired("config")
	return c
}

// loadProcesses offers a load from several processes and merges their reports. One that fails ends the others.
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
