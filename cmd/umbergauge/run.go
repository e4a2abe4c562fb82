package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"github.com/umbergauge/umbergauge/capture"
	"github.com/umbergauge/umbergauge/daemon"
	"github.com/umbergauge/umbergauge/internal/config"
)

func logger(l config.Log, w io.Writer) zerolog.Logger {
	if l.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.StampMilli}
	}
	level, err := zerolog.ParseLevel(l.Level)
	if err != nil {
		level = zerolog.InfoLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(zerolog.SyncWriter(w)).Level(level).With().Timestamp().Logger()
}

func runCommand() *cobra.Command {
	var file, profile, captureDir, level string
	var captureBytes, captureFiles int
	var onPlatform bool
	c := &cobra.Command{
		Use:   "run -c FILE | run --platform",
		Short: "Run a call controller until SIGTERM, which drains it; SIGHUP reads the settings again",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if onPlatform {
				return runPlatform(cmd.Context(), level, cmd.ErrOrStderr())
			}
			cfg, err := config.Load(file)
			if err != nil {
				return short{err}
			}
			log := logger(cfg.Log, cmd.ErrOrStderr())
			o := daemon.Options{Config: cfg, Log: log}
			var capt *capture.Writer
			if captureDir != "" {
				if capt, err = capture.New(capture.Config{Dir: captureDir, Bytes: captureBytes, Files: captureFiles, Queue: 8192}); err != nil {
					return short{err}
				}
				o.Capture = capt.Put
			}
			d, err := daemon.New(o)
			if err != nil {
				return short{err}
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return short{err}
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return short{err}
				}
				defer pprof.StopCPUProfile()
			}
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			defer signal.Stop(signals)
			if capt != nil {
				cctx, stop := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if err := capt.Run(cctx); err != nil {
						log.Error().Err(err).Msg("capture ended")
					}
				}()
				defer func() { // after the daemon, so that its last frames are in it
					stop()
					<-ended
					log.Info().Uint64("frames", capt.Written()).Uint64("left_out", capt.Dropped()).Msg("captured")
				}()
			}
			done := make(chan error, 1)
			go func() { done <- d.Run(ctx) }()
			terms := 0
			for {
				select {
				case err := <-done:
					if err != nil {
						return short{err}
					}
					return nil
				case s := <-signals:
					if s == syscall.SIGHUP {
						if next, err := config.Load(file); err != nil {
							log.Error().Err(err).Msg("reload refused, all stays as it was")
						} else if err := d.Reload(ctx, next); err != nil {
							log.Error().Err(err).Msg("reload refused, all stays as it was")
						} else if err := d.LoadHooks(ctx, next.Hooks.Files, next.Hooks.Examples, false); err != nil {
							log.Error().Err(err).Msg("scripts refused, the old ones stay")
						} else {
							log.Info().Msg("reloaded")
						}
						continue
					}
					if terms++; terms > 1 { // asked twice: at once
						cancel()
					}
					d.Drain()
				}
			}
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "settings file")
	c.Flags().StringVar(&captureDir, "capture", "", "write every frame to pcapng files in this directory")
	c.Flags().IntVar(&captureBytes, "capture-bytes", 64<<20, "size of a capture file, about")
	c.Flags().IntVar(&captureFiles, "capture-files", 8, "capture files kept; the oldest goes")
	c.Flags().StringVar(&profile, "cpuprofile", "", "write a CPU profile to this file")
	c.Flags().BoolVar(&onPlatform, "platform", false, "run on the users' platform, with the settings that GW_CONFIG names")
	c.Flags().StringVar(&level, "log-level", "info", "with --platform: least level that is logged; trace shows every message")
	c.MarkFlagsOneRequired("config", "platform")
	c.MarkFlagsMutuallyExclusive("config", "platform")
	return c
}

func checkCommand() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "check -c FILE",
		Short: "Say whether settings are good, with every fault and its line",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			cfg, err := config.Load(file)
			if err != nil {
				return short{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: exchange %d, %d exchanges, %d classes\n", file, cfg.Exchange, len(cfg.Exchanges), len(cfg.Classes))
			return nil
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "settings file")
	c.MarkFlagRequired("config")
	return c
}
