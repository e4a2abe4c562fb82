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

// SwitchConfig configures one emulated switch.
type SwitchConfig struct {
	PC       uint32         // point code of the switch and of its exchange
	Prefixes []string       // number prefixes of its subscribers
	Circuits map[uint32]int // circuits of each trunk group, by far exchange
	Seed     uint64

	Rate          float64       // set-ups a second that the processor can handle when warm; 0: unlimited
	FollowWork    float64       // work of an answer or a release, relative to a set-up
	RejectWork    float64       // work of rejecting a set-up, relative to a set-up
	FullAfter     time.Duration // set-ups are rejected if they would wait longer than this for the processor; 0: never
	AnswersFirst  bool          // answers and releases are served before new set-ups
	Repeat        time.Duration // a set-up that waits is retransmitted after this and then at doubling intervals; 0: never
	RepeatWork    float64       // work of a retransmission, relative to a set-up
	DropAbandoned bool          // a set-up already released by its sender costs no work; otherwise its work is done all the same
	Ring          time.Duration // time from ACM to ANM of categories that are not in Ringing
	Ringing       map[isup.Category]Ringing
	EarlyACM      bool           // ACM is sent when the IAM is read, before the work of the set-up
	HangUp        float64        // share of answered calls that the called side releases
	Hold          time.Duration  // mean time from answer to that release
	Lines         map[string]int // limit of lines in use, by number

	ColdShare     float64       // share of the capacity available right after a cold start
	WarmUp        time.Duration // time over which the capacity grows linearly to its full value
	CrashMultiple float64       // a cold switch crashes when it receives more than this multiple of its current capacity; 0: never
	CrashSpan     time.Duration // span over which those set-ups are counted
}

// Switch is one emulated switch. Its methods may be called from any goroutine.
type Switch struct {
	cfg SwitchConfig
	net *Network

	events chan func()
	quit   chan struct{}
	wg     sync.WaitGroup

	// The fields below are used only by the event loop.
	rng             *rand.Rand
	proc            *processor
	listener        net.Listener
	up              bool
	cold            bool
	started         time.Time
	crashed         bool                    // crashed by load after a cold start; it cannot be started again
	generation      int                     // changes at each start and stop, which invalidates pending timers
	associations    map[uint32]*association // by exchange of the controller
	ownAssociation  *association            // to the controller of the switch's own exchange
	calls           map[circuitKey]*switchCall
	linesInUse      map[string]int       // by called number
	exchangeStatus  map[uint32]m3ua.Kind // last status of other exchanges sent with SendStatus, for answers to DAUD
	lostCircuits    map[uint32][]uint16  // circuits out of service, by far exchange
	recentSetUps    []time.Time          // arrival times of set-ups within CrashSpan while cold
	callFaultShares [callFaultKinds]float64
	degradeTicker   *time.Ticker
}

// circuitKey identifies a circuit by the far exchange of its trunk group and its CIC.
type circuitKey struct {
	far uint32
	cic uint16
}

// switchCallState is the state of an incoming call at a switch.
type switchCallState uint8

const (
	switchCallQueued     switchCallState = iota // the set-up waits for the processor
	switchCallProceeding                        // the set-up has reached the subscriber or, in transit, this exchange's controller
	switchCallAnswered
	switchCallReleasing // REL sent, RLC awaited
)

// switchCall is an incoming call at a switch.
type switchCall struct {
	key          circuitKey
	iam          isup.Message
	state        switchCallState
	cleared      bool // released by its caller, or dropped
	awaitsOwnRLC bool // the caller's REL was passed to this exchange's controller, whose RLC has not arrived yet
	transit      bool
	calledNumber string
}

// NewSwitch creates a switch, which takes calls after Start.
func NewSwitch(n *Network, cfg SwitchConfig) *Switch {
	s := &Switch{cfg: cfg, net: n, events: make(chan func(), 4096), quit: make(chan struct{}),
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.PC))), proc: newProcessor(cfg.AnswersFirst), associations: map[uint32]*association{},
		calls: map[circuitKey]*switchCall{}, linesInUse: map[string]int{}, exchangeStatus: map[uint32]m3ua.Kind{}, lostCircuits: map[uint32][]uint16{}}
	s.proc.instant = cfg.Rate <= 0
	s.wg.Add(1)
	go s.eventLoop()
	return s
}

