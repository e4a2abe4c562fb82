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
type watch struct {
	*rig
	rng  *rand.Rand
	seed uint64
	// by client circuit: the call's reference; final: it has had its answer
	calls map[uint16]*watched
	byRef map[uint32]*watched
	refs  uint32
	out   map[string]*watched // by association and circuit: whose attempt is out
	assoc map[AssocID]bool
}

type watched struct {
	ref      uint32
	at       time.Duration
	final    bool
	gone     bool // its caller has left, or its client
	out      string
	notUntil time.Duration
	finals   int
}

func (w *watch) fail(format string, args ...any) {
	w.t.Helper()
	w.t.Errorf("session %d at %v: %s", w.seed, w.now, fmt.Sprintf(format, args...))
}

func key(a AssocID, cic uint16) string { return fmt.Sprint(a, "/", cic) }

// ended notes that an attempt is out no more; with guard, the call may not be sent again for that long.
func (w *watch) ended(k string, guard bool) {
	if c := w.out[k]; c != nil {
		c.out = ""
		if guard {
			c.notUntil = w.now + 200*ms
		}
		delete(w.out, k)
	}
}

// look judges what was sent since the last look.
func (w *watch) look() {
	for _, a := range []AssocID{two, three} {
		for _, m := range w.take(a) {
			k := key(a, m.CIC)
			switch m.Type {
			case isup.IAM:
				c := w.byRef[m.Ref.ID]
				if c == nil {
					continue // in transit
				}
				switch {
				case c.final || c.gone:
					w.fail("call %d sent after its end", c.ref)
				case c.out != "":
					w.fail("call %d sent on %s while it is out on %s", c.ref, k, c.out)
				case w.now < c.notUntil:
					w.fail("call %d sent %v before the guard is over", c.ref, c.notUntil-w.now)
				}
				if w.out[k] != nil {
					w.fail("circuit %s seized twice", k)
				}
				c.out = k
				w.out[k] = c
			case isup.REL, isup.RSC:
				w.ended(k, true)
			}
		}
	}
	for _, m := range w.take(client) {
		c := w.calls[m.CIC]
		switch m.Type {
		case isup.ANM, isup.CON, isup.REL:
			if c == nil {
				if m.Type != isup.REL {
					w.fail("%v on circuit %d, where no call is", m.Type, m.CIC)
				}
				continue
			}
			if !c.final {
				c.final = true
				c.finals++
				if m.Type == isup.REL {
					delete(w.calls, m.CIC)
				}
			} else if m.Type == isup.REL {
				delete(w.calls, m.CIC) // it stood and is over
			} else {
				w.fail("call %d is answered twice", c.ref)
			}
		}
	}
	w.take(own)
}

func newWatch(t *testing.T, seed uint64) *watch {
	w := &watch{rig: newRig(t, 6, func(c *Config) {
		for i := range c.Classes {
			c.Classes[i].Patience, c.Classes[i].Ring = 2*sec, 2*sec
		}
	}), rng: rand.New(rand.NewPCG(seed, 1)), seed: seed,
		calls: map[uint16]*watched{}, byRef: map[uint32]*watched{}, out: map[string]*watched{}, assoc: map[AssocID]bool{two: true, three: true, own: true}}
	return w
}

// anyMessage is a message of any type with random content, legal or not.
func (w *watch) anyMessage() isup.Message {
	all := []isup.Type{isup.IAM, isup.ACM, isup.CON, isup.ANM, isup.REL, isup.RLC, isup.RSC, isup.BLO, isup.UBL, isup.BLA, isup.UBA, isup.GRS,
		isup.CGB, isup.CGU, isup.CGBA, isup.CGUA, isup.GRA, isup.CQM, isup.CQR, isup.CPG}
	m := isup.Message{Type: all[w.rng.IntN(len(all))], CIC: uint16(w.rng.IntN(9)), Cause: isup.Cause(w.rng.IntN(128)), Range: byte(1 + w.rng.IntN(7)),
		Supervision: isup.Supervision(w.rng.IntN(2)), Location: isup.Location(w.rng.IntN(6))}
	m.Status = []byte{byte(w.rng.Uint32())}
	if m.Type == isup.GRS || m.Type == isup.CQM || m.Type == isup.CQR {
		m.Status = nil
	}
	for range int(m.Range) + 1 {
		m.Circuits = append(m.Circuits, []byte{isup.CircuitIdle, isup.CircuitIncoming}[w.rng.IntN(2)])
	}
	if m.Type == isup.IAM {
		x := iam(m.CIC, []string{"1001", "2001", "3001", "77"}[w.rng.IntN(4)])
		x.Ref = isup.CallReference{ID: 1<<20 + w.rng.Uint32N(1<<20), PC: 5}
		return x
	}
	return m
}

// pass lets time pass and looks at each instant at which something happens.
func (w *watch) pass(d time.Duration) {
	for end := w.now + d; w.now < end; w.look() {
		next := end
		if at, ok := w.c.Next(); ok {
			next = min(end, max(at, w.now+ms/10))
		}
		w.wait(next - w.now)
	}
}

