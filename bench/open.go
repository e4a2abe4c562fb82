package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/emulator/switchset"
	"github.com/umbergauge/umbergauge/internal/config"
	"github.com/umbergauge/umbergauge/load"
)

// OpenCase is one controller in front of far exchanges that are well: what it carries should be bounded by their
// processors and circuits alone.
type OpenCase struct {
	Name          string               `json:"name"`
	FarExchanges  int                  `json:"far"`
	Rate          float64              `json:"rate"`   // calls a second offered
	Answer        time.Duration        `json:"answer"` // the way there and back
	Ring          time.Duration        `json:"ring"`   // from ACM to ANM
	CallFaults    switchset.CallFaults `json:"thin"`
	ProcessorRate float64              `json:"each"`     // set-ups a second that each far processor can take; 0: any number
	Circuits      int                  `json:"circuits"` // of each group; 0: all that a group can have
	Aim           time.Duration        `json:"aim"`
	Patience      time.Duration        `json:"patience"`
	Span          time.Duration        `json:"span"`
}

// OpenResult is what became of a case.
type OpenResult struct {
	OpenCase
	Load    load.Totals    `json:"load"`
	Share   float64        `json:"stood_share"` // of all offered
	Settled float64        `json:"settled"`     // of those offered after the first five seconds
	Bound   float64        `json:"bound"`       // share that circuits (Erlang B) and processors leave
	OpenIn  time.Duration  `json:"open_in"`     // first second from which on 95% of the bound stood; below zero: never
	SetUpUS load.Quantiles `json:"set_up_us"`
	CPU     float64        `json:"cores"` // that the controller used
}

// settling is what a case is given before it is counted.
const settling = 5 * time.Second

const openHold = 200 * time.Millisecond

// OpenTable are the cases of a user's first trial: three far exchanges, nothing loaded.
func OpenTable(span time.Duration) []OpenCase {
	c := func(name string, rate float64, ring time.Duration, thin switchset.CallFaults) OpenCase {
		x := OpenCase{Name: name, FarExchanges: 3, Rate: rate, Answer: 20 * time.Millisecond, Ring: ring, CallFaults: thin, Span: span}
		if ring >= 5*time.Second {
			x.Aim, x.Patience = 20*time.Second, 60*time.Second
		}
		return x
	}
	return []OpenCase{
		c("150/s", 150, 0, switchset.CallFaults{}), c("600/s", 600, 0, switchset.CallFaults{}),
		c("50/s, rings 1 s", 50, time.Second, switchset.CallFaults{}), c("50/s, rings 8 s", 50, 8*time.Second, switchset.CallFaults{}),
		c("150/s, 1% full", 150, 0, switchset.CallFaults{Full: 0.01}), c("150/s, 5% full", 150, 0, switchset.CallFaults{Full: 0.05}),
		c("150/s, 10% full", 150, 0, switchset.CallFaults{Full: 0.1}),
		c("150/s, 3% unanswered", 150, 0, switchset.CallFaults{Silent: 0.03}), c("150/s, 10% unanswered", 150, 0, switchset.CallFaults{Silent: 0.1}),
		c("150/s, 3% reset", 150, 0, switchset.CallFaults{Reset: 0.03}), c("150/s, 10% reset", 150, 0, switchset.CallFaults{Reset: 0.1}),
		c("150/s, 20% failed (41)", 150, 0, switchset.CallFaults{Failed: 0.2}),
	}
}

// OpenMatrix are cases by far exchanges, answer time and ringing.
func OpenMatrix(span time.Duration, rate float64) (out []OpenCase) {
	for _, far := range []int{1, 3, 76} {
		for _, answer := range []time.Duration{5, 20, 70, 300} {
			out = append(out, OpenCase{Name: fmt.Sprintf("%d far, answers after %d ms", far, answer), FarExchanges: far, Rate: rate, Answer: answer * time.Millisecond, Span: span})
		}
	}
	for _, far := range []int{1, 3, 76} {
		for _, ring := range []time.Duration{1, 8, 30} {
			out = append(out, OpenCase{Name: fmt.Sprintf("%d far, rings %d s", far, ring), FarExchanges: far, Rate: min(rate, 150), Answer: 20 * time.Millisecond,
				Ring: ring * time.Second, Span: span + ring*time.Second})
		}
	}
	for _, share := range []float64{0.8, 0.95, 1.2} {
		out = append(out, OpenCase{Name: fmt.Sprintf("3 far of 200/s, %.0f%%", 100*share), FarExchanges: 3, Rate: 600 * share, ProcessorRate: 200, Answer: 20 * time.Millisecond, Span: span})
	}
	out = append(out, OpenCase{Name: "76 far, rings 30 s, 400/s", FarExchanges: 76, Rate: 400, Answer: 20 * time.Millisecond, Ring: 30 * time.Second, Span: span + 30*time.Second})
	return append(out, OpenCase{Name: "76 far, 792/s", FarExchanges: 76, Rate: 792, Answer: 20 * time.Millisecond, Span: span})
}

