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

// ClientConfig configures one emulated client.
type ClientConfig struct {
	PC         uint32 // the client's point code, also sent as its ASP identifier
	Controller uint32 // point code of its controller's exchange
	Addr       string // address of its controller
	Seed       uint64
}

// Call describes one call that a caller makes.
type Call struct {
	Calling, Called string
	Category        isup.Category
	Hold            time.Duration // the caller hangs up after this
	Patience        time.Duration // an attempt that has not been alerted by then is abandoned and may be redialled
	Ring            time.Duration // an alerted call that is not answered within this is abandoned for good; 0: a minute
	Redials         int           // further attempts after a refused, cut or abandoned one
	RedialAfter     time.Duration // mean delay before a redial; each is drawn from 50% to 150% of it
}

// Client offers calls to one controller. Its methods may be called from any goroutine.
type Client struct {
	cfg    ClientConfig
	net    *Network
	events chan func()
	quit   chan struct{}
	wg     sync.WaitGroup

	// The fields below are used only by the event loop.
	rng           *rand.Rand
	association   *association
	calls         map[uint16]*clientCall
	lastCIC       uint16
	lastReference uint32
	callsStopped  bool
	Counts        ClientCounts
}

// ClientCounts are the call counters of a client.
type ClientCounts struct {
	Tries                        int
	Alerted                      int `json:"Rang"`
	Answered                     int `json:"Stood"`
	Refused                      int
	Abandoned                    int `json:"GivenUp"`
	AbandonedRinging             int `json:"RangOut"`
	Cut, NoCircuit, NotConnected int
}

type clientCallState uint8

const (
	clientCallPending clientCallState = iota
	clientCallEstablished
	clientCallReleasing
)

type clientCall struct {
	Call
	cic     uint16
	state   clientCallState
	alerted bool
	timer   *time.Timer
}

// NewClient creates a client and starts it. It connects, and reconnects when the connection ends, until Close.
func NewClient(network *Network, cfg ClientConfig) *Client {
	c := &Client{cfg: cfg, net: network, events: make(chan func(), 4096), quit: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.PC))), calls: map[uint16]*clientCall{}}
	c.wg.Add(2)
	go c.eventLoop()
	go c.connect()
	return c
}

