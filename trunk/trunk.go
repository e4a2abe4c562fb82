// Package trunk tracks the circuits of one trunk group as seen from one end: seizure, dual seizure, release, blocking,
// reset and circuit group query according to Q.764. It does no I/O: calls and messages go in, Actions come out.
//
// The two ends of a group share its circuits. Seizures by the own end are made here. Seizures by the far end are reported
// by the own switch, which passes on the messages that it receives on a circuit (see docs/design/controller.md).
package trunk

import (
	"fmt"
	"time"

	"github.com/umbergauge/umbergauge/isup"
)

// Timers are the circuit timers, named as in Q.764, annex A. Zero values are replaced by the defaults in brackets.
type Timers struct {
	T1  time.Duration // REL is retransmitted if no RLC has come (15 s)
	T5  time.Duration // the circuit is reset if no RLC has come (5 min)
	T16 time.Duration // RSC is retransmitted if it is not answered (15 s)
	T28 time.Duration // CQM is retransmitted if no CQR has come (10 s)
	// SignallingHold is how long established calls are kept after signalling to the far end is lost (10 s).
	SignallingHold time.Duration
}

func (t Timers) withDefaults() Timers {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&t.T1, 15*time.Second)
	setDefault(&t.T5, 5*time.Minute)
	setDefault(&t.T16, 15*time.Second)
	setDefault(&t.T28, 10*time.Second)
	setDefault(&t.SignallingHold, 10*time.Second)
	return t
}

// State is the state of a circuit as seen from this end.
type State uint8

// The states of a circuit.
const (
	Idle      State = iota
	Outgoing        // seized here
	Incoming        // seized by the far end
	Releasing       // REL sent, RLC awaited
	Resetting       // RSC sent, its answer awaited
)

func (s State) String() string {
	return [...]string{"idle", "outgoing", "incoming", "releasing", "resetting"}[s]
}

// Reason is why a call lost its circuit.
type Reason uint8

// The reasons for CircuitLost.
const (
	DualSeizure     Reason = iota // dual seizure of a circuit that the far end controls
	CircuitReset                  // RSC or GRS was received, or the far end does not know the call
	HardwareBlocked               // the circuit was blocked because of a hardware failure
	SignallingLost                // signalling to the far end was lost
)

func (r Reason) String() string {
	return [...]string{"dual seizure", "circuit reset", "hardware failure", "signalling lost"}[r]
}

// Action is something that the owner of a Group has to do for it: a SendToFar, SendToOwn, CircuitLost or StartTimer.
type Action interface{ isAction() }

type (
	// SendToFar sends a message to the far switch.
	SendToFar struct{ Msg isup.Message }
	// SendToOwn sends a message about the group's circuits to the own switch.
	SendToOwn struct{ Msg isup.Message }
	// CircuitLost reports that a call has lost its circuit. The group has already updated the circuit.
	CircuitLost struct {
		Call       uint64
		CIC        uint16
		SeizedHere bool // the circuit was seized by the own end
		Reason     Reason
	}
	// StartTimer asks for a call of Group.TimerExpired with TimerID after the given time.
	StartTimer struct {
		After   time.Duration
		TimerID TimerID
	}
)

func (SendToFar) isAction()   {}
func (SendToOwn) isAction()   {}
func (CircuitLost) isAction() {}
func (StartTimer) isAction()  {}

// TimerID identifies a timer of a StartTimer action.
type TimerID struct {
	CIC  uint16 // 0: the whole group
	Kind timerKind
	Gen  uint32 // generation of the circuit or group when the timer was started; another one makes the timer stale
}

type timerKind uint8

const (
	timerRelease timerKind = iota // T1
	timerReset                    // T16
	timerQuery                    // T28
	timerHold                     // SignallingHold
)

type circuit struct {
	state           State
	answered        bool
	blockedByFar    bool // by BLO or CGB of the far end
	hardwareBlocked bool // by CGB with the hardware failure indication
	blockedHere     bool // by the operators of this end
	inIdleList      bool
	next, prev      uint16 // in the idle list; 0: none
	gen             uint32 // counts changes of state, so that stale timers are recognised
	retransmissions int
	call            uint64
}

