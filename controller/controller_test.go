package controller

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/admission"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/trunk"
)

const (
	sec = time.Second
	ms  = time.Millisecond
)

// Associations of a rig.
const (
	clientAssoc AssocID = 100
	ownAssoc    AssocID = 101
	far2        AssocID = 102
	far3        AssocID = 103
)

// rig runs one controller of exchange 1 beside the far exchanges 2 and 3, and records what the controller sends on each
// association.
type rig struct {
	t          *testing.T
	c          *Core
	now        time.Duration
	sent       map[AssocID][]isup.Message
	management map[AssocID][]m3ua.Message
	fullQueues map[AssocID]bool
	closed     map[AssocID]string
	unsent     map[AssocID][]byte
	records    []CallRecord
}

func (r *rig) Send(id AssocID, frame []byte) bool {
	if r.fullQueues[id] {
		return false
	}
	frame = append([]byte(nil), frame...)
	var m m3ua.Message
	if err := m3ua.Decode(frame, &m); err != nil {
		r.t.Fatalf("controller sent a malformed frame: %v", err)
	}
	if m.Kind != m3ua.DATA {
		r.management[id] = append(r.management[id], m)
		return true
	}
	var user isup.Message
	if err := isup.Decode(m.Data.User, &user); err != nil {
		r.t.Fatalf("controller sent a malformed frame: %v", err)
	}
	r.sent[id] = append(r.sent[id], user)
	return true
}

func (r *rig) Close(id AssocID, why string)       { r.closed[id] = why }
func (r *rig) Unsent(id AssocID) []byte           { frames := r.unsent[id]; delete(r.unsent, id); return frames }
func (r *rig) CallEnded(record CallRecord)        { r.records = append(r.records, record) }
func (r *rig) ExchangeChanged(policy.Entry, bool) {}

// newRig makes a rig with trunk groups of the given size; all associations are up and all circuits idle.
func newRig(t *testing.T, circuits int, change ...func(*Config)) *rig {
	cfg := Config{
		PointCode: 1, Hops: 5, AnswerMargin: 50 * ms, CutMemory: 10 * sec,
		Policy: policy.Config{Controllers: 3, MaxAttempts: 4, Guard: 200 * ms, WarmUp: 15 * sec, ColdShare: 0.4, CrashMultiple: 2, CrashSpan: 3 * sec,
			Classes: []policy.Class{{Aim: 1500 * ms, Worth: 1, LateWorth: 0.25, Circuits: 1, Repeatable: true},
				{Aim: 1200 * ms, Worth: 5, LateWorth: 0.25, Circuits: 1, Repeatable: true}}},
		Classes: []Class{{Name: "a", Patience: 3 * sec}, {Name: "b", Patience: 2 * sec, Categories: []isup.Category{isup.CategoryPriority}}},
		Exchanges: []Exchange{{1, "one", "h1", 0, []string{"1"}}, {2, "two", "h2", circuits, []string{"2"}},
			{3, "three", "h3", circuits, []string{"3"}}},
	}
	for _, f := range change {
		f(&cfg)
	}
	r := &rig{t: t, now: time.Hour, sent: map[AssocID][]isup.Message{}, management: map[AssocID][]m3ua.Message{}, fullQueues: map[AssocID]bool{}, closed: map[AssocID]string{}}
	c, err := New(cfg, r, r.now)
	if err != nil {
		t.Fatal(err)
	}
	r.c = c
	c.AssocUp(r.now, ownAssoc, Peer{Kind: OwnSwitch, PC: 1})
	r.farUp(far2, 2, "h2", false)
	r.farUp(far3, 3, "h3", false)
	c.AssocUp(r.now, clientAssoc, Peer{Kind: Client, Name: "c"})
	r.flush()
	r.sent = map[AssocID][]isup.Message{}
	return r
}

// farUp brings up the association to a far exchange and answers circuit queries with all circuits busy or idle.
func (r *rig) farUp(id AssocID, pc uint32, addr string, busy bool) {
	r.c.AssocUp(r.now, id, Peer{Kind: FarSwitch, PC: pc, Address: addr})
	for _, m := range r.take(id) {
		if m.Type == isup.CQM {
			s := make([]byte, m.Range+1)
			for i := range s {
				s[i] = isup.CircuitIdle
				if busy {
					s[i] = isup.CircuitIncoming
				}
			}
			r.receive(id, pc, isup.Message{Type: isup.CQR, CIC: m.CIC, Range: m.Range, Circuits: s})
		}
	}
	r.flush()
}

func (r *rig) flush() { r.c.Flush(r.now) }

// take returns the messages sent on an association since the last call.
func (r *rig) take(id AssocID) []isup.Message {
	m := r.sent[id]
	r.sent[id] = nil
	return m
}

// expectOne returns the only message sent on an association, which must be of the given type.
func (r *rig) expectOne(id AssocID, t isup.Type) isup.Message {
	r.t.Helper()
	m := r.take(id)
	if len(m) != 1 || m[0].Type != t {
		r.t.Fatalf("association %d: sent %v, want one %v", id, describe(m), t)
	}
	return m[0]
}

