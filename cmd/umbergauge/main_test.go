package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A wrong command line must give an error that is no resultError, so that the exit code is 2, in one line and without other
// output.
func TestWrongUsageIsAOneLineUsageError(t *testing.T) {
	for _, args := range [][]string{{}, {"unknown"}, {"bench"}, {"bench", "unknown"}, {"script", "unknown"}, {"run"}, {"day", "--unknown"}, {"bench", "open", "--span", "1s"}} {
		c := root()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetErr(&out)
		c.SetArgs(args)
		err := c.Execute()
		if err == nil || errors.As(err, new(resultError)) || strings.Contains(err.Error(), "\n") || out.Len() > 0 {
			t.Errorf("%q: error %v, printed %q; want a one-line usage error and no output", args, err, out.String())
		}
	}
}

func TestVersionFlagPrintsTheGoVersion(t *testing.T) {
	c := root()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetArgs([]string{"--version"})
	if err := c.Execute(); err != nil || !strings.Contains(out.String(), "go1.") {
		t.Errorf("error %v, printed %q; want the Go version", err, out.String())
	}
}

// The settings of the first-run guide must pass the check. Faulty settings must give a resultError, so that the exit code is 1,
// and it must name every fault.
func TestCheckAcceptsTheFirstRunFilesAndReportsEveryFault(t *testing.T) {
	dir := filepath.Join("..", "..", "docs", "operations", "first")
	check := func(path string) error {
		c := root()
		c.SetOut(&bytes.Buffer{})
		c.SetArgs([]string{"check", "-c", path})
		return c.Execute()
	}
	if err := check(filepath.Join(dir, "run.yaml")); err != nil {
		t.Error(err)
	}
	b, err := os.ReadFile(filepath.Join(dir, "run.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	bad := strings.NewReplacer("127.0.0.1:2905", "127.0.0.1:99999", "patience: 3s", "patience: 1s").Replace(string(b))
	path := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(path, []byte(bad), 0o600); err != nil {
		t.Fatal(err)
	}
	err = check(path)
	if !errors.As(err, new(resultError)) || !strings.Contains(err.Error(), ":3:9: listen: ") || !strings.Contains(err.Error(), "classes[0].patience: 1s is under the aim") {
		t.Errorf("error %v, want a resultError that names listen at 3:9 and classes[0].patience", err)
	}
}
