package load

import (
	"context"
	"math"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/umbergauge/umbergauge/daemon"
	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/internal/memnet"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/record"
)

const validLoad = `
controller: 127.0.0.1:2905
exchange: 1
rate: 50
span: 20s
classes:
  - {name: map, share: 0.9, category: 10, hold: 2s, patience: 3s}
  - {name: storm, share: 0.1, category: 11, hold: 1s, patience: 2s}
numbers:
  - {prefix: "2", length: 6, share: 3}
  - {prefix: "3", length: 6, share: 1}
burst: {every: 10s, for: 2s, times: 3}
`

// parse parses validLoad with texts replaced, given as pairs of old and new text.
func parse(t *testing.T, change ...string) *Config {
	t.Helper()
	text := validLoad
	for i := 0; i < len(change); i += 2 {
		text = strings.Replace(text, change[i], change[i+1], 1)
	}
	c, err := Parse("l.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Guards against arrivals that miss the configured rate, bursts, shares or spacing, or that differ between runs with one seed.
func TestArrivalsFollowConfiguredRateSharesAndSeed(t *testing.T) {
	c := parse(t, "span: 20s", "span: 200s")
	draw := func() (calls, inBurst, stormCalls, toTwo int, last Arrival) {
		for a := NewArrivals(c); ; calls++ {
			x, ok := a.Next()
			if !ok {
				return
			}
			if x.At < last.At {
				t.Fatal("arrivals are out of order")
			}
			if last = x; x.At%(10*time.Second) < 2*time.Second {
				inBurst++
			}
			if x.Class == 1 {
				stormCalls++
			}
			if x.Called[0] == '2' {
				toTwo++
			}
			if len(x.Called) != 6 {
				t.Fatal(x.Called)
			}
		}
	}
	calls, inBurst, stormCalls, toTwo, last := draw()
	checkNear := func(what string, got, want float64) {
		if math.Abs(got-want) > 0.1*want {
			t.Errorf("%s: %.3f, want %.3f", what, got, want)
		}
	}
	checkNear("calls", float64(calls), 50*200*1.4)
	checkNear("share in bursts", float64(inBurst)/float64(calls), 0.6/1.4)
	checkNear("storm calls", float64(stormCalls)/float64(calls), 0.1)
	checkNear("calls to 2", float64(toTwo)/float64(calls), 0.75)
	if callsAgain, _, _, _, again := draw(); callsAgain != calls || again != last {
		t.Error("the same seed gave different calls")
	}
	uniform := parse(t, "span: 20s", "span: 10s\nprocess: uniform", "burst: {every: 10s, for: 2s, times: 3}", "")
	count := 0
	for a := NewArrivals(uniform); ; count++ {
		if _, ok := a.Next(); !ok {
			break
		}
	}
	if count != 499 {
		t.Errorf("%d uniform calls at 50 a second in 10 s, want 499", count)
	}
}

// Guards against an invalid value that is accepted, or reported without its key and position.
func TestParseReportsKeyOfInvalidValue(t *testing.T) {
	for _, x := range [][3]string{{"rate: 50", "rate: 0", "l.yaml:4:7: rate"}, {"exchange: 1", "exchnge: 1", "l.yaml:3:1: exchnge"},
		{"length: 6, share: 3", "length: 0, share: 3", "numbers[0].length"}, {"hold: 2s", "hold: 0s", "classes[0].hold"},
		{"for: 2s", "for: 20s", "burst"}, {"span: 20s", "process: chaos", "process"}} {
		_, err := Parse("l.yaml", []byte(strings.Replace(validLoad, x[0], x[1], 1)))
		if err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("with %s: unexpected error %v", x[1], err)
		}
	}
}

// Guards against coordinated omission: a controller stalled for 2 s must show set-up times of nearly that, because calls due
// meanwhile count from when they were due. Runs a real controller with emulated switches in virtual time.
func TestStallCountsTowardsSetUpTime(t *testing.T) {
	for _, stall := range []time.Duration{0, 2 * time.Second} {
		report := runLoad(t, stall, emulator.Ringing{})
		totals := report.Totals
		if totals.Offered < 1200 || totals.Tries != totals.Offered || totals.Answered+totals.Refused+totals.Abandoned != totals.Offered || totals.Causes["1"] < 250 || totals.Finished+totals.Cut != totals.Answered {
			t.Errorf("outcomes do not add up, or too few calls: totals %+v", totals)
		}
		if stall == 0 && report.SetUpUS.P99 > 50_000 {
			t.Errorf("set-up times %+v without a stall, want p99 of at most 50 ms", report.SetUpUS)
		}
		if stall > 0 && report.SetUpUS.Max < 1_500_000 {
			t.Errorf("the longest set-up time is %d us with a stall of %v, want at least 1500000 us", report.SetUpUS.Max, stall)
		}
		if report.LateUS.Max > 2000 {
			t.Errorf("scheduling delay of the load: %+v, want at most 2000 us", report.LateUS)
		}
	}
}

// Guards against ringing that counts as set-up time, and calls that ring unanswered for ever: numbers ring for 4 s, one call in ten
// is not answered. Set-up time must end at ACM, answer time include the ringing, and callers abandon after the ringing limit.
func TestRingingNumbersCountSetUpToACM(t *testing.T) {
	report := runLoad(t, 0, emulator.Ringing{Median: 4 * time.Second, NoAnswer: 0.1})
	totals := report.Totals
	if totals.Answered+totals.Refused+totals.Abandoned+totals.AbandonedRinging != totals.Offered || totals.AbandonedRinging+totals.Causes["19"] < 60 || totals.Alerted < totals.Answered+totals.AbandonedRinging {
		t.Errorf("outcomes do not add up, or too few calls: totals %+v", totals)
	}
	if report.SetUpUS.P99 > 50_000 || report.AnswerUS.P50 < 4_000_000 || report.AnswerUS.Max > 4_100_000 {
		t.Errorf("set-up times %+v, want p99 of at most 50 ms; answer times %+v, want 4 to 4.1 s", report.SetUpUS, report.AnswerUS)
	}
	offered, answered := 0, 0
	for _, s := range report.Seconds {
		offered, answered = offered+int(s.Offered), answered+int(s.Answered)
	}
	if offered != int(totals.Offered) || answered != int(totals.Answered) {
		t.Errorf("sums over the seconds: %d offered and %d answered, want %d and %d", offered, answered, totals.Offered, totals.Answered)
	}
}

// runLoad runs validLoad against a controller and two emulated switches in virtual time; the controller stalls after 8 s if stall is
// above 0.
func runLoad(t *testing.T, stall time.Duration, ringing emulator.Ringing) (report Report) {
	synctest.Test(t, func(t *testing.T) {
		network := &memnet.Network{}
		emulated := &emulator.Network{Dial: network.Dial, Listen: network.Listen, Log: record.New()}
		cfg := config.Default()
		cfg.Exchange, cfg.Listen = 1, "127.0.0.1:0"
		cfg.Classes = []config.Class{{Name: "a", Aim: 1500 * time.Millisecond, Patience: 3 * time.Second, Worth: 1}}
		var switches []*emulator.Switch
		for pc := uint32(1); pc <= 2; pc++ {
			sw := emulator.NewSwitch(emulated, emulator.SwitchConfig{PC: pc, Prefixes: []string{string(rune('0' + pc))}, Circuits: map[uint32]int{3 - pc: 2000}, Rate: 1000,
				Ringing: map[isup.Category]emulator.Ringing{10: ringing, 11: ringing}})
			addr, err := sw.Start("127.0.0.1:0", false)
			if err != nil {
				t.Fatal(err)
			}
			switches = append(switches, sw)
			exchange := config.Exchange{PointCode: pc, Switch: []string{addr}, Prefixes: []string{string(rune('0' + pc))}}
			if pc == 2 {
				exchange.Circuits = 2000
			}
			cfg.Exchanges = append(cfg.Exchanges, exchange)
		}
		controller, err := daemon.New(daemon.Options{Config: &cfg, Log: zerolog.Nop(), Dial: network.Dial, Listen: network.Listen})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- controller.Run(ctx) }()
		for !controller.Ready(ctx) {
			time.Sleep(10 * time.Millisecond)
		}
		loadCfg := parse(t, "127.0.0.1:2905", controller.Addr(), "rate: 50", "rate: 50\nclients: 5")
		if stall > 0 {
			time.AfterFunc(8*time.Second, func() { controller.Stall(ctx, stall) })
		}
		report, err = Run(ctx, loadCfg, Options{Dial: network.Dial})
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		<-done
		for _, sw := range switches {
			sw.Close()
		}
	})
	return report
}
