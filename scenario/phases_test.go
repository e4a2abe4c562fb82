package scenario

import (
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
)

// An overloaded exchange that sends ACM on receipt of the IAM and does the work later hides its overload from controllers
// that measure the time to ACM. They must recognise it by the release delay, from REL to RLC, so that service to the answer
// stays near that with ACMs sent after the work.
func TestEarlyACMHidesNoOverload(t *testing.T) {
	share := map[bool]float64{}
	for _, early := range []bool{false, true} {
		for seed := range uint64(4) {
			scenario, err := Generate(30+seed, "only:slow")
			if err != nil {
				t.Fatal(err)
			}
			scenario = scenario.WithoutRinging()
			scenario.Traffic.Load, scenario.Faults[0].Size, scenario.Faults[0].Fraction = 1.2, 2, 0.6
			scenario.Network.Switch.EarlyACM, scenario.Network.Switch.AnswersFirst = early, false
			share[early] += runScenario(t, scenario).Report.ToAnswer.Share / 4
		}
	}
	t.Logf("service with ACM after the work %.3f, with early ACM %.3f", share[false], share[true])
	if share[true] < share[false]-0.11 { // the difference is 0.18 for controllers that ignore the release delay
		t.Errorf("service %.3f with early ACM, %.3f with ACM after the work", share[true], share[false])
	}
}

// Call faults at every switch that hit 5% of the set-ups must cost little more service than that share: controllers must
// not treat healthy switches as failed.
func TestCallFaultsCostLittleService(t *testing.T) {
	for _, tc := range []struct {
		kind    FaultKind
		maxLoss float64
	}{{CallFaultFull, 0.05}, {CallFaultSilent, 0.1}, {CallFaultReset, 0.05}} {
		var share [2]float64
		for i, size := range []float64{0.05, 0} {
			scenario := NoFaults()
			for j := range scenario.Traffic.Classes {
				scenario.Traffic.Classes[j].Ring, scenario.Traffic.Classes[j].Ringing = 15*time.Second, emulator.Ringing{Median: 3 * time.Second, Spread: 0.5, NoAnswer: 0.03}
			}
			if size > 0 {
				scenario.Faults = []Fault{{Kind: tc.kind, At: 0, For: scenario.Length, Fraction: 1, Size: size}}
			}
			res := runScenario(t, scenario)
			share[i] = res.Report.Whole.Share
			if res.Report.Alerted == 0 || res.Report.NoAnswer == 0 {
				t.Errorf("%d calls alerted, %d not answered; want some of each", res.Report.Alerted, res.Report.NoAnswer)
			}
		}
		t.Logf("%s at 5%% of the set-ups: service %.3f, without %.3f", tc.kind, share[0], share[1])
		if share[0] < share[1]-tc.maxLoss {
			t.Errorf("%s at 5%% of the set-ups: service %.3f, %.3f without", tc.kind, share[0], share[1])
		}
	}
}

// A controller that offers 60% of all calls must not lose calls for its size: with it, the service is at least 95% as among
// controllers of about equal size.
func TestLargeControllerKeepsService(t *testing.T) {
	scenario := NoFaults()
	scenario.Network.BigExchange = 0.6
	networkPlan := scenario.plan()
	if s := networkPlan.originShares[0]; s < 0.59 || s > 0.61 {
		t.Fatalf("the large controller offers %.2f of all calls, want 0.60", s)
	}
	if res := runScenario(t, scenario); res.Report.Whole.Share < 0.95 {
		t.Errorf("service %.3f, want at least 0.95", res.Report.Whole.Share)
	}
}
