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

// small is a day of three exchanges with so few calls that each message of a call has its place.
func small() *Scenario {
	d := Default()
	d.Name, d.Length, d.Seed = "small", 12*time.Second, 3
	d.Network.Exchanges, d.Network.Regions, d.Network.Unlinked = 3, []string{"seoul"}, 0
	d.Traffic.Planned, d.Traffic.Load, d.Traffic.Swing = 6, 1, 0
	return &d
}

// An association is reset at every message position of a call's life, on either side of the controller, before the message
// is handed on and after it, again and again through a day: the users' test, judged from the traffic.
func TestResetAtEveryMessage(t *testing.T) {
	types := []isup.Type{isup.IAM, isup.ACM, isup.ANM, isup.REL, isup.RLC}
	for _, kind := range []record.LinkKind{record.ClientLink, record.FarLink, record.OwnLink} {
		for _, typ := range types {
			for _, in := range []bool{true, false} {
				for _, before := range []bool{true, false} {
					name := fmt.Sprintf("%s/%v/in=%v/before=%v", []string{"client", "far", "own"}[kind], typ, in, before)
					t.Run(name, func(t *testing.T) {
						resets, seen := 0, 0
						d := small()
						res := play(t, d, func(o *Options) {
							o.FrameFault = func(k record.LinkKind, fromController bool, m *m3ua.Message, u *isup.Message) emulator.FrameFault {
								if k != kind || fromController != in || u == nil || u.Type != typ {
									return emulator.Pass
								}
								if seen++; seen%7 != 0 { // else nothing would ever stand
									return emulator.Pass
								}
								resets++
								if before {
									return emulator.ResetBefore
								}
								return emulator.ResetAfter
							}
						})
						if seen >= 7 && resets == 0 {
							t.Error("nothing was reset")
						}
						if res.Report.Tries < 50 {
							t.Errorf("%d tries", res.Report.Tries)
						}
					})
				}
			}
		}
	}
}
