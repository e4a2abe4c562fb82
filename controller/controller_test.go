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

// The rig: one controller of exchange 1 with exchanges 2 and 3, every frame that it sends kept by association.
const (
	clientAssoc AssocID = 100
	ownAssoc    AssocID = 101
	far2        AssocID = 102
	far3        AssocID = 103
)

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
		r.t.Fatalf("sends what cannot be read: %v", err)
	}
	if m.Kind != m3ua.DATA {
		r.management[id] = append(r.management[id], m)
		return true
	}
	var u isup.Message
	if err := isup.Decode(m.Data.User, &u); err != nil {
		r.t.Fatalf("sends what cannot be read: %v", err)
	}
	r.sent[id] = append(r.sent[id], u)
	return true
}

func (r *rig) Close(id AssocID, why string)       { r.closed[id] = why }
func (r *rig) Unsent(id AssocID) []byte           { b := r.unsent[id]; delete(r.unsent, id); return b }
func (r *rig) CallEnded(record CallRecord)        { r.records = append(r.records, record) }
func (r *rig) ExchangeChanged(policy.Entry, bool) {}

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

// up brings a far association up and answers its queries, with all circuits busy or idle.
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

func (r *rig) take(id AssocID) []isup.Message {
	m := r.sent[id]
	r.sent[id] = nil
	return m
}

// one takes the single message sent on an association, which must be of the given type.
func (r *rig) expectOne(id AssocID, t isup.Type) isup.Message {
	r.t.Helper()
	m := r.take(id)
	if len(m) != 1 || m[0].Type != t {
		r.t.Fatalf("on %d: %v, want one %v", id, describe(m), t)
	}
	return m[0]
}

func (r *rig) expectNone(id AssocID) {
	r.t.Helper()
	if m := r.take(id); len(m) > 0 {
		r.t.Fatalf("on %d: %v, want nothing", id, describe(m))
	}
}

func describe(ms []isup.Message) (s []string) {
	for _, m := range ms {
		s = append(s, fmt.Sprintf("%v(%d)", m.Type, m.Cause))
	}
	return s
}

func (r *rig) receive(id AssocID, opc uint32, m isup.Message) {
	frame := m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: opc, DPC: 1, SI: 5, User: isup.Append(nil, &m)}})
	var x m3ua.Message
	if err := m3ua.Decode(frame, &x); err != nil {
		r.t.Fatal(err)
	}
	r.c.Handle(r.now, id, &x)
	r.flush()
}

func (r *rig) receiveSSNM(id AssocID, k m3ua.Kind, pc uint32) {
	r.c.Handle(r.now, id, &m3ua.Message{Kind: k, Affected: []m3ua.Affected{{PC: pc}}})
	r.flush()
}

// wait lets time pass, tick by tick.
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
	from, _ := isup.ParseNumber(4, fmt.Sprint(9000+int(cic)))
	return isup.Message{Type: isup.IAM, CIC: cic, Category: isup.CategoryOrdinary, Called: number, HasCalling: true, Calling: from,
		HasRef: true, Ref: isup.CallReference{ID: uint32(cic), PC: 99}}
}

func (r *rig) offerCall(cic uint16, called string) { r.receive(clientAssoc, 900, iam(cic, called)) }

func TestCallIsEstablishedAndReleased(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	m := r.expectOne(far2, isup.IAM)
	if m.Called.String() != "2001" || m.Ref.ID != 1 || m.Hops != 4 {
		t.Fatalf("%+v", m)
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
	if r.c.Open() != 0 || r.c.Waiting() != 0 || r.c.byPC[2].group.Free() != 10 {
		t.Errorf("%d calls open, %d circuits free", r.c.Open(), r.c.byPC[2].group.Free())
	}
	if c := r.c.Counters; c.Established != 1 || c.Finished != 1 || c.Offered != 1 {
		t.Errorf("%+v", c)
	}
}

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
			t.Errorf("the caller is told %d", m.Cause)
		}
		if record := r.records[len(r.records)-1]; record.Outcome != want || record.Via != 2 {
			t.Errorf("%+v, want %v", record, want)
		}
	}
}

// The answer comes after the own time-out: the caller has had its final answer, and nothing follows.
func TestAnswerAfterTimeOutIsDropped(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.advance(1501 * ms)
	if m := r.expectOne(far2, isup.REL); m.Cause != isup.CauseTimer {
		t.Errorf("released with %d", m.Cause)
	}
	r.expectOne(clientAssoc, isup.REL)
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.expectNone(clientAssoc)
	r.expectNone(far2)
	if r.c.Counters.LateAnswers != 1 {
		t.Error("not counted")
	}
	r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	r.receive(far2, 2, isup.Message{Type: isup.RLC, CIC: cic})
	r.advance(time.Minute)
	r.expectNone(clientAssoc)
	r.expectNone(far2)
}

