package controller

import (
	"time"

	"github.com/umbergauge/umbergauge/admission"
	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/policy"
	"github.com/umbergauge/umbergauge/script"
	"github.com/umbergauge/umbergauge/trunk"
)

func (l *leg) key() uint64 { return uint64(l.opc)<<16 | uint64(l.cic) }

// fromClient takes a message of a client's circuit.
func (c *Core) fromClient(a *assoc, opc uint32, m *isup.Message) {
	key := uint64(opc)<<16 | uint64(m.CIC)
	l := a.legs[key]
	if l != nil {
		l.assoc = a // what follows goes the way that its client takes now
	}
	switch m.Type {
	case isup.IAM:
		if l != nil && l.call != nil { // its circuit is busy: a repeat, or a client that has lost count
			c.Counters.Unexpected++
			return
		}
		if l != nil { // it takes the circuit as idle, so it has had our REL
			c.wheel.Stop(l.timer)
		}
		l = &leg{assoc: a, opc: opc, cic: m.CIC}
		a.legs[key] = l
		c.offer(l, m)
	case isup.REL:
		if l == nil || l.call == nil {
			// Nothing is on the circuit, or our REL has crossed this one (Q.764, 2.3.1 e): RLC either way.
			c.toClient(&leg{assoc: a, opc: opc, cic: m.CIC}, &isup.Message{Type: isup.RLC})
			return
		}
		k := l.call
		k.leg = nil
		delete(a.legs, key)
		c.toClient(l, &isup.Message{Type: isup.RLC})
		c.callerLeft(k, m.Cause)
	case isup.RLC:
		if l != nil && l.call == nil {
			c.wheel.Stop(l.timer)
			delete(a.legs, key)
		}
	case isup.RSC:
		c.dropLeg(a, key)
		c.toClient(&leg{assoc: a, opc: opc, cic: m.CIC}, &isup.Message{Type: isup.RLC})
	case isup.GRS:
		for i := 0; i <= int(m.Range); i++ {
			c.dropLeg(a, uint64(opc)<<16|uint64(m.CIC+uint16(i)))
		}
		c.toClient(&leg{assoc: a, opc: opc, cic: m.CIC},
			&isup.Message{Type: isup.GRA, Range: m.Range, Status: make([]byte, (int(m.Range)+8)/8)})
	case isup.CQM:
		states := make([]byte, int(m.Range)+1)
		for i := range states {
			states[i] = isup.CircuitIdle
			if l := a.legs[uint64(opc)<<16|uint64(m.CIC+uint16(i))]; l != nil && l.call != nil {
				states[i] = isup.CircuitIncoming
			}
		}
		c.toClient(&leg{assoc: a, opc: opc, cic: m.CIC}, &isup.Message{Type: isup.CQR, Range: m.Range, Circuits: states})
	default:
		c.Counters.Unexpected++
	}
}

// dropLeg frees a client's circuit that the client has reset.
func (c *Core) dropLeg(a *assoc, key uint64) {
	l := a.legs[key]
	if l == nil {
		return
	}
	delete(a.legs, key)
	c.wheel.Stop(l.timer)
	if k := l.call; k != nil {
		k.leg = nil
		c.callerLeft(k, isup.CauseTemporary)
	}
}

// clearLeg sends REL on a client's circuit and awaits RLC.
func (c *Core) clearLeg(l *leg, cause isup.Cause, loc isup.Location) {
	l.cause = cause
	l.timer = c.wheel.Set(c.now+c.cfg.ClientT1, alarm{kind: legTimer, leg: l})
	c.toClient(l, &isup.Message{Type: isup.REL, Cause: cause, Location: loc, Congestion: l.congestion})
}

// legRepeats is how often REL is sent again before the circuit is given up: the client's own T5 or reset clears it.
const legRepeats = 5

func (c *Core) repeatRelease(l *leg) {
	if l.assoc.legs[l.key()] != l || l.call != nil {
		return
	}
	if l.repeats++; l.repeats > legRepeats {
		delete(l.assoc.legs, l.key())
		return
	}
	l.timer = c.wheel.Set(c.now+c.cfg.ClientT1, alarm{kind: legTimer, leg: l})
	c.toClient(l, &isup.Message{Type: isup.REL, Cause: l.cause, Location: isup.LocationNetwork})
}