// step plays one random thing.
func (w *watch) step() {
	far := []struct {
		a  AssocID
		pc uint32
	}{{two, 2}, {three, 3}}[w.rng.IntN(2)]
	switch op := w.rng.IntN(100); {
	case op < 25: // a call
		cic := uint16(1 + w.rng.IntN(40))
		if w.calls[cic] != nil {
			return
		}
		w.refs++
		c := &watched{ref: w.refs, at: w.now}
		w.calls[cic], w.byRef[w.refs] = c, c
		m := iam(cic, []string{"2001", "3001", "2002", "3002", "77"}[w.rng.IntN(5)])
		m.Ref = isup.CallReference{ID: w.refs, PC: 99}
		w.from(client, 900, m)
	case op < 35: // a caller leaves
		if cic, ok := oneOf(w.rng, w.calls); ok {
			w.calls[cic].gone = true
			delete(w.calls, cic)
			w.from(client, 900, isup.Message{Type: isup.REL, CIC: cic, Cause: 16})
		}
	case op < 65: // a switch answers one of its attempts
		if k, ok := oneOf(w.rng, w.out); ok {
			var a AssocID
			var cic uint16
			fmt.Sscanf(k, "%d/%d", &a, &cic)
			pc := uint32(a) - 100
			switch w.rng.IntN(5) {
			case 0:
				w.from(a, pc, isup.Message{Type: isup.ACM, CIC: cic})
			case 1, 2:
				w.from(a, pc, isup.Message{Type: isup.ANM, CIC: cic})
				w.look()
				w.ended(k, false)
			default:
				w.ended(k, false)
				w.from(a, pc, isup.Message{Type: isup.REL, CIC: cic, Cause: []isup.Cause{17, 34, 41, 42, 102}[w.rng.IntN(5)], Location: isup.Location(3 + w.rng.IntN(2))})
			}
		}
	case op < 72: // a switch says anything about circuits where no attempt of ours is out, or ends what is
		m := w.anyMessage()
		if m.Type == isup.ANM || m.Type == isup.CON || m.Type == isup.ACM || m.Type == isup.CPG || m.Type == isup.CQR {
			return
		}
		first, n := m.CIC, int(m.Range)+1
		if m.Type == isup.RSC || m.Type == isup.REL {
			n = 1
		}
		for i := range n {
			if m.Type == isup.RSC || m.Type == isup.GRS || m.Type == isup.CGB {
				w.endedIfLost(far.a, first+uint16(i), m)
			} else if m.Type == isup.REL {
				w.ended(key(far.a, first), false)
			}
		}
		w.from(far.a, far.pc, m)
	case op < 82: // the own switch passes on anything
		w.from(own, far.pc, w.anyMessage())
	case op < 86: // a client sends nonsense on circuits beyond its own
		m := w.anyMessage()
		if m.Type == isup.GRS || m.Type == isup.IAM {
			return
		}
		m.CIC += 100
		w.from(client, 900, m)
	case op < 89: // an association breaks and comes again
		for k := range w.out {
			var a AssocID
			var cic uint16
			if fmt.Sscanf(k, "%d/%d", &a, &cic); a == far.a {
				w.ended(k, true)
			}
		}
		w.c.AssocDown(w.now, far.a)
		w.flush()
		w.look()
		w.up(far.a, far.pc, []string{"h2", "h3"}[far.pc-2], w.rng.IntN(2) == 0)
	case op < 92:
		w.ssnm(own, []m3ua.Kind{m3ua.DUNA, m3ua.DAVA, m3ua.DRST, m3ua.DAVA}[w.rng.IntN(4)], far.pc)
	case op < 93:
		w.c.AssocDown(w.now, own)
		w.c.AssocUp(w.now, own, Peer{Kind: OwnSwitch, PC: 1})
		w.flush()
	default:
		w.pass(time.Duration(w.rng.IntN(400)) * ms)
	}
}

// oneOf picks a key, the same one for the same seed.
func oneOf[K cmp.Ordered, V any](rng *rand.Rand, m map[K]V) (k K, ok bool) {
	if len(m) == 0 {
		return k, false
	}
	return slices.Sorted(maps.Keys(m))[rng.IntN(len(m))], true
}

// endedIfLost ends an attempt that a reset or blocking message of the switch ends.
func (w *watch) endedIfLost(a AssocID, cic uint16, m isup.Message) {
	if m.Type == isup.CGB {
		i := cic - m.CIC
		if m.Supervision != isup.Hardware || m.Status[i/8]>>(i%8)&1 == 0 {
			return
		}
	}
	w.ended(key(a, cic), true)
}

// Random legal and illegal messages in any order: no panic, and the rules hold.
func TestRandomSessions(t *testing.T) {
	n, from := 300, uint64(1)
	if *sessions > 0 {
		n, from = *sessions, *firstSession
	}
	for seed := from; seed < from+uint64(n) && !t.Failed(); seed++ {
		w := newWatch(t, seed)
		for range 200 {
			w.step()
			w.look()
			if t.Failed() {
				t.Fatalf("session %d", seed)
			}
		}
		for range 60 { // all have their answer in the end
			w.pass(100 * ms)
		}
		for cic, c := range w.calls {
			if !c.final {
				t.Fatalf("session %d: call %d on circuit %d has no answer after %v", seed, c.ref, cic, w.now-c.at)
			}
		}
		if w.c.Waiting() > len(w.transitWaiting()) {
			t.Fatalf("session %d: %d calls wait", seed, w.c.Waiting())
		}
	}
}

// transitWaiting are the calls in transit that are owed an answer still.
func (w *watch) transitWaiting() (out []uint64) {
	for id, k := range w.c.calls {
		if k.phase == offered && k.from != nil {
			out = append(out, id)
		}
	}
	return out
}