// The client's REL crosses the ANM: the ANM is not sent twice, both sides are cleared, and the circuit comes free.
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
	if r.c.byPC[2].group.Free() != 10 || r.c.Open() != 0 {
		t.Error("something is left")
	}
	if record := r.records[len(r.records)-1]; record.Outcome != Abandoned {
		t.Errorf("%+v", record)
	}
}

// Both RELs cross on the far side: each is answered, the circuit comes free once.
func TestCrossedReleasesFreeCircuitOnce(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.take(far2)
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: isup.CauseUserBusy})
	r.expectOne(far2, isup.RLC)
	if r.c.byPC[2].group.Free() != 9 {
		t.Error("free before its RLC")
	}
	r.receive(far2, 2, isup.Message{Type: isup.RLC, CIC: cic})
	if r.c.byPC[2].group.Free() != 10 {
		t.Error("not free after its RLC")
	}
}

// REL to a client without RLC is sent again a few times, then the circuit is given up; a new IAM takes it at once.
func TestReleaseWithoutRLCIsRetransmittedThenGivenUp(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "77")
	r.expectOne(clientAssoc, isup.REL)
	r.advance(4 * time.Minute)
	if n := len(r.take(clientAssoc)); n != maxReleaseRetransmissions {
		t.Errorf("REL is repeated %d times", n)
	}
	if len(r.c.assocs[clientAssoc].circuits) != 0 {
		t.Error("the circuit is never given up")
	}
	r.offerCall(2, "77")
	r.take(clientAssoc)
	r.offerCall(2, "2001")
	r.expectOne(far2, isup.IAM)
}

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
		t.Errorf("a call without hops left: cause %d", m.Cause)
	}
}

// The association dies with calls out and standing: the one being set up is failed after the guard at the earliest, the
// standing one is held, and what the far end does not know afterwards is cut.
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
	r.expectNone(far3) // the guard
	r.advance(2 * sec)
	for _, m := range r.take(clientAssoc) {
		if m.Type != isup.REL || m.CIC != 2 {
			t.Errorf("the caller is told %v on %d", m.Type, m.CIC)
		}
	}
	if r.c.Open() != 1 {
		t.Fatalf("%d calls open", r.c.Open())
	}
	r.farUp(far2, 2, "h2", false) // it knows nothing: started anew
	if m := r.expectOne(clientAssoc, isup.REL); m.CIC != 1 {
		t.Errorf("%+v", m)
	}
	if far := r.c.byPC[2]; far.launched != r.now || far.group.Free() != 10 {
		t.Errorf("launched %v, %d free", far.launched, far.group.Free())
	}
}

// A switch that still knows its calls has not started anew.
func TestReconnectedSwitchThatKnowsCallsIsNotCold(t *testing.T) {
	r := newRig(t, 4)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.take(clientAssoc)
	r.c.AssocDown(r.now, far2)
	r.advance(sec)
	r.farUp(far2, 2, "h2", true)
	if far := r.c.byPC[2]; far.launched != 0 || far.mayHaveRestarted {
		t.Errorf("taken for cold: %v", far.launched)
	}
	r.expectNone(clientAssoc)
	if r.c.Open() != 1 {
		t.Error("the standing call is gone")
	}
}

// A switch that comes back under a new address is another machine, and cold.
func TestNewAddressMakesExchangeCold(t *testing.T) {
	r := newRig(t, 10)
	r.c.AssocDown(r.now, far2)
	r.advance(sec)
	r.farUp(far2, 2, "h2b", false)
	far := r.c.byPC[2]
	if far.launched != r.now || r.c.byAddress["h2b"] != far || r.c.byAddress["h2"] != nil {
		t.Errorf("launched %v, addresses %v", far.launched, r.c.byAddress)
	}
	r.offerCall(1, "2001")
	r.expectOne(far2, isup.IAM)
	r.offerCall(2, "2001")
	r.expectNone(far2) // the cold budget of an exchange that never carried a call is one
}

