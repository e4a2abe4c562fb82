package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/platform/node"
)

// runPlatform runs the call controller on the users' platform. It stays in the foreground, listens only on the address that the
// platform gives, and writes its log to w.
func runPlatform(ctx context.Context, level string, w io.Writer) error {
	// Signals are caught before the settings are read, because an uncaught one would end the program. Each signal has its own
	// buffered channel, so that a burst of one does not drop another; after several SIGHUP the last reload reads the newest file.
	sigterm, sigint, sighup := make(chan os.Signal, 1), make(chan os.Signal, 2), make(chan os.Signal, 1)
	for c, s := range map[chan os.Signal]os.Signal{sigterm: syscall.SIGTERM, sigint: syscall.SIGINT, sighup: syscall.SIGHUP} {
		signal.Notify(c, s)
		defer signal.Stop(c)
	}
	file := os.Getenv("GW_CONFIG")
	cfg, err := node.Load(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if listen := os.Getenv("GW_LISTEN"); listen != "" {
		cfg.Listen = listen
	}
	cfg.ApplyLimits()
	log := logger(config.Log{Format: "json", Level: level}, w)
	n, err := node.New(node.Options{Config: cfg, Log: log})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	for interrupted := false; ; {
		select {
		case err := <-done:
			return err
		case <-sigterm: // a second SIGTERM does not cut the drain short: accepted set-ups must be answered
			n.Drain()
		case <-sigint: // the second Ctrl-C in a terminal ends the program at once
			n.Drain()
			if interrupted {
				cancel()
			}
			interrupted = true
		case <-sighup:
			next, err := node.Load(file)
			if err != nil {
				log.Error().Err(err).Msg("reload failed, keeping the current settings")
				continue
			}
			n.Reload(next)
			log.Info().Str("nameserver", next.Nameserver).Msg("settings reloaded")
		}
	}
}
