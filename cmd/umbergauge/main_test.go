package main

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Wrong use is an error that is not a shortfall, so that main ends with 2; each is one line.
func TestWrongUse(t *testing.T) {
	for _, args := range [][]string{{}, {"frob"}, {"bench"}, {"bench", "frob"}, {"script", "frob"}, {"run"}, {"day", "--frob"}, {"bench", "open", "--span", "1s"}} {
		c := root()
		var out bytes.Buffer
		c.SetOut(&out)
		c.SetErr(&out)
		c.SetArgs(args)
		err := c.Execute()
		if err == nil || errors.As(err, new(short)) || strings.Contains(err.Error(), "\n") || out.Len() > 0 {
			t.Errorf("%q: %v, printed %q", args, err, out.String())
		}
	}
}

func TestVersion(t *testing.T) {
	c := root()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetArgs([]string{"--version"})
	if err := c.Execute(); err != nil || !strings.Contains(out.String(), "go1.") {
		t.Errorf("%v, printed %q", err, out.String())
	}
}

// The files of the first run are good, and a bad one ends with 1.
func TestFirstRun(t *testing.T) {
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
	if !errors.As(err, new(short)) || !strings.Contains(err.Error(), ":3:9: listen: ") || !strings.Contains(err.Error(), "classes[0].patience: 1s is under the aim") {
		t.Errorf("%v", err)
	}
}
