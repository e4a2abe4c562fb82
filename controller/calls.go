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

// key identifies a client's circuit among those of its association: its originating point code and CIC.
func (circuit *clientCircuit) key() uint64 { return uint64(circuit.opc)<<16 | uint64(circuit.cic) }

// handleFromClient handles a message on a client's circuit.
func (c *Core) handleFromClient(assoc *association, opc uint32, message *isup.Message) {
	key := uint64(opc)<<16 | uint64(message.CIC)
	circuit := assoc.circuits[key]
	if circuit != nil {
		circuit.association = assoc // further messages use the association that the client uses now
	}
	switch message.Type {
	case isup.IAM:
		if circuit != nil && circuit.openCall != nil { // the circuit is busy: a retransmission, or the client's circuit states are wrong
			c.Counters.Unexpected++
			return
		}
		if circuit != nil { // the client considers the circuit idle, so it has received our REL
			c.wheel.Stop(circuit.timer)
		}
		circuit = &clientCircuit{association: assoc, opc: opc, cic: message.CIC}
		assoc.circuits[key] = circuit
		c.handleClientIAM(circuit, message)
	case isup.REL:
		if circuit == nil || circuit.openCall == nil {
			// There is no call on the circuit, or the RELs have crossed (Q.764, 2.3.1 e): answer RLC either way.
			c.sendToClient(&clientCircuit{association: assoc, opc: opc, cic: message.CIC}, &isup.Message{Type: isup.RLC})
			return
		}
		call := circuit.openCall
		call.clientCircuit = nil
		delete(assoc.circuits, key)
		c.sendToClient(circuit, &isup.Message{Type: isup.RLC})
		c.callerReleased(call, message.Cause)
	case isup.RLC:
		if circuit != nil && circuit.openCall == nil {
			c.wheel.Stop(circuit.timer)
			delete(assoc.circuits, key)
		}
	case isup.RSC:
		c.resetClientCircuit(assoc, key)
		c.sendToClient(&clientCircuit{association: assoc, opc: opc, cic: message.CIC}, &isup.Message{Type: isup.RLC})
	case isup.GRS:
		for i := 0; i <= int(message.Range); i++ {
			c.resetClientCircuit(assoc, uint64(opc)<<16|uint64(message.CIC+uint16(i)))
		}
		c.sendToClient(&clientCircuit{association: assoc, opc: opc, cic: message.CIC},
			&isup.Message{Type: isup.GRA, Range: message.Range, Status: make([]byte, (int(message.Range)+8)/8)})
	case isup.CQM:
		states := make([]byte, int(message.Range)+1)
		for i := range states {
			states[i] = isup.CircuitIdle
			if circuit := assoc.circuits[uint64(opc)<<16|uint64(message.CIC+uint16(i))]; circuit != nil && circuit.openCall != nil {
				states[i] = isup.CircuitIncoming
			}
		}
		c.sendToClient(&clientCircuit{association: assoc, opc: opc, cic: message.CIC}, &isup.Message{Type: isup.CQR, Range: message.Range, Circuits: states})
	default:
		c.Counters.Unexpected++
	}
}

// resetClientCircuit frees a circuit that the client has reset.
func (c *Core) resetClientCircuit(assoc *association, key uint64) {
	circuit := assoc.circuits[key]
	if circuit == nil {
		return
	}
	delete(assoc.circuits, key)
	c.wheel.Stop(circuit.timer)
	if call := circuit.openCall; call != nil {
		call.clientCircuit = nil
		c.callerReleased(call, isup.CauseTemporary)
	}
}

// releaseClientCircuit sends REL on a client's circuit and starts the timer for RLC.
func (c *Core) releaseClientCircuit(circuit *clientCircuit, cause isup.Cause, location isup.Location) {
	circuit.cause = cause
	circuit.timer = c.wheel.Set(c.now+c.cfg.ClientT1, timerEvent{kind: timerClientRelease, clientCircuit: circuit})
	c.sendToClient(circuit, &isup.Message{Type: isup.REL, Cause: cause, Location: location, CongestionLevel: circuit.congestion})
}

