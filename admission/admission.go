// Package admission limits the set-ups per second and the open calls of each client and of all clients together. When a
// total limit is reached, it is shared between the clients by max-min fairness. The check comes before a call costs
// noticeable work. The package does no I/O and reads no clock.
//
// The limits are set by operators. How many calls the controller can serve is estimated by package policy, which sees only
// admitted calls. Admission makes sure that a client that floods the controller is itself refused, and that other
// clients hardly ever are.
package admission

import (
	"math"
	"time"
)

// Limits are the limits of one client or of all clients together. Zero means no limit.
type Limits struct {
	Rate  float64 // set-ups per second
	Burst float64 // set-ups at once; 0: as many as Rate allows in one second
	Open  int     // open calls
}

func (l Limits) burst() float64 {
	if l.Burst > 0 {
		return l.Burst
	}
	return max(1, l.Rate)
}

// Config is the configuration of a Limiter.
type Config struct {
	Client Limits // limits of each client
	All    Limits // limits of all clients together
}

// Decision is Admitted, or the limit because of which a call is refused.
type Decision uint8

// The decisions.
const (
	Admitted   Decision = iota
	ClientRate          // the client's rate limit
	ClientOpen          // the client's limit of open calls
	TotalRate           // the rate limit of all, and the client has used its fair share
	TotalOpen           // the limit of open calls of all, and the client has at least an equal share of them
)

func (d Decision) String() string {
	return [...]string{"in", "client's rate", "client's open calls", "rate of all", "open calls of all"}[d]
}

// bucket is a token bucket: it is filled at a rate up to a burst.
type bucket struct {
	tokens float64
	filled time.Duration // time of the last fill
}

func (b *bucket) fill(now time.Duration, rate, burst float64) {
	if now > b.filled {
		b.tokens = min(burst, b.tokens+rate*(now-b.filled).Seconds())
	}
	b.filled = now
}

// Client is the state of one client in a Limiter.
type Client struct {
	own        bucket        // for Config.Client.Rate
	demand     float64       // offered set-ups per second, exponentially decayed
	refused    float64       // refused set-ups per second, decayed likewise
	decayed    time.Duration // time of the last decay
	fairBucket bucket        // for the client's fair share of Config.All.Rate
	open       int
	Decisions  [5]uint64 // set-ups by decision
	level      int       // congestion level that Level returned last
}

// Limiter admits or refuses calls. It is not safe for concurrent use.
type Limiter struct {
	cfg         Config
	clients     map[*Client]bool
	totalBucket bucket
	open        int
	share       float64       // fair share of each client in set-ups per second; infinite while the total demand is within the limit
	nextUpdate  time.Duration // time of the next update of share
}

// New returns a Limiter without clients.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, clients: map[*Client]bool{}, totalBucket: bucket{tokens: cfg.All.burst()}, share: math.Inf(1)}
}

// AddClient adds a client.
func (l *Limiter) AddClient(now time.Duration) *Client {
	c := &Client{own: bucket{l.cfg.Client.burst(), now}, decayed: now, fairBucket: bucket{0, now}}
	l.clients[c] = true
	return c
}

// RemoveClient removes a client. Its open calls no longer count.
func (l *Limiter) RemoveClient(c *Client) {
	if l.clients[c] {
		delete(l.clients, c)
		l.open -= c.open
		c.open = 0
	}
}

const (
	demandTimeConstant = 4 * time.Second        // of the exponential decay of demand and refusals
	shareInterval      = 100 * time.Millisecond // between updates of the fair share
	fairBurstSpan      = time.Second            // a client may accumulate its fair share over this span
	// minFairBurst is the least burst, in calls, within a client's fair share. Arrivals are random: two calls of a small
	// client within one second are no flood.
	minFairBurst = 4
)

// Admit decides about one set-up of a client. An admitted call counts as open until Done.
func (l *Limiter) Admit(c *Client, now time.Duration) Decision {
	decision := l.decide(c, now)
	c.Decisions[decision]++
	if decision == Admitted {
		c.open++
		l.open++
	} else {
		c.refused += 1 / demandTimeConstant.Seconds()
	}
	return decision
}