func TestDualSeizureIsWonByControllingEnd(t *testing.T) {
	for _, pc := range []uint32{0, 9} { // circuit 1 is controlled by the lower point code
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
				t.Errorf("%+v", m)
			}
			r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: 1})
			r.expectOne(clientAssoc, isup.CON)
			continue
		}
		r.expectNone(ownAssoc)
		r.expectOne(far2, isup.REL)                              // its switch may never have seen the two meet
		r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: 1}) // of the call that yielded: disregarded
		r.expectNone(clientAssoc)
		r.advance(150 * ms)
		r.expectNone(far2)
		r.expectNone(far3)
		r.advance(3 * sec)
		r.expectOne(clientAssoc, isup.REL)
		if state, _ := r.c.byPC[2].group.Circuit(1); state != trunk.Incoming {
			t.Errorf("the circuit is %v", state)
		}
	}
}

func TestTransitCallIsForwardedAndReleased(t *testing.T) {
	r := newRig(t, 10)
	m := iam(9, "3001")
	m.HasHops, m.Hops, m.HasDelay, m.Delay = true, 4, true, 100
	r.receive(ownAssoc, 2, m)
	x := r.expectOne(far3, isup.IAM)
	if x.Hops != 3 || x.Delay != 100 || x.Ref != m.Ref {
		t.Errorf("%+v", x)
	}
	r.receive(far3, 3, isup.Message{Type: isup.CON, CIC: x.CIC})
	if b := r.expectOne(ownAssoc, isup.CON); b.CIC != 9 {
		t.Errorf("%+v", b)
	}
	r.receive(ownAssoc, 2, isup.Message{Type: isup.REL, CIC: 9, Cause: isup.CauseNormal})
	r.expectOne(far3, isup.REL)
	r.expectOne(ownAssoc, isup.RLC) // only now may the far end take the circuit again
	if r.c.byPC[2].group.Free() != 10 || r.c.Open() != 0 {
		t.Error("something is left")
	}
}

func TestTransitWithoutRouteIsReleasedWithNoCircuit(t *testing.T) {
	r := newRig(t, 10)
	r.receiveSSNM(ownAssoc, m3ua.DUNA, 3)
	r.receive(ownAssoc, 2, iam(9, "3001"))
	r.expectNone(far3)
	if m := r.expectOne(ownAssoc, isup.REL); m.Cause != isup.CauseNoCircuit || m.Location != isup.LocationTransit {
		t.Errorf("%+v", m)
	}
	if state, _ := r.c.byPC[2].group.Circuit(9); state != trunk.Incoming {
		t.Errorf("%v before its RLC", state)
	}
	r.receive(ownAssoc, 2, isup.Message{Type: isup.RLC, CIC: 9})
	if r.c.byPC[2].group.Free() != 10 {
		t.Error("not free after its RLC")
	}
}

// A call blocked on its own group goes over the tandem; what the tandem says of a full processor is told apart.
func TestBlockedGroupUsesTandem(t *testing.T) {
	r := newRig(t, 10)
	r.receive(far2, 2, isup.Message{Type: isup.CGB, CIC: 1, Range: 9, Supervision: isup.Hardware, Status: []byte{0xff, 3}})
	r.take(far2)
	r.offerCall(1, "2001")
	r.expectNone(far2)
	x := r.expectOne(far3, isup.IAM)
	r.receive(far3, 3, isup.Message{Type: isup.REL, CIC: x.CIC, Cause: isup.CauseCongestion, Location: isup.LocationNetwork})
	r.expectOne(far3, isup.RLC)
	r.advance(2 * sec)
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseCongestion {
		t.Errorf("%+v", m)
	}
}

// A draining or gone exchange gets nothing from the instant that it is told.
func TestUnavailableExchangeGetsNoSetUps(t *testing.T) {
	r := newRig(t, 10)
	for _, k := range []m3ua.Kind{m3ua.DRST, m3ua.DUNA} {
		r.receiveSSNM(ownAssoc, k, 2)
		r.offerCall(1, "2001")
		r.expectNone(far2)
		r.take(clientAssoc)
		r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	}
	r.receiveSSNM(far3, m3ua.DAVA, 2) // a far switch speaks for itself alone
	r.offerCall(1, "2001")
	r.expectNone(far2)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.RLC, CIC: 1})
	r.receiveSSNM(ownAssoc, m3ua.DAVA, 2)
	r.offerCall(1, "2001")
	r.expectOne(far2, isup.IAM)
}

// With the own switch gone the seizures of the other ends are not seen: no circuit is seized.
func TestNoSeizureWithoutOwnSwitch(t *testing.T) {
	r := newRig(t, 10)
	r.c.AssocDown(r.now, ownAssoc)
	r.offerCall(1, "2001")
	r.advance(3 * sec)
	r.expectNone(far2)
	r.expectNone(far3)
	r.expectOne(clientAssoc, isup.REL)
}

