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
	days  = flag.Uint64("days", 0, "drawn days of each kind to play in TestDrawnDays, beyond those of CI")
	first = flag.Uint64("first", 100, "their first seed")
	pairs = flag.Uint64("pairs", 0, "days of each kind without ringing whose service TestServiceOfDays prints, from -first on")
)

// play plays a day in exact time, without sockets.
func play(t *testing.T, d *Scenario, change ...func(*Options)) Result {
	t.Helper()
	var res Result
	synctest.Test(t, func(t *testing.T) {
		var n memnet.Network
		opt := Options{Dial: n.Dial, Listen: n.Listen, Log: zerolog.Nop(), Slack: 2 * time.Millisecond}
		for _, f := range change {
			f(&opt)
		}
		var err error
		if res, err = Run(context.Background(), d, opt); err != nil {
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

func TestNoFaults(t *testing.T) {
	res := play(t, NoFaults())
	t.Logf("%+v", res.Report.Whole)
	if res.Report.Whole.Share < 0.95 {
		t.Errorf("service %.3f", res.Report.Whole.Share)
	}
}

func TestOverlappingFaults(t *testing.T) {
	res := play(t, OverlappingFaults())
	t.Logf("whole %.3f, worst 10 s %.3f, worst class %s, delays %v, %d attempts", res.Report.Whole.Share, res.Report.WorstWindow.Share, res.Report.WorstClass, res.Report.DelaysMS, res.Report.Attempts)
	for _, x := range res.Report.Faults {
		t.Logf("%-18s %.3f", x.Name, x.Service.Share)
	}
}

// Every kind of trouble, alone, through the whole path.
func TestEachFault(t *testing.T) {
	for _, k := range FaultKinds {
		t.Run(string(k), func(t *testing.T) {
			d, err := Generate(1, "only:"+string(k))
			if err != nil {
				t.Fatal(err)
			}
			res := play(t, d)
			t.Logf("whole %.3f, worst 10 s %.3f, in it %+v", res.Report.Whole.Share, res.Report.WorstWindow.Share, res.Report.Faults[0].Service.Share)
		})
	}
}

// Service of days without ringing, to be set beside that of another version of the program by kind and seed.
func TestServiceOfScenarios(t *testing.T) {
	for _, kind := range []string{"bad", "quiet", "trouble", "overload"} {
		for seed := *first; seed < *first+*pairs; seed++ {
			d := OverlappingFaults()
			d.Seed = seed
			if kind != "bad" {
				var err error
				if d, err = Generate(seed, kind); err != nil {
					t.Fatal(err)
				}
			}
			r := play(t, d.WithoutRinging()).Report
			fmt.Printf("%s %d whole %.4f, to the answer %.4f, worst 10 s %.4f\n", kind, seed, r.Whole.Share, r.ToAnswer.Share, r.WorstWindow.Share)
		}
	}
}

// Drawn days that nobody tuned to: no rule breaks.
func TestGeneratedScenarios(t *testing.T) {
	kinds := []string{"trouble", "overload"}
	seeds := []uint64{1, 2, 3, 4, 5}
	if *days > 0 {
		for _, k := range FaultKinds {
			kinds = append(kinds, "only:"+string(k))
		}
		seeds = nil
		for s := range *days {
			seeds = append(seeds, *first+s)
		}
	}
	for _, k := range kinds {
		for _, seed := range seeds {
			t.Run(fmt.Sprintf("%s-%d", k, seed), func(t *testing.T) {
				d, err := Generate(seed, k)
				if err != nil {
					t.Fatal(err)
				}
				play(t, d)
			})
		}
	}
}

// A drawn day that is printed and read again is the same day.
func TestGeneratedScenarioRoundTrip(t *testing.T) {
	for seed := range uint64(20) {
		for _, kind := range []string{"quiet", "trouble", "overload"} {
			d, err := Generate(seed, kind)
			if err != nil {
				t.Fatal(err)
			}
			b, err := yaml.Marshal(d)
			if err != nil {
				t.Fatal(err)
			}
			got, err := Parse("drawn", b)
			if err != nil {
				t.Fatalf("%v\n%s", err, b)
			}
			if !reflect.DeepEqual(got, d) {
				t.Fatalf("%+v\nbecame %+v", d, got)
			}
		}
	}
	if _, err := Generate(1, "only:nothing"); err == nil {
		t.Error("an unknown kind is drawn")
	}
}

func TestScriptFaults(t *testing.T) {
	for text, want := range map[string]string{
		"lenght: 3s": "d.yaml:1:1: lenght",
		"length: 3s\ntroubles: [{kind: flood, at: 1s, for: 1s}]": "troubles[0].kind",
		"length: 3s\ntroubles: [{kind: slow, at: 1s, for: 1s}]":  "troubles[0].size",
		"fleet: {exchanges: 1}":                                  "fleet.exchanges",
		"traffic: {classes: []}":                                 "traffic.classes",
	} {
		if _, err := Parse("d.yaml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
