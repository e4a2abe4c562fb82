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

// runPlatform is the call controller on the users' platform. It stays in the foreground, listens where the platform says and
// nowhere else, and writes its log to w.
func runPlatform(ctx context.Context, level string, w io.Writer) error {
	// Signals that come before the settings are read must not end the program.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	file := os.Getenv("GW_CONFIG")
	cfg, err := node.Load(file)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if listen := os.Getenv("GW_LISTEN"); listen != "" {
		cfg.Listen = listen
	}
	cfg.LimitMemory()
	log := logger(config.Log{Format: "json", Level: level}, w)
	n, err := node.New(node.Options{Config: cfg, Log: log})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	for terms := 0; ; {
		select {
		case err := <-done:
			return err
		case s := <-signals:
			if s == syscall.SIGHUP {
				next, err := node.Load(file)
				if err != nil {
					log.Error().Err(err).Msg("new settings refused, the old ones stay")
					continue
				}
				n.Reload(next)
				log.Info().Str("nameserver", next.Nameserver).Msg("new settings")
				continue
			}
			if terms++; terms > 1 { // asked twice: at once
				cancel()
			}
			n.Drain()
		}
	}
}