// destination finds the exchange behind a number; the cause is 0 if a call can go there.
func (c *Core) destination(called isup.Number) (uint32, isup.Cause) {
	switch dest, ok := c.numbers.Lookup(called); {
	case !ok:
		return 0, isup.CauseUnallocated
	case dest == c.cfg.PointCode: // no trunk group leads there
		return dest, isup.CauseNoRoute
	default:
		return dest, 0
	}
}

// newCall makes a call from an IAM; nil with the cause if it cannot be taken at all. With hooks on arrival the number may
// still change, and leads nowhere only when they have had it.
func (c *Core) newCall(m *isup.Message, transit bool, set *hooks.Set) (*call, isup.Cause) {
	switch isup.CheckUnknown(m, transit) {
	case isup.Discard, isup.ReleaseCall:
		return nil, isup.CauseUnknownPar
	}
	dest, cause := c.destination(m.Called)
	switch {
	case cause != 0 && !set.Has(script.Arrival):
		return nil, cause
	case c.draining, len(c.calls) >= c.cfg.MaxCalls:
		return nil, isup.CauseCongestion
	case m.HasHops && m.Hops == 0: // it goes round in circles (Q.764, 2.1.22)
		return nil, 25
	}
	var k *call
	if n := len(c.spareCall); n > 0 {
		k, c.spareCall = c.spareCall[n-1], c.spareCall[:n-1]
	} else {
		k = &call{}
	}
	for {
		if c.lastID++; c.lastID >= 1<<32 {
			c.lastID = 1
		}
		if c.calls[c.lastID] == nil {
			break
		}
	}
	opt := k.iam.Optional[:0]
	*k = call{id: c.lastID, dest: dest, arrived: c.now, class: int(c.classOf[m.Category]), set: set}
	k.iam = *m
	k.iam.Compat = append([]byte(nil), m.Compat...)
	k.iam.Optional = opt
	for _, o := range m.Optional {
		k.iam.Optional = append(k.iam.Optional, isup.Optional{Code: o.Code, Value: append([]byte(nil), o.Value...)})
	}
	if !m.HasHops {
		k.iam.Hops = c.cfg.Hops
	}
	if m.HasDelay {
		k.delay = time.Duration(m.Delay) * time.Millisecond
	}
	return k, 0
}

// keptOut asks the doors about a set-up, before anything is spent on it. What is kept out is released at once, with the
// congestion level of its client (Q.763, 3.4), and the client is told by SCON when that changes.
func (c *Core) keptOut(l *leg) bool {
	a := l.assoc
	v := c.door.Admit(a.door, c.now)
	if v == admission.Admitted && a.peer.Tenant < len(c.accounts) {
		if v = c.tenants.Admit(c.accounts[a.peer.Tenant], c.now); v != admission.Admitted {
			c.door.Done(a.door)
		}
	}
	level, changed := c.door.Level(a.door, c.now)
	if changed {
		c.frame = m3ua.Append(c.frame[:0], &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: c.cfg.PointCode}}, Congestion: byte(level)})
		c.port.Send(a.id, c.frame)
	}
	if v == admission.Admitted {
		return false
	}
	c.Counters.NotAdmitted++
	l.congestion = byte(min(max(level, 1), 2))
	c.clearLeg(l, isup.CauseCongestion, isup.LocationNetwork)
	return true
}

// offer hands a client's call to the module.
func (c *Core) offer(l *leg, m *isup.Message) {
	if c.keptOut(l) {
		return
	}
	cut := c.wasCut(m)
	var set *hooks.Set
	if c.cfg.Hooks != nil {
		set = c.cfg.Hooks.Live()
	}
	k, cause := c.newCall(m, false, set)
	if k == nil {
		c.door.Done(l.assoc.door)
		if l.assoc.peer.Tenant < len(c.accounts) {
			c.tenants.Done(c.accounts[l.assoc.peer.Tenant])
		}
		c.Counters.Refused++
		c.port.CallEnded(CallRecord{Outcome: Refused, Class: int(c.classOf[m.Category]), Tenant: l.assoc.peer.Tenant, Called: m.Called, Cause: cause})
		c.clearLeg(l, cause, isup.LocationNetwork)
		return
	}
	k.leg, l.call, k.tenant = l, k, l.assoc.peer.Tenant
	k.door, k.account = l.assoc.door, l.assoc.peer.Tenant
	c.Counters.Offered++
	k.cut = cut
	c.calls[k.id] = k
	c.waiting++
	if set.Has(script.Arrival) || set.Has(script.Route) {
		c.ask(k, askArrival, script.Arrival, script.CallEvent(c.view(k)))
		return
	}
	c.enter(k, policy.Offered{AdvisedTandem: -1})
}