// maxReleaseRetransmissions bounds the retransmissions of REL; after them the client's own T5 or a reset clears the circuit.
const maxReleaseRetransmissions = 5

// retransmitRelease sends REL again on a client's circuit whose RLC has not come, or gives the circuit up.
func (c *Core) retransmitRelease(circuit *clientCircuit) {
	if circuit.association.circuits[circuit.key()] != circuit || circuit.openCall != nil {
		return
	}
	if circuit.retransmissions++; circuit.retransmissions > maxReleaseRetransmissions {
		delete(circuit.association.circuits, circuit.key())
		return
	}
	circuit.timer = c.wheel.Set(c.now+c.cfg.ClientT1, timerEvent{kind: timerClientRelease, clientCircuit: circuit})
	c.sendToClient(circuit, &isup.Message{Type: isup.REL, Cause: circuit.cause, Location: isup.LocationNetwork})
}

// lookUpDestination returns the exchange that serves a number; the cause is 0 if calls to it can be routed.
func (c *Core) lookUpDestination(called isup.Number) (uint32, isup.Cause) {
	switch destination, ok := c.numbers.Lookup(called); {
	case !ok:
		return 0, isup.CauseUnallocated
	case destination == c.cfg.PointCode: // the own exchange: no trunk group leads to it
		return destination, isup.CauseNoRoute
	default:
		return destination, 0
	}
}

// newCall makes a call from an IAM, or returns nil and the cause of its refusal. Hooks on arrival may still rewrite the
// number, so with them an unroutable number is no reason for refusal yet.
func (c *Core) newCall(message *isup.Message, transit bool, hookSet *hooks.Set) (*openCall, isup.Cause) {
	switch isup.CheckUnknown(message, transit) {
	case isup.Discard, isup.ReleaseCall:
		return nil, isup.CauseUnknownParameter
	}
	destination, cause := c.lookUpDestination(message.Called)
	switch {
	case cause != 0 && !hookSet.Has(script.Arrival):
		return nil, cause
	case c.draining, len(c.calls) >= c.cfg.MaxCalls:
		return nil, isup.CauseCongestion
	case message.HasHops && message.Hops == 0: // the hop counter is used up: the call is looping (Q.764, 2.1.22); cause 25: exchange routing error
		return nil, 25
	}
	var call *openCall
	if n := len(c.freeCalls); n > 0 {
		call, c.freeCalls = c.freeCalls[n-1], c.freeCalls[:n-1]
	} else {
		call = &openCall{}
	}
	for {
		if c.lastID++; c.lastID >= 1<<32 {
			c.lastID = 1
		}
		if c.calls[c.lastID] == nil {
			break
		}
	}
	optionalBuffer := call.iam.Optional[:0]
	*call = openCall{id: c.lastID, destination: destination, arrivedAt: c.now, class: int(c.classByCategory[message.Category]), hookSet: hookSet}
	call.iam = *message
	call.iam.Compat = append([]byte(nil), message.Compat...)
	call.iam.Optional = optionalBuffer
	for _, optional := range message.Optional {
		call.iam.Optional = append(call.iam.Optional, isup.Optional{Code: optional.Code, Value: append([]byte(nil), optional.Value...)})
	}
	if !message.HasHops {
		call.iam.Hops = c.cfg.Hops
	}
	if message.HasPropagationDelay {
		call.earlierDelay = time.Duration(message.PropagationDelay) * time.Millisecond
	}
	return call, 0
}

