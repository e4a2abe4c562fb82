package controller

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
)

var (
	sessions     = flag.Int("sessions", 0, "random sessions to play in TestRandomSessions beyond those of CI")
	firstSession = flag.Uint64("first-session", 1000, "their first seed")
)

// watch judges what a controller sends in a random session, by itself: one final answer a call, at most one attempt of it
// out, and none within the guard.
type sessionChecker struct {
	*rig
	rng  *rand.Rand
	seed uint64
	// by client circuit: the call's reference; final: it has had its answer
	calls       map[uint16]*checkedCall
	byRef       map[uint32]*checkedCall
	lastRef     uint32
	outstanding map[string]*checkedCall // by association and circuit: whose attempt is out
	assoc       map[AssocID]bool
}

type checkedCall struct {
	ref          uint32
	offeredAt    time.Duration
	answered     bool
	abandoned    bool // its caller has left, or its client
	outstanding  string
	guardUntil   time.Duration
	finalAnswers int
}

func (checker *sessionChecker) fail(format string, args ...any) {
	checker.t.Helper()
	checker.t.Errorf("session %d at %v: %s", checker.seed, checker.now, fmt.Sprintf(format, args...))
}

func circuitKey(id AssocID, cic uint16) string { return fmt.Sprint(id, "/", cic) }

// ended notes that an attempt is out no more; with guard, the call may not be sent again for that long.
func (checker *sessionChecker) attemptEnded(circuit string, guard bool) {
	if c := checker.outstanding[circuit]; c != nil {
		c.outstanding = ""
		if guard {
			c.guardUntil = checker.now + 200*ms
		}
		delete(checker.outstanding, circuit)
	}
}

// look judges what was sent since the last look.
func (checker *sessionChecker) check() {
	for _, id := range []AssocID{far2, far3} {
		for _, m := range checker.take(id) {
			circuit := circuitKey(id, m.CIC)
			switch m.Type {
			case isup.IAM:
				c := checker.byRef[m.Ref.ID]
				if c == nil {
					continue // in transit
				}
				switch {
				case c.answered || c.abandoned:
					checker.fail("call %d sent after its end", c.ref)
				case c.outstanding != "":
					checker.fail("call %d sent on %s while it is out on %s", c.ref, circuit, c.outstanding)
				case checker.now < c.guardUntil:
					checker.fail("call %d sent %v before the guard is over", c.ref, c.guardUntil-checker.now)
				}
				if checker.outstanding[circuit] != nil {
					checker.fail("circuit %s seized twice", circuit)
				}
				c.outstanding = circuit
				checker.outstanding[circuit] = c
			case isup.REL, isup.RSC:
				checker.attemptEnded(circuit, true)
			}
		}
	}
	for _, m := range checker.take(clientAssoc) {
		c := checker.calls[m.CIC]
		switch m.Type {
		case isup.ANM, isup.CON, isup.REL:
			if c == nil {
				if m.Type != isup.REL {
					checker.fail("%v on circuit %d, where no call is", m.Type, m.CIC)
				}
				continue
			}
			if !c.answered {
				c.answered = true
				c.finalAnswers++
				if m.Type == isup.REL {
					delete(checker.calls, m.CIC)
				}
			} else if m.Type == isup.REL {
				delete(checker.calls, m.CIC) // it stood and is over
			} else {
				checker.fail("call %d is answered twice", c.ref)
			}
		}
	}
	checker.take(ownAssoc)
}

func newSessionChecker(t *testing.T, seed uint64) *sessionChecker {
	checker := &sessionChecker{rig: newRig(t, 6, func(c *Config) {
		for i := range c.Classes {
			c.Classes[i].Patience, c.Classes[i].Ring = 2*sec, 2*sec
		}
	}), rng: rand.New(rand.NewPCG(seed, 1)), seed: seed,
		calls: map[uint16]*checkedCall{}, byRef: map[uint32]*checkedCall{}, outstanding: map[string]*checkedCall{}, assoc: map[AssocID]bool{far2: true, far3: true, ownAssoc: true}}
	return checker
}

