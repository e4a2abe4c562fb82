// Package check evaluates a recorded scenario from the traffic on the sockets alone: it reports violations of the five
// rules and measures service. It is independent of the controllers and shares only the codecs with them.
package check

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

// Spec is what a recording is evaluated against: the limits of the rules, the classes of calls and the numbering plan.
type Spec struct {
	Guard      time.Duration
	DrainGrace time.Duration
	ColdStart  ColdStart
	Classes    []Class
	Exchange   func(number string) (uint32, bool) // point code of the exchange that serves a number
	// Slack is the tolerance for the time between a controller's action and its recording, and between an event and the
	// moment when the controller can know of it.
	Slack time.Duration
}

// ColdStart describes how many set-ups overload a freshly started switch.
type ColdStart struct {
	Share    float64       // capacity right after the start, as a share of the full one
	WarmUp   time.Duration // time from the start to full capacity
	Multiple float64       // set-ups within Span above which it is overloaded, as a multiple of its present capacity
	Span     time.Duration
}

// Class is one class of calls, identified by the calling party's category.
type Class struct {
	Name      string
	Category  isup.Category
	Aim       time.Duration // a set-up that is complete later than this earns LateWorth only
	Patience  time.Duration // the caller abandons a call that has not alerted after this time ...
	Ring      time.Duration // ... and one that alerts after this time; 0: a minute
	GiveUp    time.Duration // a set-up that is complete later than this earns nothing
	Worth     float64
	LateWorth float64 // as a share of Worth
}

// Violation is one violation of a rule. The rules of a controller, by number:
//
//  1. A call gets exactly one final answer (ANM, CON or REL) before its caller's deadline, and no set-up of it is sent after that.
//     ACM or CPG is sent to the client only if a switch has sent one.
//  2. At most one attempt of a call is outstanding.
//  3. No set-up is sent to an exchange that was reported as draining or unavailable, after a grace period.
//  4. A freshly started switch does not get more set-ups than ColdStart allows.
//  5. After an attempt that was released without an answer, or lost, the next one waits for the guard.
type Violation struct {
	Rule       int           `json:"rule"` // 1 to 5; 6: two calls on one circuit
	At         time.Duration `json:"at"`
	Controller uint32        `json:"controller"`
	Call       string        `json:"call"`
	What       string        `json:"what"`
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f s, controller %d, call %s: %s", v.Rule, v.At.Seconds(), v.Controller, v.Call, v.What)
}

// Service is the worth of calls that was earned, as a share of the worth that was offered.
type Service struct {
	Calls  int     `json:"calls"` // without redials
	Worth  float64 `json:"worth"` // offered
	Earned float64 `json:"earned"`
	Share  float64 `json:"service"`
}

func (s *Service) add(worth, earned float64) {
	s.Calls++
	s.Worth += worth
	s.Earned += earned
	s.Share = s.Earned / s.Worth
}

// FaultService is the service of the calls that were first offered while an injected fault was active.
type FaultService struct {
	Name    string        `json:"name"`
	From    time.Duration `json:"from"`
	Span    time.Duration `json:"span"`
	Service Service       `json:"service"`
}

// Report is the result of an evaluation.
type Report struct {
	Whole       Service            `json:"whole"`
	ToAnswer    Service            `json:"whole_to_answer"` // as Whole, with the aim applied to the time to answer, ringing included
	WorstWindow Service            `json:"worst_10s"`
	WorstFrom   time.Duration      `json:"worst_10s_from"`
	WorstClass  string             `json:"worst_class"`
	Classes     map[string]Service `json:"classes"`
	Faults      []FaultService     `json:"troubles"`
	Violations  []Violation        `json:"broken"`
	Tries       int                `json:"tries"`
	Answered    int                `json:"stood"`
	Refused     int                `json:"refused_or_failed"`
	Abandoned   int                `json:"given_up"`
	Alerted     int                `json:"rang"`
	NoAnswer    int                `json:"no_answer"` // call intents that alerted and were not answered; they count in no service
	Cut         int                `json:"cut"`
	Attempts    int                `json:"attempts"`
	Tandem      int                `json:"tandem_attempts"`
	Dual        int                `json:"dual_seizures"`
	Frames      int                `json:"frames"`
	DelaysMS    [3]float64         `json:"set_up_ms_p50_p99_max"` // to ACM, or to the answer if there was no ACM
	AnswersMS   [3]float64         `json:"answer_ms_p50_p99_max"`
}