// expectNone fails the test if a message was sent on an association.
func (r *rig) expectNone(id AssocID) {
	r.t.Helper()
	if m := r.take(id); len(m) > 0 {
		r.t.Fatalf("association %d: sent %v, want nothing", id, describe(m))
	}
}

func describe(ms []isup.Message) (s []string) {
	for _, m := range ms {
		s = append(s, fmt.Sprintf("%v(%d)", m.Type, m.Cause))
	}
	return s
}

// receive passes an ISUP message to the controller.
func (r *rig) receive(id AssocID, opc uint32, m isup.Message) {
	frame := m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: opc, DPC: 1, SI: 5, User: isup.Append(nil, &m)}})
	var decoded m3ua.Message
	if err := m3ua.Decode(frame, &decoded); err != nil {
		r.t.Fatal(err)
	}
	r.c.Handle(r.now, id, &decoded)
	r.flush()
}

func (r *rig) receiveSSNM(id AssocID, k m3ua.Kind, pc uint32) {
	r.c.Handle(r.now, id, &m3ua.Message{Kind: k, Affected: []m3ua.Affected{{PC: pc}}})
	r.flush()
}

// advance lets time pass and ticks at the expiry of each timer.
func (r *rig) advance(d time.Duration) {
	for end := r.now + d; r.now < end; {
		r.now = end
		if next, ok := r.c.Next(); ok && next < end {
			r.now = next
		}
		r.c.Tick(r.now)
		r.flush()
	}
}

func iam(cic uint16, called string) isup.Message {
	number, err := isup.ParseNumber(4, called)
	if err != nil {
		panic(err)
	}
	calling, _ := isup.ParseNumber(4, fmt.Sprint(9000+int(cic)))
	return isup.Message{Type: isup.IAM, CIC: cic, Category: isup.CategoryOrdinary, Called: number, HasCalling: true, Calling: calling,
		HasRef: true, Ref: isup.CallReference{ID: uint32(cic), PC: 99}}
}

func (r *rig) offerCall(cic uint16, called string) { r.receive(clientAssoc, 900, iam(cic, called)) }

// Guards the plain course of a call: each message must be passed on once, and the release must free the circuit.
func TestCallIsEstablishedAndReleased(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	m := r.expectOne(far2, isup.IAM)
	if m.Called.String() != "2001" || m.Ref.ID != 1 || m.Hops != 4 {
		t.Fatalf("IAM %+v, want one to 2001 with reference 1 and 4 hops", m)
	}
	r.receive(far2, 2, isup.Message{Type: isup.ACM, CIC: m.CIC})
	r.expectOne(clientAssoc, isup.ACM)
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: m.CIC})
	r.expectOne(clientAssoc, isup.ANM)
	r.advance(10 * sec)
	r.expectNone(clientAssoc)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.expectOne(clientAssoc, isup.RLC)
	r.expectOne(far2, isup.REL)
	r.receive(far2, 2, isup.Message{Type: isup.RLC, CIC: m.CIC})
	if r.c.OpenCalls() != 0 || r.c.Waiting() != 0 || r.c.byPC[2].group.Free() != 10 {
		t.Errorf("%d calls open, %d circuits free; want 0 and 10", r.c.OpenCalls(), r.c.byPC[2].group.Free())
	}
	if c := r.c.Counters; c.Established != 1 || c.Finished != 1 || c.Offered != 1 {
		t.Errorf("counters %+v, want 1 offered, 1 established and 1 finished", c)
	}
}

// A REL of the called side with cause 16 must count as a finished call, with any other cause as a cut one.
func TestReleaseByCalledSideEndsOrCutsCall(t *testing.T) {
	for cause, want := range map[isup.Cause]Outcome{isup.CauseNormal: Finished, isup.CauseTemporary: Cut} {
		r := newRig(t, 10)
		r.offerCall(1, "2001")
		cic := r.expectOne(far2, isup.IAM).CIC
		r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
		r.expectOne(clientAssoc, isup.CON)
		r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: cause})
		r.expectOne(far2, isup.RLC)
		if m := r.expectOne(clientAssoc, isup.REL); m.Cause != cause {
			t.Errorf("caller released with cause %d, want that of the called side", m.Cause)
		}
		if record := r.records[len(r.records)-1]; record.Outcome != want || record.Via != 2 {
			t.Errorf("%+v, want %v", record, want)
		}
	}
}

// An ANM after the attempt's time-out must not reach the caller, who already has its final answer, nor cause a second REL.
func TestAnswerAfterTimeOutIsDropped(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.advance(1501 * ms)
	if m := r.expectOne(far2, isup.REL); m.Cause != isup.CauseTimerExpiry {
		t.Errorf("attempt released with cause %d, want 102", m.Cause)
	}
	r.expectOne(clientAssoc, isup.REL)
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.expectNone(clientAssoc)
	r.expectNone(far2)
	if r.c.Counters.LateAnswers != 1 {
		t.Error("late answer not counted")
	}
	r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	r.receive(far2, 2, isup.Message{Type: isup.RLC, CIC: cic})
	r.advance(time.Minute)
	r.expectNone(clientAssoc)
	r.expectNone(far2)
}

