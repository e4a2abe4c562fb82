package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// ClientConfig is one stand-in client.
type ClientConfig struct {
	PC         uint32 // its own point code, which is its ASP identifier too
	Controller uint32 // exchange of its controller
	Addr       string // of its controller
	Seed       uint64
}

// Call is one call that a caller wants.
type Call struct {
	Calling, Called string
	Category        isup.Category
	Hold            time.Duration // the caller hangs up after this
	Patience        time.Duration // a try is given up after this, unless it rings by then
	Ring            time.Duration // ... and then after this; 0: a minute
	Redials         int           // further tries after a refusal, a cut or giving up
	RedialAfter     time.Duration // on average
}

// Client offers calls to one controller. Its methods may be called from any goroutine.
type Client struct {
	cfg    ClientConfig
	net    *Network
	events chan func()
	quit   chan struct{}
	wg     sync.WaitGroup

	// Of the event goroutine from here on.
	rng     *rand.Rand
	wire    *wire
	calls   map[uint16]*clCall
	nextCIC uint16
	nextRef uint32
	stopped bool
	Counts  ClientCounts
}

// ClientCounts are totals of a client.
type ClientCounts struct {
	Tries                        int
	Alerted                      int `json:"Rang"`
	Answered                     int `json:"Stood"`
	Refused                      int
	Abandoned                    int `json:"GivenUp"`
	AbandonedRinging             int `json:"RangOut"`
	Cut, NoCircuit, NotConnected int
}

type clState uint8

const (
	clWaiting clState = iota
	clStanding
	clReleasing
)

type clCall struct {
	Call
	cic   uint16
	state clState
	rings bool
	timer *time.Timer
}

// NewClient makes a client that connects and stays connected until Close.
func NewClient(n *Network, cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, net: n, events: make(chan func(), 4096), quit: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.PC))), calls: map[uint16]*clCall{}}
	c.wg.Add(2)
	go c.loop()
	go c.connect()
	return c
}

func (c *Client) loop() {
	defer c.wg.Done()
	for {
		select {
		case f := <-c.events:
			f()
		case <-c.quit:
			return
		}
	}
}

func (c *Client) do(f func()) {
	select {
	case c.events <- f:
	case <-c.quit:
	}
}

// Close ends the client.
func (c *Client) Close() {
	close(c.quit)
	c.wg.Wait()
}

// Totals are the client's counts now.
func (c *Client) Totals() ClientCounts {
	out := make(chan ClientCounts, 1)
	c.do(func() { out <- c.Counts })
	select {
	case t := <-out:
		return t
	case <-c.quit:
		return c.Counts
	}
}

// Connected tells whether traffic can flow.
func (c *Client) Connected() bool {
	out := make(chan bool, 1)
	c.do(func() { out <- c.wire != nil })
	select {
	case t := <-out:
		return t
	case <-c.quit:
		return false
	}
}

// Reset breaks the connection.
func (c *Client) Reset() {
	c.do(func() {
		if c.wire != nil {
			c.wire.close()
		}
	})
}

// StopRedials ends all redialling, at the end of a day.
func (c *Client) StopRedials() { c.do(func() { c.stopped = true }) }

// Offer makes a call.
func (c *Client) Offer(call Call) { c.do(func() { c.try(call) }) }

func (c *Client) connect() {
	defer c.wg.Done()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		conn, err := c.net.Dial(ctx, c.cfg.Addr)
		cancel()
		if err == nil {
			w := newWire(c.net, conn, c.cfg.Controller, c.cfg.Controller)
			c.serve(w)
		}
		select {
		case <-c.quit:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// serve plays the application server's end of the association.
func (c *Client) serve(w *wire) {
	defer w.close()
	stop := make(chan struct{})
	defer close(stop)
	c.wg.Add(2)
	go func() {
		defer c.wg.Done()
		select {
		case <-c.quit:
			w.close()
		case <-stop:
		}
	}()
	go func() { defer c.wg.Done(); w.writer() }()
	w.sendMessage(&m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: c.cfg.PC})
	w.reader(func(f []byte) bool {
		var m m3ua.Message
		if m3ua.Decode(f, &m) != nil {
			return true
		}
		switch m.Kind {
		case m3ua.ASPUPAck:
			w.sendMessage(&m3ua.Message{Kind: m3ua.ASPAC, TrafficMode: m3ua.TrafficLoadshare})
		case m3ua.ASPACAck:
			w.opened(c.net.Log.Open(record.ClientLink, c.cfg.Controller, 0))
			c.do(func() { c.wire = w })
		case m3ua.BEAT:
			w.sendMessage(&m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: m.Heartbeat})
		case m3ua.DATA:
			c.do(func() { c.take(w, f) })
		}
		return true
	})
	c.do(func() {
		if c.wire == w {
			c.lose()
		}
	})
}

