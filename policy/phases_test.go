package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// trafficHarness offers calls at a rate. The far exchanges take answerDelay for the processor's part of an attempt and then
// ring for ringTime.
type trafficHarness struct {
	*harness
	rng         *rand.Rand
	answerDelay time.Duration
	ringTime    time.Duration                     // 0: Established without Alerting
	fault       func(n int) (Cause, Reason, bool) // whether the nth attempt fails, and how
	pending     []scheduledEvent
	attempts    int
	offers      int
	established int
	over        map[uint64]bool
	answered    map[uint64]int // answers and final answers by call
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

// run offers calls for a span and returns the share of established calls. Those offered in the settling time, or too late to be
// answered within the span, do not count.
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
	// The own queueing delay is reported, as in the program.
	for i := range 2000 {
		f.schedule(time.Duration(i)*stepInterval, Status{Exchange: "a:0", OK: true, Report: Report{Free: -1, Size: -1, Utilisation: -1,
			Queue: -1, Rate: -1, Wait: 0.0002, Reduction: -1}})
	}
	return f
}

// TestWindowsGrowUnderDemandWithoutLoad: no exchange is loaded, but the demand exceeds the windows. The share
// of slots held then reads High, and the windows shrank to their initial size and stayed there.
func TestWindowsGrowUnderDemandWithoutLoad(t *testing.T) {
	for _, answer := range []time.Duration{5 * ms, 20 * ms, 70 * ms, 300 * ms} {
		f := newTrafficHarness(t, answer, 0)
		if got := f.run(600, 16*time.Second, 6*time.Second, 3); got < 0.95 {
			t.Errorf("answers after %v: share %.3f of 600 calls per second established, want at least 0.95; own window %.1f, far window %.1f", answer, got, f.c.own.window, f.c.exchanges[1].window)
		}
	}
}

// TestRingingHoldsNoSlot: slots were held until the answer. With numbers that ring for 8 s the windows admitted
// only four calls per second.
func TestRingingHoldsNoSlot(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 8*time.Second)
	if got := f.run(150, 30*time.Second, 3*time.Second, 3); got < 0.99 {
		t.Errorf("share %.3f of the calls established, want at least 0.99", got)
	}
	if exchange := f.c.exchanges[1]; len(exchange.outstanding) > 20 || exchange.slotsHeld > 20 {
		t.Errorf("%d attempts outstanding and %d slots held while calls ring, want at most 20", len(exchange.outstanding), exchange.slotsHeld)
	}
}

// TestRingingTimeNotCountedAsLoad: the time from alerting (ACM) to the answer depends on the subscriber and
// shows no load.
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
		t.Errorf("load %.2f and usual answer time %v, want at most 0.1 and 100 ms", exchange.stepLoad, r.c.usualAnswerTime)
	}
}

// TestCallFaultsLoseFewCalls: a healthy exchange rejects, loses or resets a small share of set-ups. Such a
// call fault was taken for a state of the whole exchange, and a back-off or a smaller window cost many other
// calls.
func TestCallFaultsLoseFewCalls(t *testing.T) {
	for _, tc := range []struct {
		cause   Cause
		reason  Reason
		share   float64
		maxLost float64 // share of calls
	}{
		{NotSetUp, ProcessorFull, 0.01, 0.02}, {NotSetUp, ProcessorFull, 0.05, 0.1}, {NotSetUp, ProcessorFull, 0.1, 0.3},
		{TimedOut, NoReason, 0.03, 0.06}, {TimedOut, NoReason, 0.1, 0.3}, {Reset, NoReason, 0.05, 0.1},
	} {
		f := newTrafficHarness(t, 20*ms, 0)
		chance := rand.New(rand.NewPCG(3, 4))
		f.fault = func(int) (Cause, Reason, bool) { return tc.cause, tc.reason, chance.Float64() < tc.share }
		if got := f.run(150, 40*time.Second, 2*time.Second, 3); got < 1-tc.maxLost {
			t.Errorf("cause %v, reason %v of %.0f%% of set-ups: share %.3f of calls established", tc.cause, tc.reason, 100*tc.share, got)
		}
	}
}

// TestFullExchangeDetectedWithinFewSetUps: single call faults cause no back-off, but a full processor must
// not be kept busy with rejecting set-ups.
func TestFullExchangeDetectedWithinFewSetUps(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(150, 6*time.Second, 0, 3)
	f.fault = func(int) (Cause, Reason, bool) { return NotSetUp, ProcessorFull, true }
	attemptsBefore := f.attempts
	f.run(150, 5*time.Second, 0, 1)
	if n := f.attempts - attemptsBefore; n > 40 {
		t.Errorf("%d set-ups in 5 s to a full exchange, want at most 40", n)
	}
}

// TestWindowShrinksWhenExchangeSlowsDown: a window that has grown wide must shrink within a few steps when
// its exchange slows down.
func TestWindowShrinksWhenExchangeSlowsDown(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(2000, 8*time.Second, 0, 3)
	grownWindow := f.c.exchanges[1].window
	f.answerDelay = 900 * ms
	f.run(2000, 4*time.Second, 0, 3)
	if exchange := f.c.exchanges[1]; grownWindow < 8 || exchange.window > grownWindow/5 {
		t.Errorf("window %.1f, and %.1f four seconds after its exchange slowed down, want at least 8, then a fifth", grownWindow, exchange.window)
	}
}