// callRef is the call reference of a call (Q.763), the same in all its messages.
type callRef struct {
	id uint32
	pc uint16
}

func (r callRef) String() string { return fmt.Sprintf("%d.%d", r.pc, r.id) }

type outcome uint8

const (
	pending outcome = iota
	established
	refused
)

// clientCall is one call of a caller from its IAM to its end, as its client saw it. A redial is another clientCall.
type clientCall struct {
	callRef            callRef
	controller         uint32
	link               int32
	class              int
	calling            string
	at                 time.Duration
	alertedAt          time.Duration // first ACM
	outcome            outcome
	outcomeAt          time.Duration
	cause              isup.Cause    // of the REL that refused the call
	clientReleasedAt   time.Duration // REL from the client: the caller abandoned the call or hung up
	cleared            bool          // RLC has been sent to the client
	cut                bool
	lost               bool // its client's connection closed
	controllerReleased bool
}

type attemptState uint8

const (
	outstanding attemptState = iota // no reply from the switch yet
	answered                        // even if it has been released since
	returned                        // released by the far end
	released                        // released by the controller before an answer
	lost                            // its association or circuit was lost, or a later IAM took the circuit
)

func (s attemptState) String() string {
	return [...]string{"out", "answered", "returned", "released", "lost"}[s]
}

// attempt is one set-up that a controller sent to another exchange, as the switch there saw it.
type attempt struct {
	callRef       callRef
	controller    uint32
	sw            uint32
	cic           uint16
	at            time.Duration
	state         attemptState
	end           time.Duration
	established   bool // answered and not yet released
	establishedAt time.Duration
	alerted       bool       // the switch has sent ACM or CPG
	cause         isup.Cause // of the far end's REL
}

// clientCallKey identifies an open call on a client's link.
type clientCallKey struct {
	link int32
	opc  uint32
	cic  uint16
}

type attemptKey struct {
	callRef    callRef
	controller uint32
}

// groupKey identifies the trunk group from a controller to the switch of another exchange, by their point codes.
type groupKey struct{ controller, sw uint32 }

type circuitKey struct {
	groupKey
	cic uint16
}

// transit is a call from another exchange that a controller routes on to a third.
type transit struct {
	callRef callRef
	at      time.Duration
	class   int
	alerted bool
	outcome outcome
	cleared bool
}

type evaluator struct {
	spec             Spec
	recording        record.Recording
	report           Report
	calls            []*clientCall
	byRef            map[callRef]*clientCall
	openCalls        map[clientCallKey]*clientCall
	attempts         map[attemptKey][]*attempt
	circuits         map[circuitKey]*attempt
	transits         map[circuitKey]*transit // by controller, exchange of origin and circuit
	unavailableSince map[groupKey]time.Duration
	coldSwitches     map[uint32]*coldSwitch
	stalls           map[uint32][]record.Event
	nextEvent        int
	closingLinks     []int32 // indexes of links, ordered by their closing time
	setUpDelays      []time.Duration
	answerDelays     []time.Duration
}

// coldSwitch is a freshly started switch, with the set-ups that it received within the last ColdStart.Span.
type coldSwitch struct {
	at           time.Duration // of its start
	warmRate     float64       // set-ups a second at full capacity
	recentSetUps []time.Duration
	violated     bool
}