// Group is one trunk group. It is not safe for concurrent use.
type Group struct {
	Actions []Action // pending actions; the owner carries them out and truncates the slice

	timers   Timers
	self     uint32
	far      uint32
	circuits []circuit // by CIC, from 1
	// Idle lists of the circuits controlled by the own end, longest idle first, and of those controlled by the far end,
	// most recently idle first. The two ends thereby select the same circuit only when hardly any other is idle
	// (Q.764, 2.9.1.3, method 2).
	head, tail [2]uint16
	free       int
	inService  int // circuits that are not blocked
	inSync     bool
	gen        uint32         // counts calls of Down and Sync, so that stale timers of the group are recognised
	queries    map[uint16]int // outstanding CQM: first circuit to number of circuits

	// Counters shown to operators. Leaks counts circuits that were busy or idle at one end only.
	DualSeizures, Resets, Leaks int
}

// Indexes of the two idle lists.
const (
	ownControlled = iota
	farControlled
)

// New returns a group of circuits 1 to size between the point codes self and far. Circuits can be seized once Sync has
// been answered.
func New(timers Timers, self, far uint32, size int) (*Group, error) {
	if size < 1 || size > isup.MaxCIC {
		return nil, fmt.Errorf("trunk: invalid group size: %d circuits, want 1 to %d", size, isup.MaxCIC)
	}
	g := &Group{timers: timers.withDefaults(), self: self, far: far, circuits: make([]circuit, size+1), queries: map[uint16]int{}}
	g.inService = size
	for cic := 1; cic <= size; cic++ {
		g.addIdle(uint16(cic))
	}
	return g, nil
}

// controlledHere reports whether the own end controls a circuit: the exchange with the higher point code controls the even
// circuits, the other one the odd circuits (Q.764, 2.9.1.4).
func (g *Group) controlledHere(cic uint16) bool { return (g.self > g.far) == (cic%2 == 0) }

func (g *Group) idleListOf(cic uint16) int {
	if g.controlledHere(cic) {
		return ownControlled
	}
	return farControlled
}

// addIdle puts a circuit into its idle list if it may be seized.
func (g *Group) addIdle(cic uint16) {
	c := &g.circuits[cic]
	if c.inIdleList || c.state != Idle || c.blockedByFar || c.blockedHere || c.hardwareBlocked {
		return
	}
	c.inIdleList, c.next, c.prev = true, 0, 0
	g.free++
	list := g.idleListOf(cic)
	if list == ownControlled {
		if c.prev = g.tail[list]; c.prev != 0 {
			g.circuits[c.prev].next = cic
		} else {
			g.head[list] = cic
		}
		g.tail[list] = cic
		return
	}
	if c.next = g.head[list]; c.next != 0 {
		g.circuits[c.next].prev = cic
	} else {
		g.tail[list] = cic
	}
	g.head[list] = cic
}

func (g *Group) removeIdle(cic uint16) {
	c := &g.circuits[cic]
	if !c.inIdleList {
		return
	}
	list := g.idleListOf(cic)
	if c.prev != 0 {
		g.circuits[c.prev].next = c.next
	} else {
		g.head[list] = c.next
	}
	if c.next != 0 {
		g.circuits[c.next].prev = c.prev
	} else {
		g.tail[list] = c.prev
	}
	c.inIdleList = false
	g.free--
}

func (g *Group) setState(cic uint16, s State, call uint64) {
	c := &g.circuits[cic]
	c.state, c.call, c.answered, c.retransmissions = s, call, false, 0
	c.gen++
	if s == Idle {
		g.addIdle(cic)
	} else {
		g.removeIdle(cic)
	}
}

func (g *Group) emit(a Action) { g.Actions = append(g.Actions, a) }

