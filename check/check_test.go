package check

import (
	"bytes"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/umbergauge/umbergauge/isup"
	"github.com/umbergauge/umbergauge/m3ua"
	"github.com/umbergauge/umbergauge/record"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

var spec = Spec{
	Guard: 200 * ms, DrainGrace: sec, ColdStart: ColdStart{0.4, 15 * sec, 2, 3 * sec}, Slack: 5 * ms,
	Classes: []Class{{"a", isup.CategoryOrdinary, 1500 * ms, 3 * sec, 12 * sec, 9 * sec, 1, 0.25}, {"b", isup.CategoryPriority, sec, 2 * sec, 12 * sec, 6 * sec, 5, 0.25}},
	Exchange: func(n string) (uint32, bool) {
		switch {
		case strings.HasPrefix(n, "1"):
			return 1, true
		case strings.HasPrefix(n, "2"):
			return 2, true
		case strings.HasPrefix(n, "3"):
			return 3, true
		}
		return 0, false
	},
}

// recordingBuilder builds a recording message by message: controller 1 with a client, its own switch 1, and the switches
// 2 and 3.
type recordingBuilder struct {
	recording record.Recording
}

const (
	client = int32(iota)
	ownSwitch
	switch2
	switch3
)

func newRecording() *recordingBuilder {
	return &recordingBuilder{record.Recording{Links: []record.Link{{Kind: record.ClientLink, Controller: 1}, {Kind: record.OwnLink, Controller: 1, Switch: 1},
		{Kind: record.FarLink, Controller: 1, Switch: 2}, {Kind: record.FarLink, Controller: 1, Switch: 3}}, End: 30 * sec}}
}

func (b *recordingBuilder) frame(at time.Duration, link int32, fromController bool, opc, dpc uint32, m isup.Message) {
	b.recording.Frames = append(b.recording.Frames, record.Frame{At: at, Link: link, In: fromController,
		Data: m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: opc, DPC: dpc, SI: 5, User: isup.Append(nil, &m)}})})
}

// fromController adds a message that the controller sent on a link, toController one that it received there.
func (b *recordingBuilder) fromController(at time.Duration, link int32, m isup.Message) *recordingBuilder {
	otherEnd := map[int32]uint32{client: 900, ownSwitch: 2, switch2: 2, switch3: 3}[link]
	b.frame(at, link, true, 1, otherEnd, m)
	return b
}

func (b *recordingBuilder) toController(at time.Duration, link int32, m isup.Message) *recordingBuilder {
	otherEnd := map[int32]uint32{client: 900, ownSwitch: 2, switch2: 2, switch3: 3}[link]
	b.frame(at, link, false, otherEnd, 1, m)
	return b
}

func (b *recordingBuilder) stateUpdate(at time.Duration, k m3ua.Kind, pc uint32) *recordingBuilder {
	b.recording.Frames = append(b.recording.Frames, record.Frame{At: at, Link: ownSwitch, Data: m3ua.Append(nil, &m3ua.Message{Kind: k, Affected: []m3ua.Affected{{PC: pc}}})})
	return b
}

func iam(call uint32, cic uint16, called string) isup.Message {
	calledNumber, _ := isup.ParseNumber(4, called)
	callingNumber, _ := isup.ParseNumber(4, "90"+strings.Repeat("1", int(call)))
	return isup.Message{Type: isup.IAM, CIC: cic, Category: isup.CategoryOrdinary, Called: calledNumber, HasCalling: true, Calling: callingNumber, HasRef: true, Ref: isup.CallReference{ID: call, PC: 900}}
}

func msg(t isup.Type, cic uint16) isup.Message { return isup.Message{Type: t, CIC: cic} }
func rel(cic uint16, c isup.Cause) isup.Message {
	return isup.Message{Type: isup.REL, CIC: cic, Cause: c}
}