// Evaluate checks a recording against spec.
func Evaluate(recording record.Recording, spec Spec) Report {
	e := &evaluator{spec: spec, recording: recording, byRef: map[callRef]*clientCall{}, openCalls: map[clientCallKey]*clientCall{}, attempts: map[attemptKey][]*attempt{},
		circuits: map[circuitKey]*attempt{}, transits: map[circuitKey]*transit{}, unavailableSince: map[groupKey]time.Duration{},
		coldSwitches: map[uint32]*coldSwitch{}, stalls: map[uint32][]record.Event{}}
	e.report.Classes = map[string]Service{}
	e.spec.Classes = slices.Clone(spec.Classes)
	for i := range e.spec.Classes {
		if c := &e.spec.Classes[i]; c.Ring <= 0 {
			c.Ring = time.Minute
		}
	}
	for i, l := range recording.Links {
		if l.Closed > 0 {
			e.closingLinks = append(e.closingLinks, int32(i))
		}
	}
	slices.SortStableFunc(e.closingLinks, func(a, b int32) int { return cmp.Compare(recording.Links[a].Closed, recording.Links[b].Closed) })
	for _, m := range recording.Events {
		if m.Kind == record.Stalled {
			e.stalls[m.PC] = append(e.stalls[m.PC], m)
		}
	}
	var m m3ua.Message
	var u isup.Message
	for i := range recording.Frames {
		f := &recording.Frames[i]
		e.advanceTo(f.At)
		if m3ua.Decode(f.Data, &m) != nil {
			continue
		}
		e.report.Frames++
		link := &recording.Links[f.Link]
		if m.Kind != m3ua.DATA {
			if !f.In && link.Kind != record.ClientLink {
				e.stateUpdateFrame(f.At, link, &m)
			}
			continue
		}
		if isup.Decode(m.Data.User, &u) != nil {
			continue
		}
		switch link.Kind {
		case record.ClientLink:
			e.clientFrame(f, link, m.Data, &u)
		case record.FarLink:
			e.farFrame(f, link, &u)
		case record.OwnLink:
			e.ownFrame(f, link, m.Data, &u)
		}
	}
	e.advanceTo(recording.End + 1)
	e.finish()
	return e.report
}

func (e *evaluator) addViolation(rule int, at time.Duration, controller uint32, reference callRef, format string, args ...any) {
	e.report.Violations = append(e.report.Violations, Violation{rule, at, controller, reference.String(), fmt.Sprintf(format, args...)})
}

// advanceTo processes the recorded events and the closing of links up to time t.
func (e *evaluator) advanceTo(t time.Duration) {
	for ; e.nextEvent < len(e.recording.Events) && e.recording.Events[e.nextEvent].At <= t; e.nextEvent++ {
		switch event := e.recording.Events[e.nextEvent]; {
		case event.Kind == record.Started && event.Cold:
			e.coldSwitches[event.PC] = &coldSwitch{at: event.At, warmRate: event.Value}
		case event.Kind == record.Started:
			delete(e.coldSwitches, event.PC)
		case event.Kind == record.Stopped: // a stopped switch has lost its calls
			delete(e.coldSwitches, event.PC)
			for k, a := range e.circuits {
				if k.sw == event.PC && a.established {
					a.established = false
					delete(e.circuits, k)
				}
			}
		}
	}
	for len(e.closingLinks) > 0 && e.recording.Links[e.closingLinks[0]].Closed < t { // frames with the same time as the closing were received before it
		e.endLink(e.closingLinks[0])
		e.closingLinks = e.closingLinks[1:]
	}
}

// endLink ends the calls and attempts on a closed link.
func (e *evaluator) endLink(id int32) {
	l := e.recording.Links[id]
	switch l.Kind {
	case record.ClientLink:
		for k, c := range e.openCalls {
			if k.link == id {
				c.lost = true
				delete(e.openCalls, k)
			}
		}
	case record.FarLink:
		for k, a := range e.circuits {
			if k.controller == l.Controller && k.sw == l.Switch && a.state == outstanding {
				e.end(k, a, lost, l.Closed)
			}
		}
	case record.OwnLink:
		for k := range e.transits {
			if k.controller == l.Controller {
				delete(e.transits, k)
			}
		}
	}
}

