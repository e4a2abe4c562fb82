package emulator

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// SwitchConfig is one stand-in switch.
type SwitchConfig struct {
	PC       uint32
	Prefixes []string       // numbers of its subscribers
	Circuits map[uint32]int // trunk groups by far exchange
	Seed     uint64

	Rate          float64       // set-ups a second that the warm processor can take; 0: any number
	FollowWork    float64       // work of an answer or a release, in set-ups
	RejectWork    float64       // work of turning a set-up away, in set-ups
	FullAfter     time.Duration // set-ups are turned away once they would wait so long
	AnswersFirst  bool          // answers and releases go before new set-ups
	Repeat        time.Duration // a set-up that waits is sent again after this and at doubling gaps; 0: never
	RepeatWork    float64       // work of a repeat, in set-ups
	DropAbandoned bool          // a set-up given up by its sender costs nothing; else it is worked on
	Ring          time.Duration // between ACM and ANM, of categories that Ringing lacks
	Ringing       map[isup.Category]Ringing
	EarlyACM      bool          // it says ACM as soon as it has read the IAM, and does the work after that
	HangUp        float64       // share of calls that the called side ends ...
	Hold          time.Duration // ... after this on average
	Lines         map[string]int

	ColdShare     float64 // of its capacity right after a cold start, growing to the whole ...
	WarmUp        time.Duration
	CrashMultiple float64 // sent this multiple of its present capacity ...
	CrashSpan     time.Duration
}

// Switch is one stand-in switch. Its methods may be called from any goroutine.
type Switch struct {
	cfg SwitchConfig
	net *Network

	events chan func()
	quit   chan struct{}
	wg     sync.WaitGroup

	// Of the event goroutine from here on.
	rng      *rand.Rand
	proc     *processor
	listener net.Listener
	up       bool
	cold     bool
	started  time.Time
	dead     bool // pushed over: it does not come back
	gen      int  // of starts
	wires    map[uint32]*wire
	own      *wire
	calls    map[circuitKey]*swCall
	lines    map[string]int
	list     map[uint32]m3ua.Kind // what the register has told it, for its controller
	lost     map[uint32][]uint16  // circuits out of service, by far exchange
	recent   []time.Time          // set-ups received while cold
	thin     [thinKinds]float64
	ageing   *time.Ticker
}

type circuitKey struct {
	far uint32
	cic uint16
}

type swState uint8

const (
	swQueued  swState = iota // the set-up waits for the processor
	swRinging                // set up, or handed on
	swAnswered
	swReleasing // REL sent, RLC awaited
)

type swCall struct {
	key     circuitKey
	iam     isup.Message
	state   swState
	gone    bool // released by its caller
	leaving bool // ... and the own controller has yet to answer that
	transit bool
	line    string
}

// NewSwitch makes a switch that is not started yet.
func NewSwitch(n *Network, cfg SwitchConfig) *Switch {
	s := &Switch{cfg: cfg, net: n, events: make(chan func(), 4096), quit: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.PC))), proc: newProcessor(cfg.AnswersFirst), wires: map[uint32]*wire{},
		calls: map[circuitKey]*swCall{}, lines: map[string]int{}, list: map[uint32]m3ua.Kind{}, lost: map[uint32][]uint16{}}
	s.proc.instant = cfg.Rate <= 0
	s.wg.Add(1)
	go s.loop()
	return s
}

func (s *Switch) loop() {
	defer s.wg.Done()
	for {
		select {
		case f := <-s.events:
			f()
		case <-s.proc.timer.C:
			s.proc.finish()
		case <-s.quit:
			s.stop()
			return
		}
	}
}

// do runs f in the switch's goroutine.
func (s *Switch) do(f func()) {
	select {
	case s.events <- f:
	case <-s.quit:
	}
}

func (s *Switch) after(d time.Duration, f func()) {
	gen := s.gen
	time.AfterFunc(d, func() {
		s.do(func() {
			if s.gen == gen {
				f()
			}
		})
	})
}

// Close ends the switch.
func (s *Switch) Close() {
	close(s.quit)
	s.wg.Wait()
}

