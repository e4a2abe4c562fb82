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

func logger(settings config.Log, w io.Writer) zerolog.Logger {
	if settings.Format == "console" {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.StampMilli}
	}
	level, err := zerolog.ParseLevel(settings.Level)
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
				return resultError{err}
			}
			log := logger(cfg.Log, cmd.ErrOrStderr())
			o := daemon.Options{Config: cfg, Log: log}
			var captureWriter *capture.Writer
			if captureDir != "" {
				if captureWriter, err = capture.New(capture.Config{Dir: captureDir, Bytes: captureBytes, Files: captureFiles, Queue: 8192}); err != nil {
					return resultError{err}
				}
				o.Capture = captureWriter.Put
			}
			d, err := daemon.New(o)
			if err != nil {
				return resultError{err}
			}
			if profile != "" {
				f, err := os.Create(profile)
				if err != nil {
					return resultError{err}
				}
				defer f.Close()
				if err := pprof.StartCPUProfile(f); err != nil {
					return resultError{err}
				}
				defer pprof.StopCPUProfile()
			}
			ctx, cancel := context.WithCancel(cmd.Context())
			defer cancel()
			signals := make(chan os.Signal, 4)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			defer signal.Stop(signals)
			if captureWriter != nil {
				captureCtx, stop := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					if err := captureWriter.Run(captureCtx); err != nil {
						log.Error().Err(err).Msg("writing the capture failed")
					}
				}()
				defer func() { // after the daemon has ended, so that its last frames are captured
					stop()
					<-ended
					log.Info().Uint64("frames", captureWriter.Written()).Uint64("left_out", captureWriter.Dropped()).Msg("capture finished")
				}()
			}
			done := make(chan error, 1)
			go func() { done <- d.Run(ctx) }()
			terminations := 0
			for {
				select {
				case err := <-done:
					if err != nil {
						return resultError{err}
					}
					return nil
				case s := <-signals:
					if s == syscall.SIGHUP {
						if next, err := config.Load(file); err != nil {
							log.Error().Err(err).Msg("reload failed, keeping the current settings")
						} else if err := d.Reload(ctx, next); err != nil {
							log.Error().Err(err).Msg("reload failed, keeping the current settings")
						} else if err := d.LoadHooks(ctx, next.Hooks.Files, next.Hooks.Examples, false); err != nil {
							log.Error().Err(err).Msg("loading hook scripts failed, keeping the current ones")
						} else {
							log.Info().Msg("settings reloaded")
						}
						continue
					}
					if terminations++; terminations > 1 { // a second signal ends the daemon at once
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
				return resultError{err}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good: exchange %d, %d exchanges, %d classes\n", file, cfg.Exchange, len(cfg.Exchanges), len(cfg.Classes))
			return nil
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "settings file")
	c.MarkFlagRequired("config")
	return c
}