// end records the end of an attempt and frees its circuit. Two calls may be established on one circuit for at most a second.
func (e *evaluator) end(k circuitKey, a *attempt, finalState attemptState, at time.Duration) {
	if a.state == outstanding {
		a.state, a.end = finalState, at
	}
	if a.established {
		a.established = false
		if peer := e.circuits[circuitKey{groupKey{k.sw, k.controller}, k.cic}]; peer != nil && peer.established {
			if bothSince := max(a.establishedAt, peer.establishedAt); at-bothSince > time.Second {
				e.addViolation(6, at, a.controller, a.callRef, "it and call %v stood on circuit %d between %d and %d for %v", peer.callRef, k.cic, k.controller, k.sw, at-bothSince)
			}
		}
	}
	delete(e.circuits, k)
}

// stateUpdateFrame processes SSNM: the state updates about other exchanges that a controller receives.
func (e *evaluator) stateUpdateFrame(at time.Duration, link *record.Link, m *m3ua.Message) {
	for _, a := range m.Affected {
		group := groupKey{link.Controller, a.PC}
		switch m.Kind {
		case m3ua.DRST, m3ua.DUNA:
			if _, known := e.unavailableSince[group]; !known {
				e.unavailableSince[group] = at
			}
		case m3ua.DAVA:
			delete(e.unavailableSince, group)
		}
	}
}

func (e *evaluator) classOf(category isup.Category) int {
	return max(0, slices.IndexFunc(e.spec.Classes, func(class Class) bool { return class.Category == category }))
}

// clientFrame checks a frame between a client and its controller.
func (e *evaluator) clientFrame(frame *record.Frame, clientLink *record.Link, data m3ua.ProtocolData, m *isup.Message) {
	opc := data.OPC
	if frame.In {
		opc = data.DPC
	}
	key := clientCallKey{frame.Link, opc, m.CIC}
	call := e.openCalls[key]
	if !frame.In { // from the client
		switch m.Type {
		case isup.IAM:
			call = &clientCall{callRef: callRef{m.Ref.ID, m.Ref.PC}, controller: clientLink.Controller, link: frame.Link, class: e.classOf(m.Category), calling: m.Calling.String(), at: frame.At}
			e.openCalls[key] = call
			e.byRef[call.callRef] = call
			e.calls = append(e.calls, call)
			e.report.Tries++
		case isup.REL:
			if call == nil || call.clientReleasedAt > 0 {
				return
			}
			call.clientReleasedAt = frame.At
			if call.outcome == pending {
				if call.alertedAt == 0 {
					e.report.Abandoned++
				}
				if e.overdueBy(call, frame.At) >= 0 && !e.excusedByStall(call, frame.At) {
					e.addViolation(1, frame.At, clientLink.Controller, call.callRef, "no final answer before its caller gave up after %v", frame.At-call.at)
				}
			}
		}
		return
	}
	if call == nil {
		if m.Type == isup.ANM || m.Type == isup.CON || m.Type == isup.ACM || m.Type == isup.CPG || m.Type == isup.REL {
			e.addViolation(1, frame.At, clientLink.Controller, callRef{}, "%v on circuit %d, where no call is", m.Type, m.CIC)
		}
		return
	}
	switch m.Type {
	case isup.RLC:
		call.cleared = true
	case isup.ACM, isup.CPG:
		if call.cleared || call.outcome != pending {
			e.addViolation(1, frame.At, clientLink.Controller, call.callRef, "%v after its end", m.Type)
		} else if call.alertedAt == 0 {
			call.alertedAt = frame.At
			e.report.Alerted++
			if !slices.ContainsFunc(e.attempts[attemptKey{call.callRef, clientLink.Controller}], func(a *attempt) bool { return a.alerted }) {
				e.addViolation(1, frame.At, clientLink.Controller, call.callRef, "%v though no switch has said so: its caller waits for nothing", m.Type)
			}
		}
	case isup.ANM, isup.CON:
		if call.cleared || call.outcome != pending {
			e.addViolation(1, frame.At, clientLink.Controller, call.callRef, "%v after a final answer", m.Type)
			return
		}
		call.outcome, call.outcomeAt = established, frame.At
		e.setUpDelays = append(e.setUpDelays, call.setUpAt()-call.at)
		e.answerDelays = append(e.answerDelays, frame.At-call.at)
		e.report.Answered++
	case isup.REL:
		switch {
		case call.cleared || call.controllerReleased || call.outcome == refused:
			e.addViolation(1, frame.At, clientLink.Controller, call.callRef, "REL after a final answer")
		case call.outcome == pending:
			call.outcome, call.outcomeAt, call.cause = refused, frame.At, m.Cause
			e.report.Refused++
			if overdue := e.overdueBy(call, frame.At); call.clientReleasedAt == 0 && overdue > e.spec.Slack && !e.excusedByStall(call, frame.At) {
				e.addViolation(1, frame.At, clientLink.Controller, call.callRef, "its final answer came %v after its caller's time", overdue)
			}
		default:
			call.controllerReleased = true
			if call.clientReleasedAt == 0 && m.Cause != isup.CauseNormal {
				call.cut = true
				e.report.Cut++
			}
		}
	}
}

