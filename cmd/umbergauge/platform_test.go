package main

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// syncLog is a log that can be read while it is being written.
type syncLog struct {
	mu      sync.Mutex
	content strings.Builder
}

func (l *syncLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.content.Write(b)
}

// waitFor waits until text is logged; after 5 s the test fails.
func (l *syncLog) waitFor(t *testing.T, text string) {
	t.Helper()
	for range 500 {
		l.mu.Lock()
		found := strings.Contains(l.content.String(), text)
		l.mu.Unlock()
		if found {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q was not logged within 5 s: %s", text, l.content.String())
}

// SIGHUP reloads the settings, also during a drain, and invalid settings leave the current ones in use. SIGTERM starts a drain,
// which a second SIGTERM must not cut short.
func TestPlatformReloadsAndDrainsOnSignals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", file)
	t.Setenv("GW_LISTEN", "127.0.0.1:0")
	if err := runPlatform(context.Background(), "info", &syncLog{}); err == nil || !strings.Contains(err.Error(), file) {
		t.Fatalf("without a settings file: %v", err)
	}
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	settings := `{"listen":"127.0.0.1:1","nameserver":"127.0.0.1:9","known":{},"settings":{"request_classes":[{"aim":1,"name":"a"}]}}`
	write(settings)
	var log syncLog
	done := make(chan error, 1)
	go func() { done <- runPlatform(context.Background(), "info", &log) }()
	log.waitFor(t, `"started"`)
	write(`{"listen":`)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.waitFor(t, "keeping the current settings")
	write(strings.Replace(settings, ":9", ":10", 1))
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.waitFor(t, `"nameserver":"127.0.0.1:10"`)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	log.waitFor(t, "draining")
	write(strings.Replace(settings, ":9", ":11", 1))
	syscall.Kill(os.Getpid(), syscall.SIGHUP) // the address of the name server may change during a drain
	log.waitFor(t, `"nameserver":"127.0.0.1:11"`)
	start := time.Now()
	syscall.Kill(os.Getpid(), syscall.SIGTERM) // a second SIGTERM: the drain continues
	if err := <-done; err != nil || time.Since(start) < time.Second {
		t.Fatalf("%v after %v", err, time.Since(start))
	}
	log.waitFor(t, `"ended"`)
}

// A SIGTERM that arrives after a burst of SIGHUP while the settings are still being read must drain the controller once it runs,
// and a second SIGINT must end it at once.
func TestPlatformHandlesSignalsDuringStart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", file)
	t.Setenv("GW_LISTEN", "127.0.0.1:0")
	if err := syscall.Mkfifo(file, 0o600); err != nil { // the program blocks reading the settings until this test writes them
		t.Fatal(err)
	}
	var log syncLog
	done := make(chan error, 1)
	go func() { done <- runPlatform(context.Background(), "info", &log) }()
	f, err := os.OpenFile(file, os.O_WRONLY, 0) // blocks until the program has opened the file for reading
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(file) // a reload reads a regular file
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 8 { // must not fill the queue of the SIGTERM that follows
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	io.WriteString(f, `{"listen":"127.0.0.1:1","nameserver":"127.0.0.1:9","known":{},"settings":{"request_classes":[{"aim":1,"name":"a"}]}}`)
	f.Close()
	log.waitFor(t, "draining")
	for start := time.Now(); ; { // repeated, because two pending signals of one kind are merged into one
		syscall.Kill(os.Getpid(), syscall.SIGINT)
		select {
		case err := <-done:
			if err != nil || time.Since(start) > time.Second {
				t.Fatalf("%v after %v", err, time.Since(start))
			}
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