// completedCall adds a call that switch 2 answers and its caller releases: IAM, forwarded IAM, ACM, ANM, REL, RLC.
func (b *recordingBuilder) completedCall(at time.Duration, call uint32, cic uint16) *recordingBuilder {
	return b.toController(at, client, iam(call, cic, "2001")).fromController(at+2*ms, switch2, iam(call, cic, "2001")).
		toController(at+50*ms, switch2, msg(isup.ACM, cic)).fromController(at+52*ms, client, msg(isup.ACM, cic)).
		toController(at+60*ms, switch2, msg(isup.ANM, cic)).fromController(at+62*ms, client, msg(isup.ANM, cic)).
		toController(at+5*sec, client, rel(cic, 16)).fromController(at+5*sec+ms, client, msg(isup.RLC, cic)).
		fromController(at+5*sec+ms, switch2, rel(cic, 16)).toController(at+5*sec+40*ms, switch2, msg(isup.RLC, cic))
}

// ringingCall adds a call that alerts at switch 2 after 50 ms; the test adds what follows.
func (b *recordingBuilder) ringingCall(at time.Duration, call uint32, cic uint16) *recordingBuilder {
	return b.toController(at, client, iam(call, cic, "2001")).fromController(at+2*ms, switch2, iam(call, cic, "2001")).
		toController(at+50*ms, switch2, msg(isup.ACM, cic)).fromController(at+52*ms, client, msg(isup.ACM, cic))
}

// Calls that no network could have had answered must not lower the service. They are left out only if the far end reports
// no answer or the caller waited for its whole ringing time, not if the controller alone reports no answer.
func TestUnansweredCallsAreLeftOutOfService(t *testing.T) {
	for name, tc := range map[string]struct {
		builder    *recordingBuilder
		unanswered int
		earned     float64
	}{
		"no answer reported by the far end":          {newRecording().ringingCall(sec, 1, 1).toController(5*sec, switch2, rel(1, 19)).fromController(5*sec+ms, client, rel(1, 19)), 1, 0},
		"no answer reported by the controller alone": {newRecording().ringingCall(sec, 1, 1).fromController(5*sec, switch2, rel(1, 19)).fromController(5*sec+ms, client, rel(1, 19)), 0, 0},
		"rang for the caller's whole ringing time":   {newRecording().ringingCall(sec, 1, 1).fromController(12950*ms, switch2, rel(1, 19)).fromController(12951*ms, client, rel(1, 19)), 1, 0},
		"answered after 10 s":                        {newRecording().ringingCall(sec, 1, 1).toController(11*sec, switch2, msg(isup.ANM, 1)).fromController(11*sec+ms, client, msg(isup.ANM, 1)), 0, 1},
	} {
		report := tc.builder.evaluate()
		if len(report.Violations) > 0 || report.NoAnswer != tc.unanswered || report.Whole.Earned != tc.earned || report.Whole.Calls != 1-tc.unanswered || report.ToAnswer.Earned > 0.3 {
			t.Errorf("%s: %+v", name, report)
		}
	}
}

// refusedCall adds a call that switch 2 rejects and the controller refuses.
func (b *recordingBuilder) refusedCall(at time.Duration, call uint32, cic uint16) *recordingBuilder {
	return b.toController(at, client, iam(call, cic, "2001")).fromController(at+2*ms, switch2, iam(call, cic, "2001")).
		toController(at+50*ms, switch2, rel(cic, 42)).fromController(at+51*ms, switch2, msg(isup.RLC, cic)).
		fromController(at+52*ms, client, rel(cic, 42)).toController(at+53*ms, client, msg(isup.RLC, cic))
}

// timedOutCall adds a call whose attempt to switch 2 gets no reply for a second and is released there; the test adds what
// follows.
func (b *recordingBuilder) timedOutCall(at time.Duration, call uint32, cic uint16) *recordingBuilder {
	return b.toController(at, client, iam(call, cic, "2001")).fromController(at+2*ms, switch2, iam(call, cic, "2001")).
		fromController(at+sec, switch2, rel(cic, 102)).toController(at+sec+20*ms, switch2, msg(isup.RLC, cic))
}

func (builder *recordingBuilder) evaluate() Report {
	slices.SortStableFunc(builder.recording.Frames, func(a, b record.Frame) int { return int(a.At - b.At) })
	return Evaluate(builder.recording, spec)
}

