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

// OpenCase is an open-loop load on one controller with healthy far exchanges: the calls that it carries should be limited only by
// their processors and circuits.
type OpenCase struct {
	Name          string               `json:"name"`
	FarExchanges  int                  `json:"far"`
	Rate          float64              `json:"rate"`   // calls a second offered
	Answer        time.Duration        `json:"answer"` // round-trip time to a far switch
	Ring          time.Duration        `json:"ring"`   // from ACM to ANM
	CallFaults    switchset.CallFaults `json:"thin"`
	ProcessorRate float64              `json:"each"`     // set-ups a second that each far processor can handle; 0: unlimited
	Circuits      int                  `json:"circuits"` // circuits of each trunk group; 0: circuitsPerGroup
	Aim           time.Duration        `json:"aim"`
	Patience      time.Duration        `json:"patience"`
	Span          time.Duration        `json:"span"`
}

// OpenResult is the result of a case.
type OpenResult struct {
	OpenCase
	Load    load.Totals    `json:"load"`
	Share   float64        `json:"stood_share"` // share of all offered calls that were answered
	Settled float64        `json:"settled"`     // the same share of the calls offered after settlingTime
	Bound   float64        `json:"bound"`       // highest share possible with the circuits (Erlang B) and processors
	OpenIn  time.Duration  `json:"open_in"`     // first second in which 95% of the bound was answered; a miss within settlingTime restarts the search; below zero: never
	SetUpUS load.Quantiles `json:"set_up_us"`
	CPU     float64        `json:"cores"` // CPU cores used by the controller
}

// settlingTime is the time from the start after which the settled share is counted.
const settlingTime = 5 * time.Second

// openHoldTime is the mean holding time of calls.
const openHoldTime = 200 * time.Millisecond

// OpenTable returns cases of light load on three far exchanges, without faults and with call faults, as a new user would try them.
func OpenTable(span time.Duration) []OpenCase {
	newCase := func(name string, rate float64, ring time.Duration, callFaults switchset.CallFaults) OpenCase {
		openCase := OpenCase{Name: name, FarExchanges: 3, Rate: rate, Answer: 20 * time.Millisecond, Ring: ring, CallFaults: callFaults, Span: span}
		if ring >= 5*time.Second {
			openCase.Aim, openCase.Patience = 20*time.Second, 60*time.Second
		}
		return openCase
	}
	return []OpenCase{
		newCase("150/s", 150, 0, switchset.CallFaults{}), newCase("600/s", 600, 0, switchset.CallFaults{}),
		newCase("50/s, rings 1 s", 50, time.Second, switchset.CallFaults{}), newCase("50/s, rings 8 s", 50, 8*time.Second, switchset.CallFaults{}),
		newCase("150/s, 1% full", 150, 0, switchset.CallFaults{Full: 0.01}), newCase("150/s, 5% full", 150, 0, switchset.CallFaults{Full: 0.05}),
		newCase("150/s, 10% full", 150, 0, switchset.CallFaults{Full: 0.1}),
		newCase("150/s, 3% unanswered", 150, 0, switchset.CallFaults{Silent: 0.03}), newCase("150/s, 10% unanswered", 150, 0, switchset.CallFaults{Silent: 0.1}),
		newCase("150/s, 3% reset", 150, 0, switchset.CallFaults{Reset: 0.03}), newCase("150/s, 10% reset", 150, 0, switchset.CallFaults{Reset: 0.1}),
		newCase("150/s, 20% failed (41)", 150, 0, switchset.CallFaults{Failed: 0.2}),
	}
}

// OpenMatrix returns cases with different numbers of far exchanges, round-trip times, ringing times and loads.
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

// ErlangB returns the share of calls that find all circuits of a trunk group busy (Q.543; ITU-T E.501) when a load in erlangs is
// offered to n circuits.
func ErlangB(load float64, n int) float64 {
	blocking := 1.0
	for i := 1; i <= n; i++ {
		blocking = load * blocking / (float64(i) + load*blocking)
	}
	return blocking
}