// rejectByAdmission checks a set-up against the limits of its client and tenant, before any other work is done for it, and
// reports whether it was rejected. A set-up beyond the limits is released at once with the client's congestion level
// (Q.763, 3.4); SCON notifies the client when that level changes.
func (c *Core) rejectByAdmission(circuit *clientCircuit) bool {
	assoc := circuit.association
	decision := c.limits.Admit(assoc.limits, c.now)
	if decision == admission.Admitted && assoc.peer.Tenant < len(c.tenantClients) {
		if decision = c.tenantLimits.Admit(c.tenantClients[assoc.peer.Tenant], c.now); decision != admission.Admitted {
			c.limits.Done(assoc.limits)
		}
	}
	level, changed := c.limits.Level(assoc.limits, c.now)
	if changed {
		c.frameBuffer = m3ua.Append(c.frameBuffer[:0], &m3ua.Message{Kind: m3ua.SCON, Affected: []m3ua.Affected{{PC: c.cfg.PointCode}}, CongestionLevel: byte(level)})
		c.port.Send(assoc.id, c.frameBuffer)
	}
	if decision == admission.Admitted {
		return false
	}
	c.Counters.NotAdmitted++
	circuit.congestion = byte(min(max(level, 1), 2))
	c.releaseClientCircuit(circuit, isup.CauseCongestion, isup.LocationNetwork)
	return true
}

// handleClientIAM admits a client's set-up, makes the call and offers it to the hooks on arrival or to the policy engine.
func (c *Core) handleClientIAM(circuit *clientCircuit, message *isup.Message) {
	if c.rejectByAdmission(circuit) {
		return
	}
	cutBefore := c.takeCutCall(message)
	var hookSet *hooks.Set
	if c.cfg.Hooks != nil {
		hookSet = c.cfg.Hooks.Live()
	}
	call, cause := c.newCall(message, false, hookSet)
	if call == nil {
		c.limits.Done(circuit.association.limits)
		if circuit.association.peer.Tenant < len(c.tenantClients) {
			c.tenantLimits.Done(c.tenantClients[circuit.association.peer.Tenant])
		}
		c.Counters.Refused++
		c.port.CallEnded(CallRecord{Outcome: Refused, Class: int(c.classByCategory[message.Category]), Tenant: circuit.association.peer.Tenant, Called: message.Called, Cause: cause})
		c.releaseClientCircuit(circuit, cause, isup.LocationNetwork)
		return
	}
	call.clientCircuit, circuit.openCall, call.tenant = circuit, call, circuit.association.peer.Tenant
	call.limits, call.admissionTenant = circuit.association.limits, circuit.association.peer.Tenant
	c.Counters.Offered++
	call.cutBefore = cutBefore
	c.calls[call.id] = call
	c.waiting++
	if hookSet.Has(script.Arrival) || hookSet.Has(script.Route) {
		c.askHooks(call, hookWaitArrival, script.Arrival, script.CallEvent(c.scriptCall(call)))
		return
	}
	c.offerToEngine(call, policy.Offered{AdvisedTandem: -1})
}

// offerToEngine offers a call to the policy engine.
func (c *Core) offerToEngine(call *openCall, event policy.Offered) {
	event.Call, event.Class, event.Tenant, event.Destination, event.Circuits, event.CutBefore = call.id, call.class, call.tenant, int(call.destination), 1, call.cutBefore
	event.Number = call.iam.Called.String()
	event.Due = call.arrivedAt + max(0, c.cfg.Classes[call.class].Patience-call.earlierDelay-c.cfg.AnswerMargin)
	c.dispatch(event)
}

// callerReleased ends a call that its caller has released, or whose caller's circuit or association is lost.
func (c *Core) callerReleased(call *openCall, cause isup.Cause) {
	if call.phase == phaseEstablished {
		outcome := Finished
		if !isNormalClearing(cause) {
			outcome = Cut
		}
		c.releaseEstablished(call, outcome, cause, policy.Completed)
		return
	}
	if call.hookWait != hookWaitArrival { // otherwise the policy engine does not know the call yet
		c.dispatch(policy.CallerReleased{Call: call.id})
	}
	if call.outExchange != nil {
		if call.hookWait != hookWaitAttemptEnd {
			c.releaseOutgoing(call, isup.CauseNormal)
		}
		c.endAttempt(call, policy.Cancelled, policy.NoReason, true)
	}
	c.closeCall(call, Abandoned, cause)
}

