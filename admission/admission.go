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

func (v Decision) String() string {
	return [...]string{"in", "client's rate", "client's open calls", "rate of all", "open calls of all"}[v]
}

// bucket is a token bucket: tokens come at a rate up to a burst.
type bucket struct {
	tokens float64
	at     time.Duration
}

func (b *bucket) fill(now time.Duration, rate, burst float64) {
	if now > b.at {
		b.tokens = min(burst, b.tokens+rate*(now-b.at).Seconds())
	}
	b.at = now
}

// Client is one client's account.
type Client struct {
	own       bucket
	demand    float64 // set-ups a second that it asks for, decayed
	out       float64 // ... and of them those that are kept out
	seen      time.Duration
	fair      bucket // its part of the whole
	open      int
	Decisions [5]uint64 // calls by decision
	level     int
}

// Limiter admits calls. It belongs to one goroutine.
type Limiter struct {
	cfg     Config
	clients map[*Client]bool
	whole   bucket
	open    int
	share   float64 // fair part of the whole for each client, set-ups a second; infinite while there is enough
	next    time.Duration
}

// New makes a door.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, clients: map[*Client]bool{}, whole: bucket{tokens: cfg.All.burst()}, share: math.Inf(1)}
}

// AddClient adds a client.
func (d *Limiter) AddClient(now time.Duration) *Client {
	c := &Client{own: bucket{d.cfg.Client.burst(), now}, seen: now, fair: bucket{0, now}}
	d.clients[c] = true
	return c
}

// RemoveClient takes a client out, and its open calls with it.
func (d *Limiter) RemoveClient(c *Client) {
	if d.clients[c] {
		delete(d.clients, c)
		d.open -= c.open
		c.open = 0
	}
}

// Demand is measured over memory, parts are dealt out anew each deal. A client may have fairBurst calls of its part in hand,
// and never fewer than a few: calls come by chance, and a small client's two in one second are no flood.
const (
	memory    = 4 * time.Second
	deal      = 100 * time.Millisecond
	fairBurst = time.Second
	fewCalls  = 4
)

// Admit judges one set-up of a client. Admitted: the call counts as open until Done.
func (d *Limiter) Admit(c *Client, now time.Duration) Decision {
	v := d.judge(c, now)
	c.Decisions[v]++
	if v == Admitted {
		c.open++
		d.open++
	} else {
		c.out += 1 / memory.Seconds()
	}
	return v
}

func (d *Limiter) judge(c *Client, now time.Duration) Decision {
	c.decay(now)
	c.demand += 1 / memory.Seconds()
	if now >= d.next {
		d.next = now + deal
		d.dealOut(now)
	}
	own, all := d.cfg.Client, d.cfg.All
	if own.Open > 0 && c.open >= own.Open {
		return ClientOpen
	}
	if all.Open > 0 && d.open >= all.Open && c.open*len(d.clients) >= all.Open {
		return TotalOpen // beyond its part; those within theirs still come in
	}
	if own.Rate > 0 {
		c.own.fill(now, own.Rate, own.burst())
		if c.own.tokens < 1 {
			return ClientRate
		}
	}
	if all.Rate > 0 {
		d.whole.fill(now, all.Rate, all.burst())
		c.fair.fill(now, min(d.share, all.Rate), max(fewCalls, min(d.share, all.Rate)*fairBurst.Seconds()))
		switch {
		case c.fair.tokens >= 1: // within its part: the whole owes it that
			c.fair.tokens--
		case d.whole.tokens < 1 || !math.IsInf(d.share, 1):
			return TotalRate
		}
		d.whole.tokens = max(-all.burst(), d.whole.tokens-1)
	}
	if own.Rate > 0 {
		c.own.tokens--
	}
	return Admitted
}

// Done notes that a call that came in is over.
func (d *Limiter) Done(c *Client) {
	if c.open > 0 {
		c.open--
		d.open--
	}
}

func (c *Client) decay(now time.Duration) {
	if now > c.seen {
		left := math.Exp(-(now - c.seen).Seconds() / memory.Seconds())
		c.demand, c.out = c.demand*left, c.out*left
		c.seen = now
	}
}

// dealOut finds the fair part: the highest cap that, kept by every client, fits into the whole (max-min fairness). Its cost
// is that of the clients, ten times a second at the most.
func (d *Limiter) dealOut(now time.Duration) {
	d.share = math.Inf(1)
	if d.cfg.All.Rate <= 0 {
		return
	}
	total, n := 0.0, 0
	for c := range d.clients {
		c.decay(now)
		total += c.demand
		n++
	}
	if total <= d.cfg.All.Rate {
		return
	}
	// Those who ask for less than the cap leave the rest to the others: a few rounds settle it.
	left, share := d.cfg.All.Rate, 0.0
	for range 16 {
		share = left
		used, big := 0.0, 0
		for c := range d.clients {
			if c.demand <= d.share {
				used += min(c.demand, d.share)
			} else {
				big++
			}
		}
		if math.IsInf(d.share, 1) {
			share = d.cfg.All.Rate / float64(n)
		} else if big > 0 {
			share = (d.cfg.All.Rate - used) / float64(big)
		} else {
			break
		}
		if math.Abs(share-d.share) < 1e-6*share {
			break
		}
		d.share = share
	}
}

// Level is the congestion level that a client is told (SCON, RFC 4666, 3.4.4): 0 while next to nothing of its calls of the
// last seconds is kept out, 1 while less than a third, 2 while less than two, 3 beyond. changed tells that it is not the
// level told last.
func (d *Limiter) Level(c *Client, now time.Duration) (level int, changed bool) {
	c.decay(now)
	switch kept := c.out / max(c.demand, 1e-9); {
	case kept <= 0.02 || c.out < 0.02:
		level = 0
	case kept < 1.0/3:
		level = 1
	case kept < 2.0/3:
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