func (c *Client) eventLoop() {
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

func (c *Client) post(f func()) {
	select {
	case c.events <- f:
	case <-c.quit:
	}
}

// Close stops the client and waits for its goroutines.
func (c *Client) Close() {
	close(c.quit)
	c.wg.Wait()
}

// Totals returns the current counters.
func (c *Client) Totals() ClientCounts {
	reply := make(chan ClientCounts, 1)
	c.post(func() { reply <- c.Counts })
	select {
	case totals := <-reply:
		return totals
	case <-c.quit:
		return c.Counts
	}
}

// Connected reports whether the association is active, so that calls can be made.
func (c *Client) Connected() bool {
	reply := make(chan bool, 1)
	c.post(func() { reply <- c.association != nil })
	select {
	case connected := <-reply:
		return connected
	case <-c.quit:
		return false
	}
}

// Reset closes the connection; the client reconnects.
func (c *Client) Reset() {
	c.post(func() {
		if c.association != nil {
			c.association.close()
		}
	})
}

// StopRedials stops redials and new calls, at the end of a scenario.
func (c *Client) StopRedials() { c.post(func() { c.callsStopped = true }) }

// Offer starts a call.
func (c *Client) Offer(call Call) { c.post(func() { c.attempt(call) }) }

func (c *Client) connect() {
	defer c.wg.Done()
	for {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		conn, err := c.net.Dial(ctx, c.cfg.Addr)
		cancel()
		if err == nil {
			assoc := newAssociation(c.net, conn, c.cfg.Controller, c.cfg.Controller)
			c.serve(assoc)
		}
		select {
		case <-c.quit:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// serve runs the application server process (ASP) side of the association until the connection ends.
func (c *Client) serve(assoc *association) {
	defer assoc.close()
	stop := make(chan struct{})
	defer close(stop)
	c.wg.Add(2)
	go func() {
		defer c.wg.Done()
		select {
		case <-c.quit:
			assoc.close()
		case <-stop:
		}
	}()
	go func() { defer c.wg.Done(); assoc.writeLoop() }()
	assoc.sendMessage(&m3ua.Message{Kind: m3ua.ASPUP, HasASPID: true, ASPID: c.cfg.PC})
	assoc.readLoop(func(frame []byte) bool {
		var msg m3ua.Message
		if m3ua.Decode(frame, &msg) != nil {
			return true
		}
		switch msg.Kind {
		case m3ua.ASPUPAck:
			assoc.sendMessage(&m3ua.Message{Kind: m3ua.ASPAC, TrafficMode: m3ua.TrafficLoadshare})
		case m3ua.ASPACAck:
			assoc.recordOpened(c.net.Log.Open(record.ClientLink, c.cfg.Controller, 0))
			c.post(func() { c.association = assoc })
		case m3ua.BEAT:
			assoc.sendMessage(&m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: msg.Heartbeat})
		case m3ua.DATA:
			c.post(func() { c.handleFrame(assoc, frame) })
		}
		return true
	})
	c.post(func() {
		if c.association == assoc {
			c.associationLost()
		}
	})
}

// associationLost drops all calls of the lost association. Callers of pending and established calls redial.
func (c *Client) associationLost() {
	c.association = nil
	for cic, call := range c.calls {
		call.timer.Stop()
		delete(c.calls, cic)
		if call.state != clientCallReleasing {
			c.redial(call.Call)
		}
	}
}

// redial schedules another attempt of a call if it has redials left.
func (c *Client) redial(call Call) {
	if call.Redials <= 0 || c.callsStopped {
		return
	}
	call.Redials--
	delay := time.Duration(float64(call.RedialAfter) * (0.5 + c.rng.Float64()))
	time.AfterFunc(delay, func() { c.post(func() { c.attempt(call) }) })
}

func (c *Client) send(msg *isup.Message) {
	if c.association != nil {
		c.association.sendISUP(c.cfg.PC, c.cfg.Controller, msg)
	}
}

func (c *Client) attempt(call Call) {
	if c.callsStopped {
		return
	}
	if c.association == nil {
		c.Counts.NotConnected++
		c.redial(call)
		return
	}
	cic := uint16(0)
	for range isup.MaxCIC {
		c.lastCIC = c.lastCIC%isup.MaxCIC + 1
		if c.calls[c.lastCIC] == nil {
			cic = c.lastCIC
			break
		}
	}
	if cic == 0 {
		c.Counts.NoCircuit++
		return
	}
	called, err := isup.ParseNumber(4, call.Called)
	if err != nil {
		panic(fmt.Sprintf("emulator: invalid called number %q", call.Called))
	}
	calling, err := isup.ParseNumber(4, call.Calling)
	if err != nil {
		panic(fmt.Sprintf("emulator: invalid calling number %q", call.Calling))
	}
	c.lastReference++
	newCall := &clientCall{Call: call, cic: cic}
	c.calls[cic] = newCall
	c.Counts.Tries++
	c.send(&isup.Message{Type: isup.IAM, CIC: cic, Category: call.Category, TransmissionMedium: 3, ForwardIndicators: 0x2060, Called: called, HasCalling: true, Calling: calling,
		HasRef: true, Ref: isup.CallReference{ID: c.lastReference, PC: uint16(c.cfg.PC)}})
	newCall.timer = time.AfterFunc(call.Patience, func() {
		c.post(func() {
			if c.calls[cic] == newCall && newCall.state == clientCallPending && !newCall.alerted {
				c.Counts.Abandoned++
				c.release(newCall, isup.CauseNormal)
				c.redial(newCall.Call)
			}
		})
	})
}

// alert marks a call as alerted and limits how long it may ring.
func (c *Client) alert(call *clientCall) {
	call.alerted = true
	c.Counts.Alerted++
	call.timer.Stop()
	if call.Ring <= 0 {
		call.Ring = time.Minute
	}
	call.timer = time.AfterFunc(call.Ring, func() {
		c.post(func() {
			if c.calls[call.cic] == call && call.state == clientCallPending {
				c.Counts.AbandonedRinging++
				c.release(call, isup.CauseNormal)
			}
		})
	})
}

// release sends REL. The circuit is free again after RLC, or after 4 s without one.
func (c *Client) release(call *clientCall, cause isup.Cause) {
	call.state = clientCallReleasing
	call.timer.Stop()
	c.send(&isup.Message{Type: isup.REL, CIC: call.cic, Cause: cause, Location: isup.LocationUser})
	call.timer = time.AfterFunc(4*time.Second, func() {
		c.post(func() {
			if c.calls[call.cic] == call {
				delete(c.calls, call.cic)
			}
		})
	})
}

func (c *Client) handleFrame(assoc *association, frame []byte) {
	var msg m3ua.Message
	var isupMsg isup.Message
	if c.association != assoc || m3ua.Decode(frame, &msg) != nil || isup.Decode(msg.Data.User, &isupMsg) != nil {
		return
	}
	call := c.calls[isupMsg.CIC]
	switch isupMsg.Type {
	case isup.ACM, isup.CPG:
		if call != nil && call.state == clientCallPending && !call.alerted {
			c.alert(call)
		}
	case isup.ANM, isup.CON:
		if call == nil || call.state != clientCallPending {
			return
		}
		c.Counts.Answered++
		call.state = clientCallEstablished
		call.timer.Stop()
		call.timer = time.AfterFunc(call.Hold, func() {
			c.post(func() {
				if c.calls[call.cic] == call && call.state == clientCallEstablished {
					c.release(call, isup.CauseNormal)
				}
			})
		})
	case isup.REL:
		c.send(&isup.Message{Type: isup.RLC, CIC: isupMsg.CIC})
		if call == nil || call.state == clientCallReleasing {
			return
		}
		call.timer.Stop()
		delete(c.calls, isupMsg.CIC)
		switch {
		case call.state == clientCallPending:
			c.Counts.Refused++
			if !call.alerted || isupMsg.Cause != isup.CauseNoAnswer { // the called party does not answer: an immediate redial would be of no use
				c.redial(call.Call)
			}
		case isupMsg.Cause != isup.CauseNormal:
			c.Counts.Cut++
			c.redial(call.Call)
		}
	case isup.RLC:
		if call != nil && call.state == clientCallReleasing {
			call.timer.Stop()
			delete(c.calls, isupMsg.CIC)
		}
	}
}
