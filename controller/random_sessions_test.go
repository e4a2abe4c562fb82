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
	sessions     = flag.Int("sessions", 0, "number of random sessions for TestRandomSessions, instead of the 300 of CI")
	firstSession = flag.Uint64("first-session", 1000, "seed of the first of these sessions")
)

// sessionChecker drives a controller through a random session and checks what it sends, independently of the controller's own
// state: one final answer per call, at most one outstanding attempt, and no attempt within the guard.
type sessionChecker struct {
	*rig
	rng         *rand.Rand
	seed        uint64
	calls       map[uint16]*checkedCall
	byRef       map[uint32]*checkedCall
	lastRef     uint32
	outstanding map[string]*checkedCall // calls with an outstanding attempt, by association and circuit
	assoc       map[AssocID]bool
}

// checkedCall is the checker's record of a client's call.
type checkedCall struct {
	ref          uint32
	offeredAt    time.Duration
	finalSent    bool
	abandoned    bool // the caller has released it
	outstanding  string
	guardUntil   time.Duration
	finalAnswers int
}

func (checker *sessionChecker) fail(format string, args ...any) {
	checker.t.Helper()
	checker.t.Errorf("session %d at %v: %s", checker.seed, checker.now, fmt.Sprintf(format, args...))
}

func circuitKey(id AssocID, cic uint16) string { return fmt.Sprint(id, "/", cic) }

// attemptEnded records that an attempt is no longer outstanding; with guard, no further attempt may start within the guard.
func (checker *sessionChecker) attemptEnded(circuit string, guard bool) {
	if c := checker.outstanding[circuit]; c != nil {
		c.outstanding = ""
		if guard {
			c.guardUntil = checker.now + 200*ms
		}
		delete(checker.outstanding, circuit)
	}
}

// check checks what was sent since the last call.
func (checker *sessionChecker) check() {
	for _, id := range []AssocID{far2, far3} {
		for _, m := range checker.take(id) {
			circuit := circuitKey(id, m.CIC)
			switch m.Type {
			case isup.IAM:
				c := checker.byRef[m.Ref.ID]
				if c == nil {
					continue // a transit call
				}
				switch {
				case c.finalSent || c.abandoned:
					checker.fail("attempt for call %d after its end", c.ref)
				case c.outstanding != "":
					checker.fail("attempt for call %d on %s while one is outstanding on %s", c.ref, circuit, c.outstanding)
				case checker.now < c.guardUntil:
					checker.fail("attempt for call %d sent %v before the end of the guard", c.ref, c.guardUntil-checker.now)
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
					checker.fail("%v on circuit %d without a call", m.Type, m.CIC)
				}
				continue
			}
			if !c.finalSent {
				c.finalSent = true
				c.finalAnswers++
				if m.Type == isup.REL {
					delete(checker.calls, m.CIC)
				}
			} else if m.Type == isup.REL {
				delete(checker.calls, m.CIC) // it was established and has ended
			} else {
				checker.fail("second final answer for call %d", c.ref)
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

// randomMessage returns a message of any type with random content, legal or not.
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
		setUp := iam(m.CIC, []string{"1001", "2001", "3001", "77"}[checker.rng.IntN(4)])
		setUp.Ref = isup.CallReference{ID: 1<<20 + checker.rng.Uint32N(1<<20), PC: 5}
		return setUp
	}
	return m
}

// advanceChecked lets time pass and checks at the expiry of each timer.
func (checker *sessionChecker) advanceChecked(d time.Duration) {
	for end := checker.now + d; checker.now < end; checker.check() {
		next := end
		if at, ok := checker.c.Next(); ok {
			next = min(end, max(at, checker.now+ms/10))
		}
		checker.advance(next - checker.now)
	}
}

// step makes one random event happen.
func (checker *sessionChecker) step() {
	far := []struct {
		id AssocID
		pc uint32
	}{{far2, 2}, {far3, 3}}[checker.rng.IntN(2)]
	switch op := checker.rng.IntN(100); {
	case op < 25: // a new call
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
	case op < 35: // a caller releases its call
		if cic, ok := pickKey(checker.rng, checker.calls); ok {
			checker.calls[cic].abandoned = true
			delete(checker.calls, cic)
			checker.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: cic, Cause: 16})
		}
	case op < 65: // a switch answers an outstanding attempt
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
	case op < 72: // a switch sends any message that does not answer an attempt, but may end one
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
	case op < 82: // the own switch passes on any message
		checker.receive(ownAssoc, far.pc, checker.randomMessage())
	case op < 86: // a client sends any message on circuits that carry no call
		m := checker.randomMessage()
		if m.Type == isup.GRS || m.Type == isup.IAM {
			return
		}
		m.CIC += 100
		checker.receive(clientAssoc, 900, m)
	case op < 89: // an association is lost and comes up again
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
	case op < 92: // the list of exchanges reports a change
		checker.receiveSSNM(ownAssoc, []m3ua.Kind{m3ua.DUNA, m3ua.DAVA, m3ua.DRST, m3ua.DAVA}[checker.rng.IntN(4)], far.pc)
	case op < 93: // the association to the own switch is lost and comes up again
		checker.c.AssocDown(checker.now, ownAssoc)
		checker.c.AssocUp(checker.now, ownAssoc, Peer{Kind: OwnSwitch, PC: 1})
		checker.flush()
	default: // time passes
		checker.advanceChecked(time.Duration(checker.rng.IntN(400)) * ms)
	}
}

// pickKey picks a random key, the same one for the same seed.
func pickKey[K cmp.Ordered, V any](rng *rand.Rand, m map[K]V) (k K, ok bool) {
	if len(m) == 0 {
		return k, false
	}
	return slices.Sorted(maps.Keys(m))[rng.IntN(len(m))], true
}

// attemptEndedIfReset records the end of an attempt whose circuit a message of the switch resets or blocks for hardware failure.
func (checker *sessionChecker) attemptEndedIfReset(id AssocID, cic uint16, m isup.Message) {
	if m.Type == isup.CGB {
		i := cic - m.CIC
		if m.Supervision != isup.Hardware || m.Status[i/8]>>(i%8)&1 == 0 {
			return
		}
	}
	checker.attemptEnded(circuitKey(id, cic), true)
}

// Random legal and illegal messages in any order must cause no panic, and the rules that sessionChecker checks must hold. All
// calls must get their final answer.
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
				t.Fatalf("session %d failed", seed)
			}
		}
		for range 60 { // time for all calls to get their final answer
			checker.advanceChecked(100 * ms)
		}
		for cic, c := range checker.calls {
			if !c.finalSent {
				t.Fatalf("session %d: call %d on circuit %d has no final answer after %v", seed, c.ref, cic, checker.now-c.offeredAt)
			}
		}
		if checker.c.Waiting() > len(checker.transitWaiting()) {
			t.Fatalf("session %d: %d calls without a final answer", seed, checker.c.Waiting())
		}
	}
}

// transitWaiting returns the transit calls without a final answer.
func (checker *sessionChecker) transitWaiting() (out []uint64) {
	for id, call := range checker.c.calls {
		if call.phase == phaseOffered && call.inExchange != nil {
			out = append(out, id)
		}
	}
	return out
}