// The caller's REL crosses the ANM: the ANM must not be passed back, and both circuits must come free.
func TestReleaseCrossingAnswerClearsBothSides(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.expectOne(clientAssoc, isup.RLC)
	r.expectOne(far2, isup.REL)
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.expectNone(clientAssoc)
	r.receive(far2, 2, isup.Message{Type: isup.RLC, CIC: cic})
	if r.c.byPC[2].group.Free() != 10 || r.c.OpenCalls() != 0 {
		t.Error("a call or a seized circuit is left")
	}
	if record := r.records[len(r.records)-1]; record.Outcome != Abandoned {
		t.Errorf("record %+v, want an abandoned call", record)
	}
}

// Our REL crosses that of the far switch: theirs must be answered by RLC, and the circuit must come free only when RLC answers
// ours.
func TestCrossedReleasesFreeCircuitOnce(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.take(far2)
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: isup.CauseUserBusy})
	r.expectOne(far2, isup.RLC)
	if r.c.byPC[2].group.Free() != 9 {
		t.Error("circuit free before RLC")
	}
	r.receive(far2, 2, isup.Message{Type: isup.RLC, CIC: cic})
	if r.c.byPC[2].group.Free() != 10 {
		t.Error("circuit not free after RLC")
	}
}

// A client that never answers REL with RLC must not keep the circuit seized permanently, nor cause endless retransmissions. A
// new IAM on the circuit counts as RLC.
func TestReleaseWithoutRLCIsRetransmittedThenGivenUp(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "77")
	r.expectOne(clientAssoc, isup.REL)
	r.advance(4 * time.Minute)
	if n := len(r.take(clientAssoc)); n != maxReleaseRetransmissions {
		t.Errorf("REL retransmitted %d times, want 5", n)
	}
	if len(r.c.assocs[clientAssoc].circuits) != 0 {
		t.Error("the circuit is not given up")
	}
	r.offerCall(2, "77")
	r.take(clientAssoc)
	r.offerCall(2, "2001")
	r.expectOne(far2, isup.IAM)
}

// Calls to an unknown number, to the own exchange, or with a used-up hop counter must be released with the
// matching cause.
func TestUnroutableCallIsReleasedWithCause(t *testing.T) {
	r := newRig(t, 10)
	for called, want := range map[string]isup.Cause{"77": isup.CauseUnallocated, "1001": isup.CauseNoRoute} {
		r.offerCall(1, called)
		if m := r.expectOne(clientAssoc, isup.REL); m.Cause != want {
			t.Errorf("%s: cause %d, want %d", called, m.Cause, want)
		}
		r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	}
	m := iam(1, "2001")
	m.HasHops, m.Hops = true, 0
	r.receive(clientAssoc, 900, m)
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != 25 {
		t.Errorf("hop counter used up: cause %d, want 25", m.Cause)
	}
}

// The association is lost with one call being set up and one established. The first must fail, with no other attempt within
// the guard; the second is kept, and cut only when the far switch reconnects without knowing it.
func TestAssociationLossThenRestartCutsUnknownCall(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	r.offerCall(2, "2002")
	setUps := r.take(far2)
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: setUps[0].CIC})
	r.take(clientAssoc)
	r.c.AssocDown(r.now, far2)
	r.flush()
	r.advance(190 * ms)
	r.expectNone(far3) // no attempt within the guard
	r.advance(2 * sec)
	for _, m := range r.take(clientAssoc) {
		if m.Type != isup.REL || m.CIC != 2 {
			t.Errorf("caller received %v on circuit %d, want REL on circuit 2", m.Type, m.CIC)
		}
	}
	if r.c.OpenCalls() != 1 {
		t.Fatalf("%d calls open, want the established one", r.c.OpenCalls())
	}
	r.farUp(far2, 2, "h2", false) // all circuits idle there: it has restarted
	if m := r.expectOne(clientAssoc, isup.REL); m.CIC != 1 {
		t.Errorf("REL %+v, want circuit 1", m)
	}
	if far := r.c.byPC[2]; far.startedAt != r.now || far.group.Free() != 10 {
		t.Errorf("start time %v, %d circuits free; want the current time and 10", far.startedAt, far.group.Free())
	}
}

// A switch that reconnects and still knows its calls has not restarted: it must not be treated as cold, and its calls stay.
func TestReconnectedSwitchThatKnowsCallsIsNotCold(t *testing.T) {
	r := newRig(t, 4)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.take(clientAssoc)
	r.c.AssocDown(r.now, far2)
	r.advance(sec)
	r.farUp(far2, 2, "h2", true)
	if far := r.c.byPC[2]; far.startedAt != 0 || far.mayHaveRestarted {
		t.Errorf("exchange treated as cold: start time %v, want 0", far.startedAt)
	}
	r.expectNone(clientAssoc)
	if r.c.OpenCalls() != 1 {
		t.Error("the established call was lost")
	}
}