// ErlangB is the share of calls that a full group loses (Q.543; ITU-T E.501): load in erlangs offered to n circuits.
func ErlangB(load float64, n int) float64 {
	b := 1.0
	for i := 1; i <= n; i++ {
		b = load * b / (float64(i) + load*b)
	}
	return b
}

// Open runs one case: program is the binary that is run as the controller.
func Open(ctx context.Context, program string, o OpenCase, progress io.Writer) (res OpenResult, err error) {
	if o.Circuits == 0 {
		o.Circuits = circuits
	}
	if o.Aim == 0 {
		o.Aim, o.Patience = 2*time.Second, 10*time.Second
	}
	res.OpenCase = o
	sw := switchset.Config{Seed: 1, Delay: o.Answer / 2}
	if o.Ring > 0 {
		sw.Ringing = []switchset.Class{{Category: 10, Ringing: emulator.Ringing{Median: o.Ring}}}
	}
	c := config.Default()
	c.Exchange, c.Log.Level, c.Limits.Calls = selfPC, "error", 1_000_000
	c.Timers.T7, c.Timers.T9 = 0, 0 // not written: older builds don't know them
	c.Classes = []config.Class{{Name: "a", Aim: o.Aim, Patience: o.Patience, Worth: 1}}
	var numbers []load.Numbers
	own := switchset.Switch{PointCode: selfPC, Listen: "127.0.0.1:0", Prefixes: []string{"8200"}, Circuits: map[uint32]int{}}
	for i := range o.FarExchanges {
		pc, prefix := uint32(firstFar+i), fmt.Sprintf("82%02d", i+1)
		own.Circuits[pc] = o.Circuits
		sw.Switches = append(sw.Switches, switchset.Switch{PointCode: pc, Listen: "127.0.0.1:0", Prefixes: []string{prefix},
			Circuits: map[uint32]int{selfPC: o.Circuits}, CallFaults: o.CallFaults, Rate: o.ProcessorRate, FullAfter: 2 * time.Second, RejectWork: 0.1})
		numbers = append(numbers, load.Numbers{Prefix: prefix, Length: 10, Share: 1})
	}
	sw.Switches = append(sw.Switches, own)
	set, err := switchset.Start(&sw)
	if err != nil {
		return res, err
	}
	defer set.Close()
	for i := range o.FarExchanges + 1 {
		x := config.Exchange{PointCode: uint32(selfPC + i), Switch: []string{set.Addrs[uint32(selfPC+i)]}, Prefixes: []string{fmt.Sprintf("82%02d", i)}}
		if i > 0 {
			x.Circuits = o.Circuits
		}
		c.Exchanges = append(c.Exchanges, x)
	}
	if c.Listen, err = freeAddr(); err != nil {
		return res, err
	}
	cmd, stop, err := startController(ctx, program, &c, progress)
	if err != nil {
		return res, err
	}
	defer stop()
	select { // its associations and queries
	case <-time.After(1500*time.Millisecond + time.Duration(o.FarExchanges)*20*time.Millisecond + 4*o.Answer):
	case <-ctx.Done():
		return res, ctx.Err()
	}
	lc := load.Default()
	lc.Controller, lc.Exchange, lc.Rate, lc.Span = c.Listen, selfPC, o.Rate, o.Span
	lc.Clients = 2 + int(o.Rate*(o.Ring.Seconds()+1)/2000) // 4095 circuits each
	lc.Numbers = numbers
	lc.Classes = []load.Class{{Name: "a", Share: 1, Category: 10, Hold: openHold, Patience: o.Patience, Ring: 90 * time.Second}}
	cpu, begin := cpuTime(cmd.Process.Pid), time.Now()
	rep, err := load.Run(ctx, &lc, load.Options{})
	if err != nil {
		return res, err
	}
	res.CPU = (cpuTime(cmd.Process.Pid) - cpu).Seconds() / time.Since(begin).Seconds()
	res.Load, res.SetUpUS = rep.Totals, rep.SetUpUS
	res.Share = float64(rep.Totals.Answered) / float64(max(1, rep.Totals.Offered))
	erlang := o.Rate / float64(o.FarExchanges) * (o.Answer + o.Ring + openHold + o.Answer).Seconds()
	res.Bound = 1 - ErlangB(erlang, o.Circuits)
	if o.ProcessorRate > 0 {
		res.Bound = min(res.Bound, o.ProcessorRate*float64(o.FarExchanges)/o.Rate)
	}
	offered, stood := 0, 0
	res.OpenIn = -1
	for i, s := range rep.Seconds {
		if time.Duration(i)*time.Second >= settling {
			offered, stood = offered+int(s.Offered), stood+int(s.Answered)
		}
		if good := float64(s.Answered) >= 0.95*res.Bound*float64(s.Offered); good && res.OpenIn < 0 {
			res.OpenIn = time.Duration(i) * time.Second
		} else if !good && time.Duration(i)*time.Second < settling {
			res.OpenIn = -1
		}
	}
	res.Settled = float64(stood) / float64(max(1, offered))
	return res, nil
}