// releaseEstablished ends an established call that the caller or this controller has released, and releases its outgoing
// circuit.
func (c *Core) releaseEstablished(call *openCall, outcome Outcome, cause isup.Cause, engineCause policy.Cause) {
	if call.outExchange != nil {
		if state, id := call.outExchange.group.Circuit(call.outCIC); state == trunk.Outgoing && id == call.id {
			c.releaseOutgoing(call, cause)
		}
	}
	c.endEstablished(call, outcome, cause, engineCause)
}

// endEstablished notifies the policy engine of the end of an established call and closes it.
func (c *Core) endEstablished(call *openCall, outcome Outcome, cause isup.Cause, engineCause policy.Cause) {
	c.dispatch(policy.AttemptEnded{Call: call.id, Attempt: call.attempts - 1, Exchange: call.outExchange.Address, Final: true, Delay: c.now - call.sentAt, Cause: engineCause})
	c.closeCall(call, outcome, cause)
}

// sendBackward sends a message towards the caller.
func (c *Core) sendBackward(call *openCall, message *isup.Message) {
	if call.inExchange != nil {
		message.CIC = call.inCIC
		c.sendToOwn(call.inExchange, message)
	} else if call.clientCircuit != nil {
		c.sendToClient(call.clientCircuit, message)
	}
}

// handleFromFar handles a message of a far switch about the circuits of its trunk group.
func (c *Core) handleFromFar(far *farExchange, message *isup.Message) {
	state, id := far.group.Circuit(message.CIC)
	var call *openCall
	if state == trunk.Outgoing {
		if call = c.calls[id]; call != nil && (call.outExchange != far || call.outCIC != message.CIC) {
			call = nil
		}
	}
	switch message.Type {
	case isup.ACM, isup.CPG:
		if call == nil || call.phase != phaseOffered {
			far.group.FromFar(message)
			c.runGroupActions(far)
			break
		}
		back := isup.Message{Type: isup.ACM, BackwardIndicators: message.BackwardIndicators}
		if call.progressSent { // only one ACM per call, however many attempts it takes
			back = isup.Message{Type: isup.CPG, EventInformation: 2}
		}
		call.progressSent = true
		c.sendBackward(call, &back)
		c.startRinging(call) // CPG too: it follows an ACM, which may have been lost
	case isup.ANM, isup.CON:
		if call == nil || call.phase != phaseOffered {
			c.Counters.LateAnswers++ // too late: after a time-out here, with REL already sent
			far.group.FromFar(message)
			c.runGroupActions(far)
			break
		}
		c.wheel.Stop(call.attemptTimer)
		c.stopRinging(call)
		call.phase = phaseEstablished
		c.waiting--
		c.Counters.Established++
		far.group.Answered(message.CIC)
		back := isup.Message{Type: isup.CON, BackwardIndicators: message.BackwardIndicators}
		if call.progressSent {
			back.Type = isup.ANM
		}
		c.sendBackward(call, &back)
		c.recordCall(call, Answered, 0)
		c.dispatch(policy.Established{Call: call.id, Attempt: call.attempts - 1, Exchange: far.Address, Delay: c.now - call.sentAt})
	case isup.REL:
		cause, location := message.Cause, message.Location
		far.group.FromFar(message)
		c.runGroupActions(far)
		if call == nil {
			break
		}
		if call.phase == phaseEstablished {
			c.releaseTowardsCaller(call, cause, location)
			if isNormalClearing(cause) {
				c.endEstablished(call, Finished, cause, policy.Completed)
			} else {
				c.endEstablished(call, Cut, cause, policy.Reset)
			}
			break
		}
		call.cause, call.location = cause, location
		c.wheel.Stop(call.attemptTimer)
		if call.hookSet.Has(script.AttemptEnd) {
			c.askHooks(call, hookWaitAttemptEnd, script.AttemptEnd, script.AttemptEndEvent(c.scriptCall(call), int(cause), int(far.PointCode), far.PointCode == call.destination, c.now-call.sentAt))
			break
		}
		c.attemptReleased(call, cause)
	case isup.CQR:
		c.handleQueryResponse(far, message)
	default:
		if !isup.Known(message.Type) {
			c.Counters.Unexpected++
			break
		}
		if message.Type == isup.RLC {
			far.recordReleaseDelay(message.CIC, c.now, c.cfg.Trunk.T1)
		}
		far.group.FromFar(message)
		c.runGroupActions(far)
	}
}