func (s *Switch) eventLoop() {
	defer s.wg.Done()
	for {
		select {
		case f := <-s.events:
			f()
		case <-s.proc.timer.C:
			s.proc.finishCurrent()
		case <-s.quit:
			s.stop()
			return
		}
	}
}

// post queues f for the event loop.
func (s *Switch) post(f func()) {
	select {
	case s.events <- f:
	case <-s.quit:
	}
}

// after runs f in the event loop after a delay, unless the switch has been stopped or restarted by then.
func (s *Switch) after(d time.Duration, f func()) {
	generation := s.generation
	time.AfterFunc(d, func() {
		s.post(func() {
			if s.generation == generation {
				f()
			}
		})
	})
}

// Close stops the switch and waits for its goroutines.
func (s *Switch) Close() {
	close(s.quit)
	s.wg.Wait()
}

// Start puts the switch into service at an address and returns the address that it listens on. A cold switch begins with a
// share of its capacity.
func (s *Switch) Start(addr string, cold bool) (string, error) {
	l, err := s.net.Listen(addr)
	if err != nil {
		return "", err
	}
	s.post(func() {
		if s.up || s.crashed {
			l.Close()
			return
		}
		s.up, s.cold, s.started, s.listener = true, cold, time.Now(), l
		s.generation++
		s.net.Log.Event(record.Event{Kind: record.Started, PC: s.cfg.PC, Cold: cold, Value: s.cfg.Rate})
		s.wg.Add(1)
		go s.accept(l)
	})
	return l.Addr().String(), nil
}

// Stop takes the switch out of service at once: its connections are closed and its calls dropped.
func (s *Switch) Stop() { s.post(s.stop) }

func (s *Switch) stop() {
	if !s.up {
		return
	}
	s.up = false
	s.generation++
	s.listener.Close()
	for _, assoc := range s.associations {
		assoc.close()
	}
	clear(s.associations)
	s.ownAssociation = nil
	clear(s.calls)
	clear(s.linesInUse)
	s.recentSetUps = nil
	s.proc.clear()
	if s.degradeTicker != nil {
		s.degradeTicker.Stop()
		s.degradeTicker = nil
	}
	s.net.Log.Event(record.Event{Kind: record.Stopped, PC: s.cfg.PC})
}

// Hang makes the processor hang: set-ups are still accepted, but none is answered. Hang(false) ends this.
func (s *Switch) Hang(on bool) { s.post(func() { s.proc.setHung(on) }) }

// Slow multiplies the time that the processor takes for each job; 1 is normal speed.
func (s *Switch) Slow(times float64) { s.post(func() { s.proc.slowdown = times }) }

// ResetAssociations closes every connection; the switch stays in service and keeps its calls.
func (s *Switch) ResetAssociations() {
	s.post(func() {
		for _, assoc := range s.associations {
			assoc.close()
		}
	})
}

// SendStatus notifies this exchange's controller of the status of another exchange: DAVA, DRST or DUNA. A later DAUD for that
// exchange is answered with the same status.
func (s *Switch) SendStatus(kind m3ua.Kind, pc uint32) {
	s.post(func() {
		s.exchangeStatus[pc] = kind
		if s.up && s.ownAssociation != nil {
			s.ownAssociation.sendMessage(&m3ua.Message{Kind: kind, Affected: []m3ua.Affected{{PC: pc}}})
		}
	})
}

// LoseCircuits takes a share of the circuits of the trunk group to an exchange out of service, or returns all to service.
// Calls on them are cut. The circuits with the highest CICs are taken, so that the switches at both ends lose the same ones.
func (s *Switch) LoseCircuits(far uint32, share float64, lost bool) {
	s.post(func() {
		size := s.cfg.Circuits[far]
		var cics []uint16
		if lost {
			for cic := size; cic > size-int(share*float64(size)); cic-- {
				cics = append(cics, uint16(cic))
			}
			slices.Sort(cics)
			s.lostCircuits[far] = cics
			for _, cic := range cics {
				s.dropCall(circuitKey{far, cic})
			}
		} else {
			cics = s.lostCircuits[far]
			delete(s.lostCircuits, far)
		}
		s.sendGroupSupervision(far, cics, lost)
	})
}