// A full queue towards the switch: the set-up never left, its circuit is free, the caller has an answer.
func TestFullQueueFreesCircuitAndClosesClient(t *testing.T) {
	r := newRig(t, 10)
	r.fullQueues[far2] = true
	r.offerCall(1, "2001")
	r.expectOne(clientAssoc, isup.REL)
	if r.c.byPC[2].group.Free() != 10 {
		t.Error("the circuit stays taken")
	}
	r.fullQueues[clientAssoc] = true
	r.offerCall(2, "77")
	if r.closed[clientAssoc] == "" {
		t.Error("a client that does not read is kept")
	}
	r.c.AssocDown(r.now, clientAssoc)
	if r.c.Open() != 0 {
		t.Error("its calls are kept")
	}
}

// The caller's time ends while its call is held: it has its answer before.
func TestHeldCallIsReleasedBeforeCallerTimeout(t *testing.T) {
	r := newRig(t, 1, func(c *Config) { c.Classes[0].Patience = 400 * ms })
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.receive(ownAssoc, 3, iam(1, "1001")) // the group to 3 is taken too
	r.take(clientAssoc)
	start := r.now
	r.offerCall(2, "2002")
	r.expectNone(clientAssoc)
	r.advance(349 * ms)
	if m := r.expectOne(clientAssoc, isup.REL); m.CIC != 2 || r.c.Waiting() != 0 {
		t.Errorf("%+v", m)
	}
	_ = start
}

// A client that is gone: its calls are withdrawn, also those that stand, and nothing is sent to it.
func TestClientLossReleasesItsCalls(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	r.offerCall(2, "2002")
	setUps := r.take(far2)
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: setUps[0].CIC})
	r.take(clientAssoc)
	r.c.AssocDown(r.now, clientAssoc)
	if m := r.take(far2); len(m) != 2 || m[0].Type != isup.REL || m[1].Type != isup.REL {
		t.Errorf("%v", describe(m))
	}
	r.expectNone(clientAssoc)
	if r.c.Open() != 0 {
		t.Errorf("%d open", r.c.Open())
	}
}

// A client that sends nonsense costs itself alone.
func TestInvalidClientMessagesAffectOnlyTheirSender(t *testing.T) {
	r := newRig(t, 10)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 5, Cause: 16}) // of a call never made
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
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseProtocol || m.CIC != 7 {
		t.Errorf("an IAM that cannot be read: %+v", m)
	}
	r.c.Handle(r.now, clientAssoc, &m3ua.Message{Kind: m3ua.DUNA, Affected: []m3ua.Affected{{PC: 2}}})
	r.offerCall(9, "2001")
	r.expectOne(far2, isup.IAM)
}

// A standing call is cut and dialled again: the module is told so.
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
			t.Errorf("after %v: %v", after, got)
		}
	}
}

// spy hands events on to the module and keeps them.
type recordingEngine struct {
	Engine
	events *[]policy.Event
}

func (s recordingEngine) Handle(now time.Duration, event policy.Event, out []policy.Action) []policy.Action {
	*s.events = append(*s.events, event)
	return s.Engine.Handle(now, event, out)
}

// Congestion and changes of circuits reach the module.
func TestCongestionAndCircuitChangesReachEngine(t *testing.T) {
	var events []policy.Event
	r := newRig(t, 10, func(c *Config) {
		c.Engine = func(b policy.Config) (Engine, error) {
			m, err := policy.New(b)
			return recordingEngine{m, &events}, err
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
	r.c.Handle(r.now, ownAssoc, &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: 2}}, Congestion: 3})
	if s := last(); s.Exchange != "h2" || s.Report.Reduction != 1 || s.Report.Free != 10 {
		t.Errorf("%+v", s)
	}
	r.receive(ownAssoc, 2, iam(4, "1001"))
	if s := last(); s.Exchange != "h2" || s.Report.Free != 9 || s.Report.Size != 10 || s.Report.Reduction >= 0 {
		t.Errorf("%+v", s)
	}
	r.receive(ownAssoc, 2, isup.Message{Type: isup.REL, CIC: 4, Cause: isup.CauseNormal})
	if s := last(); s.Report.Free != 10 {
		t.Errorf("%+v", s)
	}
}

func TestDrainRefusesNewCallsAndKeepsOpenOnes(t *testing.T) {
	r := newRig(t, 10)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.c.Drain()
	r.offerCall(2, "2001")
	if m := r.expectOne(clientAssoc, isup.REL); m.CIC != 2 {
		t.Errorf("%+v", m)
	}
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.expectOne(clientAssoc, isup.CON)
	if r.c.Waiting() != 0 || r.c.Open() != 1 {
		t.Errorf("%d waiting, %d open", r.c.Waiting(), r.c.Open())
	}
	r.c.ReleaseAll(r.now)
	r.expectOne(clientAssoc, isup.REL)
	r.expectOne(far2, isup.REL)
	if r.c.Open() != 0 {
		t.Error("a call is left")
	}
}

