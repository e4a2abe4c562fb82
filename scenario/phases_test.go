package scenario

import (
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
)

// A slow exchange that says ACM at once and works later: the waits of its releases show what its ACMs hide. Service to the
// answer is not far from that of the same day with honest ACMs.
func TestEarlyACMHidesNoOverload(t *testing.T) {
	share := map[bool]float64{}
	for _, early := range []bool{false, true} {
		for seed := range uint64(4) {
			d, err := Generate(30+seed, "only:slow")
			if err != nil {
				t.Fatal(err)
			}
			d = d.WithoutRinging()
			d.Traffic.Load, d.Faults[0].Size, d.Faults[0].Fraction = 1.2, 2, 0.6
			d.Network.Switch.EarlyACM, d.Network.Switch.AnswersFirst = early, false
			share[early] += play(t, d).Report.ToAnswer.Share / 4
		}
	}
	t.Logf("honest %.3f, early %.3f", share[false], share[true])
	if share[true] < share[false]-0.11 { // without the waits of releases it is 0.18 lower
		t.Errorf("service %.3f with early ACM, %.3f with honest ones", share[true], share[false])
	}
}

// Thin faults at every exchange, and numbers that ring: what they cost is near the share itself, and no rule breaks.
func TestCallFaultsOfAScenario(t *testing.T) {
	for _, tc := range []struct {
		kind FaultKind
		most float64
	}{{CallFaultFull, 0.05}, {CallFaultSilent, 0.1}, {CallFaultReset, 0.05}} {
		var share [2]float64
		for i, size := range []float64{0.05, 0} {
			d := NoFaults()
			for j := range d.Traffic.Classes {
				d.Traffic.Classes[j].Ring, d.Traffic.Classes[j].Ringing = 15*time.Second, emulator.Ringing{Median: 3 * time.Second, Spread: 0.5, NoAnswer: 0.03}
			}
			if size > 0 {
				d.Faults = []Fault{{Kind: tc.kind, At: 0, For: d.Length, Fraction: 1, Size: size}}
			}
			res := play(t, d)
			share[i] = res.Report.Whole.Share
			if res.Report.Alerted == 0 || res.Report.NoAnswer == 0 {
				t.Errorf("%d rang, %d without an answer", res.Report.Alerted, res.Report.NoAnswer)
			}
		}
		t.Logf("%s at 5%%: %.3f, without %.3f", tc.kind, share[0], share[1])
		if share[0] < share[1]-tc.most {
			t.Errorf("%s at 5%% of the set-ups: service %.3f, %.3f without", tc.kind, share[0], share[1])
		}
	}
}

// One large controller beside small ones carries its calls as they do.
func TestOneBigController(t *testing.T) {
	d := NoFaults()
	d.Network.BigExchange = 0.6
	p := d.plan()
	if s := p.streams[0]; s < 0.59 || s > 0.61 {
		t.Fatalf("it offers %.2f of all calls", s)
	}
	if res := play(t, d); res.Report.Whole.Share < 0.95 {
		t.Errorf("service %.3f", res.Report.Whole.Share)
	}
}