// A switch that reconnects under a new address is a different machine and must be treated as cold.
func TestNewAddressMakesExchangeCold(t *testing.T) {
	r := newRig(t, 10)
	r.c.AssocDown(r.now, far2)
	r.advance(sec)
	r.farUp(far2, 2, "h2b", false)
	far := r.c.byPC[2]
	if far.startedAt != r.now || r.c.byAddress["h2b"] != far || r.c.byAddress["h2"] != nil {
		t.Errorf("start time %v, addresses %v; want the current time and h2b in place of h2", far.startedAt, r.c.byAddress)
	}
	r.offerCall(1, "2001")
	r.expectOne(far2, isup.IAM)
	r.offerCall(2, "2001")
	r.expectNone(far2) // a cold exchange that has never carried a call has a cold budget of one
}

// Both ends seize the last circuit: the end that controls it must keep it, and the call of the other end must not be tried
// again within the guard.
func TestDualSeizureIsWonByControllingEnd(t *testing.T) {
	for _, pc := range []uint32{0, 9} { // odd circuits are controlled by the end with the lower point code
		self := uint32(1)
		if pc > 0 {
			self = pc
		}
		r := newRig(t, 1, func(c *Config) {
			c.PointCode = self
			c.Exchanges[0].PointCode = self
		})
		r.offerCall(1, "2001")
		r.expectOne(far2, isup.IAM)
		r.receive(ownAssoc, 2, iam(1, "1001"))
		if self == 1 {
			if m := r.expectOne(ownAssoc, isup.RSC); m.CIC != 1 {
				t.Errorf("RSC %+v, want circuit 1", m)
			}
			r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: 1})
			r.expectOne(clientAssoc, isup.CON)
			continue
		}
		r.expectNone(ownAssoc)
		r.expectOne(far2, isup.REL)                              // the far switch may not have noticed the dual seizure
		r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: 1}) // for the call that lost the circuit: ignored
		r.expectNone(clientAssoc)
		r.advance(150 * ms)
		r.expectNone(far2)
		r.expectNone(far3)
		r.advance(3 * sec)
		r.expectOne(clientAssoc, isup.REL)
		if state, _ := r.c.byPC[2].group.Circuit(1); state != trunk.Incoming {
			t.Errorf("circuit state %v, want incoming", state)
		}
	}
}

// The IAM of a transit call must be sent on with its delay and a decremented hop counter, and the REL on its circuit be answered
// by RLC, without which the far end could not use the circuit again.
func TestTransitCallIsForwardedAndReleased(t *testing.T) {
	r := newRig(t, 10)
	m := iam(9, "3001")
	m.HasHops, m.Hops, m.HasPropagationDelay, m.PropagationDelay = true, 4, true, 100
	r.receive(ownAssoc, 2, m)
	outgoing := r.expectOne(far3, isup.IAM)
	if outgoing.Hops != 3 || outgoing.PropagationDelay != 100 || outgoing.Ref != m.Ref {
		t.Errorf("IAM %+v, want 3 hops, a delay of 100 ms and the reference of the incoming one", outgoing)
	}
	r.receive(far3, 3, isup.Message{Type: isup.CON, CIC: outgoing.CIC})
	if answer := r.expectOne(ownAssoc, isup.CON); answer.CIC != 9 {
		t.Errorf("answer %+v, want circuit 9", answer)
	}
	r.receive(ownAssoc, 2, isup.Message{Type: isup.REL, CIC: 9, Cause: isup.CauseNormal})
	r.expectOne(far3, isup.REL)
	r.expectOne(ownAssoc, isup.RLC) // until then the far end may not seize the circuit again
	if r.c.byPC[2].group.Free() != 10 || r.c.OpenCalls() != 0 {
		t.Error("a call or a seized circuit is left")
	}
}

// A transit call that cannot be routed must be released with cause 34, and its circuit must stay busy until RLC.
func TestTransitWithoutRouteIsReleasedWithNoCircuit(t *testing.T) {
	r := newRig(t, 10)
	r.receiveSSNM(ownAssoc, m3ua.DUNA, 3)
	r.receive(ownAssoc, 2, iam(9, "3001"))
	r.expectNone(far3)
	if m := r.expectOne(ownAssoc, isup.REL); m.Cause != isup.CauseNoCircuit || m.Location != isup.LocationTransit {
		t.Errorf("REL %+v, want cause 34 and location transit network", m)
	}
	if state, _ := r.c.byPC[2].group.Circuit(9); state != trunk.Incoming {
		t.Errorf("circuit state %v before RLC, want incoming", state)
	}
	r.receive(ownAssoc, 2, isup.Message{Type: isup.RLC, CIC: 9})
	if r.c.byPC[2].group.Free() != 10 {
		t.Error("circuit not free after RLC")
	}
}