// Start takes the switch into service at an address and returns the address that it got.
func (s *Switch) Start(addr string, cold bool) (string, error) {
	l, err := s.net.Listen(addr)
	if err != nil {
		return "", err
	}
	s.do(func() {
		if s.up || s.dead {
			l.Close()
			return
		}
		s.up, s.cold, s.started, s.listener = true, cold, time.Now(), l
		s.gen++
		s.net.Log.Event(record.Event{Kind: record.Started, PC: s.cfg.PC, Cold: cold, Value: s.cfg.Rate})
		s.wg.Add(1)
		go s.accept(l)
	})
	return l.Addr().String(), nil
}

// Stop takes the switch out of service at once: connections break, calls are forgotten.
func (s *Switch) Stop() { s.do(s.stop) }

func (s *Switch) stop() {
	if !s.up {
		return
	}
	s.up = false
	s.gen++
	s.listener.Close()
	for _, w := range s.wires {
		w.close()
	}
	clear(s.wires)
	s.own = nil
	clear(s.calls)
	clear(s.lines)
	s.recent = nil
	s.proc.clear()
	if s.ageing != nil {
		s.ageing.Stop()
		s.ageing = nil
	}
	s.net.Log.Event(record.Event{Kind: record.Stopped, PC: s.cfg.PC})
}

// Hang lets the processor take set-ups and answer none.
func (s *Switch) Hang(on bool) { s.do(func() { s.proc.hang(on) }) }

// Slow makes the processor take times as long for everything; 1: as usual.
func (s *Switch) Slow(times float64) { s.do(func() { s.proc.slow = times }) }

// ResetAssociations breaks every connection; the switch itself runs on and keeps its calls.
func (s *Switch) ResetAssociations() {
	s.do(func() {
		for _, w := range s.wires {
			w.close()
		}
	})
}

// SendStatus hands the register's word on an exchange to the own controller: DAVA, DRST or DUNA.
func (s *Switch) SendStatus(k m3ua.Kind, pc uint32) {
	s.do(func() {
		s.list[pc] = k
		if s.up && s.own != nil {
			s.own.sendMessage(&m3ua.Message{Kind: k, Affected: []m3ua.Affected{{PC: pc}}})
		}
	})
}

// LoseCircuits takes a share of the circuits of the group to an exchange out of service, or all back into it. Calls on
// them are cut. Both ends must lose the same ones: the highest.
func (s *Switch) LoseCircuits(far uint32, share float64, on bool) {
	s.do(func() {
		n := s.cfg.Circuits[far]
		var cics []uint16
		if on {
			for cic := n; cic > n-int(share*float64(n)); cic-- {
				cics = append(cics, uint16(cic))
			}
			slices.Sort(cics)
			s.lost[far] = cics
			for _, cic := range cics {
				s.forget(circuitKey{far, cic})
			}
		} else {
			cics = s.lost[far]
			delete(s.lost, far)
		}
		s.blocking(far, cics, on)
	})
}

// blocking sends CGB or CGU for hardware failure to the far controller.
func (s *Switch) blocking(far uint32, cics []uint16, on bool) {
	w := s.wires[far]
	if w == nil || len(cics) < 2 {
		return
	}
	t := isup.CGU
	if on {
		t = isup.CGB
	}
	for len(cics) > 0 {
		first := cics[0]
		n := min(isup.MaxRange, len(cics))
		if n == 1 { // a group message names two circuits at the least
			first, n = first-1, 2
		}
		m := isup.Message{Type: t, CIC: first, Supervision: isup.Hardware, Range: byte(n - 1), Status: make([]byte, (n+7)/8)}
		for i := range n {
			if slices.Contains(cics, first+uint16(i)) {
				m.Status[i/8] |= 1 << (i % 8)
			}
		}
		w.data(s.cfg.PC, far, &m)
		cics = cics[min(isup.MaxRange, len(cics)):]
	}
}

// CutCalls cuts a share of the standing calls: REL with cause 41.
func (s *Switch) CutCalls(share float64) {
	s.do(func() {
		keys := make([]circuitKey, 0, len(s.calls))
		for k, c := range s.calls {
			if c.state == swAnswered && !c.transit {
				keys = append(keys, k)
			}
		}
		slices.SortFunc(keys, func(a, b circuitKey) int { return int(a.far)<<16 + int(a.cic) - int(b.far)<<16 - int(b.cic) })
		for _, k := range keys {
			if s.rng.Float64() < share {
				s.release(s.calls[k], isup.CauseTemporary)
			}
		}
	})
}

