package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// flow drives calls at a rate through a controller whose far ends take answer for the processor's part and then ring.
type trafficHarness struct {
	*harness
	rng         *rand.Rand
	answerDelay time.Duration
	ringTime    time.Duration                     // 0: Established without Alerting
	fault       func(n int) (Cause, Reason, bool) // of the nth attempt: how it ends instead, if so
	pending     []scheduledEvent
	attempts    int
	offers      int
	established int
	over        map[uint64]bool
	answered    map[uint64]int
	hooked      func(at time.Duration)
}

type scheduledEvent struct {
	at time.Duration
	ev Event
}

func (f *trafficHarness) apply(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case SetUp:
			f.attempts++
			if f.fault != nil {
				if cause, reason, yes := f.fault(f.attempts); yes {
					d := f.answerDelay
					if cause == TimedOut {
						d = a.TimeOut
					}
					f.schedule(d, AttemptEnded{Call: a.Call, Exchange: a.Exchange, Delay: d, Cause: cause, Reason: reason})
					continue
				}
			}
			if f.ringTime > 0 {
				f.schedule(f.answerDelay, Alerting{Call: a.Call, Exchange: a.Exchange, Delay: f.answerDelay})
			}
			f.schedule(f.answerDelay+f.ringTime, Established{Call: a.Call, Exchange: a.Exchange, Delay: f.answerDelay + f.ringTime})
		case SetTimer:
			f.schedule(a.After, Timer{ID: a.ID})
		case Refuse:
			f.answered[a.Call]++
		case Fail:
			f.answered[a.Call]++
		}
	}
}

func (f *trafficHarness) schedule(d time.Duration, ev Event) {
	at := f.now + d
	i := len(f.pending)
	for i > 0 && f.pending[i-1].at > at {
		i--
	}
	f.pending = append(f.pending, scheduledEvent{})
	copy(f.pending[i+1:], f.pending[i:])
	f.pending[i] = scheduledEvent{at, ev}
}

// run offers calls for a span and returns the share that stood of those offered from the settling time on.
func (f *trafficHarness) run(rate float64, span, settle time.Duration, destinations int) float64 {
	begin, next := f.now, f.now
	offered, established := 0, 0
	counted := map[uint64]bool{}
	if f.answered == nil {
		f.answered = map[uint64]int{}
	}
	if f.established == 0 && f.attempts == 0 {
		f.schedule(stepInterval, Timer{ID: stepTimer})
	}
	for f.now < begin+span {
		if len(f.pending) > 0 && f.pending[0].at <= next {
			due := f.pending[0]
			f.pending = f.pending[1:]
			f.now = due.at
			if e, ok := due.ev.(Established); ok {
				f.answered[e.Call]++
				f.established++
				if counted[e.Call] {
					established++
				}
				f.apply(f.c.Handle(f.now, e, nil))
				f.apply(f.c.Handle(f.now, AttemptEnded{Call: e.Call, Exchange: e.Exchange, Final: true, Cause: Completed}, nil))
				continue
			}
			f.apply(f.c.Handle(f.now, due.ev, nil))
			continue
		}
		f.now = next
		f.id++
		f.offers++
		if f.now >= begin+settle && f.now < begin+span-4*time.Second-f.ringTime {
			offered++
			counted[f.id] = true
		}
		f.apply(f.c.Handle(f.now, Offered{Call: f.id, Destination: 1 + int(f.id)%destinations, AdvisedTandem: -1, Circuits: 1, Due: f.now + 3*time.Second,
			Number: "n" + string(rune(f.id))}, nil))
		next = f.now + time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second))
	}
	return float64(established) / float64(offered)
}

func newTrafficHarness(t *testing.T, answerDelay, ringTime time.Duration) *trafficHarness {
	f := &trafficHarness{harness: newHarness(t, testConfig(), 1e6), rng: rand.New(rand.NewPCG(1, 2)), answerDelay: answerDelay, ringTime: ringTime}
	// The own lateness is told, as the program does.
	for i := range 2000 {
		f.schedule(time.Duration(i)*stepInterval, Status{Exchange: "a:0", OK: true, Report: Report{Free: -1, Size: -1, Utilisation: -1,
			Queue: -1, Rate: -1, Wait: 0.0002, Reduction: -1}})
	}
	return f
}

