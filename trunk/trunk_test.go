package trunk

import (
	"flag"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"pgregory.net/rapid"
)

// A fixed seed makes every run check the same cases. For others: go test -args -rapid.seed=N -rapid.checks=N.
func init() { flag.Set("rapid.seed", "1") }

func newGroup(t testing.TB, self, far uint32, n int) *Group {
	t.Helper()
	g, err := New(Timers{}, self, far, n)
	if err != nil {
		t.Fatal(err)
	}
	syncAllIdle(g)
	return g
}

// syncAllIdle calls Sync and answers its queries with all circuits idle.
func syncAllIdle(g *Group) {
	g.Sync()
	for _, a := range g.Actions {
		if q, ok := a.(SendToFar); ok && q.Msg.Type == isup.CQM {
			idle := make([]byte, q.Msg.Range+1)
			for i := range idle {
				idle[i] = isup.CircuitIdle
			}
			g.FromFar(&isup.Message{Type: isup.CQR, CIC: q.Msg.CIC, Range: q.Msg.Range, Circuits: idle})
		}
	}
	g.Actions = nil
}

func takeActions(g *Group) []Action {
	a := g.Actions
	g.Actions = nil
	return a
}

func findAction[T Action](actions []Action) (T, bool) {
	for _, a := range actions {
		if x, ok := a.(T); ok {
			return x, true
		}
	}
	var none T
	return none, false
}

// Guards against ends that select the same idle circuit while others are idle, which would cause needless dual seizures.
func TestEndsSelectDifferentCircuitsWhileOthersAreIdle(t *testing.T) {
	a, b := newGroup(t, 1, 2, 10), newGroup(t, 2, 1, 10)
	seen := map[uint16]bool{}
	for range 5 {
		x, _ := a.Seize(1)
		y, _ := b.Seize(2)
		if seen[x] || seen[y] || x == y {
			t.Fatalf("the ends seized circuits %d and %d, of which one is already in use, while others were idle", x, y)
		}
		seen[x], seen[y] = true, true
		b.FarSeized(x, 9)
		a.FarSeized(y, 9)
	}
	if _, ok := a.Seize(3); ok || a.Free() != 0 {
		t.Error("a circuit of a fully occupied group could be seized")
	}
}

// In a dual seizure the call of the end that controls the circuit continues, and the other end's call loses the circuit.
// Guards against both calls on one circuit, and against the loss of both.
func TestDualSeizureIsWonByControllingEnd(t *testing.T) {
	a, b := newGroup(t, 1, 2, 1), newGroup(t, 2, 1, 1) // circuit 1 is odd, so the end with the lower point code controls it
	x, _ := a.Seize(11)
	y, _ := b.Seize(22)
	if v := a.FarSeized(y, 0); v != SeizureDisregarded {
		t.Errorf("FarSeized at the controlling end returned %v, want SeizureDisregarded", v)
	}
	if m, ok := findAction[SendToOwn](takeActions(a)); !ok || m.Msg.Type != isup.RSC {
		t.Error("no RSC was sent to the own switch for the far end's call")
	}
	if v := b.FarSeized(x, 0); v != SeizureAccepted {
		t.Errorf("FarSeized at the other end returned %v, want SeizureAccepted", v)
	}
	if l, ok := findAction[CircuitLost](takeActions(b)); !ok || l.Call != 22 || l.Reason != DualSeizure || !l.SeizedHere {
		t.Errorf("notification for the yielding call: %+v, want call 22 lost by dual seizure", l)
	}
	if s, c := a.Circuit(1); s != Outgoing || c != 11 {
		t.Errorf("circuit at the controlling end: state %v, call %d; want outgoing and 11", s, c)
	}
	if a.DualSeizures != 1 || b.DualSeizures != 1 {
		t.Error("the dual seizure was not counted at both ends")
	}
}

