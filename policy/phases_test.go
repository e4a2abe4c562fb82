package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// flow drives calls at a rate through a controller whose far ends take answer for the processor's part and then ring.
type flow struct {
	*rig
	rng    *rand.Rand
	answer time.Duration
	ring   time.Duration                     // 0: Established without Alerting
	fault  func(n int) (Cause, Reason, bool) // of the nth attempt: how it ends instead, if so
	due    []todo
	tries  int
	offers int
	stood  int
	over   map[uint64]bool
	owed   map[uint64]int
	hooked func(at time.Duration)
}

type todo struct {
	at time.Duration
	ev Event
}

func (f *flow) act(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case SetUp:
			f.tries++
			if f.fault != nil {
				if why, reason, yes := f.fault(f.tries); yes {
					d := f.answer
					if why == TimedOut {
						d = a.TimeOut
					}
					f.after(d, AttemptEnded{Call: a.Call, Exchange: a.Exchange, Delay: d, Cause: why, Reason: reason})
					continue
				}
			}
			if f.ring > 0 {
				f.after(f.answer, Alerting{Call: a.Call, Exchange: a.Exchange, Delay: f.answer})
			}
			f.after(f.answer+f.ring, Established{Call: a.Call, Exchange: a.Exchange, Delay: f.answer + f.ring})
		case SetTimer:
			f.after(a.After, Timer{ID: a.ID})
		case Refuse:
			f.owed[a.Call]++
		case Fail:
			f.owed[a.Call]++
		}
	}
}

func (f *flow) after(d time.Duration, ev Event) {
	at := f.now + d
	i := len(f.due)
	for i > 0 && f.due[i-1].at > at {
		i--
	}
	f.due = append(f.due, todo{})
	copy(f.due[i+1:], f.due[i:])
	f.due[i] = todo{at, ev}
}

// run offers calls for a span and returns the share that stood of those offered from the settling time on.
func (f *flow) run(rate float64, span, settle time.Duration, dests int) float64 {
	begin, next := f.now, f.now
	offered, stood := 0, 0
	counted := map[uint64]bool{}
	if f.owed == nil {
		f.owed = map[uint64]int{}
	}
	if f.stood == 0 && f.tries == 0 {
		f.after(stepEvery, Timer{ID: stepTimer})
	}
	for f.now < begin+span {
		if len(f.due) > 0 && f.due[0].at <= next {
			t := f.due[0]
			f.due = f.due[1:]
			f.now = t.at
			if e, ok := t.ev.(Established); ok {
				f.owed[e.Call]++
				f.stood++
				if counted[e.Call] {
					stood++
				}
				f.act(f.c.Handle(f.now, e, nil))
				f.act(f.c.Handle(f.now, AttemptEnded{Call: e.Call, Exchange: e.Exchange, Final: true, Cause: Completed}, nil))
				continue
			}
			f.act(f.c.Handle(f.now, t.ev, nil))
			continue
		}
		f.now = next
		f.id++
		f.offers++
		if f.now >= begin+settle && f.now < begin+span-4*time.Second-f.ring {
			offered++
			counted[f.id] = true
		}
		f.act(f.c.Handle(f.now, Offered{Call: f.id, Destination: 1 + int(f.id)%dests, AdvisedTandem: -1, Circuits: 1, Due: f.now + 3*time.Second,
			Number: "n" + string(rune(f.id))}, nil))
		next = f.now + time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second))
	}
	return float64(stood) / float64(offered)
}

func newFlow(t *testing.T, answer, ring time.Duration) *flow {
	f := &flow{rig: newRig(t, config(), 1e6), rng: rand.New(rand.NewPCG(1, 2)), answer: answer, ring: ring}
	// The own lateness is told, as the program does.
	for i := range 2000 {
		f.after(time.Duration(i)*stepEvery, Status{Exchange: "a:0", OK: true, Report: Report{Free: -1, Size: -1, Utilisation: -1,
			Queue: -1, Rate: -1, Wait: 0.0002, Reduction: -1}})
	}
	return f
}

// TestWindowsOpen: with nothing loaded, demand beyond the windows shut them to their starting size and kept them there.
func TestWindowsOpen(t *testing.T) {
	for _, answer := range []time.Duration{5 * ms, 20 * ms, 70 * ms, 300 * ms} {
		f := newFlow(t, answer, 0)
		if got := f.run(600, 16*time.Second, 6*time.Second, 3); got < 0.95 {
			t.Errorf("answers after %v: %.3f of 600 calls a second stood; own window %.1f, far %.1f", answer, got, f.c.own.window, f.c.exchanges[1].window)
		}
	}
}