// TestWindowsOpen: with nothing loaded, demand beyond the windows shut them to their starting size and kept them there.
func TestWindowsGrowUnderDemandWithoutLoad(t *testing.T) {
	for _, answer := range []time.Duration{5 * ms, 20 * ms, 70 * ms, 300 * ms} {
		f := newTrafficHarness(t, answer, 0)
		if got := f.run(600, 16*time.Second, 6*time.Second, 3); got < 0.95 {
			t.Errorf("answers after %v: %.3f of 600 calls a second stood; own window %.1f, far %.1f", answer, got, f.c.own.window, f.c.exchanges[1].window)
		}
	}
}

// TestRingingHoldsNoSlot: slots were held until the answer, and a phone that rings eight seconds left four calls a second.
func TestRingingHoldsNoSlot(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 8*time.Second)
	if got := f.run(150, 30*time.Second, 3*time.Second, 3); got < 0.99 {
		t.Errorf("%.3f of the calls stood", got)
	}
	if exchange := f.c.exchanges[1]; len(exchange.outstanding) > 20 || exchange.slotsHeld > 20 {
		t.Errorf("%d attempts with the processor, %d slots held, by calls that ring", len(exchange.outstanding), exchange.slotsHeld)
	}
}

// TestRingingIsNoLoad: the time from ACM to the answer is the subscriber's.
func TestRingingTimeNotCountedAsLoad(t *testing.T) {
	r := newHarness(t, testConfig(), 1000)
	exchange := r.c.exchanges[1]
	for range 4 {
		r.offerCall(1)
		r.advance(20 * ms)
		r.do(Alerting{Call: r.id, Exchange: "a:1", Delay: 20 * ms})
		r.advance(8 * time.Second)
		r.do(Established{Call: r.id, Exchange: "a:1", Delay: 8020 * ms})
	}
	if r.runSteps(1); exchange.stepLoad > 0.1 || r.c.usualAnswerTime > 100*ms {
		t.Errorf("load %.2f, usual answer time %v", exchange.stepLoad, r.c.usualAnswerTime)
	}
}

// TestCallFaults: a full, unanswered or failed set-up now and then was taken for a state of the whole exchange.
func TestCallFaultsLoseFewCalls(t *testing.T) {
	for _, tc := range []struct {
		cause   Cause
		reason  Reason
		share   float64
		maxLost float64 // lost
	}{
		{NotSetUp, ProcessorFull, 0.01, 0.02}, {NotSetUp, ProcessorFull, 0.05, 0.1}, {NotSetUp, ProcessorFull, 0.1, 0.3},
		{TimedOut, NoReason, 0.03, 0.06}, {TimedOut, NoReason, 0.1, 0.3}, {Reset, NoReason, 0.05, 0.1},
	} {
		f := newTrafficHarness(t, 20*ms, 0)
		chance := rand.New(rand.NewPCG(3, 4))
		f.fault = func(int) (Cause, Reason, bool) { return tc.cause, tc.reason, chance.Float64() < tc.share }
		if got := f.run(150, 40*time.Second, 2*time.Second, 3); got < 1-tc.maxLost {
			t.Errorf("%v %v of %.0f%%: %.3f stood", tc.cause, tc.reason, 100*tc.share, got)
		}
	}
}

// TestWholeExchangeFullIsFoundAtOnce: what thin faults are spared must not keep a full processor busy with refusals.
func TestFullExchangeDetectedWithinFewSetUps(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(150, 6*time.Second, 0, 3)
	f.fault = func(int) (Cause, Reason, bool) { return NotSetUp, ProcessorFull, true }
	attemptsBefore := f.attempts
	f.run(150, 5*time.Second, 0, 1)
	if n := f.attempts - attemptsBefore; n > 40 {
		t.Errorf("%d set-ups in five seconds to exchanges that are full", n)
	}
}

// TestWindowsCloseWhenLoaded: a window that has opened wide must shut within steps when the far end slows down.
func TestWindowShrinksWhenExchangeSlowsDown(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(2000, 8*time.Second, 0, 3)
	openWindow := f.c.exchanges[1].window
	f.answerDelay = 900 * ms
	f.run(2000, 4*time.Second, 0, 3)
	if exchange := f.c.exchanges[1]; openWindow < 8 || exchange.window > openWindow/5 {
		t.Errorf("window %.1f, and %.1f four seconds after its exchange slowed down", openWindow, exchange.window)
	}
}