// A rule that is checked too strictly reports violations of controllers that keep it.
func TestValidRecordingsHaveNoViolations(t *testing.T) {
	for name, builder := range map[string]*recordingBuilder{
		"established":           newRecording().completedCall(sec, 1, 1).completedCall(2*sec, 2, 2),
		"refused by the switch": newRecording().refusedCall(sec, 1, 1),
		"next attempt after the guard": newRecording().timedOutCall(sec, 1, 1).fromController(2*sec+200*ms, switch3, iam(1, 9, "2001")).
			toController(2*sec+300*ms, switch3, rel(9, 34)).fromController(2*sec+310*ms, client, rel(1, 34)),
		"next attempt at once after a refusal": newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch3, iam(1, 1, "2001")).
			toController(sec+50*ms, switch3, rel(1, 34)).fromController(sec+51*ms, switch2, iam(1, 1, "2001")).toController(sec+90*ms, switch2, msg(isup.CON, 1)).fromController(sec+91*ms, client, msg(isup.CON, 1)),
		"REL of the caller crosses ANM": newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch2, iam(1, 1, "2001")).
			toController(sec+50*ms, client, rel(1, 16)).toController(sec+50*ms, switch2, msg(isup.ANM, 1)).fromController(sec+51*ms, client, msg(isup.ANM, 1)).
			fromController(sec+52*ms, client, msg(isup.RLC, 1)).fromController(sec+52*ms, switch2, rel(1, 16)),
		"released by the called side": newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch2, iam(1, 1, "2001")).toController(sec+2*ms, switch2, msg(isup.CON, 1)).
			fromController(sec+3*ms, client, msg(isup.CON, 1)).toController(3*sec, switch2, rel(1, 16)).fromController(3*sec+ms, client, rel(1, 16)),
		"set-up within the drain grace":                newRecording().stateUpdate(sec, m3ua.DRST, 2).refusedCall(1900*ms, 1, 1),
		"set-up after the exchange is available again": newRecording().stateUpdate(sec, m3ua.DUNA, 2).stateUpdate(4*sec, m3ua.DAVA, 2).refusedCall(5*sec, 1, 1),
		"transit call": newRecording().toController(sec, ownSwitch, iam(1, 5, "3001")).fromController(sec+ms, switch3, iam(1, 1, "3001")).toController(sec+50*ms, switch3, rel(1, 17)).fromController(sec+51*ms, ownSwitch, rel(5, 17)),
	} {
		if report := builder.evaluate(); len(report.Violations) > 0 {
			t.Errorf("%s: %v", name, report.Violations)
		}
	}
}