// sendGroupSupervision sends CGB (blocked) or CGU for hardware failure to the far controller.
func (s *Switch) sendGroupSupervision(far uint32, cics []uint16, blocked bool) {
	assoc := s.associations[far]
	if assoc == nil || len(cics) < 2 {
		return
	}
	msgType := isup.CGU
	if blocked {
		msgType = isup.CGB
	}
	for len(cics) > 0 {
		first := cics[0]
		count := min(isup.MaxRange, len(cics))
		if count == 1 { // a circuit group message covers at least two circuits
			first, count = first-1, 2
		}
		msg := isup.Message{Type: msgType, CIC: first, Supervision: isup.Hardware, Range: byte(count - 1), Status: make([]byte, (count+7)/8)}
		for i := range count {
			if slices.Contains(cics, first+uint16(i)) {
				msg.Status[i/8] |= 1 << (i % 8)
			}
		}
		assoc.sendISUP(s.cfg.PC, far, &msg)
		cics = cics[min(isup.MaxRange, len(cics)):]
	}
}

// CutCalls releases a share of the established calls with cause 41. Calls in transit are not cut.
func (s *Switch) CutCalls(share float64) {
	s.post(func() {
		keys := make([]circuitKey, 0, len(s.calls))
		for key, call := range s.calls {
			if call.state == switchCallAnswered && !call.transit {
				keys = append(keys, key)
			}
		}
		slices.SortFunc(keys, func(a, b circuitKey) int { return int(a.far)<<16 + int(a.cic) - int(b.far)<<16 - int(b.cic) })
		for _, key := range keys {
			if s.rng.Float64() < share {
				s.release(s.calls[key], isup.CauseTemporary)
			}
		}
	})
}

// Degrade makes the processor slower over span, up to times as slow, and then stops the switch.
func (s *Switch) Degrade(span time.Duration, times float64) {
	s.post(func() {
		start, generation := time.Now(), s.generation
		const step = 200 * time.Millisecond
		var tick func()
		tick = func() {
			if s.generation != generation {
				return
			}
			progress := float64(time.Since(start)) / float64(span)
			if progress >= 1 {
				s.stop()
				return
			}
			s.proc.slowdown = 1 + progress*progress*(times-1)
			s.after(step, tick)
		}
		tick()
	})
}