// overdueBy returns by how much a call without a final answer has exceeded its deadline at a given time; negative: the
// deadline is still ahead. The deadline counts from the IAM, and from the ACM once the call alerts.
func (e *evaluator) overdueBy(call *clientCall, at time.Duration) time.Duration {
	classSpec := e.spec.Classes[call.class]
	if call.alertedAt > 0 {
		return at - call.alertedAt - classSpec.Ring
	}
	return at - call.at - classSpec.Patience
}

// setUpAt is when the set-up of an established call was complete: at its ACM, or at its answer if there was no ACM.
func (c *clientCall) setUpAt() time.Duration {
	if c.alertedAt > 0 {
		return c.alertedAt
	}
	return c.outcomeAt
}

// excusedByStall reports whether the controller of a call was stalled while the call waited for its final answer.
func (e *evaluator) excusedByStall(call *clientCall, until time.Duration) bool {
	for _, stall := range e.stalls[call.controller] {
		if stall.At <= until && stall.At+stall.Span+e.spec.Slack >= call.at {
			return true
		}
	}
	return false
}

// farFrame checks a frame between a controller and the switch of another exchange.
func (e *evaluator) farFrame(frame *record.Frame, link *record.Link, m *isup.Message) {
	group := groupKey{link.Controller, link.Switch}
	key := circuitKey{group, m.CIC}
	a := e.circuits[key]
	if frame.In && m.Type == isup.IAM {
		e.attempt(frame.At, key, m)
		return
	}
	switch m.Type {
	case isup.ACM, isup.CPG:
		if !frame.In && a != nil {
			a.alerted = true
		}
	case isup.ANM, isup.CON:
		if !frame.In && a != nil && a.state == outstanding {
			a.state, a.end, a.established, a.establishedAt = answered, frame.At, true, frame.At
		}
	case isup.REL:
		if a == nil {
			return
		}
		finalState := returned
		if frame.In {
			finalState = released
		} else {
			a.cause = m.Cause
		}
		e.end(key, a, finalState, frame.At)
	case isup.RSC:
		if a != nil {
			e.end(key, a, lost, frame.At)
		}
	case isup.GRS:
		for i := 0; i <= int(m.Range); i++ {
			key.cic = m.CIC + uint16(i)
			if a := e.circuits[key]; a != nil {
				e.end(key, a, lost, frame.At)
			}
		}
	case isup.CQR: // a call on a circuit that the switch reports as idle has ended there, its release was lost
		for i := 0; !frame.In && i < len(m.Circuits); i++ {
			key.cic = m.CIC + uint16(i)
			if a := e.circuits[key]; a != nil && a.established && m.Circuits[i]&isup.CircuitStateMask == isup.CircuitIdle {
				e.end(key, a, lost, frame.At)
			}
		}
	case isup.CGB:
		for i := 0; !frame.In && m.Supervision == isup.Hardware && i <= int(m.Range); i++ {
			key.cic = m.CIC + uint16(i)
			if m.Status[i/8]>>(i%8)&1 == 0 {
				continue
			}
			delete(e.transits, key)
			if a := e.circuits[key]; a != nil {
				e.end(key, a, lost, frame.At)
			}
		}
	}
}

