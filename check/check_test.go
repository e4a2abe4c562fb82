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

// script builds a record by hand: controller 1 with a client, its own switch, and the switches 2 and 3.
type script struct {
	d record.Recording
}

const (
	client = int32(iota)
	own
	two
	three
)

func newScript() *script {
	return &script{record.Recording{Links: []record.Link{{Kind: record.ClientLink, Controller: 1}, {Kind: record.OwnLink, Controller: 1, Switch: 1},
		{Kind: record.FarLink, Controller: 1, Switch: 2}, {Kind: record.FarLink, Controller: 1, Switch: 3}}, End: 30 * sec}}
}

func (s *script) frame(at time.Duration, link int32, fromController bool, opc, dpc uint32, m isup.Message) {
	s.d.Frames = append(s.d.Frames, record.Frame{At: at, Link: link, In: fromController,
		Data: m3ua.Append(nil, &m3ua.Message{Kind: m3ua.DATA, Data: m3ua.ProtocolData{OPC: opc, DPC: dpc, SI: 5, User: isup.Append(nil, &m)}})})
}

// to is a frame from the controller, from one to it.
func (s *script) to(at time.Duration, link int32, m isup.Message) *script {
	far := map[int32]uint32{client: 900, own: 2, two: 2, three: 3}[link]
	s.frame(at, link, true, 1, far, m)
	return s
}

func (s *script) from(at time.Duration, link int32, m isup.Message) *script {
	far := map[int32]uint32{client: 900, own: 2, two: 2, three: 3}[link]
	s.frame(at, link, false, far, 1, m)
	return s
}

func (s *script) list(at time.Duration, k m3ua.Kind, pc uint32) *script {
	s.d.Frames = append(s.d.Frames, record.Frame{At: at, Link: own, Data: m3ua.Append(nil, &m3ua.Message{Kind: k, Affected: []m3ua.Affected{{PC: pc}}})})
	return s
}

func iam(call uint32, cic uint16, called string) isup.Message {
	n, _ := isup.ParseNumber(4, called)
	c, _ := isup.ParseNumber(4, "90"+strings.Repeat("1", int(call)))
	return isup.Message{Type: isup.IAM, CIC: cic, Category: isup.CategoryOrdinary, Called: n, HasCalling: true, Calling: c, HasRef: true, Ref: isup.CallReference{ID: call, PC: 900}}
}

func msg(t isup.Type, cic uint16) isup.Message { return isup.Message{Type: t, CIC: cic} }
func rel(cic uint16, c isup.Cause) isup.Message {
	return isup.Message{Type: isup.REL, CIC: cic, Cause: c}
}

// clean is a call that stands and is hung up: IAM, IAM on, ACM, ANM, REL, RLC.
func (s *script) clean(at time.Duration, call uint32, cic uint16) *script {
	return s.from(at, client, iam(call, cic, "2001")).to(at+2*ms, two, iam(call, cic, "2001")).
		from(at+50*ms, two, msg(isup.ACM, cic)).to(at+52*ms, client, msg(isup.ACM, cic)).
		from(at+60*ms, two, msg(isup.ANM, cic)).to(at+62*ms, client, msg(isup.ANM, cic)).
		from(at+5*sec, client, rel(cic, 16)).to(at+5*sec+ms, client, msg(isup.RLC, cic)).
		to(at+5*sec+ms, two, rel(cic, 16)).from(at+5*sec+40*ms, two, msg(isup.RLC, cic))
}

// rings is a call that rings at 2 from 50 ms on; its further course is the test's.
func (s *script) rings(at time.Duration, call uint32, cic uint16) *script {
	return s.from(at, client, iam(call, cic, "2001")).to(at+2*ms, two, iam(call, cic, "2001")).
		from(at+50*ms, two, msg(isup.ACM, cic)).to(at+52*ms, client, msg(isup.ACM, cic))
}