// REL without RLC is retransmitted until T5, then RSC is sent until the far end answers. Guards against a circuit that
// stays busy permanently after a lost release.
func TestUnansweredReleaseIsFollowedByReset(t *testing.T) {
	g := newGroup(t, 1, 2, 2)
	cic, _ := g.Seize(1)
	g.Release(cic, isup.CauseNormal, 0)
	rel, rsc := 0, 0
	for range 30 {
		acts := takeActions(g)
		for _, a := range acts {
			if m, ok := a.(SendToFar); ok && m.Msg.Type == isup.REL {
				rel++
			} else if ok && m.Msg.Type == isup.RSC {
				rsc++
			}
		}
		timer, ok := findAction[StartTimer](acts)
		if !ok {
			t.Fatal("no timer was started: the circuit would stay busy permanently")
		}
		g.TimerExpired(timer.TimerID)
	}
	if rel != 20 || rsc < 5 { // T5 / T1 = 20, the first transmission included
		t.Errorf("sent %d RELs and %d RSCs, want 20 and at least 5", rel, rsc)
	}
	if g.Free() != 1 {
		t.Errorf("%d circuits free while one is being reset, want 1", g.Free())
	}
	g.FromFar(&isup.Message{Type: isup.RLC, CIC: cic})
	if g.Free() != 2 {
		t.Error("the RLC in answer to RSC did not free the circuit")
	}
}

// Guards against a release timer of a finished call that acts on the next call of the same circuit.
func TestStaleTimerHasNoEffect(t *testing.T) {
	g := newGroup(t, 1, 2, 1)
	cic, _ := g.Seize(1)
	g.Release(cic, isup.CauseNormal, 0)
	timer, _ := findAction[StartTimer](takeActions(g))
	g.FromFar(&isup.Message{Type: isup.RLC, CIC: cic})
	g.Seize(2)
	g.TimerExpired(timer.TimerID)
	if len(g.Actions) != 0 {
		t.Errorf("a timer of the previous call caused actions: %+v", g.Actions)
	}
}

// Circuits blocked for maintenance, for a hardware failure and by the own operators are in service again only when each of
// these blockings is lifted. Only a hardware failure ends calls.
func TestBlockingsAreIndependent(t *testing.T) {
	g := newGroup(t, 1, 2, 8)
	cic, _ := g.Seize(7)
	g.FromFar(&isup.Message{Type: isup.CGB, CIC: 1, Range: 7, Supervision: isup.Maintenance, Status: []byte{0xff}})
	if _, ok := findAction[CircuitLost](g.Actions); ok || g.Free() != 0 || g.Size() != 0 {
		t.Errorf("after maintenance blocking %d circuits are free and %d in service, want 0, or a call was lost", g.Free(), g.Size())
	}
	if m, ok := findAction[SendToFar](takeActions(g)); !ok || m.Msg.Type != isup.CGBA {
		t.Error("CGB was not acknowledged by CGBA")
	}
	g.FromFar(&isup.Message{Type: isup.CGU, CIC: 1, Range: 7, Supervision: isup.Maintenance, Status: []byte{0xff}})
	if g.Free() != 7 || g.Size() != 8 {
		t.Errorf("after unblocking %d circuits are free and %d in service, want 7 and 8", g.Free(), g.Size())
	}
	takeActions(g)
	g.FromFar(&isup.Message{Type: isup.CGB, CIC: 1, Range: 7, Supervision: isup.Hardware, Status: []byte{0xff}})
	if l, ok := findAction[CircuitLost](takeActions(g)); !ok || l.Call != 7 || l.CIC != cic || l.Reason != HardwareBlocked {
		t.Errorf("notification after the hardware failure: %+v, want call 7 lost", l)
	}
	g.Block(true) // a second blocking beside that of the hardware failure
	g.FromFar(&isup.Message{Type: isup.CGU, CIC: 1, Range: 7, Supervision: isup.Hardware, Status: []byte{0xff}})
	if g.Free() != 0 {
		t.Error("unblocking by the far end lifted the blocking by the operators")
	}
	if g.Block(false); g.Free() != 8 {
		t.Errorf("%d circuits free after all unblocking, want 8", g.Free())
	}
	g.FromFar(&isup.Message{Type: isup.BLO, CIC: 3})
	g.FromFar(&isup.Message{Type: isup.BLO, CIC: 3})
	if g.Free() != 7 {
		t.Error("a repeated BLO blocked another circuit")
	}
}