// A call whose direct trunk group is blocked must take the tandem route. When the tandem reports that the processor beyond it
// is full (cause 42, location network), the caller must receive that cause.
func TestBlockedGroupUsesTandem(t *testing.T) {
	r := newRig(t, 10)
	r.receive(far2, 2, isup.Message{Type: isup.CGB, CIC: 1, Range: 9, Supervision: isup.Hardware, Status: []byte{0xff, 3}})
	r.take(far2)
	r.offerCall(1, "2001")
	r.expectNone(far2)
	outgoing := r.expectOne(far3, isup.IAM)
	r.receive(far3, 3, isup.Message{Type: isup.REL, CIC: outgoing.CIC, Cause: isup.CauseCongestion, Location: isup.LocationNetwork})
	r.expectOne(far3, isup.RLC)
	r.advance(2 * sec)
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseCongestion {
		t.Errorf("REL %+v, want cause 42", m)
	}
}

// No set-up may be sent to an exchange once the list reports it as draining or removed.
func TestUnavailableExchangeGetsNoSetUps(t *testing.T) {
	r := newRig(t, 10)
	for _, k := range []m3ua.Kind{m3ua.DRST, m3ua.DUNA} {
		r.receiveSSNM(ownAssoc, k, 2)
		r.offerCall(1, "2001")
		r.expectNone(far2)
		r.take(clientAssoc)
		r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	}
	r.receiveSSNM(far3, m3ua.DAVA, 2) // a far switch may report only its own state
	r.offerCall(1, "2001")
	r.expectNone(far2)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	r.receiveSSNM(ownAssoc, m3ua.DAVA, 2)
	r.offerCall(1, "2001")
	r.expectOne(far2, isup.IAM)
}

// Seizures by the far ends are reported by the own switch: while it is unreachable, no circuit may be seized.
func TestNoSeizureWithoutOwnSwitch(t *testing.T) {
	r := newRig(t, 10)
	r.c.AssocDown(r.now, ownAssoc)
	r.offerCall(1, "2001")
	r.advance(3 * sec)
	r.expectNone(far2)
	r.expectNone(far3)
	r.expectOne(clientAssoc, isup.REL)
}

// The send queue to the switch is full: the set-up was not sent, so its circuit must come free and the caller must be
// released. A client whose own send queue is full must be closed.
func TestFullQueueFreesCircuitAndClosesClient(t *testing.T) {
	r := newRig(t, 10)
	r.fullQueues[far2] = true
	r.offerCall(1, "2001")
	r.expectOne(clientAssoc, isup.REL)
	if r.c.byPC[2].group.Free() != 10 {
		t.Error("the circuit stays seized")
	}
	r.fullQueues[clientAssoc] = true
	r.offerCall(2, "77")
	if r.closed[clientAssoc] == "" {
		t.Error("a client with a full send queue is not closed")
	}
	r.c.AssocDown(r.now, clientAssoc)
	if r.c.OpenCalls() != 0 {
		t.Error("calls of the lost client are left")
	}
}

// A held call must be released one answer margin before its caller abandons it.
func TestHeldCallIsReleasedBeforeCallerTimeout(t *testing.T) {
	r := newRig(t, 1, func(c *Config) { c.Classes[0].Patience = 400 * ms })
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.receive(ownAssoc, 3, iam(1, "1001")) // the only circuit to exchange 3 is busy too
	r.take(clientAssoc)
	start := r.now
	r.offerCall(2, "2002")
	r.expectNone(clientAssoc)
	r.advance(349 * ms)
	if m := r.expectOne(clientAssoc, isup.REL); m.CIC != 2 || r.c.Waiting() != 0 {
		t.Errorf("REL %+v, want circuit 2 and no call without a final answer", m)
	}
	_ = start
}

// When a client's association is lost, its calls must be released, the established ones too, and nothing more sent to it.
func TestClientLossReleasesItsCalls(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	r.offerCall(2, "2002")
	setUps := r.take(far2)
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: setUps[0].CIC})
	r.take(clientAssoc)
	r.c.AssocDown(r.now, clientAssoc)
	if m := r.take(far2); len(m) != 2 || m[0].Type != isup.REL || m[1].Type != isup.REL {
		t.Errorf("sent %v, want two RELs", describe(m))
	}
	r.expectNone(clientAssoc)
	if r.c.OpenCalls() != 0 {
		t.Errorf("%d calls open, want 0", r.c.OpenCalls())
	}
}