func TestReloadAddsExchangesAndRejectsOtherChanges(t *testing.T) {
	r := newRig(t, 10)
	x := append([]Exchange(nil), r.c.cfg.Exchanges...)
	if err := r.c.Reload(r.now, x[:2]); err == nil {
		t.Error("a missing exchange passes")
	}
	x[1].Circuits = 11
	if err := r.c.Reload(r.now, x); err == nil {
		t.Error("another size passes")
	}
	x[1].Circuits, x[1].Prefixes = 10, []string{"22"}
	x = append(x, Exchange{4, "four", "h4", 5, []string{"20"}})
	if err := r.c.Reload(r.now, x); err != nil {
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

// A whole call costs the same whatever the table holds; B/open-call is what an open call takes.
func BenchmarkCall(b *testing.B) {
	for _, open := range []int{1000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(open), func(b *testing.B) { benchmarkCall(b, open, isup.CON) })
	}
	for _, open := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint("ringing/", open), func(b *testing.B) { benchmarkCall(b, open, isup.ACM) })
	}
}

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

// benchmarkCall measures one whole call beside open ones, which stand or ring.
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
		x := i % exchangeCount
		m := iam(uint16(i%4000), fmt.Sprint(1000+x, "55"))
		receive(2, uint32(900+i/4000), m)
		id, pc := AssocID(1000+x), uint32(1000+x)
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
	if c.Open() != open {
		b.Fatalf("%d open", c.Open())
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
	if c.Open() != open {
		b.Fatalf("%d open", c.Open())
	}
}

// Limits keep a client's flood out at once, with cause 42, its congestion level, and one SCON for each change.
func TestClientOverRateLimitIsRefused(t *testing.T) {
	r := newRig(t, 100, func(c *Config) { c.Admission.Client = admission.Limits{Rate: 10, Burst: 5} })
	for cic := uint16(1); cic <= 20; cic++ {
		r.offerCall(cic, "2001")
	}
	if n := len(r.take(far2)); n != 5 {
		t.Errorf("%d set-ups", n)
	}
	kept := r.take(clientAssoc)
	if len(kept) != 15 {
		t.Fatalf("%v", describe(kept))
	}
	for _, m := range kept {
		if m.Type != isup.REL || m.Cause != isup.CauseCongestion || m.Congestion == 0 {
			t.Errorf("%+v", m)
		}
	}
	if n := len(r.management[clientAssoc]); n < 1 || n > 3 || r.management[clientAssoc][n-1].Kind != m3ua.SCON || r.management[clientAssoc][n-1].Congestion == 0 {
		t.Errorf("%+v", r.management[clientAssoc])
	}
	other := AssocID(110)
	r.c.AssocUp(r.now, other, Peer{Kind: Client, Name: "d"})
	r.receive(other, 901, iam(1, "2001"))
	r.expectOne(far2, isup.IAM)
	if c := r.c.Counters; c.NotAdmitted != 15 || c.Offered != 6 {
		t.Errorf("%+v", c)
	}
}

// Open calls count until they are over, however they end.
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
	r.offerCall(5, "77") // never taken: it holds no place
	r.take(clientAssoc)
	r.take(far2)
	r.offerCall(6, "2006")
	r.expectOne(far2, isup.IAM)
	r.c.AssocDown(r.now, clientAssoc)
	if r.c.limits.Admit(r.c.limits.AddClient(r.now), r.now) != admission.Admitted || r.c.tenantClients[0].Open() != 0 {
		t.Errorf("%d open of the tenant", r.c.tenantClients[0].Open())
	}
}

// A client that comes again with override ends its old connection and the calls there, before it brings new ones; one
// without shares the load.
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
		t.Errorf("%+v", m)
	}
	if r.closed[first] == "" || r.closed[second] == "" || r.closed[third] != "" {
		t.Errorf("%v", r.closed)
	}
	r.receive(third, 900, iam(1, "2001"))
	r.expectOne(far2, isup.IAM)
	if r.c.Open() != 1 {
		t.Errorf("%d open", r.c.Open())
	}
	r.c.AssocDown(r.now, first) // word of the old one's end comes later
	if r.c.Open() != 1 {
		t.Error("the new one's call is gone")
	}
}