// enter tells the module of a call of the table.
func (c *Core) enter(k *call, ev policy.Offered) {
	ev.Call, ev.Class, ev.Tenant, ev.Destination, ev.Circuits, ev.CutBefore = k.id, k.class, k.tenant, int(k.dest), 1, k.cut
	ev.Number = k.iam.Called.String()
	ev.Due = k.arrived + max(0, c.cfg.Classes[k.class].Patience-k.delay-c.cfg.AnswerMargin)
	c.tell(ev)
}

// callerLeft ends a call whose caller has released it or is gone.
func (c *Core) callerLeft(k *call, cause isup.Cause) {
	if k.phase == standing {
		o := Finished
		if !clears(cause) {
			o = Cut
		}
		c.endStanding(k, o, cause, policy.Completed)
		return
	}
	if k.asking != askArrival { // else the module has not been told of it
		c.tell(policy.CallerReleased{Call: k.id})
	}
	if k.to != nil {
		if k.asking != askEnd {
			c.abandon(k, isup.CauseNormal)
		}
		c.returned(k, policy.Cancelled, policy.NoReason, true)
	}
	c.close(k, Abandoned, cause)
}

// endStanding ends a call that stood, from the caller's side or from here: its circuit is released.
func (c *Core) endStanding(k *call, o Outcome, cause isup.Cause, told policy.Cause) {
	if k.to != nil {
		if s, id := k.to.group.Circuit(k.toCIC); s == trunk.Outgoing && id == k.id {
			c.abandon(k, cause)
		}
	}
	c.over(k, o, cause, told)
}

// over tells the module that a standing call has ended.
func (c *Core) over(k *call, o Outcome, cause isup.Cause, told policy.Cause) {
	c.tell(policy.AttemptEnded{Call: k.id, Attempt: k.attempts - 1, Exchange: k.to.Address, Final: true, Delay: c.now - k.sentAt, Cause: told})
	c.close(k, o, cause)
}

// backward sends a message towards the caller.
func (c *Core) backward(k *call, m *isup.Message) {
	if k.from != nil {
		m.CIC = k.fromCIC
		c.toOwn(k.from, m)
	} else if k.leg != nil {
		c.toClient(k.leg, m)
	}
}

// fromFar takes a message of a far switch about the circuits of its group.
func (c *Core) fromFar(f *far, m *isup.Message) {
	state, id := f.group.Circuit(m.CIC)
	var k *call
	if state == trunk.Outgoing {
		if k = c.calls[id]; k != nil && (k.to != f || k.toCIC != m.CIC) {
			k = nil
		}
	}
	switch m.Type {
	case isup.ACM, isup.CPG:
		if k == nil || k.phase != offered {
			f.group.FromFar(m)
			c.acts(f)
			break
		}
		back := isup.Message{Type: isup.ACM, Backward: m.Backward}
		if k.progress { // one ACM a call, whatever attempts it takes
			back = isup.Message{Type: isup.CPG, Event: 2}
		}
		k.progress = true
		c.backward(k, &back)
		c.alerting(k) // CPG too: whoever sends it has sent ACM
	case isup.ANM, isup.CON:
		if k == nil || k.phase != offered {
			c.Counters.LateAnswers++ // after the own time-out: REL is under way
			f.group.FromFar(m)
			c.acts(f)
			break
		}
		c.wheel.Stop(k.timeOut)
		c.silence(k)
		k.phase = standing
		c.waiting--
		c.Counters.Established++
		f.group.Answered(m.CIC)
		back := isup.Message{Type: isup.CON, Backward: m.Backward}
		if k.progress {
			back.Type = isup.ANM
		}
		c.backward(k, &back)
		c.note(k, Answered, 0)
		c.tell(policy.Established{Call: k.id, Attempt: k.attempts - 1, Exchange: f.Address, Delay: c.now - k.sentAt})
	case isup.REL:
		cause, loc := m.Cause, m.Location
		f.group.FromFar(m)
		c.acts(f)
		if k == nil {
			break
		}
		if k.phase == standing {
			c.answerNo(k, cause, loc)
			if clears(cause) {
				c.over(k, Finished, cause, policy.Completed)
			} else {
				c.over(k, Cut, cause, policy.Reset)
			}
			break
		}
		k.cause, k.loc = cause, loc
		c.wheel.Stop(k.timeOut)
		if k.set.Has(script.AttemptEnd) {
			c.ask(k, askEnd, script.AttemptEnd, script.AttemptEndEvent(c.view(k), int(cause), int(f.PointCode), f.PointCode == k.dest, c.now-k.sentAt))
			break
		}
		c.attemptEnded(k, cause)
	case isup.CQR:
		c.responded(f, m)
	default:
		if !isup.Known(m.Type) {
			c.Counters.Unexpected++
			break
		}
		if m.Type == isup.RLC {
			f.released(m.CIC, c.now, c.cfg.Trunk.T1)
		}
		f.group.FromFar(m)
		c.acts(f)
	}
}

