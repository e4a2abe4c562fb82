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
	// Signals that come before the settings are read must not end the program. Each kind has room of its own: one that comes while
	// another is dealt with is not lost, and of several reloads the last reads the newest file.
	terms, interrupts, hangUps := make(chan os.Signal, 1), make(chan os.Signal, 2), make(chan os.Signal, 1)
	for c, s := range map[chan os.Signal]os.Signal{terms: syscall.SIGTERM, interrupts: syscall.SIGINT, hangUps: syscall.SIGHUP} {
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
	for interrupted := false; ; {
		select {
		case err := <-done:
			return err
		case <-terms: // again: the drain goes on, what was taken is owed its answer
			n.Drain()
		case <-interrupts: // a second one of who runs it by hand ends it at once
			n.Drain()
			if interrupted {
				cancel()
			}
			interrupted = true
		case <-hangUps:
			next, err := node.Load(file)
			if err != nil {
				log.Error().Err(err).Msg("new settings refused, the old ones stay")
				continue
			}
			n.Reload(next)
			log.Info().Str("nameserver", next.Nameserver).Msg("new settings")
		}
	}
}