// TestEarlyAlertingKeepsSlotForReportedWait: an exchange that reports alerting at once and does the work
// later held no slot for that work, so its window limited nothing.
func TestEarlyAlertingKeepsSlotForReportedWait(t *testing.T) {
	r := newHarness(t, testConfig(), 1000)
	exchange := r.c.exchanges[1]
	r.do(Status{Exchange: "a:1", OK: true, Report: Report{Free: -1, Size: -1, Utilisation: -1, Queue: -1, Rate: -1, Wait: 0.5, Reduction: -1}})
	r.offerCall(1)
	r.advance(10 * ms)
	acts := r.c.Handle(r.now, Alerting{Call: r.id, Exchange: "a:1", Delay: 10 * ms}, nil)
	if exchange.slotsHeld != 1 || len(acts) != 1 {
		t.Fatalf("%d slots held, %v: want the slot held for the reported wait", exchange.slotsHeld, acts)
	}
	r.advance(acts[0].(SetTimer).After)
	r.do(Timer{ID: r.id})
	if exchange.slotsHeld != 0 || r.c.own.slotsHeld != 0 {
		t.Errorf("%d far and %d own slots held after the wait, want none", exchange.slotsHeld, r.c.own.slotsHeld)
	}
	r.do(Established{Call: r.id, Exchange: "a:1", Delay: 5 * time.Second})
	if exchange.slotsHeld != 0 {
		t.Errorf("%d slots held after the answer, want none", exchange.slotsHeld)
	}
}

// TestNoAnswerNotCountedAndNotRetried: a number that rings unanswered shows nothing about its exchange, and
// another attempt would ring again.
func TestNoAnswerNotCountedAndNotRetried(t *testing.T) {
	r := newHarness(t, testConfig(), 1000)
	exchange := r.c.exchanges[1]
	for range 5 {
		r.offerCall(1)
		r.advance(20 * ms)
		r.do(Alerting{Call: r.id, Exchange: "a:1", Delay: 20 * ms})
		r.advance(time.Second)
		if acts := r.attemptEnded(r.id, "a:1", TimedOut, NoAnswer); countActions[Fail](acts) != 1 || countActions[SetUp](acts) != 0 {
			t.Fatalf("%v, want one Fail and no set-up", acts)
		}
	}
	if exchange.unresponsive || exchange.losses > 0 || exchange.unanswered > 0 {
		t.Errorf("unresponsive %v, losses %v, unanswered %d, want false, 0 and 0", exchange.unresponsive, exchange.losses, exchange.unanswered)
	}
}

// TestAttemptFailingAfterAlertingIsRetried: a tandem may send alerting early and then turn the call back: the
// other tandem is tried. After a reset the guard still has to pass.
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
		t.Errorf("sent to %q after %q turned the call back, want the other tandem", next, at)
	}
	id := r.id
	r.do(Alerting{Call: id, Exchange: "a:3", Delay: 20 * ms})
	if next := r.setUpTarget(r.attemptEnded(id, "a:3", Reset, NoReason)); next != "" {
		t.Errorf("sent to %q before the guard has passed", next)
	}
}

// TestLoadJumpAfterIdlePeriodIsCarried: after three minutes almost without calls the load comes back at three
// times its earlier rate. The windows must not have become too small.
func TestLoadJumpAfterIdlePeriodIsCarried(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(150, 10*time.Second, 0, 3)
	f.run(0.2, 180*time.Second, 0, 3)
	if got := f.run(450, 7*time.Second, 0, 3); got < 0.95 {
		t.Errorf("share %.3f of the calls of the first three seconds established, want at least 0.95", got)
	}
}

// TestMixedCallFaultsAtAllExchangesLoseFewCalls: rejected, lost and reset set-ups, 2% each, at all exchanges
// at the same time. Alone each is tolerated; together they must not add up to a back-off.
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
		t.Errorf("share %.3f of the calls established, want at least 0.94", got)
	}
}

// TestUnresponsiveExchangeDetectedWithinTwoSeconds: tolerance of lost set-ups must not delay the detection of
// an exchange that does not respond at all. Once it is detected, only probe calls are sent.
func TestUnresponsiveExchangeDetectedWithinTwoSeconds(t *testing.T) {
	f := newTrafficHarness(t, 20*ms, 0)
	f.run(60, 6*time.Second, 0, 3)
	f.fault = func(int) (Cause, Reason, bool) { return TimedOut, NoReason, true }
	f.run(60, 2*time.Second, 0, 1)
	if exchange := f.c.exchanges[1]; !exchange.unresponsive {
		t.Fatal("not unresponsive after two seconds without a response")
	}
	attemptsBefore := f.attempts
	f.run(60, 5*time.Second, 0, 1)
	if n := f.attempts - attemptsBefore; n > 8 {
		t.Errorf("%d set-ups in 5 s to an unresponsive exchange, want at most 8", n)
	}
}
