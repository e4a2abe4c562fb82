package main

import (
	"fmt"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/emulator/switchset"
)

func switchCommand() *cobra.Command {
	var file string
	var quiet bool
	c := &cobra.Command{
		Use:   "switch -c FILE",
		Short: "Run stand-in switches, for trying a controller without a network around it, until SIGTERM",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := switchset.Load(file)
			if err != nil {
				return resultError{err}
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			switches, err := switchset.Start(cfg)
			if err != nil {
				return resultError{err}
			}
			defer switches.Close()
			for _, x := range cfg.Switches {
				fmt.Fprintf(cmd.OutOrStdout(), "switch %d at %s\n", x.PointCode, switches.Addrs[x.PointCode])
			}
			ticker := time.NewTicker(5 * time.Second)
			defer ticker.Stop()
			last := ""
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-ticker.C:
				}
				var b strings.Builder
				pointCodes, established := switches.Established()
				for i, pc := range pointCodes {
					fmt.Fprintf(&b, " %d:%d", pc, established[i])
				}
				if line := b.String(); !quiet && line != last {
					last = line
					fmt.Fprintf(cmd.ErrOrStderr(), "calls that stand, by switch:%s\n", line)
				}
			}
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "file of the switches")
	c.Flags().BoolVarP(&quiet, "quiet", "q", false, "don't show the calls that stand")
	c.MarkFlagRequired("config")
	return c
}
