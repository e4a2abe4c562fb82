package config

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"
)

const validSettings = `
exchange: 1
listen: 127.0.0.1:2905
guard: 250ms
classes:
  - {name: map-tile, aim: 1.5s, patience: 9s, worth: 1, late_worth: 0.25}
  - name: storm-tile
    aim: 1200ms
    patience: 6s
    worth: 5
    categories: [11]
tenants:
  - {name: city, quota: 30}
clients:
  - {name: branch, asp: 900, tenant: city}
exchanges:
  - {point_code: 1, name: one, switch: ["127.0.0.1:4001"], prefixes: ["21"]}
  - {point_code: 2, name: two, switch: ["127.0.0.1:4002", "127.0.0.1:4102"], circuits: 30, prefixes: ["22"]}
`

// TestValidSettingsReachControllerConfig guards against settings that are lost or assigned to the wrong field on their way
// into the call controller's settings, and against defaults that are not applied.
func TestValidSettingsReachControllerConfig(t *testing.T) {
	c, err := Parse("f.yaml", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	cfg := c.Controller()
	if cfg.Policy.Guard != 250*time.Millisecond || cfg.Policy.Classes[1].Worth != 5 || cfg.Classes[1].Categories[0] != 11 ||
		cfg.Exchanges[1].Circuits != 30 || cfg.Policy.Controllers != 2 || c.Timers.T1 != 15*time.Second || c.Tenant("city") != 0 {
		t.Errorf("%+v", cfg)
	}
}

// TestEachErrorNamesLineAndKey introduces one error at a time into valid settings. It guards against an error that is not
// detected or is reported without its position and key, and against errors that hide each other.
func TestEachErrorNamesLineAndKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"guard: 250ms", "gaurd: 250ms", "f.yaml:4:1: gaurd"},
		{"guard: 250ms", "guard: soon", "f.yaml:4:8"},
		{"guard: 250ms", "guard: -1s", "f.yaml:4:8: guard: -1s"},
		{"exchange: 1", "exchange: 99999", "f.yaml:2:11: exchange"},
		{"exchange: 1", "exchange: 7", "exchanges: this controller's own exchange 7 is missing"},
		{"listen: 127.0.0.1:2905", "listen: nowhere", "f.yaml:3:9: listen"},
		{"aim: 1200ms", "aim: 0s", "f.yaml:8:10: classes[1].aim"},
		{"patience: 6s", "patience: 50ms", "f.yaml:9:15: classes[1].patience"},
		{"categories: [11]", "late_worth: 2", "classes[1].late_worth"},
		{"asp: 900, tenant: city", "asp: 900, tenant: town", "f.yaml:15:38: clients[0].tenant"},
		{`prefixes: ["22"]`, `prefixes: ["21"]`, "f.yaml:18:103: exchanges[1].prefixes[0]"},
		{"circuits: 30", "circuits: 5000", "exchanges[1].circuits"},
		{"point_code: 2", "point_code: 1", "exchanges[1].point_code"},
		{`"127.0.0.1:4102"`, `"127.0.0.1:4001"`, "exchanges[1].switch[1]"},
		{"exchanges:", "exchanges: [", "f.yaml:"},
	} {
		text := strings.Replace(validSettings, c.old, c.new, 1)
		if text == validSettings {
			t.Fatalf("%q does not occur in the valid settings", c.old)
		}
		_, err := Parse("f.yaml", []byte(text))
		var problems FileErrors
		if !errors.As(err, &problems) {
			t.Errorf("%s: %v", c.new, err)
			continue
		}
		if !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %q, want %q", c.new, err, c.want)
		}
	}
	if _, err := Parse("f.yaml", nil); err == nil {
		t.Error("an empty file is accepted")
	}
	_, err := Parse("f.yaml", []byte("exchange: 0\nlisten: x\n"))
	var problems FileErrors
	if !errors.As(err, &problems) || len(problems) < 4 {
		t.Errorf("fewer than 4 errors reported together: %v", err)
	}
}

// TestReadmeExampleIsValid guards against an example in the README that the program would reject.
func TestReadmeExampleIsValid(t *testing.T) {
	b, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	var text []string
	for _, l := range strings.Split(string(b), "\n") {
		if in := strings.HasPrefix(l, "    "); in && (len(text) > 0 || strings.HasPrefix(l, "    exchange:")) {
			text = append(text, l[4:])
		} else if len(text) > 0 {
			break
		}
	}
	if _, err := Parse("README.md", []byte(strings.Join(text, "\n"))); err != nil || len(text) < 10 {
		t.Errorf("%d lines: %v", len(text), err)
	}
}