func (g *Group) sendFar(t isup.Type, cic uint16) { g.emit(SendToFar{isup.Message{Type: t, CIC: cic}}) }

func (g *Group) startTimer(after time.Duration, cic uint16, kind timerKind) {
	gen := g.gen
	if cic != 0 {
		gen = g.circuits[cic].gen
	}
	g.emit(StartTimer{after, TimerID{cic, kind, gen}})
}

func (g *Group) hasCircuit(cic uint16) bool { return cic >= 1 && int(cic) < len(g.circuits) }

// Far returns the point code of the far end.
func (g *Group) Far() uint32 { return g.far }

// Free returns the number of circuits that a call can seize now.
func (g *Group) Free() int {
	if !g.inSync {
		return 0
	}
	return g.free
}

// Size returns the number of circuits in service, that is, not blocked.
func (g *Group) Size() int { return g.inService }

// InSync reports whether the far switch has answered all circuit queries since signalling came up.
func (g *Group) InSync() bool { return g.inSync }

// Circuit returns the state of a circuit and the call on it.
func (g *Group) Circuit(cic uint16) (State, uint64) {
	if !g.hasCircuit(cic) {
		return Idle, 0
	}
	return g.circuits[cic].state, g.circuits[cic].call
}

// Count returns the number of circuits in a state.
func (g *Group) Count(s State) int {
	n := 0
	for i := range g.circuits[1:] {
		if g.circuits[i+1].state == s {
			n++
		}
	}
	return n
}

// Seize seizes an idle circuit for a call; ok is false if there is none.
func (g *Group) Seize(call uint64) (cic uint16, ok bool) {
	if !g.inSync {
		return 0, false
	}
	if cic = g.head[ownControlled]; cic == 0 {
		cic = g.head[farControlled]
	}
	if cic == 0 {
		return 0, false
	}
	g.setState(cic, Outgoing, call)
	return cic, true
}

// CancelSeizure frees a circuit that was seized for an IAM which was not sent.
func (g *Group) CancelSeizure(cic uint16) { g.setState(cic, Idle, 0) }

// Answered records that the call on a circuit seized here is established.
func (g *Group) Answered(cic uint16) { g.circuits[cic].answered = true }

// Release ends the call on a circuit seized here: it sends REL, and the circuit stays busy until RLC is received.
func (g *Group) Release(cic uint16, cause isup.Cause, loc isup.Location) {
	g.setState(cic, Releasing, 0)
	g.emit(SendToFar{isup.Message{Type: isup.REL, CIC: cic, Cause: cause, Location: loc}})
	g.startTimer(g.timers.T1, cic, timerRelease)
}

func (g *Group) sendREL(cic uint16, cause isup.Cause) {
	g.emit(SendToFar{isup.Message{Type: isup.REL, CIC: cic, Cause: cause, Location: isup.LocationNetwork}})
}

// SeizureResult is the outcome of a seizure by the far end.
type SeizureResult uint8

// The outcomes of FarSeized.
const (
	SeizureAccepted    SeizureResult = iota // the far end's call has the circuit
	SeizureDisregarded                      // dual seizure of a circuit that the own end controls (Q.764, 2.9.1.4)
	SeizureInvalid                          // the circuit does not exist
)

// FarSeized handles an IAM of the far end that the own switch has passed on.
func (g *Group) FarSeized(cic uint16, call uint64) SeizureResult {
	if !g.hasCircuit(cic) {
		return SeizureInvalid
	}
	c := &g.circuits[cic]
	switch c.state {
	case Outgoing:
		// Dual seizure. The call of the end that controls the circuit continues, the other end yields (Q.764, 2.9.1.4),
		// even if its call has been answered already: the notification of the far end's seizure may arrive late.
		g.DualSeizures++
		if g.controlledHere(cic) {
			g.emit(SendToOwn{isup.Message{Type: isup.RSC, CIC: cic}})
			return SeizureDisregarded
		}
		// The far switch has received our IAM, and its controller may not have noticed the dual seizure. The REL ends
		// our call there, so that a second attempt of the same call cannot overlap with this one.
		g.sendREL(cic, isup.CauseTemporary)
		g.emit(CircuitLost{c.call, cic, true, DualSeizure})
		g.setState(cic, Incoming, call)
		return SeizureAccepted
	case Incoming: // the far end has released its previous call on the circuit, and that notification was lost
		g.reportLost(cic, CircuitReset)
		g.setState(cic, Incoming, call)
		return SeizureAccepted
	default:
		// The far end considers the circuit idle only after it has received our release or reset, so the RLC that we
		// are waiting for is lost or still in transit.
		g.setState(cic, Incoming, call)
		return SeizureAccepted
	}
}

