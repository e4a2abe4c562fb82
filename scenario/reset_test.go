package scenario

import (
	"fmt"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// smallScenario has three exchanges and six calls a second, at a constant load.
func smallScenario() *Scenario {
	scenario := Default()
	scenario.Name, scenario.Length, scenario.Seed = "small", 12*time.Second, 3
	scenario.Network.Exchanges, scenario.Network.Regions, scenario.Network.Unlinked = 3, []string{"seoul"}, 0
	scenario.Traffic.Planned, scenario.Traffic.Load, scenario.Traffic.Swing = 6, 1, 0
	return &scenario
}

// Resets of an association at any message of a call, on any link of the controller and in either direction, before or
// after the message is delivered, must not make the controller break a rule.
func TestResetAtEveryMessage(t *testing.T) {
	types := []isup.Type{isup.IAM, isup.ACM, isup.ANM, isup.REL, isup.RLC}
	for _, kind := range []record.LinkKind{record.ClientLink, record.FarLink, record.OwnLink} {
		for _, typ := range types {
			for _, wantFromController := range []bool{true, false} {
				for _, resetBefore := range []bool{true, false} {
					name := fmt.Sprintf("%s/%v/from-controller=%v/reset-before=%v", []string{"client", "far", "own"}[kind], typ, wantFromController, resetBefore)
					t.Run(name, func(t *testing.T) {
						resets, seen := 0, 0
						scenario := smallScenario()
						res := runScenario(t, scenario, func(o *Options) {
							o.FrameFault = func(k record.LinkKind, fromController bool, m *m3ua.Message, u *isup.Message) emulator.FrameFault {
								if k != kind || fromController != wantFromController || u == nil || u.Type != typ {
									return emulator.Pass
								}
								if seen++; seen%7 != 0 { // resets only one message in seven, or no call would be established
									return emulator.Pass
								}
								resets++
								if resetBefore {
									return emulator.ResetBefore
								}
								return emulator.ResetAfter
							}
						})
						if seen >= 7 && resets == 0 {
							t.Error("no association was reset")
						}
						if res.Report.Tries < 50 {
							t.Errorf("%d calls, want at least 50", res.Report.Tries)
						}
					})
				}
			}
		}
	}
}