// The range of a group message may begin or end outside the circuits of the group. The message must apply to those that exist,
// and must not cause an access beyond them.
func TestGroupMessageAppliesOnlyToExistingCircuits(t *testing.T) {
	g := newGroup(t, 1, 2, 4)
	cic, _ := g.Seize(7)
	g.FromFar(&isup.Message{Type: isup.GRS, CIC: 0, Range: 31})
	acts := takeActions(g)
	if l, ok := findAction[CircuitLost](acts); !ok || l.Call != 7 || l.CIC != cic {
		t.Errorf("notification for the call: %+v, want call 7 lost", l)
	}
	if m, ok := findAction[SendToFar](acts); !ok || m.Msg.Type != isup.GRA || m.Msg.CIC != 0 {
		t.Errorf("answer to GRS: %+v, want GRA for circuit 0", m)
	}
	g.FromOwn(&isup.Message{Type: isup.CGB, CIC: 3, Range: 9, Supervision: isup.Hardware, Status: []byte{0xff, 3}})
	if g.Free() != 2 {
		t.Errorf("%d circuits free after blocking, want 2", g.Free())
	}
}

// A retransmitted CQM is answered twice. The second response may be older than a call that was set up since, and shows the
// call's circuit as idle: it must not end the call.
func TestSecondResponseToRetransmittedQueryIsIgnored(t *testing.T) {
	g, err := New(Timers{}, 1, 2, 2)
	if err != nil {
		t.Fatal(err)
	}
	g.Sync()
	idle := isup.Message{Type: isup.CQR, CIC: 1, Range: 1, Circuits: []byte{isup.CircuitIdle, isup.CircuitIdle}}
	timer, _ := findAction[StartTimer](takeActions(g))
	g.TimerExpired(timer.TimerID)
	if m, ok := findAction[SendToFar](takeActions(g)); !ok || m.Msg.Type != isup.CQM {
		t.Fatal("the CQM was not retransmitted")
	}
	g.FromFar(&idle)
	cic, ok := g.Seize(7)
	if !ok {
		t.Fatal("not in sync after the first CQR")
	}
	g.FromFar(&idle)
	if l, lost := findAction[CircuitLost](takeActions(g)); lost {
		t.Errorf("the call lost its circuit: %+v", l)
	}
	if s, call := g.Circuit(cic); s != Outgoing || call != 7 {
		t.Errorf("circuit in state %v with call %d, want outgoing with call 7", s, call)
	}
}

// Signalling is lost while one call is being set up and two are established, of which the far switch still knows one. Only
// that one must continue; the others must be reported lost.
func TestCallsKnownToFarSwitchSurviveSignallingLoss(t *testing.T) {
	g := newGroup(t, 1, 2, 40)
	a, _ := g.Seize(1)
	b, _ := g.Seize(2)
	c, _ := g.Seize(3)
	g.Answered(b)
	g.Answered(c)
	g.Down()
	acts := takeActions(g)
	if l, ok := findAction[CircuitLost](acts); !ok || l.Call != 1 {
		t.Errorf("the call being set up: %+v, want call 1 lost", l)
	}
	if _, ok := g.Seize(9); ok {
		t.Fatal("a circuit was seized without signalling")
	}
	hold, _ := findAction[StartTimer](acts)
	g.Sync()
	g.TimerExpired(hold.TimerID) // stale, since signalling is back
	for _, act := range takeActions(g) {
		if q, ok := act.(SendToFar); ok {
			states := make([]byte, q.Msg.Range+1)
			for i := range states {
				states[i] = isup.CircuitIdle
				if cic := q.Msg.CIC + uint16(i); cic == b || cic == a {
					states[i] = isup.CircuitIncoming
				}
			}
			g.FromFar(&isup.Message{Type: isup.CQR, CIC: q.Msg.CIC, Range: q.Msg.Range, Circuits: states})
		}
	}
	acts = takeActions(g)
	if l, ok := findAction[CircuitLost](acts); !ok || l.Call != 3 {
		t.Errorf("the call that the far switch does not know: %+v, want call 3 lost", l)
	}
	if m, ok := findAction[SendToFar](acts); !ok || m.Msg.Type != isup.RSC || m.Msg.CIC != a {
		t.Errorf("the circuit of the lost attempt was not reset: %+v", m)
	}
	if s, call := g.Circuit(b); s != Outgoing || call != 2 {
		t.Errorf("circuit of the call that both ends know: state %v, call %d; want outgoing and 2", s, call)
	}
	if !g.InSync() {
		t.Error("not in sync after all queries were answered")
	}
}

