package controller

import (
	"testing"

	"github.com/umbergauge/umbergauge/hooks"
	"github.com/umbergauge/umbergauge/isup"
)

// stubHooks records hook requests; the tests answer them, or leave them unanswered.
type stubHooks struct {
	set      *hooks.Set
	requests []HookRequest
	busy     bool
}

func (stub *stubHooks) Live() *hooks.Set { return stub.set }

func (stub *stubHooks) Submit(request HookRequest) bool {
	if stub.busy {
		return false
	}
	stub.requests = append(stub.requests, request)
	return true
}

func newStubHooks(t *testing.T, source string) (*stubHooks, func(*Config)) {
	t.Helper()
	hookSet, err := hooks.Compile([]hooks.Source{{Name: "t.ug", Text: source}}, hooks.Names{Classes: []string{"a", "b"}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	stub := &stubHooks{set: hookSet}
	return stub, func(c *Config) { c.Hooks, c.HookDeadline = stub, 20*ms }
}

// answerHooks runs the hooks of the oldest request and passes on their advice.
func (r *rig) answerHooks(stub *stubHooks) {
	r.t.Helper()
	if len(stub.requests) == 0 {
		r.t.Fatal("no hook request")
	}
	request := stub.requests[0]
	stub.requests = stub.requests[1:]
	var advice hooks.Advice
	run := hooks.NewRunner()
	run.Run(request.Set, request.Kind, &request.Event, r.now, &advice)
	if request.Kind == "arrival" {
		run.Run(request.Set, "route", &request.Event, r.now, &advice)
	}
	r.c.Advise(r.now, request.Call, request.Seq, &advice)
	r.flush()
}

// Advice on arrival must take effect: a rewritten number is routed, a refusal has the hook's cause, and a class is counted.
func TestArrivalHooksRewriteRefuseAndClassify(t *testing.T) {
	stub, change := newStubHooks(t, "on arrival {\n\tmatch call.called {\n\t\t\"112\" -> rewrite(\"2112\")\n\t\t29* -> refuse(21)\n\t\t28* -> rewrite(\"77\")\n\t\t27* -> set_class(\"b\")\n\t}\n}\non route {\n\tif call.called matches 26* {\n\t\texclude(2)\n\t}\n}\n")
	r := newRig(t, 10, change)
	r.offerCall(1, "112")
	r.expectNone(far2)
	r.answerHooks(stub)
	if m := r.expectOne(far2, isup.IAM); m.Called.String() != "2112" {
		t.Errorf("IAM to %v, want 2112", m.Called)
	}
	r.offerCall(2, "2900")
	r.answerHooks(stub)
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != 21 || m.CIC != 2 {
		t.Errorf("REL %+v, want cause 21 on circuit 2", m)
	}
	r.offerCall(3, "2800")
	r.answerHooks(stub)
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseUnallocated {
		t.Errorf("REL %+v, want cause 1", m)
	}
	r.offerCall(4, "2700")
	r.answerHooks(stub)
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.CON, CIC: cic})
	r.expectOne(clientAssoc, isup.CON)
	if record := r.records[len(r.records)-1]; record.Class != 1 {
		t.Errorf("record %+v, want class 1", record)
	}
	r.offerCall(5, "2600")
	r.answerHooks(stub)
	r.expectNone(far2)
	r.expectOne(clientAssoc, isup.REL)
}

// Hooks that do not answer must delay a call by the deadline at most, and hooks that are too busy must not delay it; a late
// answer is dropped. With @failure(refuse) the call is refused instead.
func TestHookTimeOutProceedsOrRefuses(t *testing.T) {
	stub, change := newStubHooks(t, "on arrival {\n\trefuse(21)\n}\n")
	r := newRig(t, 10, change)
	r.offerCall(1, "2001")
	r.advance(19 * ms)
	r.expectNone(far2)
	r.advance(2 * ms)
	r.expectOne(far2, isup.IAM)
	r.answerHooks(stub)
	r.expectNone(clientAssoc)
	if r.c.Counters.HookLate != 1 {
		t.Error("late hooks not counted")
	}
	stub.busy = true
	r.offerCall(2, "2001")
	r.expectOne(far2, isup.IAM)
	if r.c.Counters.HookBusy != 1 {
		t.Error("busy hooks not counted")
	}
	second, change := newStubHooks(t, "@failure(refuse)\non arrival {\n}\n")
	r = newRig(t, 10, change)
	second.busy = true
	r.offerCall(1, "2001")
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseCongestion {
		t.Errorf("REL %+v, want cause 42", m)
	}
}