// Degrade makes the processor slower and slower until it dies: after span it takes times as long.
func (s *Switch) Degrade(span time.Duration, times float64) {
	s.do(func() {
		begin, gen := time.Now(), s.gen
		const step = 200 * time.Millisecond
		var tick func()
		tick = func() {
			if s.gen != gen {
				return
			}
			part := float64(time.Since(begin)) / float64(span)
			if part >= 1 {
				s.stop()
				return
			}
			s.proc.slow = 1 + part*part*(times-1)
			s.after(step, tick)
		}
		tick()
	})
}

// LimitLines limits the lines of a number; 0 lifts the limit.
func (s *Switch) LimitLines(number string, lines int) {
	s.do(func() {
		if s.cfg.Lines == nil {
			s.cfg.Lines = map[string]int{}
		}
		if lines > 0 {
			s.cfg.Lines[number] = lines
		} else {
			delete(s.cfg.Lines, number)
		}
	})
}

// Established is the number of calls that stand here and are not in transit.
func (s *Switch) Established() int {
	n := make(chan int, 1)
	s.do(func() {
		k := 0
		for _, c := range s.calls {
			if c.state == swAnswered && !c.transit {
				k++
			}
		}
		n <- k
	})
	select {
	case k := <-n:
		return k
	case <-s.quit:
		return 0
	}
}

// capacity is the share of the processor's speed that it has now.
func (s *Switch) capacity() float64 {
	if !s.cold {
		return 1
	}
	part := float64(time.Since(s.started)) / float64(s.cfg.WarmUp)
	if part >= 1 {
		return 1
	}
	return s.cfg.ColdShare + (1-s.cfg.ColdShare)*part
}

// work is a number of set-ups' worth of work, as long as it takes now.
func (s *Switch) work(setUps float64) time.Duration {
	if s.cfg.Rate <= 0 {
		return 0
	}
	return time.Duration(setUps / s.cfg.Rate / s.capacity() * float64(time.Second))
}

func (s *Switch) accept(l net.Listener) {
	defer s.wg.Done()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.wg.Add(1)
		go s.serve(conn)
	}
}

// serve answers one controller: it plays the signalling gateway's end of the association.
func (s *Switch) serve(conn net.Conn) {
	defer s.wg.Done()
	// Until the peer has told who it is, its way is not known.
	w := newWire(s.net, conn, s.cfg.PC, s.cfg.PC)
	defer w.close()
	stop := make(chan struct{})
	defer close(stop)
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		select {
		case <-s.quit:
			w.close()
		case <-stop:
		}
	}()
	go func() { defer s.wg.Done(); w.writer() }()
	var pc uint32
	active := false
	w.reader(func(f []byte) bool {
		var m m3ua.Message
		if err := m3ua.Decode(f, &m); err != nil {
			return true
		}
		switch m.Kind {
		case m3ua.ASPUP:
			pc = m.ASPID
			w.sendMessage(&m3ua.Message{Kind: m3ua.ASPUPAck})
		case m3ua.ASPAC:
			if active {
				return true
			}
			active = true
			w.there.Store(pc)
			kind := record.FarLink
			if pc == s.cfg.PC {
				kind = record.OwnLink
			}
			w.opened(s.net.Log.Open(kind, pc, s.cfg.PC))
			w.sendMessage(&m3ua.Message{Kind: m3ua.ASPACAck, TrafficMode: m.TrafficMode, HasRoutingContext: true, RoutingContext: m.RoutingContext})
			s.do(func() { s.joined(pc, w) })
		case m3ua.BEAT:
			w.sendMessage(&m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: m.Heartbeat})
		case m3ua.ASPDN:
			w.sendMessage(&m3ua.Message{Kind: m3ua.ASPDNAck})
		case m3ua.DATA, m3ua.DAUD:
			s.do(func() { s.take(pc, w, f) })
		}
		return true
	})
	s.do(func() {
		if s.wires[pc] == w {
			delete(s.wires, pc)
			if s.own == w {
				s.own = nil
			}
		}
	})
}

func (s *Switch) joined(pc uint32, w *wire) {
	if !s.up {
		w.close()
		return
	}
	if old := s.wires[pc]; old != nil && old != w {
		old.close()
	}
	s.wires[pc] = w
	if pc == s.cfg.PC {
		s.own = w
	} else if lost := s.lost[pc]; len(lost) > 0 {
		s.blocking(pc, lost, true)
	}
}