// Callers whom nobody answered are in no service, but only on the word of the far end or of their own patience.
func TestNobodyAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		s        *script
		nobody   int
		answered float64
	}{
		"the far end says so":       {newScript().rings(sec, 1, 1).from(5*sec, two, rel(1, 19)).to(5*sec+ms, client, rel(1, 19)), 1, 0},
		"the controller says so":    {newScript().rings(sec, 1, 1).to(5*sec, two, rel(1, 19)).to(5*sec+ms, client, rel(1, 19)), 0, 0},
		"it rang as long as it may": {newScript().rings(sec, 1, 1).to(12950*ms, two, rel(1, 19)).to(12951*ms, client, rel(1, 19)), 1, 0},
		"it stands after 10 s":      {newScript().rings(sec, 1, 1).from(11*sec, two, msg(isup.ANM, 1)).to(11*sec+ms, client, msg(isup.ANM, 1)), 0, 1},
	} {
		r := c.s.judge()
		if len(r.Violations) > 0 || r.NoAnswer != c.nobody || r.Whole.Earned != c.answered || r.Whole.Calls != 1-c.nobody || r.ToAnswer.Earned > 0.3 {
			t.Errorf("%s: %+v", name, r)
		}
	}
}

// refused is a call that is turned back by 2 and refused.
func (s *script) refused(at time.Duration, call uint32, cic uint16) *script {
	return s.from(at, client, iam(call, cic, "2001")).to(at+2*ms, two, iam(call, cic, "2001")).
		from(at+50*ms, two, rel(cic, 42)).to(at+51*ms, two, msg(isup.RLC, cic)).
		to(at+52*ms, client, rel(cic, 42)).from(at+53*ms, client, msg(isup.RLC, cic))
}

// timedOut is a call whose attempt to 2 gets no answer for a second and is released there; its further course is the test's.
func (s *script) timedOut(at time.Duration, call uint32, cic uint16) *script {
	return s.from(at, client, iam(call, cic, "2001")).to(at+2*ms, two, iam(call, cic, "2001")).
		to(at+sec, two, rel(cic, 102)).from(at+sec+20*ms, two, msg(isup.RLC, cic))
}

func (s *script) judge() Report {
	slices.SortStableFunc(s.d.Frames, func(a, b record.Frame) int { return int(a.At - b.At) })
	return Evaluate(s.d, spec)
}

func TestCleanRecordsPass(t *testing.T) {
	for name, s := range map[string]*script{
		"stands":  newScript().clean(sec, 1, 1).clean(2*sec, 2, 2),
		"refused": newScript().refused(sec, 1, 1),
		"again after the guard": newScript().timedOut(sec, 1, 1).to(2*sec+200*ms, three, iam(1, 9, "2001")).
			from(2*sec+300*ms, three, rel(9, 34)).to(2*sec+310*ms, client, rel(1, 34)),
		"again at once after a refusal": newScript().from(sec, client, iam(1, 1, "2001")).to(sec+ms, three, iam(1, 1, "2001")).
			from(sec+50*ms, three, rel(1, 34)).to(sec+51*ms, two, iam(1, 1, "2001")).from(sec+90*ms, two, msg(isup.CON, 1)).to(sec+91*ms, client, msg(isup.CON, 1)),
		"REL crosses ANM": newScript().from(sec, client, iam(1, 1, "2001")).to(sec+ms, two, iam(1, 1, "2001")).
			from(sec+50*ms, client, rel(1, 16)).from(sec+50*ms, two, msg(isup.ANM, 1)).to(sec+51*ms, client, msg(isup.ANM, 1)).
			to(sec+52*ms, client, msg(isup.RLC, 1)).to(sec+52*ms, two, rel(1, 16)),
		"hung up by the called side": newScript().from(sec, client, iam(1, 1, "2001")).to(sec+ms, two, iam(1, 1, "2001")).from(sec+2*ms, two, msg(isup.CON, 1)).
			to(sec+3*ms, client, msg(isup.CON, 1)).from(3*sec, two, rel(1, 16)).to(3*sec+ms, client, rel(1, 16)),
		"within the grace": newScript().list(sec, m3ua.DRST, 2).refused(1900*ms, 1, 1),
		"in service again": newScript().list(sec, m3ua.DUNA, 2).list(4*sec, m3ua.DAVA, 2).refused(5*sec, 1, 1),
		"in transit":       newScript().from(sec, own, iam(1, 5, "3001")).to(sec+ms, three, iam(1, 1, "3001")).from(sec+50*ms, three, rel(1, 17)).to(sec+51*ms, own, rel(5, 17)),
	} {
		if r := s.judge(); len(r.Violations) > 0 {
			t.Errorf("%s: %v", name, r.Violations)
		}
	}
}