// FarReleased records that the far end's call on a circuit has ended, as reported by the own switch.
func (g *Group) FarReleased(cic uint16) {
	if g.hasCircuit(cic) && g.circuits[cic].state == Incoming {
		g.setState(cic, Idle, 0)
	}
}

// reportLost emits CircuitLost for the call on a circuit, if there is one.
func (g *Group) reportLost(cic uint16, reason Reason) {
	if c := &g.circuits[cic]; c.call != 0 && (c.state == Outgoing || c.state == Incoming) {
		g.emit(CircuitLost{c.call, cic, c.state == Outgoing, reason})
		c.call = 0
	}
}

// resetCircuit sends RSC for a circuit, which stays busy until RLC is received.
func (g *Group) resetCircuit(cic uint16) {
	g.setState(cic, Resetting, 0)
	g.sendFar(isup.RSC, cic)
	g.startTimer(g.timers.T16, cic, timerReset)
}

// FromFar handles a message of the far switch about circuits: RLC, REL, circuit supervision, and the responses to a set-up
// (ACM, CPG, ANM, CON) on a circuit that carries no call of the owner. Responses to its own calls are handled by the owner.
func (g *Group) FromFar(m *isup.Message) {
	if !g.hasCircuit(m.CIC) && !isGroupMessage(m.Type) {
		return
	}
	c := &g.circuits[0] // never in use; the range of a group message may begin or end outside the group's circuits
	if g.hasCircuit(m.CIC) {
		c = &g.circuits[m.CIC]
	}
	switch m.Type {
	case isup.REL: // of a call that is unknown here, or crossing our own REL
		g.sendFar(isup.RLC, m.CIC)
		if c.state == Outgoing {
			g.setState(m.CIC, Idle, 0)
		}
	case isup.RLC:
		if c.state == Releasing || c.state == Resetting {
			g.setState(m.CIC, Idle, 0)
		}
	case isup.ACM, isup.CPG, isup.ANM, isup.CON:
		if c.state == Idle { // the far switch has a call that is unknown here (Q.764, 2.9.5.1 b)
			g.Leaks++
			g.resetCircuit(m.CIC)
		}
	case isup.BLO:
		g.setBlocked(m.CIC, true, false)
		g.sendFar(isup.BLA, m.CIC)
	case isup.UBL:
		g.setBlocked(m.CIC, false, false)
		g.sendFar(isup.UBA, m.CIC)
	case isup.CGB, isup.CGU:
		g.forEachMarked(m, func(cic uint16) { g.setBlocked(cic, m.Type == isup.CGB, m.Supervision == isup.Hardware) })
		ack := *m
		ack.Type, ack.Optional = isup.CGBA, nil
		if m.Type == isup.CGU {
			ack.Type = isup.CGUA
		}
		ack.Status = append([]byte(nil), m.Status...)
		g.emit(SendToFar{ack})
	case isup.CQR:
		g.queryResponse(m, true)
	case isup.GRA:
		for i := 0; i <= int(m.Range); i++ {
			if cic := m.CIC + uint16(i); g.hasCircuit(cic) && g.circuits[cic].state == Resetting {
				g.setState(cic, Idle, 0)
			}
		}
	case isup.RSC: // the far switch has lost its state of our call
		g.Resets++
		g.reportLost(m.CIC, CircuitReset)
		if c.state != Incoming {
			g.setState(m.CIC, Idle, 0)
		}
		g.sendFar(isup.RLC, m.CIC)
	case isup.GRS:
		for i := 0; i <= int(m.Range); i++ {
			if cic := m.CIC + uint16(i); g.hasCircuit(cic) && g.circuits[cic].state != Incoming {
				g.reportLost(cic, CircuitReset)
				g.setState(cic, Idle, 0)
			}
		}
		g.emit(SendToFar{isup.Message{Type: isup.GRA, CIC: m.CIC, Range: m.Range, Status: make([]byte, (m.Range+8)/8)}})
	}
}