// attempt checks an IAM that a controller sent to the switch of another exchange.
func (e *evaluator) attempt(at time.Duration, circuit circuitKey, m *isup.Message) {
	e.report.Attempts++
	reference := callRef{m.Ref.ID, m.Ref.PC}
	if dest, ok := e.spec.Exchange(m.Called.String()); ok && dest != circuit.sw {
		e.report.Tandem++
	}
	if old := e.circuits[circuit]; old != nil {
		e.end(circuit, old, lost, at)
	}
	attemptsKey := attemptKey{reference, circuit.controller}
	for _, previous := range e.attempts[attemptsKey] {
		switch {
		case previous.state == outstanding:
			e.addViolation(2, at, circuit.controller, reference, "sent to %d while its attempt to %d of %v before is out", circuit.sw, previous.sw, at-previous.at)
		case (previous.state == released || previous.state == lost) && at-previous.end < e.spec.Guard-e.spec.Slack:
			e.addViolation(5, at, circuit.controller, reference, "sent to %d only %v after its attempt to %d on circuit %d was %v", circuit.sw, at-previous.end, previous.sw, previous.cic, previous.state)
		case previous.state == answered:
			e.addViolation(1, at, circuit.controller, reference, "sent to %d after it stood", circuit.sw)
		}
	}
	if c := e.byRef[reference]; c != nil && c.controller == circuit.controller {
		if c.outcome != pending && at > c.outcomeAt+e.spec.Slack {
			e.addViolation(1, at, circuit.controller, reference, "sent to %d %v after its final answer", circuit.sw, at-c.outcomeAt)
		} else if c.clientReleasedAt > 0 && at > c.clientReleasedAt+e.spec.Slack+e.stalledFor(circuit.controller, c.clientReleasedAt, at) {
			e.addViolation(1, at, circuit.controller, reference, "sent to %d %v after its caller left", circuit.sw, at-c.clientReleasedAt)
		}
	}
	if since, known := e.unavailableSince[circuit.groupKey]; known && at > since+e.spec.DrainGrace+e.spec.Slack {
		e.addViolation(3, at, circuit.controller, reference, "sent to %d %v after word that it drains or is gone", circuit.sw, at-since)
	}
	if c := e.coldSwitches[circuit.sw]; c != nil && at < c.at+e.spec.ColdStart.WarmUp && e.spec.ColdStart.Multiple > 0 {
		c.recentSetUps = append(c.recentSetUps, at)
		for at-c.recentSetUps[0] > e.spec.ColdStart.Span {
			c.recentSetUps = c.recentSetUps[1:]
		}
		progress := float64(at-c.at) / float64(e.spec.ColdStart.WarmUp)
		limit := e.spec.ColdStart.Multiple * c.warmRate * (e.spec.ColdStart.Share + (1-e.spec.ColdStart.Share)*progress) * e.spec.ColdStart.Span.Seconds()
		if float64(len(c.recentSetUps)) > limit && !c.violated {
			c.violated = true
			e.addViolation(4, at, circuit.controller, reference, "%d set-ups within %v reached switch %d, started %v before; %.0f can be", len(c.recentSetUps), e.spec.ColdStart.Span, circuit.sw, at-c.at, limit)
		}
	}
	if peer := e.circuits[circuitKey{groupKey{circuit.sw, circuit.controller}, circuit.cic}]; peer != nil && peer.state == outstanding {
		e.report.Dual++
	}
	a := &attempt{callRef: reference, controller: circuit.controller, sw: circuit.sw, cic: circuit.cic, at: at}
	e.attempts[attemptsKey] = append(e.attempts[attemptsKey], a)
	e.circuits[circuit] = a
}

// stalledFor adds up the stalls of a controller that overlap the time between from and to.
func (e *evaluator) stalledFor(controller uint32, from, to time.Duration) (total time.Duration) {
	for _, stall := range e.stalls[controller] {
		if stall.At <= to && stall.At+stall.Span >= from {
			total += stall.Span
		}
	}
	return total
}

