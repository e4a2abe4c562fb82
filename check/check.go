// Package check judges a recorded day by the traffic on the sockets alone: the five rules, and service. It knows nothing
// of controllers and shares only the codecs with them.
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

// Spec is what is right on a day.
type Spec struct {
	Guard      time.Duration
	DrainGrace time.Duration
	ColdStart  ColdStart
	Classes    []Class
	Exchange   func(number string) (uint32, bool) // behind a number
	// Slack is allowed for the time between a controller's act and the record of it, and for its knowing of something.
	Slack time.Duration
}

// ColdStart is when a fresh switch is pushed over.
type ColdStart struct {
	Share    float64 // of its capacity, right after the start
	WarmUp   time.Duration
	Multiple float64
	Span     time.Duration
}

// Class is one class of calls, known by the calling party's category.
type Class struct {
	Name      string
	Category  isup.Category
	Aim       time.Duration
	Patience  time.Duration // a try is given up after this, unless it rings by then ...
	Ring      time.Duration // ... and then after this; 0: a minute
	GiveUp    time.Duration // the caller gives up for good
	Worth     float64
	LateWorth float64
}

// Violation is one broken rule.
type Violation struct {
	Rule       int           `json:"rule"` // 1 to 5; 6: two calls on one circuit
	At         time.Duration `json:"at"`
	Controller uint32        `json:"controller"`
	Call       string        `json:"call"`
	What       string        `json:"what"`
}

func (f Violation) String() string {
	return fmt.Sprintf("rule %d at %.3f s, controller %d, call %s: %s", f.Rule, f.At.Seconds(), f.Controller, f.Call, f.What)
}