// TestEarlyAlertingHidesNoWait: an exchange that says at once that a number rings, and works later, held no slot for its work.
func TestEarlyAlertingKeepsSlotForReportedWait(t *testing.T) {
	r := newHarness(t, testConfig(), 1000)
	exchange := r.c.exchanges[1]
	r.do(Status{Exchange: "a:1", OK: true, Report: Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: 0.5, Reduction: -1}})
	r.offerCall(1)
	r.advance(10 * ms)
	acts := r.c.Handle(r.now, Alerting{Call: r.id, Exchange: "a:1", Delay: 10 * ms}, nil)
	if exchange.slotsHeld != 1 || len(acts) != 1 {
		t.Fatalf("%d slots held, %v: want the slot held for the wait that is reported", exchange.slotsHeld, acts)
	}
	r.advance(acts[0].(SetTimer).After)
	r.do(Timer{ID: r.id})
	if exchange.slotsHeld != 0 || r.c.own.slotsHeld != 0 {
		t.Errorf("%d and %d slots held after the wait", exchange.slotsHeld, r.c.own.slotsHeld)
	}
	r.do(Established{Call: r.id, Exchange: "a:1", Delay: 5 * time.Second})
	if exchange.slotsHeld != 0 {
		t.Errorf("%d slots held after the answer", exchange.slotsHeld)
	}
}

// TestNoAnswerTellsNothing: a number that rings unanswered is no state of its exchange, and is not tried again.
func TestNoAnswerNotCountedAndNotRetried(t *testing.T) {
	r := newHarness(t, testConfig(), 1000)
	exchange := r.c.exchanges[1]
	for range 5 {
		r.offerCall(1)
		r.advance(20 * ms)
		r.do(Alerting{Call: r.id, Exchange: "a:1", Delay: 20 * ms})
		r.advance(time.Second)
		if acts := r.attemptEnded(r.id, "a:1", TimedOut, NoAnswer); countActions[Fail](acts) != 1 || countActions[SetUp](acts) != 0 {
			t.Fatalf("%v, want the final answer", acts)
		}
	}
	if exchange.unresponsive || exchange.losses > 0 || exchange.unanswered > 0 {
		t.Errorf("silent %v, lost %v, unanswered %d", exchange.unresponsive, exchange.losses, exchange.unanswered)
	}
}

// TestFailureAfterAlerting: a tandem may say early that it rings and then turn the call back; the guard holds after a reset.
func TestAttemptFailingAfterAlertingIsRetried(t *testing.T) {
	r := newHarness(t, testConfig(), 1000)
	r.reportFreeCircuits(1, 0)
	at := r.setUpTarget(r.offerCall(1))
	if at == "" || at == "a:1" {
		t.Fatalf("sent to %q, want a tandem", at)
	}
	r.do(Alerting{Call: r.id, Exchange: at, Delay: 20 * ms})
	r.advance(50 * ms)
	if next := r.setUpTarget(r.attemptEnded(r.id, at, NotSetUp, Crankback)); next == "" || next == at {
		t.Errorf("sent to %q after %q turned it back", next, at)
	}
	id := r.id
	r.do(Alerting{Call: id, Exchange: "a:3", Delay: 20 * ms})
	if next := r.setUpTarget(r.attemptEnded(id, "a:3", Reset, NoReason)); next != "" {
		t.Errorf("sent to %q within the guard", next)
	}
}

// TestJumpAfterAPause: load falls to nothing for minutes and comes back threefold.
func TestLoadJumpAfterIdlePeriodIsCarried(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(150, 10*time.Second, 0, 3)
	f.run(0.2, 180*time.Second, 0, 3)
	if got := f.run(450, 7*time.Second, 0, 3); got < 0.95 {
		t.Errorf("%.3f of the calls of the first three seconds stood", got)
	}
}

// TestCallFaultsEverywhereTogether: full, unanswered and failed set-ups at once, at every exchange.
func TestMixedCallFaultsAtAllExchangesLoseFewCalls(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, time.Second)
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
func TestUnresponsiveExchangeDetectedWithinTwoSeconds(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(60, 6*time.Second, 0, 3)
	f.fault = func(int) (Cause, Reason, bool) { return TimedOut, NoReason, true }
	f.run(60, 2*time.Second, 0, 1)
	if exchange := f.c.exchanges[1]; !exchange.unresponsive {
		t.Fatal("not found silent within two seconds")
	}
	attemptsBefore := f.attempts
	f.run(60, 5*time.Second, 0, 1)
	if n := f.attempts - attemptsBefore; n > 8 {
		t.Errorf("%d set-ups in five seconds to an exchange that is silent", n)
	}
}