// ownFrame checks a frame between a controller and its own switch: circuit seizures by other exchanges and transit calls.
func (e *evaluator) ownFrame(frame *record.Frame, link *record.Link, data m3ua.ProtocolData, m *isup.Message) {
	otherEnd := data.OPC
	if frame.In {
		otherEnd = data.DPC
	}
	key := circuitKey{groupKey{link.Controller, otherEnd}, m.CIC}
	call := e.transits[key]
	if !frame.In {
		switch m.Type {
		case isup.IAM:
			if dest, ok := e.spec.Exchange(m.Called.String()); ok && dest != link.Controller {
				e.transits[key] = &transit{callRef: callRef{m.Ref.ID, m.Ref.PC}, at: frame.At, class: e.classOf(m.Category)}
			} else {
				delete(e.transits, key)
			}
		case isup.REL, isup.RLC, isup.RSC:
			delete(e.transits, key)
		case isup.GRS:
			for i := 0; i <= int(m.Range); i++ {
				delete(e.transits, circuitKey{key.groupKey, m.CIC + uint16(i)})
			}
		}
		return
	}
	if call == nil {
		return
	}
	switch m.Type {
	case isup.ACM, isup.CPG:
		call.alerted = true
	case isup.ANM, isup.CON:
		if call.outcome != pending {
			e.addViolation(1, frame.At, link.Controller, call.callRef, "in transit: %v after a final answer", m.Type)
		}
		call.outcome = established
	case isup.REL:
		if call.outcome == refused {
			e.addViolation(1, frame.At, link.Controller, call.callRef, "in transit: REL after a final answer")
		}
		call.outcome = refused
	case isup.RSC:
		delete(e.transits, key)
	}
}