// anyMessage is a message of any type with random content, legal or not.
func (checker *sessionChecker) randomMessage() isup.Message {
	all := []isup.Type{isup.IAM, isup.ACM, isup.CON, isup.ANM, isup.REL, isup.RLC, isup.RSC, isup.BLO, isup.UBL, isup.BLA, isup.UBA, isup.GRS,
		isup.CGB, isup.CGU, isup.CGBA, isup.CGUA, isup.GRA, isup.CQM, isup.CQR, isup.CPG}
	m := isup.Message{Type: all[checker.rng.IntN(len(all))], CIC: uint16(checker.rng.IntN(9)), Cause: isup.Cause(checker.rng.IntN(128)), Range: byte(1 + checker.rng.IntN(7)),
		Supervision: isup.Supervision(checker.rng.IntN(2)), Location: isup.Location(checker.rng.IntN(6))}
	m.Status = []byte{byte(checker.rng.Uint32())}
	if m.Type == isup.GRS || m.Type == isup.CQM || m.Type == isup.CQR {
		m.Status = nil
	}
	for range int(m.Range) + 1 {
		m.Circuits = append(m.Circuits, []byte{isup.CircuitIdle, isup.CircuitIncoming}[checker.rng.IntN(2)])
	}
	if m.Type == isup.IAM {
		x := iam(m.CIC, []string{"1001", "2001", "3001", "77"}[checker.rng.IntN(4)])
		x.Ref = isup.CallReference{ID: 1<<20 + checker.rng.Uint32N(1<<20), PC: 5}
		return x
	}
	return m
}

// pass lets time pass and looks at each instant at which something happens.
func (checker *sessionChecker) advanceChecked(d time.Duration) {
	for end := checker.now + d; checker.now < end; checker.check() {
		next := end
		if at, ok := checker.c.Next(); ok {
			next = min(end, max(at, checker.now+ms/10))
		}
		checker.advance(next - checker.now)
	}
}

// step plays one random thing.
func (checker *sessionChecker) step() {
	far := []struct {
		id AssocID
		pc uint32
	}{{far2, 2}, {far3, 3}}[checker.rng.IntN(2)]
	switch op := checker.rng.IntN(100); {
	case op < 25: // a call
		cic := uint16(1 + checker.rng.IntN(40))
		if checker.calls[cic] != nil {
			return
		}
		checker.lastRef++
		c := &checkedCall{ref: checker.lastRef, offeredAt: checker.now}
		checker.calls[cic], checker.byRef[checker.lastRef] = c, c
		m := iam(cic, []string{"2001", "3001", "2002", "3002", "77"}[checker.rng.IntN(5)])
		m.Ref = isup.CallReference{ID: checker.lastRef, PC: 99}
		checker.receive(clientAssoc, 900, m)
	case op < 35: // a caller leaves
		if cic, ok := pickKey(checker.rng, checker.calls); ok {
			checker.calls[cic].abandoned = true
			delete(checker.calls, cic)
			checker.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: cic, Cause: 16})
		}
	case op < 65: // a switch answers one of its attempts
		if circuit, ok := pickKey(checker.rng, checker.outstanding); ok {
			var id AssocID
			var cic uint16
			fmt.Sscanf(circuit, "%d/%d", &id, &cic)
			pc := uint32(id) - 100
			switch checker.rng.IntN(5) {
			case 0:
				checker.receive(id, pc, isup.Message{Type: isup.ACM, CIC: cic})
			case 1, 2:
				checker.receive(id, pc, isup.Message{Type: isup.ANM, CIC: cic})
				checker.check()
				checker.attemptEnded(circuit, false)
			default:
				checker.attemptEnded(circuit, false)
				checker.receive(id, pc, isup.Message{Type: isup.REL, CIC: cic, Cause: []isup.Cause{17, 34, 41, 42, 102}[checker.rng.IntN(5)], Location: isup.Location(3 + checker.rng.IntN(2))})
			}
		}
	case op < 72: // a switch says anything about circuits where no attempt of ours is out, or ends what is
		m := checker.randomMessage()
		if m.Type == isup.ANM || m.Type == isup.CON || m.Type == isup.ACM || m.Type == isup.CPG || m.Type == isup.CQR {
			return
		}
		first, n := m.CIC, int(m.Range)+1
		if m.Type == isup.RSC || m.Type == isup.REL {
			n = 1
		}
		for i := range n {
			if m.Type == isup.RSC || m.Type == isup.GRS || m.Type == isup.CGB {
				checker.attemptEndedIfReset(far.id, first+uint16(i), m)
			} else if m.Type == isup.REL {
				checker.attemptEnded(circuitKey(far.id, first), false)
			}
		}
		checker.receive(far.id, far.pc, m)
	case op < 82: // the own switch passes on anything
		checker.receive(ownAssoc, far.pc, checker.randomMessage())
	case op < 86: // a client sends nonsense on circuits beyond its own
		m := checker.randomMessage()
		if m.Type == isup.GRS || m.Type == isup.IAM {
			return
		}
		m.CIC += 100
		checker.receive(clientAssoc, 900, m)
	case op < 89: // an association breaks and comes again
		for circuit := range checker.outstanding {
			var id AssocID
			var cic uint16
			if fmt.Sscanf(circuit, "%d/%d", &id, &cic); id == far.id {
				checker.attemptEnded(circuit, true)
			}
		}
		checker.c.AssocDown(checker.now, far.id)
		checker.flush()
		checker.check()
		checker.farUp(far.id, far.pc, []string{"h2", "h3"}[far.pc-2], checker.rng.IntN(2) == 0)
	case op < 92:
		checker.receiveSSNM(ownAssoc, []m3ua.Kind{m3ua.DUNA, m3ua.DAVA, m3ua.DRST, m3ua.DAVA}[checker.rng.IntN(4)], far.pc)
	case op < 93:
		checker.c.AssocDown(checker.now, ownAssoc)
		checker.c.AssocUp(checker.now, ownAssoc, Peer{Kind: OwnSwitch, PC: 1})
		checker.flush()
	default:
		checker.advanceChecked(time.Duration(checker.rng.IntN(400)) * ms)
	}
}