// A violation that goes unnoticed makes every other test of the rules worthless: each rule is broken in several ways, and
// each violation must be reported under the rule's number, and under no other.
func TestBrokenRulesAreReported(t *testing.T) {
	cold := func(n int, warm bool) *recordingBuilder {
		builder := newRecording()
		builder.recording.Events = []record.Event{{At: sec, Kind: record.Started, PC: 2, Cold: true, Value: 10}}
		at := 1500 * ms
		if warm {
			at = 16500 * ms
		}
		for i := range n { // the limit is 2 x 10/s x 0.44 x 3 s = 26, as the share has grown from 0.4 to 0.44
			builder.refusedCall(at+time.Duration(i)*20*ms, uint32(i+1), uint16(i+1))
		}
		return builder
	}
	if report := cold(25, false).evaluate(); len(report.Violations) > 0 {
		t.Errorf("25 set-ups to a cold switch, within the limit of 26: %v", report.Violations)
	}
	if report := cold(60, true).evaluate(); len(report.Violations) > 0 {
		t.Errorf("60 set-ups to a switch that has warmed up: %v", report.Violations)
	}
	for _, tc := range []struct {
		name    string
		rule    int
		builder *recordingBuilder
	}{
		{"no final answer before the caller gives up", 1, newRecording().timedOutCall(sec, 1, 1).toController(4*sec, client, rel(1, 16)).fromController(4*sec+ms, client, msg(isup.RLC, 1))},
		{"no final answer at all", 1, newRecording().timedOutCall(sec, 1, 1)},
		{"final answer after the caller's deadline", 1, newRecording().timedOutCall(sec, 1, 1).fromController(4200*ms, client, rel(1, 102))},
		{"answered twice", 1, newRecording().completedCall(sec, 1, 1).fromController(2*sec, client, msg(isup.ANM, 1))},
		{"answered after it was refused", 1, newRecording().refusedCall(sec, 1, 1).fromController(1200*ms, client, msg(isup.ANM, 1))},
		{"refused twice", 1, newRecording().refusedCall(sec, 1, 1).fromController(1200*ms, client, rel(1, 42))},
		{"ACM after it was refused", 1, newRecording().refusedCall(sec, 1, 1).fromController(1200*ms, client, msg(isup.ACM, 1))},
		{"REL after its release", 1, newRecording().completedCall(sec, 1, 1).fromController(7*sec, client, rel(1, 16))},
		{"answer on a circuit without a call", 1, newRecording().fromController(sec, client, msg(isup.ANM, 7))},
		{"set-up after it was refused", 1, newRecording().refusedCall(sec, 1, 1).fromController(1200*ms, switch3, iam(1, 3, "2001"))},
		{"set-up after it was established", 1, newRecording().completedCall(sec, 1, 1).fromController(2*sec, switch3, iam(1, 3, "2001"))},
		{"set-up after it was abandoned", 1, newRecording().toController(sec, client, iam(1, 1, "2001")).toController(1100*ms, client, rel(1, 16)).
			fromController(1101*ms, client, msg(isup.RLC, 1)).fromController(1200*ms, switch2, iam(1, 1, "2001"))},
		{"rings beyond the caller's ringing time", 1, newRecording().ringingCall(sec, 1, 1).toController(13100*ms, client, rel(1, 16)).fromController(13101*ms, client, msg(isup.RLC, 1))},
		{"rings without any final answer", 1, newRecording().ringingCall(sec, 1, 1)},
		{"no answer reported after the caller's ringing time", 1, newRecording().ringingCall(sec, 1, 1).fromController(13200*ms, switch2, rel(1, 19)).fromController(13201*ms, client, rel(1, 19))},
		{"ACM to the client without an ACM of a switch", 1, newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+2*ms, switch2, iam(1, 1, "2001")).
			fromController(sec+5*ms, client, msg(isup.ACM, 1)).toController(5*sec, switch2, rel(1, 42)).fromController(5*sec+ms, client, rel(1, 42))},
		{"another attempt while the call rings", 2, newRecording().ringingCall(sec, 1, 1).fromController(5*sec, switch3, iam(1, 2, "2001")).
			toController(6*sec, switch2, msg(isup.ANM, 1)).fromController(6*sec+ms, client, msg(isup.ANM, 1))},
		{"next attempt within the guard after ringing", 5, newRecording().ringingCall(sec, 1, 1).fromController(1500*ms, switch2, rel(1, 102)).fromController(1600*ms, switch3, iam(1, 2, "2001")).
			toController(1700*ms, switch3, rel(2, 34)).fromController(1701*ms, client, rel(1, 34))},
		{"transit call refused twice", 1, newRecording().toController(sec, ownSwitch, iam(1, 5, "3001")).fromController(sec+ms, ownSwitch, rel(5, 34)).fromController(sec+9*ms, ownSwitch, rel(5, 34))},
		{"transit call without a final answer", 1, newRecording().toController(sec, ownSwitch, iam(1, 5, "3001"))},
		{"two outstanding attempts to two switches", 2, newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch2, iam(1, 1, "2001")).
			fromController(sec+500*ms, switch3, iam(1, 1, "2001")).toController(sec+600*ms, switch2, msg(isup.CON, 1)).fromController(sec+601*ms, client, msg(isup.CON, 1))},
		{"two outstanding attempts to one switch", 2, newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch2, iam(1, 1, "2001")).
			fromController(sec+500*ms, switch2, iam(1, 2, "2001")).toController(sec+600*ms, switch2, msg(isup.CON, 1)).fromController(sec+601*ms, client, msg(isup.CON, 1))},
		{"two outstanding attempts of a transit call", 2, newRecording().toController(sec, ownSwitch, iam(1, 5, "3001")).fromController(sec+ms, switch3, iam(1, 1, "3001")).fromController(sec+2*ms, switch3, iam(1, 2, "3001")).fromController(sec+3*ms, ownSwitch, rel(5, 34))},
		{"set-up to a draining exchange", 3, newRecording().stateUpdate(sec, m3ua.DRST, 2).refusedCall(2100*ms, 1, 1)},
		{"set-up to an unavailable exchange", 3, newRecording().stateUpdate(sec, m3ua.DUNA, 2).refusedCall(20*sec, 1, 1)},
		{"a second state update does not restart the drain grace", 3, newRecording().stateUpdate(sec, m3ua.DRST, 2).stateUpdate(1900*ms, m3ua.DUNA, 2).refusedCall(2100*ms, 1, 1)},
		{"too many set-ups to a cold switch", 4, cold(30, false)},
		{"next attempt within the guard, another switch", 5, newRecording().timedOutCall(sec, 1, 1).fromController(2100*ms, switch3, iam(1, 2, "2001")).toController(2200*ms, switch3, rel(2, 34)).fromController(2201*ms, client, rel(1, 34))},
		{"next attempt within the guard, same switch", 5, newRecording().timedOutCall(sec, 1, 1).fromController(2190*ms, switch2, iam(1, 2, "2001")).toController(2200*ms, switch2, rel(2, 34)).fromController(2201*ms, client, rel(1, 34))},
		{"next attempt within the guard after a circuit reset", 5, newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch2, iam(1, 1, "2001")).
			toController(sec+50*ms, switch2, msg(isup.RSC, 1)).fromController(sec+100*ms, switch3, iam(1, 1, "2001")).toController(sec+150*ms, switch3, rel(1, 34)).fromController(sec+151*ms, client, rel(1, 34))},
		{"next attempt within the guard after circuits were blocked", 5, newRecording().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch2, iam(1, 1, "2001")).
			toController(sec+50*ms, switch2, isup.Message{Type: isup.CGB, CIC: 1, Supervision: isup.Hardware, Range: 3, Status: []byte{15}}).fromController(sec+100*ms, switch3, iam(1, 1, "2001")).
			toController(sec+150*ms, switch3, rel(1, 34)).fromController(sec+151*ms, client, rel(1, 34))},
		{"next attempt within the guard after the association closed", 5, withClosedAssociation().toController(sec, client, iam(1, 1, "2001")).fromController(sec+ms, switch2, iam(1, 1, "2001")).
			fromController(sec+150*ms, switch3, iam(1, 1, "2001")).toController(sec+250*ms, switch3, rel(1, 34)).fromController(sec+251*ms, client, rel(1, 34))},
		{"two calls on one circuit", 6, withDualCircuitUse()},
	} {
		report := tc.builder.evaluate()
		if len(report.Violations) == 0 {
			t.Errorf("%s: no violation reported", tc.name)
		}
		for _, violation := range report.Violations {
			if violation.Rule != tc.rule {
				t.Errorf("%s: reported as %v", tc.name, violation)
			}
		}
	}
}