// finish checks the calls that are still open at the end of the recording and computes service and percentiles.
func (e *evaluator) finish() {
	for _, call := range e.calls {
		if call.outcome == pending && call.clientReleasedAt == 0 && !call.lost && e.overdueBy(call, e.recording.End) > e.spec.Slack && !e.excusedByStall(call, e.recording.End) {
			e.addViolation(1, e.recording.End, call.controller, call.callRef, "no final answer at all")
		}
	}
	for k, inTransit := range e.transits {
		limit := 2 * e.spec.Classes[inTransit.class].Patience
		if inTransit.alerted {
			limit += e.spec.Classes[inTransit.class].Ring
		}
		if inTransit.outcome == pending && e.recording.End-inTransit.at > limit {
			e.addViolation(1, e.recording.End, k.controller, inTransit.callRef, "in transit: neither answered nor released")
		}
	}
	slices.SortStableFunc(e.report.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	e.addService()
	for _, percentiles := range []struct {
		delays []time.Duration
		result *[3]float64
	}{{e.setUpDelays, &e.report.DelaysMS}, {e.answerDelays, &e.report.AnswersMS}} {
		if n := len(percentiles.delays); n > 0 {
			slices.Sort(percentiles.delays)
			for i, at := range []int{n / 2, n * 99 / 100, n - 1} {
				percentiles.result[i] = percentiles.delays[at].Seconds() * 1000
			}
		}
	}
}

// callIntent is a caller's wish for one connection (ITU-T E.600): the first call and its redials.
type callIntent struct {
	first *clientCall
	calls []*clientCall
}

// addService adds up worth per call intent. Calls with the same calling number belong to one intent.
func (e *evaluator) addService() {
	byCaller := map[string]*callIntent{}
	var order []*callIntent
	for _, call := range e.calls {
		intent := byCaller[call.calling]
		if intent == nil || call.calling == "" {
			intent = &callIntent{first: call}
			byCaller[call.calling] = intent
			order = append(order, intent)
		}
		intent.calls = append(intent.calls, call)
	}
	const window = 10 * time.Second
	windows := make([]Service, int(e.recording.End/window)+1)
	byClass := map[string]*Service{}
	for _, intent := range order {
		classSpec := e.spec.Classes[intent.first.class]
		if e.unanswered(intent) { // no routing decision could have had it answered
			e.report.NoAnswer++
			continue
		}
		earned := classSpec.Worth * e.earned(intent, classSpec, (*clientCall).setUpAt)
		e.report.Whole.add(classSpec.Worth, earned)
		e.report.ToAnswer.add(classSpec.Worth, classSpec.Worth*e.earned(intent, classSpec, func(call *clientCall) time.Duration { return call.outcomeAt }))
		windows[intent.first.at/window].add(classSpec.Worth, earned)
		classService := byClass[classSpec.Name]
		if classService == nil {
			classService = &Service{}
			byClass[classSpec.Name] = classService
		}
		classService.add(classSpec.Worth, earned)
	}
	first := true
	for i, w := range windows { // windows with less than a quarter of the mean worth do not count
		if w.Worth >= 0.25*e.report.Whole.Worth/float64(len(windows)) && (first || w.Share < e.report.WorstWindow.Share) {
			first = false
			e.report.WorstWindow, e.report.WorstFrom = w, time.Duration(i)*window
		}
	}
	lowest := 2.0
	for _, classSpec := range e.spec.Classes {
		if classService := byClass[classSpec.Name]; classService != nil {
			e.report.Classes[classSpec.Name] = *classService
			if classService.Share < lowest {
				lowest, e.report.WorstClass = classService.Share, classSpec.Name
			}
		}
	}
	for _, event := range e.recording.Events {
		if event.Kind != record.Fault {
			continue
		}
		faultService := FaultService{Name: event.Name, From: event.At, Span: event.Span}
		for _, intent := range order {
			if intent.first.at >= event.At && intent.first.at < event.At+event.Span && !e.unanswered(intent) {
				classSpec := e.spec.Classes[intent.first.class]
				faultService.Service.add(classSpec.Worth, classSpec.Worth*e.earned(intent, classSpec, (*clientCall).setUpAt))
			}
		}
		e.report.Faults = append(e.report.Faults, faultService)
	}
}

// unanswered reports whether the called number of an intent alerted within the aim and was never answered: a far end
// released the call with cause 18 or 19, or its caller's ringing time elapsed (up to a second earlier if the controller
// released the call). A release with such a cause by the controller alone does not count.
func (e *evaluator) unanswered(intent *callIntent) bool {
	last := intent.calls[len(intent.calls)-1]
	classSpec := e.spec.Classes[last.class]
	if last.alertedAt == 0 || last.outcome == established || last.alertedAt-last.at > classSpec.Aim {
		return false
	}
	if last.outcome == pending && last.clientReleasedAt > 0 {
		return last.clientReleasedAt-last.alertedAt >= classSpec.Ring
	}
	if last.outcome != refused || last.cause != isup.CauseNoAnswer && last.cause != isup.CauseNoUserResponding {
		return false
	}
	if last.outcomeAt-last.alertedAt >= classSpec.Ring-time.Second {
		return true
	}
	for _, a := range e.attempts[attemptKey{last.callRef, last.controller}] {
		if a.state == returned && (a.cause == isup.CauseNoAnswer || a.cause == isup.CauseNoUserResponding) {
			return true
		}
	}
	return false
}

// earned is the share of its worth that an intent earns. It is 1 if the set-up of an established call was complete
// (completedAt) within the aim, counted from the first call, LateWorth if later but before GiveUp, and 0 if the call was
// cut. After a cut, by a release or by the loss of the client's connection, the time counts from the redial.
func (e *evaluator) earned(intent *callIntent, classSpec Class, completedAt func(*clientCall) time.Duration) float64 {
	from, cut := intent.first.at, false
	for _, call := range intent.calls {
		if cut {
			from, cut = call.at, false
		}
		if call.outcome != established {
			continue
		}
		if call.cut || call.lost && call.clientReleasedAt == 0 {
			cut = true
			continue
		}
		switch delay := completedAt(call) - from; {
		case delay <= classSpec.Aim:
			return 1
		case delay <= classSpec.GiveUp:
			return classSpec.LateWorth
		}
	}
	return 0
}
