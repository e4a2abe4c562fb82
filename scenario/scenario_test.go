package scenario

import (
	"context"
	"flag"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rs/zerolog"

	"github.com/umbergauge/umbergauge/internal/memnet"
)

var (
	seedCount = flag.Uint64("days", 0, "number of seeds of each kind that TestGeneratedScenarios runs, instead of those of CI")
	firstSeed = flag.Uint64("first", 100, "first seed of -days and -pairs")
	pairs     = flag.Uint64("pairs", 0, "number of seeds of each kind, without ringing, whose service TestServiceOfScenarios prints")
)

// runScenario runs a scenario on a simulated clock and in-memory connections, and reports violations as errors.
func runScenario(t *testing.T, scenario *Scenario, change ...func(*Options)) Result {
	t.Helper()
	var res Result
	synctest.Test(t, func(t *testing.T) {
		var network memnet.Network
		opt := Options{Dial: network.Dial, Listen: network.Listen, Log: zerolog.Nop(), Slack: 2 * time.Millisecond}
		for _, f := range change {
			f(&opt)
		}
		var err error
		if res, err = Run(context.Background(), scenario, opt); err != nil {
			t.Fatal(err)
		}
	})
	for i, f := range res.Report.Violations {
		if i == 10 {
			t.Errorf("... and %d more", len(res.Report.Violations)-10)
			break
		}
		t.Errorf("%v", f)
	}
	return res
}

// At 65% of the planned load and without faults, less than 95% service means that calls are lost without need.
func TestServiceWithoutFaults(t *testing.T) {
	res := runScenario(t, NoFaults())
	t.Logf("%+v", res.Report.Whole)
	if res.Report.Whole.Share < 0.95 {
		t.Errorf("service %.3f, want at least 0.95", res.Report.Whole.Share)
	}
}

// Overlapping faults of many kinds must not make a controller break a rule; the service is only logged.
func TestOverlappingFaultsBreakNoRule(t *testing.T) {
	res := runScenario(t, OverlappingFaults())
	t.Logf("whole %.3f, worst 10 s %.3f, worst class %s, delays %v, %d attempts", res.Report.Whole.Share, res.Report.WorstWindow.Share, res.Report.WorstClass, res.Report.DelaysMS, res.Report.Attempts)
	for _, x := range res.Report.Faults {
		t.Logf("%-18s %.3f", x.Name, x.Service.Share)
	}
}

// Every kind of fault, injected alone, must not make a controller break a rule.
func TestEachFaultBreaksNoRule(t *testing.T) {
	for _, k := range FaultKinds {
		t.Run(string(k), func(t *testing.T) {
			scenario, err := Generate(1, "only:"+string(k))
			if err != nil {
				t.Fatal(err)
			}
			res := runScenario(t, scenario)
			t.Logf("whole %.3f, worst 10 s %.3f, during the fault %+v", res.Report.Whole.Share, res.Report.WorstWindow.Share, res.Report.Faults[0].Service.Share)
		})
	}
}

// TestServiceOfScenarios prints the service of scenarios without ringing by kind and seed, for comparison with another
// version of the program. Rule violations still fail it.
func TestServiceOfScenarios(t *testing.T) {
	for _, kind := range []string{"bad", "quiet", "trouble", "overload"} {
		for seed := *firstSeed; seed < *firstSeed+*pairs; seed++ {
			scenario := OverlappingFaults()
			scenario.Seed = seed
			if kind != "bad" {
				var err error
				if scenario, err = Generate(seed, kind); err != nil {
					t.Fatal(err)
				}
			}
			r := runScenario(t, scenario.WithoutRinging()).Report
			fmt.Printf("%s %d whole %.4f, to the answer %.4f, worst 10 s %.4f\n", kind, seed, r.Whole.Share, r.ToAnswer.Share, r.WorstWindow.Share)
		}
	}
}

// Generated scenarios, with combinations of faults that the controllers were not tuned for, must break no rule.
func TestGeneratedScenarios(t *testing.T) {
	kinds := []string{"trouble", "overload"}
	seeds := []uint64{1, 2, 3, 4, 5}
	if *seedCount > 0 {
		for _, k := range FaultKinds {
			kinds = append(kinds, "only:"+string(k))
		}
		seeds = nil
		for s := range *seedCount {
			seeds = append(seeds, *firstSeed+s)
		}
	}
	for _, k := range kinds {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s-%d", k, seed), func(t *testing.T) {
				scenario, err := Generate(seed, k)
				if err != nil {
					t.Fatal(err)
				}
				runScenario(t, scenario)
			})
		}
	}
}

// A generated scenario that is written as YAML and parsed again is the same, so that it can be rerun from the file.
func TestGeneratedScenarioSurvivesYAML(t *testing.T) {
	for seed := range uint64(20) {
		for _, kind := range []string{"quiet", "trouble", "overload"} {
			scenario, err := Generate(seed, kind)
			if err != nil {
				t.Fatal(err)
			}
			b, err := yaml.Marshal(scenario)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Parse("drawn", b)
			if err != nil {
				t.Fatalf("%v\n%s", err, b)
			}
			if !reflect.DeepEqual(got, scenario) {
				t.Fatalf("%+v\nbecame %+v", scenario, got)
			}
		}
	}
	if _, err := Generate(1, "only:nothing"); err == nil {
		t.Error("no error for an unknown kind of fault")
	}
}

// An invalid key or value must be reported by name, not ignored.
func TestParseRejectsInvalidScenarios(t *testing.T) {
	for text, want := range map[string]string{
		"lenght: 3s": "d.yaml:1:1: lenght",
		"length: 3s\ntroubles: [{kind: flood, at: 1s, for: 1s}]": "troubles[0].kind",
		"length: 3s\ntroubles: [{kind: slow, at: 1s, for: 1s}]":  "troubles[0].size",
		"fleet: {exchanges: 1}":                                  "fleet.exchanges",
		"traffic: {classes: []}":                                 "traffic.classes",
	} {
		if _, err := Parse("d.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", text, err)
		}
	}
}