func (l *Limiter) decide(c *Client, now time.Duration) Decision {
	c.decay(now)
	c.demand += 1 / demandTimeConstant.Seconds()
	if now >= l.nextUpdate {
		l.nextUpdate = now + shareInterval
		l.updateFairShare(now)
	}
	own, all := l.cfg.Client, l.cfg.All
	if own.Open > 0 && c.open >= own.Open {
		return ClientOpen
	}
	if all.Open > 0 && l.open >= all.Open && c.open*len(l.clients) >= all.Open {
		return TotalOpen // clients below an equal share are still admitted, beyond the limit of all
	}
	if own.Rate > 0 {
		c.own.fill(now, own.Rate, own.burst())
		if c.own.tokens < 1 {
			return ClientRate
		}
	}
	if all.Rate > 0 {
		l.totalBucket.fill(now, all.Rate, all.burst())
		c.fairBucket.fill(now, min(l.share, all.Rate), max(minFairBurst, min(l.share, all.Rate)*fairBurstSpan.Seconds()))
		switch {
		case c.fairBucket.tokens >= 1: // within its fair share: admitted even if the bucket of all is empty
			c.fairBucket.tokens--
		case l.totalBucket.tokens < 1 || !math.IsInf(l.share, 1):
			return TotalRate
		}
		l.totalBucket.tokens = max(-all.burst(), l.totalBucket.tokens-1)
	}
	if own.Rate > 0 {
		c.own.tokens--
	}
	return Admitted
}

// Done records that an admitted call has ended.
func (l *Limiter) Done(c *Client) {
	if c.open > 0 {
		c.open--
		l.open--
	}
}

func (c *Client) decay(now time.Duration) {
	if now > c.decayed {
		factor := math.Exp(-(now - c.decayed).Seconds() / demandTimeConstant.Seconds())
		c.demand, c.refused = c.demand*factor, c.refused*factor
		c.decayed = now
	}
}

// updateFairShare computes the max-min fair share: the highest rate per client with which the demand of all clients, each
// capped at this rate, fits the limit of all. The cost is linear in the number of clients, at most ten times per second.
func (l *Limiter) updateFairShare(now time.Duration) {
	l.share = math.Inf(1)
	if l.cfg.All.Rate <= 0 {
		return
	}
	total, n := 0.0, 0
	for c := range l.clients {
		c.decay(now)
		total += c.demand
		n++
	}
	if total <= l.cfg.All.Rate {
		return
	}
	// Clients with a demand below the share leave the remainder to the others. The iteration converges in a few rounds.
	capacity, share := l.cfg.All.Rate, 0.0
	for range 16 {
		share = capacity
		used, above := 0.0, 0
		for c := range l.clients {
			if c.demand <= l.share {
				used += min(c.demand, l.share)
			} else {
				above++
			}
		}
		if math.IsInf(l.share, 1) {
			share = l.cfg.All.Rate / float64(n)
		} else if above > 0 {
			share = (l.cfg.All.Rate - used) / float64(above)
		} else {
			break
		}
		if math.Abs(share-l.share) < 1e-6*share {
			break
		}
		l.share = share
	}
}

// Level returns the congestion level to be sent to a client in SCON (RFC 4666, 3.4.4). It follows the share of the client's
// set-ups that were refused within the last seconds: 0 up to 2 % or below 0.02 refusals per second, 1 below one third,
// 2 below two thirds, otherwise 3. changed reports whether the level differs from that of the previous call.
func (l *Limiter) Level(c *Client, now time.Duration) (level int, changed bool) {
	c.decay(now)
	switch share := c.refused / max(c.demand, 1e-9); {
	case share <= 0.02 || c.refused < 0.02:
		level = 0
	case share < 1.0/3:
		level = 1
	case share < 2.0/3:
		level = 2
	default:
		level = 3
	}
	changed = level != c.level
	c.level = level
	return level, changed
}

// OpenCalls returns the number of the client's open calls.
func (c *Client) OpenCalls() int { return c.open }
