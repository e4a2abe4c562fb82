package load

import (
	"errors"
	"fmt"
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Part is the share of a load that one of n processes offers: its clients, its part of the rate and a seed of its own. Poisson
// arrivals of n parts are Poisson arrivals of the whole.
func (c *Config) Part(i, n int) (*Config, error) {
	if n < 1 || i < 0 || i >= n {
		return nil, fmt.Errorf("load: part %d of %d", i, n)
	}
	if n > c.Clients {
		return nil, fmt.Errorf("load: %d processes for %d clients: each needs one at the least", n, c.Clients)
	}
	p := *c
	first := i * c.Clients / n
	p.Clients = (i+1)*c.Clients/n - first
	p.PointCode += uint32(first)
	p.Rate = c.Rate * float64(p.Clients) / float64(c.Clients)
	p.Seed = c.Seed + uint64(i)<<32
	p.part, p.parts = i, n
	return &p, nil
}

// Histograms are those of a report, so that reports of several processes can be merged: quantiles cannot.
type Histograms struct {
	SetUp  *hdrhistogram.Snapshot `json:"set_up"`
	Answer *hdrhistogram.Snapshot `json:"answer"`
	Late   *hdrhistogram.Snapshot `json:"late"`
}

// Merge makes one report of those of several parts of a load.
func Merge(parts []Report) (Report, error) {
	if len(parts) == 0 {
		return Report{}, errors.New("load: no parts")
	}
	out := Report{Totals: Totals{Causes: map[string]uint64{}}}
	var merged [3]*hdrhistogram.Histogram
	for i, p := range parts {
		if p.Histograms == nil {
			return Report{}, fmt.Errorf("load: part %d has no histograms", i)
		}
		out.Span = max(out.Span, p.Span)
		out.OfferedPerSecond += p.OfferedPerSecond
		t, o := &p.Totals, &out.Totals
		for _, x := range []struct{ to, from *uint64 }{{&o.Offered, &t.Offered}, {&o.Tries, &t.Tries}, {&o.Alerted, &t.Alerted}, {&o.Answered, &t.Answered},
			{&o.Refused, &t.Refused}, {&o.Abandoned, &t.Abandoned}, {&o.AbandonedRinging, &t.AbandonedRinging}, {&o.Cut, &t.Cut}, {&o.Finished, &t.Finished},
			{&o.NotConnected, &t.NotConnected}, {&o.NoCircuit, &t.NoCircuit}, {&o.CongestionReports, &t.CongestionReports}} {
			*x.to += *x.from
		}
		for cause := range maps.Keys(t.Causes) {
			o.Causes[cause] += t.Causes[cause]
		}
		for len(out.Seconds) < len(p.Seconds) {
			out.Seconds = append(out.Seconds, SecondTotals{})
		}
		for j, s := range p.Seconds {
			out.Seconds[j].Offered += s.Offered
			out.Seconds[j].Answered += s.Answered
		}
		for j, s := range []*hdrhistogram.Snapshot{p.Histograms.SetUp, p.Histograms.Answer, p.Histograms.Late} {
			if s == nil {
				return Report{}, fmt.Errorf("load: part %d lacks a histogram", i)
			}
			h := hdrhistogram.Import(s)
			if merged[j] == nil {
				merged[j] = h
			} else if dropped := merged[j].Merge(h); dropped > 0 {
				return Report{}, fmt.Errorf("load: part %d: %d values beyond the histogram", i, dropped)
			}
		}
	}
	out.SetUpUS, out.AnswerUS, out.LateUS = quantiles(merged[0]), quantiles(merged[1]), quantiles(merged[2])
	return out, nil
}
