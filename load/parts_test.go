package load

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/emulator"
)

// The parts of a load are the whole: each client once, the rate shared, no two seeds alike.
func TestParts(t *testing.T) {
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
			t.Errorf("%d parts: rate %v, clients up to %d", n, rate, next)
		}
	}
	if _, err := c.Part(0, 8); err == nil {
		t.Error("eight processes for seven clients")
	}
}

// Reports that have been through JSON merge to what one histogram of all would say.
func TestMerge(t *testing.T) {
	var parts []Report
	for _, ringing := range []time.Duration{time.Second, 3 * time.Second} {
		b, err := json.Marshal(offer(t, 0, emulator.Ringing{Median: ringing}))
		if err != nil {
			t.Fatal(err)
		}
		var r Report
		if err := json.Unmarshal(b, &r); err != nil {
			t.Fatal(err)
		}
		parts = append(parts, r)
	}
	m, err := Merge(parts)
	if err != nil {
		t.Fatal(err)
	}
	if m.Totals.Answered != parts[0].Totals.Answered+parts[1].Totals.Answered || m.Totals.Causes["1"] != parts[0].Totals.Causes["1"]+parts[1].Totals.Causes["1"] {
		t.Errorf("%+v", m.Totals)
	}
	if m.AnswerUS.Max != parts[1].AnswerUS.Max || m.AnswerUS.P50 > 1_500_000 || m.AnswerUS.P90 < 2_900_000 {
		t.Errorf("answers %+v, of %+v and %+v", m.AnswerUS, parts[0].AnswerUS, parts[1].AnswerUS)
	}
	if _, err := Merge([]Report{{}}); err == nil {
		t.Error("a report without histograms is merged")
	}
}
