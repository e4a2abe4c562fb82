package controller

import (
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/policy"
)

// newRingingRig makes a rig whose callers let calls ring for 30 s; T9 is 20 s.
func newRingingRig(t *testing.T, change ...func(*Config)) *rig {
	return newRig(t, 20, append([]func(*Config){func(c *Config) {
		c.Classes[0].Ring, c.Classes[1].Ring, c.T9 = 30*sec, 30*sec, 20*sec
	}}, change...)...)
}

// ring offers a call and lets it ring; it returns the circuit towards the far switch.
func (r *rig) ring(cic uint16, called string) uint16 {
	r.t.Helper()
	r.offerCall(cic, called)
	m := r.expectOne(far2, isup.IAM)
	r.receive(far2, 2, isup.Message{Type: isup.ACM, CIC: m.CIC})
	r.expectOne(clientAssoc, isup.ACM)
	return m.CIC
}

// view returns the policy engine's view of an exchange.
func (r *rig) view(pc int) policy.View {
	r.t.Helper()
	for _, v := range r.c.Views() {
		if v.PointCode == pc {
			return v
		}
	}
	r.t.Fatalf("no exchange %d", pc)
	return policy.View{}
}

// A call that rings much longer than the set-up time and Class.Patience must stay open and be answered, without
// holding a slot of the far processor.
func TestRingingCallIsAnsweredLongAfterSetUpTime(t *testing.T) {
	r := newRingingRig(t)
	cic := r.ring(1, "2001")
	if v := r.view(2); v.SlotsHeld != 0 || v.Outstanding != 0 || r.c.Ringing() != 1 || r.c.Waiting() != 1 {
		t.Errorf("exchange %+v, %d ringing, %d waiting; want no slot held, 1 and 1", v, r.c.Ringing(), r.c.Waiting())
	}
	r.advance(15 * sec)
	r.expectNone(far2)
	r.expectNone(clientAssoc)
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.expectOne(clientAssoc, isup.ANM)
	r.advance(30 * sec) // the ringing limit must not end an established call
	r.expectNone(clientAssoc)
	if record := r.records[0]; record.Outcome != Answered || record.SetUp != 0 || record.After != 15*sec || r.c.Ringing() != 0 || r.c.Waiting() != 0 {
		t.Errorf("record %+v, %d ringing; want an answer after 15 s and 0", record, r.c.Ringing())
	}
}

// ACM and ANM arrive in one read: both must be passed back and reported to the policy engine in turn.
func TestACMAndANMInOneReadAreBothPassedBack(t *testing.T) {
	r := newRingingRig(t)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	for _, m := range []isup.Message{{Type: isup.ACM, CIC: cic}, {Type: isup.ANM, CIC: cic}} {
		r.c.Handle(r.now, far2, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 2, DPC: 1, SI: 5, User: isup.Append(nil, &m)}})
	}
	r.flush()
	if m := r.take(clientAssoc); len(m) != 2 || m[0].Type != isup.ACM || m[1].Type != isup.ANM {
		t.Fatalf("client received %v, want ACM and ANM", describe(m))
	}
	if r.c.Ringing() != 0 || r.view(2).SlotsHeld != 0 || r.c.Counters.Alerted != 1 || r.c.Counters.Established != 1 {
		t.Errorf("%d ringing, counters %+v; want 0, 1 alerted and 1 established", r.c.Ringing(), r.c.Counters)
	}
}

// The ACM is lost and CPG arrives: a switch sends CPG only after ACM, so the call must count as ringing.
func TestCPGWithoutACMCountsAsAlerting(t *testing.T) {
	r := newRingingRig(t)
	r.offerCall(1, "2001")
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CPG, CIC: cic, EventInformation: 1})
	r.expectOne(clientAssoc, isup.ACM)
	r.receive(far2, 2, isup.Message{Type: isup.CPG, CIC: cic, EventInformation: 2})
	r.expectOne(clientAssoc, isup.CPG)
	if r.c.Ringing() != 1 || r.view(2).SlotsHeld != 0 {
		t.Errorf("%d ringing, exchange %+v; want 1 and no slot held", r.c.Ringing(), r.view(2))
	}
	r.advance(5 * sec)
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.expectOne(clientAssoc, isup.ANM)
}