// Each rule broken in several ways: every one is found, under its number.
func TestTamperedRecordsAreReported(t *testing.T) {
	cold := func(n int, warm bool) *script {
		s := newScript()
		s.d.Events = []record.Event{{At: sec, Kind: record.Started, PC: 2, Cold: true, Value: 10}}
		at := 1500 * ms
		if warm {
			at = 16500 * ms
		}
		for i := range n { // 2 x 10/s x (0.4 and a little) x 3 s: 26 can be
			s.refused(at+time.Duration(i)*20*ms, uint32(i+1), uint16(i+1))
		}
		return s
	}
	if r := cold(25, false).judge(); len(r.Violations) > 0 {
		t.Errorf("25 set-ups are no push: %v", r.Violations)
	}
	if r := cold(60, true).judge(); len(r.Violations) > 0 {
		t.Errorf("a warm switch: %v", r.Violations)
	}
	for _, c := range []struct {
		name string
		rule int
		s    *script
	}{
		{"no answer before the caller gives up", 1, newScript().timedOut(sec, 1, 1).from(4*sec, client, rel(1, 16)).to(4*sec+ms, client, msg(isup.RLC, 1))},
		{"no answer at all", 1, newScript().timedOut(sec, 1, 1)},
		{"an answer after the caller's time", 1, newScript().timedOut(sec, 1, 1).to(4200*ms, client, rel(1, 102))},
		{"stands twice", 1, newScript().clean(sec, 1, 1).to(2*sec, client, msg(isup.ANM, 1))},
		{"stands after it was refused", 1, newScript().refused(sec, 1, 1).to(1200*ms, client, msg(isup.ANM, 1))},
		{"refused twice", 1, newScript().refused(sec, 1, 1).to(1200*ms, client, rel(1, 42))},
		{"ACM after it was refused", 1, newScript().refused(sec, 1, 1).to(1200*ms, client, msg(isup.ACM, 1))},
		{"REL after its end", 1, newScript().clean(sec, 1, 1).to(7*sec, client, rel(1, 16))},
		{"an answer where no call is", 1, newScript().to(sec, client, msg(isup.ANM, 7))},
		{"sent after it was refused", 1, newScript().refused(sec, 1, 1).to(1200*ms, three, iam(1, 3, "2001"))},
		{"sent after it stood", 1, newScript().clean(sec, 1, 1).to(2*sec, three, iam(1, 3, "2001"))},
		{"sent after its caller left", 1, newScript().from(sec, client, iam(1, 1, "2001")).from(1100*ms, client, rel(1, 16)).
			to(1101*ms, client, msg(isup.RLC, 1)).to(1200*ms, two, iam(1, 1, "2001"))},
		{"rings beyond its caller's time", 1, newScript().rings(sec, 1, 1).from(13100*ms, client, rel(1, 16)).to(13101*ms, client, msg(isup.RLC, 1))},
		{"rings and has no answer at all", 1, newScript().rings(sec, 1, 1)},
		{"no answer told after its caller's time", 1, newScript().rings(sec, 1, 1).to(13200*ms, two, rel(1, 19)).to(13201*ms, client, rel(1, 19))},
		{"rings though no switch says so", 1, newScript().from(sec, client, iam(1, 1, "2001")).to(sec+2*ms, two, iam(1, 1, "2001")).
			to(sec+5*ms, client, msg(isup.ACM, 1)).from(5*sec, two, rel(1, 42)).to(5*sec+ms, client, rel(1, 42))},
		{"another attempt while it rings", 2, newScript().rings(sec, 1, 1).to(5*sec, three, iam(1, 2, "2001")).
			from(6*sec, two, msg(isup.ANM, 1)).to(6*sec+ms, client, msg(isup.ANM, 1))},
		{"again within the guard after it rang", 5, newScript().rings(sec, 1, 1).to(1500*ms, two, rel(1, 102)).to(1600*ms, three, iam(1, 2, "2001")).
			from(1700*ms, three, rel(2, 34)).to(1701*ms, client, rel(1, 34))},
		{"in transit: answered twice", 1, newScript().from(sec, own, iam(1, 5, "3001")).to(sec+ms, own, rel(5, 34)).to(sec+9*ms, own, rel(5, 34))},
		{"in transit: never answered", 1, newScript().from(sec, own, iam(1, 5, "3001"))},
		{"two attempts to two switches", 2, newScript().from(sec, client, iam(1, 1, "2001")).to(sec+ms, two, iam(1, 1, "2001")).
			to(sec+500*ms, three, iam(1, 1, "2001")).from(sec+600*ms, two, msg(isup.CON, 1)).to(sec+601*ms, client, msg(isup.CON, 1))},
		{"two attempts to one switch", 2, newScript().from(sec, client, iam(1, 1, "2001")).to(sec+ms, two, iam(1, 1, "2001")).
			to(sec+500*ms, two, iam(1, 2, "2001")).from(sec+600*ms, two, msg(isup.CON, 1)).to(sec+601*ms, client, msg(isup.CON, 1))},
		{"two attempts in transit", 2, newScript().from(sec, own, iam(1, 5, "3001")).to(sec+ms, three, iam(1, 1, "3001")).to(sec+2*ms, three, iam(1, 2, "3001")).to(sec+3*ms, own, rel(5, 34))},
		{"to a draining switch", 3, newScript().list(sec, m3ua.DRST, 2).refused(2100*ms, 1, 1)},
		{"to a gone switch", 3, newScript().list(sec, m3ua.DUNA, 2).refused(20*sec, 1, 1)},
		{"gone, though told twice", 3, newScript().list(sec, m3ua.DRST, 2).list(1900*ms, m3ua.DUNA, 2).refused(2100*ms, 1, 1)},
		{"a cold switch pushed over", 4, cold(30, false)},
		{"again within the guard, elsewhere", 5, newScript().timedOut(sec, 1, 1).to(2100*ms, three, iam(1, 2, "2001")).from(2200*ms, three, rel(2, 34)).to(2201*ms, client, rel(1, 34))},
		{"again within the guard, same switch", 5, newScript().timedOut(sec, 1, 1).to(2190*ms, two, iam(1, 2, "2001")).from(2200*ms, two, rel(2, 34)).to(2201*ms, client, rel(1, 34))},
		{"again within the guard after a reset", 5, newScript().from(sec, client, iam(1, 1, "2001")).to(sec+ms, two, iam(1, 1, "2001")).
			from(sec+50*ms, two, msg(isup.RSC, 1)).to(sec+100*ms, three, iam(1, 1, "2001")).from(sec+150*ms, three, rel(1, 34)).to(sec+151*ms, client, rel(1, 34))},
		{"again within the guard after circuits were lost", 5, newScript().from(sec, client, iam(1, 1, "2001")).to(sec+ms, two, iam(1, 1, "2001")).
			from(sec+50*ms, two, isup.Message{Type: isup.CGB, CIC: 1, Supervision: isup.Hardware, Range: 3, Status: []byte{15}}).to(sec+100*ms, three, iam(1, 1, "2001")).
			from(sec+150*ms, three, rel(1, 34)).to(sec+151*ms, client, rel(1, 34))},
		{"again within the guard after the association broke", 5, broken().from(sec, client, iam(1, 1, "2001")).to(sec+ms, two, iam(1, 1, "2001")).
			to(sec+150*ms, three, iam(1, 1, "2001")).from(sec+250*ms, three, rel(1, 34)).to(sec+251*ms, client, rel(1, 34))},
		{"two calls on one circuit", 6, glare()},
	} {
		r := c.s.judge()
		if len(r.Violations) == 0 {
			t.Errorf("%s: not found", c.name)
		}
		for _, f := range r.Violations {
			if f.Rule != c.rule {
				t.Errorf("%s: found as %v", c.name, f)
			}
		}
	}
}

