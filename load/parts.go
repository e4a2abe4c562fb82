package load

import (
	"errors"
	"fmt"
	"maps"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Part returns the part of a load that process i of n offers, with i from 0: a share of the clients, the same share of the rate,
// and its own seed. The Poisson arrivals of n parts together are Poisson arrivals of the whole load.
func (c *Config) Part(i, n int) (*Config, error) {
	if n < 1 || i < 0 || i >= n {
		return nil, fmt.Errorf("load: invalid part %d of %d: parts count from 0", i, n)
	}
	if n > c.Clients {
		return nil, fmt.Errorf("load: %d processes for %d clients: each process needs at least one client", n, c.Clients)
	}
	share := *c
	first := i * c.Clients / n
	share.Clients = (i+1)*c.Clients/n - first
	share.PointCode += uint32(first)
	share.Rate = c.Rate * float64(share.Clients) / float64(c.Clients)
	share.Seed = c.Seed + uint64(i)<<32
	share.part, share.parts = i, n
	return &share, nil
}

// Histograms are the histograms of a report. Reports of several processes are merged from them, since quantiles cannot be merged.
type Histograms struct {
	SetUp  *hdrhistogram.Snapshot `json:"set_up"`
	Answer *hdrhistogram.Snapshot `json:"answer"`
	Late   *hdrhistogram.Snapshot `json:"late"`
}

// Merge combines the reports of all parts of a load.
func Merge(parts []Report) (Report, error) {
	if len(parts) == 0 {
		return Report{}, errors.New("load: no reports to merge")
	}
	out := Report{Totals: Totals{Causes: map[string]uint64{}}}
	var merged [3]*hdrhistogram.Histogram
	for i, part := range parts {
		if part.Histograms == nil {
			return Report{}, fmt.Errorf("load: report of part %d has no histograms", i)
		}
		out.Span = max(out.Span, part.Span)
		out.OfferedPerSecond += part.OfferedPerSecond
		totals, sum := &part.Totals, &out.Totals
		for _, counter := range []struct{ to, from *uint64 }{{&sum.Offered, &totals.Offered}, {&sum.Tries, &totals.Tries}, {&sum.Alerted, &totals.Alerted}, {&sum.Answered, &totals.Answered},
			{&sum.Refused, &totals.Refused}, {&sum.Abandoned, &totals.Abandoned}, {&sum.AbandonedRinging, &totals.AbandonedRinging}, {&sum.Cut, &totals.Cut}, {&sum.Finished, &totals.Finished},
			{&sum.NotConnected, &totals.NotConnected}, {&sum.NoCircuit, &totals.NoCircuit}, {&sum.CongestionReports, &totals.CongestionReports}} {
			*counter.to += *counter.from
		}
		for cause := range maps.Keys(totals.Causes) {
			sum.Causes[cause] += totals.Causes[cause]
		}
		for len(out.Seconds) < len(part.Seconds) {
			out.Seconds = append(out.Seconds, SecondTotals{})
		}
		for j, s := range part.Seconds {
			out.Seconds[j].Offered += s.Offered
			out.Seconds[j].Answered += s.Answered
		}
		for j, s := range []*hdrhistogram.Snapshot{part.Histograms.SetUp, part.Histograms.Answer, part.Histograms.Late} {
			if s == nil {
				return Report{}, fmt.Errorf("load: report of part %d lacks a histogram", i)
			}
			histogram := hdrhistogram.Import(s)
			if merged[j] == nil {
				merged[j] = histogram
			} else if dropped := merged[j].Merge(histogram); dropped > 0 {
				return Report{}, fmt.Errorf("load: report of part %d: %d values out of the histogram's range", i, dropped)
			}
		}
	}
	out.SetUpUS, out.AnswerUS, out.LateUS = quantiles(merged[0]), quantiles(merged[1]), quantiles(merged[2])
	return out, nil
}
