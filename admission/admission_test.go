package admission

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The same cases at every run; other seeds by hand: go test -args -rapid.seed=N -rapid.checks=N.
func init() { flag.Set("rapid.seed", "1") }

// offer lets clients ask at their rates for a while, in steps of a millisecond, and counts who gets in each second.
func offer(d *Limiter, rates []float64, span time.Duration, hold time.Duration) []float64 {
	clients := make([]*Client, len(rates))
	due := make([]float64, len(rates))
	in := make([]float64, len(rates))
	type end struct {
		at time.Duration
		c  *Client
	}
	var ends []end
	for i := range rates {
		clients[i] = d.AddClient(0)
	}
	for now := time.Millisecond; now <= span; now += time.Millisecond {
		for len(ends) > 0 && ends[0].at <= now {
			d.Done(ends[0].c)
			ends = ends[1:]
		}
		for i, r := range rates {
			for due[i] += r / 1000; due[i] >= 1; due[i]-- {
				if d.Admit(clients[i], now) == Admitted {
					if now > span/2 { // once it has settled
						in[i]++
					}
					ends = append(ends, end{now + hold, clients[i]})
				}
			}
		}
	}
	for i := range in {
		in[i] /= span.Seconds() / 2
	}
	return in
}

// One client floods at ten times its share; nine others get all that they ask for.
func TestFloodCostsItself(t *testing.T) {
	rates := []float64{1000, 100, 100, 100, 100, 100, 100, 100, 100, 100}
	in := offer(New(Config{All: Limits{Rate: 1000}}), rates, 24*time.Second, time.Second)
	sum := 0.0
	for i, v := range in {
		sum += v
		if i > 0 && v < 97 {
			t.Errorf("client %d gets %.0f of 100", i, v)
		}
	}
	if sum > 1050 || in[0] < 60 || in[0] > 140 {
		t.Errorf("%.0f in all, %.0f of the flood", sum, in[0])
	}
}

func TestOwnLimits(t *testing.T) {
	in := offer(New(Config{Client: Limits{Rate: 50, Burst: 10}}), []float64{500, 20}, 10*time.Second, 0)
	if in[0] < 48 || in[0] > 52 || in[1] < 19.5 {
		t.Errorf("%.1f", in)
	}
	d := New(Config{Client: Limits{Open: 5}})
	c := d.AddClient(0)
	for i := range 10 {
		if v := d.Admit(c, time.Second); (v == Admitted) != (i < 5) || i >= 5 && v != ClientOpen {
			t.Fatalf("call %d: %v", i, v)
		}
	}
	d.Done(c)
	if d.Admit(c, time.Second) != Admitted {
		t.Error("a place that came free is not given")
	}
	d.RemoveClient(c)
	d.RemoveClient(c)
	if d.open != 0 {
		t.Errorf("%d open", d.open)
	}
}

// When open calls of all are short, one who holds more than its part gets no more, and the others do.
func TestOpenCallsAreShared(t *testing.T) {
	d := New(Config{All: Limits{Open: 100}})
	greedy, other := d.AddClient(0), d.AddClient(0)
	for range 200 {
		d.Admit(greedy, time.Second)
	}
	if greedy.Open() != 100 {
		t.Errorf("%d open with nobody else there", greedy.Open())
	}
	if d.Admit(other, time.Second) != Admitted || d.Admit(greedy, time.Second) != TotalOpen {
		t.Error("the greedy one keeps the other out")
	}
}

func TestLevels(t *testing.T) {
	d := New(Config{Client: Limits{Rate: 100, Burst: 10}})
	c := d.AddClient(0)
	now := time.Duration(0)
	ask := func(rate float64, span time.Duration) {
		for end := now + span; now < end; {
			now += time.Duration(float64(time.Second) / rate)
			d.Admit(c, now)
		}
	}
	for _, x := range []struct {
		rate float64
		want int
	}{{90, 0}, {130, 1}, {200, 2}, {1000, 3}} {
		ask(x.rate, 20*time.Second)
		if l, _ := d.Level(c, now); l != x.want {
			t.Errorf("at %v a second level %d, want %d", x.rate, l, x.want)
		}
	}
	if _, changed := d.Level(c, now); changed {
		t.Error("told twice")
	}
	if l, changed := d.Level(c, now+60*time.Second); l != 0 || !changed {
		t.Errorf("level %d long after", l)
	}
}

// Whatever the clients ask for: the whole is kept, nobody within the fair part is cut, and nothing is left unused that
// somebody wants.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(1, 400), 1, 8).Draw(t, "rates")
		limit := rapid.Float64Range(50, 800).Draw(t, "limit")
		in := offer(New(Config{All: Limits{Rate: limit}}), rates, 24*time.Second, 0)
		total, got := 0.0, 0.0
		for i := range rates {
			total += rates[i]
			got += in[i]
		}
		if got > 1.1*limit+2 {
			t.Fatalf("%.0f of %.0f come in: %v of %v", got, limit, in, rates)
		}
		if want := min(total, limit); got < 0.85*want-2 {
			t.Fatalf("%.0f come in where %.0f could: %v of %v", got, want, in, rates)
		}
		// The fair part by water filling.
		share, left, open := math.Inf(1), limit, append([]float64(nil), rates...)
		if total > limit {
			for {
				share = left / float64(len(open))
				var rest []float64
				l := left
				for _, r := range open {
					if r <= share {
						l -= r
					} else {
						rest = append(rest, r)
					}
				}
				if len(rest) == len(open) || len(rest) == 0 {
					break
				}
				open, left = rest, l
			}
		}
		for i, r := range rates {
			if want := min(r, share); in[i] < 0.85*want-2 {
				t.Fatalf("client %d gets %.1f of its fair %.1f: %v of %v, limit %.0f", i, in[i], want, in, rates, limit)
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	d := New(Config{Client: Limits{Rate: 1e6, Open: 1 << 30}, All: Limits{Rate: 1e6}})
	var cs []*Client
	for range 500 {
		cs = append(cs, d.AddClient(0))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := cs[i%500]
		if d.Admit(c, time.Duration(i)*time.Microsecond) == Admitted {
			d.Done(c)
		}
	}
}
