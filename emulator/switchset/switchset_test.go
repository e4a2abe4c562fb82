package switchset

import (
	"strings"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const validSwitches = `seed: 3
delay: 1ms
switches:
  - {point_code: 101, listen: "127.0.0.1:0", prefixes: ["8201"], circuits: {102: 5}}
  - {point_code: 102, listen: "127.0.0.1:0", prefixes: ["8202"], circuits: {101: 5}, thin: {full: 0.5, silent: 0.5}}
ringing:
  - {category: 10, median: 3s, spread: 0.5, no_answer: 0.03, busy: 0.01}
`

// Guards against a failed Start that leaves some switches running: if an address is in use, Start must name the switch configured
// with it and leave no goroutine behind (TestMain checks this).
func TestStartReportsAddressInUseAndLeavesNoGoroutine(t *testing.T) {
	c, err := Parse("s.yaml", []byte(validSwitches))
	if err != nil {
		t.Fatal(err)
	}
	s, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	if pcs, n := s.Established(); len(pcs) != 2 || pcs[0] != 101 || n[0]+n[1] != 0 || s.Addrs[102] == "" {
		t.Errorf("point codes %v, established calls %v, addresses %v", pcs, n, s.Addrs)
	}
	taken := *c
	taken.Switches = append([]Switch(nil), c.Switches...)
	taken.Switches[1].Listen = s.Addrs[101]
	if _, err := Start(&taken); err == nil || !strings.Contains(err.Error(), "switch 102") {
		t.Errorf("start at an address in use: error %v, want one that names switch 102", err)
	}
	s.Close()
}

// Guards against an invalid value that is accepted, or reported without its key and position.
func TestParseReportsKeyOfInvalidValue(t *testing.T) {
	for what, change := range map[string][2]string{
		"s.yaml:4:31: switches[0].listen": {`"127.0.0.1:0", prefixes: ["8201"]`, `"127.0.0.1:70000", prefixes: ["8201"]`},
		"switches[1].point_code":          {"point_code: 102", "point_code: 101"},
		"switches[1].thin":                {"full: 0.5", "full: 0.6"},
		"switches[0].circuits":            {"{102: 5}", "{102: 5000}"},
		"ringing[0]":                      {"busy: 0.01", "busy: 0.99"},
		"s.yaml:7:32: spraed":             {"spread", "spraed"},
		"delay":                           {"delay: 1ms", "delay: -1ms"},
		"switches[1].thin.silent: 1.5 is not in the range of 0 to 1": {"silent: 0.5", "silent: 1.5"},
	} {
		text := strings.Replace(validSwitches, change[0], change[1], 1)
		if text == validSwitches {
			t.Fatalf("text to replace %q is not in the file", change[0])
		}
		if _, err := Parse("s.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), what) {
			t.Errorf("want an error that contains %s; got %v", what, err)
		}
	}
}