// lose drops all calls with the connection; those who waited or talked dial again.
func (c *Client) lose() {
	c.wire = nil
	for cic, k := range c.calls {
		k.timer.Stop()
		delete(c.calls, cic)
		if k.state != clReleasing {
			c.again(k.Call)
		}
	}
}

// again dials a call once more, if its caller still wants it.
func (c *Client) again(call Call) {
	if call.Redials <= 0 || c.stopped {
		return
	}
	call.Redials--
	wait := time.Duration(float64(call.RedialAfter) * (0.5 + c.rng.Float64()))
	time.AfterFunc(wait, func() { c.do(func() { c.try(call) }) })
}

func (c *Client) send(m *isup.Message) {
	if c.wire != nil {
		c.wire.data(c.cfg.PC, c.cfg.Controller, m)
	}
}

func (c *Client) try(call Call) {
	if c.stopped {
		return
	}
	if c.wire == nil {
		c.Counts.NotConnected++
		c.again(call)
		return
	}
	cic := uint16(0)
	for range isup.MaxCIC {
		c.nextCIC = c.nextCIC%isup.MaxCIC + 1
		if c.calls[c.nextCIC] == nil {
			cic = c.nextCIC
			break
		}
	}
	if cic == 0 {
		c.Counts.NoCircuit++
		return
	}
	called, err := isup.ParseNumber(4, call.Called)
	if err != nil {
		panic(fmt.Sprintf("emulator: called number %q", call.Called))
	}
	calling, err := isup.ParseNumber(4, call.Calling)
	if err != nil {
		panic(fmt.Sprintf("emulator: calling number %q", call.Calling))
	}
	c.nextRef++
	k := &clCall{Call: call, cic: cic}
	c.calls[cic] = k
	c.Counts.Tries++
	c.send(&isup.Message{Type: isup.IAM, CIC: cic, Category: call.Category, TransmissionMedium: 3, ForwardIndicators: 0x2060, Called: called, HasCalling: true, Calling: calling,
		HasRef: true, Ref: isup.CallReference{ID: c.nextRef, PC: uint16(c.cfg.PC)}})
	k.timer = time.AfterFunc(call.Patience, func() {
		c.do(func() {
			if c.calls[cic] == k && k.state == clWaiting && !k.rings {
				c.Counts.Abandoned++
				c.leave(k, isup.CauseNormal)
				c.again(k.Call)
			}
		})
	})
}

// ringing lets a call ring as long as its caller likes.
func (c *Client) ringing(k *clCall) {
	k.rings = true
	c.Counts.Alerted++
	k.timer.Stop()
	if k.Ring <= 0 {
		k.Ring = time.Minute
	}
	k.timer = time.AfterFunc(k.Ring, func() {
		c.do(func() {
			if c.calls[k.cic] == k && k.state == clWaiting {
				c.Counts.AbandonedRinging++
				c.leave(k, isup.CauseNormal)
			}
		})
	})
}

// leave sends REL and takes the circuit back after RLC, or 4 s long.
func (c *Client) leave(k *clCall, cause isup.Cause) {
	k.state = clReleasing
	k.timer.Stop()
	c.send(&isup.Message{Type: isup.REL, CIC: k.cic, Cause: cause, Location: isup.LocationUser})
	k.timer = time.AfterFunc(4*time.Second, func() {
		c.do(func() {
			if c.calls[k.cic] == k {
				delete(c.calls, k.cic)
			}
		})
	})
}

func (c *Client) take(w *wire, f []byte) {
	var m m3ua.Message
	var u isup.Message
	if c.wire != w || m3ua.Decode(f, &m) != nil || isup.Decode(m.Data.User, &u) != nil {
		return
	}
	k := c.calls[u.CIC]
	switch u.Type {
	case isup.ACM, isup.CPG:
		if k != nil && k.state == clWaiting && !k.rings {
			c.ringing(k)
		}
	case isup.ANM, isup.CON:
		if k == nil || k.state != clWaiting {
			return
		}
		c.Counts.Answered++
		k.state = clStanding
		k.timer.Stop()
		k.timer = time.AfterFunc(k.Hold, func() {
			c.do(func() {
				if c.calls[k.cic] == k && k.state == clStanding {
					c.leave(k, isup.CauseNormal)
				}
			})
		})
	case isup.REL:
		c.send(&isup.Message{Type: isup.RLC, CIC: u.CIC})
		if k == nil || k.state == clReleasing {
			return
		}
		k.timer.Stop()
		delete(c.calls, u.CIC)
		switch {
		case k.state == clWaiting:
			c.Counts.Refused++
			if !k.rings || u.Cause != isup.CauseNoAnswer { // nobody is there: no use to dial again at once
				c.again(k.Call)
			}
		case u.Cause != isup.CauseNormal:
			c.Counts.Cut++
			c.again(k.Call)
		}
	case isup.RLC:
		if k != nil && k.state == clReleasing {
			k.timer.Stop()
			delete(c.calls, u.CIC)
		}
	}
}