// Messages that belong to no call, and malformed ones, must not disturb calls on other circuits or leave circuits seized.
func TestInvalidClientMessagesAffectOnlyTheirSender(t *testing.T) {
	r := newRig(t, 10)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 5, Cause: 16}) // for a call that does not exist
	r.expectOne(clientAssoc, isup.RLC)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 5})
	r.receive(clientAssoc, 900, isup.Message{Type: isup.ANM, CIC: 5})
	r.receive(clientAssoc, 900, isup.Message{Type: isup.CGB, CIC: 5, Range: 1, Status: []byte{3}})
	r.expectNone(clientAssoc)
	r.offerCall(1, "2001")
	r.offerCall(1, "2002") // its circuit is busy
	r.expectOne(far2, isup.IAM)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.RSC, CIC: 1})
	r.expectOne(clientAssoc, isup.RLC)
	r.expectOne(far2, isup.REL)
	r.offerCall(1, "2001")
	r.expectOne(far2, isup.IAM)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.GRS, CIC: 0, Range: 31})
	r.expectOne(clientAssoc, isup.GRA)
	r.expectOne(far2, isup.REL)
	r.c.Handle(r.now, clientAssoc, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 900, SI: 5, User: []byte{7, 0, 1, 0, 0, 0, 10, 3, 9, 9}}})
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseProtocolError || m.CIC != 7 {
		t.Errorf("malformed IAM: %+v, want REL with cause 111 on circuit 7", m)
	}
	r.c.Handle(r.now, clientAssoc, &m3ua.Message{Kind: m3ua.DUNA, Affected: []m3ua.Affected{{PC: 2}}})
	r.offerCall(9, "2001")
	r.expectOne(far2, isup.IAM)
}

// A call dialled again after it was cut must be recognised within the cut memory, and not after it.
func TestCutCallIsRecognisedWithinCutMemory(t *testing.T) {
	r := newRig(t, 10)
	for i, after := range []time.Duration{sec, 11 * sec} {
		r.offerCall(1, "2001")
		cic := r.expectOne(far2, isup.IAM).CIC
		r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
		r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: isup.CauseTemporary})
		r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
		r.take(clientAssoc)
		r.take(far2)
		r.advance(after)
		m := iam(1, "2001")
		if got := r.c.takeCutCall(&m); got != (i == 0) {
			t.Errorf("after %v: recognised %v; the cut memory is 10 s", after, got)
		}
	}
}

// recordingEngine passes events on to the policy engine and records them.
type recordingEngine struct {
	Engine
	events *[]policy.Event
}

func (s recordingEngine) Handle(now time.Duration, event policy.Event, out []policy.Action) []policy.Action {
	*s.events = append(*s.events, event)
	return s.Engine.Handle(now, event, out)
}

// Congestion and changes in the number of free circuits must reach the policy engine.
func TestCongestionAndCircuitChangesReachEngine(t *testing.T) {
	var events []policy.Event
	r := newRig(t, 10, func(c *Config) {
		c.Engine = func(policyConfig policy.Config) (Engine, error) {
			engine, err := policy.New(policyConfig)
			return recordingEngine{engine, &events}, err
		}
	})
	last := func() policy.Status {
		for i := len(events) - 1; i >= 0; i-- {
			if s, ok := events[i].(policy.Status); ok {
				return s
			}
		}
		return policy.Status{}
	}
	r.c.Handle(r.now, ownAssoc, &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: 2}}, CongestionLevel: 3})
	if s := last(); s.Exchange != "h2" || s.Report.Reduction != 1 || s.Report.Free != 10 {
		t.Errorf("status after SCON: %+v, want h2 with reduction 1 and 10 circuits free", s)
	}
	r.receive(ownAssoc, 2, iam(4, "1001"))
	if s := last(); s.Exchange != "h2" || s.Report.Free != 9 || s.Report.Size != 10 || s.Report.Reduction >= 0 {
		t.Errorf("status after a seizure: %+v, want h2 with 9 of 10 circuits free", s)
	}
	r.receive(ownAssoc, 2, isup.Message{Type: isup.REL, CIC: 4, Cause: isup.CauseNormal})
	if s := last(); s.Report.Free != 10 {
		t.Errorf("status after the release: %+v, want 10 circuits free", s)
	}
}

// A drain must refuse new calls and keep open ones until ReleaseAll.
func TestDrainRefusesNewCallsAndKeepsOpenOnes(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.c.Drain()
	r.offerCall(2, "2001")
	if m := r.expectOne(clientAssoc, isup.REL); m.CIC != 2 {
		t.Errorf("REL %+v, want circuit 2", m)
	}
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.expectOne(clientAssoc, isup.CON)
	if r.c.Waiting() != 0 || r.c.OpenCalls() != 1 {
		t.Errorf("%d calls waiting, %d open; want 0 and 1", r.c.Waiting(), r.c.OpenCalls())
	}
	r.c.ReleaseAll(r.now)
	r.expectOne(clientAssoc, isup.REL)
	r.expectOne(far2, isup.REL)
	if r.c.OpenCalls() != 0 {
		t.Error("a call is left after ReleaseAll")
	}
}

