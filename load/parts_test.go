package load

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
)

// Guards against a load that changes when it is split among processes: the parts must have each client once, add up to the rate,
// and have different seeds.
func TestPartsAddUpToWholeLoad(t *testing.T) {
	c := parse(t, "rate: 50", "rate: 50\nclients: 7\npoint_code: 9100")
	for n := 1; n <= 7; n++ {
		rate, next, seeds := 0.0, uint32(9100), map[uint64]bool{}
		for i := range n {
			p, err := c.Part(i, n)
			if err != nil {
				t.Fatal(err)
			}
			if p.PointCode != next || p.Clients < 1 || seeds[p.Seed] {
				t.Errorf("part %d of %d: %+v", i, n, p)
			}
			rate, next, seeds[p.Seed] = rate+p.Rate, next+uint32(p.Clients), true
		}
		if math.Abs(rate-50) > 1e-9 || next != 9107 {
			t.Errorf("%d parts: sum of rates %v, want 50; point codes end before %d, want 9107", n, rate, next)
		}
	}
	if _, err := c.Part(0, 8); err == nil {
		t.Error("a split of seven clients among eight processes was accepted")
	}
}

// Guards against counts or quantiles lost when reports of several processes are merged after being encoded and decoded as JSON.
func TestMergeKeepsTotalsAndQuantiles(t *testing.T) {
	var parts []Report
	for _, ringing := range []time.Duration{time.Second, 3 * time.Second} {
		b, err := json.Marshal(runLoad(t, 0, emulator.Ringing{Median: ringing}))
		if err != nil {
			t.Fatal(err)
		}
		var r Report
		if err := json.Unmarshal(b, &r); err != nil {
			t.Fatal(err)
		}
		parts = append(parts, r)
	}
	merged, err := Merge(parts)
	if err != nil {
		t.Fatal(err)
	}
	if merged.Totals.Answered != parts[0].Totals.Answered+parts[1].Totals.Answered || merged.Totals.Causes["1"] != parts[0].Totals.Causes["1"]+parts[1].Totals.Causes["1"] {
		t.Errorf("merged totals %+v", merged.Totals)
	}
	if merged.AnswerUS.Max != parts[1].AnswerUS.Max || merged.AnswerUS.P50 > 1_500_000 || merged.AnswerUS.P90 < 2_900_000 {
		t.Errorf("merged answer times %+v, from %+v and %+v", merged.AnswerUS, parts[0].AnswerUS, parts[1].AnswerUS)
	}
	if _, err := Merge([]Report{{}}); err == nil {
		t.Error("a report without histograms was merged")
	}
}