// take handles one frame of a controller.
func (s *Switch) take(pc uint32, w *wire, f []byte) {
	var m m3ua.Message
	if !s.up || s.wires[pc] != w || m3ua.Decode(f, &m) != nil {
		return
	}
	if m.Kind == m3ua.DAUD {
		for _, a := range m.Affected {
			k := s.list[a.PC]
			if k == 0 {
				k = m3ua.DAVA
			}
			w.sendMessage(&m3ua.Message{Kind: k, Affected: []m3ua.Affected{a}})
		}
		return
	}
	var u isup.Message
	if isup.Decode(m.Data.User, &u) != nil {
		return
	}
	if pc == s.cfg.PC {
		s.fromOwn(m.Data.DPC, &u)
	} else {
		s.fromFar(pc, w, &u)
	}
}

// toOwn passes a message on a circuit to the own controller, as from the far exchange.
func (s *Switch) toOwn(far uint32, m *isup.Message) {
	if s.own != nil {
		s.own.data(far, s.cfg.PC, m)
	}
}

func (s *Switch) toFar(far uint32, m *isup.Message) {
	if w := s.wires[far]; w != nil {
		w.data(s.cfg.PC, far, m)
	}
}

func (s *Switch) serves(number string) bool {
	return slices.ContainsFunc(s.cfg.Prefixes, func(p string) bool { return strings.HasPrefix(number, p) })
}

func clone(m *isup.Message) isup.Message {
	c := *m
	c.Optional = slices.Clone(m.Optional)
	for i := range c.Optional {
		c.Optional[i].Value = slices.Clone(c.Optional[i].Value)
	}
	c.Compat, c.Status, c.Circuits = slices.Clone(m.Compat), slices.Clone(m.Status), slices.Clone(m.Circuits)
	return c
}

// fromFar takes a message of another exchange's controller.
func (s *Switch) fromFar(far uint32, w *wire, m *isup.Message) {
	key := circuitKey{far, m.CIC}
	switch m.Type {
	case isup.IAM:
		s.iam(key, m)
	case isup.REL:
		c := s.calls[key]
		if c == nil {
			s.toFar(far, &isup.Message{Type: isup.RLC, CIC: m.CIC})
			return
		}
		c.gone = true
		rel := clone(m)
		s.proc.add(job{work: s.work(s.cfg.FollowWork), done: func() {
			if s.calls[key] == c {
				s.toOwn(far, &rel)
				if c.transit && c.state != swQueued && s.own != nil { // its controller has a part in it, and answers
					c.leaving = true
					s.after(4*time.Second, func() { s.left(c) })
					return
				}
				s.forget(key)
			}
			s.toFar(far, &isup.Message{Type: isup.RLC, CIC: key.cic})
		}})
	case isup.RLC:
		if c := s.calls[key]; c != nil && c.state == swReleasing {
			s.forget(key)
			s.toOwn(far, &isup.Message{Type: isup.RLC, CIC: key.cic})
		}
	case isup.RSC:
		s.proc.add(job{done: func() {
			s.forget(key)
			s.toOwn(far, &isup.Message{Type: isup.RSC, CIC: key.cic})
			s.toFar(far, &isup.Message{Type: isup.RLC, CIC: key.cic})
		}})
	case isup.GRS:
		grs := clone(m)
		s.proc.add(job{done: func() {
			for i := 0; i <= int(grs.Range); i++ {
				s.forget(circuitKey{far, grs.CIC + uint16(i)})
			}
			s.toOwn(far, &grs)
			s.toFar(far, &isup.Message{Type: isup.GRA, CIC: grs.CIC, Range: grs.Range, Status: make([]byte, (int(grs.Range)+8)/8)})
		}})
	case isup.CQM:
		q := clone(m)
		s.proc.add(job{done: func() { s.toFar(far, s.query(far, &q)) }})
	case isup.BLO, isup.UBL, isup.CGB, isup.CGU:
		ack := clone(m)
		ack.Type = map[isup.Type]isup.Type{isup.BLO: isup.BLA, isup.UBL: isup.UBA, isup.CGB: isup.CGBA, isup.CGU: isup.CGUA}[m.Type]
		s.toOwn(far, m)
		s.toFar(far, &ack)
	}
}

