// Package admission decides, before anything costs much, which calls of which client may come in: set-ups a second and open calls
// for each client and for all, shared fairly between clients when the whole is short. It does no I/O and reads no clock; it
// says what it kept and why.
//
// The limits are the operators'. What calls a controller can serve is the module's to find out; this is the door in front of
// it, so that one client's flood costs that client, and the others the least.
package admission

import (
	"math"
	"time"
)

// Limits are those of one client, and of all together. Zero: no limit.
type Limits struct {
	Rate  float64 // set-ups a second
	Burst float64 // set-ups at once; 0: those of one second
	Open  int     // open calls
}

func (l Limits) burst() float64 {
	if l.Burst > 0 {
		return l.Burst
	}
	return max(1, l.Rate)
}

// Config is the limits of a door.
type Config struct {
	Client Limits // each client's
	All    Limits
}

// Decision is why a call is kept out, or Admitted.
type Decision uint8

// The decisions.
const (
	Admitted   Decision = iota
	ClientRate          // the client's own rate
	ClientOpen          // the client's own open calls
	TotalRate           // the whole is short and the client is beyond its fair part
	TotalOpen
)

func (d Decision) String() string {
	return [...]string{"in", "client's rate", "client's open calls", "rate of all", "open calls of all"}[d]
}

// bucket is a token bucket: tokens come at a rate up to a burst.
type bucket struct {
	tokens float64
	filled time.Duration
}

func (b *bucket) fill(now time.Duration, rate, burst float64) {
	if now > b.filled {
		b.tokens = min(burst, b.tokens+rate*(now-b.filled).Seconds())
	}
	b.filled = now
}

// Client is one client's account.
type Client struct {
	own        bucket
	demand     float64 // set-ups a second that it asks for, decayed
	refused    float64 // ... and of them those that are kept out
	decayed    time.Duration
	fairBucket bucket // its part of the whole
	open       int
	Decisions  [5]uint64 // calls by decision
	level      int
}

// Limiter admits calls. It belongs to one goroutine.
type Limiter struct {
	cfg         Config
	clients     map[*Client]bool
	totalBucket bucket
	open        int
	share       float64 // fair part of the whole for each client, set-ups a second; infinite while there is enough
	nextUpdate  time.Duration
}

// New makes a door.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, clients: map[*Client]bool{}, totalBucket: bucket{tokens: cfg.All.burst()}, share: math.Inf(1)}
}

// AddClient adds a client.
func (l *Limiter) AddClient(now time.Duration) *Client {
	c := &Client{own: bucket{l.cfg.Client.burst(), now}, decayed: now, fairBucket: bucket{0, now}}
	l.clients[c] = true
	return c
}

// RemoveClient takes a client out, and its open calls with it.
func (l *Limiter) RemoveClient(c *Client) {
	if l.clients[c] {
		delete(l.clients, c)
		l.open -= c.open
		c.open = 0
	}
}

// Demand is measured over demandTimeConstant, parts are dealt out anew each shareInterval. A client may have fairBurstSpan calls of its part in hand,
// and never fewer than a few: calls come by chance, and a small client's two in one second are no flood.
const (
	demandTimeConstant = 4 * time.Second
	shareInterval      = 100 * time.Millisecond
	fairBurstSpan      = time.Second
	minFairBurst       = 4
)

// Admit judges one set-up of a client. Admitted: the call counts as open until Done.
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
		return TotalOpen // beyond its part; those within theirs still come in
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
		case c.fairBucket.tokens >= 1: // within its part: the whole owes it that
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

// Done notes that a call that came in is over.
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

// updateFairShare finds the fair part: the highest cap that, kept by every client, fits into the whole (max-min fairness). Its cost
// is that of the clients, ten times a second at the most.
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
	// Those who ask for less than the cap leave the rest to the others: a few rounds settle it.
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

// Level is the congestion level that a client is told (SCON, RFC 4666, 3.4.4): 0 while next to nothing of its calls of the
// last seconds is kept out, 1 while less than a third, 2 while less than two, 3 beyond. changed tells that it is not the
// level told last.
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

// Open is the number of a client's open calls.
func (c *Client) Open() int { return c.open }