// Service is worth earned over worth offered.
type Service struct {
	Calls  int     `json:"calls"` // first tries
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

// FaultService is the service of calls first offered while a trouble lasted.
type FaultService struct {
	Name    string        `json:"name"`
	From    time.Duration `json:"from"`
	Span    time.Duration `json:"span"`
	Service Service       `json:"service"`
}

// Report is the verdict on a day.
type Report struct {
	Whole       Service            `json:"whole"`
	ToAnswer    Service            `json:"whole_to_answer"` // as if the aim ran to the answer, ringing included
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
	NoAnswer    int                `json:"no_answer"` // callers whom nobody answered, in no service
	Cut         int                `json:"cut"`
	Attempts    int                `json:"attempts"`
	Tandem      int                `json:"tandem_attempts"`
	Dual        int                `json:"dual_seizures"`
	Frames      int                `json:"frames"`
	DelaysMS    [3]float64         `json:"set_up_ms_p50_p99_max"` // to ACM, or to the answer where none came
	AnswersMS   [3]float64         `json:"answer_ms_p50_p99_max"`
}

type ref struct {
	id uint32
	pc uint16
}

func (r ref) String() string { return fmt.Sprintf("%d.%d", r.pc, r.id) }

type answer uint8

const (
	none answer = iota
	stands
	refused
)

// try is one call of a caller, from IAM to the end, as its client saw it.
type try struct {
	ref        ref
	controller uint32
	link       int32
	class      int
	calling    string
	at         time.Duration
	rangAt     time.Duration // first ACM
	answer     answer
	answerAt   time.Duration
	cause      isup.Cause    // of the REL that refused it
	left       time.Duration // the caller gave up or hung up
	over       bool          // its circuit is clear
	cut        bool
	lost       bool // with its connection
	repeated   bool
}

type ending uint8

const (
	out      ending = iota // no answer yet
	answered               // stands, or stood
	returned               // by the far end
	released               // by the controller, unanswered
	lost                   // with its association, circuit or by dual seizure
)

func (e ending) String() string {
	return [...]string{"out", "answered", "returned", "released", "lost"}[e]
}

// attempt is one set-up of a controller, as the switch saw it.
type attempt struct {
	ref        ref
	controller uint32
	sw         uint32
	cic        uint16
	at         time.Duration
	state      ending
	end        time.Duration
	standing   bool
	stoodAt    time.Duration
	rang       bool       // its switch has said ACM
	cause      isup.Cause // of the far end's REL
}

type legKey struct {
	link int32
	opc  uint32
	cic  uint16
}

type attemptKey struct {
	ref        ref
	controller uint32
}

type wayKey struct{ controller, sw uint32 }

type circuitKey struct {
	wayKey
	cic uint16
}

// transit is a call on its way through a controller.
type transit struct {
	ref    ref
	at     time.Duration
	class  int
	rang   bool
	answer answer
	over   bool
}

type judge struct {
	spec     Spec
	day      record.Recording
	report   Report
	tries    []*try
	byRef    map[ref]*try
	legs     map[legKey]*try
	attempts map[attemptKey][]*attempt
	circuits map[circuitKey]*attempt
	transits map[circuitKey]*transit // by the own controller and the exchange that it came from
	told     map[wayKey]time.Duration
	cold     map[uint32]*coldSwitch
	held     map[uint32][]record.Event
	marks    int
	closing  []int32 // links by the time of their end
	delays   []time.Duration
	answers  []time.Duration
}

type coldSwitch struct {
	at     time.Duration
	rate   float64
	recent []time.Duration
	broken bool
}

// Evaluate reads a day's record.
func Evaluate(day record.Recording, spec Spec) Report {
	j := &judge{spec: spec, day: day, byRef: map[ref]*try{}, legs: map[legKey]*try{}, attempts: map[attemptKey][]*attempt{},
		circuits: map[circuitKey]*attempt{}, transits: map[circuitKey]*transit{}, told: map[wayKey]time.Duration{},
		cold: map[uint32]*coldSwitch{}, held: map[uint32][]record.Event{}}
	j.report.Classes = map[string]Service{}
	j.spec.Classes = slices.Clone(spec.Classes)
	for i := range j.spec.Classes {
		if c := &j.spec.Classes[i]; c.Ring <= 0 {
			c.Ring = time.Minute
		}
	}
	for i, l := range day.Links {
		if l.Closed > 0 {
			j.closing = append(j.closing, int32(i))
		}
	}
	slices.SortStableFunc(j.closing, func(a, b int32) int { return cmp.Compare(day.Links[a].Closed, day.Links[b].Closed) })
	for _, m := range day.Events {
		if m.Kind == record.Stalled {
			j.held[m.PC] = append(j.held[m.PC], m)
		}
	}
	var m m3ua.Message
	var u isup.Message
	for i := range day.Frames {
		f := &day.Frames[i]
		j.upTo(f.At)
		if m3ua.Decode(f.Data, &m) != nil {
			continue
		}
		j.report.Frames++
		link := &day.Links[f.Link]
		if m.Kind != m3ua.DATA {
			if !f.In && link.Kind != record.ClientLink {
				j.list(f.At, link, &m)
			}
			continue
		}
		if isup.Decode(m.Data.User, &u) != nil {
			continue
		}
		switch link.Kind {
		case record.ClientLink:
			j.client(f, link, m.Data, &u)
		case record.FarLink:
			j.far(f, link, &u)
		case record.OwnLink:
			j.own(f, link, m.Data, &u)
		}
	}
	j.upTo(day.End + 1)
	j.finish()
	return j.report
}

func (j *judge) broken(rule int, at time.Duration, controller uint32, r ref, format string, args ...any) {
	j.report.Violations = append(j.report.Violations, Violation{rule, at, controller, r.String(), fmt.Sprintf(format, args...)})
}

// upTo plays marks and ends of links up to a time.
func (j *judge) upTo(t time.Duration) {
	for ; j.marks < len(j.day.Events) && j.day.Events[j.marks].At <= t; j.marks++ {
		switch m := j.day.Events[j.marks]; {
		case m.Kind == record.Started && m.Cold:
			j.cold[m.PC] = &coldSwitch{at: m.At, rate: m.Value}
		case m.Kind == record.Started:
			delete(j.cold, m.PC)
		case m.Kind == record.Stopped: // it has forgotten its calls
			delete(j.cold, m.PC)
			for k, a := range j.circuits {
				if k.sw == m.PC && a.standing {
					a.standing = false
					delete(j.circuits, k)
				}
			}
		}
	}
	for len(j.closing) > 0 && j.day.Links[j.closing[0]].Closed < t { // a frame of the same instant came before the end
		j.closed(j.closing[0])
		j.closing = j.closing[1:]
	}
}

// closed ends what was on a link.
func (j *judge) closed(id int32) {
	l := j.day.Links[id]
	switch l.Kind {
	case record.ClientLink:
		for k, c := range j.legs {
			if k.link == id {
				c.lost = true
				delete(j.legs, k)
			}
		}
	case record.FarLink:
		for k, a := range j.circuits {
			if k.controller == l.Controller && k.sw == l.Switch && a.state == out {
				j.end(k, a, lost, l.Closed)
			}
		}
	case record.OwnLink:
		for k := range j.transits {
			if k.controller == l.Controller {
				delete(j.transits, k)
			}
		}
	}
}

func (j *judge) end(k circuitKey, a *attempt, how ending, at time.Duration) {
	if a.state == out {
		a.state, a.end = how, at
	}
	if a.standing {
		a.standing = false
		if b := j.circuits[circuitKey{wayKey{k.sw, k.controller}, k.cic}]; b != nil && b.standing {
			if since := max(a.stoodAt, b.stoodAt); at-since > time.Second {
				j.broken(6, at, a.controller, a.ref, "it and call %v stood on circuit %d between %d and %d for %v", b.ref, k.cic, k.controller, k.sw, at-since)
			}
		}
	}
	delete(j.circuits, k)
}

// list takes SSNM: what a controller is told of exchanges.
func (j *judge) list(at time.Duration, l *record.Link, m *m3ua.Message) {
	for _, a := range m.Affected {
		k := wayKey{l.Controller, a.PC}
		switch m.Kind {
		case m3ua.DRST, m3ua.DUNA:
			if _, known := j.told[k]; !known {
				j.told[k] = at
			}
		case m3ua.DAVA:
			delete(j.told, k)
		}
	}
}

func (j *judge) classOf(c isup.Category) int {
	return max(0, slices.IndexFunc(j.spec.Classes, func(x Class) bool { return x.Category == c }))
}

// client judges a frame between a client and its controller.
func (j *judge) client(f *record.Frame, l *record.Link, d m3ua.ProtocolData, m *isup.Message) {
	opc := d.OPC
	if f.In {
		opc = d.DPC
	}
	k := legKey{f.Link, opc, m.CIC}
	c := j.legs[k]
	if !f.In { // from the client
		switch m.Type {
		case isup.IAM:
			c = &try{ref: ref{m.Ref.ID, m.Ref.PC}, controller: l.Controller, link: f.Link, class: j.classOf(m.Category), calling: m.Calling.String(), at: f.At}
			j.legs[k] = c
			j.byRef[c.ref] = c
			j.tries = append(j.tries, c)
			j.report.Tries++
		case isup.REL:
			if c == nil || c.left > 0 {
				return
			}
			c.left = f.At
			if c.answer == none {
				if c.rangAt == 0 {
					j.report.Abandoned++
				}
				if j.overdue(c, f.At) >= 0 && !j.excused(c, f.At) {
					j.broken(1, f.At, l.Controller, c.ref, "no final answer before its caller gave up after %v", f.At-c.at)
				}
			}
		}
		return
	}
	if c == nil {
		if m.Type == isup.ANM || m.Type == isup.CON || m.Type == isup.ACM || m.Type == isup.CPG || m.Type == isup.REL {
			j.broken(1, f.At, l.Controller, ref{}, "%v on circuit %d, where no call is", m.Type, m.CIC)
		}
		return
	}
	switch m.Type {
	case isup.RLC:
		c.over = true
	case isup.ACM, isup.CPG:
		if c.over || c.answer != none {
			j.broken(1, f.At, l.Controller, c.ref, "%v after its end", m.Type)
		} else if c.rangAt == 0 {
			c.rangAt = f.At
			j.report.Alerted++
			if !slices.ContainsFunc(j.attempts[attemptKey{c.ref, l.Controller}], func(a *attempt) bool { return a.rang }) {
				j.broken(1, f.At, l.Controller, c.ref, "%v though no switch has said so: its caller waits for nothing", m.Type)
			}
		}
	case isup.ANM, isup.CON:
		if c.over || c.answer != none {
			j.broken(1, f.At, l.Controller, c.ref, "%v after a final answer", m.Type)
			return
		}
		c.answer, c.answerAt = stands, f.At
		j.delays = append(j.delays, c.setUpAt()-c.at)
		j.answers = append(j.answers, f.At-c.at)
		j.report.Answered++
	case isup.REL:
		switch {
		case c.over || c.repeated || c.answer == refused:
			j.broken(1, f.At, l.Controller, c.ref, "REL after a final answer")
		case c.answer == none:
			c.answer, c.answerAt, c.cause = refused, f.At, m.Cause
			j.report.Refused++
			if late := j.overdue(c, f.At); c.left == 0 && late > j.spec.Slack && !j.excused(c, f.At) {
				j.broken(1, f.At, l.Controller, c.ref, "its final answer came %v after its caller's time", late)
			}
		default:
			c.repeated = true
			if c.left == 0 && m.Cause != isup.CauseNormal {
				c.cut = true
				j.report.Cut++
			}
		}
	}
}

// overdue is how long a try that is owed its final answer at a time is beyond its caller's time, which begins anew when it
// rings; below zero it is not.
func (j *judge) overdue(c *try, at time.Duration) time.Duration {
	cl := j.spec.Classes[c.class]
	if c.rangAt > 0 {
		return at - c.rangAt - cl.Ring
	}
	return at - c.at - cl.Patience
}

// setUpAt is when the set-up of a try that stood was complete.
func (c *try) setUpAt() time.Duration {
	if c.rangAt > 0 {
		return c.rangAt
	}
	return c.answerAt
}

// excused tells whether the controller of a call was stopped while the call waited.
func (j *judge) excused(c *try, until time.Duration) bool {
	for _, h := range j.held[c.controller] {
		if h.At <= until && h.At+h.Span+j.spec.Slack >= c.at {
			return true
		}
	}
	return false
}

// far judges a frame between a controller and the switch of another exchange.
func (j *judge) far(f *record.Frame, l *record.Link, m *isup.Message) {
	way := wayKey{l.Controller, l.Switch}
	k := circuitKey{way, m.CIC}
	a := j.circuits[k]
	if f.In && m.Type == isup.IAM {
		j.attempt(f.At, k, m)
		return
	}
	switch m.Type {
	case isup.ACM, isup.CPG:
		if !f.In && a != nil {
			a.rang = true
		}
	case isup.ANM, isup.CON:
		if !f.In && a != nil && a.state == out {
			a.state, a.end, a.standing, a.stoodAt = answered, f.At, true, f.At
		}
	case isup.REL:
		if a == nil {
			return
		}
		how := returned
		if f.In {
			how = released
		} else {
			a.cause = m.Cause
		}
		j.end(k, a, how, f.At)
	case isup.RSC:
		if a != nil {
			j.end(k, a, lost, f.At)
		}
	case isup.GRS:
		for i := 0; i <= int(m.Range); i++ {
			k.cic = m.CIC + uint16(i)
			if a := j.circuits[k]; a != nil {
				j.end(k, a, lost, f.At)
			}
		}
	case isup.CQR: // what the switch takes for idle has ended there, with its release lost
		for i := 0; !f.In && i < len(m.Circuits); i++ {
			k.cic = m.CIC + uint16(i)
			if a := j.circuits[k]; a != nil && a.standing && m.Circuits[i]&isup.CircuitStateMask == isup.CircuitIdle {
				j.end(k, a, lost, f.At)
			}
		}
	case isup.CGB:
		for i := 0; !f.In && m.Supervision == isup.Hardware && i <= int(m.Range); i++ {
			k.cic = m.CIC + uint16(i)
			if m.Status[i/8]>>(i%8)&1 == 0 {
				continue
			}
			delete(j.transits, k)
			if a := j.circuits[k]; a != nil {
				j.end(k, a, lost, f.At)
			}
		}
	}
}

// attempt judges an IAM.
func (j *judge) attempt(at time.Duration, k circuitKey, m *isup.Message) {
	j.report.Attempts++
	r := ref{m.Ref.ID, m.Ref.PC}
	if dest, ok := j.spec.Exchange(m.Called.String()); ok && dest != k.sw {
		j.report.Tandem++
	}
	if old := j.circuits[k]; old != nil {
		j.end(k, old, lost, at)
	}
	ak := attemptKey{r, k.controller}
	for _, p := range j.attempts[ak] {
		switch {
		case p.state == out:
			j.broken(2, at, k.controller, r, "sent to %d while its attempt to %d of %v before is out", k.sw, p.sw, at-p.at)
		case (p.state == released || p.state == lost) && at-p.end < j.spec.Guard-j.spec.Slack:
			j.broken(5, at, k.controller, r, "sent to %d only %v after its attempt to %d on circuit %d was %v", k.sw, at-p.end, p.sw, p.cic, p.state)
		case p.state == answered:
			j.broken(1, at, k.controller, r, "sent to %d after it stood", k.sw)
		}
	}
	if c := j.byRef[r]; c != nil && c.controller == k.controller {
		if c.answer != none && at > c.answerAt+j.spec.Slack {
			j.broken(1, at, k.controller, r, "sent to %d %v after its final answer", k.sw, at-c.answerAt)
		} else if c.left > 0 && at > c.left+j.spec.Slack+j.heldFor(k.controller, c.left, at) {
			j.broken(1, at, k.controller, r, "sent to %d %v after its caller left", k.sw, at-c.left)
		}
	}
	if t, known := j.told[k.wayKey]; known && at > t+j.spec.DrainGrace+j.spec.Slack {
		j.broken(3, at, k.controller, r, "sent to %d %v after word that it drains or is gone", k.sw, at-t)
	}
	if c := j.cold[k.sw]; c != nil && at < c.at+j.spec.ColdStart.WarmUp && j.spec.ColdStart.Multiple > 0 {
		c.recent = append(c.recent, at)
		for at-c.recent[0] > j.spec.ColdStart.Span {
			c.recent = c.recent[1:]
		}
		part := float64(at-c.at) / float64(j.spec.ColdStart.WarmUp)
		limit := j.spec.ColdStart.Multiple * c.rate * (j.spec.ColdStart.Share + (1-j.spec.ColdStart.Share)*part) * j.spec.ColdStart.Span.Seconds()
		if float64(len(c.recent)) > limit && !c.broken {
			c.broken = true
			j.broken(4, at, k.controller, r, "%d set-ups within %v reached switch %d, started %v before; %.0f can be", len(c.recent), j.spec.ColdStart.Span, k.sw, at-c.at, limit)
		}
	}
	if b := j.circuits[circuitKey{wayKey{k.sw, k.controller}, k.cic}]; b != nil && b.state == out {
		j.report.Dual++
	}
	a := &attempt{ref: r, controller: k.controller, sw: k.sw, cic: k.cic, at: at}
	j.attempts[ak] = append(j.attempts[ak], a)
	j.circuits[k] = a
}

// heldFor is how long a controller was stopped between two times, as it may have been when it could have learnt.
func (j *judge) heldFor(controller uint32, from, to time.Duration) (d time.Duration) {
	for _, h := range j.held[controller] {
		if h.At <= to && h.At+h.Span >= from {
			d += h.Span
		}
	}
	return d
}

// own judges a frame between a controller and its own switch: seizures of the far ends, and calls in transit.
func (j *judge) own(f *record.Frame, l *record.Link, d m3ua.ProtocolData, m *isup.Message) {
	other := d.OPC
	if f.In {
		other = d.DPC
	}
	k := circuitKey{wayKey{l.Controller, other}, m.CIC}
	t := j.transits[k]
	if !f.In {
		switch m.Type {
		case isup.IAM:
			if dest, ok := j.spec.Exchange(m.Called.String()); ok && dest != l.Controller {
				j.transits[k] = &transit{ref: ref{m.Ref.ID, m.Ref.PC}, at: f.At, class: j.classOf(m.Category)}
			} else {
				delete(j.transits, k)
			}
		case isup.REL, isup.RLC, isup.RSC:
			delete(j.transits, k)
		case isup.GRS:
			for i := 0; i <= int(m.Range); i++ {
				delete(j.transits, circuitKey{k.wayKey, m.CIC + uint16(i)})
			}
		}
		return
	}
	if t == nil {
		return
	}
	switch m.Type {
	case isup.ACM, isup.CPG:
		t.rang = true
	case isup.ANM, isup.CON:
		if t.answer != none {
			j.broken(1, f.At, l.Controller, t.ref, "in transit: %v after a final answer", m.Type)
		}
		t.answer = stands
	case isup.REL:
		if t.answer == refused {
			j.broken(1, f.At, l.Controller, t.ref, "in transit: REL after a final answer")
		}
		t.answer = refused
	case isup.RSC:
		delete(j.transits, k)
	}
}

// finish judges what is left at the end, and service.
func (j *judge) finish() {
	for _, c := range j.tries {
		if c.answer == none && c.left == 0 && !c.lost && j.overdue(c, j.day.End) > j.spec.Slack && !j.excused(c, j.day.End) {
			j.broken(1, j.day.End, c.controller, c.ref, "no final answer at all")
		}
	}
	for k, t := range j.transits {
		limit := 2 * j.spec.Classes[t.class].Patience
		if t.rang {
			limit += j.spec.Classes[t.class].Ring
		}
		if t.answer == none && j.day.End-t.at > limit {
			j.broken(1, j.day.End, k.controller, t.ref, "in transit: neither answered nor released")
		}
	}
	slices.SortStableFunc(j.report.Violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	j.service()
	for _, x := range []struct {
		of []time.Duration
		to *[3]float64
	}{{j.delays, &j.report.DelaysMS}, {j.answers, &j.report.AnswersMS}} {
		if n := len(x.of); n > 0 {
			slices.Sort(x.of)
			for i, at := range []int{n / 2, n * 99 / 100, n - 1} {
				x.to[i] = x.of[at].Seconds() * 1000
			}
		}
	}
}

// intent is what a caller wants: its first try and the further ones.
type intent struct {
	first *try
	tries []*try
}

// service adds up worth. A caller's tries belong to its first.
func (j *judge) service() {
	byCaller := map[string]*intent{}
	var order []*intent
	for _, c := range j.tries {
		in := byCaller[c.calling]
		if in == nil || c.calling == "" {
			in = &intent{first: c}
			byCaller[c.calling] = in
			order = append(order, in)
		}
		in.tries = append(in.tries, c)
	}
	const window = 10 * time.Second
	windows := make([]Service, int(j.day.End/window)+1)
	worst := map[string]*Service{}
	for _, in := range order {
		cl := j.spec.Classes[in.first.class]
		if j.nobody(in) { // no network could have had it answered
			j.report.NoAnswer++
			continue
		}
		earned := cl.Worth * j.earned(in, cl, (*try).setUpAt)
		j.report.Whole.add(cl.Worth, earned)
		j.report.ToAnswer.add(cl.Worth, cl.Worth*j.earned(in, cl, func(c *try) time.Duration { return c.answerAt }))
		windows[in.first.at/window].add(cl.Worth, earned)
		s := worst[cl.Name]
		if s == nil {
			s = &Service{}
			worst[cl.Name] = s
		}
		s.add(cl.Worth, earned)
	}
	first := true
	for i, w := range windows {
		if w.Worth >= 0.25*j.report.Whole.Worth/float64(len(windows)) && (first || w.Share < j.report.WorstWindow.Share) {
			first = false
			j.report.WorstWindow, j.report.WorstFrom = w, time.Duration(i)*window
		}
	}
	low := 2.0
	for _, cl := range j.spec.Classes {
		if s := worst[cl.Name]; s != nil {
			j.report.Classes[cl.Name] = *s
			if s.Share < low {
				low, j.report.WorstClass = s.Share, cl.Name
			}
		}
	}
	for _, m := range j.day.Events {
		if m.Kind != record.Fault {
			continue
		}
		t := FaultService{Name: m.Name, From: m.At, Span: m.Span}
		for _, in := range order {
			if in.first.at >= m.At && in.first.at < m.At+m.Span && !j.nobody(in) {
				cl := j.spec.Classes[in.first.class]
				t.Service.add(cl.Worth, cl.Worth*j.earned(in, cl, (*try).setUpAt))
			}
		}
		j.report.Faults = append(j.report.Faults, t)
	}
}

// nobody tells whether the number of an intent rang within the aim and was never answered: a far end released it with
// cause 18 or 19, or it rang as long as its caller let it. A controller's word alone is no proof.
func (j *judge) nobody(in *intent) bool {
	last := in.tries[len(in.tries)-1]
	cl := j.spec.Classes[last.class]
	if last.rangAt == 0 || last.answer == stands || last.rangAt-last.at > cl.Aim {
		return false
	}
	if last.answer == none && last.left > 0 {
		return last.left-last.rangAt >= cl.Ring
	}
	if last.answer != refused || last.cause != isup.CauseNoAnswer && last.cause != isup.CauseNoUserResponding {
		return false
	}
	if last.answerAt-last.rangAt >= cl.Ring-time.Second {
		return true
	}
	for _, a := range j.attempts[attemptKey{last.ref, last.controller}] {
		if a.state == returned && (a.cause == isup.CauseNoAnswer || a.cause == isup.CauseNoUserResponding) {
			return true
		}
	}
	return false
}

// earned is the share of its worth that an intent earns: all if the set-up of a try that stood was complete (done) within
// the aim of the first one, less if later, nothing if it was cut; a call that was cut and comes again must stand again within the aim of coming again.
func (j *judge) earned(in *intent, cl Class, done func(*try) time.Duration) float64 {
	from, cut := in.first.at, false
	for _, c := range in.tries {
		if cut {
			from, cut = c.at, false
		}
		if c.answer != stands {
			continue
		}
		if c.cut || c.lost && c.left == 0 {
			cut = true
			continue
		}
		switch d := done(c) - from; {
		case d <= cl.Aim:
			return 1
		case d <= cl.GiveUp:
			return cl.LateWorth
		}
	}
	return 0
}