// query answers CQM: busy are the circuits that the far exchange's calls hold here.
func (s *Switch) query(far uint32, m *isup.Message) *isup.Message {
	states := make([]byte, int(m.Range)+1)
	for i := range states {
		states[i] = isup.CircuitIdle
		if s.calls[circuitKey{far, m.CIC + uint16(i)}] != nil {
			states[i] = isup.CircuitIncoming
		}
	}
	return &isup.Message{Type: isup.CQR, CIC: m.CIC, Range: m.Range, Circuits: states}
}

// iam takes a new set-up.
func (s *Switch) iam(key circuitKey, m *isup.Message) {
	if int(key.cic) > s.cfg.Circuits[key.far] || key.cic == 0 || slices.Contains(s.lost[key.far], key.cic) {
		s.toFar(key.far, &isup.Message{Type: isup.REL, CIC: key.cic, Cause: isup.CauseCircuitNotAvailable, Location: isup.LocationNetwork})
		return
	}
	if old := s.calls[key]; old != nil && old.state != swReleasing {
		if old.iam.Ref == m.Ref {
			return
		}
		s.forget(key)
	}
	c := &swCall{key: key, iam: clone(m), transit: !s.serves(m.Called.String())}
	s.calls[key] = c
	if s.cold && s.capacity() < 1 && s.pushed() {
		return
	}
	if !c.transit { // the own controller must know the circuit as taken at once
		s.toOwn(key.far, m)
	}
	loc := isup.LocationNetwork
	if c.transit {
		loc = isup.LocationTransit
	}
	if s.cfg.FullAfter > 0 && s.proc.wait() > s.cfg.FullAfter {
		s.proc.add(job{work: s.work(s.cfg.RejectWork), done: func() {
			if s.calls[key] == c && !c.gone {
				s.releaseAt(c, isup.CauseCongestion, loc)
			}
		}})
		return
	}
	if kind, yes := s.thinFault(); yes {
		switch kind {
		case CallFaultFull:
			s.releaseAt(c, isup.CauseCongestion, loc)
		case CallFaultReleased:
			s.releaseAt(c, isup.CauseTemporary, loc)
		case CallFaultReset:
			s.forget(key)
			s.toOwn(key.far, &isup.Message{Type: isup.RSC, CIC: key.cic})
			s.toFar(key.far, &isup.Message{Type: isup.RSC, CIC: key.cic})
		}
		return // silent: it waits for its caller's REL
	}
	if s.cfg.EarlyACM && !c.transit {
		s.toFar(key.far, &isup.Message{Type: isup.ACM, CIC: key.cic, BackwardIndicators: 0x0416})
	}
	s.proc.add(job{work: s.work(1) * time.Duration(85+s.rng.IntN(31)) / 100, setUp: true,
		extra: func(waited time.Duration) time.Duration {
			if c.gone && s.cfg.DropAbandoned {
				return -s.work(1)
			}
			extra := time.Duration(0)
			for gap := s.cfg.Repeat; gap > 0 && waited > gap; waited, gap = waited-gap, gap*2 {
				extra += s.work(s.cfg.RepeatWork)
			}
			return extra
		},
		done: func() {
			if s.calls[key] == c && !c.gone {
				s.setUp(c)
			}
		}})
}

// pushed notes a set-up at a cold processor and tells whether it falls over.
func (s *Switch) pushed() bool {
	now := time.Now()
	s.recent = append(s.recent, now)
	for len(s.recent) > 0 && now.Sub(s.recent[0]) > s.cfg.CrashSpan {
		s.recent = s.recent[1:]
	}
	limit := s.cfg.CrashMultiple * s.cfg.Rate * s.capacity() * s.cfg.CrashSpan.Seconds()
	if s.cfg.CrashMultiple > 0 && float64(len(s.recent)) > limit {
		s.dead = true
		s.stop()
		return true
	}
	return false
}