// Guards against established calls that are kept without limit when signalling does not return.
func TestEstablishedCallsAreLostAfterSignallingHold(t *testing.T) {
	g := newGroup(t, 1, 2, 2)
	cic, _ := g.Seize(5)
	g.Answered(cic)
	g.Down()
	hold, ok := findAction[StartTimer](takeActions(g))
	if !ok || hold.After != 10*time.Second {
		t.Fatalf("timer after the loss of signalling: %+v, want one of 10 s", hold)
	}
	g.TimerExpired(hold.TimerID)
	if l, ok := findAction[CircuitLost](takeActions(g)); !ok || l.Call != 5 {
		t.Errorf("notification for the call: %+v, want call 5 lost", l)
	}
}

// network simulates both ends of a group with their switches. Messages in transit are held in four FIFO queues per end,
// and the property test below delivers them in any interleaving.
type network struct {
	t        *rapid.T
	ends     [2]*end
	lastCall uint64
}

type end struct {
	g              *Group
	far            *end
	toFar          []isup.Message // controller to far switch
	fromFar        []isup.Message // far switch to controller
	fromOwn        []isup.Message // own switch to controller
	toOwn          []isup.Message
	timers         []TimerID
	calls          map[uint64]uint16 // circuit of each call seized here
	answered       map[uint64]bool   // calls of these that are established
	switchCalls    map[uint16]uint64 // in the own switch: the far controller's call on each circuit
	switchAnswered map[uint16]bool   // circuits on which the own switch has answered
	lostCalls      int
	drop           func(m *isup.Message) bool // injected fault: reports whether the message is lost
}

func newNetwork(t *rapid.T, n int) *network {
	nw := &network{t: t}
	for i := range 2 {
		g, _ := New(Timers{T1: time.Second, T5: 5 * time.Second}, uint32(1+i), uint32(2-i), n)
		nw.ends[i] = &end{g: g, calls: map[uint64]uint16{}, answered: map[uint64]bool{}, switchCalls: map[uint16]uint64{}, switchAnswered: map[uint16]bool{}}
	}
	nw.ends[0].far, nw.ends[1].far = nw.ends[1], nw.ends[0]
	for _, e := range nw.ends {
		e.g.Sync()
		e.performActions()
	}
	nw.settle(false)
	return nw
}

func (e *end) performActions() {
	for _, a := range takeActions(e.g) {
		switch a := a.(type) {
		case SendToFar:
			e.toFar = append(e.toFar, a.Msg)
		case SendToOwn:
			e.toOwn = append(e.toOwn, a.Msg)
		case StartTimer:
			e.timers = append(e.timers, a.TimerID)
		case CircuitLost:
			if a.SeizedHere {
				delete(e.calls, a.Call)
				delete(e.answered, a.Call)
				e.lostCalls++
			}
		}
	}
}

func pop(q *[]isup.Message) (isup.Message, bool) {
	if len(*q) == 0 {
		return isup.Message{}, false
	}
	m := (*q)[0]
	*q = (*q)[1:]
	return m, true
}

// deliver delivers the first message of queue k of end e; false: the queue is empty.
func (e *end) deliver(k int) bool {
	switch k {
	case 0:
		m, ok := pop(&e.toFar)
		if ok && !(e.drop != nil && e.drop(&m)) {
			e.far.switchReceives(m)
		}
		return ok
	case 1:
		m, ok := pop(&e.fromFar)
		if ok {
			e.controllerReceives(m)
		}
		return ok
	case 2:
		m, ok := pop(&e.fromOwn)
		if ok {
			if m.Type == isup.IAM {
				e.g.FarSeized(m.CIC, 0)
			} else {
				e.g.FromOwn(&m)
			}
			e.performActions()
		}
		return ok
	default:
		m, ok := pop(&e.toOwn)
		if !ok {
			return false
		}
		switch m.Type {
		case isup.RSC:
			delete(e.switchCalls, m.CIC)
			delete(e.switchAnswered, m.CIC)
			e.fromOwn = append(e.fromOwn, isup.Message{Type: isup.RLC, CIC: m.CIC})
		case isup.CQM:
			e.fromOwn = append(e.fromOwn, e.cqr(m))
		}
		return true
	}
}

