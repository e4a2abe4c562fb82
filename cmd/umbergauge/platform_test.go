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

// syncLog is a log that can be read while it is written.
type syncLog struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *syncLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *syncLog) wait(t *testing.T, text string) {
	t.Helper()
	for range 500 {
		l.mu.Lock()
		found := strings.Contains(l.b.String(), text)
		l.mu.Unlock()
		if found {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%q was not logged: %s", text, l.b.String())
}

func TestPlatformSignals(t *testing.T) {
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
	good := `{"listen":"127.0.0.1:1","nameserver":"127.0.0.1:9","known":{},"settings":{"request_classes":[{"aim":1,"name":"a"}]}}`
	write(good)
	var log syncLog
	done := make(chan error, 1)
	go func() { done <- runPlatform(context.Background(), "info", &log) }()
	log.wait(t, `"started"`)
	write(`{"listen":`)
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.wait(t, "the old ones stay")
	write(strings.Replace(good, ":9", ":10", 1))
	syscall.Kill(os.Getpid(), syscall.SIGHUP)
	log.wait(t, `"nameserver":"127.0.0.1:10"`)
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	log.wait(t, "draining")
	write(strings.Replace(good, ":9", ":11", 1))
	syscall.Kill(os.Getpid(), syscall.SIGHUP) // the name service may move in a drain
	log.wait(t, `"nameserver":"127.0.0.1:11"`)
	from := time.Now()
	syscall.Kill(os.Getpid(), syscall.SIGTERM) // again: the drain goes on
	if err := <-done; err != nil || time.Since(from) < time.Second {
		t.Fatalf("%v after %v", err, time.Since(from))
	}
	log.wait(t, `"ended"`)
}

// SIGTERM while the settings are read, behind a burst of SIGHUP, drains the controller once it runs; a second SIGINT ends it at once.
func TestPlatformSignalsBeforeReady(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("GW_CONFIG", file)
	t.Setenv("GW_LISTEN", "127.0.0.1:0")
	if err := syscall.Mkfifo(file, 0o600); err != nil { // it is read when this test writes it
		t.Fatal(err)
	}
	var log syncLog
	done := make(chan error, 1)
	go func() { done <- runPlatform(context.Background(), "info", &log) }()
	f, err := os.OpenFile(file, os.O_WRONLY, 0) // opens when the program has opened it to read
	if err != nil {
		t.Fatal(err)
	}
	os.Remove(file) // what reads the settings again finds a plain file
	if err := os.WriteFile(file, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	for range 8 { // a burst of reloads takes no room from what follows
		syscall.Kill(os.Getpid(), syscall.SIGHUP)
		time.Sleep(2 * time.Millisecond)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	io.WriteString(f, `{"listen":"127.0.0.1:1","nameserver":"127.0.0.1:9","known":{},"settings":{"request_classes":[{"aim":1,"name":"a"}]}}`)
	f.Close()
	log.wait(t, "draining")
	for from := time.Now(); ; { // two of a kind that come together are one
		syscall.Kill(os.Getpid(), syscall.SIGINT)
		select {
		case err := <-done:
			if err != nil || time.Since(from) > time.Second {
				t.Fatalf("%v after %v", err, time.Since(from))
			}
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