// setUp carries a set-up out: to a subscriber, or on to the own controller.
func (s *Switch) setUp(c *swCall) {
	c.state = swRinging
	if c.transit {
		if s.own == nil {
			s.releaseAt(c, isup.CauseDestinationOutOfOrder, isup.LocationTransit)
			return
		}
		s.toOwn(c.key.far, &c.iam)
		return
	}
	number := c.iam.Called.String()
	if limit, few := s.cfg.Lines[number]; few && s.lines[number] >= limit {
		s.release(c, isup.CauseUserBusy)
		return
	}
	ringing, known := s.cfg.Ringing[c.iam.Category]
	if !known {
		ringing.Median = s.cfg.Ring
	}
	who := subscriber{}
	if known || ringing.Median > 0 {
		who = ringing.draw(s.rng)
	}
	if who.busy {
		s.release(c, isup.CauseUserBusy)
		return
	}
	c.line = number
	s.lines[number]++
	if !s.cfg.EarlyACM {
		s.toFar(c.key.far, &isup.Message{Type: isup.ACM, CIC: c.key.cic, BackwardIndicators: 0x0416})
	}
	if who.silent {
		return
	}
	answer := func() {
		if s.calls[c.key] != c || c.gone {
			return
		}
		s.proc.add(job{work: s.work(s.cfg.FollowWork), done: func() {
			if s.calls[c.key] != c || c.gone {
				return
			}
			c.state = swAnswered
			s.toFar(c.key.far, &isup.Message{Type: isup.ANM, CIC: c.key.cic})
			if s.rng.Float64() < s.cfg.HangUp {
				s.after(time.Duration(s.rng.ExpFloat64()*float64(s.cfg.Hold)), func() {
					if s.calls[c.key] == c && c.state == swAnswered && !c.gone {
						s.release(c, isup.CauseNormal)
					}
				})
			}
		}})
	}
	if who.after > 0 {
		s.after(who.after, answer)
	} else {
		answer()
	}
}

func (s *Switch) release(c *swCall, cause isup.Cause) { s.releaseAt(c, cause, isup.LocationNetwork) }

// releaseAt sends REL to the far exchange; the circuit is taken until RLC has come, or 4 s long.
func (s *Switch) releaseAt(c *swCall, cause isup.Cause, loc isup.Location) {
	c.state = swReleasing
	s.freeLine(c)
	s.toFar(c.key.far, &isup.Message{Type: isup.REL, CIC: c.key.cic, Cause: cause, Location: loc})
	s.after(4*time.Second, func() {
		if s.calls[c.key] == c {
			s.forget(c.key)
			s.toOwn(c.key.far, &isup.Message{Type: isup.RLC, CIC: c.key.cic})
		}
	})
}

// left ends a call in transit that its caller has released, once the own controller knows.
func (s *Switch) left(c *swCall) {
	if s.calls[c.key] == c && c.leaving {
		s.forget(c.key)
		s.toFar(c.key.far, &isup.Message{Type: isup.RLC, CIC: c.key.cic})
	}
}

func (s *Switch) freeLine(c *swCall) {
	if c.line != "" {
		s.lines[c.line]--
		c.line = ""
	}
}

func (s *Switch) forget(key circuitKey) {
	if c := s.calls[key]; c != nil {
		c.gone = true
		s.freeLine(c)
		delete(s.calls, key)
	}
}

// fromOwn takes a message of the own controller about an incoming call of a group: it is passed back to the far exchange.
func (s *Switch) fromOwn(far uint32, m *isup.Message) {
	key := circuitKey{far, m.CIC}
	c := s.calls[key]
	switch m.Type {
	case isup.RSC: // disregard the call: dual seizure
		s.forget(key)
		s.toOwn(far, &isup.Message{Type: isup.RLC, CIC: m.CIC})
	case isup.CQM:
		s.toOwn(far, s.query(far, m))
	case isup.RLC:
		if c != nil {
			s.left(c)
		}
	case isup.ACM, isup.CPG, isup.ANM, isup.CON:
		if c == nil || !c.transit || c.gone {
			return
		}
		back := clone(m)
		s.proc.add(job{work: s.work(s.cfg.FollowWork), done: func() {
			if s.calls[key] != c || c.gone {
				return
			}
			if back.Type == isup.ANM || back.Type == isup.CON {
				c.state = swAnswered
			}
			s.toFar(far, &back)
		}})
	case isup.REL:
		if c == nil || !c.transit || c.gone {
			s.toOwn(far, &isup.Message{Type: isup.RLC, CIC: m.CIC})
			return
		}
		rel := clone(m)
		s.proc.add(job{work: s.work(s.cfg.FollowWork), done: func() {
			if s.calls[key] == c && !c.gone && c.state != swReleasing {
				s.releaseAt(c, rel.Cause, rel.Location)
			}
		}})
	}
}

func (s *Switch) String() string { return fmt.Sprintf("switch %d", s.cfg.PC) }