// attemptReleased notifies the policy engine that REL has ended the outstanding attempt, with its cause or the one that
// hooks substituted.
func (c *Core) attemptReleased(call *openCall, cause isup.Cause) {
	attemptCause, reason := attemptResult(cause, call.location, call.outExchange.PointCode == call.destination)
	c.endAttempt(call, attemptCause, reason, false)
}

// handleQueryResponse handles a far switch's circuit states (CQR). When signalling is up again, a switch that still reports
// established calls has not restarted. One that reports none is treated as cold, which is the safe assumption.
func (c *Core) handleQueryResponse(far *farExchange, message *isup.Message) {
	wasInSync := far.group.InSync()
	far.knowsCalls = far.knowsCalls || far.group.KnowsEstablishedCall(message)
	far.group.FromFar(message)
	c.runGroupActions(far)
	if wasInSync || !far.group.InSync() || !far.mayHaveRestarted {
		return
	}
	far.mayHaveRestarted = false
	if !far.knowsCalls {
		far.startedAt = c.now
		if far.health == policy.Ready {
			c.listChanged(far.entry())
		}
	}
}

// handleFromOwn handles a message that the own switch passes on about the circuits of the trunk group to an exchange.
func (c *Core) handleFromOwn(far *farExchange, message *isup.Message) {
	if message.Type == isup.IAM {
		c.handleFarIAM(far, message)
		return
	}
	state, id := far.group.Circuit(message.CIC)
	far.group.FromOwn(message)
	c.runGroupActions(far)
	if (message.Type == isup.REL || message.Type == isup.RLC) && state == trunk.Incoming {
		if call := c.calls[id]; call != nil && call.inExchange == far && call.inCIC == message.CIC {
			cause := message.Cause
			if message.Type == isup.RLC {
				cause = isup.CauseTemporary
			}
			c.callerReleased(call, cause)
		}
	}
}

// handleFarIAM handles an IAM of the far end: a call to the own subscribers, which only seizes a circuit here, or a transit
// call.
func (c *Core) handleFarIAM(far *farExchange, message *isup.Message) {
	if destination, ok := c.numbers.Lookup(message.Called); ok && destination == c.cfg.PointCode {
		far.group.FarSeized(message.CIC, 0)
		c.runGroupActions(far)
		return
	}
	call, cause := c.newCall(message, true, nil)
	id := uint64(0)
	if call != nil {
		id = call.id
	}
	result := far.group.FarSeized(message.CIC, id)
	c.runGroupActions(far)
	if result != trunk.SeizureAccepted {
		return
	}
	if call == nil {
		c.sendToOwn(far, &isup.Message{Type: isup.REL, CIC: message.CIC, Cause: cause, Location: isup.LocationTransit})
		return
	}
	call.inExchange, call.inCIC = far, message.CIC
	c.Counters.Transit++
	c.calls[call.id] = call
	c.waiting++
	c.offerToEngine(call, policy.Offered{Transit: true, AdvisedTandem: int(far.PointCode)})
}

// circuitLost handles the loss of a call's circuit.
func (c *Core) circuitLost(far *farExchange, lost trunk.CircuitLost) {
	call := c.calls[lost.Call]
	if call == nil {
		return
	}
	if !lost.SeizedHere {
		if call.inExchange == far && call.inCIC == lost.CIC {
			c.callerReleased(call, isup.CauseTemporary)
		}
		return
	}
	if call.outExchange != far || call.outCIC != lost.CIC {
		return
	}
	if call.phase == phaseEstablished {
		c.releaseTowardsCaller(call, isup.CauseTemporary, isup.LocationNetwork)
		c.endEstablished(call, Cut, isup.CauseTemporary, policy.Reset)
		return
	}
	// The far end may have carried out the set-up, whatever the reason of the loss; even after a dual seizure it may have
	// accepted the IAM.
	c.endAttempt(call, policy.Reset, policy.NoReason, false)
}