// attemptEnded tells the module that a REL has ended the attempt out, with its cause or the one that hooks put in its place.
func (c *Core) attemptEnded(k *call, cause isup.Cause) {
	why, reason := ended(cause, k.loc, k.to.PointCode == k.dest)
	c.returned(k, why, reason, false)
}

// responded takes a far switch's view of the circuits after signalling came up. Whether the switch remembers calls that
// stand shows whether it has started anew; where none stands it is taken for cold, which is the safe side.
func (c *Core) responded(f *far, m *isup.Message) {
	was := f.group.InSync()
	f.known = f.known || f.group.Remembered(m)
	f.group.FromFar(m)
	c.acts(f)
	if was || !f.group.InSync() || !f.doubt {
		return
	}
	f.doubt = false
	if !f.known {
		f.launched = c.now
		if f.health == policy.Ready {
			c.listed(f.entry())
		}
	}
}

// fromOwn takes what the own switch passes on about the circuits of the group to f.
func (c *Core) fromOwn(f *far, m *isup.Message) {
	if m.Type == isup.IAM {
		c.seized(f, m)
		return
	}
	state, id := f.group.Circuit(m.CIC)
	f.group.FromOwn(m)
	c.acts(f)
	if (m.Type == isup.REL || m.Type == isup.RLC) && state == trunk.Incoming {
		if k := c.calls[id]; k != nil && k.from == f && k.fromCIC == m.CIC {
			cause := m.Cause
			if m.Type == isup.RLC {
				cause = isup.CauseTemporary
			}
			c.callerLeft(k, cause)
		}
	}
}

// seized takes an IAM of the far end: a call to the own subscribers, which only holds a circuit, or one in transit.
func (c *Core) seized(f *far, m *isup.Message) {
	if dest, ok := c.numbers.Lookup(m.Called); ok && dest == c.cfg.PointCode {
		f.group.FarSeized(m.CIC, 0)
		c.acts(f)
		return
	}
	k, cause := c.newCall(m, true, nil)
	id := uint64(0)
	if k != nil {
		id = k.id
	}
	verdict := f.group.FarSeized(m.CIC, id)
	c.acts(f)
	if verdict != trunk.SeizureAccepted {
		return
	}
	if k == nil {
		c.toOwn(f, &isup.Message{Type: isup.REL, CIC: m.CIC, Cause: cause, Location: isup.LocationTransit})
		return
	}
	k.from, k.fromCIC = f, m.CIC
	c.Counters.Transit++
	c.calls[k.id] = k
	c.waiting++
	c.enter(k, policy.Offered{Transit: true, AdvisedTandem: int(f.PointCode)})
}

// lost takes word that a call has lost its circuit.
func (c *Core) lost(f *far, l trunk.CircuitLost) {
	k := c.calls[l.Call]
	if k == nil {
		return
	}
	if !l.SeizedHere {
		if k.from == f && k.fromCIC == l.CIC {
			c.callerLeft(k, isup.CauseTemporary)
		}
		return
	}
	if k.to != f || k.toCIC != l.CIC {
		return
	}
	if k.phase == standing {
		c.answerNo(k, isup.CauseTemporary, isup.LocationNetwork)
		c.over(k, Cut, isup.CauseTemporary, policy.Reset)
		return
	}
	// Whatever ended it, the far end may have carried it out: a dual seizure too, whose IAM may have been taken.
	c.returned(k, policy.Reset, policy.NoReason, false)
}