// withClosedAssociation is a recording in which the association to switch 2 closes at 1.1 s.
func withClosedAssociation() *recordingBuilder {
	builder := newRecording()
	builder.recording.Links[switch2].Closed = 1100 * ms
	return builder
}

// withDualCircuitUse is a recording in which a call of each end is established on circuit 1 for several seconds.
func withDualCircuitUse() *recordingBuilder {
	builder := newRecording().completedCall(sec, 1, 1)
	builder.recording.Links = append(builder.recording.Links, record.Link{Kind: record.FarLink, Controller: 2, Switch: 1})
	builder.frame(2*sec, 4, true, 2, 1, iam(7, 1, "1001"))
	builder.frame(2*sec+9*ms, 4, false, 1, 2, msg(isup.CON, 1))
	builder.frame(9*sec, 4, true, 2, 1, rel(1, 16))
	return builder
}

// A missing final answer is no violation if the call's own controller was stalled meanwhile or the client's connection
// closed; a stall of another controller is no excuse.
func TestStallOrClosedLinkExcusesMissingAnswer(t *testing.T) {
	builder := newRecording().timedOutCall(sec, 1, 1).toController(4*sec, client, rel(1, 16)).fromController(4*sec+ms, client, msg(isup.RLC, 1))
	builder.recording.Events = []record.Event{{At: 3 * sec, Kind: record.Stalled, PC: 1, Span: 2 * sec}}
	if report := builder.evaluate(); len(report.Violations) > 0 {
		t.Errorf("a stalled controller: %v", report.Violations)
	}
	builder.recording.Events[0].PC = 2
	if report := builder.evaluate(); len(report.Violations) == 0 {
		t.Error("no violation reported, though another controller was stalled")
	}
	builder = newRecording().timedOutCall(sec, 1, 1)
	builder.recording.Links[client].Closed = 2 * sec
	if report := builder.evaluate(); len(report.Violations) > 0 {
		t.Errorf("a client whose connection closed: %v", report.Violations)
	}
}

