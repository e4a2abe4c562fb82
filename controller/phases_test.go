package controller

import (
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/policy"
)

func ringRig(t *testing.T, change ...func(*Config)) *rig {
	return newRig(t, 20, append([]func(*Config){func(c *Config) {
		c.Classes[0].Ring, c.Classes[1].Ring, c.T9 = 30*sec, 30*sec, 20*sec
	}}, change...)...)
}

// ring offers a call and lets it ring; it returns the circuit towards the far switch.
func (r *rig) ring(cic uint16, called string) uint16 {
	r.t.Helper()
	r.offer(cic, called)
	m := r.one(two, isup.IAM)
	r.from(two, 2, isup.Message{Type: isup.ACM, CIC: m.CIC})
	r.one(client, isup.ACM)
	return m.CIC
}

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

// A number rings far beyond aim and patience of the set-up, and is answered.
func TestRingsThenStands(t *testing.T) {
	r := ringRig(t)
	cic := r.ring(1, "2001")
	if v := r.view(2); v.SlotsHeld != 0 || v.Pending != 0 || r.c.Ringing() != 1 || r.c.Waiting() != 1 {
		t.Errorf("%+v, %d ringing, %d waiting", v, r.c.Ringing(), r.c.Waiting())
	}
	r.wait(15 * sec)
	r.none(two)
	r.none(client)
	r.from(two, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.one(client, isup.ANM)
	r.wait(30 * sec) // the time for ringing must not end a call that stands
	r.none(client)
	if e := r.ends[0]; e.Outcome != Answered || e.SetUp != 0 || e.After != 15*sec || r.c.Ringing() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%+v, %d ringing", e, r.c.Ringing())
	}
}

// ACM and ANM come in one read, and the module is told of both in turn.
func TestAnswerInTheSameRead(t *testing.T) {
	r := ringRig(t)
	r.offer(1, "2001")
	cic := r.one(two, isup.IAM).CIC
	for _, m := range []isup.Message{{Type: isup.ACM, CIC: cic}, {Type: isup.ANM, CIC: cic}} {
		r.c.Handle(r.now, two, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: 2, DPC: 1, SI: 5, User: isup.Append(nil, &m)}})
	}
	r.flush()
	if m := r.take(client); len(m) != 2 || m[0].Type != isup.ACM || m[1].Type != isup.ANM {
		t.Fatalf("%v", types(m))
	}
	if r.c.Ringing() != 0 || r.view(2).SlotsHeld != 0 || r.c.Counters.Alerted != 1 || r.c.Counters.Established != 1 {
		t.Errorf("%d ringing, %+v", r.c.Ringing(), r.c.Counters)
	}
}

// The ACM is lost and CPG comes: whoever sends it has the address complete.
func TestProgressWithoutACM(t *testing.T) {
	r := ringRig(t)
	r.offer(1, "2001")
	cic := r.one(two, isup.IAM).CIC
	r.from(two, 2, isup.Message{Type: isup.CPG, CIC: cic, Event: 1})
	r.one(client, isup.ACM)
	r.from(two, 2, isup.Message{Type: isup.CPG, CIC: cic, Event: 2})
	r.one(client, isup.CPG)
	if r.c.Ringing() != 1 || r.view(2).SlotsHeld != 0 {
		t.Errorf("%d ringing, %+v", r.c.Ringing(), r.view(2))
	}
	r.wait(5 * sec)
	r.from(two, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.one(client, isup.ANM)
}

// T9 or the caller's patience ends a number that nobody answers: cause 19, no further attempt, and nothing held against the
// exchange. The final answer leaves before the caller gives up.
func TestNobodyAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		t9, ring, after time.Duration
	}{"T9": {10 * sec, 30 * sec, 10 * sec}, "the caller": {90 * sec, 8 * sec, 8*sec - 50*ms}} {
		r := ringRig(t, func(c *Config) { c.T9, c.Classes[0].Ring = tc.t9, tc.ring })
		r.ring(1, "2001")
		r.wait(tc.after - ms)
		r.none(two)
		r.wait(2 * ms)
		if m := r.one(two, isup.REL); m.Cause != isup.CauseNoAnswer {
			t.Errorf("%s: released with %d", name, m.Cause)
		}
		if m := r.one(client, isup.REL); m.Cause != isup.CauseNoAnswer {
			t.Errorf("%s: the caller is told %d", name, m.Cause)
		}
		if v := r.view(2); v.Unresponsive || v.Load > 0 || r.c.Counters.NoAnswer != 1 || r.c.Counters.TimedOut != 0 {
			t.Errorf("%s: %+v %+v", name, v, r.c.Counters)
		}
	}
}

// Hooks may have a number that does not answer tried by another way, but never while it still rings there.
func TestFurtherAttemptAfterNoAnswer(t *testing.T) {
	a, change := newAsker(t, "on attempt_end {\n\ttreat_as(34)\n}\n")
	r := ringRig(t, change)
	cic := r.ring(1, "2001")
	r.wait(time.Second)
	r.none(three)
	r.from(two, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: isup.CauseNoAnswer})
	r.one(two, isup.RLC)
	r.answer(a)
	again := r.take(three)
	again = append(again, r.take(two)...)
	if len(again) != 1 || again[0].Type != isup.IAM {
		t.Fatalf("%v, want one further attempt", types(again))
	}
	r.none(client)
}