// broken has the association to 2 end at 1.1 s.
func broken() *script {
	s := newScript()
	s.d.Links[two].Closed = 1100 * ms
	return s
}

// glare is a call of each end that stands on circuit 1 for 3 s.
func glare() *script {
	s := newScript().clean(sec, 1, 1)
	s.d.Links = append(s.d.Links, record.Link{Kind: record.FarLink, Controller: 2, Switch: 1})
	s.frame(2*sec, 4, true, 2, 1, iam(7, 1, "1001"))
	s.frame(2*sec+9*ms, 4, false, 1, 2, msg(isup.CON, 1))
	s.frame(9*sec, 4, true, 2, 1, rel(1, 16))
	return s
}

// What is excused: the time while the controller stood still, and a connection that broke.
func TestExcuses(t *testing.T) {
	s := newScript().timedOut(sec, 1, 1).from(4*sec, client, rel(1, 16)).to(4*sec+ms, client, msg(isup.RLC, 1))
	s.d.Events = []record.Event{{At: 3 * sec, Kind: record.Stalled, PC: 1, Span: 2 * sec}}
	if r := s.judge(); len(r.Violations) > 0 {
		t.Errorf("a controller that stood still: %v", r.Violations)
	}
	s.d.Events[0].PC = 2
	if r := s.judge(); len(r.Violations) == 0 {
		t.Error("another controller's stop excuses this one")
	}
	s = newScript().timedOut(sec, 1, 1)
	s.d.Links[client].Closed = 2 * sec
	if r := s.judge(); len(r.Violations) > 0 {
		t.Errorf("a client that is gone: %v", r.Violations)
	}
}

