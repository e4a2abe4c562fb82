package bench

import (
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/goccy/go-yaml"

	"github.com/umbergauge/umbergauge/internal/config"
)

// freeAddr returns a loopback address with a port that is free at the moment.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// startController runs a controller as a process of its own. stop kills it and removes its settings file.
func startController(ctx context.Context, program string, cfg *config.Config, stderr io.Writer) (cmd *exec.Cmd, stop func(), err error) {
	dir, err := os.MkdirTemp("", "umbergauge-bench")
	if err != nil {
		return nil, nil, err
	}
	file := filepath.Join(dir, "controller.yaml")
	data, err := yaml.Marshal(cfg)
	if err == nil {
		err = os.WriteFile(file, data, 0o600)
	}
	ctx, cancel := context.WithCancel(ctx)
	if err == nil {
		cmd = exec.CommandContext(ctx, program, "run", "-c", file)
		cmd.Stderr = stderr
		cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGKILL) }
		err = cmd.Start()
	}
	if err != nil {
		cancel()
		os.RemoveAll(dir)
		return nil, nil, err
	}
	return cmd, func() {
		cancel()
		cmd.Wait()
		os.RemoveAll(dir)
	}, nil
}
