package admission

import (
	"flag"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same cases. For others: go test -args -rapid.seed=N -rapid.checks=N.
func init() { flag.Set("rapid.seed", "1") }

// offerCalls lets clients offer set-ups at their rates for a span of simulated time, in steps of 1 ms, and returns the
// admitted set-ups per second of each client in the second half of the span. Each admitted call lasts for hold.
func offerCalls(limiter *Limiter, rates []float64, span time.Duration, hold time.Duration) []float64 {
	clients := make([]*Client, len(rates))
	due := make([]float64, len(rates))
	admitted := make([]float64, len(rates))
	type end struct {
		at time.Duration
		c  *Client
	}
	var ends []end
	for i := range rates {
		clients[i] = limiter.AddClient(0)
	}
	for now := time.Millisecond; now <= span; now += time.Millisecond {
		for len(ends) > 0 && ends[0].at <= now {
			limiter.Done(ends[0].c)
			ends = ends[1:]
		}
		for i, r := range rates {
			for due[i] += r / 1000; due[i] >= 1; due[i]-- {
				if limiter.Admit(clients[i], now) == Admitted {
					if now > span/2 { // the shares have settled
						admitted[i]++
					}
					ends = append(ends, end{now + hold, clients[i]})
				}
			}
		}
	}
	for i := range admitted {
		admitted[i] /= span.Seconds() / 2
	}
	return admitted
}

// One client offers ten times its fair share. Guards against refusals of the nine others, which stay within theirs.
func TestFloodingClientIsCappedAndOthersAreAdmitted(t *testing.T) {
	rates := []float64{1000, 100, 100, 100, 100, 100, 100, 100, 100, 100}
	admitted := offerCalls(New(Config{All: Limits{Rate: 1000}}), rates, 24*time.Second, time.Second)
	sum := 0.0
	for i, v := range admitted {
		sum += v
		if i > 0 && v < 97 {
			t.Errorf("client %d: %.0f of 100 set-ups per second admitted, want at least 97", i, v)
		}
	}
	if sum > 1050 || admitted[0] < 60 || admitted[0] > 140 {
		t.Errorf("%.0f set-ups per second admitted in all, want at most 1050, and %.0f of the flooding client, want 60 to 140", sum, admitted[0])
	}
}

// Each client's own limits of rate and open calls hold without any limit of all clients.
func TestClientLimitsHoldWithoutTotalLimits(t *testing.T) {
	admitted := offerCalls(New(Config{Client: Limits{Rate: 50, Burst: 10}}), []float64{500, 20}, 10*time.Second, 0)
	if admitted[0] < 48 || admitted[0] > 52 || admitted[1] < 19.5 {
		t.Errorf("admitted per second: %.1f, want 48 to 52 and at least 19.5", admitted)
	}
	limiter := New(Config{Client: Limits{Open: 5}})
	c := limiter.AddClient(0)
	for i := range 10 {
		if v := limiter.Admit(c, time.Second); (v == Admitted) != (i < 5) || i >= 5 && v != ClientOpen {
			t.Fatalf("call %d: decision %v, want the first 5 admitted and the others refused by the limit of 5 open calls", i, v)
		}
	}
	limiter.Done(c)
	if limiter.Admit(c, time.Second) != Admitted {
		t.Error("a set-up was refused although a call had ended")
	}
	limiter.RemoveClient(c)
	limiter.RemoveClient(c)
	if limiter.open != 0 {
		t.Errorf("%d open calls after the client was removed, want 0", limiter.open)
	}
}

// At the limit of open calls of all, a client with more than an equal share is refused. Guards against a client that takes
// all of them and shuts out the others.
func TestTotalOpenLimitAdmitsClientBelowShare(t *testing.T) {
	limiter := New(Config{All: Limits{Open: 100}})
	greedy, other := limiter.AddClient(0), limiter.AddClient(0)
	for range 200 {
		limiter.Admit(greedy, time.Second)
	}
	if greedy.OpenCalls() != 100 {
		t.Errorf("%d open calls while the other client has none, want 100", greedy.OpenCalls())
	}
	if limiter.Admit(other, time.Second) != Admitted || limiter.Admit(greedy, time.Second) != TotalOpen {
		t.Error("the client with all open calls was admitted or the other one refused")
	}
}

// The congestion level follows the refused share of a client's set-ups, and a change of level is reported once.
func TestCongestionLevelFollowsRefusedShare(t *testing.T) {
	limiter := New(Config{Client: Limits{Rate: 100, Burst: 10}})
	c := limiter.AddClient(0)
	now := time.Duration(0)
	admitAt := func(rate float64, span time.Duration) {
		for end := now + span; now < end; {
			now += time.Duration(float64(time.Second) / rate)
			limiter.Admit(c, now)
		}
	}
	for _, x := range []struct {
		rate float64
		want int
	}{{90, 0}, {130, 1}, {200, 2}, {1000, 3}} {
		admitAt(x.rate, 20*time.Second)
		if l, _ := limiter.Level(c, now); l != x.want {
			t.Errorf("at %v set-ups per second: level %d, want %d", x.rate, l, x.want)
		}
	}
	if _, changed := limiter.Level(c, now); changed {
		t.Error("an unchanged level was reported as changed")
	}
	if l, changed := limiter.Level(c, now+60*time.Second); l != 0 || !changed {
		t.Errorf("level %d without a change reported 60 s after the last set-up, want 0 and a change", l)
	}
}

// For any rates of the clients, the limit of all holds, no client gets less than its max-min fair share, and no capacity
// is unused while a client could use it.
func TestAdmittedRatesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := rapid.SliceOfN(rapid.Float64Range(1, 400), 1, 8).Draw(t, "rates")
		limit := rapid.Float64Range(50, 800).Draw(t, "limit")
		admitted := offerCalls(New(Config{All: Limits{Rate: limit}}), rates, 24*time.Second, 0)
		total, got := 0.0, 0.0
		for i := range rates {
			total += rates[i]
			got += admitted[i]
		}
		if got > 1.1*limit+2 {
			t.Fatalf("admitted %.0f set-ups per second, want at most 10 %% above the limit of %.0f: %v of %v", got, limit, admitted, rates)
		}
		if want := min(total, limit); got < 0.85*want-2 {
			t.Fatalf("admitted %.0f set-ups per second where %.0f fit: %v of %v", got, want, admitted, rates)
		}
		// Reference: the fair share by progressive filling.
		share, left, unfilled := math.Inf(1), limit, append([]float64(nil), rates...)
		if total > limit {
			for {
				share = left / float64(len(unfilled))
				var rest []float64
				l := left
				for _, r := range unfilled {
					if r <= share {
						l -= r
					} else {
						rest = append(rest, r)
					}
				}
				if len(rest) == len(unfilled) || len(rest) == 0 {
					break
				}
				unfilled, left = rest, l
			}
		}
		for i, r := range rates {
			if want := min(r, share); admitted[i] < 0.85*want-2 {
				t.Fatalf("client %d: admitted %.1f, fair share %.1f: %v of %v, limit %.0f", i, admitted[i], want, admitted, rates, limit)
			}
		}
	})
}

func BenchmarkAdmit(b *testing.B) {
	limiter := New(Config{Client: Limits{Rate: 1e6, Open: 1 << 30}, All: Limits{Rate: 1e6}})
	var clients []*Client
	for range 500 {
		clients = append(clients, limiter.AddClient(0))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		c := clients[i%500]
		if limiter.Admit(c, time.Duration(i)*time.Microsecond) == Admitted {
			limiter.Done(c)
		}
	}
}