// oneOf picks a key, the same one for the same seed.
func pickKey[K cmp.Ordered, V any](rng *rand.Rand, m map[K]V) (k K, ok bool) {
	if len(m) == 0 {
		return k, false
	}
	return slices.Sorted(maps.Keys(m))[rng.IntN(len(m))], true
}

// endedIfLost ends an attempt that a reset or blocking message of the switch ends.
func (checker *sessionChecker) attemptEndedIfReset(id AssocID, cic uint16, m isup.Message) {
	if m.Type == isup.CGB {
		i := cic - m.CIC
		if m.Supervision != isup.Hardware || m.Status[i/8]>>(i%8)&1 == 0 {
			return
		}
	}
	checker.attemptEnded(circuitKey(id, cic), true)
}

// Random legal and illegal messages in any order: no panic, and the rules hold.
func TestRandomSessions(t *testing.T) {
	n, from := 300, uint64(1)
	if *sessions > 0 {
		n, from = *sessions, *firstSession
	}
	for seed := from; seed < from+uint64(n) && !t.Failed(); seed++ {
		checker := newSessionChecker(t, seed)
		for range 200 {
			checker.step()
			checker.check()
			if t.Failed() {
				t.Fatalf("session %d", seed)
			}
		}
		for range 60 { // all have their answer in the end
			checker.advanceChecked(100 * ms)
		}
		for cic, c := range checker.calls {
			if !c.answered {
				t.Fatalf("session %d: call %d on circuit %d has no answer after %v", seed, c.ref, cic, checker.now-c.offeredAt)
			}
		}
		if checker.c.Waiting() > len(checker.transitWaiting()) {
			t.Fatalf("session %d: %d calls wait", seed, checker.c.Waiting())
		}
	}
}

// transitWaiting are the calls in transit that are owed an answer still.
func (checker *sessionChecker) transitWaiting() (out []uint64) {
	for id, call := range checker.c.calls {
		if call.phase == phaseOffered && call.inExchange != nil {
			out = append(out, id)
		}
	}
	return out
}