func (e *end) cqr(m isup.Message) isup.Message {
	states := make([]byte, m.Range+1)
	for i := range states {
		states[i] = isup.CircuitIdle
		if _, busy := e.switchCalls[m.CIC+uint16(i)]; busy {
			states[i] = isup.CircuitIncoming
		}
	}
	return isup.Message{Type: isup.CQR, CIC: m.CIC, Range: m.Range, Circuits: states}
}

// switchReceives simulates the handling of a message of the far controller by the own switch of e.
func (e *end) switchReceives(m isup.Message) {
	reply := func(t isup.Type) { e.far.fromFar = append(e.far.fromFar, isup.Message{Type: t, CIC: m.CIC}) }
	switch m.Type {
	case isup.IAM:
		if _, busy := e.switchCalls[m.CIC]; !busy {
			e.switchCalls[m.CIC] = uint64(m.Ref.ID)
			e.fromOwn = append(e.fromOwn, m)
		}
	case isup.REL, isup.RSC:
		if _, busy := e.switchCalls[m.CIC]; busy || m.Type == isup.RSC {
			delete(e.switchCalls, m.CIC)
			delete(e.switchAnswered, m.CIC)
			e.fromOwn = append(e.fromOwn, m)
		}
		reply(isup.RLC)
	case isup.CQM:
		e.far.fromFar = append(e.far.fromFar, e.cqr(m))
	}
}

// controllerReceives simulates the handling of a message of the far switch by the owner of a group.
func (e *end) controllerReceives(m isup.Message) {
	state, call := e.g.Circuit(m.CIC)
	switch m.Type {
	case isup.ANM:
		if state == Outgoing && call != 0 {
			e.g.Answered(m.CIC)
			e.answered[call] = true
		}
	case isup.REL:
		e.g.FromFar(&m)
		if state == Outgoing && call != 0 {
			delete(e.calls, call)
			delete(e.answered, call)
		}
	default:
		e.g.FromFar(&m)
	}
	e.performActions()
}

func (nw *network) seize(e *end) {
	nw.lastCall++
	cic, ok := e.g.Seize(nw.lastCall)
	if !ok {
		return
	}
	e.calls[nw.lastCall] = cic
	e.toFar = append(e.toFar, isup.Message{Type: isup.IAM, CIC: cic, HasRef: true, Ref: isup.CallReference{ID: uint32(nw.lastCall)}})
}

// settle delivers messages until none is in transit. With timers it also lets all timers expire, until none is running.
func (nw *network) settle(timers bool) {
	for range 10000 {
		progress := false
		for _, e := range nw.ends {
			for k := range 4 {
				for e.deliver(k) {
					progress = true
				}
			}
		}
		if progress {
			continue
		}
		if !timers {
			return
		}
		for _, e := range nw.ends {
			due := e.timers
			e.timers = nil
			for _, a := range due {
				e.g.TimerExpired(a)
				e.performActions()
			}
			progress = progress || len(due) > 0
		}
		if !progress {
			return
		}
	}
	nw.t.Fatal("messages or timers are still pending after 10000 rounds")
}

