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

const good = `
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

func parse(t *testing.T, change ...string) *Config {
	t.Helper()
	text := good
	for i := 0; i < len(change); i += 2 {
		text = strings.Replace(text, change[i], change[i+1], 1)
	}
	c, err := Parse("l.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestArrivals(t *testing.T) {
	c := parse(t, "span: 20s", "span: 200s")
	draw := func() (n, burst, storm, two int, last Arrival) {
		for a := NewArrivals(c); ; n++ {
			x, ok := a.Next()
			if !ok {
				return
			}
			if x.At < last.At {
				t.Fatal("out of order")
			}
			if last = x; x.At%(10*time.Second) < 2*time.Second {
				burst++
			}
			if x.Class == 1 {
				storm++
			}
			if x.Called[0] == '2' {
				two++
			}
			if len(x.Called) != 6 {
				t.Fatal(x.Called)
			}
		}
	}
	n, burst, storm, two, last := draw()
	near := func(what string, got, want float64) {
		if math.Abs(got-want) > 0.1*want {
			t.Errorf("%s: %.3f, want %.3f", what, got, want)
		}
	}
	near("calls", float64(n), 50*200*1.4)
	near("share in bursts", float64(burst)/float64(n), 0.6/1.4)
	near("storm calls", float64(storm)/float64(n), 0.1)
	near("calls to 2", float64(two)/float64(n), 0.75)
	if m, _, _, _, again := draw(); m != n || again != last {
		t.Error("the same seed gives other calls")
	}
	u := parse(t, "span: 20s", "span: 10s\nprocess: uniform", "burst: {every: 10s, for: 2s, times: 3}", "")
	k := 0
	for a := NewArrivals(u); ; k++ {
		if _, ok := a.Next(); !ok {
			break
		}
	}
	if k != 499 {
		t.Errorf("%d calls at 50 a second in 10 s", k)
	}
}

func TestFaults(t *testing.T) {
	for _, x := range [][3]string{{"rate: 50", "rate: 0", "l.yaml:4:7: rate"}, {"exchange: 1", "exchnge: 1", "l.yaml:3:1: exchnge"},
		{"length: 6, share: 3", "length: 0, share: 3", "numbers[0].length"}, {"hold: 2s", "hold: 0s", "classes[0].hold"},
		{"for: 2s", "for: 20s", "burst"}, {"span: 20s", "process: chaos", "process"}} {
		_, err := Parse("l.yaml", []byte(strings.Replace(good, x[0], x[1], 1)))
		if err == nil || !strings.Contains(err.Error(), x[2]) {
			t.Errorf("%s: %v", x[1], err)
		}
	}
}

// A load on a real controller with a stand-in switch, in exact time; in the middle the controller stands still for two
// seconds, and the calls due meanwhile count from when they were due.
func TestLoad(t *testing.T) {
	for _, stall := range []time.Duration{0, 2 * time.Second} {
		rep := offer(t, stall, emulator.Ringing{})
		k := rep.Totals
		if k.Offered < 1200 || k.Tries != k.Offered || k.Answered+k.Refused+k.Abandoned != k.Offered || k.Causes["1"] < 250 || k.Finished+k.Cut != k.Answered {
			t.Errorf("%+v", k)
		}
		if stall == 0 && rep.SetUpUS.P99 > 50_000 {
			t.Errorf("set-up %+v", rep.SetUpUS)
		}
		if stall > 0 && rep.SetUpUS.Max < 1_500_000 {
			t.Errorf("the longest set-up is %d us after a stop of %v", rep.SetUpUS.Max, stall)
		}
		if rep.LateUS.Max > 2000 {
			t.Errorf("its own lateness: %+v", rep.LateUS)
		}
	}
}

// Numbers that ring four seconds, one in ten unanswered: set-up counts to ACM, the answer with the ringing, and callers leave
// when they have let it ring long enough.
func TestLoadOfRingingNumbers(t *testing.T) {
	rep := offer(t, 0, emulator.Ringing{Median: 4 * time.Second, NoAnswer: 0.1})
	k := rep.Totals
	if k.Answered+k.Refused+k.Abandoned+k.AbandonedRinging != k.Offered || k.AbandonedRinging+k.Causes["19"] < 60 || k.Alerted < k.Answered+k.AbandonedRinging {
		t.Errorf("%+v", k)
	}
	if rep.SetUpUS.P99 > 50_000 || rep.AnswerUS.P50 < 4_000_000 || rep.AnswerUS.Max > 4_100_000 {
		t.Errorf("set-up %+v, answer %+v", rep.SetUpUS, rep.AnswerUS)
	}
	offered, stood := 0, 0
	for _, s := range rep.Seconds {
		offered, stood = offered+int(s.Offered), stood+int(s.Answered)
	}
	if offered != int(k.Offered) || stood != int(k.Answered) {
		t.Errorf("by second %d and %d, of %d and %d", offered, stood, k.Offered, k.Answered)
	}
}

// offer runs the load against a controller and two switches in exact time.
func offer(t *testing.T, stall time.Duration, ringing emulator.Ringing) (rep Report) {
	synctest.Test(t, func(t *testing.T) {
		n := &memnet.Network{}
		w := &emulator.Network{Dial: n.Dial, Listen: n.Listen, Log: record.New()}
		c := config.Default()
		c.Exchange, c.Listen = 1, "127.0.0.1:0"
		c.Classes = []config.Class{{Name: "a", Aim: 1500 * time.Millisecond, Patience: 3 * time.Second, Worth: 1}}
		var switches []*emulator.Switch
		for pc := uint32(1); pc <= 2; pc++ {
			s := emulator.NewSwitch(w, emulator.SwitchConfig{PC: pc, Prefixes: []string{string(rune('0' + pc))}, Circuits: map[uint32]int{3 - pc: 2000}, Rate: 1000,
				Ringing: map[isup.Category]emulator.Ringing{10: ringing, 11: ringing}})
			addr, err := s.Start("127.0.0.1:0", false)
			if err != nil {
				t.Fatal(err)
			}
			switches = append(switches, s)
			x := config.Exchange{PointCode: pc, Switch: []string{addr}, Prefixes: []string{string(rune('0' + pc))}}
			if pc == 2 {
				x.Circuits = 2000
			}
			c.Exchanges = append(c.Exchanges, x)
		}
		d, err := daemon.New(daemon.Options{Config: &c, Log: zerolog.Nop(), Dial: n.Dial, Listen: n.Listen})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- d.Run(ctx) }()
		for !d.Ready(ctx) {
			time.Sleep(10 * time.Millisecond)
		}
		l := parse(t, "127.0.0.1:2905", d.Addr(), "rate: 50", "rate: 50\nclients: 5")
		if stall > 0 {
			time.AfterFunc(8*time.Second, func() { d.Stall(ctx, stall) })
		}
		rep, err = Run(ctx, l, Options{Dial: n.Dial})
		if err != nil {
			t.Fatal(err)
		}
		cancel()
		<-done
		for _, s := range switches {
			s.Close()
		}
	})
	return rep
}