// LimitLines limits the lines in use of a number; 0 removes the limit.
func (s *Switch) LimitLines(number string, lines int) {
	s.post(func() {
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

// Established returns the number of established calls that end at this switch (calls in transit not counted).
func (s *Switch) Established() int {
	result := make(chan int, 1)
	s.post(func() {
		count := 0
		for _, call := range s.calls {
			if call.state == switchCallAnswered && !call.transit {
				count++
			}
		}
		result <- count
	})
	select {
	case count := <-result:
		return count
	case <-s.quit:
		return 0
	}
}

// capacityShare is the share of its full capacity that the processor has now, less than 1 after a cold start.
func (s *Switch) capacityShare() float64 {
	if !s.cold {
		return 1
	}
	progress := float64(time.Since(s.started)) / float64(s.cfg.WarmUp)
	if progress >= 1 {
		return 1
	}
	return s.cfg.ColdShare + (1-s.cfg.ColdShare)*progress
}

// workTime is the time that the work of a number of set-ups takes at the current capacity.
func (s *Switch) workTime(setUps float64) time.Duration {
	if s.cfg.Rate <= 0 {
		return 0
	}
	return time.Duration(setUps / s.cfg.Rate / s.capacityShare() * float64(time.Second))
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

// serve runs the signalling gateway side of the association with one controller until the connection ends.
func (s *Switch) serve(conn net.Conn) {
	defer s.wg.Done()
	// The controller's exchange is not known before its ASPAC. Until then the path within this exchange is used.
	assoc := newAssociation(s.net, conn, s.cfg.PC, s.cfg.PC)
	defer assoc.close()
	stop := make(chan struct{})
	defer close(stop)
	s.wg.Add(2)
	go func() {
		defer s.wg.Done()
		select {
		case <-s.quit:
			assoc.close()
		case <-stop:
		}
	}()
	go func() { defer s.wg.Done(); assoc.writeLoop() }()
	var pc uint32
	active := false
	assoc.readLoop(func(frame []byte) bool {
		var msg m3ua.Message
		if err := m3ua.Decode(frame, &msg); err != nil {
			return true
		}
		switch msg.Kind {
		case m3ua.ASPUP:
			pc = msg.ASPID
			assoc.sendMessage(&m3ua.Message{Kind: m3ua.ASPUPAck})
		case m3ua.ASPAC:
			if active {
				return true
			}
			active = true
			assoc.controllerExchange.Store(pc)
			kind := record.FarLink
			if pc == s.cfg.PC {
				kind = record.OwnLink
			}
			assoc.recordOpened(s.net.Log.Open(kind, pc, s.cfg.PC))
			assoc.sendMessage(&m3ua.Message{Kind: m3ua.ASPACAck, TrafficMode: msg.TrafficMode, HasRoutingContext: true, RoutingContext: msg.RoutingContext})
			s.post(func() { s.associationActive(pc, assoc) })
		case m3ua.BEAT:
			assoc.sendMessage(&m3ua.Message{Kind: m3ua.BEATAck, Heartbeat: msg.Heartbeat})
		case m3ua.ASPDN:
			assoc.sendMessage(&m3ua.Message{Kind: m3ua.ASPDNAck})
		case m3ua.DATA, m3ua.DAUD:
			s.post(func() { s.handleFrame(pc, assoc, frame) })
		}
		return true
	})
	s.post(func() {
		if s.associations[pc] == assoc {
			delete(s.associations, pc)
			if s.ownAssociation == assoc {
				s.ownAssociation = nil
			}
		}
	})
}

// associationActive registers an active association, which replaces an earlier one of the same controller.
func (s *Switch) associationActive(pc uint32, assoc *association) {
	if !s.up {
		assoc.close()
		return
	}
	if previous := s.associations[pc]; previous != nil && previous != assoc {
		previous.close()
	}
	s.associations[pc] = assoc
	if pc == s.cfg.PC {
		s.ownAssociation = assoc
	} else if lostCircuits := s.lostCircuits[pc]; len(lostCircuits) > 0 {
		s.sendGroupSupervision(pc, lostCircuits, true)
	}
}

// handleFrame handles a DATA or DAUD frame of a controller.
func (s *Switch) handleFrame(pc uint32, assoc *association, frame []byte) {
	var msg m3ua.Message
	if !s.up || s.associations[pc] != assoc || m3ua.Decode(frame, &msg) != nil {
		return
	}
	if msg.Kind == m3ua.DAUD {
		for _, affected := range msg.Affected {
			kind := s.exchangeStatus[affected.PC]
			if kind == 0 {
				kind = m3ua.DAVA
			}
			assoc.sendMessage(&m3ua.Message{Kind: kind, Affected: []m3ua.Affected{affected}})
		}
		return
	}
	var isupMsg isup.Message
	if isup.Decode(msg.Data.User, &isupMsg) != nil {
		return
	}
	if pc == s.cfg.PC {
		s.handleFromOwn(msg.Data.DPC, &isupMsg)
	} else {
		s.handleFromFar(pc, assoc, &isupMsg)
	}
}

// sendToOwn sends a message about a circuit to this exchange's controller, with the far exchange as its origin.
func (s *Switch) sendToOwn(far uint32, msg *isup.Message) {
	if s.ownAssociation != nil {
		s.ownAssociation.sendISUP(far, s.cfg.PC, msg)
	}
}

// sendToFar sends a message about a circuit to the controller of the far exchange.
func (s *Switch) sendToFar(far uint32, msg *isup.Message) {
	if assoc := s.associations[far]; assoc != nil {
		assoc.sendISUP(s.cfg.PC, far, msg)
	}
}

// servesNumber reports whether a number belongs to a subscriber of this switch.
func (s *Switch) servesNumber(number string) bool {
	return slices.ContainsFunc(s.cfg.Prefixes, func(p string) bool { return strings.HasPrefix(number, p) })
}

// clone returns a copy of a decoded message that shares no slices with it.
func clone(msg *isup.Message) isup.Message {
	c := *msg
	c.Optional = slices.Clone(msg.Optional)
	for i := range c.Optional {
		c.Optional[i].Value = slices.Clone(c.Optional[i].Value)
	}
	c.Compat, c.Status, c.Circuits = slices.Clone(msg.Compat), slices.Clone(msg.Status), slices.Clone(msg.Circuits)
	return c
}

// handleFromFar handles a message of the controller of another exchange (the far one).
func (s *Switch) handleFromFar(far uint32, assoc *association, msg *isup.Message) {
	key := circuitKey{far, msg.CIC}
	switch msg.Type {
	case isup.IAM:
		s.handleIAM(key, msg)
	case isup.REL:
		call := s.calls[key]
		if call == nil {
			s.sendToFar(far, &isup.Message{Type: isup.RLC, CIC: msg.CIC})
			return
		}
		call.cleared = true
		rel := clone(msg)
		s.proc.add(job{workTime: s.workTime(s.cfg.FollowWork), done: func() {
			if s.calls[key] == call {
				s.sendToOwn(far, &rel)
				if call.transit && call.state != switchCallQueued && s.ownAssociation != nil { // RLC is sent after this exchange's controller has released its part of the call
					call.awaitsOwnRLC = true
					s.after(4*time.Second, func() { s.finishTransitRelease(call) })
					return
				}
				s.dropCall(key)
			}
			s.sendToFar(far, &isup.Message{Type: isup.RLC, CIC: key.cic})
		}})
	case isup.RLC:
		if call := s.calls[key]; call != nil && call.state == switchCallReleasing {
			s.dropCall(key)
			s.sendToOwn(far, &isup.Message{Type: isup.RLC, CIC: key.cic})
		}
	case isup.RSC:
		s.proc.add(job{done: func() {
			s.dropCall(key)
			s.sendToOwn(far, &isup.Message{Type: isup.RSC, CIC: key.cic})
			s.sendToFar(far, &isup.Message{Type: isup.RLC, CIC: key.cic})
		}})
	case isup.GRS:
		grs := clone(msg)
		s.proc.add(job{done: func() {
			for i := 0; i <= int(grs.Range); i++ {
				s.dropCall(circuitKey{far, grs.CIC + uint16(i)})
			}
			s.sendToOwn(far, &grs)
			s.sendToFar(far, &isup.Message{Type: isup.GRA, CIC: grs.CIC, Range: grs.Range, Status: make([]byte, (int(grs.Range)+8)/8)})
		}})
	case isup.CQM:
		query := clone(msg)
		s.proc.add(job{done: func() { s.sendToFar(far, s.circuitQueryReply(far, &query)) }})
	case isup.BLO, isup.UBL, isup.CGB, isup.CGU:
		ack := clone(msg)
		ack.Type = map[isup.Type]isup.Type{isup.BLO: isup.BLA, isup.UBL: isup.UBA, isup.CGB: isup.CGBA, isup.CGU: isup.CGUA}[msg.Type]
		s.sendToOwn(far, msg)
		s.sendToFar(far, &ack)
	}
}

// circuitQueryReply returns the CQR for a CQM: circuits that hold a call of the far exchange are reported as incoming.
func (s *Switch) circuitQueryReply(far uint32, query *isup.Message) *isup.Message {
	states := make([]byte, int(query.Range)+1)
	for i := range states {
		states[i] = isup.CircuitIdle
		if s.calls[circuitKey{far, query.CIC + uint16(i)}] != nil {
			states[i] = isup.CircuitIncoming
		}
	}
	return &isup.Message{Type: isup.CQR, CIC: query.CIC, Range: query.Range, Circuits: states}
}

// handleIAM handles a new set-up.
func (s *Switch) handleIAM(key circuitKey, msg *isup.Message) {
	if int(key.cic) > s.cfg.Circuits[key.far] || key.cic == 0 || slices.Contains(s.lostCircuits[key.far], key.cic) {
		s.sendToFar(key.far, &isup.Message{Type: isup.REL, CIC: key.cic, Cause: isup.CauseCircuitNotAvailable, Location: isup.LocationNetwork})
		return
	}
	if existing := s.calls[key]; existing != nil && existing.state != switchCallReleasing {
		if existing.iam.Ref == msg.Ref {
			return
		}
		s.dropCall(key)
	}
	call := &switchCall{key: key, iam: clone(msg), transit: !s.servesNumber(msg.Called.String())}
	s.calls[key] = call
	if s.cold && s.capacityShare() < 1 && s.crashedByLoad() {
		return
	}
	if !call.transit { // this exchange's controller must learn at once that the circuit is seized
		s.sendToOwn(key.far, msg)
	}
	location := isup.LocationNetwork
	if call.transit {
		location = isup.LocationTransit
	}
	if s.cfg.FullAfter > 0 && s.proc.setUpDelay() > s.cfg.FullAfter {
		s.proc.add(job{workTime: s.workTime(s.cfg.RejectWork), done: func() {
			if s.calls[key] == call && !call.cleared {
				s.releaseAt(call, isup.CauseCongestion, location)
			}
		}})
		return
	}
	if kind, hit := s.drawCallFault(); hit {
		switch kind {
		case CallFaultFull:
			s.releaseAt(call, isup.CauseCongestion, location)
		case CallFaultReleased:
			s.releaseAt(call, isup.CauseTemporary, location)
		case CallFaultReset:
			s.dropCall(key)
			s.sendToOwn(key.far, &isup.Message{Type: isup.RSC, CIC: key.cic})
			s.sendToFar(key.far, &isup.Message{Type: isup.RSC, CIC: key.cic})
		}
		return // CallFaultSilent: the call waits for its caller's REL
	}
	if s.cfg.EarlyACM && !call.transit {
		s.sendToFar(key.far, &isup.Message{Type: isup.ACM, CIC: key.cic, BackwardIndicators: 0x0416})
	}
	s.proc.add(job{workTime: s.workTime(1) * time.Duration(85+s.rng.IntN(31)) / 100, setUp: true,
		extraWork: func(waited time.Duration) time.Duration {
			if call.cleared && s.cfg.DropAbandoned {
				return -s.workTime(1)
			}
			extraWork := time.Duration(0)
			for gap := s.cfg.Repeat; gap > 0 && waited > gap; waited, gap = waited-gap, gap*2 {
				extraWork += s.workTime(s.cfg.RepeatWork)
			}
			return extraWork
		},
		done: func() {
			if s.calls[key] == call && !call.cleared {
				s.setUp(call)
			}
		}})
}

// crashedByLoad counts a set-up at a cold processor and reports whether the switch crashes from it.
func (s *Switch) crashedByLoad() bool {
	now := time.Now()
	s.recentSetUps = append(s.recentSetUps, now)
	for len(s.recentSetUps) > 0 && now.Sub(s.recentSetUps[0]) > s.cfg.CrashSpan {
		s.recentSetUps = s.recentSetUps[1:]
	}
	limit := s.cfg.CrashMultiple * s.cfg.Rate * s.capacityShare() * s.cfg.CrashSpan.Seconds()
	if s.cfg.CrashMultiple > 0 && float64(len(s.recentSetUps)) > limit {
		s.crashed = true
		s.stop()
		return true
	}
	return false
}

// setUp completes the set-up of a call whose work is done: to a subscriber or, for transit, to this exchange's controller.
func (s *Switch) setUp(call *switchCall) {
	call.state = switchCallProceeding
	if call.transit {
		if s.ownAssociation == nil {
			s.releaseAt(call, isup.CauseDestinationOutOfOrder, isup.LocationTransit)
			return
		}
		s.sendToOwn(call.key.far, &call.iam)
		return
	}
	number := call.iam.Called.String()
	if limit, limited := s.cfg.Lines[number]; limited && s.linesInUse[number] >= limit {
		s.release(call, isup.CauseUserBusy)
		return
	}
	ringing, known := s.cfg.Ringing[call.iam.Category]
	if !known {
		ringing.Median = s.cfg.Ring
	}
	party := calledParty{}
	if known || ringing.Median > 0 {
		party = ringing.draw(s.rng)
	}
	if party.busy {
		s.release(call, isup.CauseUserBusy)
		return
	}
	call.calledNumber = number
	s.linesInUse[number]++
	if !s.cfg.EarlyACM {
		s.sendToFar(call.key.far, &isup.Message{Type: isup.ACM, CIC: call.key.cic, BackwardIndicators: 0x0416})
	}
	if party.noAnswer {
		return
	}
	answer := func() {
		if s.calls[call.key] != call || call.cleared {
			return
		}
		s.proc.add(job{workTime: s.workTime(s.cfg.FollowWork), done: func() {
			if s.calls[call.key] != call || call.cleared {
				return
			}
			call.state = switchCallAnswered
			s.sendToFar(call.key.far, &isup.Message{Type: isup.ANM, CIC: call.key.cic})
			if s.rng.Float64() < s.cfg.HangUp {
				s.after(time.Duration(s.rng.ExpFloat64()*float64(s.cfg.Hold)), func() {
					if s.calls[call.key] == call && call.state == switchCallAnswered && !call.cleared {
						s.release(call, isup.CauseNormal)
					}
				})
			}
		}})
	}
	if party.after > 0 {
		s.after(party.after, answer)
	} else {
		answer()
	}
}

// release releases a call with location "network".
func (s *Switch) release(call *switchCall, cause isup.Cause) {
	s.releaseAt(call, cause, isup.LocationNetwork)
}

// releaseAt sends REL with a location to the far exchange. The circuit is held until RLC arrives, or for 4 s.
func (s *Switch) releaseAt(call *switchCall, cause isup.Cause, location isup.Location) {
	call.state = switchCallReleasing
	s.freeLine(call)
	s.sendToFar(call.key.far, &isup.Message{Type: isup.REL, CIC: call.key.cic, Cause: cause, Location: location})
	s.after(4*time.Second, func() {
		if s.calls[call.key] == call {
			s.dropCall(call.key)
			s.sendToOwn(call.key.far, &isup.Message{Type: isup.RLC, CIC: call.key.cic})
		}
	})
}

// finishTransitRelease ends a call in transit that its caller has released. It is called for the RLC of this exchange's
// controller, and after 4 s without one.
func (s *Switch) finishTransitRelease(call *switchCall) {
	if s.calls[call.key] == call && call.awaitsOwnRLC {
		s.dropCall(call.key)
		s.sendToFar(call.key.far, &isup.Message{Type: isup.RLC, CIC: call.key.cic})
	}
}

// freeLine frees the called number's line.
func (s *Switch) freeLine(call *switchCall) {
	if call.calledNumber != "" {
		s.linesInUse[call.calledNumber]--
		call.calledNumber = ""
	}
}

// dropCall removes a call from the table, without a message.
func (s *Switch) dropCall(key circuitKey) {
	if call := s.calls[key]; call != nil {
		call.cleared = true
		s.freeLine(call)
		delete(s.calls, key)
	}
}

// handleFromOwn handles a message of this exchange's controller about an incoming call; messages about calls in transit are
// passed to the far exchange.
func (s *Switch) handleFromOwn(far uint32, msg *isup.Message) {
	key := circuitKey{far, msg.CIC}
	call := s.calls[key]
	switch msg.Type {
	case isup.RSC: // dual seizure: this exchange's controller drops the incoming call
		s.dropCall(key)
		s.sendToOwn(far, &isup.Message{Type: isup.RLC, CIC: msg.CIC})
	case isup.CQM:
		s.sendToOwn(far, s.circuitQueryReply(far, msg))
	case isup.RLC:
		if call != nil {
			s.finishTransitRelease(call)
		}
	case isup.ACM, isup.CPG, isup.ANM, isup.CON:
		if call == nil || !call.transit || call.cleared {
			return
		}
		back := clone(msg)
		s.proc.add(job{workTime: s.workTime(s.cfg.FollowWork), done: func() {
			if s.calls[key] != call || call.cleared {
				return
			}
			if back.Type == isup.ANM || back.Type == isup.CON {
				call.state = switchCallAnswered
			}
			s.sendToFar(far, &back)
		}})
	case isup.REL:
		if call == nil || !call.transit || call.cleared {
			s.sendToOwn(far, &isup.Message{Type: isup.RLC, CIC: msg.CIC})
			return
		}
		rel := clone(msg)
		s.proc.add(job{workTime: s.workTime(s.cfg.FollowWork), done: func() {
			if s.calls[key] == call && !call.cleared && call.state != switchCallReleasing {
				s.releaseAt(call, rel.Cause, rel.Location)
			}
		}})
	}
}

func (s *Switch) String() string { return fmt.Sprintf("switch %d", s.cfg.PC) }