// Worth is counted once per caller: redials belong to the first call, a late set-up earns a quarter, and a cut call earns
// nothing unless its redial is established in time.
func TestServiceOfRedialledAndCutCalls(t *testing.T) {
	builder := newRecording().completedCall(sec, 1, 1).refusedCall(2*sec, 2, 2)
	// Call 3 is refused; its redial, with the same calling number, is established late, 2 s after call 3.
	first, again := iam(3, 3, "2001"), iam(4, 4, "2001")
	again.Calling = first.Calling
	builder.toController(3*sec, client, first).fromController(3*sec+50*ms, client, rel(3, 42)).
		toController(4900*ms, client, again).fromController(4901*ms, switch2, iam(4, 9, "2001")).toController(4990*ms, switch2, msg(isup.CON, 9)).fromController(5*sec, client, msg(isup.CON, 4))
	// Call 5, of the class with the higher worth, is cut; its redial is established.
	cut, redialled := iam(5, 5, "2001"), iam(6, 6, "2001")
	cut.Category, redialled.Category, redialled.Calling = isup.CategoryPriority, isup.CategoryPriority, cut.Calling
	builder.toController(6*sec, client, cut).fromController(6010*ms, switch2, iam(5, 15, "2001")).toController(6040*ms, switch2, msg(isup.CON, 15)).fromController(6050*ms, client, msg(isup.CON, 5)).
		toController(9*sec, switch2, rel(15, 41)).fromController(9*sec, client, rel(5, 41)).toController(10*sec, client, redialled).fromController(10010*ms, switch2, iam(6, 16, "2001")).
		toController(10040*ms, switch2, msg(isup.CON, 16)).fromController(10050*ms, client, msg(isup.CON, 6))
	// Call 7 is cut and not redialled.
	builder.toController(11*sec, client, iam(7, 7, "2001")).fromController(11010*ms, switch2, iam(7, 17, "2001")).toController(11040*ms, switch2, msg(isup.CON, 17)).fromController(11050*ms, client, msg(isup.CON, 7)).
		toController(12*sec, switch2, rel(17, 41)).fromController(12*sec, client, rel(7, 41))
	builder.recording.Events = []record.Event{{At: 10500 * ms, Kind: record.Fault, Name: "x", Span: sec}}
	report := builder.evaluate()
	if len(report.Violations) > 0 {
		t.Fatal(report.Violations)
	}
	if report.Whole.Worth != 9 || report.Whole.Earned != 1+0.25+5 || report.Whole.Calls != 5 {
		t.Errorf("whole service %+v, want 6.25 of 9 for 5 calls", report.Whole)
	}
	if report.Classes["b"].Share != 1 || report.Classes["a"].Share != 1.25/4 || report.WorstClass != "a" {
		t.Errorf("service by class %+v, worst %s; want 1.25 of 4 in a, the worst, and all in b", report.Classes, report.WorstClass)
	}
	if report.WorstWindow.Share != 0 || report.WorstFrom != 10*sec {
		t.Errorf("worst window %+v from %v, want share 0 from 10s", report.WorstWindow, report.WorstFrom)
	}
	if len(report.Faults) != 1 || report.Faults[0].Service.Calls != 1 || report.Faults[0].Service.Share != 0 {
		t.Errorf("service during faults %+v, want one fault with one call and share 0", report.Faults)
	}
}

// A trace must hold the selected frames only, one a line, and name the call in its IAM, by which operators search it.
func TestTraceWritesSelectedFrames(t *testing.T) {
	builder := newRecording().completedCall(sec, 1, 1)
	var b bytes.Buffer
	Trace(&b, builder.recording, func(link record.Link, message *m3ua.Message, user *isup.Message) bool {
		return link.Kind == record.FarLink
	})
	if got := strings.Count(b.String(), "\n"); got != 5 || !strings.Contains(b.String(), "call 900.1") {
		t.Errorf("trace, want 5 lines and call 900.1:\n%s", b.String())
	}
}