// isGroupMessage reports whether messages of a type apply to a range of circuits.
func isGroupMessage(t isup.Type) bool {
	switch t {
	case isup.GRS, isup.GRA, isup.CGB, isup.CGU, isup.CGBA, isup.CGUA, isup.CQM, isup.CQR:
		return true
	}
	return false
}

// FromOwn handles a message of the far controller that the own switch has passed on, or the own switch's response to a
// query. The own switch has already acknowledged messages of the far controller.
func (g *Group) FromOwn(m *isup.Message) {
	if !g.hasCircuit(m.CIC) && !isGroupMessage(m.Type) {
		return
	}
	switch m.Type {
	case isup.REL:
		// The own switch answers the REL of a call that terminates at it, but not that of a transit call, whose RLC is
		// sent here. The far end must not seize the circuit again before this RLC, or a response of ours that is still
		// in transit would be taken for one to its next call.
		if c := &g.circuits[m.CIC]; c.state == Incoming && c.call != 0 || c.state == Idle {
			g.emit(SendToOwn{isup.Message{Type: isup.RLC, CIC: m.CIC}})
		}
		g.FarReleased(m.CIC)
	case isup.RLC:
		g.FarReleased(m.CIC)
	case isup.RSC:
		g.resetByFar(m.CIC)
	case isup.GRS:
		for i := 0; i <= int(m.Range); i++ {
			if cic := m.CIC + uint16(i); g.hasCircuit(cic) {
				g.resetByFar(cic)
			}
		}
	case isup.BLO:
		g.setBlocked(m.CIC, true, false)
	case isup.UBL:
		g.setBlocked(m.CIC, false, false)
	case isup.CGB, isup.CGU:
		g.forEachMarked(m, func(cic uint16) {
			hardware := m.Supervision == isup.Hardware
			if hardware && m.Type == isup.CGB && g.circuits[cic].state == Outgoing {
				// The far switch may not know of the failure: our call there is released before another attempt is made.
				g.reportLost(cic, HardwareBlocked)
				g.Release(cic, isup.CauseTemporary, isup.LocationNetwork)
			}
			g.setBlocked(cic, m.Type == isup.CGB, hardware)
		})
	case isup.CQR:
		g.queryResponse(m, false)
	}
}

// resetByFar handles a reset by the far controller. It ends the call on the circuit, whichever end seized it.
func (g *Group) resetByFar(cic uint16) {
	c := &g.circuits[cic]
	g.Resets++
	switch c.state {
	case Outgoing:
		g.reportLost(cic, CircuitReset)
		g.Release(cic, isup.CauseTemporary, isup.LocationNetwork)
	case Incoming:
		g.reportLost(cic, CircuitReset)
		g.setState(cic, Idle, 0)
	}
}

// forEachMarked calls f for each circuit of the group whose bit is set in the status field of a group message.
func (g *Group) forEachMarked(m *isup.Message, f func(uint16)) {
	for i := 0; i <= int(m.Range); i++ {
		if cic := m.CIC + uint16(i); m.Status[i/8]>>(i%8)&1 == 1 && g.hasCircuit(cic) {
			f(cic)
		}
	}
}