// TestRingingHoldsNoSlot: slots were held until the answer, and a phone that rings eight seconds left four calls a second.
func TestRingingHoldsNoSlot(t *testing.T) {
	f := newFlow(t, 20*ms, 8*time.Second)
	if got := f.run(150, 30*time.Second, 3*time.Second, 3); got < 0.99 {
		t.Errorf("%.3f of the calls stood", got)
	}
	if x := f.c.exchanges[1]; len(x.out) > 20 || x.held > 20 {
		t.Errorf("%d attempts with the processor, %d slots held, by calls that ring", len(x.out), x.held)
	}
}

// TestRingingIsNoLoad: the time from ACM to the answer is the subscriber's.
func TestRingingIsNoLoad(t *testing.T) {
	r := newRig(t, config(), 1000)
	x := r.c.exchanges[1]
	for range 4 {
		r.call(1)
		r.pass(20 * ms)
		r.do(Alerting{Call: r.id, Exchange: "a:1", Delay: 20 * ms})
		r.pass(8 * time.Second)
		r.do(Established{Call: r.id, Exchange: "a:1", Delay: 8020 * ms})
	}
	if r.steps(1); x.seen > 0.1 || r.c.answerTime > 100*ms {
		t.Errorf("load %.2f, usual answer time %v", x.seen, r.c.answerTime)
	}
}

// TestCallFaults: a full, unanswered or failed set-up now and then was taken for a state of the whole exchange.
func TestCallFaults(t *testing.T) {
	for _, tc := range []struct {
		why    Cause
		reason Reason
		share  float64
		most   float64 // lost
	}{
		{NotSetUp, ProcessorFull, 0.01, 0.02}, {NotSetUp, ProcessorFull, 0.05, 0.1}, {NotSetUp, ProcessorFull, 0.1, 0.3},
		{TimedOut, NoReason, 0.03, 0.06}, {TimedOut, NoReason, 0.1, 0.3}, {Reset, NoReason, 0.05, 0.1},
	} {
		f := newFlow(t, 20*ms, 0)
		chance := rand.New(rand.NewPCG(3, 4))
		f.fault = func(int) (Cause, Reason, bool) { return tc.why, tc.reason, chance.Float64() < tc.share }
		if got := f.run(150, 40*time.Second, 2*time.Second, 3); got < 1-tc.most {
			t.Errorf("%v %v of %.0f%%: %.3f stood", tc.why, tc.reason, 100*tc.share, got)
		}
	}
}

// TestWholeExchangeFullIsFoundAtOnce: what thin faults are spared must not keep a full processor busy with refusals.
func TestWholeExchangeFullIsFoundAtOnce(t *testing.T) {
	f := newFlow(t, 20*ms, 0)
	f.run(150, 6*time.Second, 0, 3)
	f.fault = func(int) (Cause, Reason, bool) { return NotSetUp, ProcessorFull, true }
	before := f.tries
	f.run(150, 5*time.Second, 0, 1)
	if n := f.tries - before; n > 40 {
		t.Errorf("%d set-ups in five seconds to exchanges that are full", n)
	}
}

// TestWindowsCloseWhenLoaded: a window that has opened wide must shut within steps when the far end slows down.
func TestWindowsCloseWhenLoaded(t *testing.T) {
	f := newFlow(t, 20*ms, 0)
	f.run(2000, 8*time.Second, 0, 3)
	wide := f.c.exchanges[1].window
	f.answer = 900 * ms
	f.run(2000, 4*time.Second, 0, 3)
	if x := f.c.exchanges[1]; wide < 8 || x.window > wide/5 {
		t.Errorf("window %.1f, and %.1f four seconds after its exchange slowed down", wide, x.window)
	}
}