// A reload must not drop an exchange or resize a trunk group, whose calls would be lost; a new exchange must get calls.
func TestReloadAddsExchangesAndRejectsOtherChanges(t *testing.T) {
	r := newRig(t, 10)
	exchanges := append([]Exchange(nil), r.c.cfg.Exchanges...)
	if err := r.c.Reload(r.now, exchanges[:2]); err == nil {
		t.Error("a missing exchange is accepted")
	}
	exchanges[1].Circuits = 11
	if err := r.c.Reload(r.now, exchanges); err == nil {
		t.Error("a changed size of a trunk group is accepted")
	}
	exchanges[1].Circuits, exchanges[1].Prefixes = 10, []string{"22"}
	exchanges = append(exchanges, Exchange{4, "four", "h4", 5, []string{"20"}})
	if err := r.c.Reload(r.now, exchanges); err != nil {
		t.Fatal(err)
	}
	r.offerCall(1, "2001")
	r.expectNone(far2)
	r.farUp(104, 4, "h4", false)
	r.advance(3 * sec)
	r.take(clientAssoc)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	r.offerCall(3, "2001")
	r.expectOne(104, isup.IAM)
}

// BenchmarkCall measures a whole call, whose cost must not depend on the number of open calls; B/open-call is the memory of
// an open call.
func BenchmarkCall(b *testing.B) {
	for _, open := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) { benchmarkCall(b, open, isup.CON) })
	}
	for _, open := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("ringing/", open), func(b *testing.B) { benchmarkCall(b, open, isup.ACM) })
	}
}

// discardPort drops all frames and records the circuit of the last one sent to a far switch.
type discardPort struct{ lastCIC uint16 }

func (n *discardPort) Send(id AssocID, frame []byte) bool {
	if id >= 1000 {
		n.lastCIC = uint16(frame[8+8+4+12]) | uint16(frame[8+8+4+13])<<8
	}
	return true
}
func (n *discardPort) Close(AssocID, string) {}
func (n *discardPort) Unsent(AssocID) []byte { return nil }
func (n *discardPort) CallEnded(CallRecord)  {}

func (n *discardPort) ExchangeChanged(policy.Entry, bool) {}

// benchmarkCall measures one whole call beside other open calls, which are established or ringing.
func benchmarkCall(b *testing.B, open int, answerType isup.Type) {
	cfg := Config{PointCode: 1, Hops: 5, Policy: policy.Config{Controllers: 2, MaxAttempts: 4, Guard: 200 * ms,
		Classes: []policy.Class{{Aim: 1500 * ms, Worth: 1, Circuits: 1, Repeatable: true}}},
		Classes: []Class{{Name: "a", Patience: 3 * sec, Ring: time.Hour}}, T9: time.Hour, Exchanges: []Exchange{{1, "", "h", 0, nil}}}
	exchangeCount := open/4000 + 1
	for i := range exchangeCount {
		cfg.Exchanges = append(cfg.Exchanges, Exchange{uint32(1000 + i), "", fmt.Sprint("h", i), 4095, []string{fmt.Sprint(1000 + i)}})
	}
	cfg.Policy.Controllers = exchangeCount + 1
	port, now := &discardPort{}, time.Hour
	c, err := New(cfg, port, now)
	if err != nil {
		b.Fatal(err)
	}
	c.AssocUp(now, 1, Peer{Kind: OwnSwitch})
	c.AssocUp(now, 2, Peer{Kind: Client})
	receive := func(id AssocID, opc uint32, m isup.Message) {
		c.Handle(now, id, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: opc, SI: 5, User: isup.Append(nil, &m)}})
	}
	for i := range exchangeCount {
		id, pc := AssocID(1000+i), uint32(1000+i)
		c.AssocUp(now, id, Peer{Kind: FarSwitch, PC: pc, Address: fmt.Sprint("h", i)})
		for first := 1; first <= 4095; first += 32 {
			n := min(32, 4096-first)
			s := make([]byte, n)
			for i := range s {
				s[i] = isup.CircuitIdle
			}
			receive(id, pc, isup.Message{Type: isup.CQR, CIC: uint16(first), Range: byte(n - 1), Circuits: s})
		}
		c.Flush(now)
	}
	setUpCall := func(i int) (AssocID, uint32, uint16) {
		exchange := i % exchangeCount
		m := iam(uint16(i%4000), fmt.Sprint(1000+exchange, "55"))
		receive(2, uint32(900+i/4000), m)
		id, pc := AssocID(1000+exchange), uint32(1000+exchange)
		cic := port.lastCIC
		receive(id, pc, isup.Message{Type: answerType, CIC: cic})
		return id, pc, cic
	}
	heapInUse := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	heapBefore := heapInUse()
	for i := range open {
		setUpCall(i)
		if i%100 == 0 {
			now += 10 * ms
			c.Tick(now)
			c.Flush(now)
		}
	}
	if c.OpenCalls() != open {
		b.Fatalf("%d calls open", c.OpenCalls())
	}
	bytesPerCall := (heapInUse() - heapBefore) / float64(open)
	defer func() { b.ReportMetric(bytesPerCall, "B/open-call") }()
	b.ReportAllocs()
	for i := open; b.Loop(); i++ {
		id, pc, cic := setUpCall(open)
		receive(2, uint32(900+open/4000), isup.Message{Type: isup.REL, CIC: uint16(open % 4000), Cause: isup.CauseNormal})
		receive(id, pc, isup.Message{Type: isup.RLC, CIC: cic})
		now += ms
		c.Tick(now)
		c.Flush(now)
	}
	if c.OpenCalls() != open {
		b.Fatalf("%d calls open", c.OpenCalls())
	}
}