// Open runs one case; program is the binary that is run as the controller.
func Open(ctx context.Context, program string, openCase OpenCase, progress io.Writer) (result OpenResult, err error) {
	if openCase.Circuits == 0 {
		openCase.Circuits = circuitsPerGroup
	}
	if openCase.Aim == 0 {
		openCase.Aim, openCase.Patience = 2*time.Second, 10*time.Second
	}
	result.OpenCase = openCase
	switches := switchset.Config{Seed: 1, Delay: openCase.Answer / 2}
	if openCase.Ring > 0 {
		switches.Ringing = []switchset.Class{{Category: 10, Ringing: emulator.Ringing{Median: openCase.Ring}}}
	}
	cfg := config.Default()
	cfg.Exchange, cfg.Log.Level, cfg.Limits.Calls = ownPC, "error", 1_000_000
	cfg.Timers.T7, cfg.Timers.T9 = 0, 0 // left out of the settings file, because older builds do not know these keys
	cfg.Classes = []config.Class{{Name: "a", Aim: openCase.Aim, Patience: openCase.Patience, Worth: 1}}
	var numbers []load.Numbers
	own := switchset.Switch{PointCode: ownPC, Listen: "127.0.0.1:0", Prefixes: []string{"8200"}, Circuits: map[uint32]int{}}
	for i := range openCase.FarExchanges {
		pc, prefix := uint32(firstFarPC+i), fmt.Sprintf("82%02d", i+1)
		own.Circuits[pc] = openCase.Circuits
		switches.Switches = append(switches.Switches, switchset.Switch{PointCode: pc, Listen: "127.0.0.1:0", Prefixes: []string{prefix},
			Circuits: map[uint32]int{ownPC: openCase.Circuits}, CallFaults: openCase.CallFaults, Rate: openCase.ProcessorRate, FullAfter: 2 * time.Second, RejectWork: 0.1})
		numbers = append(numbers, load.Numbers{Prefix: prefix, Length: 10, Share: 1})
	}
	switches.Switches = append(switches.Switches, own)
	set, err := switchset.Start(&switches)
	if err != nil {
		return result, err
	}
	defer set.Close()
	for i := range openCase.FarExchanges + 1 {
		exchange := config.Exchange{PointCode: uint32(ownPC + i), Switch: []string{set.Addrs[uint32(ownPC+i)]}, Prefixes: []string{fmt.Sprintf("82%02d", i)}}
		if i > 0 {
			exchange.Circuits = openCase.Circuits
		}
		cfg.Exchanges = append(cfg.Exchanges, exchange)
	}
	if cfg.Listen, err = freeAddr(); err != nil {
		return result, err
	}
	cmd, stop, err := startController(ctx, program, &cfg, progress)
	if err != nil {
		return result, err
	}
	defer stop()
	select { // time for the controller's associations and circuit queries
	case <-time.After(1500*time.Millisecond + time.Duration(openCase.FarExchanges)*20*time.Millisecond + 4*openCase.Answer):
	case <-ctx.Done():
		return result, ctx.Err()
	}
	loadCfg := load.Default()
	loadCfg.Controller, loadCfg.Exchange, loadCfg.Rate, loadCfg.Span = cfg.Listen, ownPC, openCase.Rate, openCase.Span
	loadCfg.Clients = 2 + int(openCase.Rate*(openCase.Ring.Seconds()+1)/2000) // a client has at most 4095 circuits
	loadCfg.Numbers = numbers
	loadCfg.Classes = []load.Class{{Name: "a", Share: 1, Category: 10, Hold: openHoldTime, Patience: openCase.Patience, Ring: 90 * time.Second}}
	cpu, begin := cpuTime(cmd.Process.Pid), time.Now()
	report, err := load.Run(ctx, &loadCfg, load.Options{})
	if err != nil {
		return result, err
	}
	result.CPU = (cpuTime(cmd.Process.Pid) - cpu).Seconds() / time.Since(begin).Seconds()
	result.Load, result.SetUpUS = report.Totals, report.SetUpUS
	result.Share = float64(report.Totals.Answered) / float64(max(1, report.Totals.Offered))
	erlang := openCase.Rate / float64(openCase.FarExchanges) * (openCase.Answer + openCase.Ring + openHoldTime + openCase.Answer).Seconds()
	result.Bound = 1 - ErlangB(erlang, openCase.Circuits)
	if openCase.ProcessorRate > 0 {
		result.Bound = min(result.Bound, openCase.ProcessorRate*float64(openCase.FarExchanges)/openCase.Rate)
	}
	offered, answered := 0, 0
	result.OpenIn = -1
	for i, s := range report.Seconds {
		if time.Duration(i)*time.Second >= settlingTime {
			offered, answered = offered+int(s.Offered), answered+int(s.Answered)
		}
		if reached := float64(s.Answered) >= 0.95*result.Bound*float64(s.Offered); reached && result.OpenIn < 0 {
			result.OpenIn = time.Duration(i) * time.Second
		} else if !reached && time.Duration(i)*time.Second < settlingTime {
			result.OpenIn = -1
		}
	}
	result.Settled = float64(answered) / float64(max(1, offered))
	return result, nil
}