// TestEarlyAlertingHidesNoWait: an exchange that says at once that a number rings, and works later, held no slot for its work.
func TestEarlyAlertingHidesNoWait(t *testing.T) {
	r := newRig(t, config(), 1000)
	x := r.c.exchanges[1]
	r.do(Status{Exchange: "a:1", OK: true, Report: Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: 0.5, Reduction: -1}})
	r.call(1)
	r.pass(10 * ms)
	acts := r.c.Handle(r.now, Alerting{Call: r.id, Exchange: "a:1", Delay: 10 * ms}, nil)
	if x.held != 1 || len(acts) != 1 {
		t.Fatalf("%d slots held, %v: want the slot held for the wait that is reported", x.held, acts)
	}
	r.pass(acts[0].(SetTimer).After)
	r.do(Timer{ID: r.id})
	if x.held != 0 || r.c.own.held != 0 {
		t.Errorf("%d and %d slots held after the wait", x.held, r.c.own.held)
	}
	r.do(Established{Call: r.id, Exchange: "a:1", Delay: 5 * time.Second})
	if x.held != 0 {
		t.Errorf("%d slots held after the answer", x.held)
	}
}

// TestNoAnswerTellsNothing: a number that rings unanswered is no state of its exchange, and is not tried again.
func TestNoAnswerTellsNothing(t *testing.T) {
	r := newRig(t, config(), 1000)
	x := r.c.exchanges[1]
	for range 5 {
		r.call(1)
		r.pass(20 * ms)
		r.do(Alerting{Call: r.id, Exchange: "a:1", Delay: 20 * ms})
		r.pass(time.Second)
		if acts := r.returned(r.id, "a:1", TimedOut, NoAnswer); count[Fail](acts) != 1 || count[SetUp](acts) != 0 {
			t.Fatalf("%v, want the final answer", acts)
		}
	}
	if x.silent || x.lost > 0 || x.unanswered > 0 {
		t.Errorf("silent %v, lost %v, unanswered %d", x.silent, x.lost, x.unanswered)
	}
}

// TestFailureAfterAlerting: a tandem may say early that it rings and then turn the call back; the guard holds after a reset.
func TestFailureAfterAlerting(t *testing.T) {
	r := newRig(t, config(), 1000)
	r.group(1, 0)
	at := r.sentTo(r.call(1))
	if at == "" || at == "a:1" {
		t.Fatalf("sent to %q, want a tandem", at)
	}
	r.do(Alerting{Call: r.id, Exchange: at, Delay: 20 * ms})
	r.pass(50 * ms)
	if next := r.sentTo(r.returned(r.id, at, NotSetUp, Crankback)); next == "" || next == at {
		t.Errorf("sent to %q after %q turned it back", next, at)
	}
	id := r.id
	r.do(Alerting{Call: id, Exchange: "a:3", Delay: 20 * ms})
	if next := r.sentTo(r.returned(id, "a:3", Reset, NoReason)); next != "" {
		t.Errorf("sent to %q within the guard", next)
	}
}

// TestJumpAfterAPause: load falls to nothing for minutes and comes back threefold.
func TestJumpAfterAPause(t *testing.T) {
	f := newFlow(t, 20*ms, 0)
	f.run(150, 10*time.Second, 0, 3)
	f.run(0.2, 180*time.Second, 0, 3)
	if got := f.run(450, 7*time.Second, 0, 3); got < 0.95 {
		t.Errorf("%.3f of the calls of the first three seconds stood", got)
	}
}

// TestCallFaultsEverywhereTogether: full, unanswered and failed set-ups at once, at every exchange.
func TestCallFaultsEverywhereTogether(t *testing.T) {
	f := newFlow(t, 20*ms, time.Second)
	chance := rand.New(rand.NewPCG(5, 6))
	f.fault = func(int) (Cause, Reason, bool) {
		switch x := chance.Float64(); {
		case x < 0.02:
			return NotSetUp, ProcessorFull, true
		case x < 0.04:
			return TimedOut, NoReason, true
		case x < 0.06:
			return Reset, NoReason, true
		}
		return 0, 0, false
	}
	if got := f.run(150, 40*time.Second, 3*time.Second, 3); got < 0.94 {
		t.Errorf("%.3f stood", got)
	}
}

// TestWholeExchangeSilentIsFoundAsBefore: two set-ups without a sign of life, and then single trials.
func TestWholeExchangeSilentIsFoundAsBefore(t *testing.T) {
	f := newFlow(t, 20*ms, 0)
	f.run(60, 6*time.Second, 0, 3)
	f.fault = func(int) (Cause, Reason, bool) { return TimedOut, NoReason, true }
	f.run(60, 2*time.Second, 0, 1)
	if x := f.c.exchanges[1]; !x.silent {
		t.Fatal("not found silent within two seconds")
	}
	before := f.tries
	f.run(60, 5*time.Second, 0, 1)
	if n := f.tries - before; n > 8 {
		t.Errorf("%d set-ups in five seconds to an exchange that is silent", n)
	}
}