// Whatever the interleaving of messages, no circuit carries two established calls, and all circuits are idle at both ends
// once all calls have ended, even if releases are lost and signalling is interrupted.
func TestCircuitsOfBothEndsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "circuits")
		nw := newNetwork(t, n)
		faults := rapid.Bool().Draw(t, "faults")
		for range rapid.IntRange(0, 120).Draw(t, "steps") {
			e := nw.ends[rapid.IntRange(0, 1).Draw(t, "end")]
			switch op := rapid.IntRange(0, 12).Draw(t, "op"); {
			case op < 2:
				nw.seize(e)
			case op < 8:
				e.deliver(op % 4)
			case op == 8: // the switch answers a call
				for cic := uint16(1); cic <= uint16(n); cic++ {
					if _, busy := e.switchCalls[cic]; busy && !e.switchAnswered[cic] {
						e.switchAnswered[cic] = true
						e.far.fromFar = append(e.far.fromFar, isup.Message{Type: isup.ANM, CIC: cic})
						break
					}
				}
			case op == 9: // the called side hangs up
				for cic := uint16(1); cic <= uint16(n); cic++ {
					if _, busy := e.switchCalls[cic]; busy && e.switchAnswered[cic] {
						delete(e.switchCalls, cic)
						delete(e.switchAnswered, cic)
						e.far.fromFar = append(e.far.fromFar, isup.Message{Type: isup.REL, CIC: cic, Cause: isup.CauseNormal})
						e.fromOwn = append(e.fromOwn, isup.Message{Type: isup.RLC, CIC: cic})
						break
					}
				}
			case op == 10: // the caller leaves
				for cic := uint16(1); cic <= uint16(n); cic++ {
					if s, call := e.g.Circuit(cic); s == Outgoing && call != 0 {
						e.g.Release(cic, isup.CauseNormal, 0)
						e.performActions()
						delete(e.calls, call)
						delete(e.answered, call)
						break
					}
				}
			case op == 11 && faults: // a REL or RLC is lost
				if len(e.toFar) > 0 && e.toFar[0].Type == isup.REL {
					e.toFar = e.toFar[1:]
				} else if len(e.fromFar) > 0 && e.fromFar[0].Type == isup.RLC {
					e.fromFar = e.fromFar[1:]
				}
			case op == 12 && faults: // signalling is interrupted
				e.toFar, e.fromFar = nil, nil
				e.g.Down()
				e.performActions()
				e.g.Sync()
				e.g.SyncOwn()
				e.performActions()
			}
			established := map[uint16]int{}
			for _, e := range nw.ends {
				for call := range e.answered {
					cic := e.calls[call]
					if _, c := e.g.Circuit(cic); c == call {
						established[cic]++
					}
				}
			}
			for cic, count := range established {
				// Both ends may consider a circuit theirs while the reset of one call is in transit, but the switches
				// must not connect both calls.
				if count > 1 && nw.ends[0].switchAnswered[cic] && nw.ends[1].switchAnswered[cic] &&
					len(nw.ends[0].toFar)+len(nw.ends[1].toFar)+len(nw.ends[0].fromOwn)+len(nw.ends[1].fromOwn)+len(nw.ends[0].toOwn)+len(nw.ends[1].toOwn)+len(nw.ends[0].fromFar)+len(nw.ends[1].fromFar) == 0 {
					t.Fatalf("two established calls on circuit %d", cic)
				}
			}
		}
		nw.settle(false)
		for _, e := range nw.ends { // all callers leave
			for cic := uint16(1); cic <= uint16(n); cic++ {
				if s, call := e.g.Circuit(cic); s == Outgoing && call != 0 {
					e.g.Release(cic, isup.CauseNormal, 0)
					e.performActions()
				}
			}
		}
		nw.settle(true)
		for range 2 { // circuit queries, as after an association is up again, resolve the remaining differences
			for _, e := range nw.ends {
				e.g.Sync()
				e.g.SyncOwn()
				e.performActions()
			}
			nw.settle(true)
		}
		for i, e := range nw.ends {
			if e.g.Free() != n || len(e.switchCalls) != 0 {
				t.Fatalf("end %d: %d of %d circuits free, calls left in the switch: %v", i, e.g.Free(), n, e.switchCalls)
			}
		}
	})
}

func BenchmarkSeizeRelease(b *testing.B) {
	for _, n := range []int{30, 4000} {
		g := newGroup(b, 1, 2, n)
		b.ReportAllocs()
		for b.Loop() {
			cic, _ := g.Seize(1)
			g.FromFar(&isup.Message{Type: isup.REL, CIC: cic})
			g.Actions = g.Actions[:0]
		}
	}
}