// setBlocked blocks or unblocks a circuit on behalf of the far end. A hardware failure ends the call on it (Q.764, 2.8.2.2).
func (g *Group) setBlocked(cic uint16, blocked, hardware bool) {
	c := &g.circuits[cic]
	wasUsable := g.usable(c)
	if hardware {
		c.hardwareBlocked = blocked
		if blocked && (c.state == Outgoing || c.state == Incoming) {
			g.reportLost(cic, HardwareBlocked)
			g.setState(cic, Idle, 0)
		}
	} else {
		c.blockedByFar = blocked
	}
	g.updateIdleList(cic, wasUsable)
}

// usable reports whether a circuit is in service, that is, blocked by neither end.
func (g *Group) usable(c *circuit) bool {
	return !c.blockedHere && !c.blockedByFar && !c.hardwareBlocked
}

// updateIdleList adjusts the idle list and the number of circuits in service after a change of the blocking of a circuit.
func (g *Group) updateIdleList(cic uint16, wasUsable bool) {
	c := &g.circuits[cic]
	isUsable := g.usable(c)
	if wasUsable && !isUsable {
		g.inService--
		g.removeIdle(cic)
	} else if !wasUsable && isUsable {
		g.inService++
		g.addIdle(cic)
	}
}

// Block blocks or unblocks every circuit from this end, at the request of operators. Calls on the circuits continue.
func (g *Group) Block(blocked bool) {
	for cic := 1; cic < len(g.circuits); cic++ {
		wasUsable := g.usable(&g.circuits[cic])
		g.circuits[cic].blockedHere = blocked
		g.updateIdleList(uint16(cic), wasUsable)
	}
	groupType := isup.CGU
	if blocked {
		groupType = isup.CGB
	}
	for first := 1; first < len(g.circuits); first += isup.MaxRange {
		n := min(isup.MaxRange, len(g.circuits)-first)
		if n == 1 { // a group message covers at least two circuits
			singleType := isup.UBL
			if blocked {
				singleType = isup.BLO
			}
			g.sendFar(singleType, uint16(first))
			continue
		}
		status := make([]byte, (n+7)/8)
		for i := range n {
			status[i/8] |= 1 << (i % 8)
		}
		g.emit(SendToFar{isup.Message{Type: groupType, CIC: uint16(first), Range: byte(n - 1), Status: status}})
	}
}

// Down records that signalling to the far switch is lost. Calls being set up are lost at once, established ones after
// SignallingHold unless Sync is called before. After Sync the far switch's responses decide which calls continue.
func (g *Group) Down() {
	g.inSync, g.gen = false, g.gen+1
	clear(g.queries)
	for cic := uint16(1); g.hasCircuit(cic); cic++ {
		if c := &g.circuits[cic]; c.state == Outgoing && !c.answered {
			g.reportLost(cic, SignallingLost)
		}
	}
	g.startTimer(g.timers.SignallingHold, 0, timerHold)
}

// Sync is called when signalling comes up. It asks the far switch which circuits it considers busy. No
// circuit can be seized until all these queries are answered (Q.764, 2.8.3).
func (g *Group) Sync() {
	g.inSync, g.gen = false, g.gen+1
	clear(g.queries)
	for first := 1; first < len(g.circuits); first += isup.MaxRange {
		n := min(isup.MaxRange, len(g.circuits)-first)
		g.queries[uint16(first)] = n
		g.sendQuery(uint16(first), n)
	}
	g.startTimer(g.timers.T28, 0, timerQuery)
}

func (g *Group) sendQuery(first uint16, n int) {
	g.emit(SendToFar{isup.Message{Type: isup.CQM, CIC: first, Range: byte(n - 1)}})
}

// SyncOwn asks the own switch which circuits the far end has seized.
func (g *Group) SyncOwn() {
	for first := 1; first < len(g.circuits); first += isup.MaxRange {
		n := min(isup.MaxRange, len(g.circuits)-first)
		g.emit(SendToOwn{isup.Message{Type: isup.CQM, CIC: uint16(first), Range: byte(n - 1)}})
	}
}