// A call that nobody answers must end at T9, or one answer margin before the caller abandons it if that is earlier: with cause
// 19 and no further attempt. It must not count as load or unresponsiveness of the exchange.
func TestUnansweredCallEndsWithNoAnswerCause(t *testing.T) {
	for name, tc := range map[string]struct {
		t9, ring, after time.Duration
	}{"T9": {10 * sec, 30 * sec, 10 * sec}, "caller's limit": {90 * sec, 8 * sec, 8*sec - 50*ms}} {
		r := newRingingRig(t, func(c *Config) { c.T9, c.Classes[0].Ring = tc.t9, tc.ring })
		r.ring(1, "2001")
		r.advance(tc.after - ms)
		r.expectNone(far2)
		r.advance(2 * ms)
		if m := r.expectOne(far2, isup.REL); m.Cause != isup.CauseNoAnswer {
			t.Errorf("%s: attempt released with cause %d, want 19", name, m.Cause)
		}
		if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseNoAnswer {
			t.Errorf("%s: caller released with cause %d, want 19", name, m.Cause)
		}
		if v := r.view(2); v.Unresponsive || v.Load > 0 || r.c.Counters.NoAnswer != 1 || r.c.Counters.TimedOut != 0 {
			t.Errorf("%s: exchange %+v, counters %+v; want no load, responsive, 1 no answer and no time-out", name, v, r.c.Counters)
		}
	}
}

// Hooks may request a further attempt after a REL with no answer, but no attempt may start while the first one still rings.
func TestHooksRetryAfterNoAnswerRelease(t *testing.T) {
	stub, change := newStubHooks(t, "on attempt_end {\n\ttreat_as(34)\n}\n")
	r := newRingingRig(t, change)
	cic := r.ring(1, "2001")
	r.advance(time.Second)
	r.expectNone(far3)
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: isup.CauseNoAnswer})
	r.expectOne(far2, isup.RLC)
	r.answerHooks(stub)
	further := r.take(far3)
	further = append(further, r.take(far2)...)
	if len(further) != 1 || further[0].Type != isup.IAM {
		t.Fatalf("%v, want one further attempt", describe(further))
	}
	r.expectNone(clientAssoc)
}

// The caller releases a ringing call: the attempt must be released, and all counts of open calls return to zero.
func TestCallerReleaseWhileRingingReleasesAttempt(t *testing.T) {
	r := newRingingRig(t)
	cic := r.ring(1, "2001")
	r.advance(4 * sec)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.expectOne(clientAssoc, isup.RLC)
	if m := r.expectOne(far2, isup.REL); m.CIC != cic || m.Cause != isup.CauseNormal {
		t.Errorf("REL %+v, want cause 16 on the circuit of the attempt", m)
	}
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic}) // crosses the REL
	r.expectNone(clientAssoc)
	if r.c.OpenCalls() != 0 || r.c.Ringing() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%d open, %d ringing, %d waiting; want 0 of each", r.c.OpenCalls(), r.c.Ringing(), r.c.Waiting())
	}
}