// Set-ups beyond a client's rate limit must be released at once with cause 42 and the client's congestion level, with SCON
// only when that level changes. Other clients are not affected.
func TestClientOverRateLimitIsRefused(t *testing.T) {
	r := newRig(t, 100, func(c *Config) { c.Admission.Client = admission.Limits{Rate: 10, Burst: 5} })
	for cic := uint16(1); cic <= 20; cic++ {
		r.offerCall(cic, "2001")
	}
	if n := len(r.take(far2)); n != 5 {
		t.Errorf("%d set-ups sent, want 5", n)
	}
	refusals := r.take(clientAssoc)
	if len(refusals) != 15 {
		t.Fatalf("client received %v, want 15 RELs", describe(refusals))
	}
	for _, m := range refusals {
		if m.Type != isup.REL || m.Cause != isup.CauseCongestion || m.CongestionLevel == 0 {
			t.Errorf("client received %+v, want REL with cause 42 and a congestion level", m)
		}
	}
	if n := len(r.management[clientAssoc]); n < 1 || n > 3 || r.management[clientAssoc][n-1].Kind != m3ua.SCON || r.management[clientAssoc][n-1].CongestionLevel == 0 {
		t.Errorf("client received %+v, want 1 to 3 SCON, the last with a level above 0", r.management[clientAssoc])
	}
	other := AssocID(110)
	r.c.AssocUp(r.now, other, Peer{Kind: Client, Name: "d"})
	r.receive(other, 901, iam(1, "2001"))
	r.expectOne(far2, isup.IAM)
	if c := r.c.Counters; c.NotAdmitted != 15 || c.Offered != 6 {
		t.Errorf("counters %+v, want 15 not admitted and 6 offered", c)
	}
}

// An open call must count against the limits until it ends, however it ends; a set-up that is refused must not count.
func TestOpenCallLimitCountsUntilCallEnds(t *testing.T) {
	r := newRig(t, 100, func(c *Config) {
		c.Admission.Client = admission.Limits{Open: 2}
		c.Tenants, c.TenantAdmission = []string{"x"}, admission.Limits{Open: 2}
	})
	out := map[uint16]uint16{}
	for cic := uint16(1); cic <= 2; cic++ {
		r.offerCall(cic, "2001")
		out[cic] = r.expectOne(far2, isup.IAM).CIC
	}
	r.offerCall(3, "2001")
	r.expectOne(clientAssoc, isup.REL)
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: out[1], Cause: isup.CauseUserBusy})
	r.take(far2)
	r.expectOne(clientAssoc, isup.REL)
	r.offerCall(4, "2004")
	r.expectOne(far2, isup.IAM)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 2, Cause: 16})
	r.offerCall(5, "77") // refused: it does not count
	r.take(clientAssoc)
	r.take(far2)
	r.offerCall(6, "2006")
	r.expectOne(far2, isup.IAM)
	r.c.AssocDown(r.now, clientAssoc)
	if r.c.limits.Admit(r.c.limits.AddClient(r.now), r.now) != admission.Admitted || r.c.tenantClients[0].OpenCalls() != 0 {
		t.Errorf("%d calls of the tenant open, want 0, or a set-up of another client was refused", r.c.tenantClients[0].OpenCalls())
	}
}

// A client that reconnects with override must end its earlier associations and their calls before its new calls arrive.
// Without override the associations share the load.
func TestOverrideReplacesEarlierAssociations(t *testing.T) {
	r := newRig(t, 10)
	first, second, third := AssocID(110), AssocID(111), AssocID(112)
	r.c.AssocUp(r.now, first, Peer{Kind: Client, ASP: 7})
	r.receive(first, 900, iam(1, "2001"))
	r.expectOne(far2, isup.IAM)
	r.c.AssocUp(r.now, second, Peer{Kind: Client, ASP: 7})
	r.expectNone(far2)
	r.c.AssocUp(r.now, third, Peer{Kind: Client, ASP: 7, Override: true})
	if m := r.expectOne(far2, isup.REL); m.Cause != isup.CauseNormal {
		t.Errorf("REL %+v, want cause 16", m)
	}
	if r.closed[first] == "" || r.closed[second] == "" || r.closed[third] != "" {
		t.Errorf("closed associations %v, want the first and the second", r.closed)
	}
	r.receive(third, 900, iam(1, "2001"))
	r.expectOne(far2, isup.IAM)
	if r.c.OpenCalls() != 1 {
		t.Errorf("%d calls open, want 1", r.c.OpenCalls())
	}
	r.c.AssocDown(r.now, first) // the loss of the first association is reported late
	if r.c.OpenCalls() != 1 {
		t.Error("the call on the new association was lost")
	}
}