// queryResponse compares the circuit states that a switch reports with those kept here and resolves the differences.
func (g *Group) queryResponse(m *isup.Message, fromFar bool) {
	if fromFar {
		// Each query takes one response: a second one, to a retransmitted query, may be older than messages sent since.
		n, outstanding := g.queries[m.CIC]
		if !outstanding || len(m.Circuits) < n {
			return
		}
		delete(g.queries, m.CIC)
	}
	for i, s := range m.Circuits {
		cic := m.CIC + uint16(i)
		if !g.hasCircuit(cic) {
			continue
		}
		c := &g.circuits[cic]
		busy := s&isup.CircuitStateMask == isup.CircuitIncoming
		if !fromFar { // at the own switch, circuits seized by the far end are busy
			switch {
			case busy && c.state == Idle:
				g.Leaks++
				g.setState(cic, Incoming, 0)
			case !busy && c.state == Incoming:
				g.Leaks++
				g.reportLost(cic, CircuitReset)
				g.setState(cic, Idle, 0)
			}
			continue
		}
		switch { // at the far switch, circuits seized here are busy
		case busy && (c.state == Idle || c.state == Releasing || c.state == Resetting):
			g.Leaks++
			g.resetCircuit(cic)
		case busy && c.state == Outgoing && c.call == 0: // the call was reported lost while signalling was down
			g.resetCircuit(cic)
		case busy && c.state == Incoming:
			// The far switch still has a call of ours that yielded to one of the far end's. Without the reset each end
			// would wait for the other's release.
			g.Leaks++
			g.sendFar(isup.RSC, cic)
		case !busy && c.state == Outgoing:
			g.Leaks++
			g.reportLost(cic, CircuitReset)
			g.setState(cic, Idle, 0)
		case !busy && (c.state == Releasing || c.state == Resetting):
			g.setState(cic, Idle, 0)
		}
	}
	if fromFar {
		g.inSync = g.inSync || len(g.queries) == 0
	}
}

// KnowsEstablishedCall reports whether a circuit query response of the far switch shows a call that is established here. A
// switch that knows none of these calls has restarted. It must be called before FromFar handles the response.
func (g *Group) KnowsEstablishedCall(m *isup.Message) bool {
	for i, s := range m.Circuits {
		if cic := m.CIC + uint16(i); g.hasCircuit(cic) && g.circuits[cic].state == Outgoing && g.circuits[cic].answered &&
			s&isup.CircuitStateMask == isup.CircuitIncoming {
			return true
		}
	}
	return false
}

// TimerExpired handles the expiry of a timer. A stale timer has no effect.
func (g *Group) TimerExpired(id TimerID) {
	if id.CIC == 0 {
		if id.Gen != g.gen {
			return
		}
		switch id.Kind {
		case timerQuery:
			for first := 1; first < len(g.circuits) && len(g.queries) > 0; first += isup.MaxRange {
				if n, outstanding := g.queries[uint16(first)]; outstanding {
					g.sendQuery(uint16(first), n)
				}
			}
			if len(g.queries) > 0 {
				g.startTimer(g.timers.T28, 0, timerQuery)
			}
		case timerHold:
			for cic := uint16(1); g.hasCircuit(cic); cic++ {
				if g.circuits[cic].state == Outgoing {
					g.reportLost(cic, SignallingLost)
				}
			}
		}
		return
	}
	c := &g.circuits[id.CIC]
	if c.gen != id.Gen {
		return
	}
	switch {
	case id.Kind == timerRelease && c.state == Releasing:
		if c.retransmissions++; time.Duration(c.retransmissions)*g.timers.T1 >= g.timers.T5 {
			g.Resets++
			g.resetCircuit(id.CIC)
			return
		}
		g.sendREL(id.CIC, isup.CauseTimerExpiry)
		g.startTimer(g.timers.T1, id.CIC, timerRelease)
	case id.Kind == timerReset && c.state == Resetting:
		g.sendFar(isup.RSC, id.CIC)
		g.startTimer(g.timers.T16, id.CIC, timerReset)
	}
}