// A drain of the far exchange or of this controller must not end a ringing call.
func TestRingingCallSurvivesDrain(t *testing.T) {
	r := newRingingRig(t)
	cic := r.ring(1, "2001")
	r.receiveSSNM(ownAssoc, m3ua.DRST, 2)
	r.c.Drain()
	r.advance(10 * sec)
	r.expectNone(clientAssoc)
	r.expectNone(far2)
	r.receive(far2, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.expectOne(clientAssoc, isup.ANM)
}

// The association is lost, or the far switch resets the circuit, while a call rings: the call must get its final answer once
// its set-up time is over, and before that a further attempt only after the guard.
func TestRingingCallEndsWhenSwitchIsLost(t *testing.T) {
	for _, lost := range []string{"association", "reset"} {
		r := newRingingRig(t)
		cic := r.ring(1, "2001")
		r.advance(5 * sec) // beyond the set-up time: no further attempt is made
		if lost == "association" {
			r.c.AssocDown(r.now, far2)
			r.flush()
		} else {
			r.receive(far2, 2, isup.Message{Type: isup.RSC, CIC: cic})
		}
		if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseTemporary {
			t.Errorf("%s: caller released with cause %d, want 41", lost, m.Cause)
		}
		r.advance(sec)
		r.expectNone(far3)
		if r.c.Waiting() != 0 || r.c.Ringing() != 0 {
			t.Errorf("%s: %d waiting, %d ringing; want 0 of each", lost, r.c.Waiting(), r.c.Ringing())
		}
		r = newRingingRig(t)
		cic = r.ring(1, "2001")
		r.advance(100 * ms)
		r.receive(far2, 2, isup.Message{Type: isup.RSC, CIC: cic})
		r.take(far2)
		r.advance(199 * ms)
		if m := append(r.take(far2), r.take(far3)...); len(m) > 0 {
			t.Errorf("sent %v within the guard, want nothing", describe(m))
		}
		r.advance(10 * ms)
		if m := append(r.take(far2), r.take(far3)...); len(m) != 1 || m[0].Type != isup.IAM {
			t.Errorf("%v after the guard, want a further attempt", describe(m))
		}
	}
}

// Mass calling to a number that rings without an answer seizes circuits, but must leave the processor's slots free for other
// calls.
func TestRingingCallsHoldNoProcessorSlots(t *testing.T) {
	r := newRig(t, 400)
	for i := range 300 {
		r.offerCall(uint16(i+1), "2001")
		for _, m := range r.take(far2) {
			if m.Type == isup.IAM {
				r.receive(far2, 2, isup.Message{Type: isup.ACM, CIC: m.CIC})
			}
		}
		r.take(clientAssoc)
		r.advance(10 * ms)
	}
	if v := r.view(2); r.c.Ringing() != 300 || v.SlotsHeld != 0 || v.Outstanding != 0 {
		t.Fatalf("%d calls ring, exchange %+v; want 300 and no slot held", r.c.Ringing(), v)
	}
	r.take(far2)
	r.offerCall(301, "2999")
	r.expectOne(far2, isup.IAM)
}

// The delay from REL to RLC must be reported as load of the far switch, the event-queue delay as load of the own exchange.
func TestReleaseAndQueueDelaysAreReportedAsLoad(t *testing.T) {
	r := newRingingRig(t)
	for i := range 40 {
		cic := r.ring(uint16(i+1), "2001")
		r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: uint16(i + 1), Cause: isup.CauseNormal})
		r.take(clientAssoc)
		r.expectOne(far2, isup.REL)
		r.advance(900 * ms)
		r.receive(far2, 2, isup.Message{Type: isup.RLC, CIC: cic})
		r.advance(100 * ms)
	}
	if v := r.view(2); v.Load < 0.9 {
		t.Errorf("load %.2f with a release delay of 0.9 s, want at least 0.9", v.Load)
	}
	for range 4 {
		r.c.RecordQueueDelay(40*sec, 50)
		r.advance(500 * ms)
	}
	if v := r.view(1); v.Load < 0.9 {
		t.Errorf("own load %.2f with an event-queue delay of 0.8 s, want at least 0.9", v.Load)
	}
	r.c.Handle(r.now, ownAssoc, &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: 1}}, CongestionLevel: 3})
	r.advance(2 * sec)
	if v := r.view(1); v.Load < 0.99 {
		t.Errorf("own load %.2f with the own switch at congestion level 3, want at least 0.99", v.Load)
	}
}