func TestService(t *testing.T) {
	s := newScript().clean(sec, 1, 1).refused(2*sec, 2, 2)
	// Call 3 stands late, 2 s after its first try; its caller dials again under the same number.
	first, again := iam(3, 3, "2001"), iam(4, 4, "2001")
	again.Calling = first.Calling
	s.from(3*sec, client, first).to(3*sec+50*ms, client, rel(3, 42)).
		from(4900*ms, client, again).to(4901*ms, two, iam(4, 9, "2001")).from(4990*ms, two, msg(isup.CON, 9)).to(5*sec, client, msg(isup.CON, 4))
	// Call 5, of the worthier class, is cut, comes again and stands.
	cut, back := iam(5, 5, "2001"), iam(6, 6, "2001")
	cut.Category, back.Category, back.Calling = isup.CategoryPriority, isup.CategoryPriority, cut.Calling
	s.from(6*sec, client, cut).to(6010*ms, two, iam(5, 15, "2001")).from(6040*ms, two, msg(isup.CON, 15)).to(6050*ms, client, msg(isup.CON, 5)).
		from(9*sec, two, rel(15, 41)).to(9*sec, client, rel(5, 41)).from(10*sec, client, back).to(10010*ms, two, iam(6, 16, "2001")).
		from(10040*ms, two, msg(isup.CON, 16)).to(10050*ms, client, msg(isup.CON, 6))
	// Call 7 is cut and does not come again.
	s.from(11*sec, client, iam(7, 7, "2001")).to(11010*ms, two, iam(7, 17, "2001")).from(11040*ms, two, msg(isup.CON, 17)).to(11050*ms, client, msg(isup.CON, 7)).
		from(12*sec, two, rel(17, 41)).to(12*sec, client, rel(7, 41))
	s.d.Events = []record.Event{{At: 10500 * ms, Kind: record.Fault, Name: "x", Span: sec}}
	r := s.judge()
	if len(r.Violations) > 0 {
		t.Fatal(r.Violations)
	}
	if r.Whole.Worth != 9 || r.Whole.Earned != 1+0.25+5 || r.Whole.Calls != 5 {
		t.Errorf("%+v", r.Whole)
	}
	if r.Classes["b"].Share != 1 || r.Classes["a"].Share != 1.25/4 || r.WorstClass != "a" {
		t.Errorf("%+v, worst %s", r.Classes, r.WorstClass)
	}
	if r.WorstWindow.Share != 0 || r.WorstFrom != 10*sec {
		t.Errorf("%+v from %v", r.WorstWindow, r.WorstFrom)
	}
	if len(r.Faults) != 1 || r.Faults[0].Service.Calls != 1 || r.Faults[0].Service.Share != 0 {
		t.Errorf("%+v", r.Faults)
	}
}

func TestTrace(t *testing.T) {
	s := newScript().clean(sec, 1, 1)
	var b bytes.Buffer
	Trace(&b, s.d, func(l record.Link, m *m3ua.Message, u *isup.Message) bool { return l.Kind == record.FarLink })
	if got := strings.Count(b.String(), "\n"); got != 5 || !strings.Contains(b.String(), "call 900.1") {
		t.Errorf("%s", b.String())
	}
}