// The caller leaves while it rings: the attempt is released and its end told.
func TestCallerLeavesWhileItRings(t *testing.T) {
	r := ringRig(t)
	cic := r.ring(1, "2001")
	r.wait(4 * sec)
	r.from(client, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: isup.CauseNormal})
	r.one(client, isup.RLC)
	if m := r.one(two, isup.REL); m.CIC != cic || m.Cause != isup.CauseNormal {
		t.Errorf("%+v", m)
	}
	r.from(two, 2, isup.Message{Type: isup.ANM, CIC: cic}) // crossed
	r.none(client)
	if r.c.Open() != 0 || r.c.Ringing() != 0 || r.c.Waiting() != 0 {
		t.Errorf("%d open, %d ringing, %d waiting", r.c.Open(), r.c.Ringing(), r.c.Waiting())
	}
}

// A far exchange drains and this controller is drained while a call rings: it is not cut short.
func TestRingingOutlivesDrains(t *testing.T) {
	r := ringRig(t)
	cic := r.ring(1, "2001")
	r.ssnm(own, m3ua.DRST, 2)
	r.c.Drain()
	r.wait(10 * sec)
	r.none(client)
	r.none(two)
	r.from(two, 2, isup.Message{Type: isup.ANM, CIC: cic})
	r.one(client, isup.ANM)
}

// The association is lost, or the far switch starts anew, while a call rings: it has its final answer, and no further attempt
// leaves within the guard.
func TestRingingCallLosesItsSwitch(t *testing.T) {
	for _, lost := range []string{"association", "reset"} {
		r := ringRig(t)
		cic := r.ring(1, "2001")
		r.wait(5 * sec) // beyond the time of its set-up: nothing further is tried
		if lost == "association" {
			r.c.AssocDown(r.now, two)
			r.flush()
		} else {
			r.from(two, 2, isup.Message{Type: isup.RSC, CIC: cic})
		}
		if m := r.one(client, isup.REL); m.Cause != isup.CauseTemporary {
			t.Errorf("%s: the caller is told %d", lost, m.Cause)
		}
		r.wait(sec)
		r.none(three)
		if r.c.Waiting() != 0 || r.c.Ringing() != 0 {
			t.Errorf("%s: %d waiting, %d ringing", lost, r.c.Waiting(), r.c.Ringing())
		}
		r = ringRig(t)
		cic = r.ring(1, "2001")
		r.wait(100 * ms)
		r.from(two, 2, isup.Message{Type: isup.RSC, CIC: cic})
		r.take(two)
		r.wait(199 * ms)
		if m := append(r.take(two), r.take(three)...); len(m) > 0 {
			t.Errorf("%v within the guard", types(m))
		}
		r.wait(10 * ms)
		if m := append(r.take(two), r.take(three)...); len(m) != 1 || m[0].Type != isup.IAM {
			t.Errorf("%v after the guard, want a further attempt", types(m))
		}
	}
}

// Mass calling to a number that rings for ever: it takes circuits, and the processor's slots stay free for others.
func TestManyRingAtOneNumber(t *testing.T) {
	r := newRig(t, 400)
	for i := range 300 {
		r.offer(uint16(i+1), "2001")
		for _, m := range r.take(two) {
			if m.Type == isup.IAM {
				r.from(two, 2, isup.Message{Type: isup.ACM, CIC: m.CIC})
			}
		}
		r.take(client)
		r.wait(10 * ms)
	}
	if v := r.view(2); r.c.Ringing() != 300 || v.SlotsHeld != 0 || v.Pending != 0 {
		t.Fatalf("%d ring, %+v", r.c.Ringing(), v)
	}
	r.take(two)
	r.offer(301, "2999")
	r.one(two, isup.IAM)
}

// The wait from REL to RLC is told as the switch's load, the lateness of the decision queue as the own.
func TestWaitsAreTold(t *testing.T) {
	r := ringRig(t)
	for i := range 40 {
		cic := r.ring(uint16(i+1), "2001")
		r.from(client, 900, isup.Message{Type: isup.REL, CIC: uint16(i + 1), Cause: isup.CauseNormal})
		r.take(client)
		r.one(two, isup.REL)
		r.wait(900 * ms)
		r.from(two, 2, isup.Message{Type: isup.RLC, CIC: cic})
		r.wait(100 * ms)
	}
	if v := r.view(2); v.Load < 0.9 {
		t.Errorf("releases take 0.9 s, and the load reads %.2f", v.Load)
	}
	for range 4 {
		r.c.RecordQueueDelay(40*sec, 50)
		r.wait(500 * ms)
	}
	if v := r.view(1); v.Load < 0.9 {
		t.Errorf("events wait 0.8 s, and the own load reads %.2f", v.Load)
	}
	r.c.Handle(r.now, own, &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: 1}}, Congestion: 3})
	r.wait(2 * sec)
	if v := r.view(1); v.Load < 0.99 {
		t.Errorf("the own switch is congested, and the own load reads %.2f", v.Load)
	}
}