// The caller releases its call while the call waits for hooks, on arrival or at the end of an attempt. A late result must not
// start an attempt or release a circuit that another call has seized meanwhile.
func TestLateHookResultHasNoEffectAfterCallerRelease(t *testing.T) {
	stub, change := newStubHooks(t, "on arrival {\n}\non attempt_end {\n}\n")
	r := newRig(t, 10, change)
	r.offerCall(1, "2001")
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 1, Cause: 16})
	r.expectOne(clientAssoc, isup.RLC)
	r.answerHooks(stub)
	r.advance(sec)
	r.expectNone(far2)
	r.expectNone(clientAssoc)
	r.offerCall(2, "2001")
	r.answerHooks(stub)
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: 34})
	r.expectOne(far2, isup.RLC)
	r.offerCall(3, "2003") // it may seize the circuit that has come free
	r.answerHooks(stub)    // attempt_end of call 2
	r.take(clientAssoc)
	r.answerHooks(stub) // arrival of call 3
	seen := map[uint16]uint32{}
	for _, m := range r.take(far2) {
		if m.Type != isup.IAM || seen[m.CIC] != 0 {
			t.Errorf("%v on circuit %d, which call %d has seized", m.Type, m.CIC, seen[m.CIC])
		}
		seen[m.CIC] = m.Ref.ID
	}
	if len(seen) != 2 { // the attempt of call 3 and the further one of call 2
		t.Errorf("attempts by circuit: %v, want 2", seen)
	}
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 2, Cause: 16})
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 3, Cause: 16})
	r.take(far2)
	r.take(clientAssoc)
	r.offerCall(4, "2001")
	r.answerHooks(stub)
	cic = r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: 34})
	r.expectOne(far2, isup.RLC)
	r.receive(clientAssoc, 900, isup.Message{Type: isup.REL, CIC: 4, Cause: 16})
	r.expectOne(clientAssoc, isup.RLC)
	r.expectNone(far2) // no attempt is outstanding that could be released
	r.answerHooks(stub)
	r.advance(5 * sec)
	if r.c.Waiting() != 0 {
		t.Errorf("%d calls without a final answer, want 0", r.c.Waiting())
	}
}

// A hook that turns every failure into a retryable cause must not get more attempts than the policy engine allows.
func TestRetryAdviceIsLimitedToMaxAttempts(t *testing.T) {
	a, change := newStubHooks(t, "on attempt_end {\n\ttreat_as(34)\n}\n")
	r := newRig(t, 10, change)
	r.offerCall(1, "2001")
	attempts := 0
	for range 100 {
		for _, far := range []struct {
			a  AssocID
			pc uint32
		}{{far2, 2}, {far3, 3}} {
			for _, m := range r.take(far.a) {
				if m.Type == isup.IAM {
					attempts++
					r.receive(far.a, far.pc, isup.Message{Type: isup.REL, CIC: m.CIC, Cause: isup.CauseUserBusy})
				}
			}
		}
		if len(a.requests) > 0 {
			r.answerHooks(a)
		}
		r.advance(50 * ms)
	}
	if attempts < 1 || attempts > 4 {
		t.Errorf("%d attempts, want 1 to 4", attempts)
	}
	if m := r.expectOne(clientAssoc, isup.REL); m.Cause != isup.CauseUserBusy { // the caller receives the true cause
		t.Errorf("REL %+v, want cause 17", m)
	}
}

// A call must use the hook set of its arrival to its end, even if another set becomes live meanwhile.
func TestCallKeepsHookSetOfItsArrival(t *testing.T) {
	stub, change := newStubHooks(t, "on arrival {\n\ttag(\"old\")\n}\non attempt_end {\n\ttag2()\n}\nfn tag2() {\n}\n")
	r := newRig(t, 10, change)
	r.offerCall(1, "2001")
	old := stub.set
	second, _ := newStubHooks(t, "on arrival {\n\trefuse(21)\n}\n")
	stub.set = second.set
	r.answerHooks(stub)
	cic := r.expectOne(far2, isup.IAM).CIC
	r.receive(far2, 2, isup.Message{Type: isup.REL, CIC: cic, Cause: 17})
	if len(stub.requests) != 1 || stub.requests[0].Set != old {
		t.Fatalf("hook requests %+v, want one with the set of the arrival", stub.requests)
	}
	r.answerHooks(stub)
	if record := r.records[len(r.records)-1]; record.Set != old || len(record.Tags) != 1 {
		t.Errorf("record %+v, want the set of the arrival and one tag", record)
	}
	r.offerCall(2, "2001")
	r.answerHooks(stub)
	if m := r.take(clientAssoc); m[len(m)-1].Cause != 21 {
		t.Errorf("client received %v, want a last REL with cause 21", describe(m))
	}
}
